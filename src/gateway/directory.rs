//! Lets gateways find each other in the store.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::run::Gateway;
use crate::gateway::sync::{StoreTrack, DIRECTORY_PAUSE_MS, REGISTRY_WAIT_MS};
use crate::platform::kv::{KvStore, StoreChange, WatchAnswer};
use crate::platform::GATEWAY_PREFIX;
use crate::store::{
    prefix_end, PlatformAnswer, PlatformCall, PlatformItem, PlatformStore, PlatformWrite,
};

/// Time that a gateway's entry lives without renewal, seconds.
const GATEWAY_LEASE_S: i64 = 10;
/// Time between two renewals of a gateway's entry, milliseconds.
const GATEWAY_RENEW_MS: u64 = 3_000;

/// Keeps this gateway's address in the store under a lease.
pub(super) async fn register(gateway: Arc<Gateway>, store: KvStore) {
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
pub(super) async fn follow_gateways(gateway: Arc<Gateway>, store: KvStore) {
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
                tokio::time::sleep(Duration::from_millis(DIRECTORY_PAUSE_MS)).await;
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
