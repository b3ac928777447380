//! Forwards one request to upstreams and returns the response. [`GatewayState`] chooses the
//! upstreams; [`AttemptLedger`] decides whether a failed attempt may be retried.
//!
//! [`GatewayState`]: crate::gateway::state::GatewayState

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, MutexGuard, PoisonError};

use bytes::Bytes;
use http::header::HOST;
use http::request::Parts;
use http::{Request, Response};
use hyper::body::Incoming;

use crate::clock::ClockTime;
use crate::fingerprint::RequestFingerprint;
use crate::gateway::attempt_ledger::{AttemptFailure, AttemptLedger, NextStep};
use crate::gateway::caller_connection::CallerRequest;
use crate::gateway::catalog::WorkKind;
use crate::gateway::crash_ledger::{CrashSeries, SharedSeries};
use crate::gateway::part_ledger::{PartVerdict, PromptPart, SuspectRun};
use crate::gateway::permit::acquire_permit;
use crate::gateway::refused_body::RefusedBody;
use crate::gateway::relay;
use crate::gateway::request_body::{head_bytes, read_body};
use crate::gateway::reserved_target::ReservedTarget;
use crate::gateway::response::{
    collect_response, end_request, record_response, refuse, GatewayBody,
};
use crate::gateway::run::Gateway;
use crate::gateway::state::{AdmittedRequest, GatewayState, RequestHead, RoomClaim, SendTarget};
use crate::gateway::upstream::UpstreamKey;
use crate::gateway::upstream_attempt::{send_request, FailedAttempt, OpenResponse, SendOptions};
use crate::gateway::wait_queue::WaitRank;
use crate::gateway::waiting::WaitingRequest;
use crate::platform::headers::{request_meta, RequestMeta};
use crate::verdict::{RefusalReason, RequestRefusal, RunVerdict};

/// `Retry-After` of a request refused during shutdown, milliseconds. It is short because the other
/// VMs keep serving.
pub const SHUTDOWN_RETRY_AFTER_MS: u64 = 50;
/// `Retry-After` of a request that did not run in any of its attempts, milliseconds, unless all
/// replicas ask to be left alone for longer.
const FAILED_RETRY_AFTER_MS: u64 = 300;
/// Longest wait of an interrupted stream for free capacity in another chain, counted from the
/// failure, milliseconds. It is shorter than the pause between events that callers tolerate.
const MAX_RESUME_WAIT_MS: u64 = 1_200;
/// Number of permits denied to one request after which this gateway asks for none for a while.
const MAX_DENIALS: u32 = 4;

/// A caller's request while it is being served.
#[derive(Debug)]
pub struct RequestContext {
    /// The caller's request without its body.
    pub parts: Parts,
    /// The complete request body.
    pub body: Bytes,
    /// Values parsed from the request headers.
    pub meta: RequestMeta,
    /// The request as admitted: its service, team, deadline and retry rules.
    pub admitted: AdmittedRequest,
    /// Identifies the request when its caller sends it again.
    pub fingerprint: RequestFingerprint,
    /// What the request is to a replica that crashes under it.
    pub suspect: SuspectRun,
    /// Replicas that crashed while they ran the request.
    pub(super) crash_series: SharedSeries,
    /// Whether the request tries a quarantined part of its prompt again.
    is_probe: AtomicBool,
    /// When the request line and headers were received.
    pub received_at: ClockTime,
    /// The caller's connection, and what is held for the request there.
    pub caller: CallerRequest,
    _in_flight: InFlightGuard,
}

impl RequestContext {
    /// Locks the record of crashes under the request.
    pub(super) fn crash_series(&self) -> MutexGuard<'_, CrashSeries> {
        let series = self.crash_series.lock();
        series.unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether as many replicas crashed or are silent under the request as may crash.
    pub(super) fn awaits_ends(&self, state: &GatewayState) -> bool {
        let open_ends = state.silences.open_ends(&self.crash_series);
        self.crash_series().may_be_exhausted(open_ends)
    }

    /// Whether the request must not be sent to any replica, since several crashed under it, under
    /// one that is the same, or under others with a part of its prompt.
    pub(super) fn is_barred(&self, now: ClockTime, state: &GatewayState) -> bool {
        self.bar_ms(now, state).is_some() || self.part_verdict(now, state) != PartVerdict::Open
    }

