//! What the bytes of an upstream's event stream mean for its relay.

use bytes::Bytes;
use hyper::body::Frame;

use crate::gateway::event_stream::EventSplitter;

/// What the next frame of an upstream's body means for the stream.
#[derive(Debug)]
pub(super) enum StreamStep {
    /// Whole events.
    Events {
        /// Their bytes.
        events: Bytes,
        /// Whether any is new: comments that keep a connection alive have no id.
        is_progress: bool,
    },
    /// The stream is complete.
    Ended,
    /// The stream ended inside an event.
    CutOff,
    /// The connection broke.
    Broken(String),
    /// The bytes are not those of a stream.
    Invalid(String),
}

impl StreamStep {
    /// The step that a frame makes, if any. `None` for `frame` is the end of the body.
    pub(super) fn from_frame(
        splitter: &mut EventSplitter,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
    ) -> Option<StreamStep> {
        let data = match frame {
            Some(Ok(frame)) => frame.into_data().ok()?,
            Some(Err(error)) => return Some(StreamStep::Broken(error.to_string())),
            None if splitter.has_partial_event() => return Some(StreamStep::CutOff),
            None => return Some(StreamStep::Ended),
        };
        let last_id = splitter.last_id();
        match splitter.push(data) {
            Ok(events) if events.is_empty() => None,
            Ok(events) => Some(StreamStep::Events {
                events,
                is_progress: splitter.last_id() != last_id || last_id.is_none(),
            }),
            Err(fault) => Some(StreamStep::Invalid(format!(
                "invalid event stream: {fault:?}"
            ))),
        }
    }

    pub(super) fn is_progress(&self) -> bool {
        matches!(
            self,
            StreamStep::Events {
                is_progress: true,
                ..
            }
        )
    }

    pub(super) fn ends_run(&self) -> bool {
        !matches!(self, StreamStep::Events { .. })
    }
}
