use argh::FromArgs;
use http::Method;
use serde_json::{json, Value};

use crate::cmd::client::EntryClient;
use crate::cmd::CommandResult;

/// Say in one screen whether all is well, as one entry sees it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// the entry to speak to, IP:PORT (LYNXCART_ENTRY)
    #[argh(option)]
    entry: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl StatusArgs {
    pub(super) fn run(self) -> CommandResult {
        let client = EntryClient::new(self.entry.as_ref())?;
        let status = client.request_json(Method::GET, "/admin/status", Vec::new())?;
        let members = client.request_json(Method::GET, "/admin/members", Vec::new())?;
        if self.json {
            println!("{}", json!({"status": status, "members": members}));
            return Ok(0);
        }
        print_status(&status, &members);
        Ok(0)
    }
}

fn print_status(status: &Value, members: &Value) {
    let replicas = members["replicas"].as_array().cloned().unwrap_or_default();
    let unavailable: Vec<&Value> = replicas
        .iter()
        .filter(|replica| replica["state"] != "serving" || replica["limit"] == 0)
        .collect();
    match unavailable.len() {
        0 => println!("all is well"),
        count => println!("{count} of {} replicas take no work", replicas.len()),
    }
    println!(
        "config revision {}, {} requests in flight, peers {}",
        status["config_revision"], status["in_flight"], status["peers"]
    );
    println!(
        "{:<16} {:<9} {:>9}  {:<16} role",
        "replica", "state", "load", "failure domain"
    );
    for replica in &replicas {
        let load = format!("{}/{}", replica["in_flight"], replica["limit"]);
        println!(
            "{:<16} {:<9} {load:>9}  {:<16} {}",
            str_or_empty(&replica["name"]),
            str_or_empty(&replica["state"]),
            str_or_empty(&replica["failure_domain"]),
            str_or_empty(&replica["role"]),
        );
    }
}

fn str_or_empty(value: &Value) -> &str {
    value.as_str().unwrap_or("")
}
