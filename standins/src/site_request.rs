//! Requests that callers send to the gateways of a test site, and their responses.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use lynxcart::fetch::HttpClient;

/// API key of the team `mill` in the site's first configuration document.
pub const API_KEY: &str = "key-of-mill";
/// Deadline that requests carry in `x-deadline-ms`, in milliseconds.
pub const DEADLINE_MS: u64 = 8_000;
/// Another API key of the team `mill`, which no configuration holds at first.
pub const SECOND_API_KEY: &str = "second-key-of-mill";

/// A request that a caller sends to a gateway.
#[derive(Clone, Debug)]
pub struct SiteRequest {
    /// Value of `x-attempt-id`, unique for each request.
    pub id: String,
    /// Request path, which selects the route.
    pub path: &'static str,
    /// API key of the caller.
    pub api_key: &'static str,
    /// Number of events requested of a stream; zero for the plain service.
    pub event_count: u64,
    /// Request body; a text that names the request if it is empty.
    pub body: &'static str,
    /// Length to which the body is filled up, in bytes; zero for none.
    pub min_body_bytes: usize,
    /// Ids of the parts of the prompt that other requests share, separated by commas; the request's
    /// own part is added. Empty for a prompt whose parts are not stated.
    pub shared_parts: &'static str,
}

impl SiteRequest {
    /// Builds a request to the model for a stream of `event_count` events.
    pub fn stream(id: &str, event_count: u64) -> SiteRequest {
        SiteRequest {
            id: id.to_owned(),
            path: "/model/x",
            api_key: API_KEY,
            event_count,
            body: "",
            min_body_bytes: 0,
            shared_parts: "",
        }
    }

    /// Builds a request to the plain service on the non-idempotent route, which must run at most
    /// once.
    pub fn issue(id: &str) -> SiteRequest {
        SiteRequest {
            id: id.to_owned(),
            path: "/issue/x",
            api_key: API_KEY,
            event_count: 0,
            body: "",
            min_body_bytes: 0,
            shared_parts: "",
        }
    }

    /// Builds a request to the plain service on the idempotent route, which may be retried.
    pub fn lookup(id: &str) -> SiteRequest {
        SiteRequest {
            path: "/lookup/x",
            ..SiteRequest::issue(id)
        }
    }

    /// Returns the whole body.
    pub fn body_text(&self) -> String {
        let mut body = match self.body {
            "" => format!("body of {}", self.id),
            body => body.to_owned(),
        };
        let fill = self.min_body_bytes.saturating_sub(body.len());
        body.extend(std::iter::repeat_n('x', fill));
        body
    }

    /// Builds the request's head for a gateway.
    pub fn head(&self) -> http::request::Builder {
        let mut head = Request::post(self.path)
            .header("host", "site.example")
            .header("x-attempt-id", &self.id)
            .header("x-api-key", self.api_key)
            .header("x-tenant", "forged")
            .header("x-deadline-ms", DEADLINE_MS.to_string())
            .header("x-token-count", format!("20,{}", self.event_count));
        if !self.shared_parts.is_empty() {
            let own_part = blake3::hash(self.id.as_bytes()).to_hex();
            let shared = self.shared_parts.split(',');
            let parts = shared.map(|part| format!("{part}:5"));
            let prefix = parts.chain([format!("{}:5", &own_part[..8])]);
            head = head.header("x-prompt-prefix", prefix.collect::<Vec<_>>().join(","));
        }
        head
    }
}

/// A response as received by a caller.
#[derive(Clone, Debug)]
pub struct SiteResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Body, or the received part of it, with invalid UTF-8 replaced.
    pub body: String,
    /// Longest wait for a frame of the body.
    pub longest_pause: Duration,
}

impl SiteResponse {
    /// Returns the event ids of a stream, in the order received.
    pub fn event_ids(&self) -> Vec<u64> {
        let lines = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        lines.filter_map(|id| id.parse().ok()).collect()
    }
}

/// Sends a request to the gateway at an address. Returns the response with its body still unread.
///
/// # Errors
///
/// If no response head is received.
pub async fn send(
    client: &HttpClient,
    address: SocketAddr,
    request: &SiteRequest,
) -> eyre::Result<http::Response<Incoming>> {
    let uri = format!("http://{address}{}", request.path);
    let http_request = request.head().uri(uri);
    Ok(client
        .request(http_request.body(Full::from(request.body_text()))?)
        .await?)
}

/// Reads the whole body of a response.
///
/// # Errors
///
/// If the body is cut short or is not UTF-8.
pub async fn read_response(response: http::Response<Incoming>) -> eyre::Result<SiteResponse> {
    let (received, end) = read_up_to(response, usize::MAX).await;
    end?;
    Ok(received)
}

/// Reads the body of a response until it ends, fails or has at least `max_bytes` bytes. Returns the
/// received part and how the body ended.
pub async fn read_up_to(
    response: http::Response<Incoming>,
    max_bytes: usize,
) -> (SiteResponse, eyre::Result<()>) {
    let (head, mut incoming) = response.into_parts();
    let (mut body, mut longest_pause) = (Vec::new(), Duration::ZERO);
    let mut last_frame = Instant::now();
    let mut end = Ok(());
    while let Some(frame) = incoming.frame().await {
        longest_pause = longest_pause.max(last_frame.elapsed());
        last_frame = Instant::now();
        match frame {
            Ok(frame) => body.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
            Err(error) => {
                end = Err(error.into());
                break;
            }
        }
        if body.len() >= max_bytes {
            break;
        }
    }
    let text = String::from_utf8_lossy(&body).into_owned();
    if end.is_ok() {
        end = std::str::from_utf8(&body).map(|_| ()).map_err(Into::into);
    }
    let received = SiteResponse {
        status: head.status.as_u16(),
        headers: head.headers,
        body: text,
        longest_pause,
    };
    (received, end)
}
