//! Guards against overfull replicas when many gateways choose with reports of each other's load
//! that are up to 250 ms old, at more load than the fleet can hold. Without an estimate of the
//! peers' unreported load, all gateways fill the same free capacity.
//!
//! The load: 300 requests/s at twelve gateways in front of 56 replicas.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::catalog::EngineRule;
use lynxcart::gateway::chain::{choose_chain, ChainHop, ChainQuery};
use lynxcart::gateway::peer::{PeerTable, LOAD_INTERVAL_MS};
use lynxcart::gateway::upstream::UpstreamTable;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::fixture::{large_engine, large_placed, SERVICE};

const GATEWAYS: u64 = 12;
const REQUESTS_PER_S: u64 = 300;
const DURATION_MS: u64 = 8_000;
const STEP_MS: u64 = 10;
const PROMPT: f64 = 775.0;
const ANSWER: f64 = 214.0;
/// Upper bound of the reservations at a replica, as a part of its KV memory. It is above 1 because
/// the estimates of what requests need are no more accurate than that.
const MAX_FILL: f64 = 1.1;

#[derive(Debug)]
struct SimulatedGateway {
    table: UpstreamTable,
    peers: PeerTable,
    running: Vec<(ClockTime, Vec<ChainHop>)>,
}

impl SimulatedGateway {
    /// Adds a request if there is a chain for it. Returns whether there was.
    fn admit(
        &mut self,
        now: ClockTime,
        run_ms: u64,
        engine: &EngineRule,
        rng: &mut Pcg64Mcg,
    ) -> bool {
        self.finish(now);
        let query = ChainQuery {
            now,
            service: SERVICE,
            engine,
            prompt_tokens: PROMPT,
            expected_answer_tokens: ANSWER,
            domain: "a",
            avoid: &[],
            pinned_first: None,
            max_fill: 1.0,
            held_links: &[],
            current: &[],
            peers: &self.peers,
            permits: None,
        };
        let Some(chain) = choose_chain(&self.table, &query, rng) else {
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
        for (end_time, chain) in running {
            if now < end_time {
                self.running.push((end_time, chain));
                continue;
            }
            for hop in chain {
                let tokens = (PROMPT + ANSWER) * f64::from(hop.layers.len());
                self.table.remove_request(hop.upstream, tokens);
            }
        }
    }
}

/// Sends the load report of one gateway to all others.
fn send_report(gateways: &mut [SimulatedGateway], from: usize, now: ClockTime) {
    let gateway = &mut gateways[from];
    let messages = gateway.peers.load_messages(now, &gateway.table);
    gateway.table.reset_unreported();
    for (to, gateway) in gateways.iter_mut().enumerate() {
        if to == from {
            continue;
        }
        gateway.peers.refresh_totals(now);
        for message in &messages {
            let name = format!("10.9.9.{from}:1");
            gateway
                .peers
                .apply_report(now, &name, message, &gateway.table);
        }
    }
}

/// Result of a simulated load.
#[derive(Clone, Copy, Debug, Default)]
struct LoadResult {
    offered: u64,
    admitted: u64,
    /// Largest part of a replica's KV memory that was reserved at any time.
    max_fill: f64,
}

/// Simulates requests that run for `run_ms` each. The part `skew` of them goes to the first gateway
/// in addition to its equal share.
fn simulate(run_ms: u64, skew: f64) -> LoadResult {
    let engine = large_engine();
    let mut gateways: Vec<SimulatedGateway> = (0..GATEWAYS)
        .map(|_| SimulatedGateway {
            table: large_placed(),
            peers: PeerTable::default(),
            running: Vec::new(),
        })
        .collect();
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let mut result = LoadResult::default();
    for step in 0..DURATION_MS / STEP_MS {
        let now = ClockTime(10_000 + step * STEP_MS);
        for from in 0..GATEWAYS {
            let offset = from * LOAD_INTERVAL_MS / GATEWAYS / STEP_MS;
            if step % (LOAD_INTERVAL_MS / STEP_MS) == offset {
                send_report(&mut gateways, from as usize, now);
            }
        }
        for _ in 0..REQUESTS_PER_S * STEP_MS / 1_000 {
            let uniform = rng.random_range(0..gateways.len());
            let target_index = if rng.random_bool(skew) { 0 } else { uniform };
            result.offered += 1;
            result.admitted +=
                u64::from(gateways[target_index].admit(now, run_ms, &engine, &mut rng));
        }
        for gateway in &mut gateways {
            gateway.finish(now);
        }
        for (key, record) in gateways[0].table.iter() {
            let kind = engine.kind(&record.entry.kind).unwrap();
            let capacity = engine.kv_capacity(kind, record.entry.layers.len());
            let held = gateways
                .iter()
                .map(|gateway| gateway.table.get(key).reserved_kv);
            result.max_fill = result.max_fill.max(held.sum::<f64>() / capacity);
        }
    }
    result
}

#[test]
fn gateways_with_delayed_load_reports_do_not_overfill_replicas() {
    let result = simulate(4_000, 0.0);
    assert!(result.max_fill <= MAX_FILL, "{result:?}");
    // The fleet holds some 900 requests at once, so most of the requests are still served.
    assert!(result.admitted * 2 > result.offered, "{result:?}");
}

#[test]
fn a_gateway_with_more_than_its_share_refuses_almost_nothing_below_capacity() {
    // Some 600 requests at once, a third of which go to one gateway.
    let result = simulate(2_000, 0.3);
    let refused = result.offered - result.admitted;
    assert!(refused * 100 < result.offered, "{result:?}");
}
