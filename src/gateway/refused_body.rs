//! Reads and discards the rest of the body of a refused request. A connection that is closed with
//! bytes unread is reset, and the reset may discard an answer that the caller has not read yet
//! (RFC 9112, section 9.6).

use std::sync::Arc;
use std::time::Duration;

use http::header::{CONNECTION, EXPECT};
use http::request::Parts;
use http::{HeaderValue, Response};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use strum::{Display, IntoStaticStr};

use crate::gateway::caller_connection::CallerRequest;
use crate::gateway::response::GatewayBody;
use crate::gateway::run::Gateway;

/// Time for which the rest of a body is read, milliseconds.
const DISCARD_MS: u64 = 5_000;
/// Time without a byte after which the rest of a body is not waited for, milliseconds.
const SILENCE_MS: u64 = 1_000;

/// How reading the rest of a refused body ended. Unless it is complete, its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum DiscardEnd {
    /// The body was read to its end, and the connection serves the next request.
    Complete,
    /// The body broke off.
    BrokenOff,
    /// The body is larger than a request's may be.
    TooLarge,
    /// The body came too slowly.
    TooSlow,
    /// The connection was given up for want of room.
    Evicted,
}

/// The body of a refused request.
#[derive(Debug)]
pub struct RefusedBody {
    /// What was not read of it.
    pub rest: Incoming,
    /// The request, whose connection is read on.
    pub caller: CallerRequest,
}

impl RefusedBody {
    /// Discards the body while the refusal is written. The refusal says if its connection will be
    /// closed.
    pub fn discard(
        self,
        gateway: &Arc<Gateway>,
        parts: &Parts,
        id: &str,
        refusal: &mut Response<GatewayBody>,
    ) {
        if self.rest.is_end_stream() {
            if self.caller.is_evicted() {
                announce_close(refusal);
            }
            return;
        }
        let max_bytes = gateway.state().routes.config().limits.body_bytes;
        // The caller may have waited for the leave to send the body, and may go on without it.
        let is_withheld = parts.headers.contains_key(EXPECT);
        // Hyper does not tell the end of a body without a length once its answer is written.
        let length = self.rest.size_hint().exact();
        let is_within_limit = length.is_some_and(|length| length <= max_bytes as u64);
        let has_room = self.caller.begin_discard();
        if !has_room || is_withheld || !is_within_limit {
            announce_close(refusal);
        }
        if has_room && !is_withheld {
            tokio::spawn(self.read_to_end(gateway.clone(), id.to_owned(), max_bytes));
        }
    }

    async fn read_to_end(mut self, gateway: Arc<Gateway>, id: String, max_bytes: usize) {
        let began_at = gateway.clock.now();
        let mut bytes = 0;
        let time_limit = Duration::from_millis(DISCARD_MS);
        let read = discard_frames(&mut self.rest, &mut bytes, max_bytes);
        let end = tokio::select! {
            biased;
            () = self.caller.wait_for_eviction() => DiscardEnd::Evicted,
            end = tokio::time::timeout(time_limit, read) => end.unwrap_or(DiscardEnd::TooSlow),
        };
        if end == DiscardEnd::Complete {
            self.caller.end_discard();
        }
        let label: &'static str = end.into();
        gateway.metrics.count_refused_body(label);
        let took_ms = gateway.clock.now().since(began_at);
        spdlog::info!(
            "event=refused_body_discarded request={id} end={label} bytes={bytes} took_ms={took_ms}"
        );
    }
}

fn announce_close(refusal: &mut Response<GatewayBody>) {
    let close = HeaderValue::from_static("close");
    refusal.headers_mut().insert(CONNECTION, close);
}

async fn discard_frames(body: &mut Incoming, bytes: &mut usize, max_bytes: usize) -> DiscardEnd {
    let silence = Duration::from_millis(SILENCE_MS);
    while !body.is_end_stream() {
        let frame = match tokio::time::timeout(silence, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return DiscardEnd::BrokenOff,
            Ok(None) => return DiscardEnd::Complete,
            Err(_) => return DiscardEnd::TooSlow,
        };
        *bytes += frame.data_ref().map_or(0, bytes::Bytes::len);
        if *bytes > max_bytes {
            return DiscardEnd::TooLarge;
        }
    }
    DiscardEnd::Complete
}
