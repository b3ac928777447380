//! Carries out the duty of placing layers as [`PlaceDuty`] decides.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use crate::fetch;
use crate::gateway::duty::{DutyInput, DutyOutput, OrderReply, PlaceDuty, PlaceOrder, LEASE_MS};
use crate::gateway::plan::PlacementPlan;
use crate::gateway::rescue::ask_report;
use crate::gateway::run::Gateway;
use crate::gateway::sync::REGISTRY_WAIT_MS;
use crate::gateway::upstream::UpstreamKey;
use crate::platform::kv::{KvStore, StoreChange, WatchAnswer};
use crate::platform::order::{order_reply, place_request};
use crate::platform::{DUTY_KEY, PLAN_KEY};
use crate::store::{PlatformAnswer, PlatformCall, PlatformCompare, PlatformStore, PlatformWrite};

/// Time between two ticks of the duty, milliseconds.
const DUTY_TICK_MS: u64 = 150;
/// Most time before the duty is first claimed, milliseconds; entries start together.
const CLAIM_SPREAD_MS: u64 = 400;
/// Time between two rounds of questions for the pace of all replicas, milliseconds.
const PACE_ASK_MS: u64 = 2_000;
/// Time over which the questions of a round are spread, milliseconds.
const PACE_SPREAD_MS: u64 = 1_500;
/// Time that an order may take to be answered, milliseconds.
const ORDER_MS: u64 = 600;

/// The running duty, for its release at a planned stop.
#[derive(Debug)]
pub struct DutyHandle(pub(super) mpsc::Sender<oneshot::Sender<()>>);

/// Gives the duty up, and waits until the store was told.
pub async fn release(handle: DutyHandle) {
    let (done, wait) = oneshot::channel();
    if handle.0.send(done).await.is_ok() {
        let limit = Duration::from_millis(ORDER_MS);
        if tokio::time::timeout(limit, wait).await.is_err() {
            spdlog::warn!("event=duty_release_unanswered");
        }
    }
}

/// Runs the duty until its release is asked for.
pub(super) async fn run_duty(
    gateway: Arc<Gateway>,
    store: KvStore,
    mut released: mpsc::Receiver<oneshot::Sender<()>>,
) {
    let spread = rand::random_range(0..CLAIM_SPREAD_MS);
    let mut duty = PlaceDuty::new(gateway.clock.now() + spread);
    let (inputs, mut next) = mpsc::channel(256);
    let mut tick = tokio::time::interval(Duration::from_millis(DUTY_TICK_MS));
    let mut asked_at = gateway.clock.now();
    loop {
        let input = tokio::select! {
            input = next.recv() => match input {
                Some(input) => input,
                None => return,
            },
            _ = tick.tick() => DutyInput::Tick,
            done = released.recv() => {
                for output in duty.release() {
                    carry_out(&gateway, &store, output).await;
                }
                if let Some(done) = done {
                    // The stop goes on whether or not somebody waits.
                    let _ = done.send(());
                }
                return;
            }
        };
        let outputs = {
            let state = gateway.state();
            let now = gateway.clock.now();
            duty.handle(now, input, state.routes.config(), &state.upstreams)
        };
        let now = gateway.clock.now();
        if duty.holds(now) && now.since(asked_at) >= PACE_ASK_MS {
            asked_at = now;
            tokio::spawn(ask_paces(gateway.clone()));
        }
        for output in outputs {
            if let DutyOutput::Note(note) = output {
                spdlog::info!("event=duty {note}");
                continue;
            }
            let (gateway, store, inputs) = (gateway.clone(), store.clone(), inputs.clone());
            tokio::spawn(async move {
                if let Some(input) = carry_out(&gateway, &store, output).await {
                    // The duty ends with the process.
                    let _ = inputs.send(input).await;
                }
            });
        }
    }
}

