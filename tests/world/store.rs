//! A fake of the platform's key-value service.

#![allow(unreachable_pub, reason = "shared by test files")]

use std::collections::{BTreeMap, HashMap};

use lynxcart::clock::ClockTime;
use lynxcart::store::{PlatformAnswer, PlatformCall, PlatformCompare, PlatformItem, PlatformWrite};

#[derive(Default)]
pub struct FakeStore {
    pub revision: u64,
    pub writes: u64,
    items: BTreeMap<String, (PlatformItem, i64)>,
    leases: HashMap<i64, (i64, ClockTime)>,
    next_lease: i64,
}

impl FakeStore {
    pub fn apply(&mut self, now: ClockTime, call: &PlatformCall) -> PlatformAnswer {
        self.expire(now);
        match call {
            PlatformCall::Range { key, range_end } => PlatformAnswer::Range {
                revision: self.revision,
                items: self.select(key, range_end),
            },
            PlatformCall::Txn {
                compares,
                writes,
                reads,
            } => {
                let succeeded = compares.iter().all(|compare| self.holds(compare));
                let mut items = Vec::new();
                if succeeded {
                    self.revision += 1;
                    self.writes += 1;
                    writes.iter().for_each(|write| self.write(write));
                } else {
                    items = reads.iter().flat_map(|key| self.select(key, "")).collect();
                }
                PlatformAnswer::Txn {
                    succeeded,
                    revision: self.revision,
                    items,
                }
            }
            PlatformCall::LeaseGrant { ttl_s } => {
                self.next_lease += 1;
                let ends = now + u64::try_from(*ttl_s).unwrap() * 1_000;
                self.leases.insert(self.next_lease, (*ttl_s, ends));
                PlatformAnswer::Lease {
                    lease: self.next_lease,
                    ttl_s: *ttl_s,
                }
            }
            PlatformCall::LeaseKeepAlive { lease } => {
                let ttl_s = match self.leases.get_mut(lease) {
                    Some((ttl_s, ends)) => {
                        *ends = now + u64::try_from(*ttl_s).unwrap() * 1_000;
                        *ttl_s
                    }
                    None => 0,
                };
                PlatformAnswer::Lease {
                    lease: *lease,
                    ttl_s,
                }
            }
            PlatformCall::LeaseRevoke { lease } => {
                self.end_lease(*lease);
                PlatformAnswer::Lease {
                    lease: *lease,
                    ttl_s: 0,
                }
            }
        }
    }

    fn expire(&mut self, now: ClockTime) {
        let over = self.leases.iter().filter(|(_, (_, ends))| *ends <= now);
        let over: Vec<i64> = over.map(|(lease, _)| *lease).collect();
        over.into_iter().for_each(|lease| self.end_lease(lease));
    }

    fn end_lease(&mut self, lease: i64) {
        if self.leases.remove(&lease).is_some() {
            self.revision += 1;
            self.items.retain(|_, (_, held)| *held != lease);
        }
    }

    pub fn select(&self, key: &str, range_end: &str) -> Vec<PlatformItem> {
        let items = self.items.iter().filter(|(name, _)| match range_end {
            "" => name.as_str() == key,
            end => name.as_str() >= key && name.as_str() < end,
        });
        items.map(|(_, (item, _))| item.clone()).collect()
    }

    fn holds(&self, compare: &PlatformCompare) -> bool {
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

    fn write(&mut self, write: &PlatformWrite) {
        match write {
            PlatformWrite::Put { key, value, lease } => {
                // A put under a lease that has ended fails; here it leaves no key behind.
                if *lease != 0 && !self.leases.contains_key(lease) {
                    return;
                }
                let created = self.items.get(key).map(|(item, _)| item.create_revision);
                let item = PlatformItem {
                    key: key.clone(),
                    value: value.clone(),
                    create_revision: created.unwrap_or(self.revision),
                    mod_revision: self.revision,
                };
                self.items.insert(key.clone(), (item, *lease));
            }
            PlatformWrite::Delete { key, range_end } => {
                let names: Vec<String> = self
                    .select(key, range_end)
                    .into_iter()
                    .map(|i| i.key)
                    .collect();
                names.iter().for_each(|name| drop(self.items.remove(name)));
            }
        }
    }
}
