//! Discovery of other gateways through the store.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::run::Gateway;
use crate::gateway::sync::{StoreStatus, DISCOVERY_PAUSE_MS, IDLE_WATCH_MS};
use crate::platform::kv::{KvStore, StoreChange, WatchOutcome};
use crate::platform::GATEWAY_PREFIX;
use crate::store::position::StorePosition;
use crate::store::{prefix_end, PlatformItem, PlatformRequest, PlatformResponse, PlatformWrite};

/// Time to live of the lease on this gateway's registration, seconds.
const GATEWAY_LEASE_S: i64 = 10;
/// Interval between two renewals of the lease on this gateway's registration, milliseconds.
const GATEWAY_RENEW_MS: u64 = 3_000;

/// Keeps this gateway's address registered in the store under a lease.
pub(super) async fn register(gateway: Arc<Gateway>, store: KvStore) {
    let mut status = StoreStatus::new("gateway_entry");
    let mut lease: Option<GatewayLease> = None;
    loop {
        let result = match lease {
            None => create_registration(&gateway, &store).await.map(Some),
            Some(lease) => renew_lease(&store, lease).await,
        };
        match result {
            Ok(next) => {
                status.recover();
                lease = next;
                if let Some(held) = lease {
                    let pause = tokio::time::sleep(Duration::from_millis(GATEWAY_RENEW_MS));
                    tokio::select! {
                        () = pause => {}
                        // The restored store may lack the lease, or give out its id again.
                        () = store.era_changed(held.era) => lease = None,
                    }
                }
            }
            Err(error) => status.back_off(gateway.clock.now(), &error).await,
        }
    }
}

/// The lease on this gateway's registration, and the era of the store that granted it.
#[derive(Clone, Copy, Debug)]
struct GatewayLease {
    id: i64,
    era: u64,
}

/// Writes this gateway's address under a new lease. Returns the lease.
async fn create_registration(gateway: &Gateway, store: &KvStore) -> Result<GatewayLease, String> {
    let ttl_s = GATEWAY_LEASE_S;
    let lease = match store.request(PlatformRequest::LeaseGrant { ttl_s }).await {
        Ok((PlatformResponse::Lease { lease, .. }, era)) if lease > 0 => {
            GatewayLease { id: lease, era }
        }
        other => return Err(format!("could not get a lease: {other:?}")),
    };
    let request = PlatformRequest::Txn {
        compares: Vec::new(),
        writes: vec![PlatformWrite::Put {
            key: format!("{GATEWAY_PREFIX}{}", gateway.config.name),
            value: gateway.config.message_address.to_string().into_bytes(),
            lease: lease.id,
        }],
        reads: Vec::new(),
    };
    match store.request(request).await {
        Ok((
            PlatformResponse::Txn {
                succeeded: true, ..
            },
            era,
        )) if era == lease.era => Ok(lease),
        other => Err(format!(
            "could not write the registration under {GATEWAY_PREFIX}: {other:?}"
        )),
    }
}

/// Renews a lease. Returns `None` if it no longer exists, or if the store was restored since it was
/// granted: the answer may then be about another lease with the same id.
async fn renew_lease(store: &KvStore, lease: GatewayLease) -> Result<Option<GatewayLease>, String> {
    let request = PlatformRequest::LeaseKeepAlive { lease: lease.id };
    match store.request(request).await {
        Ok((PlatformResponse::Lease { ttl_s, .. }, era)) => {
            Ok(Some(lease).filter(|lease| ttl_s > 0 && era == lease.era))
        }
        other => Err(format!("could not renew lease {}: {other:?}", lease.id)),
    }
}

/// Keeps the addresses of the other gateways up to date. While the store is unavailable, the
/// addresses read last stay in use.
pub(super) async fn follow_gateways(gateway: Arc<Gateway>, store: KvStore) {
    let mut status = StoreStatus::new("gateways");
    let mut known: HashMap<String, SocketAddr> = HashMap::new();
    let mut after: Option<StorePosition> = None;
    loop {
        let result = match after {
            None => read_gateways(&store, &mut known).await,
            Some(after) => watch_gateways(&store, &mut known, after).await,
        };
        match result {
            Ok(next) => {
                status.recover();
                after = next;
                let own = gateway.config.message_address;
                let others = known.values().copied().filter(|address| *address != own);
                let mut others: Vec<SocketAddr> = others.collect();
                others.sort_unstable();
                apply_gateways(&gateway, others);
                tokio::time::sleep(Duration::from_millis(DISCOVERY_PAUSE_MS)).await;
            }
            Err(error) => status.back_off(gateway.clock.now(), &error).await,
        }
    }
}

/// Puts the addresses of the other gateways in use.
fn apply_gateways(gateway: &Gateway, others: Vec<SocketAddr>) {
    let mut state = gateway.state();
    state.peers_read = true;
    let now = gateway.clock.now();
    state.permits.set_registered(now, &others);
    if state.peer_addresses != others {
        spdlog::info!("event=gateways_updated known={}", others.len() + 1);
        state.peer_addresses = others;
    }
}

async fn read_gateways(
    store: &KvStore,
    known: &mut HashMap<String, SocketAddr>,
) -> Result<Option<StorePosition>, String> {
    let request = PlatformRequest::Range {
        key: GATEWAY_PREFIX.to_owned(),
        range_end: prefix_end(GATEWAY_PREFIX),
    };
    match store.request(request).await {
        Ok((PlatformResponse::Range { revision, items }, era)) => {
            known.clear();
            for item in &items {
                insert_gateway(known, item);
            }
            Ok(Some(StorePosition::new(era, revision)))
        }
        Ok(other) => Err(format!("unexpected response: {other:?}")),
        Err(error) => Err(error.0),
    }
}

async fn watch_gateways(
    store: &KvStore,
    known: &mut HashMap<String, SocketAddr>,
    after: StorePosition,
) -> Result<Option<StorePosition>, String> {
    match store.watch(GATEWAY_PREFIX, after, IDLE_WATCH_MS).await {
        Ok(WatchOutcome::Changes(changes, position)) => {
            for change in &changes {
                match change {
                    StoreChange::Put(item) => insert_gateway(known, item),
                    StoreChange::Removed { key, .. } => {
                        known.remove(key);
                    }
                }
            }
            Ok(Some(position))
        }
        Ok(WatchOutcome::Compacted | WatchOutcome::Restored) => Ok(None),
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
