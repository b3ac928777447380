//! The subcommands of the command line, one module each.

mod agent;
mod check;
mod client;
mod entry;
mod gateway;
mod plan;
mod profile;
mod status;
mod timeline;

use argh::FromArgs;

pub use agent::AgentArgs;
pub use check::CheckArgs;
pub use entry::EntryArgs;
pub use gateway::GatewayArgs;
pub use plan::PlanArgs;
pub use profile::ProfileArgs;
pub use status::StatusArgs;
pub use timeline::TimelineArgs;

/// Exit code for an invalid flag, setting, input file, name or token.
pub const EXIT_USAGE: i32 = 2;

/// Route model pipelines and plain services over mixed accelerators.
///
/// Exit codes: 0 done, 1 failed, 2 wrong flag or setting, 3 stopped with requests cut short.
#[derive(Debug, FromArgs)]
pub struct MainArgs {
    #[argh(subcommand)]
    command: MainCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum MainCommand {
    Entry(EntryArgs),
    Agent(AgentArgs),
    Gateway(GatewayArgs),
    Plan(PlanArgs),
    Profile(ProfileArgs),
    Status(StatusArgs),
    Timeline(TimelineArgs),
    Check(CheckArgs),
}

/// Error of a command, which determines its exit code.
#[derive(Debug)]
pub enum CommandError {
    /// A flag, setting, input file, name or token is invalid.
    Usage(eyre::Report),
    /// The command failed although its input is valid.
    Failed(eyre::Report),
}

impl CommandError {
    /// Returns the exit code for this kind of error.
    pub fn code(&self) -> i32 {
        match self {
            CommandError::Usage(_) => EXIT_USAGE,
            CommandError::Failed(_) => 1,
        }
    }
}

impl std::fmt::Display for CommandError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (CommandError::Usage(report) | CommandError::Failed(report)) = self;
        // The alternate format prints the error and its causes on one line.
        write!(f, "lynxcart: {report:#}")
    }
}

/// Result of a command: its exit code or an error.
pub type CommandResult = Result<i32, CommandError>;

impl MainArgs {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// If the arguments or settings are invalid or the command fails.
    pub fn run(self) -> CommandResult {
        match self.command {
            MainCommand::Entry(args) => args.run(),
            MainCommand::Agent(args) => args.run(),
            MainCommand::Gateway(args) => args.run(),
            MainCommand::Plan(args) => args.run(),
            MainCommand::Profile(args) => args.run(),
            MainCommand::Status(args) => args.run(),
            MainCommand::Timeline(args) => args.run(),
            MainCommand::Check(args) => args.run(),
        }
    }
}
