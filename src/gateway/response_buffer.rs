//! Buffers of responses that are held until they are complete.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};

use crate::gateway::caller_connection::{AnswerRoom, BodyFault, CallerConnection};

/// Largest response body that is buffered, bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// The body of one response, which grows until it is complete.
#[derive(Debug)]
pub struct ResponseBuffer {
    data: BytesMut,
    room: AnswerRoom,
}

impl ResponseBuffer {
    /// Creates an empty buffer of the answer to a caller.
    pub fn new(connection: &CallerConnection) -> ResponseBuffer {
        ResponseBuffer {
            data: BytesMut::new(),
            room: AnswerRoom::new(connection),
        }
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// If the response would be too large, or there is no room for it.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BodyFault> {
        if self.data.len() + bytes.len() > MAX_RESPONSE_BYTES {
            return Err(BodyFault::TooLarge);
        }
        if !self.room.grow(bytes.len()) {
            return Err(BodyFault::NoRoom);
        }
        self.data.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the body for the caller.
    pub fn into_body(self) -> BufferedBody {
        let is_empty = self.data.is_empty();
        let data = HeldAnswer {
            data: self.data,
            _room: self.room,
        };
        BufferedBody((!is_empty).then(|| Bytes::from_owner(data)))
    }
}

/// The bytes of an answer, which take room until they are written.
#[derive(Debug)]
struct HeldAnswer {
    data: BytesMut,
    _room: AnswerRoom,
}

impl AsRef<[u8]> for HeldAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// A complete response body. Its bytes take room until they are written.
#[derive(Debug)]
pub struct BufferedBody(Option<Bytes>);

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        Poll::Ready(self.0.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let len = self.0.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(len as u64)
    }
}
