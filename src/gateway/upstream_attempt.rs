//! One attempt of a request at an upstream, from sending it to receiving the response headers.

use std::error::Error;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::clock::ClockTime;
use crate::gateway::attempt_ledger::{AttemptFailure, AttemptLedger};
use crate::gateway::catalog::WorkKind;
use crate::gateway::forward::RequestContext;
use crate::gateway::notice::{note_crash, note_leaving, note_limit};
use crate::gateway::part_ledger::{ReplicaEnd, SuspectRun, PROOF_MS};
use crate::gateway::pool::{connect, UpstreamConnection};
use crate::gateway::reroute::{check_silent_request, AttemptHealth, SILENCE_CHECK_MS};
use crate::gateway::run::Gateway;
use crate::gateway::state::SendTarget;
use crate::gateway::upstream::UpstreamKey;
use crate::platform::headers::{
    may_be_event_stream, response_meta, upstream_request, AddedHeaders, ResponseMeta,
};

/// Longest idle time of a pooled connection that is reused for a request that must not run twice,
/// milliseconds. The upstream may be closing a connection that has been idle for longer.
const MAX_REUSE_IDLE_MS: u64 = 500;
/// Interval at which the first replica of a chain is queried for stalled requests while no response
/// headers arrive, milliseconds.
const HEAD_REPORT_INTERVAL_MS: u64 = 400;

/// An attempt at one upstream. Dropping it releases the capacity reserved for it; if its caller left,
/// the upstream may yet crash under it, which is remembered.
#[derive(Debug)]
pub struct UpstreamAttempt {
    pub(super) gateway: Arc<Gateway>,
    /// The upstream and, for a model, the chain that the request was sent to.
    pub target: SendTarget,
    connection: Option<UpstreamConnection>,
    /// Whether a crash was recorded for the replicas that the request runs on now.
    crash_noted: bool,
    progress: RunProgress,
    /// What the request is to a replica that crashes under it.
    suspect: SuspectRun,
}

/// How far a run at the present replicas got, as far as it shows whether it may crash them.
#[derive(Clone, Copy, Debug, Default)]
struct RunProgress {
    /// When the request was sent, if the replicas may run it.
    sent_at: Option<ClockTime>,
    /// When the first event of the answer arrived.
    began_at: Option<ClockTime>,
    /// Whether the answer went on for long enough, or the run ended otherwise than by its caller.
    is_settled: bool,
}

impl Drop for UpstreamAttempt {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let mut state = self.gateway.state();
        state.record_vacancy(now, &self.target);
        state.release(&self.target);
        if self.progress.sent_at.is_some() && !self.progress.is_settled {
            let replica = self.target.address;
            state.abandoned.record(now, replica, self.suspect.clone());
        }
    }
}

impl UpstreamAttempt {
    /// Records that a replica crashed, or was cut off, while it ran the request. Replicas that run
    /// the request together are counted once, since they may have crashed for one reason.
    pub(super) fn note_crash(&mut self, context: &RequestContext, key: UpstreamKey) {
        if std::mem::replace(&mut self.crash_noted, true) {
            return;
        }
        let is_settled = std::mem::replace(&mut self.progress.is_settled, true);
        note_crash(&self.gateway, context, key, !is_settled);
        context.end_probe();
    }

    /// Records how long the first event of the answer took, which is of a run from its beginning.
    pub(super) fn record_lead_time(&self, service: &str) {
        if let Some(sent_at) = self.progress.sent_at {
            let event_ms = self.gateway.clock.now().since(sent_at) as f64;
            let mut state = self.gateway.state();
            state.lead_times.record(service, event_ms);
        }
    }

    /// Records that new events of the answer arrived, which comments are not. An answer that goes on shows that the parts
    /// of its prompt are sound.
    pub(super) fn record_event(&mut self) {
        if self.progress.is_settled {
            return;
        }
        let now = self.gateway.clock.now();
        let began_at = *self.progress.began_at.get_or_insert(now);
        if now.since(began_at) >= PROOF_MS {
            self.prove_parts(now, began_at);
        }
    }

