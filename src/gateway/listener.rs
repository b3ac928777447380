//! Accepts callers' connections and serves the HTTP/1.1 requests on them.

use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
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
use tokio::sync::Mutex;

use crate::gateway::caller_connection::CallerConnection;
use crate::gateway::caller_ledger::CallerTimeouts;
use crate::gateway::caller_stream::CallerStream;
use crate::gateway::forward;
use crate::gateway::run::{wait_for_phase, Gateway};
use crate::gateway::shutdown::ShutdownPhase;
use crate::gateway::task::spawn_lasting;

/// Read buffer of a caller's connection, bytes, unless heads may be larger when it opens. It bounds
/// what the connection can take of the request line and headers for as long as it lasts.
const HEADER_BUFFER_BYTES: usize = 256 * 1024;
/// Interval at which connections are closed that have been idle for too long, milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 500;
/// Time for which a connection that has not carried a request is kept open after new requests are
/// refused, milliseconds: its first request may be on its way, and is answered with a refusal.
pub const FIRST_REQUEST_MS: u64 = 500;
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
    let listener = Arc::new(Mutex::new(Some(listener)));
    let expiry_gateway = gateway.clone();
    spawn_lasting("caller_expiry", move || expire(expiry_gateway.clone()));
    spawn_lasting("accept", move || accept(gateway.clone(), listener.clone()));
    Ok(())
}

/// Closes the connections that take longer than the configuration in force allows.
async fn expire(gateway: Arc<Gateway>) {
    let mut tick = tokio::time::interval(Duration::from_millis(EXPIRY_INTERVAL_MS));
    loop {
        tick.tick().await;
        let limits = gateway.state().routes.config().limits;
        gateway.callers.expire(CallerTimeouts {
            // A caller that has begun a head is not closed sooner than one that is idle.
            header_ms: limits.header_timeout_ms.max(limits.idle_timeout_ms),
            idle_ms: limits.idle_timeout_ms,
        });
    }
}

/// Accepts connections until a graceful shutdown closes the listener, which makes new callers
/// connect to another VM. Connections that wait in the listener's queue then are still accepted:
/// closing it would reset them, and their requests may have arrived.
async fn accept(gateway: Arc<Gateway>, listener: Arc<Mutex<Option<TcpListener>>>) {
    let mut slot = listener.lock().await;
    let Some(listener) = slot.as_ref() else {
        return;
    };
    let mut shutdown = gateway.shutdown.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_phase(&mut shutdown, ShutdownPhase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => admit_connection(&gateway, stream),
            Err(error) => {
                spdlog::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
    match slot.take().map(TcpListener::into_std) {
        Some(Ok(listener)) => accept_queue(&gateway, &listener),
        Some(Err(error)) => spdlog::warn!("event=accept_failed error=\"{error}\""),
        None => {}
    }
}

/// Accepts the connections that wait in the queue of a listener that does not block.
fn accept_queue(gateway: &Arc<Gateway>, listener: &std::net::TcpListener) {
    while let Ok((stream, _)) = listener.accept() {
        let accepted = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream));
        match accepted {
            Ok(stream) => admit_connection(gateway, stream),
            Err(error) => spdlog::warn!("event=accept_failed error=\"{error}\""),
        }
    }
}

/// Serves a connection if there is room for it, else closes it.
fn admit_connection(gateway: &Arc<Gateway>, stream: TcpStream) {
    let limits = gateway.state().routes.config().limits;
    if let Some(connection) = gateway.callers.open(stream.as_raw_fd(), limits) {
        let stream = CallerStream::new(stream, connection.clone());
        tokio::spawn(serve(gateway.clone(), stream, connection));
    }
}

async fn serve(gateway: Arc<Gateway>, stream: CallerStream, caller: CallerConnection) {
    if let Err(error) = stream.set_nodelay() {
        spdlog::debug!("event=caller_disconnected error=\"{error}\"");
        return;
    }
    let limits = gateway.state().routes.config().limits;
    let buffer_bytes = limits.header_bytes.max(HEADER_BUFFER_BYTES);
    let mut shutdown = gateway.shutdown.subscribe();
    let began = Arc::new(AtomicBool::new(false));
    let requested = began.clone();
    let requester = caller.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = gateway.clone();
        let caller_request = requester.begin_request();
        requested.store(true, Ordering::Relaxed);
        async move {
            let mut response = forward::handle_request(&gateway, request, caller_request).await;
            let max_header_bytes = gateway.state().routes.config().limits.header_bytes;
            if gateway.closes_connections() || max_header_bytes > buffer_bytes {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // What has arrived is read before the connection is closed.
    let result = tokio::select! {
        biased;
        result = connection.as_mut() => result,
        () = caller.wait_for_eviction() => return,
        () = wait_for_phase(&mut shutdown, ShutdownPhase::Closing) => {
            let mut ended = None;
            if !began.load(Ordering::Relaxed) {
                let first_request = Duration::from_millis(FIRST_REQUEST_MS);
                ended = tokio::time::timeout(first_request, connection.as_mut()).await.ok();
            }
            match ended {
                Some(result) => result,
                None => {
                    connection.as_mut().graceful_shutdown();
                    tokio::select! {
                        biased;
                        result = connection => result,
                        () = caller.wait_for_eviction() => return,
                    }
                }
            }
        }
    };
    if let Err(error) = result {
        spdlog::debug!("event=caller_connection_failed error=\"{error}\"");
    }
}
