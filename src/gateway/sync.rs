//! Keeps the gateway's knowledge of the store fresh, and carries out the duty of placing.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use crate::clock::ClockTime;
use crate::fetch;
use crate::gateway::duty::{DutyInput, DutyOutput, OrderReply, PlaceDuty, PlaceOrder, LEASE_MS};
use crate::gateway::forward::ask_report;
use crate::gateway::plan::PlacementPlan;
use crate::gateway::run::Gateway;
use crate::gateway::upstream::UpstreamKey;
use crate::platform::kv::{KvStore, StoreChange, WatchAnswer};
use crate::platform::manifest::decode_config;
use crate::platform::order::{order_reply, place_request};
use crate::platform::registry::{decode_entry, entry_id};
use crate::platform::{CONFIG_KEY, DUTY_KEY, GATEWAY_PREFIX, PLAN_KEY, REGISTRY_PREFIX};
use crate::store::{
    prefix_end, PlatformAnswer, PlatformCall, PlatformCompare, PlatformItem, PlatformStore,
    PlatformWrite,
};

/// Longest wait of one question for a newer configuration, milliseconds: its answer proves that
/// there was none when it was asked.
const CONFIG_WAIT_MS: u64 = 1_500;
/// Longest wait of one question for changes of the registry, milliseconds.
const REGISTRY_WAIT_MS: u64 = 20_000;
/// Pause between two questions for changes of the registry, milliseconds: heartbeats change it
/// all the time.
const REGISTRY_PAUSE_MS: u64 = 900;
/// The same while the fleet starts, milliseconds.
const REGISTRY_START_PAUSE_MS: u64 = 400;
/// Time after the start for which the fleet counts as starting, milliseconds.
const START_MS: u64 = 8_000;
/// Pause after a failed call of the store, milliseconds; doubled up to [`RETRY_MOST_MS`].
const RETRY_MS: u64 = 80;
/// Longest pause after a failed call, milliseconds.
const RETRY_MOST_MS: u64 = 640;
/// Time after a failed call for which entries that vanish may only have lapsed, milliseconds.
const AWAY_MS: u64 = 5_000;
/// Time between two ticks of the duty, milliseconds.
const DUTY_TICK_MS: u64 = 150;
/// Most time before the duty is first claimed, milliseconds; entries start together.
const CLAIM_SPREAD_MS: u64 = 400;
/// Time that a gateway's entry lives without renewal, seconds.
const GATEWAY_LEASE_S: i64 = 10;
/// Time between two renewals of a gateway's entry, milliseconds.
const GATEWAY_RENEW_MS: u64 = 3_000;
/// Time between two rounds of questions for the pace of all replicas, milliseconds.
const PACE_ASK_MS: u64 = 2_000;
/// Time over which the questions of a round are spread, milliseconds.
const PACE_SPREAD_MS: u64 = 1_500;
/// Time that an order may take to be answered, milliseconds.
const ORDER_MS: u64 = 600;

/// The running duty, for its release at a planned stop.
#[derive(Debug)]
pub struct DutyHandle(mpsc::Sender<oneshot::Sender<()>>);

/// Starts the tasks that read the store and place layers.
pub fn start(gateway: Arc<Gateway>, store: KvStore) -> DutyHandle {
    tokio::spawn(follow_config(gateway.clone(), store.clone()));
    tokio::spawn(follow_registry(gateway.clone(), store.clone()));
    tokio::spawn(register(gateway.clone(), store.clone()));
    tokio::spawn(follow_gateways(gateway.clone(), store.clone()));
    let (release, released) = mpsc::channel(1);
    tokio::spawn(run_duty(gateway, store, released));
    DutyHandle(release)
}

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

/// Failures of the store in a row, logged at the first and at the return.
#[derive(Debug, Default)]
struct StoreTrack {
    what: &'static str,
    failures: u32,
    failed_at: Option<ClockTime>,
}

impl StoreTrack {
    fn new(what: &'static str) -> StoreTrack {
        StoreTrack {
            what,
            ..StoreTrack::default()
        }
    }

