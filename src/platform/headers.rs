//! HTTP headers that the platform's callers and upstreams exchange with the gateway.

use std::net::SocketAddr;

use http::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, HOST, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use strum::Display;

use crate::gateway::rate_limit::LimitStatement;
use crate::gateway::upstream::LayerRange;
use crate::store::position::EraStatement;

/// The caller's id of a request. Despite the header's name, all attempts that the gateway makes for
/// the request carry the same id.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-attempt-id");
const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
const API_KEY: HeaderName = HeaderName::from_static("x-api-key");
const TENANT: HeaderName = HeaderName::from_static("x-tenant");
const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
const TOKEN_COUNT: HeaderName = HeaderName::from_static("x-token-count");
const LENGTH_HINT: HeaderName = HeaderName::from_static("x-length-hint");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
pub(super) const EXPECT_REPLICA: HeaderName = HeaderName::from_static("x-expect-replica");
const EXPECT_VERSION: HeaderName = HeaderName::from_static("x-expect-version");
const PRIORITY: HeaderName = HeaderName::from_static("x-request-priority");
const HOPS: HeaderName = HeaderName::from_static("x-hops");
const REPLICA_STAMP: HeaderName = HeaderName::from_static("x-replica-stamp");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
const REPLICA_ID: HeaderName = HeaderName::from_static("x-replica-id");
const AT_SERVER: HeaderName = HeaderName::from_static("at-server");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");
const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");
const STORE_ERA: HeaderName = HeaderName::from_static("store-era");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Values parsed from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMeta {
    /// Id that the caller gave this request (`x-attempt-id`); empty if absent.
    pub id: String,
    /// Time that the caller waits for the response, milliseconds; `None` if absent or malformed.
    pub deadline_ms: Option<u64>,
    /// The caller's API key; empty if absent.
    pub api_key: String,
    /// Number of tokens in the prompt of a model request; zero if not stated.
    pub prompt_tokens: u32,
    /// Upper bound of the number of tokens in the answer to a model request; zero if not stated.
    pub max_answer_tokens: u32,
    /// The caller's estimate of the number of tokens in the answer; `None` if not stated.
    pub answer_hint: Option<u32>,
    /// Id of the event after which a stream is to be resumed; `None` if it starts from the
    /// beginning.
    pub last_event_id: Option<u64>,
    /// Ids of the parts of the prompt that other requests may share, at most
    /// [`MAX_PROMPT_PARTS`]: all but the last, which is the request's own.
    pub shared_parts: Vec<u128>,
}

/// Upper bound of the shared parts of a prompt that are told apart.
pub const MAX_PROMPT_PARTS: usize = 16;

/// Parses the ids of the shared parts out of a list of `ID:TOKENS`. Ids that are not hexadecimal
/// numbers of at most 32 digits are left out.
fn shared_parts(list: &str) -> Vec<u128> {
    let mut parts: Vec<&str> = list.split(',').collect();
    parts.pop();
    let ids = parts.into_iter().filter_map(|part| {
        let id = part.split_once(':').map_or(part, |(id, _)| id).trim();
        u128::from_str_radix(id, 16).ok()
    });
    ids.take(MAX_PROMPT_PARTS).collect()
}

/// Returns the trimmed value of a header; empty if it is absent or not text.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    let value = headers.get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .trim()
}

/// Parses the headers of a caller's request.
pub fn request_meta(headers: &HeaderMap) -> RequestMeta {
    let tokens = header_text(headers, &TOKEN_COUNT);
    let (prompt, answer) = tokens.split_once(',').unwrap_or((tokens, ""));
    RequestMeta {
        id: header_text(headers, &REQUEST_ID).to_owned(),
        deadline_ms: header_text(headers, &DEADLINE_MS).parse().ok(),
        api_key: header_text(headers, &API_KEY).to_owned(),
        prompt_tokens: prompt.trim().parse().unwrap_or(0),
        max_answer_tokens: answer.trim().parse().unwrap_or(0),
        answer_hint: header_text(headers, &LENGTH_HINT).parse().ok(),
        last_event_id: header_text(headers, &LAST_EVENT_ID).parse().ok(),
        shared_parts: shared_parts(header_text(headers, &PROMPT_PREFIX)),
    }
}

/// Values that the gateway adds to the headers of a caller's request for an upstream.
#[derive(Clone, Debug)]
pub struct AddedHeaders<'a> {
    /// Time left until the deadline, milliseconds.
    pub remaining_ms: u64,
    /// Id of the upstream that the request is meant for.
    pub upstream: &'a str,
    /// Name of the caller's team; `None` on a route that needs no key.
    pub team: Option<&'a str>,
    /// Priority in the upstream's queue, 0 to 9, where higher values are sent as 9. `None` for a
    /// service without a model.
    pub priority: Option<u8>,
    /// Address and layer range of each replica of the chain, in order; empty for a service without
    /// a model.
    pub chain: &'a [(SocketAddr, LayerRange)],
    /// Id of the event after which the stream continues; replaces the caller's own `last-event-id`.
    /// `None` leaves the caller's header as it is.
    pub last_event_id: Option<u64>,
}

