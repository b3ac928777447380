//! A pool of HTTP/1.1 connections to upstreams. A connection carries one request at a time and is
//! kept for reuse while it is idle.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::client::conn::TrySendError;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::clock::ClockTime;
use crate::fetch::set_keep_alive;
use crate::gateway::upstream::UpstreamKey;

/// Timeout for opening a connection, milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Longest time for which an idle connection is kept, milliseconds. It also applies when the
/// upstream states no timeout.
const MAX_IDLE_MS: u64 = 4_000;
/// A connection is no longer reused from this long before the idle timeout that the upstream
/// stated, milliseconds.
const IDLE_MARGIN_MS: u64 = 800;
/// Largest number of idle connections kept for one upstream.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Largest read from a connection, and largest response head that is buffered, bytes.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Bytes that an upstream may send before the end of a response head, those of informational
/// responses included. One read may also contain the start of the body.
const MAX_HEAD_BYTES: usize = 2 * MAX_READ_BYTES;

/// Bytes that may still be read from a connection; unlimited while a body is received.
#[derive(Clone, Debug)]
struct ReadAllowance(Arc<AtomicUsize>);

impl ReadAllowance {
    const UNLIMITED: usize = usize::MAX;

    fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Takes bytes that were read out of the allowance. Returns false if they exceed it.
    fn take(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left != ReadAllowance::UNLIMITED {
            self.set(left.saturating_sub(bytes));
        }
        bytes <= left
    }
}

/// A stream that fails when its peer sends more than the allowance, and not when the peer no longer
/// takes what is written: an upstream may refuse a request, and close, before it has read its body.
#[derive(Debug)]
struct LimitedStream {
    stream: TcpStream,
    allowance: ReadAllowance,
    /// Whether a write has failed. What is written is discarded from then on.
    write_failed: Arc<AtomicBool>,
}

impl LimitedStream {
    /// Takes the rest of a request as written after the upstream has closed the connection, so that
    /// its answer is read. Without an answer, the read that follows fails.
    fn discard_unwritten(
        &self,
        len: usize,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match result {
            Poll::Ready(Err(error)) if is_closed_by_peer(&error) => {
                self.write_failed.store(true, Ordering::Relaxed);
                Poll::Ready(Ok(len))
            }
            result => result,
        }
    }
}

fn is_closed_by_peer(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::BrokenPipe | io::ErrorKind::ConnectionReset
    )
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if !self.allowance.take(buffer.filled().len() - before) {
            let message = format!("no end of the response head within {MAX_HEAD_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        // The failed write took the reset, so that it is read as the end of the connection.
        let is_end = matches!(result, Poll::Ready(Ok(()))) && buffer.filled().len() == before;
        if is_end && self.write_failed.load(Ordering::Relaxed) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        result
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.discard_unwritten(bytes.len(), result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let len = slices.iter().map(|slice| slice.len()).sum();
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.discard_unwritten(len, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// A connection to an upstream. It is closed when dropped.
#[derive(Debug)]
pub struct UpstreamConnection {
    sender: SendRequest<Full<Bytes>>,
    allowance: ReadAllowance,
    write_failed: Arc<AtomicBool>,
    task: AbortHandle,
}

impl UpstreamConnection {
    /// Sends a request and waits for the response head. The connection carries one request at a
    /// time.
    ///
    /// # Errors
    ///
    /// If the request could not be sent, in which case the error contains it, or no valid head of
    /// limited size was received.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.allowance.set(MAX_HEAD_BYTES);
        let result = self.sender.try_send_request(request).await;
        self.allowance.set(ReadAllowance::UNLIMITED);
        result
    }
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    expires_at: ClockTime,
    idle_since: ClockTime,
}

/// Idle connections, by upstream.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<UpstreamKey, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes an idle connection that has not expired and was last used at most `max_idle_ms`
    /// milliseconds ago. Returns `None` if there is none.
    pub fn take(
        &self,
        now: ClockTime,
        key: UpstreamKey,
        max_idle_ms: u64,
    ) -> Option<UpstreamConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&key)?;
        while let Some(entry) = connections.pop() {
            let reusable = now < entry.expires_at && now.since(entry.idle_since) <= max_idle_ms;
            let write_failed = entry.connection.write_failed.load(Ordering::Relaxed);
            if reusable && !write_failed && entry.connection.sender.is_ready() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Adds a connection whose last response was complete, or drops it if it was closed or the pool
    /// of this upstream is full. `timeout_ms` is the idle timeout that the upstream stated, or
    /// `None` if it stated none.
    pub fn put(
        &self,
        now: ClockTime,
        key: UpstreamKey,
        connection: UpstreamConnection,
        timeout_ms: Option<u64>,
    ) {
        if connection.sender.is_closed() || connection.write_failed.load(Ordering::Relaxed) {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(key).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            let limit =
                timeout_ms.map_or(MAX_IDLE_MS, |limit| limit.saturating_sub(IDLE_MARGIN_MS));
            connections.push(IdleConnection {
                connection,
                expires_at: now + limit.min(MAX_IDLE_MS),
                idle_since: now,
            });
        }
    }

    /// Closes expired connections, and all connections to upstreams that are gone.
    pub fn sweep(&self, now: ClockTime, gone: impl Fn(UpstreamKey) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|key, connections| {
            connections
                .retain(|entry| now < entry.expires_at && !entry.connection.sender.is_closed());
            !connections.is_empty() && !gone(*key)
        });
    }
}

/// Opens a connection and completes the HTTP handshake.
///
/// # Errors
///
/// When the connection is refused, reset or not open in time. No part of a request was sent.
pub async fn connect(address: SocketAddr) -> eyre::Result<UpstreamConnection> {
    let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    if let Err(error) = set_keep_alive(&stream) {
        spdlog::debug!("event=keep_alive_failed address={address} error=\"{error}\"");
    }
    let allowance = ReadAllowance(Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)));
    let write_failed = Arc::new(AtomicBool::new(false));
    let stream = LimitedStream {
        stream,
        allowance: allowance.clone(),
        write_failed: write_failed.clone(),
    };
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_READ_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            spdlog::debug!("event=connection_failed address={address} error=\"{error}\"");
        }
    });
    Ok(UpstreamConnection {
        sender,
        allowance,
        write_failed,
        task: task.abort_handle(),
    })
}
