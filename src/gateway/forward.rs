//! Carries one request to upstreams and its answer back, as [`GatewayState`] and [`TryLedger`]
//! decide.
//!
//! [`GatewayState`]: crate::gateway::state::GatewayState

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST, RETRY_AFTER};
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;

use crate::clock::ClockTime;
use crate::gateway::attempt::{NextStep, TryFailure, TryLedger};
use crate::gateway::catalog::WorkKind;
use crate::gateway::pool::{connect, UpstreamConnection};
use crate::gateway::relay;
use crate::gateway::run::{Gateway, StalledReport};
use crate::gateway::state::{AdmittedCall, CallHead, SendTarget};
use crate::gateway::upstream::UpstreamKey;
use crate::platform::headers::{
    answer_meta, caller_headers, chain_text, put_identity, request_meta, upstream_request,
    AnswerMeta, PassOn, RequestMeta,
};
use crate::platform::order::{
    decode_report, fault_address, repath_request, report_request, ReplicaReport, StalledRequest,
};
use crate::verdict::{RefusalReason, RequestRefusal, RunVerdict};
use crate::web::problem_json;

/// Largest answer of a plain service that is held until it is whole, bytes.
const ANSWER_LIMIT: usize = 8 * 1024 * 1024;
/// Idle time after which non-idempotent work is not given to a kept connection, milliseconds: the
/// upstream may be closing it.
const KEPT_ONCE_MS: u64 = 500;
/// Silence after which a request looks whether a replica of its chain is in doubt, milliseconds.
pub const QUIET_MS: u64 = 100;
/// Silence before the first event after which the first replica is asked why, milliseconds.
const HEAD_SILENCE_MS: u64 = 400;
/// Age up to which a replica's report is used again, milliseconds.
const REPORT_MS: u64 = 50;
/// Time that a question to a replica may take, milliseconds.
const ASK_MS: u64 = 250;
/// Time that an order to change a chain may take, milliseconds.
const REPATH_MS: u64 = 400;
/// Chains that a running request is led over before it is given up.
const REPATHS_MOST: u32 = 4;
/// Time for which a request waits for room in a chain, as a part of its aim.
const WAIT_PART: f64 = 0.5;
/// When to come back after a refusal because this VM stops, milliseconds: others serve.
const STOPPING_RETRY_MS: u64 = 50;
/// Time after the loss of a run for which a stream waits for room in another chain, milliseconds:
/// less than callers bear without an event.
const RESUME_WAIT_MS: u64 = 1_200;
/// Time between two looks for room, milliseconds.
const WAIT_LOOK_MS: u64 = 25;

/// The body of an answer to a caller.
pub type GatewayBody = UnsyncBoxBody<Bytes, io::Error>;

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

/// One try at an upstream; what it held is given back when it is dropped.
#[derive(Debug)]
pub struct CallFlight {
    gateway: Arc<Gateway>,
    /// Where the request went.
    pub target: SendTarget,
    connection: Option<UpstreamConnection>,
}

impl Drop for CallFlight {
    fn drop(&mut self) {
        self.gateway.state().release(&self.target);
    }
}

impl CallFlight {
    /// The answer was whole: the connection may serve another request.
    pub fn keep_connection(&mut self, meta: &AnswerMeta) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if !meta.closes {
            let now = self.gateway.clock.now();
            let key = self.target.upstream;
            self.gateway.pool.put(now, key, connection, meta.idle_ms);
        }
    }
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct OpenAnswer {
    /// The try that it answers.
    pub flight: CallFlight,
    /// Its head and its body to come.
    pub response: Response<Incoming>,
    /// What its head says.
    pub meta: AnswerMeta,
}

/// How a try failed, and the replica to go round.
#[derive(Clone, Copy, Debug)]
pub struct FailedTry {
    /// How it failed.
    pub failure: TryFailure,
    /// The replica at fault.
    pub at: UpstreamKey,
}

