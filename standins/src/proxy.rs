//! A stand-in for the network between two processes, whose open connections can go silent.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Size of the reads of a connection, in bytes.
const READ_BYTES: usize = 64 * 1024;

/// Forwards connections to one address.
#[derive(Clone, Debug)]
pub struct TcpProxy {
    /// Address at which connections are accepted.
    pub address: SocketAddr,
    target: SocketAddr,
    /// Number of times that the open connections went silent.
    silences: Arc<AtomicU64>,
}

impl TcpProxy {
    /// Starts to forward connections to `target`.
    ///
    /// # Errors
    ///
    /// If the listener cannot be opened.
    pub async fn start(target: SocketAddr) -> eyre::Result<TcpProxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = TcpProxy {
            address: listener.local_addr()?,
            target,
            silences: Arc::default(),
        };
        let server = proxy.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(server.clone().forward(caller));
            }
        });
        Ok(proxy)
    }

    /// Has all open connections go silent for good, without a reset. New ones work.
    pub fn silence_open_connections(&self) {
        self.silences.fetch_add(1, Ordering::Relaxed);
    }

    async fn forward(self, caller: TcpStream) {
        let Ok(server) = TcpStream::connect(self.target).await else {
            return;
        };
        let _ = caller.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let opened_after = self.silences.load(Ordering::Relaxed);
        let (from_caller, to_caller) = caller.into_split();
        let (from_server, to_server) = server.into_split();
        let there = tokio::spawn(self.clone().copy(from_caller, to_server, opened_after));
        self.copy(from_server, to_caller, opened_after).await;
        there.abort();
    }

    async fn copy(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, opened_after: u64) {
        let mut bytes = vec![0; READ_BYTES];
        loop {
            let count = from.read(&mut bytes).await.unwrap_or(0);
            if self.silences.load(Ordering::Relaxed) != opened_after {
                std::future::pending::<()>().await;
            }
            if count == 0 || to.write_all(&bytes[..count]).await.is_err() {
                return;
            }
        }
    }
}
