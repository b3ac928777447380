//! Asks silent replicas until they answer or are taken for dead.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::ClockTime;
use crate::fetch::{is_refused, read_whole};
use crate::gateway::crash_ledger::MAX_CRASHES;
use crate::gateway::notice::keep_quarantine;
use crate::gateway::permit::acquire_permit;
use crate::gateway::run::Gateway;
use crate::gateway::silence::{
    ask_timeout_ms, judge_silence, AskOutcome, SilenceVerdict, SilentRun,
};
use crate::gateway::upstream::UpstreamKey;
use crate::platform::order::{decode_report, report_request, MAX_REPORT_BYTES};

/// Pause before the next query after one that was not sent or failed at once, milliseconds.
const ASK_PAUSE_MS: u64 = 100;

/// Records that a replica is silent, under `run` if any, and asks it unless that is under way.
pub(super) fn note_silence(gateway: &Arc<Gateway>, key: UpstreamKey, run: Option<SilentRun>) {
    let now = gateway.clock.now();
    let mut state = gateway.state();
    let is_new = state.record_silence(now, key, run, rand::random::<u64>);
    drop(state);
    if is_new {
        tokio::spawn(ask_until_settled(gateway.clone(), key));
    }
}

/// Records a sign of life of a replica, which ends its silence.
pub(super) fn note_answer(gateway: &Gateway, key: UpstreamKey) {
    let now = gateway.clock.now();
    let mut state = gateway.state();
    if let Some(silence) = state.record_answer(now, key) {
        let id = &state.upstreams.get(key).entry.id;
        record_silence_end(
            gateway,
            id,
            "sound",
            now.since(silence.since),
            silence.runs.len(),
        );
    }
}

/// Forgets the silence of a replica of which nothing shows whether it crashed.
fn forget_silence(gateway: &Gateway, key: UpstreamKey) {
    let now = gateway.clock.now();
    let mut state = gateway.state();
    if let Some(silence) = state.silences.take(key) {
        let id = &state.upstreams.get(key).entry.id;
        record_silence_end(
            gateway,
            id,
            "unclear",
            now.since(silence.since),
            silence.runs.len(),
        );
    }
}

fn record_silence_end(gateway: &Gateway, id: &str, verdict: &str, silent_ms: u64, runs: usize) {
    gateway.metrics.count_silence(verdict);
    spdlog::info!(
        "event=silence_ended id={id} verdict={verdict} silent_ms={silent_ms} runs={runs}"
    );
}

/// Records that a replica crashed or was cut off at `at`. If it was silent, the requests are blamed
/// that it was running.
pub(super) fn note_end(gateway: &Gateway, key: UpstreamKey, at: ClockTime) {
    let now = gateway.clock.now();
    let mut state = gateway.state();
    let Some(since) = state.silences.since(key) else {
        return;
    };
    let blamed = state.blame_silent(key, at);
    let id = state.upstreams.get(key).entry.id.clone();
    drop(state);
    if blamed.is_empty() {
        return;
    }
    record_silence_end(gateway, &id, "crash", now.since(since), blamed.len());
    for run in blamed {
        let fingerprint = run.fingerprint;
        gateway.metrics.crashes_under_requests.inc();
        spdlog::info!(
            "event=silent_run_blamed fingerprint={fingerprint} upstream={id} crashes={:?}",
            run.crashes
        );
        if run.crashes.is_some_and(|crashes| crashes >= MAX_CRASHES) {
            spdlog::warn!("event=request_quarantined fingerprint={fingerprint} upstream={id}");
            keep_quarantine(gateway, fingerprint);
        }
    }
    gateway.peer_update.notify_one();
}

async fn ask_until_settled(gateway: Arc<Gateway>, key: UpstreamKey) {
    loop {
        let asked_at = gateway.clock.now();
        let since = {
            let mut state = gateway.state();
            let since = state.silences.since(key);
            if since.is_none() {
                state.silences.take(key);
            }
            since
        };
        let Some(since) = since else {
            return;
        };
        let outcome = ask(&gateway, key, ask_timeout_ms(since, asked_at)).await;
        let now = gateway.clock.now();
        let current = gateway.state().silences.since(key);
        match current {
            Some(current) if current == since => {}
            // Another task asks about a later silence.
            Some(_) => return,
            None => continue,
        }
        match judge_silence(since, asked_at, now, outcome) {
            SilenceVerdict::Sound => return note_answer(&gateway, key),
            SilenceVerdict::Ended => return note_end(&gateway, key, since),
            SilenceVerdict::Unclear => return forget_silence(&gateway, key),
            SilenceVerdict::Open => {}
        }
        if now.since(asked_at) < ASK_PAUSE_MS {
            tokio::time::sleep(Duration::from_millis(ASK_PAUSE_MS)).await;
        }
    }
}

/// Asks a replica for its report on a new connection: those that are open may have gone silent for
/// themselves.
async fn ask(gateway: &Gateway, key: UpstreamKey, timeout_ms: u64) -> AskOutcome {
    if !acquire_permit(gateway, key).await {
        return AskOutcome::Unclear;
    }
    let (address, born) = {
        let state = gateway.state();
        let entry = &state.upstreams.get(key).entry;
        (entry.address, entry.born)
    };
    let Ok(request) = report_request(address) else {
        return AskOutcome::Unclear;
    };
    let exchange = async {
        let response = match gateway.unpooled_client.request(request).await {
            Ok(response) => response,
            Err(error) if is_refused(&error) => return AskOutcome::Ended,
            Err(_) => return AskOutcome::Unclear,
        };
        let Ok(response) = read_whole(response, MAX_REPORT_BYTES).await else {
            return AskOutcome::Unclear;
        };
        let report = decode_report(response.body()).ok();
        match report.is_some_and(|report| report.is_of_another(born)) {
            true => AskOutcome::Ended,
            false => AskOutcome::Answered,
        }
    };
    let timeout = Duration::from_millis(timeout_ms);
    let outcome = tokio::time::timeout(timeout, exchange).await;
    outcome.unwrap_or(AskOutcome::Silent)
}
