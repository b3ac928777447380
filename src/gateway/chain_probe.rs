//! Asks the later replicas of a silent chain whether they are there.
//!
//! The load that this answers: replicas that go dark under many streams at once. The first replica of a chain
//! names the one that holds it up only when its own report shows it, which may be later than the
//! pause that callers tolerate between two events. A replica that is there answers a health check within
//! milliseconds, whatever it works on.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

use crate::clock::ClockTime;
use crate::fetch::is_refused;
use crate::gateway::chain::ChainHop;
use crate::gateway::run::Gateway;
use crate::gateway::upstream::UpstreamKey;
use crate::platform::order::health_request;

/// Time within which a replica that is there answers, milliseconds.
const PROBE_TIMEOUT_MS: u64 = 60;
/// Age up to which the outcome of a probe counts for other streams, milliseconds.
const PROBE_AGE_MS: u64 = 400;
/// Own delay from which silence shows nothing, milliseconds: the answer may lie unread.
const MAX_OWN_DELAY_MS: u64 = 20;

/// What a replica answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// It answered.
    Answered,
    /// The connection was refused.
    Refused,
    /// Nothing within the time, or the connection was reset, as by a replica that has as many as it
    /// takes.
    Silent,
}

/// Returns the replicas that are to be taken for dead or cut off. Silence counts only if another
/// replica answered at the same time, since else this gateway itself may be cut off.
pub fn judge_probes(outcomes: &[(UpstreamKey, ProbeOutcome)]) -> Vec<UpstreamKey> {
    let mut answered = outcomes.iter();
    let answered = answered.any(|(_, outcome)| *outcome == ProbeOutcome::Answered);
    let unreachable = outcomes.iter().filter(|(_, outcome)| match outcome {
        ProbeOutcome::Answered => false,
        ProbeOutcome::Refused => true,
        ProbeOutcome::Silent => answered,
    });
    unreachable.map(|(key, _)| *key).collect()
}

#[derive(Clone, Debug)]
struct ReplicaProbe {
    asked_at: ClockTime,
    outcome: watch::Receiver<Option<ProbeOutcome>>,
}

/// The latest probe of each replica, which all streams of the gateway share.
#[derive(Debug, Default)]
pub struct ProbeTable(Mutex<HashMap<UpstreamKey, ReplicaProbe>>);

impl ProbeTable {
    /// The probe of a replica that is recent enough; else begins one.
    fn ask(
        &self,
        gateway: &Arc<Gateway>,
        key: UpstreamKey,
    ) -> watch::Receiver<Option<ProbeOutcome>> {
        let now = gateway.clock.now();
        let mut probes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        probes.retain(|_, probe| now.since(probe.asked_at) < PROBE_AGE_MS);
        if let Some(probe) = probes.get(&key) {
            return probe.outcome.clone();
        }
        let (sender, outcome) = watch::channel(None);
        let gateway = gateway.clone();
        tokio::spawn(async move {
            let outcome = probe(&gateway, key).await;
            // All streams that asked may have ended.
            let _ = sender.send(Some(outcome));
        });
        let probe = ReplicaProbe {
            asked_at: now,
            outcome: outcome.clone(),
        };
        probes.insert(key, probe);
        outcome
    }
}

async fn probe(gateway: &Gateway, key: UpstreamKey) -> ProbeOutcome {
    let request = {
        let state = gateway.state();
        let entry = &state.upstreams.get(key).entry;
        let rule = state.routes.service(&entry.service);
        let path = rule.map_or("", |rule| &rule.health_path);
        health_request(entry.address, &entry.id, path)
    };
    let Ok(request) = request else {
        return ProbeOutcome::Answered;
    };
    let limit = Duration::from_millis(PROBE_TIMEOUT_MS);
    match tokio::time::timeout(limit, gateway.client.request(request)).await {
        Ok(Ok(_)) => ProbeOutcome::Answered,
        Ok(Err(error)) if is_refused(&error) => ProbeOutcome::Refused,
        Ok(Err(_)) | Err(_) => ProbeOutcome::Silent,
    }
}

/// Asks a replica whether it is there, unless it was asked just before or has a limit on its requests.
/// `None` if it was not asked.
pub async fn probe_replica(gateway: &Arc<Gateway>, key: UpstreamKey) -> Option<ProbeOutcome> {
    if gateway.state().permits.is_limited(key) {
        return None;
    }
    let mut outcome = gateway.probes.ask(gateway, key);
    let settled = outcome.wait_for(Option::is_some).await;
    settled.ok().and_then(|outcome| *outcome)
}

/// Asks the later replicas of a chain whether they are there. Returns those that are not, and what
/// shows it. Replicas with a limit on their requests are not asked.
pub async fn find_unreachable(
    gateway: &Arc<Gateway>,
    chain: &[ChainHop],
) -> Vec<(UpstreamKey, ProbeOutcome)> {
    let later: Vec<UpstreamKey> = {
        let state = gateway.state();
        let keys = chain.iter().skip(1).map(|hop| hop.upstream);
        keys.filter(|key| !state.permits.is_limited(*key)).collect()
    };
    let asked = later
        .into_iter()
        .map(|key| (key, gateway.probes.ask(gateway, key)));
    let asked: Vec<_> = asked.collect();
    let mut outcomes = Vec::with_capacity(asked.len());
    for (key, mut outcome) in asked {
        let settled = outcome.wait_for(Option::is_some).await;
        let settled = settled.ok().and_then(|outcome| *outcome);
        outcomes.push((key, settled.unwrap_or(ProbeOutcome::Answered)));
    }
    if gateway.state().own_delay.delay_ms() >= MAX_OWN_DELAY_MS {
        return Vec::new();
    }
    let unreachable = judge_probes(&outcomes);
    outcomes.retain(|(key, _)| unreachable.contains(key));
    outcomes
}
