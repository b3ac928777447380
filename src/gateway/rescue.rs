//! Looks after requests that are silent: asks why, and leads them round replicas that are dead or
//! leaving.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use crate::gateway::flight::CallFlight;
use crate::gateway::forward::CallContext;
use crate::gateway::run::{Gateway, StalledReport};
use crate::gateway::state::SendTarget;
use crate::gateway::upstream::UpstreamKey;
use crate::platform::headers::chain_text;
use crate::platform::order::{
    decode_report, fault_address, repath_request, report_request, ReplicaReport, StalledRequest,
};

/// Silence after which a request looks whether a replica of its chain is in doubt, milliseconds.
pub const QUIET_MS: u64 = 100;
/// Age up to which a replica's report is used again, milliseconds.
const REPORT_MS: u64 = 50;
/// Time that a question to a replica may take, milliseconds.
const ASK_MS: u64 = 250;
/// Time that an order to change a chain may take, milliseconds.
const REPATH_MS: u64 = 400;
/// Chains that a running request is led over before it is given up.
const REPATHS_MOST: u32 = 4;

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
