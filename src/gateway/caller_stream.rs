//! The byte stream of a caller's connection. It counts what is read and tells what is not written.

use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::gateway::caller_connection::CallerConnection;
use crate::linger::Linger;

/// Largest read from a caller's connection, bytes. Below the first size of hyper's read buffer, which
/// grows when a read fills it.
const MAX_READ_BYTES: usize = 8_000;

/// A caller's connection. Dropping it closes the connection.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    connection: CallerConnection,
    /// Whether bytes wait to be written since the caller does not read.
    is_unwritten: bool,
    /// `None` while more may be written.
    linger: Option<Linger>,
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
        let CallerStream {
            stream,
            connection,
            linger,
            ..
        } = &mut *self;
        if linger.is_none() {
            ready!(Pin::new(&mut *stream).poll_shutdown(context))?;
            *linger = connection.lingers().then(Linger::begin);
        }
        match linger {
            Some(linger) => linger.poll(stream, context).map(Ok),
            None => Poll::Ready(Ok(())),
        }
    }
}
