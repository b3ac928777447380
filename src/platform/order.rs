//! Orders to replicas and their reports.

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::WrapErr;
use http::{HeaderValue, Method, Request};
use http_body_util::Full;
use serde::Deserialize;
use serde_json::{json, Value};

use crate::fetch::json_request;
use crate::gateway::duty::OrderReply;
use crate::gateway::upstream::LayerRange;
use crate::platform::headers::chain_text;

/// What a replica's report says of requests that do not get on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StalledRequest {
    /// The caller's identity of the request.
    pub id: String,
    /// The replica that it waits for.
    pub address: Option<SocketAddr>,
}

#[derive(Deserialize)]
struct RawReport {
    #[serde(default)]
    stalled: Vec<RawStalled>,
    #[serde(default)]
    sequence: u64,
    pace: Option<f64>,
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
    let value = HeaderValue::from_str(id).wrap_err("could not name the replica")?;
    request.headers_mut().insert("x-expect-replica", value);
    Ok(request)
}

/// The order to hold a range of layers.
///
/// # Errors
///
/// When the id cannot stand in a header.
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

/// The order to lead a running request over another chain.
///
/// # Errors
///
/// When the id cannot stand in a header.
pub fn repath_request(
    address: SocketAddr,
    id: &str,
    request_id: &str,
    chain: &[(SocketAddr, LayerRange)],
) -> eyre::Result<Request<Full<Bytes>>> {
    let body = json!({"op": "repath", "id": request_id, "path": chain_text(chain)});
    order_request(address, id, &body)
}

/// The question for a replica's report.
///
/// # Errors
///
/// When the address cannot stand in a URL.
pub fn report_request(address: SocketAddr) -> eyre::Result<Request<Full<Bytes>>> {
    let request = Request::get(format!("http://{address}/api/report"));
    Ok(request.body(Full::default())?)
}

/// What a replica says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaReport {
    /// The requests that do not get on.
    pub stalled: Vec<StalledRequest>,
    /// The number of orders that it has taken.
    pub sequence: u64,
    /// How many times as long as usual its work takes.
    pub pace: f64,
}

/// Reads a report.
///
/// # Errors
///
/// When it is not JSON of the expected form.
pub fn decode_report(body: &[u8]) -> eyre::Result<ReplicaReport> {
    let report: RawReport = serde_json::from_slice(body).wrap_err("could not read a report")?;
    let stalled = report.stalled.into_iter().map(|raw| StalledRequest {
        id: raw.id,
        address: raw.address.parse().ok(),
    });
    Ok(ReplicaReport {
        stalled: stalled.collect(),
        sequence: report.sequence,
        pace: report.pace.unwrap_or(1.0),
    })
}

/// Reads the answer to an order.
pub fn order_reply(status: u16) -> OrderReply {
    match status {
        202 => OrderReply::Accepted,
        200 => OrderReply::Done,
        409 => OrderReply::Unfit(None),
        412 => OrderReply::Fenced,
        400 | 404 | 421 => OrderReply::Rejected,
        _ => OrderReply::Unanswered,
    }
}

/// The replica that an order's refusal names.
pub fn fault_address(body: &[u8]) -> Option<SocketAddr> {
    let value: Value = serde_json::from_slice(body).ok()?;
    value.get("address")?.as_str()?.parse().ok()
}