/// Asks every replica that holds layers for its pace, one after the other.
async fn ask_paces(gateway: Arc<Gateway>) {
    let replicas: Vec<(UpstreamKey, SocketAddr, String)> = {
        let state = gateway.state();
        let now = gateway.clock.now();
        let holders = state.upstreams.iter();
        holders
            .filter(|(_, record)| record.usable(now) && !record.entry.layers.is_empty())
            .map(|(key, record)| (key, record.entry.address, record.entry.id.clone()))
            .collect()
    };
    let count = u64::try_from(replicas.len()).unwrap_or(u64::MAX).max(1);
    for (key, address, id) in replicas {
        tokio::time::sleep(Duration::from_millis(PACE_SPREAD_MS / count)).await;
        let Some(report) = ask_report(&gateway, address, &id).await else {
            continue;
        };
        let now = gateway.clock.now();
        if gateway
            .state()
            .upstreams
            .hear_pace(now, key, report.pace, true)
        {
            spdlog::info!(
                "event=upstream_pace id={id} pace={} told_by={id}",
                report.pace
            );
        }
    }
}

/// Carries out what the duty wants. Returns what came of it.
async fn carry_out(gateway: &Gateway, store: &KvStore, output: DutyOutput) -> Option<DutyInput> {
    let asked = gateway.clock.now();
    match output {
        DutyOutput::Note(_) => None,
        DutyOutput::Await => Some(DutyInput::Vacant(await_vacancy(gateway, store).await)),
        DutyOutput::Grant => {
            let call = PlatformCall::LeaseGrant {
                ttl_s: i64::try_from(LEASE_MS / 1_000).unwrap_or(1),
            };
            Some(DutyInput::Granted(match store.call(call).await {
                Ok(PlatformAnswer::Lease { lease, .. }) if lease > 0 => Some((lease, asked)),
                other => {
                    log_unexpected("grant", &other);
                    None
                }
            }))
        }
        DutyOutput::Claim(lease) => Some(DutyInput::Claimed(claim(gateway, store, lease).await)),
        DutyOutput::Renew(lease) => {
            let result = store.call(PlatformCall::LeaseKeepAlive { lease }).await;
            match result {
                Ok(PlatformAnswer::Lease { ttl_s, .. }) => {
                    Some(DutyInput::Renewed(ttl_s > 0, asked))
                }
                other => {
                    log_unexpected("renew", &other);
                    None
                }
            }
        }
        DutyOutput::Release(lease) => {
            let result = store.call(PlatformCall::LeaseRevoke { lease }).await;
            if result.is_err() {
                log_unexpected("release", &result);
            }
            None
        }
        DutyOutput::ReadPlan => Some(DutyInput::Kept(read_plan(store).await)),
        DutyOutput::KeepPlan(plan, token) => {
            keep_plan(store, &plan, token).await;
            None
        }
        DutyOutput::Order(order) => {
            let reply = send_order(gateway, &order).await;
            spdlog::info!(
                "event=order_answered layers={} token={} reply={reply:?}",
                order.layers,
                order.token
            );
            Some(DutyInput::Ordered(order.upstream, reply))
        }
    }
}

fn log_unexpected(what: &str, result: &crate::store::PlatformResult) {
    spdlog::warn!("event=store_call_failed what={what} result={result:?}");
}

/// Waits until the duty's key is gone, or what an earlier start of this VM's process left behind.
/// Returns false if the store does not tell.
async fn await_vacancy(gateway: &Gateway, store: &KvStore) -> bool {
    let call = PlatformCall::Range {
        key: DUTY_KEY.to_owned(),
        range_end: String::new(),
    };
    let (mut after, items) = match store.call(call).await {
        Ok(PlatformAnswer::Range { revision, items }) => (revision, items),
        _ => return false,
    };
    if items
        .iter()
        .all(|item| item.value == gateway.config.name.as_bytes())
    {
        return true;
    }
    loop {
        match store.watch(DUTY_KEY, after, REGISTRY_WAIT_MS).await {
            Ok(WatchAnswer::Changes(changes, revision)) => {
                let removed = |change: &StoreChange| matches!(change, StoreChange::Removed { .. });
                if changes.last().is_some_and(removed) {
                    return true;
                }
                after = revision.max(after);
            }
            // Looked at anew, after a pause.
            Ok(WatchAnswer::Forgotten) | Err(_) => return false,
        }
    }
}

