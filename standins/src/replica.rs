//! Stand-ins for the replicas behind the gateways: model engines, each with a range of layers, that
//! serve streams along a chain, and plain services.
//!
//! All replicas of a site share one table, so that the first replica of a chain can look up the
//! state of the others without sending them requests.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde_json::{json, Value};
use tokio::net::TcpListener;

pub use crate::replica_state::{Arrival, ReplicaFault, ReplicaState, RunRecord};
use crate::server::{
    cut_in_head, json_response, no_response, read_body, serve_silenced, text_response,
    ServerResponse,
};

/// Interval between two events of a stream, in milliseconds.
pub const EVENT_INTERVAL_MS: u64 = 10;
/// Time that a plain service takes for a request, in milliseconds.
const SERVICE_TIME_MS: u64 = 20;

/// Size of each part of a body without an end, in bytes.
const ENDLESS_PART_BYTES: usize = 4 * 1024;
/// Interval between two parts of a body without an end, in milliseconds.
const ENDLESS_INTERVAL_MS: u64 = 1;

/// Time after which a replica that a request crashed is back in a new incarnation, in milliseconds.
const CRASH_DOWN_MS: u64 = 1_500;
/// Interval of the checks whether a replica has crashed or is back, in milliseconds.
const CRASH_POLL_MS: u64 = 5;
/// Body of a request that crashes the replica that runs it, the first of its chain.
pub const CRASHES_FIRST: &str = "crashes the first replica";
/// Body of a stream that crashes the last replica of its chain, also of one to which it is moved.
pub const CRASHES_LAST: &str = "crashes the last replica";
/// Body of a stream under which the first replica of its chain falls silent and starts again without
/// a word.
pub const DARKENS_FIRST: &str = "darkens the first replica";
/// Time after which such a replica is back in a new incarnation, in milliseconds.
const DARK_MS: u64 = 4_000;

/// Part of a prompt that crashes the first replica of a chain once it has written an event on it.
pub const CRASHING_PART: &str = "bad0";
/// Time from the first event of such an answer to the crash, in milliseconds.
const PART_CRASH_MS: u64 = 60;

/// Answer of a replica whose streams fail, see [`ReplicaState::answers_error`].
const ERROR_TEXT: &str = "HTTP/1.1 500 Internal Server Error\r\n\r\nout of room\n\n";

/// Whether the prompt of a request has the part that crashes replicas.
fn has_crashing_part(headers: &HeaderMap) -> bool {
    let mut parts = header_value(headers, "x-prompt-prefix").split(',');
    parts.any(|part| part.split(':').next() == Some(CRASHING_PART))
}

#[derive(Debug, Default)]
struct TableData {
    replicas: HashMap<SocketAddr, ReplicaState>,
    runs: Vec<RunRecord>,
    /// Number of the last stream started, by request id.
    stream_numbers: HashMap<String, usize>,
    /// Chains of the streams in progress, by request id.
    chains: HashMap<String, Vec<SocketAddr>>,
    /// Dead replicas that stall a stream, by request id.
    stalled: HashMap<String, SocketAddr>,
    /// Ids of the streams in progress that crash the last replica of their chain.
    crashes_last: HashSet<String>,
    /// Ids of the streams that ended with a replica that crashed.
    cut_off: HashSet<String>,
    /// Times at which requests crashed replicas, in order.
    crashes: Vec<Instant>,
}

/// All replicas of a site and the runs of requests by them. Clones share the data.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    data: Arc<Mutex<TableData>>,
}

/// Returns the value of a header, or an empty string if it is absent or not ASCII text.
fn header_value<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

/// Parses a chain in the form `IP:PORT=FROM-TO,...`.
fn parse_hops(chain: &str) -> Vec<(SocketAddr, u64, u64)> {
    let hops = chain.split(',').filter_map(|hop| {
        let (address, layers) = hop.split_once('=')?;
        let (from, to) = layers.split_once('-')?;
        Some((address.parse().ok()?, from.parse().ok()?, to.parse().ok()?))
    });
    hops.collect()
}

/// Builds a refusal which states that the request was not run, and at which hop it was refused.
fn refusal(status: u16, hop: Option<SocketAddr>) -> ServerResponse {
    let mut response = text_response(status, "");
    let headers = response.headers_mut();
    headers.insert("x-not-executed", http::HeaderValue::from_static("1"));
    if let Some(Ok(value)) = hop.map(|hop| hop.to_string().parse()) {
        headers.insert("at-server", value);
    }
    response
}

