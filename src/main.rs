//! Command line of lynxcart: parses the arguments, runs the subcommand and sets the exit code.

use std::process::ExitCode;

use lynxcart::cmd::{MainArgs, EXIT_USAGE};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let code = match <MainArgs as argh::FromArgs>::from_args(&["lynxcart"], &args[1..]) {
        Ok(command) => command.run().unwrap_or_else(|error| {
            eprintln!("{error}");
            error.code()
        }),
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            0
        }
        Err(exit) => {
            eprintln!("lynxcart: {}", exit.output.trim().replace('\n', " "));
            EXIT_USAGE
        }
    };
    ExitCode::from(u8::try_from(code).unwrap_or(1))
}
