//! HTTP server helpers on top of gotham: reading a complete request and building responses.

use std::future::Future;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use futures_util::FutureExt;
use gotham::handler::{Handler, HandlerFuture, NewHandler};
use gotham::helpers::http::Body;
use gotham::router::Router;
use gotham::state::{FromState, State};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, Method, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpListener;

use crate::linger::LingeringStream;
use crate::verdict::{RefusalReason, RequestRefusal};

/// Maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time within which a request body must be complete, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// An HTTP request with its complete body.
#[derive(Clone, Debug)]
pub struct WebRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query string.
    pub uri: Uri,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Complete body, at most [`MAX_BODY_BYTES`] bytes.
    pub body: Bytes,
}

impl WebRequest {
    /// Returns the value of a header; empty if the header is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    /// Returns the bearer token of the `authorization` header; empty if there is none.
    pub fn bearer_token(&self) -> &str {
        self.header("authorization")
            .strip_prefix("Bearer ")
            .unwrap_or("")
            .trim()
    }

    /// Returns a parameter of the query string, without percent-decoding; empty if it is absent.
    pub fn query_param(&self, name: &str) -> &str {
        let query = self.uri.query().unwrap_or("");
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map_or("", |(_, value)| value)
    }
}

/// Future with which a route handler yields its response.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

type RequestFn = dyn Fn(WebRequest) -> ResponseFuture + Send + Sync;

/// Handler of a route: reads the complete request and passes it to a function.
pub struct RouteHandler {
    respond: AssertUnwindSafe<Arc<RequestFn>>,
}

impl Clone for RouteHandler {
    fn clone(&self) -> RouteHandler {
        RouteHandler {
            respond: AssertUnwindSafe(Arc::clone(&self.respond)),
        }
    }
}

impl RouteHandler {
    /// Creates a handler that calls `respond` for each request.
    pub fn new(
        respond: impl Fn(WebRequest) -> ResponseFuture + Send + Sync + 'static,
    ) -> RouteHandler {
        RouteHandler {
            respond: AssertUnwindSafe(Arc::new(respond)),
        }
    }
}

impl NewHandler for RouteHandler {
    type Instance = RouteHandler;

    fn new_handler(&self) -> gotham::anyhow::Result<RouteHandler> {
        Ok(self.clone())
    }
}

impl Handler for RouteHandler {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        async move {
            let response = match read_request(&mut state).await {
                Ok(request) => (self.respond)(request).await,
                Err(refusal) => problem_response(&refusal),
            };
            Ok((state, response))
        }
        .boxed()
    }
}

async fn read_request(state: &mut State) -> Result<WebRequest, RequestRefusal> {
    let body = Limited::new(Body::take_from(state), MAX_BODY_BYTES).collect();
    let body = tokio::time::timeout(Duration::from_millis(BODY_TIMEOUT_MS), body).await;
    let Ok(body) = body else {
        let detail = format!("the body did not come within {BODY_TIMEOUT_MS} ms");
        return Err(RequestRefusal::not_run(RefusalReason::BadRequest, detail));
    };
    let Ok(body) = body else {
        let detail = format!("the body is cut short or larger than {MAX_BODY_BYTES} bytes");
        return Err(RequestRefusal::not_run(RefusalReason::TooLarge, detail));
    };
    Ok(WebRequest {
        method: Method::take_from(state),
        uri: Uri::take_from(state),
        headers: HeaderMap::take_from(state),
        body: body.to_bytes(),
    })
}

/// Serves a router on an address until the process exits.
///
/// # Errors
///
/// If the address cannot be listened on.
pub async fn serve(address: SocketAddr, router: Router) -> eyre::Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("could not listen on {address}"))?;
    let wrap = |stream| std::future::ready(Ok(LingeringStream::new(stream)));
    gotham::bind_server(listener, router, wrap).await
}

/// Converts bytes to a response body.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    let body = Full::new(bytes.into()).map_err(|error| match error {});
    Body::new(body)
}

/// Builds a response with a body. An invalid status becomes 502.
pub fn build_response(status: u16, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = content_type.parse() {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}

/// Builds a response with a JSON body. Responds with status 500 if the value cannot be serialised.
pub fn json_response(status: u16, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => build_response(status, "application/json", body),
        Err(error) => build_response(500, "text/plain", error.to_string()),
    }
}

/// Returns the problem document (RFC 9457) of a refusal.
pub fn problem_json(refusal: &RequestRefusal) -> serde_json::Value {
    json!({
        "type": format!("urn:lynxcart:refusal:{}", refusal.reason),
        "title": refusal.reason.to_string(),
        "status": refusal.reason.status(),
        "detail": refusal.detail,
        "verdict": refusal.verdict.to_string(),
        "reason": refusal.reason.to_string(),
        "retry_after_ms": refusal.retry_after_ms,
    })
}

/// Builds the response to a refused request: a problem document, with `retry-after` if the refusal
/// says when to retry.
pub fn problem_response(refusal: &RequestRefusal) -> Response<Body> {
    let body = problem_json(refusal).to_string();
    let status = refusal.reason.status();
    let mut response = build_response(status, "application/problem+json", body);
    if let Some(millis) = refusal.retry_after_ms {
        // `retry-after` is in seconds; rounding up avoids a retry that is too early.
        let seconds = millis.div_ceil(1_000);
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}
