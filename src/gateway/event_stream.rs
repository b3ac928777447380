//! Cuts a stream of events (`text/event-stream`) at event boundaries and counts their ids, so
//! that only whole events are passed on and none twice.

use bytes::{Bytes, BytesMut};

/// Largest event that is put together, bytes.
const EVENT_LIMIT: usize = 256 * 1024;

/// What is wrong with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// An event is missing: the ids jump.
    Gap,
    /// An event is larger than can be put together.
    TooLarge,
}

/// Cuts one answer's stream, over all runs that make it up.
#[derive(Debug, Default)]
pub struct EventCutter {
    rest: BytesMut,
    last: Option<u64>,
}

impl EventCutter {
    /// A cutter for a stream that goes on after event `last`.
    pub fn after(last: Option<u64>) -> EventCutter {
        EventCutter {
            rest: BytesMut::new(),
            last,
        }
    }

    /// Id of the last event passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether a part of an event is held back.
    pub fn holds_part(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Another run goes on; what the last one left unfinished is dropped.
    pub fn restart(&mut self) {
        self.rest.clear();
    }

    /// Takes bytes of the stream and gives the whole events that are new.
    ///
    /// # Errors
    ///
    /// When an event is missing or too large.
    pub fn push(&mut self, data: Bytes) -> Result<Bytes, StreamFault> {
        let whole = if self.rest.is_empty() {
            let end = whole_end(&data);
            self.rest.extend_from_slice(&data[end..]);
            data.slice(..end)
        } else {
            self.rest.extend_from_slice(&data);
            let end = whole_end(&self.rest);
            self.rest.split_to(end).freeze()
        };
        if self.rest.len() > EVENT_LIMIT {
            return Err(StreamFault::TooLarge);
        }
        self.take_ids(whole)
    }

    fn take_ids(&mut self, whole: Bytes) -> Result<Bytes, StreamFault> {
        let mut from = 0;
        let mut keep = 0;
        while from < whole.len() {
            let end = from + next_end(&whole[from..]).unwrap_or(whole.len() - from);
            if let Some(id) = event_id(&whole[from..end]) {
                match self.last {
                    // A new run may begin with events that were passed on before.
                    Some(last) if id <= last => keep = end,
                    Some(last) if id > last + 1 => return Err(StreamFault::Gap),
                    _ => self.last = Some(id),
                }
            }
            from = end;
        }
        Ok(whole.slice(keep..))
    }
}

/// Length of the first event of `data` with the blank line that ends it.
fn next_end(data: &[u8]) -> Option<usize> {
    data.windows(2)
        .position(|pair| pair == b"\n\n")
        .map(|at| at + 2)
}

/// Length of the whole events at the start of `data`.
fn whole_end(data: &[u8]) -> usize {
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