/// Serves the health check, which is refused as other requests are.
fn handle_health(state: &ReplicaState) -> ServerResponse {
    let is_sound = !state.leaving && !state.dead && state.rest.is_empty();
    let status = if is_sound { 200 } else { 503 };
    let mut response = text_response(status, "");
    let headers = response.headers_mut();
    if let Ok(id) = state.id.parse() {
        headers.insert("x-replica-id", id);
    }
    if !state.rest.is_empty() {
        headers.insert("retry-after", http::HeaderValue::from_static(state.rest));
    }
    response
}

/// Removes a stream from the table when its response body is dropped: at its end, or when the
/// caller disconnects. Has no effect once the same request has started another stream, the number
/// of which is higher.
struct StreamGuard(ReplicaTable, String, usize);

impl Drop for StreamGuard {
    fn drop(&mut self) {
        let mut data = self.0.data();
        if data.stream_numbers.get(&self.1) != Some(&self.2) {
            return;
        }
        data.chains.remove(&self.1);
        data.stalled.remove(&self.1);
        data.crashes_last.remove(&self.1);
        data.cut_off.remove(&self.1);
    }
}

impl TableData {
    fn is_silent(&self, address: SocketAddr) -> bool {
        let state = self.replicas.get(&address);
        state.is_some_and(ReplicaState::is_silent)
    }

    fn is_dead(&self, address: SocketAddr) -> bool {
        let state = self.replicas.get(&address);
        state.is_none_or(|state| state.dead || state.crashed)
    }
}

impl ReplicaTable {
    fn data(&self) -> MutexGuard<'_, TableData> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the state of the replica at an address. [`ReplicaTable::serve`] must be started
    /// separately.
    pub fn add(&self, address: SocketAddr, state: ReplicaState) {
        self.data().replicas.insert(address, state);
    }

    /// Changes a replica's state; an unknown address is ignored.
    pub fn change(&self, address: SocketAddr, change: impl FnOnce(&mut ReplicaState)) {
        if let Some(state) = self.data().replicas.get_mut(&address) {
            change(state);
        }
    }

    /// Returns a copy of a replica's state, or the default state for an unknown address.
    pub fn state(&self, address: SocketAddr) -> ReplicaState {
        self.data()
            .replicas
            .get(&address)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns all runs so far, in the order in which they started.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.data().runs.clone()
    }

    /// Returns the number of runs of a request so far.
    pub fn run_count(&self, id: &str) -> usize {
        let data = self.data();
        data.runs.iter().filter(|run| run.request_id == id).count()
    }

    /// Returns the times at which requests crashed replicas so far, in order.
    pub fn crashes(&self) -> Vec<Instant> {
        self.data().crashes.clone()
    }

