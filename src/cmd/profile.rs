use std::time::{Duration, Instant};

use argh::FromArgs;
use eyre::{eyre, WrapErr};
use http::Method;
use serde_json::Value;

use crate::cmd::client::EntryClient;
use crate::cmd::{CommandError, CommandResult};
use crate::profile::ProfileSpec;

/// Maximum time that `accept` waits for a revision to take effect on all known entries, in
/// milliseconds.
const ACCEPT_TIMEOUT_MS: u64 = 15_000;
/// Interval at which `accept` reads the status of an entry, in milliseconds.
const POLL_INTERVAL_MS: u64 = 200;

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

fn accepted_profiles(client: &EntryClient) -> Result<Vec<Value>, CommandError> {
    let response = client.request_json(Method::GET, "/admin/profiles", Vec::new())?;
    Ok(response["profiles"].as_array().cloned().unwrap_or_default())
}

fn list(client: &EntryClient) -> CommandResult {
    println!("{:<32} {:>9}  accepted by", "profile", "revision");
    for profile in accepted_profiles(client)? {
        let name = profile["record"]["spec"]["name"].as_str().unwrap_or("");
        let operator = profile["record"]["operator"].as_str().unwrap_or("");
        let revision = profile["revision"].as_u64().unwrap_or(0);
        println!("{name:<32} {revision:>9}  {operator}");
    }
    Ok(0)
}

fn show(client: &EntryClient, name: &str) -> CommandResult {
    let profiles = accepted_profiles(client)?;
    let found = profiles
        .iter()
        .find(|profile| profile["record"]["spec"]["name"] == name);
    match found {
        Some(profile) => {
            println!("{}", pretty_json(&profile["record"]));
            Ok(0)
        }
        None => Err(CommandError::Usage(eyre!(
            "profile \"{name}\" is not accepted: expected a name from `lynxcart profile list`"
        ))),
    }
}

fn edit(client: &EntryClient, file: &str) -> CommandResult {
    let body = std::fs::read(file)
        .wrap_err_with(|| format!("could not read {file}"))
        .map_err(CommandError::Usage)?;
    let spec: ProfileSpec = serde_json::from_slice(&body)
        .wrap_err_with(|| format!("could not decode the profile in {file}"))
        .map_err(CommandError::Usage)?;
    spec.check()
        .map_err(|error| CommandError::Usage(eyre!("{file}: {error}")))?;
    let path = format!("/admin/drafts/{}", spec.name);
    let response = client.request_json(Method::PUT, &path, body)?;
    match &response["accepted"] {
        Value::Null => println!("profile {} is new", spec.name),
        accepted => println!("in force now:\n{}", pretty_json(&accepted["spec"])),
    }
    println!("draft:\n{}", pretty_json(&response["draft"]["spec"]));
    println!("next: lynxcart profile accept {}", spec.name);
    Ok(0)
}

fn accept(client: &EntryClient, name: &str) -> CommandResult {
    let path = format!("/admin/profiles/{name}/accept");
    let response = client.request_json(Method::POST, &path, Vec::new())?;
    let revision = response["revision"].as_u64().unwrap_or(0);
    println!("accepted {name} at revision {revision}; durable");
    let started_at = Instant::now();
    loop {
        let status = client.request_json(Method::GET, "/admin/status", Vec::new())?;
        let lagging = lagging_entries(&status, revision);
        if lagging.is_empty() {
            println!(
                "in force on every entry after {} ms",
                started_at.elapsed().as_millis()
            );
            return Ok(0);
        }
        if started_at.elapsed() >= Duration::from_millis(ACCEPT_TIMEOUT_MS) {
            let lagging = lagging.join(", ");
            return Err(CommandError::Failed(eyre!(
                "profile \"{name}\" was accepted but is not in force after {ACCEPT_TIMEOUT_MS} ms on: {lagging}"
            )));
        }
        std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
}

/// Returns the entries that are not known to have reached `revision`.
fn lagging_entries(status: &Value, revision: u64) -> Vec<String> {
    let mut lagging = Vec::new();
    if status["config_revision"].as_u64().unwrap_or(0) < revision {
        lagging.push(String::from("this entry"));
    }
    let peers = status["peers"].as_object();
    for (address, peer_revision) in peers.into_iter().flatten() {
        if peer_revision.as_u64().unwrap_or(0) < revision {
            lagging.push(address.clone());
        }
    }
    lagging
}

fn drafts(client: &EntryClient) -> CommandResult {
    let response = client.request_json(Method::GET, "/admin/drafts", Vec::new())?;
    println!("{}", pretty_json(&response["drafts"]));
    Ok(0)
}

fn pretty_json(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
