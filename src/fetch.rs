//! Small HTTP client helpers over hyper-util.

use bytes::Bytes;
use eyre::WrapErr;
use http::header::CONTENT_TYPE;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;

/// An HTTP client with a connection pool.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A client that never sends a request twice.
pub fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build(connector)
}

/// A client that opens a connection for each request, so that one closed by the server while
/// idle is never mistaken for a request that was sent.
pub fn unpooled_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_max_idle_per_host(0)
        .build(connector)
}

/// Makes a request with a JSON body.
///
/// # Errors
///
/// When the URL is malformed or the value cannot be serialised.
pub fn json_request<T: Serialize>(
    method: Method,
    url: &str,
    value: &T,
) -> eyre::Result<Request<Full<Bytes>>> {
    let body = serde_json::to_vec(value).wrap_err("could not serialise a request")?;
    Request::builder()
        .method(method)
        .uri(url)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .wrap_err_with(|| format!("could not make a request to {url}"))
}

/// Posts JSON and reads the whole answer: its status and body.
///
/// # Errors
///
/// When the request cannot be sent or the answer cannot be read.
pub async fn post_json<T: Serialize>(
    client: &HttpClient,
    url: &str,
    value: &T,
) -> eyre::Result<(u16, Bytes)> {
    let request = json_request(Method::POST, url, value)?;
    send(client, request).await
}

/// Posts JSON and gives the body of the answer as it comes.
///
/// # Errors
///
/// When the request cannot be sent or is not answered with success.
pub async fn post_stream<T: Serialize>(
    client: &HttpClient,
    url: &str,
    value: &T,
) -> eyre::Result<Incoming> {
    let request = json_request(Method::POST, url, value)?;
    let response = client.request(request).await?;
    eyre::ensure!(
        response.status().is_success(),
        "status {}",
        response.status()
    );
    Ok(response.into_body())
}

/// Gets a whole answer: its status and body.
///
/// # Errors
///
/// When the request cannot be sent or the answer cannot be read.
pub async fn get(client: &HttpClient, url: &str) -> eyre::Result<(u16, Bytes)> {
    let request = Request::get(url).body(Full::default())?;
    send(client, request).await
}

/// Sends a request and reads the whole answer: its status and body.
///
/// # Errors
///
/// When the request cannot be sent or the answer cannot be read.
pub async fn send(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
) -> eyre::Result<(u16, Bytes)> {
    let response = client.request(request).await?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await?.to_bytes();
    Ok((status, body))
}
