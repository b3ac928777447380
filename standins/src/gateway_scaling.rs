//! Scaling of the gateway's placement and chain choice with the number of replicas. The code is
//! called directly, without sockets.

use std::hint::black_box;
use std::time::Instant;

use lynxcart::clock::ClockTime;
use lynxcart::gateway::catalog::{AcceleratorKind, EngineRule};
use lynxcart::gateway::chain::{choose_chain, ChainQuery};
use lynxcart::gateway::peer::PeerTable;
use lynxcart::gateway::plan::{plan_service, PlanAccelerator};
use lynxcart::gateway::upstream::{UpstreamEntry, UpstreamTable};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::scaling::ScalingPoint;

/// Number of failure domains of a large fleet. A fleet of `count` replicas has `count / 30 + 1` if
/// that is fewer.
const MAX_DOMAINS: u32 = 25;
/// Number of chain choices that are timed together; the printed time is their mean.
const CHOICES: u32 = 20;

/// Engine parameters of a model with 80 layers on three kinds of accelerator.
fn engine_rule() -> EngineRule {
    let accelerator_kind = |name: &str, memory_mb, step_factor, prefill_factor| AcceleratorKind {
        name: name.to_owned(),
        memory_mb,
        step_factor,
        prefill_factor,
    };
    EngineRule {
        layers: 80,
        layer_mb: 1_750.0,
        kv_bytes: 590_000.0,
        step_ms: 1.02,
        per_request_ms: 0.004_59,
        per_context_k_ms: 0.006_15,
        prefill_tokens_per_s: 164_000.0,
        stride: 4,
        slots: 192,
        load_ms: 14_000.0,
        max_concurrent_loads: None,
        mean_prompt_tokens: 775,
        mean_answer_tokens: 216,
        delays: Vec::new(),
        activation_bytes: 29_500.0,
        link_mbps: 13_000.0,
        kinds: vec![
            accelerator_kind("a100", 72_000.0, 2.4, 3.2),
            accelerator_kind("v100", 14_400.0, 5.3, 7.9),
            accelerator_kind("l4", 21_600.0, 16.0, 8.2),
        ],
    }
}

/// Measures the time to plan the placement of one model on `count` replicas, and the time to choose
/// a chain of them.
pub fn gateway_scaling(count: u32) -> Vec<ScalingPoint> {
    let engine_rule = engine_rule();
    let accelerators: Vec<PlanAccelerator> = (0..count)
        .map(|number| PlanAccelerator {
            id: format!("i-{number:08x}"),
            domain: format!("domain-{}", number % MAX_DOMAINS.min(count / 30 + 1)),
            kind: ["a100", "v100", "v100", "v100", "l4", "l4"][(number / 25) as usize % 6]
                .to_owned(),
        })
        .collect();
    let started_at = Instant::now();
    let plan = plan_service(&engine_rule, &accelerators);
    let plan_ms = started_at.elapsed().as_secs_f64() * 1e3;
    let mut table = UpstreamTable::default();
    for (number, slot) in (0_u32..).zip(&plan.slots) {
        let address = format!("10.{}.{}.1:80", number / 250, number % 250);
        table.apply_entry(
            ClockTime(0),
            UpstreamEntry {
                id: slot.id.clone(),
                born: 1,
                service: String::from("model"),
                address: address.parse().expect("the address is valid"),
                domain: slot.domain.clone(),
                slots: 192,
                draining: false,
                kind: slot.kind.clone(),
                layers: slot.layers(),
                sequence: 0,
                position: lynxcart::store::position::StorePosition::new(0, 1),
            },
        );
    }
    let peers = PeerTable::default();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let query = ChainQuery {
        now: ClockTime(1),
        service: "model",
        engine: &engine_rule,
        prompt_tokens: 775.0,
        expected_answer_tokens: 216.0,
        domain: "domain-0",
        avoid: &[],
        pinned_first: None,
        max_fill: 1.0,
        held_links: &[],
        current: &[],
        peers: &peers,
        permits: None,
    };
    let started_at = Instant::now();
    for _ in 0..CHOICES {
        black_box(choose_chain(&table, &query, &mut rng));
    }
    let choice_us = started_at.elapsed().as_secs_f64() * 1e6 / f64::from(CHOICES);
    let point = |quantity, value, unit| ScalingPoint {
        parameter: "gateway replicas",
        count,
        quantity,
        value,
        unit,
    };
    vec![
        point("plan", plan_ms, "ms"),
        point("choice of a chain", choice_us, "us"),
    ]
}
