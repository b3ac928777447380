//! Runs the placement controller: executes the store requests and orders that
//! [`PlacementController`] returns, and passes the results back to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, Mutex};

use crate::gateway::placement::{
    OrderReply, PlacementController, PlacementInput, PlacementOrder, PlacementOutput, LEASE_MS,
};
use crate::gateway::plan::PlacementPlan;
use crate::gateway::reroute::{fetch_report, send_to_replica};
use crate::gateway::run::Gateway;
use crate::gateway::sync::IDLE_WATCH_MS;
use crate::gateway::upstream::UpstreamKey;
use crate::platform::kv::{KvStore, PositionedResult, StoreChange, WatchOutcome};
use crate::platform::order::{order_reply, place_request};
use crate::platform::{PLACEMENT_LEASE_KEY, PLAN_KEY};
use crate::store::position::StorePosition;
use crate::store::{
    PlatformCompare, PlatformItem, PlatformRequest, PlatformResponse, PlatformWrite,
};

/// Interval between two ticks of the placement controller, milliseconds.
const CONTROLLER_TICK_MS: u64 = 150;
/// Upper bound of the random delay before this gateway first claims the placement lease,
/// milliseconds. Without it, gateways that start together would all claim the lease at once.
const MAX_CLAIM_DELAY_MS: u64 = 400;
/// Interval between two rounds in which the lease holder queries the replicas for their slowdown,
/// milliseconds.
const SLOWDOWN_QUERY_MS: u64 = 2_000;
/// Time over which the slowdown queries of one round are spread, milliseconds.
const SLOWDOWN_SPREAD_MS: u64 = 1_500;
/// A replica with a lower limit is queried only if it is not heard otherwise, requests a second: the
/// queries would take a good part of the limit.
const MIN_QUERIED_LIMIT_PER_S: f64 = 5.0;
/// Number of times that a new lease holder asks for the stored plan.
const PLAN_READ_ATTEMPTS: u32 = 3;
/// Pause after a failed read of the stored plan, milliseconds.
const PLAN_READ_PAUSE_MS: u64 = 200;
/// Timeout of a placement order, and of waiting for the release of the lease during a graceful
/// shutdown, milliseconds.
const ORDER_TIMEOUT_MS: u64 = 600;

/// Handle to the running placement controller, used to release its lease on graceful shutdown.
#[derive(Debug)]
pub struct PlacementHandle(pub(super) mpsc::Sender<oneshot::Sender<()>>);

/// Stops the placement controller and waits until its lease is released in the store. After a short
/// timeout the shutdown goes on without it.
pub async fn release(handle: PlacementHandle) {
    let (done, wait) = oneshot::channel();
    if handle.0.send(done).await.is_ok() {
        let limit = Duration::from_millis(ORDER_TIMEOUT_MS);
        if tokio::time::timeout(limit, wait).await.is_err() {
            spdlog::warn!("event=placement_release_timed_out timeout_ms={ORDER_TIMEOUT_MS}");
        }
    }
}

/// Part of the body of a refusal that is logged, bytes.
const MAX_LOGGED_BYTES: usize = 200;

