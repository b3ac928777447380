//! Ends of connections on which the peer may still send. A socket that is closed with bytes unread is
//! reset, and the reset may discard an answer that the peer has not read yet (RFC 9112, section 9.6).

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

/// Time for which a connection is read on after its write side was shut down, milliseconds.
const LINGER_MS: u64 = 2_000;
/// Largest read of bytes that are discarded.
const MAX_READ_BYTES: usize = 8_000;

/// The time in which a connection is read on after its last answer.
#[derive(Debug)]
pub struct Linger(Pin<Box<Sleep>>);

impl Linger {
    /// Begins the time.
    pub fn begin() -> Linger {
        Linger(Box::pin(sleep(Duration::from_millis(LINGER_MS))))
    }

    /// Reads and discards what comes until the peer closes the connection or the time is up.
    pub fn poll(&mut self, stream: &mut TcpStream, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; MAX_READ_BYTES];
        while self.0.as_mut().poll(context).is_pending() {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut *stream).poll_read(context, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                break;
            }
        }
        Poll::Ready(())
    }
}

/// A server's connection that is read on after its last answer.
#[derive(Debug)]
pub struct LingeringStream {
    stream: TcpStream,
    linger: Option<Linger>,
}

impl LingeringStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> LingeringStream {
        LingeringStream {
            stream,
            linger: None,
        }
    }
}

impl AsyncRead for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for LingeringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let LingeringStream { stream, linger } = &mut *self;
        let linger = match linger {
            Some(linger) => linger,
            None => {
                ready!(Pin::new(&mut *stream).poll_shutdown(context))?;
                linger.insert(Linger::begin())
            }
        };
        linger.poll(stream, context).map(Ok)
    }
}
