//! Headers of requests and answers as the platform's callers and upstreams write them.

use std::net::SocketAddr;

use http::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Request};

use crate::gateway::upstream::LayerRange;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-attempt-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const API_KEY: HeaderName = HeaderName::from_static("x-api-key");
const TENANT: HeaderName = HeaderName::from_static("x-tenant");
const TOKENS: HeaderName = HeaderName::from_static("x-token-count");
const LENGTH_HINT: HeaderName = HeaderName::from_static("x-length-hint");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
const EXPECT: HeaderName = HeaderName::from_static("x-expect-replica");
const EXPECT_VERSION: HeaderName = HeaderName::from_static("x-expect-version");
const PRIORITY: HeaderName = HeaderName::from_static("x-request-priority");
const HOPS: HeaderName = HeaderName::from_static("x-hops");
const STAMP: HeaderName = HeaderName::from_static("x-replica-stamp");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-executed");
const AT: HeaderName = HeaderName::from_static("at-server");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// What a caller says in the head of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMeta {
    /// Identity of this attempt of the caller; empty when absent.
    pub id: String,
    /// Time that the caller will wait, milliseconds.
    pub deadline_ms: Option<u64>,
    /// The caller's key; empty when absent.
    pub key: String,
    /// Tokens of the prompt, for a model.
    pub prompt_tokens: u32,
    /// Most tokens of the answer, for a model.
    pub answer_tokens: u32,
    /// The caller's estimate of the tokens of the answer.
    pub answer_hint: Option<u32>,
    /// The event after which a stream is to go on.
    pub last_event: Option<u64>,
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    let value = headers.get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .trim()
}

/// Reads the head of a caller's request.
pub fn request_meta(headers: &HeaderMap) -> RequestMeta {
    let tokens = text(headers, &TOKENS);
    let (prompt, answer) = tokens.split_once(',').unwrap_or((tokens, ""));
    RequestMeta {
        id: text(headers, &REQUEST_ID).to_owned(),
        deadline_ms: text(headers, &DEADLINE).parse().ok(),
        key: text(headers, &API_KEY).to_owned(),
        prompt_tokens: prompt.trim().parse().unwrap_or(0),
        answer_tokens: answer.trim().parse().unwrap_or(0),
        answer_hint: text(headers, &LENGTH_HINT).parse().ok(),
        last_event: text(headers, &LAST_EVENT).parse().ok(),
    }
}

/// What an upstream is told beside what the caller sent.
#[derive(Clone, Debug)]
pub struct PassOn<'a> {
    /// Time left, milliseconds.
    pub left_ms: u64,
    /// The upstream that is meant.
    pub upstream: &'a str,
    /// The team, for a route with keys.
    pub team: Option<&'a str>,
    /// Rank of the request in the upstream's queue, 0 to 9, for a model.
    pub priority: Option<u8>,
    /// The chain, when the layers are spread.
    pub chain: &'a [(SocketAddr, LayerRange)],
    /// The event after which a stream goes on, when it is not the caller's own word.
    pub last_event: Option<u64>,
}

/// Headers that concern one connection only, or that only the system may set.
fn stays_here(name: &HeaderName, named: &[String]) -> bool {
    let ours = [
        API_KEY,
        TENANT,
        DEADLINE,
        EXPECT,
        EXPECT_VERSION,
        PRIORITY,
        HOPS,
        CONTENT_LENGTH,
    ];
    is_hop_by_hop(name) || ours.contains(name) || named.iter().any(|other| other == name.as_str())
}

fn is_hop_by_hop(name: &HeaderName) -> bool {
    let hop = [
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
    hop.contains(name)
}

/// Names that a Connection header lists, in lower case.
fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| !name.is_empty())
        .collect()
}

fn number_value(number: u64) -> HeaderValue {
    HeaderValue::from(number)
}

/// The head of a chain as upstreams read it.
pub fn chain_text(chain: &[(SocketAddr, LayerRange)]) -> String {
    let hops = chain
        .iter()
        .map(|(address, layers)| format!("{address}={layers}"));
    hops.collect::<Vec<_>>().join(",")
}