/// Serves one request.
pub async fn handle(gateway: &Arc<Gateway>, request: Request<Incoming>) -> Response<GatewayBody> {
    let came = gateway.clock.now();
    let (parts, body) = request.into_parts();
    let meta = request_meta(&parts.headers);
    let admitted = admit(gateway, came, &parts, &meta);
    if gateway.refuses_new() {
        let refusal = RequestRefusal::not_run(RefusalReason::Draining, "this VM is stopping");
        return refuse(
            gateway,
            &meta.id,
            came,
            &refusal.retry_after(STOPPING_RETRY_MS),
        );
    }
    let call = match admitted {
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

async fn open(
    gateway: &Arc<Gateway>,
    context: &CallContext,
    target: SendTarget,
    last_event: Option<u64>,
    may_repeat: bool,
) -> Result<OpenAnswer, FailedTry> {
    let at = target.upstream;
    let failed = |failure| FailedTry { failure, at };
    let mut flight = CallFlight {
        gateway: gateway.clone(),
        target,
        connection: None,
    };
    let now = gateway.clock.now();
    let most_idle = match context.call.repeatable {
        true => u64::MAX,
        false => KEPT_ONCE_MS,
    };
    let kept = gateway.pool.take(now, at, most_idle);
    let fresh = kept.is_none();
    let mut connection = match kept {
        Some(connection) => connection,
        None => match connect(flight.target.address).await {
            Ok(connection) => connection,
            Err(error) => {
                spdlog::warn!(
                    "event=connect_failed request={} upstream={} error=\"{error}\"",
                    context.meta.id,
                    flight.target.id
                );
                gateway.state().upstreams.suspect(now, at);
                return Err(failed(TryFailure::NotSent));
            }
        },
    };
    let now = gateway.clock.now();
    let request = build_request(context, &flight.target, now, last_event);
    let exchange = connection.sender.try_send_request(request);
    let answered = wait_for_head(gateway, context, &mut flight, may_repeat, exchange).await;
    let response = match answered {
        Some(Ok(response)) => response,
        Some(Err(mut error)) => {
            let sent = error.take_message().is_none();
            spdlog::warn!(
                "event=exchange_failed request={} upstream={} sent={sent} error=\"{}\"",
                context.meta.id,
                flight.target.id,
                error.error()
            );
            if !sent {
                return Err(failed(TryFailure::NotSent));
            }
            gateway.state().upstreams.fail(gateway.clock.now(), at);
            return Err(failed(TryFailure::Lost));
        }
        None => return Err(failed(TryFailure::Lost)),
    };
    flight.connection = Some(connection);
    let meta = answer_meta(&context.meta.id, response.headers());
    check_head(gateway, context, flight, response, meta, fresh)
}

/// Whether the head of an answer is one of this request, and what a refusal says.
fn check_head(
    gateway: &Arc<Gateway>,
    context: &CallContext,
    mut flight: CallFlight,
    response: Response<Incoming>,
    meta: AnswerMeta,
    fresh: bool,
) -> Result<OpenAnswer, FailedTry> {
    let status = response.status();
    let at = flight.target.upstream;
    let not_run = meta.not_run || status == StatusCode::MISDIRECTED_REQUEST;
    // On a connection that served others before, an answer without an identity may be theirs.
    let ours = meta.is_ours || (fresh && not_run && !meta.names_another);
    if ours && not_run {
        let mut state = gateway.state();
        let named = meta.at.and_then(|address| state.upstreams.at(address));
        let now = gateway.clock.now();
        match named {
            Some(key) => state.upstreams.shun(now, key),
            None if status == StatusCode::MISDIRECTED_REQUEST && flight.target.chain.is_empty() => {
                state.upstreams.misplaced(at);
            }
            None if status == StatusCode::MISDIRECTED_REQUEST => state.upstreams.suspect(now, at),
            None => state.upstreams.shun(now, at),
        }
        drop(state);
        spdlog::info!(
            "event=upstream_refused request={} upstream={} status={} at={:?}",
            context.meta.id,
            flight.target.id,
            status.as_u16(),
            meta.at
        );
        flight.keep_connection(&AnswerMeta {
            closes: true,
            ..meta
        });
        return Err(FailedTry {
            failure: TryFailure::Refused,
            at: named.unwrap_or(at),
        });
    }
    let sound = meta.is_ours && !meta.encoded && (meta.signed || !status.is_success());
    if !sound {
        spdlog::warn!(
            "event=answer_spoilt request={} upstream={} status={} meta={meta:?}",
            context.meta.id,
            flight.target.id,
            status.as_u16()
        );
        gateway.state().upstreams.fail(gateway.clock.now(), at);
        return Err(FailedTry {
            failure: TryFailure::Lost,
            at,
        });
    }
    gateway.state().upstreams.praise(at);
    Ok(OpenAnswer {
        flight,
        response,
        meta,
    })
}

fn build_request(
    context: &CallContext,
    target: &SendTarget,
    now: ClockTime,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let call = &context.call;
    let pass = PassOn {
        left_ms: call.ends.since(now),
        upstream: &target.id,
        team: call.team.as_deref(),
        priority: (!target.chain.is_empty()).then_some(call.priority),
        chain: &target.path,
        last_event,
    };
    upstream_request(&context.parts, &pass, Full::new(context.body.clone()))
}

/// Waits for the head of an answer, and looks after a request that does not get on.
async fn wait_for_head<T>(
    gateway: &Arc<Gateway>,
    context: &CallContext,
    flight: &mut CallFlight,
    may_repeat: bool,
    exchange: impl std::future::Future<Output = T>,
) -> Option<T> {
    let mut exchange = std::pin::pin!(exchange);
    let mut silent_ms = 0;
    loop {
        let left = context.call.ends.since(gateway.clock.now());
        let layered = !flight.target.chain.is_empty();
        let wait = if layered { left.min(QUIET_MS) } else { left };
        match tokio::time::timeout(Duration::from_millis(wait), exchange.as_mut()).await {
            Ok(answer) => return Some(answer),
            Err(_) if !layered || left <= wait => return None,
            Err(_) => silent_ms += wait,
        }
        let asks = silent_ms % HEAD_SILENCE_MS < QUIET_MS;
        // Silence alone is no reason to end a request that can go nowhere else.
        let health = look_after(gateway, context, flight, asks, may_repeat).await;
        if health != FlightHealth::Alive && may_repeat {
            return None;
        }
    }
}

/// How a silent request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlightHealth {
    /// It waits its turn, or it was led round the replica at fault.
    Alive,
    /// The first replica does not answer.
    Dead,
    /// It stands still, and no other chain can be had.
    Stuck,
}

/// Looks after a silent request: when a replica of its chain is in doubt, or `asks` says that it
/// is time, the first replica is asked which requests stand still, and the request is led round
/// what is at fault.
pub async fn look_after(
    gateway: &Arc<Gateway>,
    context: &CallContext,
    flight: &mut CallFlight,
    asks: bool,
    may_repeat: bool,
) -> FlightHealth {
    let now = gateway.clock.now();
    let doubtful = {
        let state = gateway.state();
        let mut rest = flight.target.chain.iter().skip(1);
        rest.any(|hop| state.upstreams.get(hop.upstream).doubtful(now))
    };
    if !asks && !doubtful {
        return FlightHealth::Alive;
    }
    let Some(stalled) = stalled_requests(gateway, &flight.target).await else {
        gateway
            .state()
            .upstreams
            .suspect(now, flight.target.upstream);
        spdlog::warn!(
            "event=first_replica_silent request={} upstream={}",
            context.meta.id,
            flight.target.id
        );
        return FlightHealth::Dead;
    };
    let now = gateway.clock.now();
    let mine = stalled.iter().find(|stalled| stalled.id == context.meta.id);
    let fault = mine.and_then(|stalled| stalled.address);
    let avoid = {
        let mut state = gateway.state();
        for address in stalled.iter().filter_map(|stalled| stalled.address) {
            if let Some(key) = state.upstreams.at(address) {
                if !state.upstreams.get(key).suspected(now) {
                    let id = &state.upstreams.get(key).entry.id;
                    spdlog::warn!(
                        "event=upstream_suspect id={id} told_by={}",
                        flight.target.id
                    );
                    state.upstreams.name_dead(now, key);
                    gateway.news.notify_one();
                }
            }
        }
        let rest = flight.target.chain.iter().skip(1).map(|hop| hop.upstream);
        let avoid: Vec<UpstreamKey> = rest
            .filter(|key| {
                let record = state.upstreams.get(*key);
                record.suspected(now) || record.gone
            })
            .collect();
        spdlog::debug!(
            "event=looked_after request={} age_ms={} chain={} stalled={} fault={fault:?} avoid={avoid:?}",
            context.meta.id,
            now.since(context.came),
            chain_text(&flight.target.path),
            stalled.len()
        );
        if avoid.is_empty() {
            return FlightHealth::Alive;
        }
        avoid
    };
    lead_round(gateway, context, flight, avoid, fault, may_repeat).await
}

/// Leads a running request round the replicas of its chain that are leaving, while they still
/// serve. The first one stays: it cannot be changed.
pub async fn leave_draining(
    gateway: &Arc<Gateway>,
    context: &CallContext,
    flight: &mut CallFlight,
) -> FlightHealth {
    let leaving: Vec<UpstreamKey> = {
        let state = gateway.state();
        let rest = flight.target.chain.iter().skip(1).map(|hop| hop.upstream);
        rest.filter(|key| !state.upstreams.get(*key).listed())
            .collect()
    };
    match leaving.is_empty() {
        true => FlightHealth::Alive,
        false => lead_round(gateway, context, flight, leaving, None, false).await,
    }
}

/// Leads a running request over a chain without the replicas in `avoid`.
async fn lead_round(
    gateway: &Arc<Gateway>,
    context: &CallContext,
    flight: &mut CallFlight,
    mut avoid: Vec<UpstreamKey>,
    fault: Option<SocketAddr>,
    may_repeat: bool,
) -> FlightHealth {
    for _ in 0..REPATHS_MOST {
        let now = gateway.clock.now();
        let chosen = gateway
            .state()
            .choose(now, &context.call, &avoid, Some(&flight.target));
        let Ok(target) = chosen else {
            return FlightHealth::Stuck;
        };
        // A new run elsewhere does without what a detour through the pipes would carry.
        if may_repeat && target.pipes.len() > flight.target.pipes.len() {
            gateway.state().release(&target);
            return FlightHealth::Stuck;
        }
        match repath(gateway, context, flight, target, fault).await {
            RepathEnd::Led => return FlightHealth::Alive,
            RepathEnd::Refused(Some(key)) => avoid.push(key),
            RepathEnd::Refused(None) => return FlightHealth::Stuck,
        }
    }
    FlightHealth::Stuck
}

/// How an order to change a chain ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RepathEnd {
    /// The request runs over the new chain.
    Led,
    /// It does not; the replica at fault, if one was named.
    Refused(Option<UpstreamKey>),
}

