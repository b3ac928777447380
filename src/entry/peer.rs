//! The other entries that one entry knows: a bounded, random view, with the age of each.
//!
//! What one entry knows reaches all through the views of the others. The entries that rank first
//! read the platform for the rest; a view never drops them for want of room.

use std::collections::BTreeMap;

use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

use crate::clock::ClockTime;
use crate::util::rendezvous_pick;
use crate::wire::gen::PeerAge;

/// Peers known at most.
pub const PEER_VIEW: usize = 32;
/// Peers named in one exchange, besides those that rank first.
const DIGEST_PEERS: usize = 4;
/// An entry that nobody has heard for this long is no peer, milliseconds.
const FORGET_MS: u64 = 60_000;
/// Entries that read the platform; the others learn from them.
const READER_COUNT: usize = 3;

/// What is known of another entry.
#[derive(Clone, Copy, Debug)]
struct PeerRecord {
    heard: ClockTime,
    config_revision: u64,
}

/// The view of one entry.
#[derive(Debug)]
pub struct PeerTable {
    address: String,
    seeds: Vec<String>,
    records: BTreeMap<String, PeerRecord>,
}

impl PeerTable {
    /// The view of the entry at `address`, which knows but the seeds of its settings.
    pub fn new(address: String, seeds: Vec<String>) -> PeerTable {
        PeerTable {
            address,
            seeds,
            records: BTreeMap::new(),
        }
    }

    /// Other entries heard of lately, by mail address.
    pub fn heard(&self) -> Vec<String> {
        self.records.keys().cloned().collect()
    }

    /// The entries that may be there: those heard of, and those of the settings.
    pub fn known(&self) -> Vec<String> {
        let mut known = self.heard();
        for seed in &self.seeds {
            if *seed != self.address && !known.contains(seed) {
                known.push(seed.clone());
            }
        }
        known
    }

    /// The entries heard of, this one among them.
    pub fn with_self(&self) -> Vec<String> {
        let mut nodes = self.heard();
        nodes.push(self.address.clone());
        nodes
    }

    /// The config revision that each other entry last said it has in force.
    pub fn revisions(&self) -> BTreeMap<String, u64> {
        let records = self.records.iter();
        records
            .map(|(address, record)| (address.clone(), record.config_revision))
            .collect()
    }

    /// Whether this entry is one of those that read the platform.
    pub fn is_reader(&self) -> bool {
        self.first_readers().contains(&self.address)
    }

    /// Takes in the word of an entry itself.
    pub fn hear(&mut self, now: ClockTime, from: &str, config_revision: u64, rng: &mut Pcg64Mcg) {
        if !self.records.contains_key(from) {
            self.make_room(rng);
        }
        let record = PeerRecord {
            heard: now,
            config_revision,
        };
        self.records.insert(from.to_owned(), record);
    }

    /// Takes in an entry that another has heard of, and when.
    pub fn learn(&mut self, now: ClockTime, told: PeerAge, rng: &mut Pcg64Mcg) {
        if told.address == self.address || told.age_ms >= FORGET_MS {
            return;
        }
        let heard = now - told.age_ms;
        if let Some(record) = self.records.get_mut(&told.address) {
            record.heard = record.heard.max(heard);
            return;
        }
        self.make_room(rng);
        let record = PeerRecord {
            heard,
            config_revision: 0,
        };
        self.records.insert(told.address, record);
    }

    /// Forgets the entries that nobody has heard for long.
    pub fn forget_silent(&mut self, now: ClockTime) {
        self.records
            .retain(|_, record| now.since(record.heard) < FORGET_MS);
    }

    /// A few entries to tell another of: those that rank first, and some at random.
    pub fn some(&self, now: ClockTime, rng: &mut Pcg64Mcg) -> Vec<PeerAge> {
        let mut told = self.first_readers();
        told.retain(|address| *address != self.address);
        let mut others = self.heard();
        others.retain(|address| !told.contains(address));
        told.extend(others.choose_multiple(rng, DIGEST_PEERS).cloned());
        let ages = told.into_iter().filter_map(|address| {
            let age_ms = now.since(self.records.get(&address)?.heard);
            Some(PeerAge { address, age_ms })
        });
        ages.collect()
    }

    fn first_readers(&self) -> Vec<String> {
        let nodes = self.with_self();
        let first = rendezvous_pick("readers", &nodes, READER_COUNT);
        first.into_iter().map(str::to_owned).collect()
    }

    fn make_room(&mut self, rng: &mut Pcg64Mcg) {
        if self.records.len() < PEER_VIEW {
            return;
        }
        let readers = self.first_readers();
        let mut others = self.heard();
        others.retain(|address| !readers.contains(address));
        if let Some(victim) = others.choose(rng) {
            self.records.remove(victim);
        }
    }
}
