//! Connections to upstreams: opened within a time, kept for a while, and used for one request at
//! a time.

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

/// Time in which a connection must be open, milliseconds.
const CONNECT_MS: u64 = 400;
/// Time for which an idle connection is used again when the upstream names none, milliseconds.
const KEEP_MS: u64 = 4_000;
/// Time before the upstream's own limit at which an idle connection is not used any more,
/// milliseconds.
const KEEP_MARGIN_MS: u64 = 800;
/// Idle connections kept for one upstream.
const IDLE_MOST: usize = 64;

/// A connection to an upstream; closed when it is dropped.
#[derive(Debug)]
pub struct UpstreamConnection {
    /// Sends one request at a time.
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
    until: ClockTime,
    since: ClockTime,
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<UpstreamKey, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// An idle connection that the upstream still keeps and that was used less than `most_idle`
    /// milliseconds ago.
    pub fn take(
        &self,
        now: ClockTime,
        key: UpstreamKey,
        most_idle: u64,
    ) -> Option<UpstreamConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&key)?;
        while let Some(kept) = connections.pop() {
            let fresh = now < kept.until && now.since(kept.since) <= most_idle;
            if fresh && kept.connection.sender.is_ready() {
                return Some(kept.connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was whole. `keep_ms` is how long the upstream says
    /// that it keeps it.
    pub fn put(
        &self,
        now: ClockTime,
        key: UpstreamKey,
        connection: UpstreamConnection,
        keep_ms: Option<u64>,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(key).or_default();
        if connections.len() < IDLE_MOST {
            let keep = keep_ms.map_or(KEEP_MS, |keep| keep.saturating_sub(KEEP_MARGIN_MS));
            connections.push(IdleConnection {
                connection,
                until: now + keep.min(KEEP_MS),
                since: now,
            });
        }
    }

    /// Closes what has been idle too long, and all to upstreams that are gone.
    pub fn sweep(&self, now: ClockTime, gone: impl Fn(UpstreamKey) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|key, connections| {
            connections.retain(|kept| now < kept.until && !kept.connection.sender.is_closed());
            !connections.is_empty() && !gone(*key)
        });
    }
}

/// Opens a connection.
///
/// # Errors
///
/// When it is refused, reset, or not open in time; nothing was sent then.
pub async fn connect(address: SocketAddr) -> eyre::Result<UpstreamConnection> {
    let limit = Duration::from_millis(CONNECT_MS);
    let stream = tokio::time::timeout(limit, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            spdlog::debug!("event=connection_broken address={address} error=\"{error}\"");
        }
    });
    Ok(UpstreamConnection {
        sender,
        task: task.abort_handle(),
    })
}
