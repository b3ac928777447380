use argh::FromArgs;

use crate::cmd::{CommandError, CommandResult};
use crate::config::{self, AgentConfig};
use crate::{agent, process};

/// Run an agent: the one process that speaks to the upstream beside it.
#[derive(Debug, Default, FromArgs)]
#[argh(subcommand, name = "agent")]
pub struct AgentArgs {
    /// name of the upstream (LYNXCART_NAME)
    #[argh(option)]
    name: Option<String>,
    /// the upstream, engine=IP:PORT or service=IP:PORT (LYNXCART_UPSTREAM)
    #[argh(option)]
    upstream: Option<String>,
    /// name of the service, for a service (LYNXCART_SERVICE)
    #[argh(option)]
    service: Option<String>,
    /// where metrics and the time line are served, IP:PORT (LYNXCART_HTTP_ADDRESS)
    #[argh(option)]
    http_address: Option<String>,
    /// where other processes send mail, IP:PORT (LYNXCART_MAIL_ADDRESS)
    #[argh(option)]
    mail_address: Option<String>,
    /// mail addresses of entries, comma-separated (LYNXCART_ENTRIES)
    #[argh(option)]
    entries: Option<String>,
    /// the platform's key-value service, IP:PORT (LYNXCART_PLATFORM)
    #[argh(option)]
    platform: Option<String>,
    /// failure domain (LYNXCART_FAILURE_DOMAIN)
    #[argh(option)]
    failure_domain: Option<String>,
    /// region (LYNXCART_REGION)
    #[argh(option)]
    region: Option<String>,
    /// requests that may be in flight (LYNXCART_LIMIT)
    #[argh(option)]
    limit: Option<String>,
    /// journal partitions of a service (LYNXCART_PARTITIONS)
    #[argh(option)]
    partitions: Option<String>,
    /// journal writes allowed, per second (LYNXCART_JOURNAL_WRITES)
    #[argh(option)]
    journal_writes: Option<String>,
    /// bound of a planned stop, milliseconds (LYNXCART_DRAIN_LIMIT_MS)
    #[argh(option)]
    drain_limit_ms: Option<String>,
    /// least level that is logged (LYNXCART_LOG)
    #[argh(option)]
    log: Option<String>,
}

impl AgentArgs {
    pub(super) fn config(&self) -> eyre::Result<AgentConfig> {
        let upstream = config::upstream(self.upstream.as_ref())?;
        Ok(AgentConfig {
            name: config::instance_name(self.name.as_ref())?,
            upstream,
            service: config::service(self.service.as_ref(), upstream)?,
            http_address: config::http_address(self.http_address.as_ref())?,
            message_address: config::message_address(self.mail_address.as_ref())?,
            entries: config::entries(self.entries.as_ref())?,
            platform_address: config::platform_address(self.platform.as_ref())?,
            keys: config::keys()?,
            failure_domain: config::failure_domain(self.failure_domain.as_ref())?,
            region: config::region(self.region.as_ref())?,
            in_flight_limit: config::in_flight_limit(self.limit.as_ref())?,
            partitions: config::partitions(self.partitions.as_ref())?,
            journal_writes: config::journal_writes(self.journal_writes.as_ref())?,
            drain_limit_ms: config::drain_limit_ms(self.drain_limit_ms.as_ref())?,
        })
    }

    pub(super) fn run(self) -> CommandResult {
        let config = self.config().map_err(CommandError::Usage)?;
        let level = config::log_level(self.log.as_ref()).map_err(CommandError::Usage)?;
        process::init_logs(level).map_err(CommandError::Failed)?;
        agent::run::run(config).map_err(CommandError::Failed)
    }
}
