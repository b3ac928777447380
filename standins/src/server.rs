//! HTTP/1 server for the stand-ins, on hyper, and helpers to build its responses.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::connection::{HeadCut, ServerConnection, SilenceCount};

/// Body of a response, complete or streamed.
pub type ServerBody = UnsyncBoxBody<Bytes, io::Error>;
/// Response of a stand-in.
pub type ServerResponse = Response<ServerBody>;

/// Extension of a response that is not sent: the connection is closed instead.
#[derive(Clone, Copy, Debug)]
struct Unsent;

/// Extension of a response whose connection is closed in the middle of its head.
#[derive(Clone, Copy, Debug)]
struct CutInHead;

/// Has the connection closed in the middle of the response's head.
pub fn cut_in_head(mut response: ServerResponse) -> ServerResponse {
    response.extensions_mut().insert(CutInHead);
    response
}

/// Builds a response in place of which the connection is closed.
pub fn no_response() -> ServerResponse {
    let mut response = text_response(500, "");
    response.extensions_mut().insert(Unsent);
    response
}

/// Serves requests on `address` with `handler` until accepting a connection fails.
///
/// # Errors
///
/// If the address cannot be bound or a connection cannot be accepted.
pub async fn serve<F, R>(address: SocketAddr, handler: F) -> eyre::Result<()>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = ServerResponse> + Send + 'static,
{
    serve_on(TcpListener::bind(address).await?, handler).await
}

/// Serves requests on `listener` with `handler` until accepting a connection fails.
///
/// # Errors
///
/// If a connection cannot be accepted.
pub async fn serve_on<F, R>(listener: TcpListener, handler: F) -> eyre::Result<()>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = ServerResponse> + Send + 'static,
{
    serve_silenced(listener, SilenceCount::default(), handler).await
}

/// Serves requests on `listener` with `handler`, on connections that `silences` can silence, until
/// accepting a connection fails.
///
/// # Errors
///
/// If a connection cannot be accepted.
pub async fn serve_silenced<F, R>(
    listener: TcpListener,
    silences: SilenceCount,
    handler: F,
) -> eyre::Result<()>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = ServerResponse> + Send + 'static,
{
    loop {
        let (socket, _) = listener.accept().await?;
        // Setting the option fails if the peer has already reset the connection. Only that
        // connection is dropped.
        if socket.set_nodelay(true).is_err() {
            continue;
        }
        let handler = handler.clone();
        let head_cut = HeadCut::default();
        let connection = ServerConnection::new(socket, silences.clone(), head_cut.clone());
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                let head_cut = head_cut.clone();
                async move {
                    let response = response.await;
                    if let Some(CutInHead) = response.extensions().get() {
                        head_cut.set();
                    }
                    match response.extensions().get() {
                        Some(Unsent) => Err(io::Error::other("closed without a response")),
                        None => Ok(response),
                    }
                }
            });
            // An error means that the connection broke, which the client notices itself.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(connection), service)
                .await;
        });
    }
}

/// Reads the complete body of a request. Returns an empty body if the connection breaks.
pub async fn read_body(request: Request<Incoming>) -> Bytes {
    match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => Bytes::new(),
    }
}

/// Builds a response with a complete body. An invalid status becomes 418.
pub fn text_response(status: u16, body: impl Into<Bytes>) -> ServerResponse {
    let mut response = Response::new(
        Full::new(body.into())
            .map_err(|never| match never {})
            .boxed_unsync(),
    );
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::IM_A_TEAPOT);
    response
}

/// Builds a response with status 200 and a JSON body.
pub fn json_response(value: &impl Serialize) -> ServerResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = text_response(200, body);
    let headers = response.headers_mut();
    headers.insert(
        "content-type",
        http::HeaderValue::from_static("application/json"),
    );
    response
}

/// Builds a response that streams each received string as a line until the sender is dropped.
pub fn line_stream(receiver: UnboundedReceiver<String>) -> ServerResponse {
    let stream = futures_util::stream::unfold(receiver, |mut receiver| async move {
        let line = receiver.recv().await?;
        let frame = Frame::data(Bytes::from(line + "\n"));
        Some((Ok::<_, io::Error>(frame), receiver))
    });
    Response::new(StreamBody::new(stream).boxed_unsync())
}
