//! Peer table of an entry: a bounded random sample of the other entries, with the time at which
//! each was last seen.
//!
//! Gossip between overlapping samples reaches every entry. The entries that rank first by
//! rendezvous hashing read the configuration from the platform for all others; they are never
//! evicted from a full table.

use std::collections::BTreeMap;

use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

use crate::clock::ClockTime;
use crate::util::rendezvous_pick;
use crate::wire::gen::PeerAge;

/// Maximum number of peers in the table.
pub const MAX_PEERS: usize = 32;
/// Number of random peers listed in a digest, in addition to the configuration readers.
const RANDOM_DIGEST_PEERS: usize = 4;
/// Time since a peer was last seen after which it is removed, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 60_000;
/// Number of entries that read the configuration from the platform; the others receive it by
/// gossip.
const CONFIG_READERS: usize = 3;

/// State of one peer.
#[derive(Clone, Copy, Debug)]
struct PeerRecord {
    /// Latest time at which any entry received a message from the peer.
    last_seen: ClockTime,
    /// Configuration revision that the peer last reported to this entry; zero before the first
    /// report.
    config_revision: u64,
}

/// The other entries known to one entry.
#[derive(Debug)]
pub struct PeerTable {
    address: String,
    seeds: Vec<String>,
    records: BTreeMap<String, PeerRecord>,
}

impl PeerTable {
    /// Creates an empty table for the entry at `address`. `seeds` are the message addresses of the
    /// peers listed in its settings.
    pub fn new(address: String, seeds: Vec<String>) -> PeerTable {
        PeerTable {
            address,
            seeds,
            records: BTreeMap::new(),
        }
    }

    /// Message addresses of the peers in the table, which were seen recently.
    pub fn active_addresses(&self) -> Vec<String> {
        self.records.keys().cloned().collect()
    }

    /// Message addresses of all known peers: those in the table and those listed in the settings.
    pub fn known_addresses(&self) -> Vec<String> {
        let mut known_addresses = self.active_addresses();
        for seed in &self.seeds {
            if *seed != self.address && !known_addresses.contains(seed) {
                known_addresses.push(seed.clone());
            }
        }
        known_addresses
    }

    /// Message addresses of the peers in the table and of this entry.
    pub fn active_with_self(&self) -> Vec<String> {
        let mut addresses = self.active_addresses();
        addresses.push(self.address.clone());
        addresses
    }

    /// Configuration revision that each peer last reported, by message address.
    pub fn config_revisions(&self) -> BTreeMap<String, u64> {
        let records = self.records.iter();
        records
            .map(|(address, record)| (address.clone(), record.config_revision))
            .collect()
    }

    /// Whether this entry is a configuration reader, according to its own table.
    pub fn is_config_reader(&self) -> bool {
        self.config_readers().contains(&self.address)
    }

    /// Records a message from a peer and the configuration revision reported in it.
    pub fn record_contact(
        &mut self,
        now: ClockTime,
        from: &str,
        config_revision: u64,
        rng: &mut Pcg64Mcg,
    ) {
        if !self.records.contains_key(from) {
            self.evict_if_full(rng);
        }
        let record = PeerRecord {
            last_seen: now,
            config_revision,
        };
        self.records.insert(from.to_owned(), record);
    }

    /// Merges a peer reported by another entry, with the time since it was last seen.
    pub fn merge_peer(&mut self, now: ClockTime, reported: PeerAge, rng: &mut Pcg64Mcg) {
        if reported.address == self.address || reported.age_ms >= PEER_TIMEOUT_MS {
            return;
        }
        let last_seen = now - reported.age_ms;
        if let Some(record) = self.records.get_mut(&reported.address) {
            record.last_seen = record.last_seen.max(last_seen);
            return;
        }
        self.evict_if_full(rng);
        let record = PeerRecord {
            last_seen,
            config_revision: 0,
        };
        self.records.insert(reported.address, record);
    }

    /// Removes the peers that no entry is known to have seen within the timeout.
    pub fn remove_silent(&mut self, now: ClockTime) {
        self.records
            .retain(|_, record| now.since(record.last_seen) < PEER_TIMEOUT_MS);
    }

    /// Selects the peers to list in a digest, with the time since each was last seen: the
    /// configuration readers and a few others at random.
    pub fn sample(&self, now: ClockTime, rng: &mut Pcg64Mcg) -> Vec<PeerAge> {
        let mut selected = self.config_readers();
        selected.retain(|address| *address != self.address);
        let mut others = self.active_addresses();
        others.retain(|address| !selected.contains(address));
        selected.extend(others.choose_multiple(rng, RANDOM_DIGEST_PEERS).cloned());
        let peer_ages = selected.into_iter().filter_map(|address| {
            let age_ms = now.since(self.records.get(&address)?.last_seen);
            Some(PeerAge { address, age_ms })
        });
        peer_ages.collect()
    }

    fn config_readers(&self) -> Vec<String> {
        let addresses = self.active_with_self();
        let picked = rendezvous_pick("readers", &addresses, CONFIG_READERS);
        picked.into_iter().map(str::to_owned).collect()
    }

    fn evict_if_full(&mut self, rng: &mut Pcg64Mcg) {
        if self.records.len() < MAX_PEERS {
            return;
        }
        let readers = self.config_readers();
        let mut others = self.active_addresses();
        others.retain(|address| !readers.contains(address));
        if let Some(evicted) = others.choose(rng) {
            self.records.remove(evicted);
        }
    }
}
