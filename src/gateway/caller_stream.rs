//! The byte stream of a caller's connection. It counts what is read and tells what is not written.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

use crate::gateway::caller_connection::CallerConnection;

/// Largest read from a caller's connection, bytes. Below the first size of hyper's read buffer, which
/// grows when a read fills it.
const MAX_READ_BYTES: usize = 8_000;
/// Time for which a connection is read on after its last answer, milliseconds: the rest of a refused
/// body would reset it, and the answer may be on its way.
const LINGER_MS: u64 = 2_000;

/// A caller's connection. Dropping it closes the connection.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    connection: CallerConnection,
    /// Whether bytes wait to be written since the caller does not read.
    is_unwritten: bool,
    /// End of the time for which the connection is read on; `None` while more may be written.
    linger: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, connection: CallerConnection) -> CallerStream {
        CallerStream {
            stream,
            connection,
            is_unwritten: false,
            linger: None,
        }
    }

    /// Sends what is written at once.
    ///
    /// # Errors
    ///
    /// If the connection has failed.
    pub fn set_nodelay(&self) -> io::Result<()> {
        self.stream.set_nodelay(true)
    }

    fn set_unwritten(&mut self, is_unwritten: bool) {
        if self.is_unwritten != is_unwritten {
            self.is_unwritten = is_unwritten;
            self.connection.set_unwritten(is_unwritten);
        }
    }

    /// Reads and discards what comes until the caller closes the connection or the time is up.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(time_limit) = self.linger.as_mut() else {
            return Poll::Ready(Ok(()));
        };
        let mut bytes = [0; MAX_READ_BYTES];
        while time_limit.as_mut().poll(context).is_pending() {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                break;
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Notes whether a write of `len` bytes left some of them.
    fn note_write(&mut self, len: usize, result: &Poll<io::Result<usize>>) {
        let is_whole = matches!(result, Poll::Ready(Ok(written)) if *written == len);
        if !is_whole {
            self.set_unwritten(true);
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.connection.close();
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let len = buffer.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(len));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let read = part.filled().len();
        buffer.advance(read);
        if read > 0 && !self.connection.record_read(read) {
            let error = io::Error::new(io::ErrorKind::OutOfMemory, "no room for a request's head");
            return Poll::Ready(Err(error));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_write(bytes.len(), &result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let len = slices.iter().map(|slice| slice.len()).sum();
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note_write(len, &result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Hyper flushes once everything is written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.set_unwritten(false);
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            if self.connection.lingers() {
                self.linger = Some(Box::pin(sleep(Duration::from_millis(LINGER_MS))));
            }
        }
        self.poll_linger(context)
    }
}
