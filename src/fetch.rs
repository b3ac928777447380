//! HTTP client helpers on top of hyper-util.

use std::error::Error;
use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use eyre::{ensure, eyre, WrapErr};
use http::header::CONTENT_TYPE;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Largest response body that is read, bytes. A page of the platform's store is about 1 MB, and a
/// watch returns all changes since the last one.
pub const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Longest line of a response that is read line by line, bytes.
pub const MAX_LINE_BYTES: usize = 32 * 1024 * 1024;

/// Idle time after which a connection is probed, and interval of the probes, milliseconds.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// Number of probes without an acknowledgement after which a connection is given up.
const MAX_UNANSWERED_PROBES: u32 = 3;

/// Has the kernel give up a quiet connection whose other end no longer acknowledges probes. A process
/// that is silent while its host runs keeps it. `TCP_USER_TIMEOUT` is not set: it also ends connections
/// whose other end acknowledges but does not read.
///
/// # Errors
///
/// If the options cannot be set.
pub fn set_keep_alive(stream: &TcpStream) -> io::Result<()> {
    let interval = Duration::from_millis(PROBE_INTERVAL_MS);
    let keep_alive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(MAX_UNANSWERED_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keep_alive)
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    let interval = Some(Duration::from_millis(PROBE_INTERVAL_MS));
    connector.set_nodelay(true);
    connector.set_keepalive(interval);
    connector.set_keepalive_interval(interval);
    connector.set_keepalive_retries(Some(MAX_UNANSWERED_PROBES));
    connector
}

/// HTTP client for requests with a complete body.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client that pools connections and never sends a request a second time by itself.
pub fn client() -> HttpClient {
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build(connector())
}

/// Creates a client that opens a connection for each request. A request on a pooled connection that
/// the server has just closed fails in a way that leaves open whether the request was sent.
pub fn unpooled_client() -> HttpClient {
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_max_idle_per_host(0)
        .build(connector())
}

/// Whether a connection was refused, as by a host on which nothing listens at the port.
pub fn is_refused(error: &(dyn Error + 'static)) -> bool {
    has_kind(error, io::ErrorKind::ConnectionRefused)
}

/// Whether the kernel gave up a connection since nothing was acknowledged.
pub fn is_silenced(error: &(dyn Error + 'static)) -> bool {
    has_kind(error, io::ErrorKind::TimedOut)
}

fn has_kind(error: &(dyn Error + 'static), kind: io::ErrorKind) -> bool {
    let io_error = error.downcast_ref::<io::Error>();
    let is_kind = io_error.map(io::Error::kind) == Some(kind);
    is_kind || error.source().is_some_and(|source| has_kind(source, kind))
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
/// If the request cannot be sent, the response cannot be read, or its body is larger than
/// [`MAX_BODY_BYTES`].
pub async fn send_whole(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
) -> eyre::Result<Response<Bytes>> {
    let response = client.request(request).await?;
    read_whole(response, MAX_BODY_BYTES).await
}

/// Reads the body of a response, at most `max_bytes` bytes.
///
/// # Errors
///
/// If the body cannot be read or is larger.
pub async fn read_whole(
    response: Response<Incoming>,
    max_bytes: usize,
) -> eyre::Result<Response<Bytes>> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, max_bytes).collect().await;
    // The error is a boxed one, which cannot be wrapped.
    let body = body.map_err(|error| eyre!("could not read the body of a response: {error}"))?;
    Ok(Response::from_parts(head, body.to_bytes()))
}

/// Reads the body of a response line by line, while it is received.
#[derive(Debug)]
pub struct LineReader {
    body: Incoming,
    buffer: BytesMut,
    /// Length of the start of the buffer that contains no line end.
    searched: usize,
}

impl LineReader {
    /// Creates a reader at the start of a body.
    pub fn new(body: Incoming) -> LineReader {
        LineReader {
            body,
            buffer: BytesMut::new(),
            searched: 0,
        }
    }

    /// Returns the next line with its line end, or `None` at the end of the body. A last line without
    /// a line end is dropped.
    ///
    /// # Errors
    ///
    /// If the body breaks off or a line is longer than [`MAX_LINE_BYTES`].
    pub async fn next_line(&mut self) -> eyre::Result<Option<Bytes>> {
        loop {
            let rest = &self.buffer[self.searched..];
            if let Some(at) = rest.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(self.searched + at + 1);
                self.searched = 0;
                return Ok(Some(line.freeze()));
            }
            self.searched = self.buffer.len();
            ensure!(
                self.searched <= MAX_LINE_BYTES,
                "a line of the response is longer than {MAX_LINE_BYTES} bytes"
            );
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            if let Ok(data) = frame?.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}
