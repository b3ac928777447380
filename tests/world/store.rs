//! In-memory fake of the platform's key-value store: transactions, leases and revisions.

#![allow(unreachable_pub, reason = "several test files include this module")]

use std::collections::{BTreeMap, HashMap};

use lynxcart::clock::ClockTime;
use lynxcart::store::{
    PlatformCompare, PlatformItem, PlatformRequest, PlatformResponse, PlatformWrite,
};

#[derive(Default)]
pub struct FakeStore {
    pub revision: u64,
    /// Number of successful transactions.
    pub transaction_count: u64,
    /// Item and lease of each key; the lease is 0 if the item has none.
    items: BTreeMap<String, (PlatformItem, i64)>,
    /// Time to live, in seconds, and time of expiry of each lease.
    leases: HashMap<i64, (i64, ClockTime)>,
    next_lease: i64,
}

impl FakeStore {
    pub fn apply(&mut self, now: ClockTime, request: &PlatformRequest) -> PlatformResponse {
        self.expire_leases(now);
        match request {
            PlatformRequest::Range { key, range_end } => PlatformResponse::Range {
                revision: self.revision,
                items: self.select(key, range_end),
            },
            PlatformRequest::Txn {
                compares,
                writes,
                reads,
            } => {
                let succeeded = compares.iter().all(|compare| self.compare_holds(compare));
                let mut items = Vec::new();
                if succeeded {
                    self.revision += 1;
                    self.transaction_count += 1;
                    writes.iter().for_each(|write| self.apply_write(write));
                } else {
                    items = reads.iter().flat_map(|key| self.select(key, "")).collect();
                }
                PlatformResponse::Txn {
                    succeeded,
                    revision: self.revision,
                    items,
                }
            }
            PlatformRequest::LeaseGrant { ttl_s } => {
                self.next_lease += 1;
                let expires_at = now + u64::try_from(*ttl_s).unwrap() * 1_000;
                self.leases.insert(self.next_lease, (*ttl_s, expires_at));
                PlatformResponse::Lease {
                    lease: self.next_lease,
                    ttl_s: *ttl_s,
                }
            }
            PlatformRequest::LeaseKeepAlive { lease } => {
                let ttl_s = match self.leases.get_mut(lease) {
                    Some((ttl_s, expires_at)) => {
                        *expires_at = now + u64::try_from(*ttl_s).unwrap() * 1_000;
                        *ttl_s
                    }
                    None => 0,
                };
                PlatformResponse::Lease {
                    lease: *lease,
                    ttl_s,
                }
            }
            PlatformRequest::LeaseRevoke { lease } => {
                self.remove_lease(*lease);
                PlatformResponse::Lease {
                    lease: *lease,
                    ttl_s: 0,
                }
            }
        }
    }

    fn expire_leases(&mut self, now: ClockTime) {
        let expired = self
            .leases
            .iter()
            .filter(|(_, (_, expires_at))| *expires_at <= now);
        let expired: Vec<i64> = expired.map(|(lease, _)| *lease).collect();
        expired
            .into_iter()
            .for_each(|lease| self.remove_lease(lease));
    }

    fn remove_lease(&mut self, lease: i64) {
        if self.leases.remove(&lease).is_some() {
            self.revision += 1;
            self.items.retain(|_, (_, item_lease)| *item_lease != lease);
        }
    }

    pub fn select(&self, key: &str, range_end: &str) -> Vec<PlatformItem> {
        let items = self.items.iter().filter(|(item_key, _)| match range_end {
            "" => item_key.as_str() == key,
            end => item_key.as_str() >= key && item_key.as_str() < end,
        });
        items.map(|(_, (item, _))| item.clone()).collect()
    }

    fn compare_holds(&self, compare: &PlatformCompare) -> bool {
        match compare {
            PlatformCompare::ModRevision(key, revision) => {
                self.items.get(key).map_or(0, |(item, _)| item.mod_revision) == *revision
            }
            PlatformCompare::CreateRevision(key, revision) => {
                self.items
                    .get(key)
                    .map_or(0, |(item, _)| item.create_revision)
                    == *revision
            }
            PlatformCompare::Value(key, value) => self
                .items
                .get(key)
                .is_some_and(|(item, _)| item.value == *value),
        }
    }

    fn apply_write(&mut self, write: &PlatformWrite) {
        match write {
            PlatformWrite::Put { key, value, lease } => {
                // The real service rejects a transaction with a put under an expired lease. Here
                // the transaction succeeds, but the put has no effect.
                if *lease != 0 && !self.leases.contains_key(lease) {
                    return;
                }
                let create_revision = self.items.get(key).map(|(item, _)| item.create_revision);
                let item = PlatformItem {
                    key: key.clone(),
                    value: value.clone(),
                    create_revision: create_revision.unwrap_or(self.revision),
                    mod_revision: self.revision,
                };
                self.items.insert(key.clone(), (item, *lease));
            }
            PlatformWrite::Delete { key, range_end } => {
                let keys: Vec<String> = self
                    .select(key, range_end)
                    .into_iter()
                    .map(|item| item.key)
                    .collect();
                keys.iter()
                    .for_each(|item_key| drop(self.items.remove(item_key)));
            }
        }
    }
}