/// Runs the placement controller until its release is requested.
pub(super) async fn run_placement(
    gateway: Arc<Gateway>,
    store: KvStore,
    release_receiver: Arc<Mutex<mpsc::Receiver<oneshot::Sender<()>>>>,
) {
    let mut release_receiver = release_receiver.lock().await;
    let delay = rand::random_range(0..MAX_CLAIM_DELAY_MS);
    let mut controller = PlacementController::new(gateway.clock.now() + delay);
    let (input_sender, mut input_receiver) = mpsc::channel(256);
    let mut tick = tokio::time::interval(Duration::from_millis(CONTROLLER_TICK_MS));
    let mut queried_at = gateway.clock.now();
    let mut era = store.era();
    loop {
        let input = tokio::select! {
            input = input_receiver.recv() => match input {
                Some(input) => input,
                None => return,
            },
            _ = tick.tick() => PlacementInput::Tick,
            () = store.era_changed(era) => {
                era = store.era();
                PlacementInput::StoreRestored(era)
            }
            done = release_receiver.recv() => {
                for output in controller.release() {
                    execute(&gateway, &store, output).await;
                }
                if let Some(done) = done {
                    // The receiver is gone if `release` timed out.
                    let _ = done.send(());
                }
                return;
            }
        };
        let outputs = {
            let state = gateway.state();
            let now = gateway.clock.now();
            controller.handle(now, input, state.routes.config(), &state.upstreams)
        };
        let now = gateway.clock.now();
        if controller.is_lease_holder(now) && now.since(queried_at) >= SLOWDOWN_QUERY_MS {
            queried_at = now;
            tokio::spawn(query_slowdowns(gateway.clone()));
        }
        for output in outputs {
            if let PlacementOutput::Log(line) = output {
                spdlog::info!("event=placement {line}");
                continue;
            }
            let (gateway, store, input_sender) =
                (gateway.clone(), store.clone(), input_sender.clone());
            tokio::spawn(async move {
                if let Some(input) = execute(&gateway, &store, output).await {
                    // The receiver is gone if the controller was released meanwhile.
                    let _ = input_sender.send(input).await;
                }
            });
        }
    }
}

/// Fetches the report of each usable replica that holds layers, and records the slowdown in it. The
/// queries are sent one at a time, spread over [`SLOWDOWN_SPREAD_MS`].
async fn query_slowdowns(gateway: Arc<Gateway>) {
    let replicas: Vec<(UpstreamKey, SocketAddr, String)> = {
        let state = gateway.state();
        let now = gateway.clock.now();
        let upstreams = state.upstreams.iter();
        upstreams
            .filter(|(_, record)| record.usable(now) && !record.entry.layers.is_empty())
            .filter(|(key, _)| {
                let limit = state.permits.limit(*key);
                let is_ample = limit.is_none_or(|limit| limit >= MIN_QUERIED_LIMIT_PER_S);
                is_ample || state.permits.is_unheard(now, *key)
            })
            .map(|(key, record)| (key, record.entry.address, record.entry.id.clone()))
            .collect()
    };
    let count = u64::try_from(replicas.len()).unwrap_or(u64::MAX).max(1);
    for (key, address, id) in replicas {
        tokio::time::sleep(Duration::from_millis(SLOWDOWN_SPREAD_MS / count)).await;
        let Ok(report) = fetch_report(&gateway, key, address, &id).await else {
            continue;
        };
        let now = gateway.clock.now();
        if gateway
            .state()
            .upstreams
            .apply_slowdown(now, key, report.slowdown, true)
        {
            spdlog::info!(
                "event=upstream_slowdown_changed id={id} slowdown={} reported_by={id}",
                report.slowdown
            );
        }
    }
}

