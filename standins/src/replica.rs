//! The users' replicas: model engines that hold a range of layers and pass streams along a chain,
//! and plain services.
//!
//! All replicas of a site share one table, so that the first of a chain knows how the others do.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde_json::{json, Value};
use tokio::net::TcpListener;

use crate::server::{json as answer_json, read_body, serve_on, text, ServerResponse};

/// Time between two events of a stream, milliseconds.
pub const EVENT_MS: u64 = 10;
/// Time that a plain service works, milliseconds.
const WORK_MS: u64 = 20;

/// How a plain service fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaFault {
    /// Not at all.
    #[default]
    None,
    /// It runs the call, and the connection breaks before the answer.
    LosesAnswer,
    /// It refuses without running the call.
    Full,
    /// It answers another request.
    AnswersAnother,
}

/// One replica's state.
#[derive(Clone, Debug, Default)]
pub struct ReplicaState {
    /// Its name.
    pub id: String,
    /// Start of its incarnation.
    pub born: u64,
    /// Layers that it holds.
    pub layers: (u64, u64),
    /// Orders that it has taken.
    pub sequence: u64,
    /// Highest fencing token seen.
    pub fence: u64,
    /// Whether it is dead: what depends on it stands still.
    pub dead: bool,
    /// How it fails.
    pub fault: ReplicaFault,
}

/// One run of a request at a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// The caller's identity of the request.
    pub request: String,
    /// The replica.
    pub replica: SocketAddr,
    /// The team that it was told.
    pub team: String,
    /// Whether the caller's key was passed on.
    pub has_key: bool,
    /// The chain, for a model.
    pub chain: String,
    /// The body.
    pub body: String,
}

#[derive(Debug, Default)]
struct TableData {
    replicas: HashMap<SocketAddr, ReplicaState>,
    runs: Vec<RunRecord>,
    /// Chains of streams under way, by request.
    chains: HashMap<String, Vec<SocketAddr>>,
    stalled: HashMap<String, SocketAddr>,
}

/// All replicas of a site; clones share it.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    data: Arc<Mutex<TableData>>,
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

/// The hops of a chain in the form `IP:PORT=FROM-TO,...`.
fn hops(chain: &str) -> Vec<(SocketAddr, u64, u64)> {
    let hops = chain.split(',').filter_map(|hop| {
        let (address, layers) = hop.split_once('=')?;
        let (from, to) = layers.split_once('-')?;
        Some((address.parse().ok()?, from.parse().ok()?, to.parse().ok()?))
    });
    hops.collect()
}

fn refuse(status: u16, at: Option<SocketAddr>) -> ServerResponse {
    let mut response = text(status, "");
    let headers = response.headers_mut();
    headers.insert("x-not-executed", http::HeaderValue::from_static("1"));
    if let Some(Ok(value)) = at.map(|at| at.to_string().parse()) {
        headers.insert("at-server", value);
    }
    response
}

/// Ends a stream when its caller goes.
struct StreamEnd(ReplicaTable, String);

impl Drop for StreamEnd {
    fn drop(&mut self) {
        let mut data = self.0.data();
        data.chains.remove(&self.1);
        data.stalled.remove(&self.1);
    }
}

impl ReplicaTable {
    fn data(&self) -> MutexGuard<'_, TableData> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a replica.
    pub fn add(&self, address: SocketAddr, state: ReplicaState) {
        self.data().replicas.insert(address, state);
    }

    /// Changes a replica's state.
    pub fn change(&self, address: SocketAddr, change: impl FnOnce(&mut ReplicaState)) {
        if let Some(state) = self.data().replicas.get_mut(&address) {
            change(state);
        }
    }

    /// A replica's state.
    pub fn state(&self, address: SocketAddr) -> ReplicaState {
        self.data()
            .replicas
            .get(&address)
            .cloned()
            .unwrap_or_default()
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.data().runs.clone()
    }

    /// The chain over which a stream runs now; empty when it has ended.
    pub fn chain(&self, request: &str) -> Vec<SocketAddr> {
        self.data().chains.get(request).cloned().unwrap_or_default()
    }

    /// Serves one replica until the process ends.
    ///
    /// # Errors
    ///
    /// When a connection cannot be taken.
    pub async fn run(self, listener: TcpListener) -> eyre::Result<()> {
        let address = listener.local_addr()?;
        serve_on(listener, move |request| {
            self.clone().handle(address, request)
        })
        .await
    }

    async fn handle(self, address: SocketAddr, request: Request<Incoming>) -> ServerResponse {
        let path = request.uri().path().to_owned();
        let headers = request.headers().clone();
        let body = read_body(request).await;
        let state = self.state(address);
        let expected = header(&headers, "x-expect-replica");
        if !expected.is_empty() && expected != state.id {
            return refuse(421, None);
        }
        match path.as_str() {
            "/api/report" => self.report(&state),
            "/api/order" => self.order(address, &serde_json::from_slice(&body).unwrap_or_default()),
            _ if header(&headers, "x-hops").is_empty() => self.call(address, &headers, &body).await,
            _ => self.stream(address, &headers, &body),
        }
    }

