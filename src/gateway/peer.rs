//! What other gateways say that they have in flight, so that all of them choose on one view of
//! the load without asking a counter.

use std::collections::HashMap;

use crate::clock::ClockTime;
use crate::gateway::upstream::{UpstreamKey, UpstreamTable};
use crate::wire::gen::{GatewayLoad, UpstreamLoad};

/// Time between two messages to each peer, milliseconds.
pub const LOAD_MS: u64 = 250;
/// Time after which a peer's word is not counted any more, milliseconds.
const STALE_MS: u64 = 1_500;
/// Loads in one message, so that it fits one packet.
const LOADS_MOST: usize = 24;

/// Load at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamShare {
    /// Requests in flight.
    pub in_flight: f64,
    /// Tokens times layers that they are expected to need.
    pub reserved: f64,
}

#[derive(Debug)]
struct PeerShare {
    share: UpstreamShare,
    heard: ClockTime,
}

/// The loads of all peers.
#[derive(Debug, Default)]
pub struct PeerTable {
    shares: HashMap<(String, UpstreamKey), PeerShare>,
    sums: HashMap<UpstreamKey, UpstreamShare>,
    told: Vec<UpstreamKey>,
}

impl PeerTable {
    /// What all peers together have at an upstream.
    pub fn others(&self, key: UpstreamKey) -> UpstreamShare {
        self.sums.get(&key).copied().unwrap_or_default()
    }

    /// Takes a peer's word. Replicas that an engine named as dead to the peer are returned with
    /// the time for which they are passed over.
    pub fn hear(
        &mut self,
        now: ClockTime,
        peer: &str,
        load: &GatewayLoad,
        table: &UpstreamTable,
    ) -> Vec<(UpstreamKey, u64)> {
        let mut suspects = Vec::new();
        for load in &load.loads {
            let found = load
                .address
                .parse()
                .ok()
                .and_then(|address| table.at(address));
            // Another incarnation at that address is not the one that the peer speaks of.
            let Some(key) = found.filter(|key| table.get(*key).entry.born == load.born) else {
                continue;
            };
            if load.suspect_ms > 0 {
                suspects.push((key, u64::from(load.suspect_ms)));
            }
            let share = UpstreamShare {
                in_flight: f64::from(load.in_flight),
                reserved: load.reserved as f64,
            };
            let heard = PeerShare { share, heard: now };
            self.shares.insert((peer.to_owned(), key), heard);
        }
        self.sum(now);
        suspects
    }

    /// Forgets what has become old.
    pub fn sum(&mut self, now: ClockTime) {
        self.shares
            .retain(|_, peer| now.since(peer.heard) < STALE_MS);
        self.sums.clear();
        for ((_, key), peer) in &self.shares {
            let sum = self.sums.entry(*key).or_default();
            sum.in_flight += peer.share.in_flight;
            sum.reserved += peer.share.reserved;
        }
    }

    /// What to tell the peers now: all loads, and those that have ended since the last time.
    pub fn tell(&mut self, now: ClockTime, table: &UpstreamTable) -> Vec<GatewayLoad> {
        let mut loads = Vec::new();
        let mut told = Vec::new();
        for (key, record) in table.iter() {
            let suspect_ms = record.named_left(now);
            let busy = record.in_flight > 0 || suspect_ms > 0;
            if !busy && !self.told.contains(&key) {
                continue;
            }
            if busy {
                told.push(key);
            }
            loads.push(UpstreamLoad {
                address: record.entry.address.to_string(),
                born: record.entry.born,
                in_flight: record.in_flight,
                reserved: record.reserved as u64,
                suspect_ms: u32::try_from(suspect_ms).unwrap_or(u32::MAX),
            });
        }
        self.told = told;
        let parts = loads.chunks(LOADS_MOST);
        parts
            .map(|part| GatewayLoad {
                loads: part.to_vec(),
            })
            .collect()
    }
}