    /// How long the request must not be sent to any replica, milliseconds; `None` if it may be sent
    /// or may try a part of its prompt again.
    fn bar_ms(&self, now: ClockTime, state: &GatewayState) -> Option<u64> {
        if let Some(remaining_ms) = state.crashes.quarantine_ms(now, self.fingerprint) {
            return Some(remaining_ms);
        }
        if let PartVerdict::Barred(remaining_ms) = self.part_verdict(now, state) {
            return Some(remaining_ms.max(FAILED_RETRY_AFTER_MS));
        }
        let is_exhausted = self.crash_series().is_exhausted();
        is_exhausted.then_some(FAILED_RETRY_AFTER_MS)
    }

    fn part_verdict(&self, now: ClockTime, state: &GatewayState) -> PartVerdict {
        match self.is_probe.load(Ordering::Relaxed) {
            true => PartVerdict::Open,
            false => state.parts.verdict(now, &self.suspect.parts),
        }
    }

    /// Begins to try a quarantined part of the prompt again, if the request may be sent for that
    /// only.
    fn begin_probe(&self, now: ClockTime, state: &mut GatewayState) {
        if self.part_verdict(now, state) == PartVerdict::Probe {
            state.parts.begin_probe(now, &self.suspect.parts);
            self.is_probe.store(true, Ordering::Relaxed);
            spdlog::info!("event=prompt_part_probed request={}", self.meta.id);
        }
    }

    /// Ends the trial of a part, after which the request is sent again only if the part may be.
    pub(super) fn end_probe(&self) {
        self.is_probe.store(false, Ordering::Relaxed);
    }
}

#[derive(Debug)]
struct InFlightGuard(Arc<Gateway>);

