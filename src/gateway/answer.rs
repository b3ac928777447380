//! Answers to callers: an upstream's, whole, or a refusal of our own.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};

use crate::clock::ClockTime;
use crate::gateway::flight::OpenAnswer;
use crate::gateway::forward::CallContext;
use crate::gateway::run::Gateway;
use crate::gateway::upstream::UpstreamKey;
use crate::platform::headers::{caller_headers, put_identity};
use crate::verdict::{RefusalReason, RequestRefusal, RunVerdict};
use crate::web::problem_json;

/// Largest answer of a plain service that is held until it is whole, bytes.
const ANSWER_LIMIT: usize = 8 * 1024 * 1024;

/// The body of an answer to a caller.
pub type GatewayBody = UnsyncBoxBody<Bytes, io::Error>;

/// The whole answer of a plain service, or none if it broke off.
pub async fn whole_answer(
    gateway: &Gateway,
    context: &CallContext,
    opened: OpenAnswer,
) -> Option<Response<GatewayBody>> {
    let OpenAnswer {
        mut flight,
        response,
        meta,
    } = opened;
    let (head, body) = response.into_parts();
    let left = Duration::from_millis(context.call.ends.since(gateway.clock.now()));
    let read = Limited::new(body, ANSWER_LIMIT).collect();
    let body = match tokio::time::timeout(left, read).await {
        Ok(Ok(body)) => body.to_bytes(),
        ended => {
            spdlog::warn!(
                "event=answer_cut request={} upstream={} late={}",
                context.meta.id,
                flight.target.id,
                ended.is_err()
            );
            return None;
        }
    };
    flight.keep_connection(&meta);
    let mut response = Response::new(
        Full::new(body)
            .map_err(|never| match never {})
            .boxed_unsync(),
    );
    *response.status_mut() = head.status;
    *response.headers_mut() = caller_headers(&head.headers);
    Some(response)
}

/// Notes the end of a request that an upstream answered. Returns the answer to give.
pub fn finish(
    gateway: &Gateway,
    context: &CallContext,
    at: UpstreamKey,
    response: Response<GatewayBody>,
) -> Response<GatewayBody> {
    let status = response.status().as_u16();
    log_end(gateway, context, at, status);
    // These statuses promise that the request did not run; the upstream's word lacks that.
    if !context.call.repeatable && matches!(status, 408 | 421 | 429 | 503) {
        let detail = format!("the upstream answered {status} without saying that it did not run");
        let refusal = RequestRefusal::may_have_run(RefusalReason::UpstreamLost, detail);
        return refuse(gateway, &context.meta.id, context.came, &refusal);
    }
    response
}

/// Logs and counts the end of a request.
pub fn log_end(gateway: &Gateway, context: &CallContext, at: UpstreamKey, status: u16) {
    let took = gateway.clock.now().since(context.came);
    let result = if status < 400 {
        "answered"
    } else {
        "upstream_failed"
    };
    gateway.metrics.requests.with_label_values(&[result]).inc();
    let kind: &'static str = context.call.kind.into();
    gateway
        .metrics
        .whole_ms
        .with_label_values(&[kind])
        .observe(took as f64);
    spdlog::debug!(
        "event=request_done request={} status={status} service={} upstream={} took_ms={took}",
        context.meta.id,
        context.call.service,
        gateway.state().upstreams.get(at).entry.id
    );
}

/// The status of a refusal: 503 promises that the request did not run.
fn refusal_status(refusal: &RequestRefusal) -> u16 {
    let status = refusal.reason.status();
    match refusal.verdict {
        RunVerdict::NotRun if status >= 500 => 503,
        RunVerdict::NotRun => status,
        _ if status == 504 => 504,
        _ => 502,
    }
}

/// An answer of our own.
pub fn refuse(
    gateway: &Gateway,
    id: &str,
    came: ClockTime,
    refusal: &RequestRefusal,
) -> Response<GatewayBody> {
    let status = refusal_status(refusal);
    let took = gateway.clock.now().since(came);
    let reason: &'static str = refusal.reason.into();
    gateway.metrics.requests.with_label_values(&[reason]).inc();
    spdlog::info!(
        "event=request_refused request={id} status={status} verdict={} reason={reason} took_ms={took} detail=\"{}\"",
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
    put_identity(headers, id);
    if let Some(millis) = refusal.retry_after_ms {
        let seconds = format!("{}.{:03}", millis / 1_000, millis % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}
