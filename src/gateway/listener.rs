//! Accepts callers' connections and serves the HTTP/1.1 requests on them.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use http::header::CONNECTION;
use http::{HeaderValue, Request};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::gateway::forward;
use crate::gateway::run::{Gateway, ShutdownPhase};

/// Smallest read buffer of a caller's connection, bytes. It holds the request line and headers, and
/// hyper panics if it is too small.
const MIN_HEADER_BUFFER_BYTES: usize = 16 * 1024;
/// Pause after a failed accept, milliseconds.
const ACCEPT_RETRY_MS: u64 = 20;

/// Binds the address and starts accepting callers' connections.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn listen(gateway: Arc<Gateway>, address: SocketAddr) -> eyre::Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("could not listen for callers on {address}"))?;
    tokio::spawn(async move {
        let mut shutdown = gateway.shutdown.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                // Closing the listener makes new callers connect to another VM.
                () = wait_for_closing(&mut shutdown) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(serve(gateway.clone(), stream));
                }
                Err(error) => {
                    spdlog::warn!("event=accept_failed error=\"{error}\"");
                    tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve(gateway: Arc<Gateway>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        spdlog::debug!("event=caller_disconnected error=\"{error}\"");
        return;
    }
    let limits = gateway.state().routes.config().limits;
    // Hyper's header read timeout also covers the idle time before the next request, so the longer
    // of the two limits applies to both.
    let idle_ms = limits.idle_timeout_ms.max(limits.header_timeout_ms);
    let mut shutdown = gateway.shutdown.subscribe();
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = gateway.clone();
        async move {
            let mut response = forward::handle_request(&gateway, request).await;
            if gateway.closes_connections() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = wait_for_closing(&mut shutdown) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        spdlog::debug!("event=caller_connection_failed error=\"{error}\"");
    }
}

/// Waits until a graceful shutdown enters its closing phase.
async fn wait_for_closing(shutdown: &mut watch::Receiver<ShutdownPhase>) {
    // An error means that the gateway was dropped, which ends the wait as well.
    let _ = shutdown
        .wait_for(|phase| *phase == ShutdownPhase::Closing)
        .await;
}
