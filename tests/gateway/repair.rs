//! Tests of repair: the layers of lost replicas are loaded by replicas that are not needed for
//! their own range.

use std::collections::HashMap;

use lynxcart::clock::ClockTime;
use lynxcart::gateway::plan::PlanSlot;
use lynxcart::gateway::repair::{repair_steps, RepairStep};
use lynxcart::gateway::upstream::{LayerRange, UpstreamEntry, UpstreamTable};
use lynxcart::store::position::StorePosition;
use proptest::prelude::*;

use crate::fixture::{assigned_ids, engine, entry, key_of, placed_fleet, DOMAINS, SERVICE};

const NOW: ClockTime = ClockTime(10_000);

/// Layers of a domain that no live replica holds after the steps.
fn uncovered_layers(table: &UpstreamTable, steps: &[RepairStep], domain: &str) -> Vec<u32> {
    let mut held = [false; 80];
    for (key, record) in table.iter() {
        if record.entry.domain != domain || !record.registered() || record.reported_dead(NOW) {
            continue;
        }
        let step = steps.iter().find(|step| step.upstream == key);
        let layers = step.map_or(record.entry.layers, |step| step.layers);
        for layer in layers.from..layers.to {
            held[layer as usize] = true;
        }
    }
    (0..80).filter(|layer| !held[*layer as usize]).collect()
}

#[test]
fn complete_fleet_needs_no_repair() {
    let (plan, table) = placed_fleet();
    let steps = repair_steps(NOW, &plan, SERVICE, &engine(), &table, &HashMap::new());
    assert_eq!(steps, []);
}

#[test]
fn replica_reported_dead_is_replaced_before_its_registry_entry_lapses() {
    let (plan, _) = placed_fleet();
    for domain in DOMAINS {
        for id in assigned_ids(&plan, domain) {
            let (plan, mut table) = placed_fleet();
            let key = key_of(&table, &id);
            table.report_dead(NOW, key);
            let steps = repair_steps(NOW, &plan, SERVICE, &engine(), &table, &HashMap::new());
            assert!(
                uncovered_layers(&table, &steps, domain).is_empty(),
                "after the loss of {id}"
            );
            assert!(steps.iter().all(|step| step.upstream != key));
        }
    }
}

#[test]
fn heartbeat_in_transit_does_not_revive_a_dead_replica_but_a_later_one_does() {
    let (_, mut table) = placed_fleet();
    let key = key_of(&table, "v100-a-00");
    table.report_dead(NOW, key);
    let heartbeat = |revision| UpstreamEntry {
        position: StorePosition::new(0, revision),
        ..placed_entry("v100-a-00")
    };
    table.apply_entry(NOW + 500, heartbeat(2));
    assert!(table.get(key).reported_dead(NOW + 500));
    table.apply_entry(NOW + 2_000, heartbeat(3));
    assert!(!table.get(key).reported_dead(NOW + 2_000));
}

fn placed_entry(id: &str) -> UpstreamEntry {
    let (_, table) = placed_fleet();
    table.get(key_of(&table, id)).entry.clone()
}

#[test]
fn first_stage_goes_to_a_replica_without_a_limit() {
    for domain in DOMAINS {
        let (plan, mut table) = placed_fleet();
        let is_first = |slot: &&PlanSlot| slot.domain == domain && slot.from == 0 && !slot.spare;
        let slot = plan.slots.iter().find(is_first).unwrap();
        let lost = key_of(&table, &slot.id);
        for (number, id) in [(200, "limited"), (201, "free")] {
            let new = entry(number, id, domain, &slot.kind, LayerRange::default());
            table.apply_entry(NOW, new);
        }
        let limited = key_of(&table, "limited");
        table.set_limit(limited, Some(1.0));
        table.report_dead(NOW, lost);
        let steps = repair_steps(NOW, &plan, SERVICE, &engine(), &table, &HashMap::new());
        let step = steps
            .iter()
            .find(|step| step.layers == slot.layers())
            .unwrap();
        assert_eq!(step.upstream, key_of(&table, "free"), "in domain {domain}");
    }
}