/// The requests that the first replica of a chain says stand still; a report that is fresh
/// enough is used again.
async fn stalled_requests(
    gateway: &Gateway,
    target: &SendTarget,
) -> Option<Arc<Vec<StalledRequest>>> {
    let asked = gateway.clock.now();
    let kept = {
        let reports = gateway
            .reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        reports.get(&target.upstream).cloned()
    };
    if let Some(report) = kept.filter(|report| asked.since(report.asked) < REPORT_MS) {
        return Some(report.stalled);
    }
    let stalled = Arc::new(
        ask_report(gateway, target.address, &target.id)
            .await?
            .stalled,
    );
    let report = StalledReport {
        asked,
        stalled: stalled.clone(),
    };
    let mut reports = gateway
        .reports
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    reports.insert(target.upstream, report);
    Some(stalled)
}

async fn repath(
    gateway: &Arc<Gateway>,
    context: &CallContext,
    flight: &mut CallFlight,
    target: SendTarget,
    fault: Option<SocketAddr>,
) -> RepathEnd {
    let order = repath_request(target.address, &target.id, &context.meta.id, &target.path);
    let answered = ask(gateway, order, REPATH_MS).await;
    let status = answered.as_ref().map(|(status, _)| *status);
    spdlog::info!(
        "event=repath request={} upstream={} fault={fault:?} status={status:?}",
        context.meta.id,
        target.id
    );
    let mut state = gateway.state();
    match answered {
        Some((200 | 202, _)) => {
            let old = std::mem::replace(&mut flight.target, target);
            state.release(&old);
            RepathEnd::Led
        }
        other => {
            let address = other.and_then(|(_, body)| fault_address(&body));
            let named = address.and_then(|address| state.upstreams.at(address));
            if let Some(key) = named {
                state.upstreams.shun(gateway.clock.now(), key);
            }
            state.release(&target);
            RepathEnd::Refused(named)
        }
    }
}

