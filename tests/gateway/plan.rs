//! Tests of planning: each copy of the model holds every layer once, within the memory of each
//! accelerator, for any mix of accelerators.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use lynxcart::clock::ClockTime;
use lynxcart::gateway::plan::{
    equal_plan, packed_plan, plan_service, PlacementPlan, PlanAccelerator, MIN_REQUESTS,
};
use lynxcart::gateway::repair::repair_steps;
use lynxcart::gateway::upstream::{LayerRange, UpstreamTable};
use proptest::prelude::*;

use lynxcart::gateway::catalog::EngineRule;

use crate::fixture::{
    accelerators, engine, entry, large_accelerators, large_engine, DOMAINS, SERVICE,
};

fn check_memory(plan: &PlacementPlan) {
    check_memory_of(&engine(), plan);
}

fn check_memory_of(engine: &EngineRule, plan: &PlacementPlan) {
    for slot in &plan.slots {
        let kind = engine.kind(&slot.kind).unwrap();
        let used = f64::from(slot.layers().len()) * engine.layer_mb;
        assert!(used <= kind.memory_mb, "{slot:?} needs {used} MB");
        assert!(slot.to <= engine.layers, "{slot:?}");
        assert!(!slot.layers().is_empty(), "{slot:?}");
    }
    let mut ids: Vec<&str> = plan.slots.iter().map(|slot| slot.id.as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), plan.slots.len(), "an accelerator has two slots");
}

/// Checks that the chain slots of a domain hold each of the 80 layers once and without gaps.
fn check_copy(plan: &PlacementPlan, domain: &str) {
    let mut chain_slots: Vec<_> = plan
        .slots
        .iter()
        .filter(|s| !s.spare && s.domain == domain)
        .collect();
    chain_slots.sort_by_key(|slot| slot.from);
    let mut next = 0;
    for slot in chain_slots {
        assert_eq!(slot.from, next, "domain {domain}");
        next = slot.to;
    }
    assert_eq!(next, engine().layers, "domain {domain}");
}

#[test]
fn each_domain_holds_a_copy_with_kv_memory_for_the_minimum_of_requests() {
    let engine = engine();
    let plan = plan_service(&engine, &accelerators());
    check_memory(&plan);
    for domain in DOMAINS {
        check_copy(&plan, domain);
    }
    let request_tokens = f64::from(engine.mean_prompt_tokens + engine.mean_answer_tokens);
    for slot in plan.slots.iter().filter(|slot| !slot.spare) {
        let kind = engine.kind(&slot.kind).unwrap();
        let tokens = engine.kv_capacity(kind, slot.layers().len()) / f64::from(slot.layers().len());
        assert!(
            tokens >= MIN_REQUESTS * request_tokens,
            "{slot:?} has KV memory for {tokens} tokens"
        );
    }
    assert_eq!(
        plan.slots.len(),
        accelerators().len(),
        "an accelerator has no slot"
    );
}

/// Number of requests for which the replicas of a domain together have KV memory, at the layer with
/// the least. Leaves out the replica with the id `without`.
fn min_domain_requests(
    engine: &EngineRule,
    plan: &PlacementPlan,
    domain: &str,
    without: &str,
) -> f64 {
    let request_tokens = f64::from(engine.mean_prompt_tokens + engine.mean_answer_tokens);
    let mut requests = vec![0.0; engine.layers as usize];
    let slots = plan.slots.iter().filter(|slot| slot.domain == domain);
    for slot in slots.filter(|slot| slot.id != without) {
        let kind = engine.kind(&slot.kind).unwrap();
        let layers = slot.layers().len();
        for layer in slot.from..slot.to {
            requests[layer as usize] +=
                engine.kv_capacity(kind, layers) / f64::from(layers) / request_tokens;
        }
    }
    requests.into_iter().fold(f64::INFINITY, f64::min)
}

/// Concurrent requests in one domain: 270 requests/s over three domains, 1.7 s each.
const LARGE_FLEET_REQUESTS: f64 = 270.0 / 3.0 * 1.7;

#[test]
fn large_fleet_uses_every_accelerator_and_has_kv_memory_for_its_load() {
    let engine = large_engine();
    let plan = plan_service(&engine, &large_accelerators());
    check_memory_of(&engine, &plan);
    assert_eq!(
        plan.slots.len(),
        large_accelerators().len(),
        "an accelerator has no slot"
    );
    for domain in DOMAINS {
        check_copy(&plan, domain);
        let requests = min_domain_requests(&engine, &plan, domain, "");
        assert!(
            requests >= LARGE_FLEET_REQUESTS,
            "{domain} has KV memory for {requests} requests"
        );
    }
}

#[test]
fn every_layer_of_a_large_fleet_keeps_kv_memory_when_an_a100_is_lost() {
    let engine = large_engine();
    let plan = plan_service(&engine, &large_accelerators());
    for domain in DOMAINS {
        let domain_slots = plan.slots.iter().filter(|slot| slot.domain == domain);
        for slot in domain_slots.clone().filter(|slot| slot.kind == "a100") {
            let requests = min_domain_requests(&engine, &plan, domain, &slot.id);
            assert!(
                requests >= MIN_REQUESTS,
                "without {}: KV memory for {requests} requests",
                slot.id
            );
        }
    }
}

