//! Keeps this gateway's configuration and upstream table up to date with the store, and starts the
//! other tasks that use the store.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, Mutex};

use crate::clock::ClockTime;
use crate::gateway::discovery::{follow_gateways, register};
use crate::gateway::doubt::ask_doubted;
use crate::gateway::notice::{follow_notices, read_notices, write_notices};
use crate::gateway::placement_runner::{run_placement, PlacementHandle};
use crate::gateway::run::Gateway;
use crate::gateway::state::ConfigProof;
use crate::gateway::task::spawn_lasting;
use crate::platform::kv::{KvStore, StoreChange, WatchOutcome};
use crate::platform::registry::{decode_entry, entry_id};
use crate::platform::serving_config::decode_config;
use crate::platform::{CONFIG_KEY, REGISTRY_PREFIX};
use crate::store::position::StorePosition;
use crate::store::{prefix_end, PlatformItem, PlatformRequest, PlatformResponse};

/// Longest wait of one configuration watch, as a fraction of `revoke_ms`, the bound within which a
/// revoked key stops working. The response proves that no newer configuration existed when the
/// watch was sent, and this proof counts as fresh for half of `revoke_ms`.
const CONFIG_WATCH_FRACTION: f64 = 0.3;
/// Upper bound of the wait of one configuration watch, milliseconds. It is the only bound where
/// `revoke_ms` is not set.
const MAX_CONFIG_WATCH_MS: u64 = 5_000;
/// Longest wait of one watch on the gateways, the notices or the placement lease, milliseconds. A
/// connection that has gone silent is noticed only after it.
pub(super) const IDLE_WATCH_MS: u64 = 5_000;
/// Upper bound of the wait of one registry watch, milliseconds. The store allows 30 s.
const MAX_REGISTRY_WATCH_MS: u64 = 20_000;
/// Pause between two registry watches, and longest wait of one, as a fraction of `leave_bound_ms`, the
/// time after which a draining upstream must get no new requests. Without a pause each watch would
/// return at once while heartbeats change the registry.
const REGISTRY_PAUSE_FRACTION: f64 = 0.45;
/// Pause between two watches on the addresses of the gateways, milliseconds.
pub(super) const DISCOVERY_PAUSE_MS: u64 = 900;
/// Upper bound of the pause between two registry watches while upstreams start, milliseconds.
const MAX_STARTUP_PAUSE_MS: u64 = 400;
/// Time from the start of this process for which upstreams count as starting, milliseconds.
const STARTUP_MS: u64 = 8_000;
/// Half of the pause after the first failed store request, milliseconds. Each further failure in a
/// row doubles the pause, up to [`MAX_RETRY_MS`].
const RETRY_BASE_MS: u64 = 80;
/// Longest pause after a failed store request, milliseconds.
const MAX_RETRY_MS: u64 = 640;
/// After a failed store request or a restore of the store, milliseconds: for this time a removed
/// registry entry may have expired only because its upstream could not reach the store to renew it.
const EXPIRY_DOUBT_MS: u64 = 5_000;

/// Starts the tasks that read the configuration, the registry and the gateways' addresses from the
/// store, register this gateway, and run the placement controller.
pub fn start(gateway: Arc<Gateway>, store: KvStore) -> PlacementHandle {
    let (config_gateway, config_store) = (gateway.clone(), store.clone());
    spawn_lasting("config", move || {
        follow_config(config_gateway.clone(), config_store.clone())
    });
    let (registry_gateway, registry_store) = (gateway.clone(), store.clone());
    spawn_lasting("registry", move || {
        follow_registry(registry_gateway.clone(), registry_store.clone())
    });
    let (own_gateway, own_store) = (gateway.clone(), store.clone());
    spawn_lasting("registration", move || {
        register(own_gateway.clone(), own_store.clone())
    });
    let (other_gateway, other_store) = (gateway.clone(), store.clone());
    spawn_lasting("gateways", move || {
        follow_gateways(other_gateway.clone(), other_store.clone())
    });
    let (follow_gateway, follow_store) = (gateway.clone(), store.clone());
    spawn_lasting("notices", move || {
        follow_notices(follow_gateway.clone(), follow_store.clone())
    });
    let doubt_gateway = gateway.clone();
    spawn_lasting("doubt", move || ask_doubted(doubt_gateway.clone()));
    let (notice_gateway, notice_store) = (gateway.clone(), store.clone());
    spawn_lasting("notice_writer", move || {
        write_notices(notice_gateway.clone(), notice_store.clone())
    });
    let (release_sender, release_receiver) = mpsc::channel(1);
    let release_receiver = Arc::new(Mutex::new(release_receiver));
    spawn_lasting("placement", move || {
        run_placement(gateway.clone(), store.clone(), release_receiver.clone())
    });
    PlacementHandle(release_sender)
}