/// Whether a request header is not forwarded: it concerns one connection only, or only the gateway
/// may set it. `connection_headers` are the names that the Connection header lists.
fn is_stripped(name: &HeaderName, connection_headers: &[String]) -> bool {
    let reserved = [
        API_KEY,
        TENANT,
        DEADLINE_MS,
        EXPECT_REPLICA,
        EXPECT_VERSION,
        PRIORITY,
        HOPS,
        CONTENT_LENGTH,
    ];
    is_hop_by_hop(name)
        || reserved.contains(name)
        || connection_headers
            .iter()
            .any(|other| other == name.as_str())
}

fn is_hop_by_hop(name: &HeaderName) -> bool {
    let hop_by_hop = [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    hop_by_hop.contains(name)
}

/// Returns the names that the Connection headers list, in lower case.
fn connection_header_names(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).iter();
    let lists = values.filter_map(|value| value.to_str().ok());
    lists
        .flat_map(|list| list.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| !name.is_empty())
        .collect()
}

fn number_value(number: u64) -> HeaderValue {
    HeaderValue::from(number)
}

/// Formats a chain for the `x-hops` header: `address=from-to`, separated by commas.
pub fn chain_text(chain: &[(SocketAddr, LayerRange)]) -> String {
    let hops = chain
        .iter()
        .map(|(address, layers)| format!("{address}={layers}"));
    hops.collect::<Vec<_>>().join(",")
}

/// Builds the request to an upstream from the caller's method, path and headers.
pub fn upstream_request<B>(parts: &Parts, added: &AddedHeaders<'_>, body: B) -> Request<B> {
    let mut request = Request::new(body);
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = origin_form(parts);
    let connection_headers = connection_header_names(&parts.headers);
    let headers = request.headers_mut();
    for (name, value) in &parts.headers {
        if !is_stripped(name, &connection_headers) {
            headers.append(name.clone(), value.clone());
        }
    }
    if let (false, Some(authority)) = (headers.contains_key(HOST), parts.uri.authority()) {
        if let Ok(value) = HeaderValue::from_str(authority.as_str()) {
            headers.insert(HOST, value);
        }
    }
    headers.insert(DEADLINE_MS, number_value(added.remaining_ms));
    let mut insert = |name: HeaderName, text: &str| match HeaderValue::from_str(text) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(error) => spdlog::error!("event=header_dropped name={name} error=\"{error}\""),
    };
    insert(EXPECT_REPLICA, added.upstream);
    if let Some(team) = added.team {
        insert(TENANT, team);
    }
    if let Some(priority) = added.priority {
        insert(PRIORITY, &priority.min(9).to_string());
    }
    if !added.chain.is_empty() {
        insert(HOPS, &chain_text(added.chain));
    }
    if let Some(event) = added.last_event_id {
        insert(LAST_EVENT_ID, &event.to_string());
    }
    request
}

/// Returns the URI of a request without scheme and authority.
fn origin_form(parts: &Parts) -> http::Uri {
    match parts.uri.path_and_query() {
        Some(path) if parts.uri.scheme().is_some() => http::Uri::from(path.clone()),
        _ => parts.uri.clone(),
    }
}

/// Values parsed from the headers of an upstream's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMeta {
    /// Whether the response carries exactly one request id, that of the request that was sent.
    pub has_request_id: bool,
    /// Whether the response carries the id of any other request.
    pub has_other_id: bool,
    /// Whether the response carries the stamp of a replica (`x-replica-stamp`).
    pub stamped: bool,
    /// Whether the response states that the request did not run (`x-not-executed`).
    pub not_run: bool,
    /// Whether the body has a content encoding, or a transfer coding other than chunks. Upstreams
    /// apply none, so such a response is invalid.
    pub encoded: bool,
    /// Address of the replica of the chain that is at fault (`at-server`); `None` if not stated.
    pub faulty_replica: Option<SocketAddr>,
    /// Whether the upstream closes the connection after this response.
    pub closes_connection: bool,
    /// How long the upstream keeps the connection open while idle, milliseconds; `None` if not
    /// stated.
    pub idle_ms: Option<u64>,
    /// Whether the upstream says that it is leaving and is to get no new requests
    /// (`server-leaving: 1`).
    pub leaving: bool,
    /// How long the upstream asks to be left alone (`retry-after`), milliseconds; `None` if it does
    /// not, or asks in a form that is not believed.
    pub rest_ms: Option<u64>,
    /// What the response says of the requests a second that the upstream takes (`server-limit`).
    pub limit: LimitStatement,
}

/// Longest time for which an upstream is left alone because it asks for it, milliseconds. A longer
/// one is taken for a garbled header.
const MAX_REST_MS: f64 = 3_600_000.0;

/// Type of a response's body without parameters, as "type/subtype"; empty if it states none.
pub fn body_type(headers: &HeaderMap) -> String {
    let text = header_text(headers, &CONTENT_TYPE);
    let essence = text.split(';').next().unwrap_or(text);
    essence.trim().to_ascii_lowercase()
}