    /// Records that the answer is complete.
    pub(super) fn record_end(&mut self) {
        let now = self.gateway.clock.now();
        if !self.progress.is_settled {
            self.prove_parts(now, self.progress.began_at.unwrap_or(now));
        }
    }

    /// Records that the replica did not crash under the run, which shows nothing of its prompt.
    pub(super) fn settle(&mut self) {
        self.progress.is_settled = true;
    }

    fn prove_parts(&mut self, now: ClockTime, began_at: ClockTime) {
        self.progress.is_settled = true;
        let mut state = self.gateway.state();
        state.parts.record_proof(now, &self.suspect.parts, began_at);
    }

    /// Records that the request runs at another target now. Returns the previous one.
    pub(super) fn move_to(&mut self, target: SendTarget) -> SendTarget {
        self.crash_noted = false;
        self.progress = RunProgress {
            sent_at: self.progress.sent_at,
            ..RunProgress::default()
        };
        std::mem::replace(&mut self.target, target)
    }

    /// Returns the connection to the pool, or closes it if `meta` says that the upstream does. The
    /// body of a response whose connection is returned must have been read completely.
    pub fn release_connection(&mut self, meta: &ResponseMeta) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if !meta.closes_connection {
            let now = self.gateway.clock.now();
            let key = self.target.upstream;
            self.gateway.pool.put(now, key, connection, meta.idle_ms);
        }
    }
}

/// A response whose headers have been received.
#[derive(Debug)]
pub struct OpenResponse {
    /// The attempt that the response belongs to.
    pub attempt: UpstreamAttempt,
    /// Status and headers; the body has not been read yet.
    pub response: Response<Incoming>,
    /// Values parsed from the response headers.
    pub meta: ResponseMeta,
}

/// How an attempt failed, and the replica that later attempts avoid.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// How the attempt failed, from which it follows whether the request may have run.
    pub failure: AttemptFailure,
    /// The replica at fault: the upstream itself or a later replica of its chain.
    pub key: UpstreamKey,
}

/// How a request is sent to its target.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions {
    /// Id of the event after which the stream continues. `None` leaves it to the caller's request.
    pub last_event_id: Option<u64>,
    /// Whether the request may be retried elsewhere if this attempt makes no progress.
    pub may_retry: bool,
    /// Whether the request was sent to this upstream before.
    pub is_sent_again: bool,
}

/// Sends a request to a target and waits for the response headers.
///
/// # Errors
///
/// When no connection can be opened, the exchange fails or is given up, or the response is a
/// refusal or invalid.
pub async fn send_request(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    ledger: &mut AttemptLedger,
    target: SendTarget,
    options: SendOptions,
) -> Result<OpenResponse, FailedAttempt> {
    let SendOptions {
        last_event_id,
        may_retry,
        is_sent_again,
    } = options;
    let key = target.upstream;
    let failed = |failure| FailedAttempt { failure, key };
    let mut attempt = UpstreamAttempt {
        gateway: gateway.clone(),
        target,
        connection: None,
        crash_noted: false,
        progress: RunProgress::default(),
        suspect: context.suspect.clone(),
    };
    let now = gateway.clock.now();
    let max_idle_ms = match context.admitted.retryable {
        true => u64::MAX,
        false => MAX_REUSE_IDLE_MS,
    };
    // A refusal that the upstream gave this request before may come once more on a kept connection.
    let pooled = match is_sent_again {
        true => None,
        false => gateway.pool.take(now, key, max_idle_ms),
    };
    let new_connection = pooled.is_none();
    let mut connection = match pooled {
        Some(connection) => connection,
        None => match connect(attempt.target.address).await {
            Ok(connection) => connection,
            Err(error) => {
                spdlog::warn!(
                    "event=connect_failed request={} upstream={} error=\"{error}\"",
                    context.meta.id,
                    attempt.target.upstream_id
                );
                let mut state = gateway.state();
                state.upstreams.suspect(now, key);
                let replica = attempt.target.address;
                if state.blame_abandoned(ReplicaEnd { replica, at: now }) {
                    gateway.peer_update.notify_one();
                }
                drop(state);
                return Err(failed(AttemptFailure::NotSent));
            }
        },
    };
    // Opening the connection may have taken long, and the VM may have been suspended meanwhile.
    let now = gateway.clock.now();
    if !may_still_send(gateway, context, &attempt.target, now) {
        return Err(failed(AttemptFailure::NotSent));
    }
    let request = build_request(context, &attempt.target, now, last_event_id);
    attempt.progress.sent_at = Some(now);
    ledger.record_sent();
    let exchange = connection.exchange(request);
    let outcome = wait_for_head(gateway, context, &mut attempt, may_retry, exchange).await;
    let response = match outcome {
        Some(Ok(response)) => response,
        Some(Err(mut error)) => {
            let sent = error.take_message().is_none();
            spdlog::warn!(
                "event=exchange_failed request={} upstream={} sent={sent} error=\"{}\"",
                context.meta.id,
                attempt.target.upstream_id,
                error.error()
            );
            if !sent {
                attempt.progress.sent_at = None;
                return Err(failed(AttemptFailure::NotSent));
            }
            gateway
                .state()
                .upstreams
                .record_exchange_failure(gateway.clock.now(), key);
            if is_broken_off(error.error()) {
                attempt.note_crash(context, key);
            }
            return Err(failed(AttemptFailure::Lost));
        }
        None => return Err(failed(AttemptFailure::Lost)),
    };
    attempt.connection = Some(connection);
    let meta = response_meta(&context.meta.id, response.headers());
    check_response(gateway, context, attempt, response, meta, new_connection)
}

