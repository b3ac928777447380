//! Responses to callers: a complete response of an upstream, or a refusal by the gateway.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::clock::ClockTime;
use crate::gateway::forward::{RequestContext, SHUTDOWN_RETRY_AFTER_MS};
use crate::gateway::response_buffer::ResponseBuffer;
use crate::gateway::run::Gateway;
use crate::gateway::shutdown::{EndingAnswer, RequestProgress};
use crate::gateway::upstream::UpstreamKey;
use crate::gateway::upstream_attempt::OpenResponse;
use crate::platform::headers::{caller_headers, set_request_id};
use crate::verdict::{RefusalReason, RequestRefusal, RunVerdict};
use crate::web::problem_json;

/// The body of a response to a caller, either complete or a stream of chunks.
pub type GatewayBody = UnsyncBoxBody<Bytes, io::Error>;

/// Reads the complete response of an upstream. Returns `None` if the body is too large, breaks off
/// or is not complete by the deadline.
pub async fn collect_response(
    gateway: &Gateway,
    context: &RequestContext,
    opened: OpenResponse,
) -> Option<Response<GatewayBody>> {
    let OpenResponse {
        mut attempt,
        response,
        meta,
    } = opened;
    let (head, body) = response.into_parts();
    let remaining = Duration::from_millis(context.admitted.deadline.since(gateway.clock.now()));
    let read = read_body(body, ResponseBuffer::new(context.caller.connection()));
    let buffer = match tokio::time::timeout(remaining, read).await {
        Ok(Ok(buffer)) => buffer,
        result => {
            spdlog::warn!(
                "event=response_incomplete request={} upstream={} reason={}",
                context.meta.id,
                attempt.target.upstream_id,
                match &result {
                    Ok(Err(IncompleteBody::BrokenOff)) => "broken_off",
                    Ok(_) => "too_large",
                    Err(_) => "timed_out",
                }
            );
            if matches!(result, Ok(Err(IncompleteBody::BrokenOff))) {
                attempt.note_crash(context, attempt.target.upstream);
            }
            return None;
        }
    };
    match head.status.is_success() {
        true => attempt.record_end(),
        false => attempt.settle(),
    }
    attempt.release_connection(&meta);
    let mut response = Response::new(buffer.into_body().boxed_unsync());
    *response.status_mut() = head.status;
    *response.headers_mut() = caller_headers(&head.headers);
    Some(response)
}

/// Why a response body is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IncompleteBody {
    /// The connection ended before the body did.
    BrokenOff,
    /// The body is larger than what is buffered.
    TooLarge,
}

async fn read_body(
    mut body: Incoming,
    mut buffer: ResponseBuffer,
) -> Result<ResponseBuffer, IncompleteBody> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| IncompleteBody::BrokenOff)?;
        if let Some(data) = frame.data_ref() {
            if !buffer.push(data) {
                return Err(IncompleteBody::TooLarge);
            }
        }
    }
    Ok(buffer)
}

/// Logs and counts a complete response of an upstream, and returns the response for the caller. An
/// error response after which the request is retried is counted too.
pub fn record_response(
    gateway: &Gateway,
    context: &RequestContext,
    key: UpstreamKey,
    response: Response<GatewayBody>,
) -> Response<GatewayBody> {
    let status = response.status().as_u16();
    record_completion(gateway, context, key, status);
    // Callers take these statuses as a promise that the request did not run, which this upstream
    // did not give.
    if !context.admitted.retryable && matches!(status, 408 | 421 | 429 | 503) {
        let detail = format!("the upstream answered {status} without saying that it did not run");
        let refusal = RequestRefusal::may_have_run(RefusalReason::UpstreamLost, detail);
        return refuse(gateway, &context.meta.id, context.received_at, &refusal);
    }
    response
}

/// Logs an upstream's complete response and updates the metrics: the result (a status below 400 is
/// a success) and the time since the request was received.
pub fn record_completion(
    gateway: &Gateway,
    context: &RequestContext,
    key: UpstreamKey,
    status: u16,
) {
    let now = gateway.clock.now();
    let took_ms = now.since(context.received_at);
    let result = if status < 400 {
        // An error may come before the work that crashes others, and clears nothing.
        let mut state = gateway.state();
        state.crashes.record_completion(now, context.fingerprint);
        "answered"
    } else {
        "upstream_failed"
    };
    gateway.metrics.requests.with_label_values(&[result]).inc();
    let kind: &'static str = context.admitted.kind.into();
    gateway
        .metrics
        .answer_ms
        .with_label_values(&[kind])
        .observe(took_ms as f64);
    spdlog::debug!(
        "event=request_done request={} status={status} service={} upstream={} took_ms={took_ms}",
        context.meta.id,
        context.admitted.service,
        gateway.state().upstreams.get(key).entry.id
    );
}

/// Returns the HTTP status of a refusal. A refused request gets 503 only if it did not run, because
/// callers rely on that.
fn refusal_status(refusal: &RequestRefusal) -> u16 {
    let status = refusal.reason.status();
    match refusal.verdict {
        // It promises that the request did not run, which the status of the reason does not.
        RunVerdict::NotRun if refusal.reason == RefusalReason::Quarantined => 503,
        RunVerdict::NotRun if status >= 500 => 503,
        RunVerdict::NotRun => status,
        _ if status == 504 => 504,
        _ => 502,
    }
}

/// Builds the response of a refused request, logs the refusal and updates the metrics.
pub fn refuse(
    gateway: &Gateway,
    id: &str,
    received_at: ClockTime,
    refusal: &RequestRefusal,
) -> Response<GatewayBody> {
    let status = refusal_status(refusal);
    let took_ms = gateway.clock.now().since(received_at);
    let reason: &'static str = refusal.reason.into();
    gateway.metrics.requests.with_label_values(&[reason]).inc();
    spdlog::info!(
        "event=request_refused request={id} status={status} verdict={} reason={reason} took_ms={took_ms} detail=\"{}\"",
        refusal.verdict,
        refusal.detail
    );
    let body = Full::new(Bytes::from(problem_json(refusal).to_string()));
    let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    set_request_id(headers, id);
    if let Some(millis) = refusal.retry_after_ms {
        let seconds = format!("{}.{:03}", millis / 1_000, millis % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Answers a request that outlasts a graceful shutdown and is no longer served.
pub fn end_request(
    gateway: &Gateway,
    id: &str,
    received_at: ClockTime,
    verdict: RunVerdict,
    fallback: Option<Response<GatewayBody>>,
) -> Response<GatewayBody> {
    let answer = EndingAnswer::of(RequestProgress::Unanswered {
        verdict,
        holds_error: fallback.is_some(),
    });
    let age_ms = gateway.clock.now().since(received_at);
    spdlog::warn!("event=request_ended_by_stop request={id} answer={answer} age_ms={age_ms}");
    gateway.metrics.count_ended_by_stop(answer.into());
    let detail = "this VM stops before the request is served";
    let refusal = match answer {
        EndingAnswer::NotRun => RequestRefusal::not_run(RefusalReason::Draining, detail)
            .retry_after(SHUTDOWN_RETRY_AFTER_MS),
        _ => RequestRefusal::may_have_run(RefusalReason::Deadline, detail),
    };
    fallback.unwrap_or_else(|| refuse(gateway, id, received_at, &refusal))
}
