//! Checks on requests that have gone silent, and reroutes running requests around replicas that are
//! dead or draining.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use eyre::eyre;
use http::{Method, Request, StatusCode};
use http_body_util::Full;

use crate::fetch::{is_refused, read_whole};
use crate::gateway::chain_probe::{find_unreachable, probe_replica, ProbeOutcome};
use crate::gateway::forward::RequestContext;
use crate::gateway::notice::{note_leaving, note_limit};
use crate::gateway::permit::acquire_permit;
use crate::gateway::reserved_target::ReservedTarget;
use crate::gateway::run::{Gateway, StalledReport};
use crate::gateway::silence_check::{note_answer, note_end};
use crate::gateway::state::{RoomClaim, SendTarget};
use crate::gateway::upstream::UpstreamKey;
use crate::gateway::upstream_attempt::UpstreamAttempt;
use crate::platform::headers::{chain_text, is_leaving, limit_statement};
use crate::platform::order::{
    decode_report, fault_address, repath_request, report_request, ReplicaReport, StalledRequest,
    MAX_REPORT_BYTES,
};

/// Interval at which the chain of a silent request is checked, milliseconds.
pub const SILENCE_CHECK_MS: u64 = 100;
/// Age below which a replica's cached report is reused, milliseconds.
const MAX_REPORT_AGE_MS: u64 = 50;
/// Age below which the cached report of a replica with a limit is reused, milliseconds.
const MAX_LIMITED_REPORT_AGE_MS: u64 = 400;
/// Timeout of a report query to a replica, milliseconds.
const REPORT_TIMEOUT_MS: u64 = 250;
/// Timeout of an order to reroute a request, milliseconds.
const REROUTE_TIMEOUT_MS: u64 = 400;
/// Number of chains tried for a running request before rerouting is given up.
const MAX_REROUTE_ORDERS: u32 = 4;

/// Result of checking on a running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptHealth {
    /// No later replica of its chain was found suspect or unregistered, or the request was rerouted
    /// around those found. Also returned if no check was due, or if the request must stay where it is.
    Alive,
    /// The first replica of its chain refused a query, or answered none for some time. It may be
    /// silent only for a moment.
    Dead,
    /// Later replicas of its chain are suspect or unregistered, and the request could not be
    /// rerouted around them or may be retried at another chain instead.
    Stuck,
    /// Replicas of its chain crashed, as others did under the same request: it must not be sent to
    /// more of them.
    Quarantined,
}

