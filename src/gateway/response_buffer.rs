//! Buffers of responses that are held until they are complete.

use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};

/// Largest response body that is buffered, bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Part of each response that does not count towards the limit of all, bytes, so that large
/// responses do not keep out small ones.
const SMALL_RESPONSE_BYTES: usize = 64 * 1024;
/// Upper bound of what all responses together buffer beyond that part of each, bytes.
const MAX_BUFFERED_BYTES: usize = 32 * 1024 * 1024;

/// Bytes that the responses of a gateway buffer, beyond the part of each that does not count.
#[derive(Clone, Debug, Default)]
pub struct BufferedBytes(Arc<AtomicUsize>);

/// The body of one response, which grows until it is complete.
#[derive(Debug)]
pub struct ResponseBuffer {
    data: BytesMut,
    counted: CountedBytes,
}

/// Bytes of one response that count, until it is dropped.
#[derive(Debug)]
struct CountedBytes {
    all: BufferedBytes,
    own: usize,
}

impl Drop for CountedBytes {
    fn drop(&mut self) {
        self.all.0.fetch_sub(self.own, Ordering::Relaxed);
    }
}

impl ResponseBuffer {
    /// Creates an empty buffer that counts towards `all`.
    pub fn new(all: &BufferedBytes) -> ResponseBuffer {
        let all = all.clone();
        ResponseBuffer {
            data: BytesMut::new(),
            counted: CountedBytes { all, own: 0 },
        }
    }

    /// Appends bytes. Returns false if the response, or all responses together, would be too large.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let len = self.data.len() + bytes.len();
        let counted = len.saturating_sub(SMALL_RESPONSE_BYTES);
        let added = counted - self.counted.own;
        let all = &self.counted.all.0;
        let is_full = all.load(Ordering::Relaxed) + added > MAX_BUFFERED_BYTES;
        if len > MAX_RESPONSE_BYTES || (added > 0 && is_full) {
            return false;
        }
        all.fetch_add(added, Ordering::Relaxed);
        self.counted.own = counted;
        self.data.extend_from_slice(bytes);
        true
    }

    /// Returns the body for the caller.
    pub fn into_body(self) -> BufferedBody {
        BufferedBody {
            data: Some(self.data.freeze()).filter(|data| !data.is_empty()),
            _counted: self.counted,
        }
    }
}

/// A complete response body. It counts as buffered until it is dropped.
#[derive(Debug)]
pub struct BufferedBody {
    data: Option<Bytes>,
    _counted: CountedBytes,
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let len = self.data.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(len as u64)
    }
}
