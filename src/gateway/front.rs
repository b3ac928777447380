//! Takes callers' connections and serves the requests on them.

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
use crate::gateway::run::{Gateway, StopPhase};

/// Least buffer for a request's head that the library takes, bytes.
const BUFFER_LEAST: usize = 16 * 1024;
/// Pause after a connection could not be taken, milliseconds.
const ACCEPT_RETRY_MS: u64 = 20;

/// Listens for callers.
///
/// # Errors
///
/// When the address cannot be listened on.
pub async fn listen(gateway: Arc<Gateway>, address: SocketAddr) -> eyre::Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("could not listen on {address}"))?;
    tokio::spawn(async move {
        let mut stop = gateway.stop.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                // Callers who come now are better served by another VM.
                () = closing(&mut stop) => return,
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
        spdlog::debug!("event=caller_gone error=\"{error}\"");
        return;
    }
    let limits = gateway.state().routes.config().limits;
    // The library counts a connection's idle time as time for the next head.
    let idle_ms = limits.idle_timeout_ms.max(limits.header_timeout_ms);
    let mut stop = gateway.stop.subscribe();
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = gateway.clone();
        async move {
            let mut response = forward::handle(&gateway, request).await;
            if gateway.leads_away() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(limits.header_bytes.max(BUFFER_LEAST))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        spdlog::debug!("event=caller_connection_ended error=\"{error}\"");
    }
}

async fn closing(stop: &mut watch::Receiver<StopPhase>) {
    // The sender lives as long as the gateway; without it there is nothing to wait for.
    let _ = stop.wait_for(|phase| *phase == StopPhase::Closing).await;
}
