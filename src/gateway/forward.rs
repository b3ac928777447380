//! Carries one request to upstreams and its answer back, as [`GatewayState`] and [`TryLedger`]
//! decide.
//!
//! [`GatewayState`]: crate::gateway::state::GatewayState

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::request::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use crate::clock::ClockTime;
use crate::gateway::answer::{finish, refuse, whole_answer, GatewayBody};
use crate::gateway::attempt::{NextStep, TryFailure, TryLedger};
use crate::gateway::catalog::WorkKind;
use crate::gateway::flight::{open, FailedTry, OpenAnswer};
use crate::gateway::relay;
use crate::gateway::run::Gateway;
use crate::gateway::state::{AdmittedCall, CallHead, SendTarget};
use crate::gateway::upstream::UpstreamKey;
use crate::platform::headers::{request_meta, RequestMeta};
use crate::verdict::{RefusalReason, RequestRefusal, RunVerdict};

/// Time for which a request waits for room in a chain, as a part of its aim.
const WAIT_PART: f64 = 0.2;
/// When to come back after a refusal because this VM stops, milliseconds: others serve.
const STOPPING_RETRY_MS: u64 = 50;
/// Time after the loss of a run for which a stream waits for room in another chain, milliseconds:
/// less than callers bear without an event.
const RESUME_WAIT_MS: u64 = 1_200;
/// Time between two looks for room, milliseconds.
const WAIT_LOOK_MS: u64 = 25;

/// One request of a caller while it is served.
#[derive(Debug)]
pub struct CallContext {
    /// The caller's request without its body.
    pub parts: Parts,
    /// Its body.
    pub body: Bytes,
    /// What its head says.
    pub meta: RequestMeta,
    /// What was decided about it.
    pub call: AdmittedCall,
    /// When it came.
    pub came: ClockTime,
    _gauge: InFlight,
}

#[derive(Debug)]
struct InFlight(Arc<Gateway>);

impl InFlight {
    fn begin(gateway: &Arc<Gateway>) -> InFlight {
        gateway.metrics.in_flight.inc();
        InFlight(gateway.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
    }
}

/// Serves one request.
pub async fn handle(gateway: &Arc<Gateway>, request: Request<Incoming>) -> Response<GatewayBody> {
    let came = gateway.clock.now();
    let (parts, body) = request.into_parts();
    let meta = request_meta(&parts.headers);
    if gateway.refuses_new() {
        let refusal = RequestRefusal::not_run(RefusalReason::Draining, "this VM is stopping");
        return refuse(
            gateway,
            &meta.id,
            came,
            &refusal.retry_after(STOPPING_RETRY_MS),
        );
    }
    let call = match admit(gateway, came, &parts, &meta) {
        Ok(call) => call,
        Err(refusal) => return refuse(gateway, &meta.id, came, &refusal),
    };
    let gauge = InFlight::begin(gateway);
    let limit = gateway.state().routes.config().limits.body_bytes;
    let read = Limited::new(body, limit).collect();
    let left = Duration::from_millis(call.ends.since(came));
    let body = match tokio::time::timeout(left, read).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            let detail = format!("could not read the body: {error}");
            let reason = match error.is::<LengthLimitError>() {
                true => RefusalReason::TooLarge,
                false => RefusalReason::BadRequest,
            };
            return refuse(
                gateway,
                &meta.id,
                came,
                &RequestRefusal::not_run(reason, detail),
            );
        }
        Err(_) => {
            let refusal =
                RequestRefusal::not_run(RefusalReason::Deadline, "the body came too late");
            return refuse(gateway, &meta.id, came, &refusal);
        }
    };
    let context = CallContext {
        parts,
        body,
        meta,
        call,
        came,
        _gauge: gauge,
    };
    serve(gateway, context).await
}

fn admit(
    gateway: &Gateway,
    now: ClockTime,
    parts: &Parts,
    meta: &RequestMeta,
) -> Result<AdmittedCall, RequestRefusal> {
    let header = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = parts
        .uri
        .authority()
        .map(http::uri::Authority::as_str)
        .or(header);
    let head = CallHead {
        host: host.unwrap_or(""),
        path: parts.uri.path(),
        key: &meta.key,
        deadline_ms: meta.deadline_ms,
        prompt_tokens: meta.prompt_tokens,
        answer_tokens: meta.answer_tokens,
        answer_hint: meta.answer_hint,
    };
    gateway.state().admit(now, &head)
}

