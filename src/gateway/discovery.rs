//! Discovery of other gateways through the store.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::run::Gateway;
use crate::gateway::sync::{StoreStatus, DISCOVERY_PAUSE_MS, REGISTRY_WATCH_MS};
use crate::platform::kv::{KvStore, StoreChange, WatchOutcome};
use crate::platform::GATEWAY_PREFIX;
use crate::store::{
    prefix_end, PlatformItem, PlatformRequest, PlatformResponse, PlatformStore, PlatformWrite,
};

/// Time to live of the lease on this gateway's registration, seconds.
const GATEWAY_LEASE_S: i64 = 10;
/// Interval between two renewals of the lease on this gateway's registration, milliseconds.
const GATEWAY_RENEW_MS: u64 = 3_000;

/// Keeps this gateway's address registered in the store under a lease.
pub(super) async fn register(gateway: Arc<Gateway>, store: KvStore) {
    let mut status = StoreStatus::new("gateway_entry");
    let mut lease = 0;
    loop {
        let result = match lease {
            0 => create_registration(&gateway, &store).await,
            lease => renew_lease(&store, lease).await,
        };
        match result {
            Ok(next) => {
                status.recover();
                lease = next;
                if lease != 0 {
                    tokio::time::sleep(Duration::from_millis(GATEWAY_RENEW_MS)).await;
                }
            }
            Err(error) => status.back_off(gateway.clock.now(), &error).await,
        }
    }
}

/// Writes this gateway's address under a new lease. Returns the id of the lease.
async fn create_registration(gateway: &Gateway, store: &KvStore) -> Result<i64, String> {
    let ttl_s = GATEWAY_LEASE_S;
    let lease = match store.send(PlatformRequest::LeaseGrant { ttl_s }).await {
        Ok(PlatformResponse::Lease { lease, .. }) if lease > 0 => lease,
        other => return Err(format!("could not get a lease: {other:?}")),
    };
    let request = PlatformRequest::Txn {
        compares: Vec::new(),
        writes: vec![PlatformWrite::Put {
            key: format!("{GATEWAY_PREFIX}{}", gateway.config.name),
            value: gateway.config.message_address.to_string().into_bytes(),
            lease,
        }],
        reads: Vec::new(),
    };
    match store.send(request).await {
        Ok(PlatformResponse::Txn {
            succeeded: true, ..
        }) => Ok(lease),
        other => Err(format!(
            "could not write the registration under {GATEWAY_PREFIX}: {other:?}"
        )),
    }
}

/// Renews a lease. Returns its id, or zero if the lease no longer exists.
async fn renew_lease(store: &KvStore, lease: i64) -> Result<i64, String> {
    match store.send(PlatformRequest::LeaseKeepAlive { lease }).await {
        Ok(PlatformResponse::Lease { ttl_s, .. }) => Ok(if ttl_s > 0 { lease } else { 0 }),
        other => Err(format!("could not renew lease {lease}: {other:?}")),
    }
}

/// Keeps the addresses of the other gateways up to date. While the store is unavailable, the
/// addresses read last stay in use.
pub(super) async fn follow_gateways(gateway: Arc<Gateway>, store: KvStore) {
    let mut status = StoreStatus::new("gateways");
    let mut known: HashMap<String, SocketAddr> = HashMap::new();
    let mut after_revision: Option<u64> = None;
    loop {
        let result = match after_revision {
            None => read_gateways(&store, &mut known).await,
            Some(revision) => watch_gateways(&store, &mut known, revision).await,
        };
        match result {
            Ok(next) => {
                status.recover();
                after_revision = next;
                let own = gateway.config.message_address;
                let others = known.values().copied().filter(|address| *address != own);
                let mut others: Vec<SocketAddr> = others.collect();
                others.sort_unstable();
                if gateway.state().peer_addresses != others {
                    spdlog::info!("event=gateways_updated known={}", others.len() + 1);
                    gateway.state().peer_addresses = others;
                }
                tokio::time::sleep(Duration::from_millis(DISCOVERY_PAUSE_MS)).await;
            }
            Err(error) => status.back_off(gateway.clock.now(), &error).await,
        }
    }
}

async fn read_gateways(
    store: &KvStore,
    known: &mut HashMap<String, SocketAddr>,
) -> Result<Option<u64>, String> {
    let request = PlatformRequest::Range {
        key: GATEWAY_PREFIX.to_owned(),
        range_end: prefix_end(GATEWAY_PREFIX),
    };
    match store.send(request).await {
        Ok(PlatformResponse::Range { revision, items }) => {
            known.clear();
            for item in &items {
                insert_gateway(known, item);
            }
            Ok(Some(revision))
        }
        Ok(other) => Err(format!("unexpected response: {other:?}")),
        Err(error) => Err(error.0),
    }
}

async fn watch_gateways(
    store: &KvStore,
    known: &mut HashMap<String, SocketAddr>,
    after_revision: u64,
) -> Result<Option<u64>, String> {
    match store
        .watch(GATEWAY_PREFIX, after_revision, REGISTRY_WATCH_MS)
        .await
    {
        Ok(WatchOutcome::Changes(changes, revision)) => {
            for change in &changes {
                match change {
                    StoreChange::Put(item) => insert_gateway(known, item),
                    StoreChange::Removed { key, .. } => {
                        known.remove(key);
                    }
                }
            }
            Ok(Some(revision.max(after_revision)))
        }
        Ok(WatchOutcome::Compacted) => Ok(None),
        Err(error) => Err(error.0),
    }
}

fn insert_gateway(known: &mut HashMap<String, SocketAddr>, item: &PlatformItem) {
    let address = std::str::from_utf8(&item.value)
        .ok()
        .and_then(|text| text.parse().ok());
    match address {
        Some(address) => {
            known.insert(item.key.clone(), address);
        }
        None => spdlog::warn!(
            "event=gateway_address_invalid key={} expected=ip:port",
            item.key
        ),
    }
}