/// Whether a response can be the stream of events that a streaming route answers with.
pub fn may_be_event_stream(status: StatusCode, headers: &HeaderMap) -> bool {
    let body_type = body_type(headers);
    status == StatusCode::OK && (body_type.is_empty() || body_type == "text/event-stream")
}

/// Whether a response says that its upstream is leaving.
pub fn is_leaving(headers: &HeaderMap) -> bool {
    header_text(headers, &SERVER_LEAVING) == "1"
}

/// What the response to a health check says of the upstream that gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum HealthStatement {
    /// It takes requests, or rejects some for want of room.
    Serving,
    /// It is leaving.
    Leaving,
    /// It does not consider itself healthy.
    Failing,
    /// It is not the upstream that was asked.
    Other,
}

/// Parses the response to a health check of the upstream with the id `id`.
pub fn health_statement(id: &str, status: StatusCode, headers: &HeaderMap) -> HealthStatement {
    let answered_by = header_text(headers, &REPLICA_ID);
    let is_other = !answered_by.is_empty() && answered_by != id;
    // A replica that has no room rejects a health check like any other request, and says so.
    let is_rejected = headers.contains_key(NOT_EXECUTED) || headers.contains_key(RETRY_AFTER);
    match status {
        StatusCode::MISDIRECTED_REQUEST => HealthStatement::Other,
        _ if is_other => HealthStatement::Other,
        _ if is_leaving(headers) => HealthStatement::Leaving,
        StatusCode::SERVICE_UNAVAILABLE if !is_rejected => HealthStatement::Failing,
        _ => HealthStatement::Serving,
    }
}

/// Parses how many requests a second the upstream of a response takes from all gateways together.
pub fn limit_statement(headers: &HeaderMap) -> LimitStatement {
    let values = headers.get_all(SERVER_LIMIT).iter();
    // A value that is not text is no number either.
    LimitStatement::from_values(values.map(|value| value.to_str().unwrap_or("?")))
}

/// Parses how long an upstream asks to be left alone: seconds, which may include fractions.
pub fn rest_ms(headers: &HeaderMap) -> Option<u64> {
    let text = header_text(headers, &RETRY_AFTER);
    if text.is_empty() {
        return None;
    }
    let rest_ms = text.parse::<f64>().unwrap_or(f64::NAN) * 1_000.0;
    if !(0.0..=MAX_REST_MS).contains(&rest_ms) {
        spdlog::warn!("event=rest_ignored retry_after={text:?} expected=seconds");
        return None;
    }
    // Rounded up, so that the upstream is not asked before the time is over.
    Some(rest_ms.ceil() as u64)
}

/// Parses the era in which the store gave an answer.
pub fn store_era(headers: &HeaderMap) -> EraStatement {
    let values: Vec<&HeaderValue> = headers.get_all(STORE_ERA).iter().collect();
    let number = |value: &HeaderValue| value.to_str().ok()?.trim().parse().ok();
    match values[..] {
        [] => EraStatement::Absent,
        [value] => number(value).map_or(EraStatement::Garbled, EraStatement::Era),
        _ => EraStatement::Garbled,
    }
}

/// Parses the headers of a response to the request with the id `id`.
pub fn response_meta(id: &str, headers: &HeaderMap) -> ResponseMeta {
    let keep_alive = header_text(headers, &KEEP_ALIVE);
    let mut parameters = keep_alive
        .split(',')
        .filter_map(|parameter| parameter.trim().split_once('='));
    let timeout = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"));
    let idle_s: Option<u64> = timeout.and_then(|(_, value)| value.trim().parse().ok());
    let ids: Vec<&HeaderValue> = headers.get_all(REQUEST_ID).iter().collect();
    ResponseMeta {
        has_request_id: ids.len() == 1 && ids[0] == id,
        has_other_id: ids.iter().any(|value| *value != id),
        stamped: headers.contains_key(REPLICA_STAMP),
        not_run: headers.contains_key(NOT_EXECUTED),
        encoded: headers.contains_key(CONTENT_ENCODING) || has_other_coding(headers),
        faulty_replica: header_text(headers, &AT_SERVER).parse().ok(),
        closes_connection: connection_header_names(headers)
            .iter()
            .any(|name| name == "close"),
        idle_ms: idle_s.map(|seconds| seconds.saturating_mul(1_000)),
        leaving: is_leaving(headers),
        rest_ms: rest_ms(headers),
        limit: limit_statement(headers),
    }
}

/// Whether a body has a transfer coding that is not removed when it is read.
fn has_other_coding(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(TRANSFER_ENCODING).iter();
    codings
        .map(|value| value.to_str().unwrap_or("?"))
        .any(|text| !text.trim().eq_ignore_ascii_case("chunked"))
}

/// Returns the headers of an upstream's response that are forwarded to the caller.
pub fn caller_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_headers = connection_header_names(headers);
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let listed = connection_headers
            .iter()
            .any(|other| other == name.as_str());
        if !is_hop_by_hop(name) && !listed {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Adds the id of the request to a response that the gateway itself creates.
pub fn set_request_id(headers: &mut HeaderMap, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID, value);
    }
}
