//! The callers of a soak and what they saw.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lynxcart::fetch::{self, HttpClient};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::replica::CRASHES_FIRST;
use crate::site::{read_up_to, send, SiteRequest, SiteResponse, DEADLINE_MS};

/// Number of events requested for each stream.
const STREAM_EVENTS: u64 = 30;
/// Number of body bytes after which a caller that disconnects early does so.
const DISCONNECT_BYTES: usize = 60;
/// Shared parts of sound prompts, in runs in which a part crashes replicas.
const SOUND_PARTS: &str = "a1,b2";
/// Shared parts of prompts that crash replicas.
const CRASHING_PARTS: &str = "a1,bad0";
/// Time after the deadline within which a received response must have ended, in milliseconds. A
/// caller gives up after four times this time, and the response is then recorded as missing.
pub(crate) const DEADLINE_SLACK_MS: u64 = 500;

/// Outcome of one request, as its caller saw it.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    pub(crate) request: SiteRequest,
    /// Front address of the gateway that received it.
    pub(crate) gateway: SocketAddr,
    pub(crate) started_at: Instant,
    pub(crate) elapsed: Duration,
    /// Whether the caller disconnects once it has received [`DISCONNECT_BYTES`].
    pub(crate) disconnects_early: bool,
    /// The response and whether its body was complete. `None` when no response head was received,
    /// or the caller gave up waiting.
    pub(crate) response: Option<(SiteResponse, bool)>,
}

impl RequestRecord {
    /// Returns the value of the response's `retry-after` header, limited to a third of the
    /// deadline; zero if absent.
    fn retry_after(&self) -> Duration {
        let headers = self
            .response
            .as_ref()
            .map(|(response, _)| &response.headers);
        let value = headers.and_then(|headers| headers.get("retry-after")?.to_str().ok());
        let seconds: f64 = value.and_then(|value| value.parse().ok()).unwrap_or(0.0);
        Duration::from_secs_f64(seconds.clamp(0.0, DEADLINE_MS as f64 / 3_000.0))
    }
}

/// Whether a run's requests that crash replicas have a part of their prompts in common. In the others
/// they are the same request.
pub(crate) fn crashes_by_part(seed: u64) -> bool {
    seed % 4 == 3
}

pub(crate) fn is_crashing(request: &SiteRequest) -> bool {
    request.body == CRASHES_FIRST || request.shared_parts == CRASHING_PARTS
}

/// A request that crashes the replicas that run it.
fn crashing_request(id: &str, by_part: bool) -> SiteRequest {
    match by_part {
        true => SiteRequest {
            shared_parts: CRASHING_PARTS,
            ..SiteRequest::stream(id, STREAM_EVENTS)
        },
        false => SiteRequest {
            body: CRASHES_FIRST,
            ..SiteRequest::lookup(id)
        },
    }
}

/// Sends random requests to random gateways, one at a time, until `end`.
pub(crate) async fn run_caller(
    caller: usize,
    front_addresses: Vec<SocketAddr>,
    end: Instant,
    seed: u64,
    by_part: bool,
) -> Vec<RequestRecord> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let client = fetch::unpooled_client();
    let mut records = Vec::new();
    for count in 0_u32.. {
        if Instant::now() >= end {
            break;
        }
        let id = format!("c{caller}-{count}");
        let request = match rng.random_range(0..4) {
            _ if rng.random_range(0..60) == 0 => crashing_request(&id, by_part),
            0 | 1 => SiteRequest {
                shared_parts: if by_part { SOUND_PARTS } else { "" },
                ..SiteRequest::stream(&id, STREAM_EVENTS)
            },
            2 => SiteRequest::issue(&id),
            _ => SiteRequest::lookup(&id),
        };
        let disconnects_early = request.event_count > 0 && rng.random_bool(0.1);
        let front_address = front_addresses[rng.random_range(0..front_addresses.len())];
        let record = send_request(&client, front_address, request, disconnects_early).await;
        let pause = Duration::from_millis(rng.random_range(5..40));
        // Refused callers wait for the time in `retry-after`.
        tokio::time::sleep(pause + record.retry_after()).await;
        records.push(record);
    }
    records
}

async fn send_request(
    client: &HttpClient,
    front_address: SocketAddr,
    request: SiteRequest,
    disconnects_early: bool,
) -> RequestRecord {
    let started_at = Instant::now();
    let limit = Duration::from_millis(DEADLINE_MS + 4 * DEADLINE_SLACK_MS);
    let exchange = async {
        let response = send(client, front_address, &request).await.ok()?;
        let max_bytes = if disconnects_early {
            DISCONNECT_BYTES
        } else {
            usize::MAX
        };
        let (received, end) = read_up_to(response, max_bytes).await;
        Some((received, end.is_ok()))
    };
    let response = tokio::time::timeout(limit, exchange).await.ok().flatten();
    RequestRecord {
        request,
        gateway: front_address,
        started_at,
        elapsed: started_at.elapsed(),
        disconnects_early,
        response,
    }
}
