//! Small helpers round gotham: reading a request whole, and answering.

use std::future::Future;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
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

use crate::verdict::{RefusalReason, RequestRefusal};

/// Largest body accepted, bytes.
pub const BODY_LIMIT: usize = 1024 * 1024;
/// Time in which a body must have come, milliseconds.
const BODY_MS: u64 = 10_000;

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct WebRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl WebRequest {
    /// A header as text; empty when it is absent or not text.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    /// The bearer token; empty when there is none.
    pub fn bearer(&self) -> &str {
        self.header("authorization")
            .strip_prefix("Bearer ")
            .unwrap_or("")
            .trim()
    }

    /// A parameter of the query; empty when it is absent.
    pub fn query(&self, name: &str) -> &str {
        let query = self.uri.query().unwrap_or("");
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map_or("", |(_, value)| value)
    }
}

/// The future of an answer.
pub type WebFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

type WebAction = dyn Fn(WebRequest) -> WebFuture + Send + Sync;

/// A route's handler: reads the request whole and hands it to an action.
pub struct WebRoute {
    action: AssertUnwindSafe<Arc<WebAction>>,
}

impl Clone for WebRoute {
    fn clone(&self) -> WebRoute {
        WebRoute {
            action: AssertUnwindSafe(Arc::clone(&self.action)),
        }
    }
}

impl WebRoute {
    /// A handler round an action.
    pub fn new(action: impl Fn(WebRequest) -> WebFuture + Send + Sync + 'static) -> WebRoute {
        WebRoute {
            action: AssertUnwindSafe(Arc::new(action)),
        }
    }
}

impl NewHandler for WebRoute {
    type Instance = WebRoute;

    fn new_handler(&self) -> gotham::anyhow::Result<WebRoute> {
        Ok(self.clone())
    }
}

impl Handler for WebRoute {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        async move {
            let response = match read_request(&mut state).await {
                Ok(request) => (self.action)(request).await,
                Err(refusal) => problem(&refusal),
            };
            Ok((state, response))
        }
        .boxed()
    }
}

async fn read_request(state: &mut State) -> Result<WebRequest, RequestRefusal> {
    let body = Limited::new(Body::take_from(state), BODY_LIMIT).collect();
    let body = tokio::time::timeout(Duration::from_millis(BODY_MS), body).await;
    let Ok(body) = body else {
        let detail = format!("the body did not come within {BODY_MS} ms");
        return Err(RequestRefusal::not_run(RefusalReason::BadRequest, detail));
    };
    let Ok(body) = body else {
        let detail = format!("the body is cut short or larger than {BODY_LIMIT} bytes");
        return Err(RequestRefusal::not_run(RefusalReason::TooLarge, detail));
    };
    Ok(WebRequest {
        method: Method::take_from(state),
        uri: Uri::take_from(state),
        headers: HeaderMap::take_from(state),
        body: body.to_bytes(),
    })
}

/// Serves a router on an address, for as long as the process runs.
///
/// # Errors
///
/// When the address cannot be listened on.
pub async fn serve(address: SocketAddr, router: Router) -> eyre::Result<()> {
    gotham::init_server(address, router)
        .await
        .map_err(|error| eyre::eyre!("could not listen on {address}: {error}"))
}

/// A whole body as gotham gives it.
pub fn whole_body(bytes: impl Into<Bytes>) -> Body {
    let body = Full::new(bytes.into()).map_err(|never| match never {});
    Body::new(body)
}

/// An answer with a body.
pub fn answer(status: u16, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(whole_body(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = content_type.parse() {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}

/// An answer in JSON.
pub fn answer_json(status: u16, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => answer(status, "application/json", body),
        Err(error) => answer(500, "text/plain", error.to_string()),
    }
}

/// The problem document (RFC 9457) of a refusal, as JSON.
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

/// The answer to a request that is refused.
pub fn problem(refusal: &RequestRefusal) -> Response<Body> {
    let body = problem_json(refusal).to_string();
    let status = refusal.reason.status();
    let mut response = answer(status, "application/problem+json", body);
    if let Some(millis) = refusal.retry_after_ms {
        // The header counts whole seconds.
        let seconds = millis.div_ceil(1_000);
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}