#[test]
fn new_replica_takes_the_slot_of_a_draining_one_in_its_domain_only() {
    let (plan, mut table) = placed_fleet();
    let new = entry(200, "new", "c", "v100", LayerRange::default());
    table.apply_entry(NOW, new);
    let no_pending = HashMap::new();
    // No layer is uncovered yet, so the new replica stays empty until the one it replaces drains.
    assert_eq!(
        repair_steps(NOW, &plan, SERVICE, &engine(), &table, &no_pending),
        []
    );
    let draining = UpstreamEntry {
        draining: true,
        position: StorePosition::new(0, 5),
        ..placed_entry("v100-c-00")
    };
    table.apply_entry(NOW, draining.clone());
    let steps = repair_steps(NOW, &plan, SERVICE, &engine(), &table, &no_pending);
    let expected = RepairStep {
        upstream: key_of(&table, "new"),
        layers: draining.layers,
    };
    assert_eq!(steps, [expected]);
}

#[test]
fn pending_orders_are_not_repeated() {
    let (plan, mut table) = placed_fleet();
    let dead = key_of(&table, &assigned_ids(&plan, "b").remove(0));
    table.report_dead(NOW, dead);
    let steps = repair_steps(NOW, &plan, SERVICE, &engine(), &table, &HashMap::new());
    assert!(!steps.is_empty());
    let pending = steps
        .iter()
        .map(|step| (step.upstream, step.layers))
        .collect();
    assert_eq!(
        repair_steps(NOW, &plan, SERVICE, &engine(), &table, &pending),
        []
    );
}

#[test]
fn gap_that_no_spare_can_close_is_closed_by_neighbours_that_keep_their_layers() {
    // All spares of domain a together can hold all but one of the a100's layers.
    let (plan, mut table) = placed_fleet();
    let dead = key_of(&table, "a100-a-00");
    table.report_dead(NOW, dead);
    let steps = repair_steps(NOW, &plan, SERVICE, &engine(), &table, &HashMap::new());
    assert!(!steps.is_empty());
    for step in &steps {
        let before = table.get(step.upstream).entry.layers;
        assert!(
            step.layers.from <= before.from && before.to <= step.layers.to,
            "{before} becomes {}",
            step.layers
        );
    }
    assert!(uncovered_layers(&table, &steps, "a").is_empty());
}

#[test]
fn gap_is_closed_by_spares_before_neighbours_are_extended() {
    let (plan, mut table) = placed_fleet();
    let dead = key_of(&table, "v100-a-00");
    table.report_dead(NOW, dead);
    let steps = repair_steps(NOW, &plan, SERVICE, &engine(), &table, &HashMap::new());
    let is_spare = |step: &RepairStep| {
        let id = &table.get(step.upstream).entry.id;
        plan.slots.iter().any(|slot| slot.spare && slot.id == *id)
    };
    assert!(!steps.is_empty() && steps.iter().all(is_spare), "{steps:?}");
    assert!(uncovered_layers(&table, &steps, "a").is_empty());
}

proptest! {
    #[test]
    fn no_step_exceeds_the_memory_or_moves_the_last_holder_of_a_layer(
        dead in proptest::collection::vec(0_u32..38, 0..12)
    ) {
        let (plan, mut table) = placed_fleet();
        for key in &dead {
            table.report_dead(NOW, lynxcart::gateway::upstream::UpstreamKey(*key));
        }
        let engine = engine();
        let steps = repair_steps(NOW, &plan, SERVICE, &engine, &table, &HashMap::new());
        for step in &steps {
            let entry = &table.get(step.upstream).entry;
            let kind = engine.kind(&entry.kind).unwrap();
            prop_assert!(f64::from(step.layers.len()) * engine.layer_mb <= kind.memory_mb);
            prop_assert!(!dead.contains(&step.upstream.0));
        }
        for domain in DOMAINS {
            let before = uncovered_layers(&table, &[], domain);
            let after = uncovered_layers(&table, &steps, domain);
            prop_assert!(after.iter().all(|layer| before.contains(layer)), "{before:?} {after:?}");
        }
    }
}
