//! Connections of a stand-in server that go silent, or are cut in the head of an answer.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes of a cut head that are sent: part of the first header line after the status line.
const CUT_HEAD_BYTES: usize = 20;

/// Number of times that the open connections of a server went silent. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct SilenceCount(Arc<AtomicU64>);

impl SilenceCount {
    /// Has all open connections go silent for good, without a reset. New ones work.
    pub fn silence_open_connections(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn load(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Whether the next answer on a connection is cut in its head. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadCut(Arc<AtomicBool>);

impl HeadCut {
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A server's end of a connection.
#[derive(Debug)]
pub(crate) struct ServerConnection {
    socket: TcpStream,
    silences: SilenceCount,
    opened_after: u64,
    head_cut: HeadCut,
    is_cut: bool,
}

impl ServerConnection {
    pub(crate) fn new(
        socket: TcpStream,
        silences: SilenceCount,
        head_cut: HeadCut,
    ) -> ServerConnection {
        ServerConnection {
            socket,
            opened_after: silences.load(),
            silences,
            head_cut,
            is_cut: false,
        }
    }

    fn is_silent(&self) -> bool {
        self.silences.load() != self.opened_after
    }
}

impl AsyncRead for ServerConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.is_silent() {
            true => Poll::Pending,
            false => Pin::new(&mut self.socket).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for ServerConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        if self.is_cut {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        if !self.head_cut.0.load(Ordering::Relaxed) {
            return Pin::new(&mut self.socket).poll_write(context, bytes);
        }
        let head = &bytes[..bytes.len().min(CUT_HEAD_BYTES)];
        let count = ready!(Pin::new(&mut self.socket).poll_write(context, head))?;
        self.is_cut = true;
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.is_silent() {
            true => Poll::Pending,
            false => Pin::new(&mut self.socket).poll_shutdown(context),
        }
    }
}