/// Executes one output of the placement controller. Returns the input with its result, or `None` if
/// the controller expects none or a lease renewal failed.
async fn execute(
    gateway: &Gateway,
    store: &KvStore,
    output: PlacementOutput,
) -> Option<PlacementInput> {
    let requested_at = gateway.clock.now();
    match output {
        PlacementOutput::Log(_) => None,
        PlacementOutput::AwaitVacancy => Some(PlacementInput::VacancyChecked(
            wait_until_vacant(gateway, store).await,
        )),
        PlacementOutput::RequestLease => {
            let request = PlatformRequest::LeaseGrant {
                ttl_s: i64::try_from(LEASE_MS / 1_000).unwrap_or(1),
            };
            Some(PlacementInput::LeaseGranted(
                match store.request(request).await {
                    Ok((PlatformResponse::Lease { lease, .. }, _)) if lease > 0 => {
                        Some((lease, requested_at))
                    }
                    other => {
                        log_unexpected("grant", &other);
                        None
                    }
                },
            ))
        }
        PlacementOutput::ClaimLease(lease) => Some(PlacementInput::LeaseClaimed(
            claim(gateway, store, lease).await,
        )),
        PlacementOutput::RenewLease(lease) => {
            let era = store.era();
            let result = store
                .request(PlatformRequest::LeaseKeepAlive { lease })
                .await;
            match result {
                // After a restore the answer may be about another VM's lease with the same id.
                Ok((PlatformResponse::Lease { ttl_s, .. }, answered_in)) => Some(
                    PlacementInput::LeaseRenewed(ttl_s > 0 && answered_in == era, requested_at),
                ),
                other => {
                    log_unexpected("renew", &other);
                    None
                }
            }
        }
        PlacementOutput::RevokeLease(lease) => {
            let result = store.request(PlatformRequest::LeaseRevoke { lease }).await;
            if result.is_err() {
                log_unexpected("release", &result);
            }
            None
        }
        PlacementOutput::ReadPlan => Some(PlacementInput::PlanRead(read_plan(store).await)),
        PlacementOutput::StorePlan(plan, token) => {
            store_plan(store, &plan, token).await;
            None
        }
        PlacementOutput::SendOrder(order) => {
            let reply = send_order(gateway, &order).await;
            spdlog::info!(
                "event=order_ended layers={} token={} reply={reply:?}",
                order.layers,
                order.token
            );
            Some(PlacementInput::OrderAnswered(order.upstream, reply))
        }
    }
}

/// Logs a store request that failed or returned an unexpected response.
fn log_unexpected(operation: &str, result: &PositionedResult) {
    spdlog::warn!("event=store_request_failed operation={operation} result={result:?}");
}

/// Waits until the placement lease key does not exist, or returns true at once if an earlier
/// process of this VM wrote it. Returns false if the store could not be read or watched.
async fn wait_until_vacant(gateway: &Gateway, store: &KvStore) -> bool {
    let request = PlatformRequest::Range {
        key: PLACEMENT_LEASE_KEY.to_owned(),
        range_end: String::new(),
    };
    let (mut after, items) = match store.request(request).await {
        Ok((PlatformResponse::Range { revision, items }, era)) => {
            (StorePosition::new(era, revision), items)
        }
        _ => return false,
    };
    if items
        .iter()
        .all(|item| item.value == gateway.config.name.as_bytes())
    {
        return true;
    }
    loop {
        match store.watch(PLACEMENT_LEASE_KEY, after, IDLE_WATCH_MS).await {
            Ok(WatchOutcome::Changes(changes, position)) => {
                let removed = |change: &StoreChange| matches!(change, StoreChange::Removed { .. });
                if changes.last().is_some_and(removed) {
                    return true;
                }
                after = position;
            }
            // The controller reads the key again after a pause.
            Ok(WatchOutcome::Compacted | WatchOutcome::Restored) | Err(_) => return false,
        }
    }
}

