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
    /// An event comes again after new ones of the same run.
    Repeated,
    /// An event of a run that continues another has no id, so that its place is unknown.
    Unnumbered,
    /// A line is neither a field of an event nor a comment.
    NotAnEvent,
    /// An incomplete event is larger than `MAX_EVENT_BYTES`.
    TooLarge,
}

/// Splits the event stream of one answer. The answer may come from several runs of the request,
/// each with a stream of its own.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    place: StreamPlace,
    /// Whether the present run continues the stream of another.
    is_continuation: bool,
}

/// How far a stream was passed on.
#[derive(Clone, Copy, Debug, Default)]
struct StreamPlace {
    /// Id of the last event passed on, or the one to continue after.
    last: Option<u64>,
    /// Number of events passed on that were not passed on before.
    events: u64,
    /// Whether an event without an id was passed on.
    has_unnumbered: bool,
    /// Whether the present run has brought an event that was not passed on before.
    has_progressed: bool,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after event `last`.
    pub fn after(last: Option<u64>) -> EventSplitter {
        EventSplitter {
            place: StreamPlace {
                last,
                ..StreamPlace::default()
            },
            ..EventSplitter::default()
        }
    }

    /// Id of the last event passed on, or the one to continue after. `None` if there is none yet.
    pub fn last_id(&self) -> Option<u64> {
        self.place.last
    }

    /// Number of events passed on so far, without comments and those that came again.
    pub fn event_count(&self) -> u64 {
        self.place.events
    }

    /// Whether the beginning of an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        self.partial.iter().any(|byte| !is_line_end(*byte))
    }

    /// Whether another run can go on where this one ended: every event that was passed on has an id.
    pub fn can_continue(&self) -> bool {
        !self.place.has_unnumbered
    }

    /// Whether the present run continues another and has brought nothing new. Its end does not show
    /// that the answer is complete.
    pub fn is_empty_continuation(&self) -> bool {
        self.is_continuation && !self.place.has_progressed
    }

    /// Prepares for the stream of another run. An incomplete event of the previous run is dropped.
    pub fn restart(&mut self) {
        self.partial.clear();
        self.is_continuation = true;
        self.place.has_progressed = false;
    }

    /// Takes bytes of the stream and returns the complete events that were not passed on before.
    ///
    /// # Errors
    ///
    /// If an event is missing, out of place or none, or an incomplete event is too large to buffer.
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
        let before = self.place;
        let result = self.drop_repeated(complete);
        if result.is_err() {
            // None of these events is passed on.
            self.place = before;
        }
        result
    }

    fn drop_repeated(&mut self, complete: Bytes) -> Result<Bytes, StreamError> {
        let place = &mut self.place;
        let mut from = 0;
        let mut keep = 0;
        while from < complete.len() {
            let end = from + first_event_len(&complete[from..]).unwrap_or(complete.len() - from);
            match read_event(&complete[from..end])? {
                EventKind::Comment => {}
                EventKind::Unnumbered if self.is_continuation => {
                    return Err(StreamError::Unnumbered);
                }
                EventKind::Unnumbered => {
                    place.events += 1;
                    place.has_unnumbered = true;
                }
                EventKind::Numbered(id) => match place.last {
                    // The stream of a new run may begin with events that were already passed on.
                    Some(last) if id <= last && !place.has_progressed => keep = end,
                    Some(last) if id <= last => return Err(StreamError::Repeated),
                    Some(last) if id - last > 1 => return Err(StreamError::Gap),
                    _ => {
                        place.events += 1;
                        place.last = Some(id);
                        place.has_progressed = true;
                    }
                },
            }
            from = end;
        }
        Ok(complete.slice(keep..))
    }
}

/// What a block of lines up to a blank line is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventKind {
    /// Comments only, which keep a connection alive.
    Comment,
    /// An event without an id, or with one that is no number.
    Unnumbered,
    /// An event with an id.
    Numbered(u64),
}

fn read_event(block: &[u8]) -> Result<EventKind, StreamError> {
    let mut kind = EventKind::Comment;
    for line in block.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() || line.starts_with(b":") {
            continue;
        }
        let mut halves = line.splitn(2, |byte| *byte == b':');
        let (name, value) = (halves.next().unwrap_or(line), halves.next());
        if !name.iter().all(|byte| is_name_byte(*byte)) {
            return Err(StreamError::NotAnEvent);
        }
        let value = value.filter(|_| name == b"id");
        let id = value.and_then(|value| std::str::from_utf8(value).ok()?.trim().parse().ok());
        match (id, kind) {
            (Some(id), EventKind::Comment | EventKind::Unnumbered) => {
                kind = EventKind::Numbered(id);
            }
            (None, EventKind::Comment) => kind = EventKind::Unnumbered,
            _ => {}
        }
    }
    Ok(kind)
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_'
}

fn is_line_end(byte: u8) -> bool {
    byte == b'\n' || byte == b'\r'
}

/// Length of the first event of `data`, including the blank line that ends it.
fn first_event_len(data: &[u8]) -> Option<usize> {
    (0..data.len()).find_map(|at| blank_line_end(data, at))
}

/// Length of the complete events at the start of `data`.
fn complete_len(data: &[u8]) -> usize {
    let mut line_ends = (0..data.len()).rev();
    line_ends
        .find_map(|at| blank_line_end(data, at))
        .unwrap_or(0)
}

/// End of the blank line after the line that ends at `at`; `None` if no line ends there or the next one
/// is not blank.
fn blank_line_end(data: &[u8], at: usize) -> Option<usize> {
    match data[at..] {
        [b'\n', b'\n', ..] => Some(at + 2),
        [b'\n', b'\r', b'\n', ..] => Some(at + 3),
        _ => None,
    }
}