/// Counts consecutive failed store requests of one task. Logs the first failure and the recovery.
#[derive(Debug, Default)]
pub(super) struct StoreStatus {
    target: &'static str,
    failures: u32,
    failed_at: Option<ClockTime>,
}

impl StoreStatus {
    pub(super) fn new(target: &'static str) -> StoreStatus {
        StoreStatus {
            target,
            ..StoreStatus::default()
        }
    }

    /// Counts a failure, then waits before the next request.
    pub(super) async fn back_off(&mut self, now: ClockTime, error: &str) {
        if self.failures == 0 {
            spdlog::warn!(
                "event=store_unavailable what={} error=\"{error}\"",
                self.target
            );
        }
        self.failures += 1;
        self.failed_at = Some(now);
        let pause = (RETRY_BASE_MS << self.failures.min(4)).min(MAX_RETRY_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }

    /// Resets the count of failures.
    pub(super) fn recover(&mut self) {
        if self.failures > 0 {
            spdlog::info!(
                "event=store_recovered what={} failures={}",
                self.target,
                self.failures
            );
            self.failures = 0;
        }
    }

    /// How long a watch may wait for changes, milliseconds: `wait_ms`, or zero after a failure, so
    /// that the recovery of the store is noticed at once even if nothing has changed.
    fn watch_wait_ms(&self, wait_ms: u64) -> u64 {
        match self.failures {
            0 => wait_ms,
            _ => 0,
        }
    }

    /// Records that the store was restored from an older copy, in which entries may be missing.
    pub(super) fn note_restore(&mut self, now: ClockTime) {
        self.failed_at = Some(now);
    }

    /// Whether a request failed, or the store was restored, within the last [`EXPIRY_DOUBT_MS`].
    fn failed_recently(&self, now: ClockTime) -> bool {
        self.failed_at
            .is_some_and(|at| now.since(at) < EXPIRY_DOUBT_MS)
    }
}

/// Longest wait of one configuration watch, milliseconds. `revoke_ms` is the time within which a
/// revoked key must stop working, or `None` if there is no bound.
pub fn config_wait_ms(revoke_ms: Option<u64>) -> u64 {
    let limit = revoke_ms.map(|bound| (bound as f64 * CONFIG_WATCH_FRACTION) as u64);
    limit.map_or(MAX_CONFIG_WATCH_MS, |wait| wait.min(MAX_CONFIG_WATCH_MS))
}

/// Pause between two registry watches, milliseconds. `leave_bound_ms` is the time after which a
/// draining upstream must get no new requests.
pub fn registry_pause_ms(leave_bound_ms: u64) -> u64 {
    (leave_bound_ms as f64 * REGISTRY_PAUSE_FRACTION) as u64
}

/// How far the configuration was followed.
#[derive(Clone, Copy, Debug)]
struct ConfigCursor {
    /// Position from which the next watch continues.
    position: StorePosition,
    /// Version of the configuration that the store has there; zero if it has none, or one that could
    /// not be decoded, with which keys may have been revoked.
    version: u64,
}

async fn follow_config(gateway: Arc<Gateway>, store: KvStore) {
    let mut status = StoreStatus::new("config");
    let wait_ms = config_wait_ms(gateway.config.revoke_ms);
    let mut cursor: Option<ConfigCursor> = None;
    loop {
        let queried_at = gateway.clock.now();
        let result = match cursor {
            None => read_config(&gateway, &store, queried_at).await,
            Some(cursor) => {
                let wait_ms = status.watch_wait_ms(wait_ms);
                watch_config(&gateway, &store, queried_at, cursor, wait_ms).await
            }
        };
        match result {
            Ok(next) => {
                status.recover();
                cursor = next;
            }
            Err(error) => status.back_off(gateway.clock.now(), &error).await,
        }
    }
}

async fn read_config(
    gateway: &Gateway,
    store: &KvStore,
    queried_at: ClockTime,
) -> Result<Option<ConfigCursor>, String> {
    let request = PlatformRequest::Range {
        key: CONFIG_KEY.to_owned(),
        range_end: String::new(),
    };
    match store.request(request).await {
        Ok((PlatformResponse::Range { revision, items }, era)) => {
            let mut version = Some(0);
            for item in &items {
                version = apply_config_item(gateway, item);
            }
            confirm_config(gateway, queried_at, era, version);
            Ok(Some(ConfigCursor {
                position: StorePosition::new(era, revision),
                version: version.unwrap_or(0),
            }))
        }
        Ok(other) => Err(format!("unexpected response: {other:?}")),
        Err(error) => Err(error.0),
    }
}

async fn watch_config(
    gateway: &Gateway,
    store: &KvStore,
    queried_at: ClockTime,
    cursor: ConfigCursor,
    wait_ms: u64,
) -> Result<Option<ConfigCursor>, String> {
    let after = cursor.position;
    match store.watch(CONFIG_KEY, after, wait_ms).await {
        Ok(WatchOutcome::Changes(changes, position)) => {
            let mut version = Some(cursor.version);
            for change in &changes {
                if let StoreChange::Put(item) = change {
                    if item.key == CONFIG_KEY {
                        version = apply_config_item(gateway, item);
                    }
                }
            }
            confirm_config(gateway, queried_at, position.era, version);
            Ok(Some(ConfigCursor {
                position,
                version: version.unwrap_or(0),
            }))
        }
        Ok(WatchOutcome::Compacted) => {
            spdlog::info!("event=store_history_compacted what=config after={after}");
            Ok(None)
        }
        Ok(WatchOutcome::Restored) => {
            spdlog::info!("event=store_restored what=config after={after}");
            Ok(None)
        }
        Err(error) => Err(error.0),
    }
}

/// Renews the freshness proof after an answer that shows which version the store has. `version` is
/// `None` if it could not be decoded; the proof is then not renewed.
fn confirm_config(gateway: &Gateway, queried_at: ClockTime, era: u64, version: Option<u64>) {
    let Some(version) = version else {
        return;
    };
    let now = gateway.clock.now();
    let mut state = gateway.state();
    if let ConfigProof::Withheld { newest, is_new } =
        state.confirm_config(now, queried_at, era, version)
    {
        drop(state);
        if is_new {
            spdlog::warn!(
                "event=config_proof_withheld stored_version={version} newest_version={newest} era={era}"
            );
        }
    }
}

/// Decodes a configuration and applies it if it is newer. Returns its version, or `None` if it
/// cannot be decoded.
fn apply_config_item(gateway: &Gateway, item: &PlatformItem) -> Option<u64> {
    match decode_config(&item.value) {
        Ok(config) => {
            let (version, routes) = (config.version, config.routes.len());
            let applied = gateway.state().apply_config(config);
            spdlog::info!(
                "event=config_read version={version} routes={routes} revision={} applied={applied}",
                item.mod_revision
            );
            Some(version)
        }
        Err(error) => {
            spdlog::error!(
                "event=config_decode_failed key={CONFIG_KEY} revision={} error=\"{error:#}\"",
                item.mod_revision
            );
            None
        }
    }
}

async fn follow_registry(gateway: Arc<Gateway>, store: KvStore) {
    let mut status = StoreStatus::new("registry");
    let mut after: Option<StorePosition> = None;
    let started_at = gateway.clock.now();
    let pause_ms = registry_pause_ms(gateway.config.leave_bound_ms);
    loop {
        let result = match after {
            None => read_registry(&gateway, &store, &status).await,
            Some(after) => watch_registry(&gateway, &store, &mut status, after, pause_ms).await,
        };
        let now = gateway.clock.now();
        match result {
            Ok(next) => {
                status.recover();
                after = next;
                let starting = now.since(started_at) < STARTUP_MS;
                let pause = match starting {
                    true => pause_ms.min(MAX_STARTUP_PAUSE_MS),
                    false => pause_ms,
                };
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
            Err(error) => status.back_off(now, &error).await,
        }
        let state = &mut *gateway.state();
        state.upstreams.expire_missing(gateway.clock.now());
        let upstreams = &state.upstreams;
        state.permits.forget(now, |key| upstreams.get(key).gone);
        gateway.pool.sweep(now, |key| upstreams.get(key).gone);
    }
}

async fn read_registry(
    gateway: &Gateway,
    store: &KvStore,
    status: &StoreStatus,
) -> Result<Option<StorePosition>, String> {
    // Before any upstream is known, so that none gets a request that a notice forbids.
    read_notices(gateway, store).await?;
    let request = PlatformRequest::Range {
        key: REGISTRY_PREFIX.to_owned(),
        range_end: prefix_end(REGISTRY_PREFIX),
    };
    let (position, items) = match store.request(request).await {
        Ok((PlatformResponse::Range { revision, items }, era)) => {
            (StorePosition::new(era, revision), items)
        }
        Ok(other) => return Err(format!("unexpected response: {other:?}")),
        Err(error) => return Err(error.0),
    };
    let now = gateway.clock.now();
    let registered: HashSet<&str> = items
        .iter()
        .filter_map(|item| entry_id(&item.key))
        .collect();
    let removed: Vec<String> = gateway
        .state()
        .upstreams
        .known_positions()
        .into_iter()
        .filter(|(id, known)| !registered.contains(id.as_str()) && *known <= position)
        .map(|(id, _)| id)
        .collect();
    for id in removed {
        let removed_at = StorePosition::new(position.era, position.revision + 1);
        apply_removal(gateway, now, &id, removed_at, status);
    }
    for item in &items {
        apply_entry(gateway, now, position.era, item, EntrySource::Read);
    }
    spdlog::info!(
        "event=registry_read position={position} entries={}",
        items.len()
    );
    Ok(Some(position))
}

async fn watch_registry(
    gateway: &Gateway,
    store: &KvStore,
    status: &mut StoreStatus,
    after: StorePosition,
    wait_ms: u64,
) -> Result<Option<StorePosition>, String> {
    let wait_ms = wait_ms.min(MAX_REGISTRY_WATCH_MS);
    match store.watch(REGISTRY_PREFIX, after, wait_ms).await {
        Ok(WatchOutcome::Changes(changes, position)) => {
            let now = gateway.clock.now();
            let era = position.era;
            for change in &changes {
                match change {
                    StoreChange::Put(item) => {
                        apply_entry(gateway, now, era, item, EntrySource::Watch);
                    }
                    StoreChange::Removed { key, revision } => {
                        if let Some(id) = entry_id(key) {
                            let removed_at = StorePosition::new(era, *revision);
                            apply_removal(gateway, now, id, removed_at, status);
                        }
                    }
                }
            }
            Ok(Some(position))
        }
        Ok(WatchOutcome::Compacted) => {
            spdlog::info!("event=store_history_compacted what=registry after={after}");
            Ok(None)
        }
        Ok(WatchOutcome::Restored) => {
            spdlog::info!("event=store_restored what=registry after={after}");
            status.note_restore(gateway.clock.now());
            Ok(None)
        }
        Err(error) => Err(error.0),
    }
}

/// Where a registry entry comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntrySource {
    /// A full read, which may return what was written before a restore of the store.
    Read,
    /// A watch: the entry was just written.
    Watch,
}

fn apply_entry(
    gateway: &Gateway,
    now: ClockTime,
    era: u64,
    item: &PlatformItem,
    source: EntrySource,
) {
    match decode_entry(era, item) {
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
            let upstreams = &mut gateway.state().upstreams;
            let changed = match source {
                EntrySource::Read => upstreams.apply_read_entry(now, entry),
                EntrySource::Watch => upstreams.apply_entry(now, entry),
            };
            if changed {
                gateway.doubt_update.notify_one();
                spdlog::info!(
                    "event=upstream_updated {line} revision={}",
                    item.mod_revision
                );
            }
        }
        Err(error) => {
            spdlog::warn!(
                "event=registry_entry_decode_failed key={} error=\"{error:#}\"",
                item.key
            );
        }
    }
}

fn apply_removal(
    gateway: &Gateway,
    now: ClockTime,
    id: &str,
    position: StorePosition,
    status: &StoreStatus,
) {
    let after_failure = status.failed_recently(now);
    spdlog::info!(
        "event=registry_entry_removed id={id} position={position} after_store_failure={after_failure}"
    );
    gateway
        .state()
        .upstreams
        .remove_entry(now, id, position, after_failure);
}