#[test]
fn thousands_of_accelerators_are_planned_and_repaired_within_seconds() {
    const MAX_DURATION: Duration = Duration::from_secs(5);
    let engine = large_engine();
    let mut fleet = Vec::new();
    for copy in 0..54 {
        for accelerator in large_accelerators() {
            let id = format!("{}-{copy}", accelerator.id);
            fleet.push(PlanAccelerator { id, ..accelerator });
        }
    }
    let started = Instant::now();
    let plan = plan_service(&engine, &fleet);
    assert!(
        started.elapsed() < MAX_DURATION,
        "planned in {:?}",
        started.elapsed()
    );
    check_memory_of(&engine, &plan);
    assert_eq!(plan.slots.len(), fleet.len(), "an accelerator has no slot");
    let mut table = UpstreamTable::default();
    for (number, accelerator) in (0_u16..).zip(&fleet) {
        let layers = LayerRange::default();
        table.apply_entry(
            ClockTime(0),
            entry(
                number,
                &accelerator.id,
                &accelerator.domain,
                &accelerator.kind,
                layers,
            ),
        );
    }
    let started = Instant::now();
    let now = ClockTime(1_000);
    let steps = repair_steps(now, &plan, SERVICE, &engine, &table, &HashMap::new());
    assert!(
        started.elapsed() < MAX_DURATION,
        "repaired in {:?}",
        started.elapsed()
    );
    assert_eq!(steps.len(), fleet.len());
}

/// Number of requests for which the chain of a domain has KV memory, at the stage with the least.
fn min_stage_requests(plan: &PlacementPlan, domain: &str) -> f64 {
    let engine = engine();
    let request_tokens = f64::from(engine.mean_prompt_tokens + engine.mean_answer_tokens);
    let chain_slots = plan
        .slots
        .iter()
        .filter(|slot| !slot.spare && slot.domain == domain);
    let requests = chain_slots.map(|slot| {
        let kind = engine.kind(&slot.kind).unwrap();
        engine.kv_capacity(kind, slot.layers().len())
            / f64::from(slot.layers().len())
            / request_tokens
    });
    requests.fold(f64::INFINITY, f64::min)
}

#[test]
fn plan_holds_more_requests_than_simpler_plans() {
    let (engine, accelerators) = (engine(), accelerators());
    let chosen = plan_service(&engine, &accelerators);
    let packed = packed_plan(&engine, &accelerators);
    let equal = equal_plan(&engine, &accelerators);
    for plan in [&packed, &equal] {
        check_memory(plan);
    }
    for domain in DOMAINS {
        check_copy(&packed, domain);
        let packed_requests = min_stage_requests(&packed, domain);
        assert!(
            min_stage_requests(&chosen, domain) > 4.0 * packed_requests,
            "{domain}: the packed plan holds {packed_requests} requests"
        );
    }
    // Equal ranges put the slow accelerators into every chain, and exceed the memory of an
    // accelerator where a domain has few of them.
    assert!(equal.slots.iter().filter(|slot| slot.kind == "l4").count() > 4);
}

#[test]
fn domains_without_enough_accelerators_pool_them() {
    let subset: Vec<PlanAccelerator> = accelerators()
        .into_iter()
        .filter(|accelerator| match accelerator.domain.as_str() {
            "a" => accelerator.kind == "a100",
            "b" => accelerator.kind == "a100",
            _ => accelerator.kind == "v100",
        })
        .collect();
    let plan = plan_service(&engine(), &subset);
    check_memory(&plan);
    let mut holder_counts = vec![0; 80];
    for slot in plan.slots.iter().filter(|slot| !slot.spare) {
        for layer in slot.from..slot.to {
            holder_counts[layer as usize] += 1;
        }
    }
    assert!(
        holder_counts.iter().all(|count| *count == 1),
        "{holder_counts:?}"
    );
}

proptest! {
    #[test]
    fn any_accelerators_give_a_valid_plan_or_none(kept in proptest::collection::vec(any::<bool>(), 38)) {
        let subset: Vec<PlanAccelerator> = accelerators()
            .into_iter()
            .zip(kept)
            .filter_map(|(accelerator, kept)| kept.then_some(accelerator))
            .collect();
        let plan = plan_service(&engine(), &subset);
        check_memory(&plan);
        let domains = DOMAINS.iter().filter(|domain| {
            plan.slots.iter().any(|slot| !slot.spare && slot.domain == **domain)
        });
        let pooled = domains.clone().any(|domain| {
            let chain_slots = plan.slots.iter().filter(|slot| !slot.spare && slot.domain == *domain);
            chain_slots.map(|slot| slot.layers().len()).sum::<u32>() != 80
        });
        if !pooled {
            for domain in domains {
                check_copy(&plan, domain);
            }
        }
    }
}