/// Checks the chain of a silent request. If `query_report` is set, or if a later replica of the
/// chain may block requests, queries the first replica for stalled requests and reroutes the
/// request around later replicas that are suspect or gone. If `may_retry` is set, a chain over more
/// cross-domain links than the present one is not accepted.
pub async fn check_silent_request(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    attempt: &mut UpstreamAttempt,
    query_report: bool,
    may_retry: bool,
) -> AttemptHealth {
    let now = gateway.clock.now();
    let in_doubt = {
        let state = gateway.state();
        let mut later_replicas = attempt.target.chain.iter().skip(1);
        later_replicas.any(|hop| state.upstreams.get(hop.upstream).may_block_requests(now))
            || state.upstreams.get(attempt.target.upstream).owes_answer()
    };
    if !query_report && !in_doubt {
        return match context.admitted.gap_target_ms {
            0 => AttemptHealth::Alive,
            _ => check_later_replicas(gateway, context, attempt, may_retry).await,
        };
    }
    let first = attempt.target.upstream;
    let stalled = match fetch_stalled(gateway, &attempt.target).await {
        Ok(stalled) => stalled,
        Err(QueryFailure::Limited) => Arc::default(),
        Err(failure) => {
            // Lets the connection read events that have arrived, which are signs of life.
            tokio::task::yield_now().await;
            let mut state = gateway.state();
            state.upstreams.suspect(now, first);
            let unresponsive = state.upstreams.get(first).unresponsive(gateway.clock.now());
            drop(state);
            let is_given_up = match failure {
                // A replica that is only slow to answer goes on with its work.
                QueryFailure::TimedOut | QueryFailure::Reset => unresponsive,
                QueryFailure::Refused | QueryFailure::Unusable | QueryFailure::Limited => true,
            };
            spdlog::warn!(
                "event=first_replica_unresponsive request={} upstream={} failure={failure:?} given_up={is_given_up}",
                context.meta.id,
                attempt.target.upstream_id,
            );
            if !is_given_up {
                return AttemptHealth::Alive;
            }
            match failure {
                QueryFailure::Refused => attempt.note_crash(context, first),
                QueryFailure::TimedOut | QueryFailure::Reset => {
                    attempt.note_silence(context, first);
                    if let Some(health) = barred_health(gateway, context, attempt) {
                        return health;
                    }
                }
                QueryFailure::Unusable | QueryFailure::Limited => {}
            }
            return AttemptHealth::Dead;
        }
    };
    let now = gateway.clock.now();
    let own_stall = stalled.iter().find(|stalled| stalled.id == context.meta.id);
    let fault = own_stall.and_then(|stalled| stalled.address);
    let fault_key = fault.and_then(|address| gateway.state().upstreams.by_address(address));
    if let Some(key) = fault_key {
        // A replica that is silent for a moment holds the request up as well.
        match probe_replica(gateway, key).await {
            Some(ProbeOutcome::Refused) => attempt.note_crash(context, key),
            _ => attempt.note_silence(context, key),
        }
        if let Some(health) = barred_health(gateway, context, attempt) {
            return health;
        }
    }
    let avoid = {
        let mut state = gateway.state();
        for address in stalled.iter().filter_map(|stalled| stalled.address) {
            if let Some(key) = state.upstreams.by_address(address) {
                if !state.upstreams.get(key).suspected(now) {
                    let id = &state.upstreams.get(key).entry.id;
                    spdlog::warn!(
                        "event=upstream_reported_dead id={id} reported_by={}",
                        attempt.target.upstream_id
                    );
                    state.upstreams.report_dead(now, key);
                    gateway.peer_update.notify_one();
                }
            }
        }
        let later_replicas = attempt.target.chain.iter().skip(1).map(|hop| hop.upstream);
        let avoid: Vec<UpstreamKey> = later_replicas
            .filter(|key| {
                let record = state.upstreams.get(*key);
                record.suspected(now) || record.gone
            })
            .collect();
        spdlog::debug!(
            "event=silent_request_checked request={} age_ms={} chain={} stalled={} fault={fault:?} avoid={avoid:?}",
            context.meta.id,
            now.since(context.received_at),
            chain_text(&attempt.target.path),
            stalled.len()
        );
        if avoid.is_empty() {
            return AttemptHealth::Alive;
        }
        avoid
    };
    reroute(gateway, context, attempt, avoid, fault, may_retry).await
}

/// Health of an attempt whose request must not be moved to more replicas, since several crashed under
/// it, or are silent and may have. It is ended only if its own replicas crashed. `None` if it may be
/// moved.
fn barred_health(
    gateway: &Gateway,
    context: &RequestContext,
    attempt: &UpstreamAttempt,
) -> Option<AttemptHealth> {
    let now = gateway.clock.now();
    let state = gateway.state();
    if context.is_barred(now, &state) {
        return Some(match attempt.has_crashed() {
            true => AttemptHealth::Quarantined,
            false => AttemptHealth::Alive,
        });
    }
    let awaits_ends = context.awaits_ends(&state);
    awaits_ends.then_some(AttemptHealth::Alive)
}

/// Asks the later replicas of a chain whether they are there, and reroutes the request around those
/// that are not.
async fn check_later_replicas(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    attempt: &mut UpstreamAttempt,
    may_retry: bool,
) -> AttemptHealth {
    let unreachable = find_unreachable(gateway, &attempt.target.chain).await;
    let now = gateway.clock.now();
    for (key, outcome) in &unreachable {
        let mut state = gateway.state();
        if !state.upstreams.get(*key).suspected(now) {
            let id = &state.upstreams.get(*key).entry.id;
            spdlog::warn!("event=later_replica_unreachable id={id} outcome={outcome:?}");
            state.upstreams.suspect(now, *key);
        }
        drop(state);
        match outcome {
            ProbeOutcome::Refused => attempt.note_crash(context, *key),
            ProbeOutcome::Silent | ProbeOutcome::Answered => attempt.note_silence(context, *key),
        }
    }
    if unreachable.is_empty() {
        return AttemptHealth::Alive;
    }
    if let Some(health) = barred_health(gateway, context, attempt) {
        return health;
    }
    let unreachable = unreachable.into_iter().map(|(key, _)| key).collect();
    reroute(gateway, context, attempt, unreachable, None, may_retry).await
}