/// Asks a replica for its report.
pub async fn ask_report(gateway: &Gateway, address: SocketAddr, id: &str) -> Option<ReplicaReport> {
    let (status, body) = ask(gateway, report_request(address), ASK_MS).await?;
    if status != 200 {
        spdlog::warn!("event=report_refused upstream={id} status={status}");
        return None;
    }
    match decode_report(&body) {
        Ok(report) => Some(report),
        Err(error) => {
            spdlog::warn!("event=report_unread upstream={id} error=\"{error:#}\"");
            None
        }
    }
}

/// Makes a short call to a replica.
async fn ask(
    gateway: &Gateway,
    request: eyre::Result<Request<Full<Bytes>>>,
    limit_ms: u64,
) -> Option<(u16, Bytes)> {
    let request = match request {
        Ok(request) => request,
        Err(error) => {
            spdlog::error!("event=question_unmade error=\"{error:#}\"");
            return None;
        }
    };
    let asked = crate::fetch::send(&gateway.client, request);
    match tokio::time::timeout(Duration::from_millis(limit_ms), asked).await {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(error)) => {
            spdlog::warn!("event=question_failed error=\"{error:#}\"");
            None
        }
        Err(_) => None,
    }
}

/// The whole answer of a plain service, or none if it broke off.
async fn whole_answer(
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

fn finish(
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
