//! The callers of a soak and what they saw.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::replica::CRASHES_FIRST;
use crate::site::{read_up_to, SiteRequest, SiteResponse, DEADLINE_MS, SECOND_API_KEY};
use crate::soak_connection::{BodySending, CallerConnection, ExchangeProgress};

/// Number of events requested for each stream.
const STREAM_EVENTS: u64 = 30;
/// Number of body bytes after which a caller that disconnects early does so.
const DISCONNECT_BYTES: usize = 60;
/// Shared parts of sound prompts, in runs in which a part crashes replicas.
const SOUND_PARTS: &str = "a1,b2";
/// Shared parts of prompts that crash replicas.
const CRASHING_PARTS: &str = "a1,bad0";
/// Lengths of large bodies, in bytes.
const BODY_BYTES: [usize; 7] = [8_000, 20_000, 60_000, 150_000, 300_000, 600_000, 900_000];
/// Number of body bytes after which a caller gives up on a response.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Path that no configuration has a route for.
pub(crate) const ABSENT_PATH: &str = "/absent/x";
/// API key that no configuration holds.
pub(crate) const UNKNOWN_API_KEY: &str = "unknown-key";
/// Time that a caller allows for a connection, in milliseconds.
const CONNECT_LIMIT_MS: u64 = 1_000;
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
    pub(crate) is_connected: bool,
    /// Whether the connection had carried a request before.
    pub(crate) on_kept: bool,
    pub(crate) progress: ExchangeProgress,
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

/// The gateways to which new connections go.
#[derive(Debug)]
pub(crate) struct SoakBalancer {
    gateways: Vec<(SocketAddr, AtomicBool)>,
}

impl SoakBalancer {
    pub(crate) fn new(front_addresses: impl Iterator<Item = SocketAddr>) -> SoakBalancer {
        let gateways = front_addresses.map(|address| (address, AtomicBool::new(true)));
        SoakBalancer {
            gateways: gateways.collect(),
        }
    }

    /// Sets whether new connections go to a gateway.
    pub(crate) fn set_used(&self, number: usize, used: bool) {
        self.gateways[number].1.store(used, Ordering::Relaxed);
    }

    fn pick(&self, rng: &mut Pcg64Mcg) -> SocketAddr {
        let start = rng.random_range(0..self.gateways.len());
        let mut in_turn = self.gateways.iter().cycle().skip(start);
        let used = in_turn.clone().take(self.gateways.len());
        let mut used = used.filter(|(_, used)| used.load(Ordering::Relaxed));
        let picked = used.next().or_else(|| in_turn.next());
        picked.expect("a soak should have gateways").0
    }
}

/// Draws a request: most are proper, some are refused at their head, some crash replicas.
fn draw_request(rng: &mut Pcg64Mcg, id: &str, by_part: bool) -> SiteRequest {
    let mut request = match rng.random_range(0..4) {
        _ if rng.random_range(0..60) == 0 => return crashing_request(id, by_part),
        0 | 1 => SiteRequest {
            shared_parts: if by_part { SOUND_PARTS } else { "" },
            ..SiteRequest::stream(id, STREAM_EVENTS)
        },
        2 => SiteRequest::issue(id),
        _ => SiteRequest::lookup(id),
    };
    if rng.random_bool(0.25) {
        request.api_key = SECOND_API_KEY;
    }
    if request.event_count == 0 && rng.random_bool(0.3) {
        request.min_body_bytes = BODY_BYTES[rng.random_range(0..BODY_BYTES.len())];
    }
    match rng.random_range(0..30) {
        0 => request.path = ABSENT_PATH,
        1 => request.api_key = UNKNOWN_API_KEY,
        _ => return request,
    }
    request.min_body_bytes = BODY_BYTES[rng.random_range(0..BODY_BYTES.len())];
    request
}

/// Sends random requests to random gateways, one at a time, until `end`. Half of the callers keep
/// their connection for as long as the gateway does, and half read a response only once its request
/// is sent whole.
pub(crate) async fn run_caller(
    caller: usize,
    balancer: Arc<SoakBalancer>,
    end: Instant,
    seed: u64,
    by_part: bool,
) -> Vec<RequestRecord> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let keeps_connection = caller % 2 == 1;
    let reads_late = caller % 4 >= 2;
    let mut kept = None;
    let mut records = Vec::new();
    for count in 0_u32.. {
        if Instant::now() >= end {
            break;
        }
        let request = draw_request(&mut rng, &format!("c{caller}-{count}"), by_part);
        let disconnects_early = request.event_count > 0 && rng.random_bool(0.1);
        let pause_ms = match rng.random_bool(0.3) {
            true => rng.random_range(1..30),
            false => 0,
        };
        let sending = BodySending {
            chunked: rng.random_bool(0.3),
            pause: Duration::from_millis(pause_ms),
        };
        let gateway = balancer.pick(&mut rng);
        let connection = reuse_or_connect(kept.take(), gateway, reads_late).await;
        let (record, connection) =
            send_request(connection, gateway, request, sending, disconnects_early).await;
        kept = connection.filter(|_| keeps_connection);
        let mut pause = Duration::from_millis(rng.random_range(5..40));
        if keeps_connection && rng.random_bool(0.1) {
            pause = Duration::from_millis(rng.random_range(100..700));
        }
        // Refused callers wait for the time in `retry-after`.
        tokio::time::sleep(pause + record.retry_after()).await;
        records.push(record);
    }
    records
}

/// Returns the connection that was kept if it can be used, else a new one to the gateway.
async fn reuse_or_connect(
    kept: Option<CallerConnection>,
    gateway: SocketAddr,
    reads_late: bool,
) -> Option<CallerConnection> {
    let limit = Duration::from_millis(CONNECT_LIMIT_MS);
    if let Some(mut connection) = kept {
        if let Ok(true) = tokio::time::timeout(limit, connection.is_reusable()).await {
            return Some(connection);
        }
    }
    let opened = tokio::time::timeout(limit, CallerConnection::open(gateway, reads_late)).await;
    opened.ok()?.ok()
}

/// Sends a request to a gateway, if a connection to it could be opened.
async fn send_request(
    mut connection: Option<CallerConnection>,
    gateway: SocketAddr,
    request: SiteRequest,
    sending: BodySending,
    disconnects_early: bool,
) -> (RequestRecord, Option<CallerConnection>) {
    let mut record = RequestRecord {
        request,
        gateway,
        started_at: Instant::now(),
        elapsed: Duration::ZERO,
        disconnects_early,
        is_connected: false,
        on_kept: false,
        progress: ExchangeProgress::default(),
        response: None,
    };
    if let Some(connection) = &mut connection {
        record.gateway = connection.gateway;
        record.is_connected = true;
        record.on_kept = connection.requests > 0;
        record.started_at = Instant::now();
        let limit = Duration::from_millis(DEADLINE_MS + 4 * DEADLINE_SLACK_MS);
        let exchange = async {
            let response = connection.send(&record.request, sending).await.ok()?;
            let max_bytes = match disconnects_early {
                true => DISCONNECT_BYTES,
                false => MAX_RESPONSE_BYTES,
            };
            let (received, end) = read_up_to(response, max_bytes).await;
            let is_whole = end.is_ok() && received.body.len() < max_bytes;
            Some((received, is_whole))
        };
        record.response = tokio::time::timeout(limit, exchange).await.ok().flatten();
        record.progress = connection.progress();
    }
    record.elapsed = record.started_at.elapsed();
    (record, connection)
}
