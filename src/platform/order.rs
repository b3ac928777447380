//! Orders that gateways send to replicas, and the reports that replicas return.

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::WrapErr;
use http::{HeaderValue, Method, Request};
use http_body_util::Full;
use serde::Deserialize;
use serde_json::{json, Value};

use crate::fetch::json_request;
use crate::gateway::placement::OrderReply;
use crate::gateway::upstream::LayerRange;
use crate::platform::headers::{chain_text, EXPECT_REPLICA};

const REPORT_PATH: &str = "/api/report";
/// Largest answer of a replica to a report query or an order, bytes.
pub const MAX_REPORT_BYTES: usize = 256 * 1024;

/// A request that makes no progress, as a replica reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StalledRequest {
    /// Id that the caller gave the request.
    pub id: String,
    /// Address of the replica that the request waits for; `None` if the report states none.
    pub address: Option<SocketAddr>,
}

#[derive(Deserialize)]
struct RawReport {
    #[serde(default)]
    stalled: Vec<RawStalled>,
    #[serde(default)]
    sequence: u64,
    pace: Option<f64>,
    #[serde(default)]
    born: Value,
}

#[derive(Deserialize)]
struct RawStalled {
    id: String,
    #[serde(default)]
    address: String,
}

fn order_request(
    address: SocketAddr,
    id: &str,
    body: &Value,
) -> eyre::Result<Request<Full<Bytes>>> {
    let mut request = json_request(Method::POST, &format!("http://{address}/api/order"), body)?;
    let value = HeaderValue::from_str(id)
        .wrap_err("could not put the replica id into the x-expect-replica header")?;
    request.headers_mut().insert(EXPECT_REPLICA, value);
    Ok(request)
}

/// Builds the order to hold a range of layers. `token` is the fencing token of the lease holder and
/// `sequence` the number of orders that the replica is expected to have accepted before.
///
/// # Errors
///
/// If the id is not a valid header value.
pub fn place_request(
    address: SocketAddr,
    id: &str,
    layers: LayerRange,
    token: u64,
    sequence: u64,
) -> eyre::Result<Request<Full<Bytes>>> {
    let body = json!({
        "op": "place",
        "from": layers.from,
        "to": layers.to,
        "handoff_mode": "wait",
        "fencing_token": token,
        "expected": sequence,
    });
    order_request(address, id, &body)
}

/// Builds the order to reroute a running request, which is `repath` on the wire.
///
/// # Errors
///
/// If the id is not a valid header value.
pub fn repath_request(
    address: SocketAddr,
    id: &str,
    request_id: &str,
    chain: &[(SocketAddr, LayerRange)],
) -> eyre::Result<Request<Full<Bytes>>> {
    let body = json!({"op": "repath", "id": request_id, "path": chain_text(chain)});
    order_request(address, id, &body)
}

/// Builds the request for a replica's report.
///
/// # Errors
///
/// If the URL of the address is invalid.
pub fn report_request(address: SocketAddr) -> eyre::Result<Request<Full<Bytes>>> {
    let request = Request::get(format!("http://{address}{REPORT_PATH}"));
    Ok(request.body(Full::default())?)
}

/// Builds the health check of a replica. `path` is that of its service; without one, the replica is
/// asked for its report.
///
/// # Errors
///
/// If the URL or the id is invalid.
pub fn health_request(
    address: SocketAddr,
    id: &str,
    path: &str,
) -> eyre::Result<Request<Full<Bytes>>> {
    let path = Some(path).filter(|path| path.starts_with('/'));
    let path = path.unwrap_or(REPORT_PATH);
    let request = Request::get(format!("http://{address}{path}"));
    let request = request.header(EXPECT_REPLICA, id);
    Ok(request.body(Full::default())?)
}

/// A replica's report about its work.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaReport {
    /// Requests that the replica received and that make no progress there or at a later replica of
    /// their chain.
    pub stalled: Vec<StalledRequest>,
    /// Number of placement orders that the replica has accepted since it started.
    pub accepted_orders: u64,
    /// Slowdown: how many times longer than nominal its work takes; 1 if the replica does not state
    /// it.
    pub slowdown: f64,
    /// Start of the incarnation that reports, Unix milliseconds; `None` if it is not stated.
    pub born: Option<u64>,
}

impl ReplicaReport {
    /// Whether the report is of another incarnation than the one that started at `born`, which is
    /// zero if that is unknown.
    pub fn is_of_another(&self, born: u64) -> bool {
        born != 0 && self.born.is_some_and(|stated| stated != born)
    }
}

/// Decodes a report from its JSON form.
///
/// # Errors
///
/// If `body` is not JSON of the expected form.
pub fn decode_report(body: &[u8]) -> eyre::Result<ReplicaReport> {
    let report: RawReport =
        serde_json::from_slice(body).wrap_err("could not decode the report as JSON")?;
    let stalled = report.stalled.into_iter().map(|raw| StalledRequest {
        id: raw.id,
        address: raw.address.parse().ok(),
    });
    Ok(ReplicaReport {
        stalled: stalled.collect(),
        accepted_orders: report.sequence,
        slowdown: report.pace.unwrap_or(1.0),
        born: report.born.as_u64(),
    })
}

/// Returns the outcome of a placement order from the HTTP status of its response.
pub fn order_reply(status: u16) -> OrderReply {
    match status {
        202 => OrderReply::Accepted,
        200 => OrderReply::Done,
        409 => OrderReply::Conflict(None),
        412 => OrderReply::Fenced,
        400 | 404 | 421 => OrderReply::Rejected,
        _ => OrderReply::Unanswered,
    }
}

/// Returns the address of the faulty replica that the refusal of an order names, or `None` if it
/// names none.
pub fn fault_address(body: &[u8]) -> Option<SocketAddr> {
    let value: Value = serde_json::from_slice(body).ok()?;
    value.get("address")?.as_str()?.parse().ok()
}
