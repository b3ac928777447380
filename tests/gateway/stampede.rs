//! Many gateways that hear of each other's load four times a second, at more load than the fleet
//! holds: none of them may fill what the others fill as well.
//!
//! The load: 300 requests/s at twelve gateways before 56 replicas.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::catalog::EngineRule;
use lynxcart::gateway::chain::{choose_chain, ChainHop, ChainNeed};
use lynxcart::gateway::peer::{PeerTable, LOAD_MS};
use lynxcart::gateway::upstream::UpstreamTable;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::fixture::{large_engine, large_placed, SERVICE};

const GATEWAYS: u64 = 12;
const REQUESTS_PER_S: u64 = 300;
const LENGTH_MS: u64 = 8_000;
const STEP_MS: u64 = 10;
const PROMPT: f64 = 775.0;
const ANSWER: f64 = 214.0;
/// How far beyond its KV memory a replica may be asked to go: estimates of what requests need are
/// no better than that.
const OVER_MOST: f64 = 1.1;

#[derive(Debug)]
struct Entry {
    table: UpstreamTable,
    peers: PeerTable,
    running: Vec<(ClockTime, Vec<ChainHop>)>,
}

impl Entry {
    /// Takes a request on, if there is a chain for it.
    fn admit(
        &mut self,
        now: ClockTime,
        run_ms: u64,
        engine: &EngineRule,
        rng: &mut Pcg64Mcg,
    ) -> bool {
        self.finish(now);
        let need = ChainNeed {
            now,
            service: SERVICE,
            engine,
            prompt: PROMPT,
            answer: ANSWER,
            domain: "a",
            avoid: &[],
            first: None,
            held: &[],
            peers: &self.peers,
        };
        let Some(chain) = choose_chain(&self.table, &need, rng) else {
            return false;
        };
        for hop in &chain {
            let tokens = (PROMPT + ANSWER) * f64::from(hop.layers.len());
            self.table.add_request(hop.upstream, tokens);
        }
        self.running.push((now + run_ms, chain));
        true
    }

    fn finish(&mut self, now: ClockTime) {
        let running = std::mem::take(&mut self.running);
        for (ends, chain) in running {
            if now < ends {
                self.running.push((ends, chain));
                continue;
            }
            for hop in chain {
                let tokens = (PROMPT + ANSWER) * f64::from(hop.layers.len());
                self.table.remove_request(hop.upstream, tokens);
            }
        }
    }
}

/// Tells everybody what one of them has in flight.
fn tell(entries: &mut [Entry], from: usize, now: ClockTime) {
    let entry = &mut entries[from];
    let messages = entry.peers.tell(now, &entry.table);
    entry.table.told();
    for (to, entry) in entries.iter_mut().enumerate() {
        if to == from {
            continue;
        }
        entry.peers.sum(now);
        for message in &messages {
            let name = format!("10.9.9.{from}:1");
            entry.peers.hear(now, &name, message, &entry.table);
        }
    }
}

/// How a load went.
#[derive(Clone, Copy, Debug, Default)]
struct LoadResult {
    asked: u64,
    admitted: u64,
    /// The fullest that a replica was, as a part of its KV memory.
    fullest: f64,
}

/// Plays requests that run for `run_ms` each; `skew` is the part of them that reaches the first
/// gateway beside its equal share.
fn play(run_ms: u64, skew: f64) -> LoadResult {
    let engine = large_engine();
    let mut entries: Vec<Entry> = (0..GATEWAYS)
        .map(|_| Entry {
            table: large_placed(),
            peers: PeerTable::default(),
            running: Vec::new(),
        })
        .collect();
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let mut result = LoadResult::default();
    for step in 0..LENGTH_MS / STEP_MS {
        let now = ClockTime(10_000 + step * STEP_MS);
        for from in 0..GATEWAYS {
            let phase = from * LOAD_MS / GATEWAYS / STEP_MS;
            if step % (LOAD_MS / STEP_MS) == phase {
                tell(&mut entries, from as usize, now);
            }
        }
        for _ in 0..REQUESTS_PER_S * STEP_MS / 1_000 {
            let any = rng.random_range(0..entries.len());
            let at = if rng.random_bool(skew) { 0 } else { any };
            result.asked += 1;
            result.admitted += u64::from(entries[at].admit(now, run_ms, &engine, &mut rng));
        }
        for entry in &mut entries {
            entry.finish(now);
        }
        for (key, record) in entries[0].table.iter() {
            let kind = engine.kind(&record.entry.kind).unwrap();
            let room = engine.room(kind, record.entry.layers.len());
            let held = entries.iter().map(|entry| entry.table.get(key).reserved);
            result.fullest = result.fullest.max(held.sum::<f64>() / room);
        }
    }
    result
}

#[test]
fn gateways_that_hear_of_each_other_late_do_not_fill_the_same_room() {
    let result = play(4_000, 0.0);
    assert!(result.fullest <= OVER_MOST, "{result:?}");
    // The fleet holds some 900 requests at once: most of what is asked is served all the same.
    assert!(result.admitted * 2 > result.asked, "{result:?}");
}

#[test]
fn a_gateway_that_gets_more_than_its_share_refuses_nothing_while_there_is_room() {
    // Some 600 requests at once, a third of which come to one gateway.
    let result = play(2_000, 0.3);
    let refused = result.asked - result.admitted;
    assert!(refused * 100 < result.asked, "{result:?}");
}