/// Reroutes a running request around later replicas of its chain that are draining, no longer
/// registered, or giving up the layers that they run for it, early, while they still serve. The first
/// replica is kept: it cannot be replaced while the request runs.
pub async fn reroute_from_shedding(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    attempt: &mut UpstreamAttempt,
) -> AttemptHealth {
    let shedding: Vec<UpstreamKey> = {
        let state = gateway.state();
        let later_hops = attempt.target.chain.iter().skip(1);
        later_hops
            .filter(|hop| state.upstreams.get(hop.upstream).sheds(hop.layers))
            .map(|hop| hop.upstream)
            .collect()
    };
    if shedding.is_empty() {
        return AttemptHealth::Alive;
    }
    let health = reroute(gateway, context, attempt, shedding, None, false).await;
    if health != AttemptHealth::Alive {
        spdlog::info!(
            "event=shedding_deferred request={} chain={}",
            context.meta.id,
            chain_text(&attempt.target.path)
        );
    }
    health
}

/// Moves a running request to a chain without the replicas in `avoid`. If `may_retry` is set, a
/// chain over more cross-domain links than the present one is not accepted. `fault` is the address
/// of the replica that the request waits for, as the first replica reports it; it is only logged.
async fn reroute(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    attempt: &mut UpstreamAttempt,
    mut avoid: Vec<UpstreamKey>,
    fault: Option<SocketAddr>,
    may_retry: bool,
) -> AttemptHealth {
    for _ in 0..MAX_REROUTE_ORDERS {
        let now = gateway.clock.now();
        let claim = RoomClaim::Running(&attempt.target);
        let chosen = gateway
            .state()
            .choose_target(now, &context.admitted, &avoid, claim);
        let Ok(target) = chosen else {
            return AttemptHealth::Stuck;
        };
        // A retry elsewhere saves the cross-domain traffic that this longer path would cause.
        if may_retry && target.links.len() > attempt.target.links.len() {
            gateway.state().release(&target);
            return AttemptHealth::Stuck;
        }
        match send_reroute_order(gateway, context, attempt, target, fault).await {
            RerouteOutcome::Applied => return AttemptHealth::Alive,
            RerouteOutcome::Failed(Some(key)) => avoid.push(key),
            RerouteOutcome::Failed(None) => return AttemptHealth::Stuck,
        }
    }
    AttemptHealth::Stuck
}

/// Result of an order to reroute a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RerouteOutcome {
    /// The first replica accepted the order.
    Applied,
    /// The order was not sent, since the first replica takes no more requests now, or was refused, or no
    /// reply arrived and it may have been applied. Carries the replica
    /// that the refusal names as faulty, or `None` if there is none.
    Failed(Option<UpstreamKey>),
}

/// Why a query to a replica brought no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryFailure {
    /// No answer arrived in time.
    TimedOut,
    /// The connection was refused.
    Refused,
    /// The connection was reset or closed. A replica that has as many connections as it takes resets new
    /// ones, and a kept one may end for being idle.
    Reset,
    /// The answer is not usable: a refusal, too large or malformed.
    Unusable,
    /// It was not sent, since the replica takes no more requests now.
    Limited,
}

/// Returns the requests that the first replica of a chain reports as stalled, from a cached report
/// if it is recent enough.
///
/// # Errors
///
/// If the replica returned no valid report.
async fn fetch_stalled(
    gateway: &Gateway,
    target: &SendTarget,
) -> Result<Arc<Vec<StalledRequest>>, QueryFailure> {
    let requested_at = gateway.clock.now();
    let cached = {
        let cached_reports = gateway
            .stalled_reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        cached_reports.get(&target.upstream).cloned()
    };
    let max_age_ms = match gateway.state().permits.is_limited(target.upstream) {
        true => MAX_LIMITED_REPORT_AGE_MS,
        false => MAX_REPORT_AGE_MS,
    };
    if let Some(report) =
        cached.filter(|report| requested_at.since(report.requested_at) < max_age_ms)
    {
        return Ok(report.stalled);
    }
    let key = target.upstream;
    let report = fetch_report(gateway, key, target.address, &target.upstream_id).await;
    // Only queries that follow a silence show one: those at fixed times may meet a replica that has
    // just given a sign of life, and add up with the next to what looks like a dead one.
    if matches!(&report, Err(failure) if *failure != QueryFailure::Limited) {
        let mut state = gateway.state();
        state.upstreams.record_unanswered(key, requested_at);
    }
    let stalled = Arc::new(report?.stalled);
    let report = StalledReport {
        requested_at,
        stalled: stalled.clone(),
    };
    let mut cached_reports = gateway
        .stalled_reports
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    cached_reports.insert(target.upstream, report);
    Ok(stalled)
}