/// The request to an upstream, with the caller's method, path and headers.
pub fn upstream_request<B>(parts: &Parts, pass: &PassOn<'_>, body: B) -> Request<B> {
    let mut request = Request::new(body);
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = origin_form(parts);
    let named = named_by_connection(&parts.headers);
    let headers = request.headers_mut();
    for (name, value) in &parts.headers {
        if !stays_here(name, &named) {
            headers.append(name.clone(), value.clone());
        }
    }
    if let (false, Some(authority)) = (headers.contains_key(HOST), parts.uri.authority()) {
        if let Ok(value) = HeaderValue::from_str(authority.as_str()) {
            headers.insert(HOST, value);
        }
    }
    headers.insert(DEADLINE, number_value(pass.left_ms));
    let mut put = |name: HeaderName, text: &str| match HeaderValue::from_str(text) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(error) => spdlog::error!("event=header_dropped name={name} error=\"{error}\""),
    };
    put(EXPECT, pass.upstream);
    if let Some(team) = pass.team {
        put(TENANT, team);
    }
    if let Some(priority) = pass.priority {
        put(PRIORITY, &priority.min(9).to_string());
    }
    if !pass.chain.is_empty() {
        put(HOPS, &chain_text(pass.chain));
    }
    if let Some(event) = pass.last_event {
        put(LAST_EVENT, &event.to_string());
    }
    request
}

/// Path and query without scheme and authority.
fn origin_form(parts: &Parts) -> http::Uri {
    match parts.uri.path_and_query() {
        Some(path) if parts.uri.scheme().is_some() => http::Uri::from(path.clone()),
        _ => parts.uri.clone(),
    }
}

/// What an upstream says in the head of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerMeta {
    /// Whether it answers the request that was asked.
    pub is_ours: bool,
    /// Whether it answers another request by its own word.
    pub names_another: bool,
    /// Whether it bears a replica's signature.
    pub signed: bool,
    /// Whether it says that the request did not run.
    pub not_run: bool,
    /// Whether the body is encoded, and so not the upstream's own.
    pub encoded: bool,
    /// The replica of the chain that is at fault, when it is named.
    pub at: Option<SocketAddr>,
    /// Whether the upstream closes the connection after it.
    pub closes: bool,
    /// How long the upstream keeps the connection open when idle, milliseconds.
    pub idle_ms: Option<u64>,
}

/// Reads the head of an answer to the request with identity `id`.
pub fn answer_meta(id: &str, headers: &HeaderMap) -> AnswerMeta {
    let keep = text(headers, &KEEP_ALIVE);
    let mut parts = keep
        .split(',')
        .filter_map(|part| part.trim().split_once('='));
    let timeout = parts.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"));
    let idle_s: Option<u64> = timeout.and_then(|(_, value)| value.trim().parse().ok());
    let ids: Vec<&HeaderValue> = headers.get_all(REQUEST_ID).iter().collect();
    AnswerMeta {
        is_ours: ids.len() == 1 && ids[0] == id,
        names_another: ids.iter().any(|value| *value != id),
        signed: headers.contains_key(STAMP),
        not_run: headers.contains_key(NOT_RUN),
        encoded: headers.contains_key(CONTENT_ENCODING),
        at: text(headers, &AT).parse().ok(),
        closes: named_by_connection(headers)
            .iter()
            .any(|name| name == "close"),
        idle_ms: idle_s.map(|seconds| seconds * 1_000),
    }
}

/// The headers of an upstream's answer that go on to the caller.
pub fn caller_headers(headers: &HeaderMap) -> HeaderMap {
    let named = named_by_connection(headers);
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let named = named.iter().any(|other| other == name.as_str());
        if !is_hop_by_hop(name) && !named {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

/// Puts the identity of the request on an answer of our own.
pub fn put_identity(headers: &mut HeaderMap, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID, value);
    }
}
