//! Keeps the gateway's knowledge of the store fresh: configuration and registry.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::clock::ClockTime;
use crate::gateway::directory::{follow_gateways, register};
use crate::gateway::placing::{run_duty, DutyHandle};
use crate::gateway::run::Gateway;
use crate::platform::kv::{KvStore, StoreChange, WatchAnswer};
use crate::platform::manifest::decode_config;
use crate::platform::registry::{decode_entry, entry_id};
use crate::platform::{CONFIG_KEY, REGISTRY_PREFIX};
use crate::store::{prefix_end, PlatformAnswer, PlatformCall, PlatformItem, PlatformStore};

/// Longest wait of one question for a newer configuration, as a part of the bound within which a
/// revoked key stops working: its answer proves that there was none when it was asked, and a
/// proof counts as fresh for half the bound.
const CONFIG_WAIT_PART: f64 = 0.3;
/// The same where keys may lag, milliseconds.
const CONFIG_WAIT_MOST_MS: u64 = 5_000;
/// Longest wait of one question for changes of the registry, milliseconds.
pub(super) const REGISTRY_WAIT_MS: u64 = 20_000;
/// Pause between two questions for changes of the registry, as a part of the bound within which a
/// leaving upstream gets no new work: heartbeats change it all the time.
const REGISTRY_PAUSE_PART: f64 = 0.45;
/// Pause between two questions for changes of the gateways, milliseconds.
pub(super) const DIRECTORY_PAUSE_MS: u64 = 900;
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

/// Failures of the store in a row, logged at the first and at the return.
#[derive(Debug, Default)]
pub(super) struct StoreTrack {
    what: &'static str,
    failures: u32,
    failed_at: Option<ClockTime>,
}

impl StoreTrack {
    pub(super) fn new(what: &'static str) -> StoreTrack {
        StoreTrack {
            what,
            ..StoreTrack::default()
        }
    }

    pub(super) async fn failed(&mut self, now: ClockTime, error: &str) {
        if self.failures == 0 {
            spdlog::warn!("event=store_lost what={} error=\"{error}\"", self.what);
        }
        self.failures += 1;
        self.failed_at = Some(now);
        let pause = (RETRY_MS << self.failures.min(4)).min(RETRY_MOST_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }

    pub(super) fn answered(&mut self) {
        if self.failures > 0 {
            spdlog::info!(
                "event=store_back what={} failures={}",
                self.what,
                self.failures
            );
            self.failures = 0;
        }
    }

    /// How long a watch may wait for news, milliseconds: not at all after a failure, so that the
    /// store's return is known at once, also when nothing has changed.
    fn patience(&self, wait_ms: u64) -> u64 {
        match self.failures {
            0 => wait_ms,
            _ => 0,
        }
    }

    fn was_away(&self, now: ClockTime) -> bool {
        self.failed_at.is_some_and(|at| now.since(at) < AWAY_MS)
    }
}

/// Longest wait of one question for a newer configuration, milliseconds.
pub fn config_wait_ms(revoke_ms: Option<u64>) -> u64 {
    let part = revoke_ms.map(|bound| (bound as f64 * CONFIG_WAIT_PART) as u64);
    part.map_or(CONFIG_WAIT_MOST_MS, |wait| wait.min(CONFIG_WAIT_MOST_MS))
}

/// Pause between two questions for changes of the registry, milliseconds.
pub fn registry_pause_ms(leave_bound_ms: u64) -> u64 {
    (leave_bound_ms as f64 * REGISTRY_PAUSE_PART) as u64
}

async fn follow_config(gateway: Arc<Gateway>, store: KvStore) {
    let mut track = StoreTrack::new("config");
    let wait_ms = config_wait_ms(gateway.config.revoke_ms);
    let mut after: Option<u64> = None;
    loop {
        let asked = gateway.clock.now();
        let result = match after {
            None => read_config(&gateway, &store, asked).await,
            Some(revision) => {
                let wait_ms = track.patience(wait_ms);
                watch_config(&gateway, &store, asked, revision, wait_ms).await
            }
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
    wait_ms: u64,
) -> Result<Option<u64>, String> {
    match store.watch(CONFIG_KEY, after, wait_ms).await {
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
    let pause_ms = registry_pause_ms(gateway.config.leave_bound_ms);
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
                let pause = match starting {
                    true => pause_ms.min(REGISTRY_START_PAUSE_MS),
                    false => pause_ms,
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
