use argh::FromArgs;

use crate::cmd::{CommandError, CommandResult};
use crate::config::{self, GatewayConfig};
use crate::gateway::budget::BudgetRule;
use crate::{gateway, process};

/// Run a gateway: an entry that speaks to upstreams directly.
#[derive(Debug, Default, FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct GatewayArgs {
    /// name of this VM (LYNXCART_NAME)
    #[argh(option)]
    name: Option<String>,
    /// where callers are served, IP:PORT (LYNXCART_FRONT_ADDRESS)
    #[argh(option)]
    front_address: Option<String>,
    /// where the balancer asks for readiness, IP:PORT (LYNXCART_READY_ADDRESS)
    #[argh(option)]
    ready_address: Option<String>,
    /// where other gateways send messages, IP:PORT (LYNXCART_MAIL_ADDRESS)
    #[argh(option)]
    mail_address: Option<String>,
    /// the platform's key-value service, IP:PORT (LYNXCART_PLATFORM)
    #[argh(option)]
    platform: Option<String>,
    /// failure domain of this VM (LYNXCART_FAILURE_DOMAIN)
    #[argh(option)]
    failure_domain: Option<String>,
    /// bound within which a revoked key stops working, milliseconds; 0: none (LYNXCART_REVOKE_MS)
    #[argh(option)]
    revoke_ms: Option<String>,
    /// bound within which a leaving upstream gets no new work, milliseconds
    /// (LYNXCART_LEAVE_BOUND_MS)
    #[argh(option)]
    leave_bound_ms: Option<String>,
    /// repeats allowed for each request (LYNXCART_BUDGET_RATIO)
    #[argh(option)]
    budget_ratio: Option<String>,
    /// window of the budget of repeats, milliseconds (LYNXCART_BUDGET_WINDOW_MS)
    #[argh(option)]
    budget_window_ms: Option<String>,
    /// repeats allowed in a window whatever the requests (LYNXCART_BUDGET_EXTRA)
    #[argh(option)]
    budget_extra: Option<String>,
    /// gateways that share the budget at the least (LYNXCART_ENTRY_COUNT)
    #[argh(option)]
    entry_count: Option<String>,
    /// bound of a planned stop, milliseconds (LYNXCART_DRAIN_LIMIT_MS)
    #[argh(option)]
    drain_limit_ms: Option<String>,
    /// memory of this VM, of which callers may take a quarter, megabytes (LYNXCART_MEMORY_MB)
    #[argh(option)]
    memory_mb: Option<String>,
    /// descriptors that the process may open, half of them for callers (LYNXCART_DESCRIPTORS)
    #[argh(option)]
    descriptors: Option<String>,
    /// least level that is logged (LYNXCART_LOG)
    #[argh(option)]
    log: Option<String>,
}

impl GatewayArgs {
    pub(super) fn config(&self) -> eyre::Result<GatewayConfig> {
        Ok(GatewayConfig {
            name: config::instance_name(self.name.as_ref())?,
            front_address: config::front_address(self.front_address.as_ref())?,
            ready_address: config::ready_address(self.ready_address.as_ref())?,
            message_address: config::message_address(self.mail_address.as_ref())?,
            keys: config::keys()?,
            platform_address: config::platform_address(self.platform.as_ref())?,
            failure_domain: config::failure_domain(self.failure_domain.as_ref())?,
            revoke_ms: config::revoke_ms(self.revoke_ms.as_ref())?,
            leave_bound_ms: config::leave_bound_ms(self.leave_bound_ms.as_ref())?,
            budget: BudgetRule {
                ratio: config::budget_ratio(self.budget_ratio.as_ref())?,
                window_ms: config::budget_window_ms(self.budget_window_ms.as_ref())?,
                allowance: config::budget_extra(self.budget_extra.as_ref())?,
                min_gateways: config::min_gateways(self.entry_count.as_ref())?,
            },
            drain_limit_ms: config::drain_limit_ms(self.drain_limit_ms.as_ref())?,
            caller_room: config::caller_room(self.memory_mb.as_ref(), self.descriptors.as_ref())?,
        })
    }

    pub(super) fn run(self) -> CommandResult {
        let config = self.config().map_err(CommandError::Usage)?;
        let level = config::log_level(self.log.as_ref()).map_err(CommandError::Usage)?;
        process::init_logs(level).map_err(CommandError::Failed)?;
        gateway::run::run(config).map_err(CommandError::Failed)
    }
}