/// Checks that a response belongs to the request and is valid, and records a success or a failure
/// of the upstream. A refusal pauses the replica that it names as faulty, else the upstream. A 421
/// that names none marks the upstream as draining or, if it is the first replica of a chain, as
/// suspect.
fn check_response(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    mut attempt: UpstreamAttempt,
    response: Response<Incoming>,
    meta: ResponseMeta,
    new_connection: bool,
) -> Result<OpenResponse, FailedAttempt> {
    let status = response.status();
    let key = attempt.target.upstream;
    let not_run = meta.not_run || status == StatusCode::MISDIRECTED_REQUEST;
    // On a reused connection, a response without a request id may belong to an earlier request.
    let matches_request = meta.has_request_id || (new_connection && not_run && !meta.has_other_id);
    if matches_request && status != StatusCode::MISDIRECTED_REQUEST {
        heed_notices(gateway, &attempt, status, &meta);
    }
    if matches_request && not_run {
        attempt.progress.is_settled = true;
        let mut state = gateway.state();
        let faulty = meta
            .faulty_replica
            .and_then(|address| state.upstreams.by_address(address));
        let now = gateway.clock.now();
        match faulty {
            Some(key) => state.upstreams.pause(now, key),
            None if status == StatusCode::MISDIRECTED_REQUEST
                && attempt.target.chain.is_empty() =>
            {
                state.upstreams.mark_draining(key);
            }
            None if status == StatusCode::MISDIRECTED_REQUEST => state.upstreams.suspect(now, key),
            None => state.upstreams.pause(now, key),
        }
        drop(state);
        spdlog::info!(
            "event=upstream_refused request={} upstream={} status={} at={:?}",
            context.meta.id,
            attempt.target.upstream_id,
            status.as_u16(),
            meta.faulty_replica
        );
        attempt.release_connection(&ResponseMeta {
            closes_connection: true,
            ..meta
        });
        return Err(FailedAttempt {
            failure: AttemptFailure::Refused,
            key: faulty.unwrap_or(key),
        });
    }
    let is_streaming = context.admitted.kind == WorkKind::Streaming;
    let fits_route = !is_streaming || may_be_event_stream(status, response.headers());
    let fits_success = meta.stamped && fits_route;
    let valid = meta.has_request_id && !meta.encoded && (fits_success || !status.is_success());
    if !valid {
        attempt.progress.is_settled = true;
        spdlog::warn!(
            "event=response_invalid request={} upstream={} status={} meta={meta:?}",
            context.meta.id,
            attempt.target.upstream_id,
            status.as_u16()
        );
        gateway
            .state()
            .upstreams
            .record_exchange_failure(gateway.clock.now(), key);
        return Err(FailedAttempt {
            failure: AttemptFailure::Lost,
            key,
        });
    }
    gateway.state().upstreams.record_exchange_success(key);
    Ok(OpenResponse {
        attempt,
        response,
        meta,
    })
}