impl InFlightGuard {
    fn begin(gateway: &Arc<Gateway>) -> InFlightGuard {
        gateway.metrics.in_flight.inc();
        InFlightGuard(gateway.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
    }
}

/// Admits a caller's request, reads its body and forwards it. Every failure becomes a response.
pub async fn handle_request(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    caller: CallerRequest,
) -> Response<GatewayBody> {
    let received_at = gateway.clock.now();
    let (parts, mut rest) = request.into_parts();
    let meta = request_meta(&parts.headers);
    let read = tokio::select! {
        biased;
        read = read_request(gateway, received_at, &parts, &meta, &mut rest, &caller) => {
            read.map_err(|refusal| refuse(gateway, &meta.id, received_at, &refusal))
        }
        () = gateway.wait_for_ending() => {
            Err(end_request(gateway, &meta.id, received_at, RunVerdict::NotRun, None))
        }
    };
    let (admitted, in_flight, body) = match read {
        Ok(request) => request,
        Err(mut response) => {
            let refused = RefusedBody { rest, caller };
            refused.discard(gateway, &parts, &meta.id, &mut response);
            return response;
        }
    };
    let fingerprint = fingerprint(&admitted, &parts, &body);
    let shared_parts = meta.shared_parts.iter();
    let shared_parts = shared_parts.map(|id| PromptPart::new(&admitted.service, *id));
    let context = RequestContext {
        fingerprint,
        suspect: SuspectRun {
            fingerprint,
            parts: shared_parts.collect(),
        },
        crash_series: SharedSeries::default(),
        is_probe: AtomicBool::new(false),
        parts,
        body,
        meta,
        admitted,
        received_at,
        caller,
        _in_flight: in_flight,
    };
    let id = context.meta.id.clone();
    let admitted = &context.admitted;
    let mut ledger =
        AttemptLedger::new(admitted.retryable, admitted.max_attempts, admitted.deadline);
    let mut fallback = None;
    tokio::select! {
        biased;
        response = serve(gateway, context, &mut ledger, &mut fallback) => return response,
        () = gateway.wait_for_ending() => {}
    }
    end_request(gateway, &id, received_at, ledger.verdict(), fallback)
}

/// Admits a request and reads its body.
///
/// # Errors
///
/// The refusal, after which the rest of the body has not been read.
async fn read_request(
    gateway: &Arc<Gateway>,
    received_at: ClockTime,
    parts: &Parts,
    meta: &RequestMeta,
    body: &mut Incoming,
    caller: &CallerRequest,
) -> Result<(AdmittedRequest, InFlightGuard, Bytes), RequestRefusal> {
    if gateway.rejects_new_requests() {
        let refusal = RequestRefusal::not_run(RefusalReason::Draining, "this VM is stopping");
        return Err(refusal.retry_after(SHUTDOWN_RETRY_AFTER_MS));
    }
    // The limit is that of the configuration in force, also on connections that are older.
    if head_bytes(parts) > gateway.state().routes.config().limits.header_bytes {
        let detail = "the request line and headers are larger than the limit";
        let refusal = RequestRefusal::not_run(RefusalReason::HeadersTooLarge, detail);
        return Err(refusal);
    }
    let admitted = admit(gateway, received_at, parts, meta)?;
    let in_flight = InFlightGuard::begin(gateway);
    let body = read_body(gateway, &admitted, body, caller).await?;
    Ok((admitted, in_flight, body))
}

fn fingerprint(admitted: &AdmittedRequest, parts: &Parts, body: &Bytes) -> RequestFingerprint {
    let path = parts.uri.path_and_query();
    RequestFingerprint::of(&[
        admitted.team.as_deref().unwrap_or("").as_bytes(),
        parts.method.as_str().as_bytes(),
        path.map_or("", |path| path.as_str()).as_bytes(),
        body,
    ])
}

fn admit(
    gateway: &Gateway,
    now: ClockTime,
    parts: &Parts,
    meta: &RequestMeta,
) -> Result<AdmittedRequest, RequestRefusal> {
    let header = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = parts
        .uri
        .authority()
        .map(http::uri::Authority::as_str)
        .or(header);
    let head = RequestHead {
        host: host.unwrap_or(""),
        path: parts.uri.path(),
        api_key: &meta.api_key,
        deadline_ms: meta.deadline_ms,
        prompt_tokens: meta.prompt_tokens,
        max_answer_tokens: meta.max_answer_tokens,
        answer_hint: meta.answer_hint,
    };
    let mut state = gateway.state();
    let admitted = state.admit(now, &head)?;
    state.check_own_delay(&admitted)?;
    Ok(admitted)
}

/// Serves a request. The error answer of an upstream that is returned if no later attempt succeeds
/// is held in `fallback`.
async fn serve(
    gateway: &Arc<Gateway>,
    context: RequestContext,
    ledger: &mut AttemptLedger,
    fallback: &mut Option<Response<GatewayBody>>,
) -> Response<GatewayBody> {
    let admitted = &context.admitted;
    let mut avoid = Vec::new();
    loop {
        let opened = match start_attempt(gateway, &context, ledger, &avoid, None).await {
            Ok(opened) => opened,
            Err(AttemptError::Refused(refusal)) => {
                return fallback.take().unwrap_or_else(|| {
                    refuse(gateway, &context.meta.id, context.received_at, &refusal)
                });
            }
            Err(AttemptError::Failed(failed)) => {
                avoid.push(failed.key);
                if let Some(final_response) = handle_failure(gateway, &context, ledger, failed) {
                    return fallback.take().unwrap_or(final_response);
                }
                continue;
            }
        };
        let kind: &'static str = admitted.kind.into();
        let first_byte_ms = gateway.clock.now().since(context.received_at) as f64;
        gateway
            .metrics
            .first_byte_ms
            .with_label_values(&[kind])
            .observe(first_byte_ms);
        let success = opened.response.status().is_success();
        if success && admitted.kind == WorkKind::Streaming {
            let (id, received_at) = (context.meta.id.clone(), context.received_at);
            let response = relay::stream(gateway, context, *ledger, opened).await;
            return response.unwrap_or_else(|refusal| {
                let fallback = fallback.take();
                fallback.unwrap_or_else(|| refuse(gateway, &id, received_at, &refusal))
            });
        }
        let key = opened.attempt.target.upstream;
        let failure = match collect_response(gateway, &context, opened).await {
            Some(response) if success => return record_response(gateway, &context, key, response),
            Some(response) => {
                *fallback = Some(record_response(gateway, &context, key, response));
                AttemptFailure::Failed
            }
            None => AttemptFailure::Lost,
        };
        avoid.push(key);
        if let Some(final_response) =
            handle_failure(gateway, &context, ledger, FailedAttempt { failure, key })
        {
            return fallback.take().unwrap_or(final_response);
        }
    }
}

/// Where an interrupted stream is resumed at another upstream, and since when it is interrupted.
#[derive(Clone, Copy, Debug)]
pub struct StreamResume {
    /// Id of the last event forwarded to the caller; `None` before the first event.
    pub last_event_id: Option<u64>,
    /// When the previous upstream failed; the wait for free capacity is counted from this time.
    pub lost_at: ClockTime,
}

/// Why an attempt brought no usable response.
#[derive(Debug)]
pub enum AttemptError {
    /// The attempt was not started: no upstream is available, the retry budget is used up, or the
    /// configuration may be outdated. The refusal's verdict tells whether the request may have run
    /// in an earlier attempt.
    Refused(RequestRefusal),
    /// The attempt was started at an upstream and failed.
    Failed(FailedAttempt),
}

/// Chooses an upstream, sends the request to it and waits for the response headers. If no upstream
/// has free capacity, first waits for some for a limited time.
///
/// # Errors
///
/// When the attempt cannot be started, or when it fails.
pub async fn start_attempt(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    ledger: &mut AttemptLedger,
    avoid: &[UpstreamKey],
    resume: Option<StreamResume>,
) -> Result<OpenResponse, AttemptError> {
    let last_event_id = resume.and_then(|resume| resume.last_event_id);
    let target = wait_for_target(gateway, context, ledger, avoid, resume).await?;
    ledger.record_attempt();
    let options = SendOptions {
        last_event_id,
        may_retry: ledger.may_retry(gateway.clock.now()),
        is_sent_again: avoid.contains(&target.upstream),
    };
    send_request(gateway, context, ledger, target, options)
        .await
        .map_err(AttemptError::Failed)
}

/// Chooses a target for a request. If there is none with free capacity, waits in turn: as long as
/// the request can be answered in time, then for some time behind those that can. An interrupted
/// stream waits as long as its caller tolerates the pause.
async fn wait_for_target(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    ledger: &AttemptLedger,
    avoid: &[UpstreamKey],
    resume: Option<StreamResume>,
) -> Result<SendTarget, AttemptError> {
    let admitted = &context.admitted;
    let mut rank = WaitRank {
        is_late: false,
        priority: admitted.priority,
        is_new: resume.is_none_or(|resume| resume.last_event_id.is_none()),
        received_at: context.received_at,
    };
    let (mut wait_until, late_until) = match resume {
        Some(StreamResume { lost_at, .. }) => {
            let limit = lost_at + MAX_RESUME_WAIT_MS;
            (limit, limit)
        }
        None => (admitted.on_time_until, admitted.late_until),
    };
    let claim = match rank.is_new {
        true => RoomClaim::New,
        false => RoomClaim::Interrupted,
    };
    let service = &admitted.service;
    let mut denials = 0;
    let mut waiting = None;
    if !gateway.waiting.may_look_first(service, rank) {
        let remaining_ms = wait_until.since(gateway.clock.now());
        let waiter: &WaitingRequest = waiting.insert(gateway.waiting.enter(service, rank));
        waiter.wait_for_turn(remaining_ms).await;
    }
    loop {
        let now = gateway.clock.now();
        let chosen = choose_target(gateway, context, now, avoid, claim);
        let refusal = match chosen {
            Ok(target) => {
                if !acquire_permit(gateway, target.get().upstream).await {
                    denials += 1;
                    if denials % MAX_DENIALS == 0 {
                        gateway.state().permits.pause_asks(now);
                    }
                    continue;
                }
                match begin_attempt(gateway, context, ledger, target) {
                    Ok(target) => {
                        if waiting.is_some() {
                            let result = if rank.is_late { "late" } else { "in_time" };
                            gateway.metrics.count_room_wait(rank.priority, result);
                        }
                        return Ok(target);
                    }
                    Err(refusal) => refusal,
                }
            }
            Err(refusal) => refusal,
        };
        let lacks_room = refusal.reason == RefusalReason::NoUpstream;
        if !lacks_room || now >= late_until {
            let verdict = ledger.verdict();
            let retry_after_ms = match lacks_room {
                true => {
                    gateway.metrics.count_room_wait(rank.priority, "refused");
                    Some(gateway.state().return_ms(now, service))
                }
                false => refusal.retry_after_ms,
            };
            return Err(AttemptError::Refused(RequestRefusal {
                verdict,
                retry_after_ms,
                ..refusal
            }));
        }
        if now >= wait_until {
            wait_until = late_until;
            rank.is_late = true;
            waiting = None;
        }
        let waiter = waiting.get_or_insert_with(|| gateway.waiting.enter(service, rank));
        waiter.wait_for_turn(wait_until.since(now)).await;
    }
}

/// Chooses a target for a request, if the request may be sent at all.
fn choose_target(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    now: ClockTime,
    avoid: &[UpstreamKey],
    claim: RoomClaim<'_>,
) -> Result<ReservedTarget, RequestRefusal> {
    let admitted = &context.admitted;
    let mut state = gateway.state();
    if now >= admitted.deadline {
        let detail = "the deadline passed before the request could be sent";
        return Err(RequestRefusal::not_run(RefusalReason::Deadline, detail));
    }
    if context.caller.connection().has_left() {
        let detail = "the caller has left";
        return Err(RequestRefusal::not_run(RefusalReason::Deadline, detail));
    }
    if let Some(remaining_ms) = context.bar_ms(now, &state) {
        let detail = "replicas crashed while they ran this request or others like it";
        let refusal = RequestRefusal::not_run(RefusalReason::Quarantined, detail);
        return Err(refusal.retry_after(remaining_ms));
    }
    if !state.may_still_send(now, admitted) {
        let detail = "the configuration cannot be shown to be the newest";
        let refusal = RequestRefusal::not_run(RefusalReason::PlatformOutage, detail);
        return Err(refusal.retry_after(1_000));
    }
    let target = state.choose_target(now, admitted, avoid, claim)?;
    drop(state);
    Ok(ReservedTarget::new(gateway, target))
}

/// Begins an attempt at a target for which there is a permit: takes a retry out of the budget, and
/// begins to try a part of the prompt again. Without a retry the permit is kept for another request.
fn begin_attempt(
    gateway: &Gateway,
    context: &RequestContext,
    ledger: &AttemptLedger,
    target: ReservedTarget,
) -> Result<SendTarget, RequestRefusal> {
    let now = gateway.clock.now();
    let mut state = gateway.state();
    if ledger.is_retry() && !state.spend_retry(now, &context.admitted.service) {
        state.permits.receive(now, target.get().upstream, 1.0);
        drop(state);
        let detail = "the budget of repeats is used up";
        let refusal = RequestRefusal::not_run(RefusalReason::Busy, detail);
        return Err(refusal.retry_after(1_000));
    }
    context.begin_probe(now, &mut state);
    drop(state);
    Ok(target.take())
}

/// Records a failed attempt. Returns `None` if the request is retried, else the refusal for the
/// caller, which is logged and counted even if the caller gets an earlier error response instead.
fn handle_failure(
    gateway: &Gateway,
    context: &RequestContext,
    ledger: &mut AttemptLedger,
    failed: FailedAttempt,
) -> Option<Response<GatewayBody>> {
    let now = gateway.clock.now();
    let next = ledger.record_attempt_failure(now, failed.failure);
    spdlog::info!(
        "event=attempt_failed request={} failure={} sent={} next={next} age_ms={}",
        context.meta.id,
        failed.failure,
        ledger.sent(),
        now.since(context.received_at)
    );
    match next {
        NextStep::Again => None,
        NextStep::GiveUp(verdict) => {
            let past_deadline = now >= context.admitted.deadline;
            let reason = match (verdict, past_deadline) {
                (RunVerdict::NotRun, _) => RefusalReason::NoUpstream,
                (_, true) => RefusalReason::Deadline,
                (_, false) => RefusalReason::UpstreamLost,
            };
            let refusal = RequestRefusal {
                verdict,
                reason,
                detail: format!("the last try ended as {}", failed.failure),
                retry_after_ms: (verdict == RunVerdict::NotRun).then(|| {
                    let service = &context.admitted.service;
                    FAILED_RETRY_AFTER_MS.max(gateway.state().rest_ms(now, service))
                }),
            };
            Some(refuse(
                gateway,
                &context.meta.id,
                context.received_at,
                &refusal,
            ))
        }
    }
}
