//! A caller's connection to a gateway, which records what was sent and received on it.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::site::SiteRequest;

/// Largest part of a body that is written at once, in bytes.
const PART_BYTES: usize = 32 * 1024;

/// How a request's body is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodySending {
    /// Whether it is sent in chunks, without its length.
    pub(crate) chunked: bool,
    /// Pause between the head and the body.
    pub(crate) pause: Duration,
}

/// What was sent and received of the latest request on a connection.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ExchangeProgress {
    is_begun: bool,
    body_taken: bool,
    /// Whether the socket has taken the whole request.
    pub(crate) sent_whole: bool,
    /// Number of bytes received since the request was begun.
    pub(crate) received: usize,
}

#[derive(Clone, Debug, Default)]
struct SharedProgress(Arc<Mutex<ExchangeProgress>>);

impl SharedProgress {
    fn lock(&self) -> MutexGuard<'_, ExchangeProgress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection to a gateway.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    pub(crate) gateway: SocketAddr,
    /// Number of requests that were sent on it.
    pub(crate) requests: usize,
    sender: SendRequest<RequestBody>,
    progress: SharedProgress,
}

impl CallerConnection {
    /// Opens a connection. With `reads_late`, a response is read only once its request is sent whole.
    pub(crate) async fn open(
        gateway: SocketAddr,
        reads_late: bool,
    ) -> eyre::Result<CallerConnection> {
        let socket = TcpStream::connect(gateway).await?;
        socket.set_nodelay(true)?;
        let progress = SharedProgress::default();
        let recorded = RecordedSocket {
            socket,
            progress: progress.clone(),
            reads_late,
            reader: None,
        };
        let (sender, connection) = http1::handshake(TokioIo::new(recorded)).await?;
        // An error of the connection is also that of its request.
        tokio::spawn(connection);
        Ok(CallerConnection {
            gateway,
            requests: 0,
            sender,
            progress,
        })
    }

    /// Whether the next request can be sent on the connection.
    pub(crate) async fn is_reusable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    pub(crate) fn progress(&self) -> ExchangeProgress {
        *self.progress.lock()
    }

    /// Sends a request. Returns the response with its body still unread.
    pub(crate) async fn send(
        &mut self,
        request: &SiteRequest,
        sending: BodySending,
    ) -> eyre::Result<Response<Incoming>> {
        self.requests += 1;
        *self.progress.lock() = ExchangeProgress {
            is_begun: true,
            ..ExchangeProgress::default()
        };
        let body = Bytes::from(request.body_text());
        let starts = (0..body.len()).step_by(PART_BYTES);
        let parts = starts.map(|start| body.slice(start..body.len().min(start + PART_BYTES)));
        let body = RequestBody {
            parts: parts.collect(),
            length: (!sending.chunked).then_some(body.len() as u64),
            pause: Box::pin(tokio::time::sleep(sending.pause)),
            progress: self.progress.clone(),
        };
        Ok(self.sender.send_request(request.head().body(body)?).await?)
    }
}

/// Body of a request, which is sent in parts.
#[derive(Debug)]
struct RequestBody {
    parts: VecDeque<Bytes>,
    length: Option<u64>,
    /// Ends when the first part is sent.
    pause: Pin<Box<Sleep>>,
    progress: SharedProgress,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if !self.pause.is_elapsed() {
            ready!(self.pause.as_mut().poll(context));
        }
        let part = self.parts.pop_front();
        self.progress.lock().body_taken = self.parts.is_empty();
        Poll::Ready(part.map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        self.length
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

#[derive(Debug)]
struct RecordedSocket {
    socket: TcpStream,
    progress: SharedProgress,
    reads_late: bool,
    /// Wakes the reader that waits for the request to be sent.
    reader: Option<Waker>,
}

impl AsyncRead for RecordedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let progress = *self.progress.lock();
        if self.reads_late && progress.is_begun && !progress.sent_whole {
            self.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
        self.progress.lock().received += buffer.filled().len() - before;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RecordedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    /// Is called once all that was taken of the body is written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.socket).poll_flush(context))?;
        let is_whole = {
            let mut progress = self.progress.lock();
            progress.sent_whole = progress.body_taken;
            progress.sent_whole
        };
        if is_whole {
            self.reader.take().into_iter().for_each(Waker::wake);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
