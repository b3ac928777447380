use std::time::{Duration, Instant};

use argh::FromArgs;
use eyre::{eyre, WrapErr};
use http::Method;
use serde_json::Value;

use crate::cmd::client::EntryClient;
use crate::cmd::{CommandError, CommandResult};
use crate::profile::ProfileSpec;

/// Time that `accept` waits for a revision to be in force everywhere, milliseconds.
const IN_FORCE_MS: u64 = 15_000;
/// Pause between two looks, milliseconds.
const LOOK_MS: u64 = 200;

/// List, show, edit and accept profiles.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "profile")]
pub struct ProfileArgs {
    /// the entry to speak to, IP:PORT (LYNXCART_ENTRY)
    #[argh(option)]
    entry: Option<String>,
    #[argh(subcommand)]
    action: ProfileAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum ProfileAction {
    List(ListArgs),
    Show(ShowArgs),
    Edit(EditArgs),
    Accept(AcceptArgs),
    Drafts(DraftsArgs),
}

/// List the accepted profiles.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArgs {}

/// Show an accepted profile.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
struct ShowArgs {
    /// name of the profile
    #[argh(positional)]
    name: String,
}

/// Save a draft from a file (JSON), and show what would change.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "edit")]
struct EditArgs {
    /// the file
    #[argh(positional)]
    file: String,
}

/// Accept your draft of a profile, and wait until it is in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "accept")]
struct AcceptArgs {
    /// name of the profile
    #[argh(positional)]
    name: String,
}

/// List the drafts of all operators.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drafts")]
struct DraftsArgs {}

impl ProfileArgs {
    pub(super) fn run(self) -> CommandResult {
        let client = EntryClient::new(self.entry.as_ref())?;
        match self.action {
            ProfileAction::List(_) => list(&client),
            ProfileAction::Show(args) => show(&client, &args.name),
            ProfileAction::Edit(args) => edit(&client, &args.file),
            ProfileAction::Accept(args) => accept(&client, &args.name),
            ProfileAction::Drafts(_) => drafts(&client),
        }
    }
}

fn profiles(client: &EntryClient) -> Result<Vec<Value>, CommandError> {
    let answer = client.call(Method::GET, "/admin/profiles", Vec::new())?;
    Ok(answer["profiles"].as_array().cloned().unwrap_or_default())
}

fn list(client: &EntryClient) -> CommandResult {
    println!("{:<32} {:>9}  accepted by", "profile", "revision");
    for profile in profiles(client)? {
        let name = profile["record"]["spec"]["name"].as_str().unwrap_or("");
        let operator = profile["record"]["operator"].as_str().unwrap_or("");
        let revision = profile["revision"].as_u64().unwrap_or(0);
        println!("{name:<32} {revision:>9}  {operator}");
    }
    Ok(0)
}

fn show(client: &EntryClient, name: &str) -> CommandResult {
    let all = profiles(client)?;
    let found = all
        .iter()
        .find(|profile| profile["record"]["spec"]["name"] == name);
    match found {
        Some(profile) => {
            println!("{}", pretty(&profile["record"]));
            Ok(0)
        }
        None => Err(CommandError::Usage(eyre!(
            "profile \"{name}\": not accepted: expected one of those in `lynxcart profile list`"
        ))),
    }
}

fn edit(client: &EntryClient, file: &str) -> CommandResult {
    let text = std::fs::read(file)
        .wrap_err_with(|| format!("could not read {file}"))
        .map_err(CommandError::Usage)?;
    let spec: ProfileSpec = serde_json::from_slice(&text)
        .wrap_err_with(|| format!("{file}: no profile"))
        .map_err(CommandError::Usage)?;
    spec.check()
        .map_err(|error| CommandError::Usage(eyre!("{file}: {error}")))?;
    let path = format!("/admin/drafts/{}", spec.name);
    let answer = client.call(Method::PUT, &path, text)?;
    match &answer["accepted"] {
        Value::Null => println!("profile {} is new", spec.name),
        accepted => println!("in force now:\n{}", pretty(&accepted["spec"])),
    }
    println!("draft:\n{}", pretty(&answer["draft"]["spec"]));
    println!("next: lynxcart profile accept {}", spec.name);
    Ok(0)
}

fn accept(client: &EntryClient, name: &str) -> CommandResult {
    let path = format!("/admin/profiles/{name}/accept");
    let answer = client.call(Method::POST, &path, Vec::new())?;
    let revision = answer["revision"].as_u64().unwrap_or(0);
    println!("accepted {name} at revision {revision}; durable");
    let began = Instant::now();
    loop {
        let status = client.call(Method::GET, "/admin/status", Vec::new())?;
        let lagging = lagging_entries(&status, revision);
        if lagging.is_empty() {
            println!(
                "in force on every entry after {} ms",
                began.elapsed().as_millis()
            );
            return Ok(0);
        }
        if began.elapsed() >= Duration::from_millis(IN_FORCE_MS) {
            let lagging = lagging.join(", ");
            return Err(CommandError::Failed(eyre!(
                "not yet in force on: {lagging}"
            )));
        }
        std::thread::sleep(Duration::from_millis(LOOK_MS));
    }
}

/// The entries that are not known to have a revision in force.
fn lagging_entries(status: &Value, revision: u64) -> Vec<String> {
    let mut lagging = Vec::new();
    if status["config_revision"].as_u64().unwrap_or(0) < revision {
        lagging.push(String::from("this entry"));
    }
    let peers = status["peers"].as_object();
    for (address, known) in peers.into_iter().flatten() {
        if known.as_u64().unwrap_or(0) < revision {
            lagging.push(address.clone());
        }
    }
    lagging
}

fn drafts(client: &EntryClient) -> CommandResult {
    let answer = client.call(Method::GET, "/admin/drafts", Vec::new())?;
    println!("{}", pretty(&answer["drafts"]));
    Ok(0)
}

fn pretty(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