async fn serve(gateway: &Arc<Gateway>, context: CallContext) -> Response<GatewayBody> {
    let call = &context.call;
    let mut ledger = TryLedger::new(call.repeatable, call.max_attempts, call.ends);
    let mut avoid = Vec::new();
    let mut spare: Option<Response<GatewayBody>> = None;
    loop {
        let opened = match next_try(gateway, &context, &mut ledger, &avoid, None).await {
            Ok(opened) => opened,
            Err(TryEnd::Refused(refusal)) => {
                return spare
                    .unwrap_or_else(|| refuse(gateway, &context.meta.id, context.came, &refusal));
            }
            Err(TryEnd::Failed(failed)) => {
                avoid.push(failed.at);
                if let Some(end) = after_failure(gateway, &context, &mut ledger, failed) {
                    return spare.unwrap_or(end);
                }
                continue;
            }
        };
        let kind: &'static str = call.kind.into();
        let first = gateway.clock.now().since(context.came) as f64;
        gateway
            .metrics
            .first_ms
            .with_label_values(&[kind])
            .observe(first);
        let success = opened.response.status().is_success();
        if success && call.kind == WorkKind::Streaming {
            return relay::stream(gateway, context, ledger, opened);
        }
        let at = opened.flight.target.upstream;
        let failure = match whole_answer(gateway, &context, opened).await {
            Some(response) if success => return finish(gateway, &context, at, response),
            // The upstream's own failure is passed on if nobody does better.
            Some(response) => {
                spare = Some(finish(gateway, &context, at, response));
                TryFailure::Failed
            }
            None => TryFailure::Lost,
        };
        avoid.push(at);
        if let Some(end) = after_failure(gateway, &context, &mut ledger, FailedTry { failure, at })
        {
            return spare.unwrap_or(end);
        }
    }
}

/// Where a stream that lost its run goes on.
#[derive(Clone, Copy, Debug)]
pub struct StreamResume {
    /// The last event that was passed on.
    pub last_event: Option<u64>,
    /// When the run was lost.
    pub lost: ClockTime,
}

/// Why there was no answer to a try.
#[derive(Debug)]
pub enum TryEnd {
    /// The request goes nowhere; whether it ran is in the refusal.
    Refused(RequestRefusal),
    /// It went somewhere and failed.
    Failed(FailedTry),
}

/// Chooses an upstream and sends the request there.
///
/// # Errors
///
/// How the try ended when there is no answer to pass on.
pub async fn next_try(
    gateway: &Arc<Gateway>,
    context: &CallContext,
    ledger: &mut TryLedger,
    avoid: &[UpstreamKey],
    resume: Option<StreamResume>,
) -> Result<OpenAnswer, TryEnd> {
    let aim = context.call.aim_ms as f64 * WAIT_PART;
    let until = match resume {
        Some(resume) => resume.lost + RESUME_WAIT_MS,
        None => context.came + aim as u64,
    };
    let last_event = resume.and_then(|resume| resume.last_event);
    let target = wait_for_target(gateway, context, ledger, avoid, until).await?;
    ledger.send();
    let may_repeat = ledger.may_repeat(gateway.clock.now());
    open(gateway, context, target, last_event, may_repeat)
        .await
        .map_err(TryEnd::Failed)
}

async fn wait_for_target(
    gateway: &Arc<Gateway>,
    context: &CallContext,
    ledger: &TryLedger,
    avoid: &[UpstreamKey],
    until: ClockTime,
) -> Result<SendTarget, TryEnd> {
    let call = &context.call;
    loop {
        let now = gateway.clock.now();
        let refusal = {
            let mut state = gateway.state();
            if !state.still_allowed(now, call) {
                RequestRefusal::not_run(
                    RefusalReason::PlatformOutage,
                    "the configuration cannot be shown to be the newest",
                )
                .retry_after(1_000)
            } else {
                match state.choose(now, call, avoid, None) {
                    Ok(target) => {
                        if ledger.is_repeat() && !state.spend_repeat(now, &call.service) {
                            state.release(&target);
                            let detail = "the budget of repeats is used up";
                            RequestRefusal::not_run(RefusalReason::Busy, detail).retry_after(1_000)
                        } else {
                            return Ok(target);
                        }
                    }
                    Err(refusal) => refusal,
                }
            }
        };
        if refusal.reason != RefusalReason::NoUpstream || now >= until {
            return Err(TryEnd::Refused(RequestRefusal {
                verdict: ledger.verdict(),
                ..refusal
            }));
        }
        tokio::time::sleep(Duration::from_millis(WAIT_LOOK_MS)).await;
    }
}

/// Notes a failed try. Returns the answer to give when there is no other try.
fn after_failure(
    gateway: &Gateway,
    context: &CallContext,
    ledger: &mut TryLedger,
    failed: FailedTry,
) -> Option<Response<GatewayBody>> {
    let now = gateway.clock.now();
    let next = ledger.fail(now, failed.failure);
    spdlog::info!(
        "event=try_failed request={} failure={} sent={} next={next} age_ms={}",
        context.meta.id,
        failed.failure,
        ledger.sent(),
        now.since(context.came)
    );
    match next {
        NextStep::Again => None,
        NextStep::GiveUp(verdict) => {
            let late = now >= context.call.ends;
            let reason = match (verdict, late) {
                (RunVerdict::NotRun, _) => RefusalReason::NoUpstream,
                (_, true) => RefusalReason::Deadline,
                (_, false) => RefusalReason::UpstreamLost,
            };
            let refusal = RequestRefusal {
                verdict,
                reason,
                detail: format!("the last try ended as {}", failed.failure),
                retry_after_ms: (verdict == RunVerdict::NotRun).then_some(300),
            };
            Some(refuse(gateway, &context.meta.id, context.came, &refusal))
        }
    }
}
