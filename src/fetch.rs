//! HTTP client helpers on top of hyper-util.

use bytes::Bytes;
use eyre::WrapErr;
use http::header::CONTENT_TYPE;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;

/// HTTP client for requests with a complete body.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client that pools connections and never sends a request a second time by itself.
pub fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build(connector)
}

/// Creates a client that opens a connection for each request. A request on a pooled connection that
/// the server has just closed fails in a way that leaves open whether the request was sent.
pub fn unpooled_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_max_idle_per_host(0)
        .build(connector)
}

/// Builds a request with a JSON body.
///
/// # Errors
///
/// If the URL is malformed or the value cannot be serialised.
pub fn json_request<T: Serialize>(
    method: Method,
    url: &str,
    value: &T,
) -> eyre::Result<Request<Full<Bytes>>> {
    let body = serde_json::to_vec(value).wrap_err("could not serialise the body of a request")?;
    Request::builder()
        .method(method)
        .uri(url)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .wrap_err_with(|| format!("could not build a request to {url}"))
}

/// Sends a POST request with a JSON body and returns the status and complete body of the response.
///
/// # Errors
///
/// If the request cannot be sent or the response cannot be read.
pub async fn post_json<T: Serialize>(
    client: &HttpClient,
    url: &str,
    value: &T,
) -> eyre::Result<(u16, Bytes)> {
    let request = json_request(Method::POST, url, value)?;
    send(client, request).await
}

/// Sends a POST request with a JSON body and returns the body of the response as a stream.
///
/// # Errors
///
/// If the request cannot be sent or the response has no success status.
pub async fn post_stream<T: Serialize>(
    client: &HttpClient,
    url: &str,
    value: &T,
) -> eyre::Result<Incoming> {
    let request = json_request(Method::POST, url, value)?;
    let response = client.request(request).await?;
    eyre::ensure!(
        response.status().is_success(),
        "unexpected status {}, expected 2xx",
        response.status()
    );
    Ok(response.into_body())
}

/// Sends a GET request and returns the status and complete body of the response.
///
/// # Errors
///
/// If the request cannot be sent or the response cannot be read.
pub async fn get(client: &HttpClient, url: &str) -> eyre::Result<(u16, Bytes)> {
    let request = Request::get(url).body(Full::default())?;
    send(client, request).await
}

/// Sends a request and returns the status and complete body of the response.
///
/// # Errors
///
/// If the request cannot be sent or the response cannot be read.
pub async fn send(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
) -> eyre::Result<(u16, Bytes)> {
    let response = send_whole(client, request).await?;
    Ok((response.status().as_u16(), response.into_body()))
}

/// Sends a request and returns the response with its complete body.
///
/// # Errors
///
/// If the request cannot be sent or the response cannot be read.
pub async fn send_whole(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
) -> eyre::Result<Response<Bytes>> {
    let (head, body) = client.request(request).await?.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(Response::from_parts(head, body))
}
