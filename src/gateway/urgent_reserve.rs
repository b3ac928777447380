//! Room of a service that is held back for requests more urgent than the one that looks for it.
//!
//! This answers the load of more requests than the replicas have KV memory for. Streams end all the
//! time, so a few places held back suffice for the urgent to find room at once, at any gateway: what
//! they ask for until all gateways know of it. Where no urgent request comes, nothing is held back.

use std::collections::HashMap;

use crate::clock::ClockTime;
use crate::gateway::average_rate::AverageRate;
use crate::gateway::peer::LOAD_INTERVAL_MS;
use crate::wire::gen::RoomDemand;

/// Time for which room is held back at the present rate, milliseconds: a load report tells all
/// gateways what was filled since the one before.
const RESERVE_MS: f64 = LOAD_INTERVAL_MS as f64;
/// As [`RESERVE_MS`], for a request that can only be answered late: while it runs, it would slow down
/// those that are in time.
const LATE_RESERVE_MS: f64 = 2_000.0;
/// Upper bound of the part of a service's room that is held back.
const MAX_RESERVE: f64 = 0.3;
/// Age from which a peer's rates no longer count, milliseconds.
const PEER_TTL_MS: u64 = 1_500;
/// Number of priorities told apart. Requests with a larger number count as the last.
const PRIORITIES: usize = 10;
/// Upper bound of the services and priorities in one report of a peer.
const MAX_DEMANDS: usize = 64;

/// What a peer's callers ask for, as it reported last.
#[derive(Clone, Debug)]
struct PeerDemand {
    /// Service, priority and tokens a second.
    rates: Vec<(String, u8, f64)>,
    received_at: ClockTime,
}

/// What the callers of all gateways ask for, by service and priority.
#[derive(Clone, Debug, Default)]
pub struct UrgentReserve {
    own: HashMap<String, [AverageRate; PRIORITIES]>,
    peers: HashMap<String, PeerDemand>,
}

fn level(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

impl UrgentReserve {
    /// Records that a caller of this gateway asks for room for `tokens` tokens at a service.
    pub fn record(&mut self, now: ClockTime, service: &str, priority: u8, tokens: f64) {
        if !self.own.contains_key(service) {
            self.own.insert(service.to_owned(), Default::default());
        }
        if let Some(rates) = self.own.get_mut(service) {
            rates[level(priority)].add(now, tokens);
        }
    }

    /// Part of the room of a service, for `capacity` tokens in all, that is held back from a request
    /// of this priority. `None` is a request that can only be answered late, from which room is held
    /// back for all others.
    pub fn fraction(
        &self,
        now: ClockTime,
        service: &str,
        priority: Option<u8>,
        capacity: f64,
    ) -> f64 {
        let level = priority.map_or(PRIORITIES, level);
        let own = self.own.get(service);
        let own = own.map_or(0.0, |rates| {
            rates[..level].iter().map(|rate| rate.per_s(now)).sum()
        });
        let peers = self.peers.values();
        let fresh = peers.filter(|peer| now.since(peer.received_at) < PEER_TTL_MS);
        let reported = fresh.flat_map(|peer| &peer.rates);
        let from_peers: f64 = reported
            .filter(|(name, priority, _)| name == service && usize::from(*priority) < level)
            .map(|(_, _, rate)| *rate)
            .sum();
        let reserve_ms = match priority {
            Some(_) => RESERVE_MS,
            None => LATE_RESERVE_MS,
        };
        let held = (own + from_peers) * reserve_ms / 1_000.0 / capacity.max(1.0);
        let held = held.min(MAX_RESERVE);
        assert!(held >= 0.0, "a negative part of the room is held back");
        held
    }

    /// Applies a peer's report.
    pub fn apply_report(&mut self, now: ClockTime, peer: &str, demands: &[RoomDemand]) {
        self.peers
            .retain(|_, peer| now.since(peer.received_at) < PEER_TTL_MS);
        let demands = demands.iter().take(MAX_DEMANDS);
        let rates = demands.map(|demand| {
            let priority = u8::try_from(demand.priority).unwrap_or(u8::MAX);
            let per_s = f64::from(demand.tokens_per_second);
            (demand.service.clone(), priority, per_s)
        });
        let report = PeerDemand {
            rates: rates.collect(),
            received_at: now,
        };
        self.peers.insert(peer.to_owned(), report);
    }

    /// The rates to tell the peers, and forgets services that nobody asks for any more.
    pub fn take_report(&mut self, now: ClockTime) -> Vec<RoomDemand> {
        let mut demands = Vec::new();
        self.own.retain(|service, rates| {
            let before = demands.len();
            for (priority, rate) in (0..).zip(rates.iter()) {
                let per_second = rate.per_s(now) as u32;
                if per_second > 0 {
                    demands.push(RoomDemand {
                        service: service.clone(),
                        priority,
                        tokens_per_second: per_second,
                    });
                }
            }
            demands.len() > before
        });
        demands.truncate(MAX_DEMANDS);
        demands
    }
}
