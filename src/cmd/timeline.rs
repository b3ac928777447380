use std::collections::BTreeMap;

use argh::FromArgs;
use http::Method;

use crate::cmd::client::EntryClient;
use crate::cmd::CommandResult;
use crate::event::TimelineEvent;

/// Show the events of a request, or all, over every process that an entry knows.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct TimelineArgs {
    /// the entry to speak to, IP:PORT (LYNXCART_ENTRY)
    #[argh(option)]
    entry: Option<String>,
    /// further processes to ask, by HTTP address, comma-separated
    #[argh(option, default = "String::new()")]
    also: String,
    /// only this request, by the x-request-id of its answer
    #[argh(option, default = "String::new()")]
    request: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl TimelineArgs {
    pub(super) fn run(self) -> CommandResult {
        let client = EntryClient::new(self.entry.as_ref())?;
        let members = client.request_json(Method::GET, "/admin/members", Vec::new())?;
        let mut addresses = vec![client.entry_address()];
        addresses.extend(
            self.also
                .split(',')
                .filter(|address| !address.is_empty())
                .map(str::to_owned),
        );
        let replicas = members["replicas"].as_array().into_iter().flatten();
        let admin_addresses = replicas.filter_map(|replica| replica["admin_address"].as_str());
        addresses.extend(admin_addresses.map(str::to_owned));
        let mut events = Vec::new();
        for address in addresses {
            let path = format!("/v1/timeline?request={}", self.request);
            match client.get_json(&address, &path).map(serde_json::from_value) {
                Ok(Ok(batch)) => events.extend::<Vec<TimelineEvent>>(batch),
                Ok(Err(error)) => println!("gap: {address}: {error}"),
                Err(error) => println!("gap: {address}: {error:#}"),
            }
        }
        sort_events(&mut events);
        if self.json {
            println!("{}", serde_json::to_string(&events).unwrap_or_default());
        } else {
            print_events(&events, self.request.is_empty());
        }
        Ok(0)
    }
}

/// Sorts events by Lamport timestamp, so that a cause precedes its effects in other processes, then
/// by wall clock and sequence number.
fn sort_events(events: &mut [TimelineEvent]) {
    events.sort_by_key(|event| (event.lamport, event.wall_ms, event.number));
}

fn print_events(events: &[TimelineEvent], report_gaps: bool) {
    let start = events.iter().map(|event| event.wall_ms).min().unwrap_or(0);
    let mut last_numbers: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    for event in events {
        let process = (event.process.as_str(), event.incarnation);
        let previous = last_numbers.insert(process, event.number);
        // The numbers of a process have no gaps. If the first one is not 0, the ring buffer has
        // overwritten the earlier events.
        let events_lost = previous.is_none() && event.number > 0;
        if report_gaps && events_lost {
            println!(
                "gap: {}: {} earlier events are gone",
                event.process, event.number
            );
        }
        println!(
            "{:>8} ms  {:<21} {:<20} {} {}",
            event.wall_ms.saturating_sub(start),
            event.process,
            event.kind.to_string(),
            event.subject,
            event.facts
        );
    }
}