    fn report(&self, state: &ReplicaState) -> ServerResponse {
        let data = self.data();
        let stalled = data.stalled.iter();
        let stalled: Vec<Value> = stalled
            .map(|(id, address)| json!({"id": id, "address": address.to_string()}))
            .collect();
        answer_json(&json!({"sequence": state.sequence, "pace": 1.0, "stalled": stalled}))
    }

    fn order(&self, address: SocketAddr, order: &Value) -> ServerResponse {
        let mut data = self.data();
        if order["op"] == "repath" {
            let id = order["id"].as_str().unwrap_or("");
            let path = hops(order["path"].as_str().unwrap_or(""));
            let dead = path
                .iter()
                .find(|(hop, ..)| data.replicas.get(hop).is_none_or(|replica| replica.dead));
            if let Some((hop, ..)) = dead {
                return text(409, json!({"address": hop.to_string()}).to_string());
            }
            let Some(chain) = data.chains.get_mut(id) else {
                return text(404, "");
            };
            *chain = path.iter().map(|(hop, ..)| *hop).collect();
            return text(200, "");
        }
        let token = order["fencing_token"].as_u64().unwrap_or(0);
        let Some(state) = data.replicas.get_mut(&address) else {
            return text(404, "");
        };
        if token < state.fence {
            return text(412, "");
        }
        if order["expected"]
            .as_u64()
            .is_some_and(|expected| expected != state.sequence)
        {
            return text(409, "");
        }
        state.fence = token;
        state.sequence += 1;
        let bound = |name: &str| order[name].as_u64().unwrap_or(0);
        state.layers = (bound("from"), bound("to"));
        text(202, "")
    }

    fn record(&self, address: SocketAddr, headers: &HeaderMap, body: &Bytes) {
        self.data().runs.push(RunRecord {
            request: header(headers, "x-attempt-id").to_owned(),
            replica: address,
            team: header(headers, "x-tenant").to_owned(),
            has_key: headers.contains_key("x-api-key"),
            chain: header(headers, "x-hops").to_owned(),
            body: String::from_utf8_lossy(body).into_owned(),
        });
    }

    async fn call(&self, address: SocketAddr, headers: &HeaderMap, body: &Bytes) -> ServerResponse {
        let state = self.state(address);
        if state.fault == ReplicaFault::Full {
            return refuse(503, None);
        }
        self.record(address, headers, body);
        tokio::time::sleep(Duration::from_millis(WORK_MS)).await;
        let id = match state.fault {
            ReplicaFault::AnswersAnother => "another",
            _ => header(headers, "x-attempt-id"),
        };
        if state.fault == ReplicaFault::LosesAnswer {
            let broken = futures_util::stream::iter([Err(io::Error::other("lost"))]);
            return answer(id, StreamBody::new(broken).boxed_unsync());
        }
        answer(id, text(200, body.clone()).into_body())
    }

    fn stream(&self, address: SocketAddr, headers: &HeaderMap, body: &Bytes) -> ServerResponse {
        let path = hops(header(headers, "x-hops"));
        for (hop, from, to) in &path {
            let state = self.state(*hop);
            if state.dead {
                return refuse(503, Some(*hop));
            }
            if state.layers.0 > *from || state.layers.1 < *to {
                return refuse(421, Some(*hop));
            }
        }
        self.record(address, headers, body);
        let id = header(headers, "x-attempt-id").to_owned();
        let tokens = header(headers, "x-token-count");
        let count: u64 = tokens
            .split(',')
            .nth(1)
            .and_then(|n| n.parse().ok())
            .unwrap_or(1);
        let next: u64 = header(headers, "last-event-id")
            .parse()
            .map_or(1, |last: u64| last + 1);
        let chain = path.iter().map(|(hop, ..)| *hop).collect();
        self.data().chains.insert(id.clone(), chain);
        let start = (next, StreamEnd(self.clone(), id.clone()));
        let table = self.clone();
        let events = futures_util::stream::unfold(start, move |(next, end)| {
            let table = table.clone();
            async move {
                if next > count {
                    return None;
                }
                if !table.step(address, &end.1).await {
                    return Some((Err(io::Error::other("died")), (count + 1, end)));
                }
                let event = format!("id: {next}\ndata: token {next}\n\n");
                Some((Ok(Frame::data(Bytes::from(event))), (next + 1, end)))
            }
        });
        answer(&id, StreamBody::new(events).boxed_unsync())
    }

    /// Waits until the next event is made. Returns false if the first replica has died.
    async fn step(&self, first: SocketAddr, id: &str) -> bool {
        loop {
            tokio::time::sleep(Duration::from_millis(EVENT_MS)).await;
            let mut data = self.data();
            let is_dead = |hop: &SocketAddr| data.replicas.get(hop).is_none_or(|state| state.dead);
            if is_dead(&first) {
                return false;
            }
            let chain = data.chains.get(id).cloned().unwrap_or_default();
            match chain.into_iter().find(is_dead) {
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

fn answer(id: &str, body: crate::server::ServerBody) -> ServerResponse {
    let mut response = http::Response::new(body);
    let headers = response.headers_mut();
    if let Ok(value) = id.parse() {
        headers.insert("x-attempt-id", value);
    }
    headers.insert("x-replica-stamp", http::HeaderValue::from_static("stamp"));
    response
}