/// Heeds what an upstream says of itself beside its response: that it is leaving, how many requests it
/// takes, or, with a 503, that it asks to be left alone for a time. A replica of the chain that the 503 names as faulty is
/// left alone as well.
fn heed_notices(
    gateway: &Gateway,
    attempt: &UpstreamAttempt,
    status: StatusCode,
    meta: &ResponseMeta,
) {
    let target = &attempt.target;
    if meta.leaving {
        note_leaving(gateway, target.upstream);
    }
    if let Some(sent_at) = attempt.progress.sent_at {
        note_limit(gateway, target.upstream, meta.limit, sent_at);
    }
    let (StatusCode::SERVICE_UNAVAILABLE, Some(rest_ms)) = (status, meta.rest_ms) else {
        return;
    };
    let now = gateway.clock.now();
    let mut state = gateway.state();
    let named = meta
        .faulty_replica
        .and_then(|address| state.upstreams.by_address(address));
    for key in [Some(target.upstream), named].into_iter().flatten() {
        state.upstreams.rest(now, key, rest_ms);
    }
    drop(state);
    spdlog::info!(
        "event=upstream_resting id={} rest_ms={rest_ms} at={:?}",
        target.upstream_id,
        meta.faulty_replica
    );
}

/// Whether an exchange failed because the connection ended, and not because of what was received.
fn is_broken_off(error: &hyper::Error) -> bool {
    let io_error = error.source().and_then(|source| source.downcast_ref());
    let is_invalid = io_error.map(io::Error::kind) == Some(io::ErrorKind::InvalidData);
    !error.is_parse() && !is_invalid
}

/// Whether a request may still be sent to a target that was chosen for it before.
fn may_still_send(
    gateway: &Gateway,
    context: &RequestContext,
    target: &SendTarget,
    now: ClockTime,
) -> bool {
    let state = gateway.state();
    let is_open = !context.is_barred(now, &state) && state.takes_requests(target);
    is_open
        && state.may_still_send(now, &context.admitted)
        && !context.caller.connection().has_left()
}

fn build_request(
    context: &RequestContext,
    target: &SendTarget,
    now: ClockTime,
    last_event_id: Option<u64>,
) -> Request<Full<Bytes>> {
    let admitted = &context.admitted;
    let added = AddedHeaders {
        remaining_ms: admitted.deadline.since(now),
        upstream: &target.upstream_id,
        team: admitted.team.as_deref(),
        priority: (!target.chain.is_empty()).then_some(admitted.priority),
        chain: &target.path,
        last_event_id,
    };
    upstream_request(&context.parts, &added, Full::new(context.body.clone()))
}

/// Waits for the response headers and checks on the request while it is silent. Returns `None` when
/// the deadline has passed or the attempt is given up for a retry.
async fn wait_for_head<T>(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    attempt: &mut UpstreamAttempt,
    may_retry: bool,
    exchange: impl std::future::Future<Output = T>,
) -> Option<T> {
    let mut exchange = std::pin::pin!(exchange);
    let mut silent_ms = 0;
    loop {
        let remaining = context.admitted.deadline.since(gateway.clock.now());
        let is_chain = !attempt.target.chain.is_empty();
        let wait = if is_chain {
            remaining.min(SILENCE_CHECK_MS)
        } else {
            remaining
        };
        match tokio::time::timeout(Duration::from_millis(wait), exchange.as_mut()).await {
            Ok(output) => return Some(output),
            Err(_) if !is_chain || remaining <= wait => return None,
            Err(_) => silent_ms += wait,
        }
        let query_report = silent_ms % HEAD_REPORT_INTERVAL_MS < SILENCE_CHECK_MS;
        // A request that may not be retried is not ended for silence alone.
        let health = check_silent_request(gateway, context, attempt, query_report, may_retry).await;
        if health == AttemptHealth::Quarantined || (health != AttemptHealth::Alive && may_retry) {
            return None;
        }
    }
}