/// Writes the duty's key under a lease: if it does not exist, or if it is what an earlier start
/// of this VM's process left behind.
async fn claim(gateway: &Gateway, store: &KvStore, lease: i64) -> Option<u64> {
    let mut known = 0;
    loop {
        let call = PlatformCall::Txn {
            compares: vec![PlatformCompare::ModRevision(DUTY_KEY.to_owned(), known)],
            writes: vec![PlatformWrite::Put {
                key: DUTY_KEY.to_owned(),
                value: gateway.config.name.clone().into_bytes(),
                lease,
            }],
            reads: Vec::new(),
        };
        match store.call(call).await {
            Ok(PlatformAnswer::Txn {
                succeeded: true,
                revision,
                ..
            }) => return Some(revision),
            Ok(PlatformAnswer::Txn { items, .. }) => {
                let own = gateway.config.name.as_bytes();
                let left = items.iter().find(|item| item.value == own);
                match left.filter(|_| known == 0) {
                    Some(item) => known = item.mod_revision,
                    None => return None,
                }
            }
            other => {
                log_unexpected("claim", &other);
                return None;
            }
        }
    }
}

async fn read_plan(store: &KvStore) -> Option<PlacementPlan> {
    let call = PlatformCall::Range {
        key: PLAN_KEY.to_owned(),
        range_end: String::new(),
    };
    match store.call(call).await {
        Ok(PlatformAnswer::Range { items, .. }) => {
            let item = items.into_iter().next()?;
            match serde_json::from_slice(&item.value) {
                Ok(plan) => Some(plan),
                Err(error) => {
                    spdlog::error!("event=plan_unread error=\"{error}\"");
                    None
                }
            }
        }
        other => {
            log_unexpected("read_plan", &other);
            None
        }
    }
}

async fn keep_plan(store: &KvStore, plan: &PlacementPlan, token: u64) {
    let value = match serde_json::to_vec(plan) {
        Ok(value) => value,
        Err(error) => {
            spdlog::error!("event=plan_unwritten error=\"{error}\"");
            return;
        }
    };
    let call = PlatformCall::Txn {
        compares: vec![PlatformCompare::ModRevision(DUTY_KEY.to_owned(), token)],
        writes: vec![PlatformWrite::Put {
            key: PLAN_KEY.to_owned(),
            value,
            lease: 0,
        }],
        reads: Vec::new(),
    };
    let result = store.call(call).await;
    if !matches!(
        result,
        Ok(PlatformAnswer::Txn {
            succeeded: true,
            ..
        })
    ) {
        log_unexpected("keep_plan", &result);
    }
}

async fn send_order(gateway: &Gateway, order: &PlaceOrder) -> OrderReply {
    let (address, id) = {
        let state = gateway.state();
        let entry = &state.upstreams.get(order.upstream).entry;
        (entry.address, entry.id.clone())
    };
    let request = match place_request(address, &id, order.layers, order.token, order.sequence) {
        Ok(request) => request,
        Err(error) => {
            spdlog::error!("event=order_unmade upstream={id} error=\"{error:#}\"");
            return OrderReply::Rejected;
        }
    };
    let sent = fetch::send(&gateway.client, request);
    match tokio::time::timeout(Duration::from_millis(ORDER_MS), sent).await {
        Ok(Ok((status, body))) => {
            if status >= 300 {
                let text = String::from_utf8_lossy(&body);
                spdlog::warn!("event=order_refused upstream={id} status={status} body=\"{text}\"");
            }
            match order_reply(status) {
                OrderReply::Unfit(_) => {
                    let report = ask_report(gateway, address, &id).await;
                    OrderReply::Unfit(report.map(|report| report.sequence))
                }
                reply => reply,
            }
        }
        Ok(Err(error)) => {
            spdlog::warn!("event=order_failed upstream={id} error=\"{error:#}\"");
            OrderReply::Unanswered
        }
        Err(_) => OrderReply::Unanswered,
    }
}