/// Writes the placement lease key if it does not exist or was written by an earlier process of this
/// VM. Returns the position of the write, or `None` if another gateway holds the lease or the
/// request failed.
async fn claim(gateway: &Gateway, store: &KvStore, lease: i64) -> Option<StorePosition> {
    let mut expected_revision = 0;
    loop {
        let request = PlatformRequest::Txn {
            compares: vec![PlatformCompare::ModRevision(
                PLACEMENT_LEASE_KEY.to_owned(),
                expected_revision,
            )],
            writes: vec![PlatformWrite::Put {
                key: PLACEMENT_LEASE_KEY.to_owned(),
                value: gateway.config.name.clone().into_bytes(),
                lease,
            }],
            reads: Vec::new(),
        };
        match store.request(request).await {
            Ok((
                PlatformResponse::Txn {
                    succeeded: true,
                    revision,
                    ..
                },
                era,
            )) => return Some(StorePosition::new(era, revision)),
            Ok((PlatformResponse::Txn { items, .. }, _)) => {
                let own_name = gateway.config.name.as_bytes();
                let stale = items.iter().find(|item| item.value == own_name);
                match stale.filter(|_| expected_revision == 0) {
                    Some(item) => expected_revision = item.mod_revision,
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

/// Reads the stored plan, several times if the store does not answer: without it, another one is
/// made. Returns `None` if there is none or it cannot be read or decoded.
async fn read_plan(store: &KvStore) -> Option<PlacementPlan> {
    for _ in 0..PLAN_READ_ATTEMPTS {
        let request = PlatformRequest::Range {
            key: PLAN_KEY.to_owned(),
            range_end: String::new(),
        };
        match store.request(request).await {
            Ok((PlatformResponse::Range { items, .. }, _)) => {
                return items.into_iter().next().and_then(|item| decode_plan(&item));
            }
            other => log_unexpected("read_plan", &other),
        }
        tokio::time::sleep(Duration::from_millis(PLAN_READ_PAUSE_MS)).await;
    }
    None
}

fn decode_plan(item: &PlatformItem) -> Option<PlacementPlan> {
    match serde_json::from_slice(&item.value) {
        Ok(plan) => Some(plan),
        Err(error) => {
            spdlog::error!("event=plan_decode_failed key={PLAN_KEY} error=\"{error}\"");
            None
        }
    }
}

/// Writes the plan to the store, provided that the placement lease key was last written at `token`.
async fn store_plan(store: &KvStore, plan: &PlacementPlan, token: StorePosition) {
    // The same revision of a later era belongs to another write.
    if store.era() != token.era {
        return;
    }
    let value = match serde_json::to_vec(plan) {
        Ok(value) => value,
        Err(error) => {
            spdlog::error!("event=plan_encode_failed key={PLAN_KEY} error=\"{error}\"");
            return;
        }
    };
    let request = PlatformRequest::Txn {
        compares: vec![PlatformCompare::ModRevision(
            PLACEMENT_LEASE_KEY.to_owned(),
            token.revision,
        )],
        writes: vec![PlatformWrite::Put {
            key: PLAN_KEY.to_owned(),
            value,
            lease: 0,
        }],
        reads: Vec::new(),
    };
    let result = store.request(request).await;
    if !matches!(
        result,
        Ok((
            PlatformResponse::Txn {
                succeeded: true,
                ..
            },
            _
        ))
    ) {
        log_unexpected("keep_plan", &result);
    }
}

/// Sends a placement order to a replica. On a conflict, also queries the replica's report and
/// returns the number of accepted orders that it states.
async fn send_order(gateway: &Gateway, order: &PlacementOrder) -> OrderReply {
    let (address, id) = {
        let state = gateway.state();
        let entry = &state.upstreams.get(order.upstream).entry;
        (entry.address, entry.id.clone())
    };
    let Some(token) = order.token.fencing_token() else {
        spdlog::error!(
            "event=order_encode_failed upstream={id} error=\"the token {} is too large\"",
            order.token
        );
        return OrderReply::Rejected;
    };
    let request = place_request(address, &id, order.layers, token, order.sequence);
    if let Err(error) = &request {
        spdlog::error!("event=order_encode_failed upstream={id} error=\"{error:#}\"");
        return OrderReply::Rejected;
    }
    let now = gateway.clock.now();
    gateway.state().permits.spend(now, order.upstream);
    match send_to_replica(gateway, order.upstream, request, ORDER_TIMEOUT_MS).await {
        Ok((status, body)) => {
            if status >= 300 {
                let text = String::from_utf8_lossy(&body[..body.len().min(MAX_LOGGED_BYTES)]);
                spdlog::warn!("event=order_refused upstream={id} status={status} body=\"{text}\"");
            }
            match order_reply(status) {
                OrderReply::Conflict(_) => {
                    let report = fetch_report(gateway, order.upstream, address, &id).await;
                    OrderReply::Conflict(report.ok().map(|report| report.accepted_orders))
                }
                reply => reply,
            }
        }
        Err(_) => OrderReply::Unanswered,
    }
}
