//! A small HTTP server round hyper-util.

use std::convert::Infallible;
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

/// A body, whole or streamed.
pub type ServerBody = UnsyncBoxBody<Bytes, io::Error>;
/// An answer.
pub type ServerResponse = Response<ServerBody>;

/// Serves requests until the process ends.
///
/// # Errors
///
/// When the address cannot be listened on.
pub async fn serve<F, A>(address: SocketAddr, action: F) -> eyre::Result<()>
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = ServerResponse> + Send + 'static,
{
    serve_on(TcpListener::bind(address).await?, action).await
}

/// Serves requests that come to a listener until the process ends.
///
/// # Errors
///
/// When a connection cannot be taken.
pub async fn serve_on<F, A>(listener: TcpListener, action: F) -> eyre::Result<()>
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = ServerResponse> + Send + 'static,
{
    loop {
        let (socket, _) = listener.accept().await?;
        // It fails on a connection that the peer has reset already, which ends nothing else.
        if socket.set_nodelay(true).is_err() {
            continue;
        }
        let action = action.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let answer = action(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            // A broken connection is the peer's affair.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(socket), service)
                .await;
        });
    }
}

/// Reads a whole body.
pub async fn read_body(request: Request<Incoming>) -> Bytes {
    match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => Bytes::new(),
    }
}

/// An answer with a whole body.
pub fn text(status: u16, body: impl Into<Bytes>) -> ServerResponse {
    let mut response = Response::new(
        Full::new(body.into())
            .map_err(|never| match never {})
            .boxed_unsync(),
    );
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::IM_A_TEAPOT);
    response
}

/// An answer in JSON.
pub fn json(value: &impl Serialize) -> ServerResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = text(200, body);
    let headers = response.headers_mut();
    headers.insert(
        "content-type",
        http::HeaderValue::from_static("application/json"),
    );
    response
}

/// An answer that streams lines as they come.
pub fn lines(receiver: UnboundedReceiver<String>) -> ServerResponse {
    let stream = futures_util::stream::unfold(receiver, |mut receiver| async move {
        let line = receiver.recv().await?;
        let frame = Frame::data(Bytes::from(line + "\n"));
        Some((Ok::<_, io::Error>(frame), receiver))
    });
    Response::new(StreamBody::new(stream).boxed_unsync())
}
