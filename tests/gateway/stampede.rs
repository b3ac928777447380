//! Many gateways that hear of each other's load four times a second, at more load than the fleet
//! holds: none of them may fill what the others fill as well.
//!
//! The load: 300 requests/s that run for 4 s each, at twelve gateways before 56 replicas.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::chain::{choose_chain, ChainHop, ChainNeed};
use lynxcart::gateway::peer::{PeerTable, LOAD_MS};
use lynxcart::gateway::upstream::UpstreamTable;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::fixture::{large_engine, large_placed, SERVICE};

const GATEWAYS: u64 = 12;
const REQUESTS_PER_S: u64 = 300;
const RUN_MS: u64 = 4_000;
const LENGTH_MS: u64 = 10_000;
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
    fn finish(&mut self, now: ClockTime) {
        let running = std::mem::take(&mut self.running);
        for (ends, chain) in running {
            if now < ends {
                self.running.push((ends, chain));
                continue;
            }
            for hop in chain {
                let tokens = (PROMPT + ANSWER) * f64::from(hop.layers.len());
                self.table.end(hop.upstream, tokens);
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

#[test]
fn gateways_that_hear_of_each_other_late_do_not_fill_the_same_room() {
    let engine = large_engine();
    let mut entries: Vec<Entry> = (0..GATEWAYS)
        .map(|_| Entry {
            table: large_placed(),
            peers: PeerTable::default(),
            running: Vec::new(),
        })
        .collect();
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let (mut admitted, mut asked, mut fullest) = (0, 0, 0.0_f64);
    let step_ms = 10;
    for step in 0..LENGTH_MS / step_ms {
        let now = ClockTime(10_000 + step * step_ms);
        for (from, phase) in (0..GATEWAYS)
            .map(|number| number * LOAD_MS / GATEWAYS)
            .enumerate()
        {
            if (step * step_ms) % LOAD_MS / step_ms == phase / step_ms {
                tell(&mut entries, from, now);
            }
        }
        for _ in 0..REQUESTS_PER_S * step_ms / 1_000 {
            asked += 1;
            let entry = &mut entries[rng.random_range(0..GATEWAYS as usize)];
            entry.finish(now);
            let need = ChainNeed {
                now,
                service: SERVICE,
                engine: &engine,
                prompt: PROMPT,
                answer: ANSWER,
                domain: "a",
                avoid: &[],
                first: None,
                held: &[],
                peers: &entry.peers,
            };
            let Some(chain) = choose_chain(&entry.table, &need, &mut rng) else {
                continue;
            };
            admitted += 1;
            for hop in &chain {
                let tokens = (PROMPT + ANSWER) * f64::from(hop.layers.len());
                entry.table.begin(hop.upstream, tokens);
            }
            entry.running.push((now + RUN_MS, chain));
        }
        for entry in &mut entries {
            entry.finish(now);
        }
        for (key, record) in entries[0].table.iter() {
            let kind = engine.kind(&record.entry.kind).unwrap();
            let room = engine.room(kind, record.entry.layers.len());
            let reserved: f64 = entries
                .iter()
                .map(|entry| entry.table.get(key).reserved)
                .sum();
            fullest = fullest.max(reserved / room);
        }
    }
    assert!(
        fullest <= OVER_MOST,
        "a replica was filled to {fullest:.2} of its memory"
    );
    // The fleet holds some 900 requests at once: most of what is asked is served all the same.
    assert!(admitted * 2 > asked, "{admitted} of {asked} admitted");
}
