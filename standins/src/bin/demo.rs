//! Demo: starts a fleet, streams a model answer, runs a non-idempotent operation, and prints the
//! timeline of both across all processes.

use std::io::Write;
use std::process::Command;

use eyre::ensure;
use http_body_util::BodyExt;
use standins::fleet::{Fleet, FleetSetup, OPERATOR_TOKEN};

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let log_dir = std::env::temp_dir().join(format!("lynxcart-demo-{}", std::process::id()));
    println!("starting a platform, 6 engines in 3 stages, 2 services, their agents and 2 entries");
    println!("logs: {}", log_dir.display());
    let fleet = Fleet::start(FleetSetup::small(log_dir)).await?;

    println!("\n== profiles in force ==");
    run_lynxcart(&fleet, &["profile", "list"])?;

    println!("\n== a streamed answer, token by token ==");
    let response = fleet
        .stream_completion(0, "Summarise delivery note 4711.", 24)
        .await?;
    let id = response.headers().get("x-request-id").cloned();
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        if let Ok(chunk) = frame?.into_data() {
            print_tokens(&chunk)?;
        }
    }
    println!();

    println!("\n== a transfer record, issued once ==");
    let first = fleet
        .send_operation(0, "/issue", "transfer-4711", "issue transfer 4711")
        .await?;
    println!("first try, entry 0: status {} {}", first.status, first.body);
    let resent = fleet
        .send_operation(1, "/issue", "transfer-4711", "issue transfer 4711")
        .await?;
    println!(
        "resend,    entry 1: status {} replayed {} {}",
        resent.status, resent.replayed, resent.body
    );
    let runs = fleet.run_count("issue transfer 4711").await?;
    println!("runs at the service: {runs}");
    ensure!(runs == 1, "the record was issued {runs} times");

    println!("\n== the fleet ==");
    run_lynxcart(&fleet, &["status"])?;
    println!("\n== time line of the streamed answer ==");
    let id = id
        .map(|id| id.to_str().unwrap_or("").to_owned())
        .unwrap_or_default();
    run_lynxcart(&fleet, &["timeline", "--request", &id])?;
    println!("\n== time line of the transfer record ==");
    run_lynxcart(&fleet, &["timeline", "--request", &first.id])?;
    Ok(())
}

/// Prints the text of the tokens in a chunk of an event stream.
fn print_tokens(chunk: &[u8]) -> eyre::Result<()> {
    for line in String::from_utf8_lossy(chunk).lines() {
        let Some(event) = line.strip_prefix("data: ") else {
            continue;
        };
        if event == "[DONE]" {
            print!("[done]");
            continue;
        }
        let event: serde_json::Value = serde_json::from_str(event)?;
        print!("{}", event["choices"][0]["text"].as_str().unwrap_or(""));
        std::io::stdout().flush()?;
    }
    Ok(())
}

/// Runs a lynxcart command as the operator, against the first entry.
fn run_lynxcart(fleet: &Fleet, args: &[&str]) -> eyre::Result<()> {
    let program = std::env::current_exe()?.with_file_name("lynxcart");
    let status = Command::new(program)
        .args(args)
        .env("LYNXCART_ENTRY", fleet.entries[0].http_address.to_string())
        .env("LYNXCART_TOKEN", OPERATOR_TOKEN)
        .status()?;
    ensure!(status.success(), "lynxcart {} failed", args.join(" "));
    Ok(())
}
