//! A fleet with the proportions of the users' fleets: three failure domains with accelerators of
//! three kinds.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::catalog::{AcceleratorKind, EngineRule, ServiceRule, ServingConfig};
use lynxcart::gateway::plan::{plan_service, PlacementPlan, PlanAccelerator};
use lynxcart::gateway::upstream::{LayerRange, UpstreamEntry, UpstreamKey, UpstreamTable};
use lynxcart::store::position::StorePosition;

pub(crate) const SERVICE: &str = "model";
pub(crate) const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Number of accelerators of each kind in each domain.
const ACCELERATORS: [(&str, [u32; 3]); 3] =
    [("a100", [1, 2, 1]), ("v100", [10, 4, 6]), ("l4", [4, 4, 6])];

pub(crate) fn engine() -> EngineRule {
    let kind = |name: &str, memory_mb, step_factor, prefill_factor| AcceleratorKind {
        name: name.to_owned(),
        memory_mb,
        step_factor,
        prefill_factor,
    };
    let delay = |from: &str, to: &str| (from.to_owned(), to.to_owned(), 0.5);
    EngineRule {
        layers: 80,
        layer_mb: 1_750.0,
        kv_bytes: 590_000.0,
        step_ms: 1.02,
        per_request_ms: 0.00459,
        per_context_k_ms: 0.00615,
        prefill_tokens_per_s: 164_000.0,
        stride: 4,
        slots: 192,
        load_ms: 14_000.0,
        max_concurrent_loads: Some(6),
        mean_prompt_tokens: 775,
        mean_answer_tokens: 216,
        delays: vec![delay("a", "b"), delay("a", "c"), delay("b", "c")],
        activation_bytes: 29_500.0,
        link_mbps: 13_000.0,
        kinds: vec![
            kind("a100", 72_000.0, 2.4, 3.2),
            kind("v100", 14_400.0, 5.3, 7.9),
            kind("l4", 21_600.0, 16.0, 8.2),
        ],
    }
}

/// Model and accelerators of the users' larger fleet.
pub(crate) fn large_engine() -> EngineRule {
    EngineRule {
        kv_bytes: 328_000.0,
        per_request_ms: 0.00255,
        per_context_k_ms: 0.00342,
        prefill_tokens_per_s: 294_000.0,
        activation_bytes: 16_400.0,
        link_mbps: 3_900.0,
        ..engine()
    }
}

/// The accelerators of the users' larger fleet.
pub(crate) fn large_accelerators() -> Vec<PlanAccelerator> {
    expand_counts(&[
        ("a100", [1, 3, 1]),
        ("v100", [14, 6, 9]),
        ("l4", [5, 7, 10]),
    ])
}

pub(crate) fn config() -> ServingConfig {
    ServingConfig {
        version: 1,
        services: vec![ServiceRule {
            name: SERVICE.to_owned(),
            max_connections: 1_000,
            health_path: "/healthz".to_owned(),
            engine: Some(engine()),
        }],
        ..ServingConfig::default()
    }
}

pub(crate) fn accelerators() -> Vec<PlanAccelerator> {
    expand_counts(&ACCELERATORS)
}

fn expand_counts(kinds: &[(&str, [u32; 3])]) -> Vec<PlanAccelerator> {
    let mut accelerators = Vec::new();
    for (kind, counts) in kinds {
        for (domain, count) in DOMAINS.iter().zip(counts) {
            for number in 0..*count {
                accelerators.push(PlanAccelerator {
                    id: format!("{kind}-{domain}-{number:02}"),
                    domain: (*domain).to_owned(),
                    kind: (*kind).to_owned(),
                });
            }
        }
    }
    accelerators
}

pub(crate) fn entry(
    number: u16,
    id: &str,
    domain: &str,
    kind: &str,
    layers: LayerRange,
) -> UpstreamEntry {
    UpstreamEntry {
        id: id.to_owned(),
        born: 1,
        service: SERVICE.to_owned(),
        address: format!("10.0.{}.{}:80", number / 250, number % 250 + 1)
            .parse()
            .unwrap(),
        domain: domain.to_owned(),
        slots: 192,
        draining: false,
        kind: kind.to_owned(),
        layers,
        sequence: 0,
        position: StorePosition::new(0, 1),
    }
}

/// The placement plan of the fleet, and the table of a fleet that holds the planned layers.
pub(crate) fn placed_fleet() -> (PlacementPlan, UpstreamTable) {
    let plan = plan_service(&engine(), &accelerators());
    let table = table_of(&plan);
    (plan, table)
}

fn table_of(plan: &PlacementPlan) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    for (number, slot) in (0_u16..).zip(&plan.slots) {
        let entry = entry(number, &slot.id, &slot.domain, &slot.kind, slot.layers());
        table.apply_entry(ClockTime(0), entry);
    }
    table
}

/// The table of the users' larger fleet, which holds the layers of its plan.
pub(crate) fn large_placed() -> UpstreamTable {
    table_of(&plan_service(&large_engine(), &large_accelerators()))
}

pub(crate) fn key_of(table: &UpstreamTable, id: &str) -> UpstreamKey {
    let mut records = table.iter();
    records
        .find(|(_, record)| record.entry.id == id)
        .map(|(key, _)| key)
        .unwrap()
}

/// Ids of the replicas of a domain that have layers in the plan and are not spares.
pub(crate) fn assigned_ids(plan: &PlacementPlan, domain: &str) -> Vec<String> {
    let assigned = plan
        .slots
        .iter()
        .filter(|slot| !slot.spare && slot.domain == domain);
    assigned.map(|slot| slot.id.clone()).collect()
}
