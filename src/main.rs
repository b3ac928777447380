//! The lynxcart binary.

use std::process::ExitCode;

use lynxcart::cmd::{MainArgs, EXIT_USAGE};

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let code = match <MainArgs as argh::FromArgs>::from_args(&["lynxcart"], &words[1..]) {
        Ok(args) => args.run().unwrap_or_else(|error| {
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
