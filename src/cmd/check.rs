use argh::FromArgs;

use crate::cmd::{AgentArgs, CommandError, CommandResult, EntryArgs};
use crate::config;
use crate::profile::token_hash;

/// Try the settings of the environment without starting.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// check the settings of an agent in place of an entry
    #[argh(switch)]
    agent: bool,
    /// print the hash of the token in LYNXCART_TOKEN and no more
    #[argh(switch)]
    token_hash: bool,
}

impl CheckArgs {
    pub(super) fn run(self) -> CommandResult {
        if self.token_hash {
            let token = config::token().map_err(CommandError::Usage)?;
            println!("{}", token_hash(&token));
            return Ok(0);
        }
        if self.agent {
            AgentArgs::default().config().map_err(CommandError::Usage)?;
        } else {
            EntryArgs::default().config().map_err(CommandError::Usage)?;
        }
        println!("the settings are sound");
        Ok(0)
    }
}
