//! Reads the bodies of admitted requests, within the bounds of the configuration in force and of the
//! room that there is.

use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::gateway::caller_connection::{BodyBuffer, BodyFault, CallerRequest};
use crate::gateway::run::Gateway;
use crate::gateway::state::AdmittedRequest;
use crate::verdict::{RefusalReason, RequestRefusal};

/// `Retry-After` of a request that is refused since there is no room for its body, milliseconds.
/// Others that take the room are given up when more is needed.
const NO_ROOM_RETRY_AFTER_MS: u64 = 500;

/// Size of a request's head, bytes, as a caller writes it.
pub fn head_bytes(parts: &Parts) -> usize {
    /// The spaces, the version and the line end of a request line, and the line end of the head.
    const REQUEST_LINE_EXTRA: usize = " ".len() + " HTTP/1.1\r\n".len() + "\r\n".len();
    const HEADER_EXTRA: usize = ": ".len() + "\r\n".len();
    let headers = parts.headers.iter();
    let header_bytes: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_EXTRA)
        .sum();
    let target = parts.uri.path_and_query().map_or("", |path| path.as_str());
    parts.method.as_str().len() + target.len() + REQUEST_LINE_EXTRA + header_bytes
}

/// Reads the body of an admitted request.
///
/// # Errors
///
/// The refusal, if the body is too large, broken off or late, or if there is no room for it.
pub async fn read_body(
    gateway: &Gateway,
    admitted: &AdmittedRequest,
    body: &mut Incoming,
    caller: &CallerRequest,
) -> Result<Bytes, RequestRefusal> {
    let max_bytes = gateway.state().routes.config().limits.body_bytes;
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(body_refusal(BodyFault::TooLarge));
    }
    let remaining = Duration::from_millis(admitted.deadline.since(gateway.clock.now()));
    let read = tokio::select! {
        biased;
        () = caller.wait_for_eviction() => return Err(body_refusal(BodyFault::NoRoom)),
        read = tokio::time::timeout(remaining, collect_body(body, caller, max_bytes)) => read,
    };
    let body = read.unwrap_or_else(|_| {
        let detail = "the body came too late";
        Err(RequestRefusal::not_run(RefusalReason::Deadline, detail))
    })?;
    match caller.begin_service() {
        true => Ok(body),
        false => Err(body_refusal(BodyFault::NoRoom)),
    }
}

async fn collect_body(
    body: &mut Incoming,
    caller: &CallerRequest,
    max_bytes: usize,
) -> Result<Bytes, RequestRefusal> {
    let mut buffer = BodyBuffer::new(caller, max_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let detail = format!("could not read the body: {error}");
            RequestRefusal::not_run(RefusalReason::BadRequest, detail)
        })?;
        if let Some(data) = frame.data_ref() {
            buffer.push(data).map_err(body_refusal)?;
        }
    }
    Ok(buffer.into_bytes())
}

fn body_refusal(fault: BodyFault) -> RequestRefusal {
    match fault {
        BodyFault::TooLarge => {
            let detail = "the body is larger than the limit";
            RequestRefusal::not_run(RefusalReason::TooLarge, detail)
        }
        BodyFault::NoRoom => {
            let detail = "there is no room for the body of the request";
            let refusal = RequestRefusal::not_run(RefusalReason::Busy, detail);
            refusal.retry_after(NO_ROOM_RETRY_AFTER_MS)
        }
    }
}
