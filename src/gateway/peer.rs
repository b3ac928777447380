//! What other gateways say that they have in flight, so that all of them choose on one view of
//! the load without asking a counter.

use std::collections::HashMap;

use crate::clock::ClockTime;
use crate::gateway::upstream::{UntoldLoad, UpstreamKey, UpstreamTable};
use crate::wire::gen::{GatewayLoad, PipeLoad, UpstreamLoad};

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

/// What a peer says of a replica itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerNews {
    /// An engine named it as dead, so many milliseconds ago.
    NamedDead(UpstreamKey, u64),
    /// Its work takes so many times as long as usual.
    Pace(UpstreamKey, f64),
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
    peers: HashMap<String, ClockTime>,
    own_pipes: HashMap<PipeKey, u32>,
    peer_pipes: HashMap<(String, PipeKey), (u32, ClockTime)>,
}

/// Two failure domains, whichever way a chain crosses between them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PipeKey {
    low: String,
    high: String,
}

impl PipeKey {
    /// The pipe between two failure domains.
    pub fn between(one: &str, other: &str) -> PipeKey {
        PipeKey {
            low: one.min(other).to_owned(),
            high: one.max(other).to_owned(),
        }
    }
}

impl PeerTable {
    /// What all peers together have at an upstream.
    pub fn others(&self, key: UpstreamKey) -> UpstreamShare {
        self.sums.get(&key).copied().unwrap_or_default()
    }

    /// What all peers together are expected to have at an upstream by now. They choose on the same
    /// view, so that each of them has taken on about as much as this entry since its last word:
    /// without that, all of them fill the same room.
    pub fn expected(&self, key: UpstreamKey, untold: UntoldLoad) -> UpstreamShare {
        let told = self.others(key);
        let peers = self.peers.len() as f64;
        UpstreamShare {
            in_flight: (told.in_flight + untold.in_flight * peers).max(0.0),
            reserved: (told.reserved + untold.reserved * peers).max(0.0),
        }
    }

    /// Takes a peer's word. What it says of replicas themselves is returned.
    pub fn hear(
        &mut self,
        now: ClockTime,
        peer: &str,
        load: &GatewayLoad,
        table: &UpstreamTable,
    ) -> Vec<PeerNews> {
        let mut news = Vec::new();
        self.peers.insert(peer.to_owned(), now);
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
            if load.named_ago > 0 {
                let ago_ms = u64::from(load.named_ago - 1);
                news.push(PeerNews::NamedDead(key, ago_ms));
            }
            if load.pace_milli > 0 {
                let pace = f64::from(load.pace_milli) / 1_000.0;
                news.push(PeerNews::Pace(key, pace));
            }
            let share = UpstreamShare {
                in_flight: f64::from(load.in_flight),
                reserved: load.reserved as f64,
            };
            let heard = PeerShare { share, heard: now };
            self.shares.insert((peer.to_owned(), key), heard);
        }
        for pipe in &load.pipes {
            let key = PipeKey::between(&pipe.from, &pipe.to);
            self.peer_pipes
                .insert((peer.to_owned(), key), (pipe.in_flight, now));
        }
        self.sum(now);
        news
    }

    /// Requests of all gateways whose chains cross a pipe, each crossing counted.
    pub fn crossings(&self, pipe: &PipeKey) -> u32 {
        let peers = self.peer_pipes.iter().filter(|((_, key), _)| key == pipe);
        let others: u32 = peers.map(|(_, (count, _))| count).sum();
        others + self.own_pipes.get(pipe).copied().unwrap_or(0)
    }

    /// A request of this gateway crosses pipes.
    pub fn cross(&mut self, pipes: &[PipeKey]) {
        for pipe in pipes {
            *self.own_pipes.entry(pipe.clone()).or_default() += 1;
        }
    }

    /// It does not any more.
    pub fn uncross(&mut self, pipes: &[PipeKey]) {
        for pipe in pipes {
            if let Some(count) = self.own_pipes.get_mut(pipe) {
                *count = count.saturating_sub(1);
            }
        }
    }

    fn own_pipes(&self) -> Vec<PipeLoad> {
        let pipes = self.own_pipes.iter();
        pipes
            .map(|(key, count)| PipeLoad {
                from: key.low.clone(),
                to: key.high.clone(),
                in_flight: *count,
            })
            .collect()
    }

    /// Forgets what has become old.
    pub fn sum(&mut self, now: ClockTime) {
        self.shares
            .retain(|_, peer| now.since(peer.heard) < STALE_MS);
        self.peer_pipes
            .retain(|_, (_, heard)| now.since(*heard) < STALE_MS);
        self.peers.retain(|_, heard| now.since(*heard) < STALE_MS);
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
            let named_ago = record.named_ago(now);
            let pace = record.own_pace(now);
            let busy = record.in_flight > 0 || named_ago.is_some() || pace.is_some();
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
                pace_milli: pace.map_or(0, |pace| (pace * 1_000.0) as u32),
                named_ago: named_ago.map_or(0, |ago| u32::try_from(ago + 1).unwrap_or(u32::MAX)),
            });
        }
        self.told = told;
        let parts = loads.chunks(LOADS_MOST);
        let mut messages: Vec<GatewayLoad> = parts
            .map(|part| GatewayLoad {
                loads: part.to_vec(),
                pipes: Vec::new(),
            })
            .collect();
        if messages.is_empty() {
            messages.push(GatewayLoad::default());
        }
        messages[0].pipes = self.own_pipes();
        messages
    }
}