    async fn failed(&mut self, now: ClockTime, error: &str) {
        if self.failures == 0 {
            spdlog::warn!("event=store_lost what={} error=\"{error}\"", self.what);
        }
        self.failures += 1;
        self.failed_at = Some(now);
        let pause = (RETRY_MS << self.failures.min(4)).min(RETRY_MOST_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }

    fn answered(&mut self) {
        if self.failures > 0 {
            spdlog::info!(
                "event=store_back what={} failures={}",
                self.what,
                self.failures
            );
            self.failures = 0;
        }
    }

    fn was_away(&self, now: ClockTime) -> bool {
        self.failed_at.is_some_and(|at| now.since(at) < AWAY_MS)
    }
}

async fn follow_config(gateway: Arc<Gateway>, store: KvStore) {
    let mut track = StoreTrack::new("config");
    let mut after: Option<u64> = None;
    loop {
        let asked = gateway.clock.now();
        let result = match after {
            None => read_config(&gateway, &store, asked).await,
            Some(revision) => watch_config(&gateway, &store, asked, revision).await,
        };
        match result {
            Ok(next) => {
                track.answered();
                after = next;
            }
            Err(error) => track.failed(gateway.clock.now(), &error).await,
        }
    }
}

async fn read_config(
    gateway: &Gateway,
    store: &KvStore,
    asked: ClockTime,
) -> Result<Option<u64>, String> {
    let call = PlatformCall::Range {
        key: CONFIG_KEY.to_owned(),
        range_end: String::new(),
    };
    match store.call(call).await {
        Ok(PlatformAnswer::Range { revision, items }) => {
            let mut whole = true;
            for item in &items {
                whole &= take_config(gateway, item);
            }
            if whole {
                gateway.state().proof.renew(asked);
            }
            Ok(Some(revision))
        }
        Ok(other) => Err(format!("unexpected answer {other:?}")),
        Err(error) => Err(error.0),
    }
}

async fn watch_config(
    gateway: &Gateway,
    store: &KvStore,
    asked: ClockTime,
    after: u64,
) -> Result<Option<u64>, String> {
    match store.watch(CONFIG_KEY, after, CONFIG_WAIT_MS).await {
        Ok(WatchAnswer::Changes(changes, revision)) => {
            let mut whole = true;
            for change in &changes {
                if let StoreChange::Put(item) = change {
                    whole &= item.key != CONFIG_KEY || take_config(gateway, item);
                }
            }
            if whole {
                gateway.state().proof.renew(asked);
            }
            Ok(Some(revision.max(after)))
        }
        Ok(WatchAnswer::Forgotten) => {
            spdlog::info!("event=history_lost what=config after={after}");
            Ok(None)
        }
        Err(error) => Err(error.0),
    }
}

/// Puts a configuration in force. Returns false if it cannot be read, so that nothing is proved.
fn take_config(gateway: &Gateway, item: &PlatformItem) -> bool {
    match decode_config(&item.value) {
        Ok(config) => {
            let (version, routes) = (config.version, config.routes.len());
            let applied = gateway.state().apply_config(config);
            spdlog::info!(
                "event=config version={version} routes={routes} revision={} applied={applied}",
                item.mod_revision
            );
            true
        }
        Err(error) => {
            spdlog::error!(
                "event=config_unread revision={} error=\"{error:#}\"",
                item.mod_revision
            );
            false
        }
    }
}

async fn follow_registry(gateway: Arc<Gateway>, store: KvStore) {
    let mut track = StoreTrack::new("registry");
    let mut after: Option<u64> = None;
    let began = gateway.clock.now();
    loop {
        let result = match after {
            None => read_registry(&gateway, &store, &track).await,
            Some(revision) => watch_registry(&gateway, &store, &track, revision).await,
        };
        let now = gateway.clock.now();
        match result {
            Ok(next) => {
                track.answered();
                after = next;
                let starting = now.since(began) < START_MS;
                let pause = if starting {
                    REGISTRY_START_PAUSE_MS
                } else {
                    REGISTRY_PAUSE_MS
                };
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
            Err(error) => track.failed(now, &error).await,
        }
        let mut state = gateway.state();
        state.upstreams.settle(gateway.clock.now());
        let upstreams = &state.upstreams;
        gateway.pool.sweep(now, |key| upstreams.get(key).gone);
    }
}

async fn read_registry(
    gateway: &Gateway,
    store: &KvStore,
    track: &StoreTrack,
) -> Result<Option<u64>, String> {
    let call = PlatformCall::Range {
        key: REGISTRY_PREFIX.to_owned(),
        range_end: prefix_end(REGISTRY_PREFIX),
    };
    let (revision, items) = match store.call(call).await {
        Ok(PlatformAnswer::Range { revision, items }) => (revision, items),
        Ok(other) => return Err(format!("unexpected answer {other:?}")),
        Err(error) => return Err(error.0),
    };
    let now = gateway.clock.now();
    let present: HashSet<&str> = items
        .iter()
        .filter_map(|item| entry_id(&item.key))
        .collect();
    let missing: Vec<String> = gateway
        .state()
        .upstreams
        .ids()
        .into_iter()
        .filter(|(id, known)| !present.contains(id.as_str()) && *known <= revision)
        .map(|(id, _)| id)
        .collect();
    for id in missing {
        take_removal(gateway, now, &id, revision + 1, track);
    }
    for item in &items {
        take_entry(gateway, now, item);
    }
    spdlog::info!(
        "event=registry_read revision={revision} entries={}",
        items.len()
    );
    Ok(Some(revision))
}

async fn watch_registry(
    gateway: &Gateway,
    store: &KvStore,
    track: &StoreTrack,
    after: u64,
) -> Result<Option<u64>, String> {
    match store.watch(REGISTRY_PREFIX, after, REGISTRY_WAIT_MS).await {
        Ok(WatchAnswer::Changes(changes, revision)) => {
            let now = gateway.clock.now();
            for change in &changes {
                match change {
                    StoreChange::Put(item) => take_entry(gateway, now, item),
                    StoreChange::Removed { key, revision } => {
                        if let Some(id) = entry_id(key) {
                            take_removal(gateway, now, id, *revision, track);
                        }
                    }
                }
            }
            Ok(Some(revision.max(after)))
        }
        Ok(WatchAnswer::Forgotten) => {
            spdlog::info!("event=history_lost what=registry after={after}");
            Ok(None)
        }
        Err(error) => Err(error.0),
    }
}

fn take_entry(gateway: &Gateway, now: ClockTime, item: &PlatformItem) {
    match decode_entry(item) {
        Ok(entry) => {
            let line = format!(
                "id={} born={} service={} address={} domain={} kind={} layers={} draining={}",
                entry.id,
                entry.born,
                entry.service,
                entry.address,
                entry.domain,
                entry.kind,
                entry.layers,
                entry.draining
            );
            if gateway.state().upstreams.hear(now, entry) {
                spdlog::info!("event=upstream {line} revision={}", item.mod_revision);
            }
        }
        Err(error) => {
            spdlog::warn!("event=entry_unread key={} error=\"{error:#}\"", item.key);
        }
    }
}

fn take_removal(gateway: &Gateway, now: ClockTime, id: &str, revision: u64, track: &StoreTrack) {
    let away = track.was_away(now);
    spdlog::info!("event=upstream_gone id={id} revision={revision} store_was_away={away}");
    gateway.state().upstreams.removed(now, id, revision, away);
}

/// Keeps this gateway's address in the store under a lease.
async fn register(gateway: Arc<Gateway>, store: KvStore) {
    let mut track = StoreTrack::new("gateway_entry");
    let mut lease = 0;
    loop {
        let result = match lease {
            0 => register_anew(&gateway, &store).await,
            lease => keep_lease(&store, lease).await,
        };
        match result {
            Ok(next) => {
                track.answered();
                lease = next;
                if lease != 0 {
                    tokio::time::sleep(Duration::from_millis(GATEWAY_RENEW_MS)).await;
                }
            }
            Err(error) => track.failed(gateway.clock.now(), &error).await,
        }
    }
}

async fn register_anew(gateway: &Gateway, store: &KvStore) -> Result<i64, String> {
    let ttl_s = GATEWAY_LEASE_S;
    let lease = match store.call(PlatformCall::LeaseGrant { ttl_s }).await {
        Ok(PlatformAnswer::Lease { lease, .. }) if lease > 0 => lease,
        other => return Err(format!("no lease: {other:?}")),
    };
    let call = PlatformCall::Txn {
        compares: Vec::new(),
        writes: vec![PlatformWrite::Put {
            key: format!("{GATEWAY_PREFIX}{}", gateway.config.name),
            value: gateway.config.peer_address.to_string().into_bytes(),
            lease,
        }],
        reads: Vec::new(),
    };
    match store.call(call).await {
        Ok(PlatformAnswer::Txn {
            succeeded: true, ..
        }) => Ok(lease),
        other => Err(format!("not registered: {other:?}")),
    }
}

/// Renews a lease; zero when it has ended.
async fn keep_lease(store: &KvStore, lease: i64) -> Result<i64, String> {
    match store.call(PlatformCall::LeaseKeepAlive { lease }).await {
        Ok(PlatformAnswer::Lease { ttl_s, .. }) => Ok(if ttl_s > 0 { lease } else { 0 }),
        other => Err(format!("not renewed: {other:?}")),
    }
}

/// Follows who the other gateways are. While the store is away, those known stay known.
async fn follow_gateways(gateway: Arc<Gateway>, store: KvStore) {
    let mut track = StoreTrack::new("gateways");
    let mut known: HashMap<String, SocketAddr> = HashMap::new();
    let mut after: Option<u64> = None;
    loop {
        let result = match after {
            None => read_gateways(&store, &mut known).await,
            Some(revision) => watch_gateways(&store, &mut known, revision).await,
        };
        match result {
            Ok(next) => {
                track.answered();
                after = next;
                let own = gateway.config.peer_address;
                let others = known.values().copied().filter(|address| *address != own);
                let mut others: Vec<SocketAddr> = others.collect();
                others.sort_unstable();
                if gateway.state().peer_addresses != others {
                    spdlog::info!("event=gateways known={}", others.len() + 1);
                    gateway.state().peer_addresses = others;
                }
                tokio::time::sleep(Duration::from_millis(REGISTRY_PAUSE_MS)).await;
            }
            Err(error) => track.failed(gateway.clock.now(), &error).await,
        }
    }
}

async fn read_gateways(
    store: &KvStore,
    known: &mut HashMap<String, SocketAddr>,
) -> Result<Option<u64>, String> {
    let call = PlatformCall::Range {
        key: GATEWAY_PREFIX.to_owned(),
        range_end: prefix_end(GATEWAY_PREFIX),
    };
    match store.call(call).await {
        Ok(PlatformAnswer::Range { revision, items }) => {
            known.clear();
            for item in &items {
                take_gateway(known, item);
            }
            Ok(Some(revision))
        }
        Ok(other) => Err(format!("unexpected answer {other:?}")),
        Err(error) => Err(error.0),
    }
}

async fn watch_gateways(
    store: &KvStore,
    known: &mut HashMap<String, SocketAddr>,
    after: u64,
) -> Result<Option<u64>, String> {
    match store.watch(GATEWAY_PREFIX, after, REGISTRY_WAIT_MS).await {
        Ok(WatchAnswer::Changes(changes, revision)) => {
            for change in &changes {
                match change {
                    StoreChange::Put(item) => take_gateway(known, item),
                    StoreChange::Removed { key, .. } => {
                        known.remove(key);
                    }
                }
            }
            Ok(Some(revision.max(after)))
        }
        Ok(WatchAnswer::Forgotten) => Ok(None),
        Err(error) => Err(error.0),
    }
}

fn take_gateway(known: &mut HashMap<String, SocketAddr>, item: &PlatformItem) {
    let address = std::str::from_utf8(&item.value)
        .ok()
        .and_then(|text| text.parse().ok());
    match address {
        Some(address) => {
            known.insert(item.key.clone(), address);
        }
        None => spdlog::warn!("event=gateway_unread key={}", item.key),
    }
}

async fn run_duty(
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
