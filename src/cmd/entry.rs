use argh::FromArgs;

use crate::cmd::{CommandError, CommandResult};
use crate::config::{self, EntryConfig};
use crate::{entry, process};

/// Run an entry: take callers' and operators' requests on an entry VM.
#[derive(Debug, Default, FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct EntryArgs {
    /// where callers and operators are served, IP:PORT (LYNXCART_HTTP_ADDRESS)
    #[argh(option)]
    http_address: Option<String>,
    /// where other processes send mail, IP:PORT (LYNXCART_MAIL_ADDRESS)
    #[argh(option)]
    mail_address: Option<String>,
    /// mail addresses of other entries, comma-separated (LYNXCART_ENTRIES)
    #[argh(option)]
    entries: Option<String>,
    /// the platform's key-value service, IP:PORT (LYNXCART_PLATFORM)
    #[argh(option)]
    platform: Option<String>,
    /// the platform's list of VMs, IP:PORT (LYNXCART_VM_LIST)
    #[argh(option)]
    vm_list: Option<String>,
    /// operators as NAME:HASH, comma-separated (LYNXCART_OPERATORS)
    #[argh(option)]
    operators: Option<String>,
    /// threads that serve HTTP (LYNXCART_HTTP_THREADS)
    #[argh(option)]
    http_threads: Option<String>,
    /// bound of a planned stop, milliseconds (LYNXCART_DRAIN_LIMIT_MS)
    #[argh(option)]
    drain_limit_ms: Option<String>,
    /// least level that is logged (LYNXCART_LOG)
    #[argh(option)]
    log: Option<String>,
}

impl EntryArgs {
    pub(super) fn config(&self) -> eyre::Result<EntryConfig> {
        Ok(EntryConfig {
            http_address: config::http_address(self.http_address.as_ref())?,
            message_address: config::message_address(self.mail_address.as_ref())?,
            entries: config::entries(self.entries.as_ref())?,
            platform_address: config::platform_address(self.platform.as_ref())?,
            vm_list: config::vm_list(self.vm_list.as_ref())?,
            keys: config::keys()?,
            operators: config::operators(self.operators.as_ref())?,
            http_threads: config::http_threads(self.http_threads.as_ref())?,
            drain_limit_ms: config::drain_limit_ms(self.drain_limit_ms.as_ref())?,
        })
    }

    pub(super) fn run(self) -> CommandResult {
        let config = self.config().map_err(CommandError::Usage)?;
        let level = config::log_level(self.log.as_ref()).map_err(CommandError::Usage)?;
        process::init_logs(level).map_err(CommandError::Failed)?;
        entry::run::run(config).map_err(CommandError::Failed)
    }
}