    /// Crashes a replica on account of a request. It is back after [`CRASH_DOWN_MS`].
    fn crash(&self, address: SocketAddr) {
        self.data().crashes.push(Instant::now());
        self.change(address, |state| state.crashed = true);
        let table = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(CRASH_DOWN_MS)).await;
            table.change(address, |state| {
                state.crashed = false;
                state.incarnation += 1;
            });
            let data = &mut *table.data();
            let over_it = data.chains.iter();
            let over_it = over_it.filter(|(_, chain)| chain.contains(&address));
            data.cut_off.extend(over_it.map(|(id, _)| id.clone()));
        });
    }

    /// Silences a replica, which goes on afterwards.
    pub fn silence(&self, address: SocketAddr, length: Duration) {
        let until = Instant::now() + length;
        self.change(address, |state| state.silent_until = Some(until));
    }

    async fn wait_for_silence_end(&self, address: SocketAddr) {
        while self.state(address).is_silent() {
            tokio::time::sleep(Duration::from_millis(CRASH_POLL_MS)).await;
        }
    }

    /// Has a replica go dark on account of a request. It is back after [`DARK_MS`].
    fn darken(&self, address: SocketAddr) {
        self.data().crashes.push(Instant::now());
        self.silence(address, Duration::from_millis(DARK_MS));
        self.change(address, |state| state.incarnation += 1);
        let data = &mut *self.data();
        let over_it = data.chains.iter();
        let over_it = over_it.filter(|(_, chain)| chain.contains(&address));
        data.cut_off.extend(over_it.map(|(id, _)| id.clone()));
    }

    /// Returns the current chain of a stream; empty before the stream starts and after it ends.
    pub fn chain(&self, request: &str) -> Vec<SocketAddr> {
        self.data().chains.get(request).cloned().unwrap_or_default()
    }

    /// Serves one replica until the process ends.
    ///
    /// # Errors
    ///
    /// If a connection cannot be accepted.
    pub async fn serve(self, listener: TcpListener) -> eyre::Result<()> {
        let address = listener.local_addr()?;
        let mut listener = Some(listener);
        loop {
            let Some(open) = listener.take() else {
                tokio::time::sleep(Duration::from_millis(CRASH_POLL_MS)).await;
                if !self.state(address).crashed {
                    // Another process may have the port for its end of a connection.
                    listener = TcpListener::bind(address).await.ok();
                }
                continue;
            };
            let table = self.clone();
            let silences = self.state(address).silences;
            let handler = move |request| table.clone().handle(address, request);
            let server = serve_silenced(open, silences, handler);
            tokio::select! {
                end = server => return end,
                () = self.wait_for_crash(address) => {}
            }
        }
    }

    async fn wait_for_crash(&self, address: SocketAddr) {
        while !self.state(address).crashed {
            tokio::time::sleep(Duration::from_millis(CRASH_POLL_MS)).await;
        }
    }

    async fn handle(self, address: SocketAddr, request: Request<Incoming>) -> ServerResponse {
        let before = self.state(address);
        if before.crashed {
            return no_response();
        }
        self.change(address, |state| {
            state.arrivals_at.push(Arrival {
                at: Instant::now(),
                incarnation: state.incarnation,
                limits: state.limits,
            });
        });
        let leaving = before.leaving;
        let request_id = request.headers().get("x-attempt-id").cloned();
        let is_query = matches!(request.uri().path(), "/api/report" | "/healthz");
        if is_query && before.resets_queries && before.is_silent() {
            return no_response();
        }
        self.wait_for_silence_end(address).await;
        let mut response = self.clone().handle_request(address, request).await;
        self.wait_for_silence_end(address).await;
        let after = self.state(address);
        if after.crashed || after.incarnation != before.incarnation {
            return no_response();
        }
        // Refusals echo the id of the request as other responses do.
        if let Some(id) = request_id {
            let headers = response.headers_mut();
            headers.entry("x-attempt-id").or_insert(id);
        }
        for limit in before.limits {
            let value = http::HeaderValue::from_static(limit);
            response.headers_mut().append("server-limit", value);
        }
        if leaving {
            let value = http::HeaderValue::from_static("1");
            response.headers_mut().insert("server-leaving", value);
        }
        response
    }

    async fn handle_request(
        self,
        address: SocketAddr,
        request: Request<Incoming>,
    ) -> ServerResponse {
        let path = request.uri().path().to_owned();
        let headers = request.headers().clone();
        let body = read_body(request).await;
        let state = self.state(address);
        let expected = header_value(&headers, "x-expect-replica");
        if !expected.is_empty() && expected != state.id {
            return refusal(421, None);
        }
        match path.as_str() {
            "/api/report" => self.handle_report(&state),
            "/healthz" => handle_health(&state),
            "/api/order" => {
                self.handle_order(address, &serde_json::from_slice(&body).unwrap_or_default())
            }
            _ if !state.rest.is_empty() => {
                self.change(address, |state| state.arrivals += 1);
                let mut response = refusal(503, None);
                let value = http::HeaderValue::from_static(state.rest);
                response.headers_mut().insert("retry-after", value);
                response
            }
            _ if header_value(&headers, "x-hops").is_empty() => {
                self.handle_plain(address, &headers, &body).await
            }
            _ => self.handle_stream(address, &headers, &body),
        }
    }

    /// Serves `/api/report`: the number of accepted orders and the stalled streams.
    fn handle_report(&self, state: &ReplicaState) -> ServerResponse {
        let data = self.data();
        let stalled = data.stalled.iter();
        let stalled: Vec<Value> = stalled
            .map(|(id, address)| json!({"id": id, "address": address.to_string()}))
            .collect();
        json_response(
            &json!({"sequence": state.accepted_orders, "pace": 1.0, "born": state.incarnation, "stalled": stalled}),
        )
    }

    /// Serves `/api/order`: moves a stream to another chain (`repath`) or loads a range of layers.
    fn handle_order(&self, address: SocketAddr, order: &Value) -> ServerResponse {
        let mut data = self.data();
        if order["op"] == "repath" {
            let id = order["id"].as_str().unwrap_or("");
            let hops = parse_hops(order["path"].as_str().unwrap_or(""));
            let dead = hops.iter().find(|(hop, ..)| data.is_dead(*hop));
            if let Some((hop, ..)) = dead {
                return text_response(409, json!({"address": hop.to_string()}).to_string());
            }
            let Some(chain) = data.chains.get_mut(id) else {
                return text_response(404, "");
            };
            *chain = hops.iter().map(|(hop, ..)| *hop).collect();
            if data.crashes_last.contains(id) {
                let last = hops.last().map(|(hop, ..)| *hop);
                drop(data);
                last.into_iter().for_each(|last| self.crash(last));
            }
            return text_response(200, "");
        }
        let token = order["fencing_token"].as_u64().unwrap_or(0);
        let Some(state) = data.replicas.get_mut(&address) else {
            return text_response(404, "");
        };
        if token < state.fencing_token {
            return text_response(412, "");
        }
        if order["expected"]
            .as_u64()
            .is_some_and(|expected| expected != state.accepted_orders)
        {
            return text_response(409, "");
        }
        state.fencing_token = token;
        state.accepted_orders += 1;
        let layer = |name: &str| order[name].as_u64().unwrap_or(0);
        state.layers = (layer("from"), layer("to"));
        text_response(202, "")
    }

    fn record_run(&self, address: SocketAddr, headers: &HeaderMap, body: &Bytes) {
        self.change(address, |state| state.arrivals += 1);
        let state = self.state(address);
        self.data().runs.push(RunRecord {
            request_id: header_value(headers, "x-attempt-id").to_owned(),
            replica: address,
            team: header_value(headers, "x-tenant").to_owned(),
            has_api_key: headers.contains_key("x-api-key"),
            chain: header_value(headers, "x-hops").to_owned(),
            body: String::from_utf8_lossy(body).into_owned(),
            leaving: state.leaving.then_some(state.incarnation),
            fault: state.fault,
        });
    }

    /// Serves a request to a plain service: echoes the body after [`SERVICE_TIME_MS`].
    async fn handle_plain(
        &self,
        address: SocketAddr,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> ServerResponse {
        let state = self.state(address);
        if state.fault == ReplicaFault::Refuses {
            return refusal(503, None);
        }
        if state.fault == ReplicaFault::Fails {
            return text_response(500, "");
        }
        self.record_run(address, headers, body);
        if body == CRASHES_FIRST {
            // It goes on if its caller leaves.
            let table = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(SERVICE_TIME_MS)).await;
                table.crash(address);
            });
            tokio::time::sleep(Duration::from_millis(2 * SERVICE_TIME_MS)).await;
        }
        tokio::time::sleep(Duration::from_millis(SERVICE_TIME_MS)).await;
        let id = match state.fault {
            ReplicaFault::WrongRequestId => "another",
            _ => header_value(headers, "x-attempt-id"),
        };
        let cut_after = |length: usize| {
            let sent = Frame::data(body.slice(..length));
            let parts = [Ok(sent), Err(io::Error::other("lost"))];
            StreamBody::new(futures_util::stream::iter(parts)).boxed_unsync()
        };
        let whole = || replica_response(id, text_response(200, body.clone()).into_body());
        match state.fault {
            ReplicaFault::LosesResponse => replica_response(id, cut_after(0)),
            ReplicaFault::CutsBody => replica_response(id, cut_after(body.len() / 2)),
            ReplicaFault::CutsHead => cut_in_head(whole()),
            ReplicaFault::EndlessBody => replica_response(id, endless_body()),
            _ => whole(),
        }
    }

    /// Serves a stream at the first replica of a chain. It resumes after `last-event-id` and ends
    /// after the second number of `x-token-count`.
    fn handle_stream(
        &self,
        address: SocketAddr,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> ServerResponse {
        let hops = parse_hops(header_value(headers, "x-hops"));
        for (hop, from, to) in &hops {
            let state = self.state(*hop);
            if state.dead || state.crashed {
                return refusal(503, Some(*hop));
            }
            if state.layers.0 > *from || state.layers.1 < *to {
                return refusal(421, Some(*hop));
            }
        }
        let id = header_value(headers, "x-attempt-id").to_owned();
        if self.state(address).answers_error {
            return replica_response(&id, text_response(200, ERROR_TEXT).into_body());
        }
        self.record_run(address, headers, body);
        let token_counts = header_value(headers, "x-token-count");
        let event_count: u64 = token_counts
            .split(',')
            .nth(1)
            .and_then(|count| count.parse().ok())
            .unwrap_or(1);
        let next: u64 = header_value(headers, "last-event-id")
            .parse()
            .map_or(1, |last: u64| last + 1);
        let chain: Vec<SocketAddr> = hops.iter().map(|(hop, ..)| *hop).collect();
        match (&body[..], chain.first(), chain.last()) {
            (body, Some(first), _) if body == CRASHES_FIRST.as_bytes() => self.crash(*first),
            (body, Some(first), _) if body == DARKENS_FIRST.as_bytes() => self.darken(*first),
            (body, _, Some(last)) if body == CRASHES_LAST.as_bytes() => {
                self.data().crashes_last.insert(id.clone());
                self.crash(*last);
            }
            _ => {}
        }
        if has_crashing_part(headers) {
            let table = self.clone();
            let incarnation = self.state(address).incarnation;
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(EVENT_INTERVAL_MS + PART_CRASH_MS)).await;
                let state = table.state(address);
                if !state.crashed && state.incarnation == incarnation {
                    table.crash(address);
                }
            });
        }
        let number = {
            let mut data = self.data();
            data.chains.insert(id.clone(), chain);
            if body != DARKENS_FIRST {
                data.cut_off.remove(&id);
            }
            let number = data.runs.len();
            data.stream_numbers.insert(id.clone(), number);
            number
        };
        let start = (next, StreamGuard(self.clone(), id.clone(), number));
        let table = self.clone();
        let events = futures_util::stream::unfold(start, move |(next, guard)| {
            let table = table.clone();
            async move {
                if next > event_count {
                    return None;
                }
                if !table.wait_for_event(address, &guard.1).await {
                    return Some((Err(io::Error::other("died")), (event_count + 1, guard)));
                }
                let event = match table.state(address).omits_event_ids {
                    true => format!("data: token {next}\n\n"),
                    false => format!("id: {next}\ndata: token {next}\n\n"),
                };
                Some((Ok(Frame::data(Bytes::from(event))), (next + 1, guard)))
            }
        });
        let mut response = replica_response(&id, StreamBody::new(events).boxed_unsync());
        let event_stream = http::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert("content-type", event_stream);
        response
    }

    /// Waits until the next event of a stream is due and no replica of its chain is dead. Records
    /// a dead replica of the chain as the one that stalls the stream. Returns false if the first
    /// replica is dead.
    async fn wait_for_event(&self, first: SocketAddr, id: &str) -> bool {
        loop {
            tokio::time::sleep(Duration::from_millis(EVENT_INTERVAL_MS)).await;
            let mut data = self.data();
            if data.is_silent(first) {
                continue;
            }
            if data.is_dead(first) || data.cut_off.contains(id) {
                return false;
            }
            let chain = data.chains.get(id).cloned().unwrap_or_default();
            let holds_up = |hop: &SocketAddr| data.is_dead(*hop) || data.is_silent(*hop);
            match chain.into_iter().find(holds_up) {
                Some(hop) => {
                    data.stalled.insert(id.to_owned(), hop);
                }
                None => {
                    data.stalled.remove(id);
                    return true;
                }
            }
        }
    }
}

fn endless_body() -> crate::server::ServerBody {
    let parts = futures_util::stream::repeat_with(|| vec![b'x'; ENDLESS_PART_BYTES]);
    let parts = parts.then(|part| async {
        tokio::time::sleep(Duration::from_millis(ENDLESS_INTERVAL_MS)).await;
        Ok(Frame::data(Bytes::from(part)))
    });
    StreamBody::new(parts).boxed_unsync()
}

/// Builds a response with status 200, a body and the headers that replicas set: `x-attempt-id` and
/// `x-replica-stamp`.
fn replica_response(id: &str, body: crate::server::ServerBody) -> ServerResponse {
    let mut response = http::Response::new(body);
    let headers = response.headers_mut();
    if let Ok(value) = id.parse() {
        headers.insert("x-attempt-id", value);
    }
    headers.insert("x-replica-stamp", http::HeaderValue::from_static("stamp"));
    response
}
