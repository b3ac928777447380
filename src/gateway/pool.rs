//! A pool of HTTP/1.1 connections to upstreams. A connection carries one request at a time and is
//! kept for reuse while it is idle.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::clock::ClockTime;
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

/// A connection to an upstream. It is closed when dropped.
#[derive(Debug)]
pub struct UpstreamConnection {
    /// Sends one request at a time on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
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
            if reusable && entry.connection.sender.is_ready() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Adds a connection whose last response was complete, or drops it if it is closed or the pool
    /// of this upstream is full. `timeout_ms` is the idle timeout that the upstream stated, or
    /// `None` if it stated none.
    pub fn put(
        &self,
        now: ClockTime,
        key: UpstreamKey,
        connection: UpstreamConnection,
        timeout_ms: Option<u64>,
    ) {
        if connection.sender.is_closed() {
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
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            spdlog::debug!("event=connection_failed address={address} error=\"{error}\"");
        }
    });
    Ok(UpstreamConnection {
        sender,
        task: task.abort_handle(),
    })
}