/// Orders the first replica to move a running request to the chain of `target`. On success `target`
/// becomes the target of the attempt; else its reservations are released.
async fn send_reroute_order(
    gateway: &Arc<Gateway>,
    context: &RequestContext,
    attempt: &mut UpstreamAttempt,
    target: SendTarget,
    fault: Option<SocketAddr>,
) -> RerouteOutcome {
    let reserved = ReservedTarget::new(gateway, target);
    let target = reserved.get();
    if !acquire_permit(gateway, target.upstream).await {
        return RerouteOutcome::Failed(None);
    }
    let order = repath_request(
        target.address,
        &target.upstream_id,
        &context.meta.id,
        &target.path,
    );
    let reply = send_to_replica(gateway, target.upstream, order, REROUTE_TIMEOUT_MS).await;
    let status = reply.as_ref().map(|(status, _)| *status);
    spdlog::info!(
        "event=reroute_order_ended request={} upstream={} fault={fault:?} status={status:?}",
        context.meta.id,
        target.upstream_id
    );
    match reply {
        Ok((200 | 202, _)) => {
            let previous = attempt.move_to(reserved.take());
            gateway.state().release(&previous);
            RerouteOutcome::Applied
        }
        other => {
            let address = other.ok().and_then(|(_, body)| fault_address(&body));
            let mut state = gateway.state();
            let faulty = address.and_then(|address| state.upstreams.by_address(address));
            if let Some(key) = faulty {
                state.upstreams.pause(gateway.clock.now(), key);
            }
            RerouteOutcome::Failed(faulty)
        }
    }
}

/// Queries a replica for its report.
///
/// # Errors
///
/// If the query is not answered or refused, or the report is invalid.
pub async fn fetch_report(
    gateway: &Gateway,
    key: UpstreamKey,
    address: SocketAddr,
    id: &str,
) -> Result<ReplicaReport, QueryFailure> {
    if !acquire_permit(gateway, key).await {
        return Err(QueryFailure::Limited);
    }
    let request = report_request(address);
    let answer = send_to_replica(gateway, key, request, REPORT_TIMEOUT_MS).await;
    let (status, body) = answer?;
    let report = decode_report(&body);
    let born = gateway.state().upstreams.get(key).entry.born;
    match &report {
        Ok(report) if status == 200 && report.is_of_another(born) => {
            note_end(gateway, key, gateway.clock.now());
        }
        _ => note_answer(gateway, key),
    }
    if status != 200 {
        spdlog::warn!("event=report_refused upstream={id} status={status}");
        return Err(QueryFailure::Unusable);
    }
    report.map_err(|error| {
        spdlog::warn!("event=report_decode_failed upstream={id} error=\"{error:#}\"");
        QueryFailure::Unusable
    })
}

/// Sends a request of this gateway's own to a replica and returns the status and body. Heeds
/// whether the replica says that it is leaving.
///
/// # Errors
///
/// If it fails or is not answered within `timeout_ms`.
pub(super) async fn send_to_replica(
    gateway: &Gateway,
    key: UpstreamKey,
    request: eyre::Result<Request<Full<Bytes>>>,
    timeout_ms: u64,
) -> Result<(u16, Bytes), QueryFailure> {
    let request = request.map_err(|error| {
        spdlog::error!("event=replica_request_encode_failed error=\"{error:#}\"");
        QueryFailure::Unusable
    })?;
    let sent_at = gateway.clock.now();
    // An order must not be answered by an earlier refusal that comes once more.
    let client = match *request.method() {
        Method::POST => &gateway.unpooled_client,
        _ => &gateway.client,
    };
    let exchange = async {
        let response = client.request(request).await;
        let response = response.map_err(|error| match is_refused(&error) {
            true => (QueryFailure::Refused, eyre!(error)),
            false => (QueryFailure::Reset, eyre!(error)),
        })?;
        // A 421 comes from another replica, which has the address now.
        let is_other = response.status() == StatusCode::MISDIRECTED_REQUEST;
        if !is_other && is_leaving(response.headers()) {
            note_leaving(gateway, key);
        }
        if !is_other {
            note_limit(gateway, key, limit_statement(response.headers()), sent_at);
        }
        let answer = read_whole(response, MAX_REPORT_BYTES).await;
        answer.map_err(|error| (QueryFailure::Unusable, error))
    };
    match tokio::time::timeout(Duration::from_millis(timeout_ms), exchange).await {
        Ok(Ok(response)) => Ok((response.status().as_u16(), response.into_body())),
        Ok(Err((failure, error))) => {
            spdlog::warn!("event=replica_request_failed error=\"{error:#}\"");
            Err(failure)
        }
        Err(_) => Err(QueryFailure::TimedOut),
    }
}
