//! Splits a stream of events (`text/event-stream`) at event boundaries and tracks their ids, so
//! that only complete events are passed on and none twice.

use bytes::{Bytes, BytesMut};

/// Largest part of an incomplete event that is buffered, bytes.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Why a stream cannot be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// An event is missing: an id is more than one above its predecessor's.
    Gap,
    /// An incomplete event is larger than `MAX_EVENT_BYTES`.
    TooLarge,
}

/// Splits the event stream of one answer. The answer may come from several runs of the request,
/// each with a stream of its own.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after event `last`.
    pub fn after(last: Option<u64>) -> EventSplitter {
        EventSplitter {
            partial: BytesMut::new(),
            last,
        }
    }

    /// Id of the last event passed on, or the one to continue after. `None` if there is none yet.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Whether the beginning of an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Prepares for the stream of another run. An incomplete event of the previous run is dropped.
    pub fn restart(&mut self) {
        self.partial.clear();
    }

    /// Takes bytes of the stream and returns the complete events that were not passed on before.
    ///
    /// # Errors
    ///
    /// If an event is missing, or an incomplete event is too large to buffer.
    pub fn push(&mut self, data: Bytes) -> Result<Bytes, StreamError> {
        let complete = if self.partial.is_empty() {
            let end = complete_len(&data);
            self.partial.extend_from_slice(&data[end..]);
            data.slice(..end)
        } else {
            self.partial.extend_from_slice(&data);
            let end = complete_len(&self.partial);
            self.partial.split_to(end).freeze()
        };
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(StreamError::TooLarge);
        }
        self.drop_repeated(complete)
    }

    fn drop_repeated(&mut self, complete: Bytes) -> Result<Bytes, StreamError> {
        let mut from = 0;
        let mut keep = 0;
        while from < complete.len() {
            let end = from + first_event_len(&complete[from..]).unwrap_or(complete.len() - from);
            if let Some(id) = event_id(&complete[from..end]) {
                match self.last {
                    // The stream of a new run may begin with events that were already passed on.
                    Some(last) if id <= last => keep = end,
                    Some(last) if id > last + 1 => return Err(StreamError::Gap),
                    _ => self.last = Some(id),
                }
            }
            from = end;
        }
        Ok(complete.slice(keep..))
    }
}

/// Length of the first event of `data`, including the blank line that ends it.
fn first_event_len(data: &[u8]) -> Option<usize> {
    data.windows(2)
        .position(|pair| pair == b"\n\n")
        .map(|at| at + 2)
}

/// Length of the complete events at the start of `data`.
fn complete_len(data: &[u8]) -> usize {
    if data.ends_with(b"\n\n") {
        return data.len();
    }
    data.windows(2)
        .rposition(|pair| pair == b"\n\n")
        .map_or(0, |at| at + 2)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
