//! Tests of the placement controller: a single lease holder, no orders without a valid lease, and
//! no replica that refuses orders forever.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::placement::{
    OrderReply, PlacementController, PlacementInput, PlacementOutput, LEASE_MS,
};
use lynxcart::gateway::plan::PlacementPlan;
use lynxcart::gateway::upstream::{LayerRange, UpstreamEntry, UpstreamKey, UpstreamTable};
use lynxcart::store::position::StorePosition;

use crate::fixture::{accelerators, assigned_ids, config, entry, key_of, placed_fleet};

const LEASE: i64 = 7;
const TOKEN: StorePosition = StorePosition {
    era: 0,
    revision: 42,
};

fn empty_fleet() -> UpstreamTable {
    let mut table = UpstreamTable::default();
    for (number, accelerator) in accelerators().iter().enumerate() {
        let number = u16::try_from(number).unwrap();
        let entry = entry(
            number,
            &accelerator.id,
            &accelerator.domain,
            &accelerator.kind,
            LayerRange::default(),
        );
        table.apply_entry(ClockTime(0), entry);
    }
    table
}

/// A controller that acquired the lease at `now` and read `stored` as the stored plan.
fn lease_holder(
    now: ClockTime,
    table: &UpstreamTable,
    stored: Option<PlacementPlan>,
) -> PlacementController {
    let config = config();
    let mut controller = PlacementController::new(now);
    let outputs = controller.handle(now, PlacementInput::Tick, &config, table);
    assert_eq!(
        outputs,
        [PlacementOutput::AwaitVacancy],
        "a lease was requested before the placement lease key was known to be vacant"
    );
    let outputs = controller.handle(now, PlacementInput::VacancyChecked(true), &config, table);
    assert_eq!(outputs, [PlacementOutput::RequestLease]);
    let granted = PlacementInput::LeaseGranted(Some((LEASE, now)));
    let outputs = controller.handle(now, granted, &config, table);
    assert_eq!(outputs, [PlacementOutput::ClaimLease(LEASE)]);
    let outputs = controller.handle(
        now,
        PlacementInput::LeaseClaimed(Some(TOKEN)),
        &config,
        table,
    );
    assert!(outputs.contains(&PlacementOutput::ReadPlan));
    assert!(
        orders(&outputs).is_empty(),
        "orders were sent before the stored plan was read"
    );
    controller.handle(now, PlacementInput::PlanRead(stored), &config, table);
    controller
}

fn orders(outputs: &[PlacementOutput]) -> Vec<&lynxcart::gateway::placement::PlacementOrder> {
    let orders = outputs.iter().filter_map(|output| match output {
        PlacementOutput::SendOrder(order) => Some(order),
        _ => None,
    });
    orders.collect()
}

/// Ticks and renews the lease until the controller sends orders. Returns the outputs of that tick
/// and its time.
fn next_orders(
    controller: &mut PlacementController,
    table: &UpstreamTable,
    from: ClockTime,
) -> (Vec<PlacementOutput>, ClockTime) {
    let config = config();
    for step in 1..60 {
        let now = from + step * 100;
        let outputs = controller.handle(now, PlacementInput::Tick, &config, table);
        if outputs.contains(&PlacementOutput::RenewLease(LEASE)) {
            controller.handle(now, PlacementInput::LeaseRenewed(true, now), &config, table);
        }
        if !orders(&outputs).is_empty() {
            return (outputs, now);
        }
    }
    panic!("no orders within 6 s");
}

#[test]
fn new_fleet_is_ordered_once_and_the_plan_is_stored() {
    let table = empty_fleet();
    let start = ClockTime(1_000);
    let mut controller = lease_holder(start, &table, None);
    let (outputs, now) = next_orders(&mut controller, &table, start);
    assert_eq!(orders(&outputs).len(), accelerators().len());
    assert!(orders(&outputs)
        .iter()
        .all(|order| order.token == TOKEN && order.sequence == 0));
    let stored = outputs
        .iter()
        .any(|output| matches!(output, PlacementOutput::StorePlan(_, TOKEN)));
    assert!(stored, "the plan was not stored");
    // No range is ordered a second time while it loads.
    for step in 1..20 {
        let outputs = controller.handle(now + step * 100, PlacementInput::Tick, &config(), &table);
        assert!(orders(&outputs).is_empty());
        controller.handle(
            now + step * 100,
            PlacementInput::LeaseRenewed(true, now + step * 100),
            &config(),
            &table,
        );
    }
}

#[test]
fn first_plan_includes_replicas_that_register_over_several_seconds() {
    // Guards against planning too early: with 68 VMs, 56 replicas registered over 4.5 s, and a plan
    // made after 4 s lacked eight of them.
    let mut table = UpstreamTable::default();
    let start = ClockTime(1_000);
    let mut controller = lease_holder(start, &table, None);
    let accelerators = accelerators();
    let spread_ms = 4_500;
    let mut ordered = 0;
    for step in 0..70 {
        let now = start + step * 100;
        for (number, accelerator) in (0_u16..).zip(&accelerators) {
            if u64::from(number) * spread_ms / accelerators.len() as u64 / 100 == step {
                let layers = LayerRange::default();
                table.apply_entry(
                    now,
                    entry(
                        number,
                        &accelerator.id,
                        &accelerator.domain,
                        &accelerator.kind,
                        layers,
                    ),
                );
            }
        }
        let outputs = controller.handle(now, PlacementInput::Tick, &config(), &table);
        controller.handle(
            now,
            PlacementInput::LeaseRenewed(true, now),
            &config(),
            &table,
        );
        ordered += orders(&outputs).len();
    }
    assert_eq!(ordered, accelerators.len());
}

#[test]
fn replica_that_stays_empty_beside_a_complete_plan_gets_a_spare_slot() {
    let (plan, mut table) = placed_fleet();
    let start = ClockTime(1_000);
    let mut controller = lease_holder(start, &table, Some(plan.clone()));
    table.apply_entry(
        start,
        entry(200, "added", "b", "v100", LayerRange::default()),
    );
    let added = key_of(&table, "added");
    let (outputs, now) = next_orders(&mut controller, &table, start);
    let first = orders(&outputs)[0];
    assert_eq!((first.upstream, first.sequence), (added, 0));
    assert!(!first.layers.is_empty());
    assert!(
        now >= start + 2_000,
        "ordered too early: it may be the successor of a draining replica"
    );
    let stored = outputs.iter().any(
        |output| matches!(output, PlacementOutput::StorePlan(stored, TOKEN) if stored.slots.len() > plan.slots.len()),
    );
    let slots = controller.plan().unwrap().slots.len();
    assert!(
        stored || slots > plan.slots.len(),
        "the plan was not extended"
    );
}

#[test]
fn large_fleet_is_loaded_in_batches_and_nothing_is_ordered_twice() {
    // Guards against ordering a whole fleet at once. With 100 VMs in front of 1,001 replicas each
    // load then took a hundred times as long, and 2,869 of 3,819 orders were repeats that the
    // replicas refused.
    const MAX_LOADS: usize = 6;
    const MAX_PENDING: usize = MAX_LOADS * 8;
    let mut table = UpstreamTable::default();
    let mut number = 0;
    for copy in 0..26 {
        for accelerator in accelerators() {
            let id = format!("{}-{copy}", accelerator.id);
            let layers = LayerRange::default();
            table.apply_entry(
                ClockTime(0),
                entry(number, &id, &accelerator.domain, &accelerator.kind, layers),
            );
            number += 1;
        }
    }
    let start = ClockTime(1_000);
    let mut controller = lease_holder(start, &table, None);
    let mut loading: Vec<(ClockTime, UpstreamKey, LayerRange)> = Vec::new();
    let mut ordered = Vec::new();
    for step in 0..100 {
        let now = start + step * 100;
        // The time of a load grows with the number of concurrent loads over the cap.
        let (done, rest): (Vec<_>, Vec<_>) = loading.into_iter().partition(|(at, ..)| now >= *at);
        loading = rest;
        for (_, key, layers) in done {
            let entry = table.get(key).entry.clone();
            let revision = entry.position.revision + 1;
            table.apply_entry(
                now,
                UpstreamEntry {
                    layers,
                    position: StorePosition::new(0, revision),
                    ..entry
                },
            );
        }
        let outputs = controller.handle(now, PlacementInput::Tick, &config(), &table);
        controller.handle(
            now,
            PlacementInput::LeaseRenewed(true, now),
            &config(),
            &table,
        );
        for order in orders(&outputs) {
            assert!(
                !ordered.contains(&order.upstream),
                "ordered twice at {now:?}"
            );
            ordered.push(order.upstream);
            controller.handle(
                now,
                PlacementInput::OrderAnswered(order.upstream, OrderReply::Accepted),
                &config(),
                &table,
            );
            let load_ms = u64::from(order.layers.len()) * 14_000 / 80;
            let contention = loading.len() as u64 / MAX_LOADS as u64 + 1;
            loading.push((now + load_ms * contention, order.upstream, order.layers));
        }
        assert!(
            loading.len() <= MAX_PENDING,
            "{} loads are under way",
            loading.len()
        );
    }
    // Completed loads make room for further orders.
    assert!(
        ordered.len() > MAX_PENDING,
        "{} replicas ordered",
        ordered.len()
    );
}

#[test]
fn next_lease_holder_keeps_the_stored_plan_and_sends_no_orders() {
    let (plan, table) = placed_fleet();
    let start = ClockTime(1_000);
    let mut controller = lease_holder(start, &table, Some(plan.clone()));
    for step in 1..30 {
        let now = start + step * 100;
        let outputs = controller.handle(now, PlacementInput::Tick, &config(), &table);
        assert!(orders(&outputs).is_empty());
        controller.handle(
            now,
            PlacementInput::LeaseRenewed(true, now),
            &config(),
            &table,
        );
    }
    assert_eq!(controller.plan(), Some(&plan));
}

/// The lease changes hands while the fleet loads for the first time, and the stored plan cannot be
/// read: the next holder goes on with the same plan.
#[test]
fn next_lease_holder_does_not_change_the_plan_of_a_fleet_that_still_loads() {
    let (plan, mut table) = placed_fleet();
    // Only one domain has loaded yet, so that each layer has a holder.
    for slot in plan.slots.iter().filter(|slot| slot.domain != "a") {
        let entry = table.get(key_of(&table, &slot.id)).entry.clone();
        table.apply_entry(
            ClockTime(10),
            UpstreamEntry {
                layers: LayerRange::default(),
                position: StorePosition::new(0, 2),
                ..entry
            },
        );
    }
    let start = ClockTime(1_000);
    let mut controller = lease_holder(start, &table, None);
    let (outputs, _) = next_orders(&mut controller, &table, start);
    for order in orders(&outputs) {
        let id = &table.get(order.upstream).entry.id;
        let slot = plan.slots.iter().find(|slot| slot.id == *id).unwrap();
        assert_eq!(order.layers, slot.layers(), "{id}");
    }
    assert_eq!(controller.plan().map(|plan| &plan.slots), Some(&plan.slots));
}

#[test]
fn refused_order_is_repeated_with_the_order_count_of_the_replica() {
    let (plan, mut table) = placed_fleet();
    let start = ClockTime(1_000);
    let mut controller = lease_holder(start, &table, Some(plan.clone()));
    let dead = key_of(&table, &assigned_ids(&plan, "b")[0]);
    table.report_dead(start, dead);
    let (outputs, now) = next_orders(&mut controller, &table, start);
    let first = orders(&outputs)[0].clone();
    assert_eq!(
        first.sequence, 1,
        "a replica that holds layers is expected to have accepted one order"
    );
    let conflict = PlacementInput::OrderAnswered(first.upstream, OrderReply::Conflict(Some(3)));
    controller.handle(now, conflict, &config(), &table);
    table.report_dead(now + 900, dead);
    let (outputs, _) = next_orders(&mut controller, &table, now + 200);
    let second = orders(&outputs);
    let second = second
        .iter()
        .find(|order| order.upstream == first.upstream)
        .unwrap();
    assert_eq!(second.sequence, 3);
}

#[test]
fn lease_holder_that_cannot_renew_or_is_fenced_sends_no_more_orders() {
    let (plan, mut table) = placed_fleet();
    let start = ClockTime(1_000);
    let mut controller = lease_holder(start, &table, Some(plan.clone()));
    let dead = key_of(&table, &assigned_ids(&plan, "a")[0]);
    // After a suspension of the VM, the first event finds the lease possibly expired.
    let after_expiry = start + LEASE_MS;
    table.report_dead(after_expiry, dead);
    let outputs = controller.handle(after_expiry, PlacementInput::Tick, &config(), &table);
    assert!(orders(&outputs).is_empty());
    assert!(!controller.is_lease_holder(after_expiry));

    let (plan, mut table) = placed_fleet();
    let mut controller = lease_holder(start, &table, Some(plan));
    table.report_dead(start, dead);
    let (outputs, now) = next_orders(&mut controller, &table, start);
    let key = orders(&outputs)[0].upstream;
    controller.handle(
        now,
        PlacementInput::OrderAnswered(key, OrderReply::Fenced),
        &config(),
        &table,
    );
    assert!(!controller.is_lease_holder(now));
    for step in 1..10 {
        let outputs = controller.handle(now + step * 100, PlacementInput::Tick, &config(), &table);
        assert!(orders(&outputs).is_empty());
    }
}

#[test]
fn failed_claim_releases_the_lease_and_is_retried_later() {
    let table = empty_fleet();
    let config = config();
    let start = ClockTime(1_000);
    let mut controller = PlacementController::new(start);
    controller.handle(start, PlacementInput::Tick, &config, &table);
    controller.handle(start, PlacementInput::VacancyChecked(true), &config, &table);
    controller.handle(
        start,
        PlacementInput::LeaseGranted(Some((LEASE, start))),
        &config,
        &table,
    );
    let outputs = controller.handle(start, PlacementInput::LeaseClaimed(None), &config, &table);
    assert_eq!(outputs, [PlacementOutput::RevokeLease(LEASE)]);
    assert!(controller
        .handle(start + 100, PlacementInput::Tick, &config, &table)
        .is_empty());
    let outputs = controller.handle(start + 2_000, PlacementInput::Tick, &config, &table);
    assert_eq!(outputs, [PlacementOutput::AwaitVacancy]);
}

#[test]
fn graceful_shutdown_releases_the_lease() {
    let (plan, table) = placed_fleet();
    let mut controller = lease_holder(ClockTime(1_000), &table, Some(plan));
    assert_eq!(controller.release(), [PlacementOutput::RevokeLease(LEASE)]);
    assert!(!controller.is_lease_holder(ClockTime(1_000)));
    let outputs = controller.handle(ClockTime(9_000), PlacementInput::Tick, &config(), &table);
    assert!(outputs.is_empty());
}

#[test]
fn replica_that_restarts_empty_is_loaded_again() {
    let (plan, mut table) = placed_fleet();
    let start = ClockTime(1_000);
    let mut controller = lease_holder(start, &table, Some(plan));
    let loaded = table.get(key_of(&table, "v100-a-04")).entry.clone();
    table.apply_entry(
        start,
        UpstreamEntry {
            born: 2,
            position: StorePosition::new(0, 9),
            layers: LayerRange::default(),
            ..loaded.clone()
        },
    );
    let (outputs, _) = next_orders(&mut controller, &table, start);
    let orders = orders(&outputs);
    assert_eq!(orders.len(), 1);
    assert_eq!((orders[0].layers, orders[0].sequence), (loaded.layers, 0));
}

/// Brings a controller without the lease to the point at which it holds it with this token.
fn reclaim(
    controller: &mut PlacementController,
    now: ClockTime,
    table: &UpstreamTable,
    token: StorePosition,
    stored: Option<PlacementPlan>,
) {
    let config = config();
    for input in [
        PlacementInput::Tick,
        PlacementInput::VacancyChecked(true),
        PlacementInput::LeaseGranted(Some((LEASE + 1, now))),
        PlacementInput::LeaseClaimed(Some(token)),
        PlacementInput::PlanRead(stored),
    ] {
        controller.handle(now, input, &config, table);
    }
    assert!(controller.is_lease_holder(now));
}

#[test]
fn restore_of_the_store_ends_the_lease_without_revoking_it() {
    let (plan, mut table) = placed_fleet();
    let start = ClockTime(1_000);
    let mut controller = lease_holder(start, &table, Some(plan.clone()));
    table.report_dead(start, key_of(&table, &assigned_ids(&plan, "a")[0]));
    let outputs = controller.handle(
        start + 10,
        PlacementInput::StoreRestored(1),
        &config(),
        &table,
    );
    assert!(!controller.is_lease_holder(start + 10));
    // Its id may be that of another VM's lease by now.
    assert!(
        !outputs.contains(&PlacementOutput::RevokeLease(LEASE)),
        "{outputs:?}"
    );
    assert!(orders(&outputs).is_empty());
    // A renewal that was under way changes nothing.
    let late = PlacementInput::LeaseRenewed(true, start + 5);
    controller.handle(start + 20, late, &config(), &table);
    assert!(!controller.is_lease_holder(start + 20));

    let later = start + 2_000;
    // The revision of the new claim is lower than that of the first.
    let token = StorePosition::new(1, 7);
    reclaim(&mut controller, later, &table, token, Some(plan.clone()));
    table.report_dead(later, key_of(&table, &assigned_ids(&plan, "a")[0]));
    let (outputs, _) = next_orders(&mut controller, &table, later);
    for order in orders(&outputs) {
        assert!(order.token > TOKEN && order.token.fencing_token() > TOKEN.fencing_token());
    }
}

#[test]
fn lease_of_the_new_era_outlives_news_of_the_restore() {
    let (plan, table) = placed_fleet();
    let start = ClockTime(1_000);
    let mut controller = PlacementController::new(start);
    reclaim(
        &mut controller,
        start,
        &table,
        StorePosition::new(2, 7),
        Some(plan),
    );
    controller.handle(
        start + 10,
        PlacementInput::StoreRestored(2),
        &config(),
        &table,
    );
    assert!(controller.is_lease_holder(start + 10));
}

/// After a restore the stored plan is missing, or older than what replicas were ordered to hold.
#[test]
fn plan_is_rebuilt_from_what_replicas_hold_after_a_restore() {
    let (plan, mut table) = placed_fleet();
    // A spare, so that no layer of its domain is left without a holder.
    let spare = plan.slots.iter().find(|slot| slot.spare).unwrap();
    let moved = table.get(key_of(&table, &spare.id)).entry.clone();
    let layers = LayerRange { from: 3, to: 9 };
    table.apply_entry(
        ClockTime(10),
        UpstreamEntry {
            layers,
            position: StorePosition::new(0, 2),
            ..moved
        },
    );
    for (name, stored) in [("missing", None), ("older", Some(plan.clone()))] {
        let start = ClockTime(1_000);
        let mut controller = PlacementController::new(start);
        let token = StorePosition::new(1, 7);
        reclaim(&mut controller, start, &table, token, stored);
        let mut rebuilt = None;
        for step in 1..40 {
            let now = start + step * 100;
            let outputs = controller.handle(now, PlacementInput::Tick, &config(), &table);
            assert_eq!(orders(&outputs), Vec::<&_>::new(), "{name}");
            for output in outputs {
                if let PlacementOutput::StorePlan(plan, at) = output {
                    assert_eq!(at, token, "{name}");
                    rebuilt = Some(plan);
                }
            }
            let renewed = PlacementInput::LeaseRenewed(true, now);
            controller.handle(now, renewed, &config(), &table);
        }
        let rebuilt = rebuilt.unwrap_or_else(|| panic!("{name}: no plan was stored"));
        assert_eq!(rebuilt.era, 1, "{name}");
        assert_eq!(rebuilt.slots.len(), plan.slots.len(), "{name}");
        for slot in &rebuilt.slots {
            let record = table.get(key_of(&table, &slot.id));
            assert_eq!(slot.layers(), record.entry.layers, "{name}: {}", slot.id);
        }
    }
}

/// A replica that still serves requests over layers that it gives up refuses orders for seconds.
#[test]
fn range_that_a_busy_replica_refuses_goes_to_another_one() {
    let (plan, mut table) = placed_fleet();
    let start = ClockTime(1_000);
    let mut controller = lease_holder(start, &table, Some(plan.clone()));
    let dead = key_of(&table, &assigned_ids(&plan, "b")[0]);
    table.report_dead(start, dead);
    let (outputs, now) = next_orders(&mut controller, &table, start);
    let refused = orders(&outputs)[0].clone();
    for order in orders(&outputs) {
        let reply = match order.upstream == refused.upstream {
            true => OrderReply::Conflict(Some(order.sequence)),
            false => OrderReply::Accepted,
        };
        let answered = PlacementInput::OrderAnswered(order.upstream, reply);
        controller.handle(now, answered, &config(), &table);
    }
    let (outputs, later) = next_orders(&mut controller, &table, now);
    assert!(later.since(now) < 700, "a hole of {} ms", later.since(now));
    let others = orders(&outputs);
    assert!(
        others
            .iter()
            .all(|order| order.upstream != refused.upstream),
        "the busy replica was ordered again: {others:?}"
    );
    let covered = |layer| {
        let mut ranges = others.iter().map(|order| order.layers);
        ranges.any(|range| range.from <= layer && layer < range.to)
    };
    assert!((refused.layers.from..refused.layers.to).all(covered));
}

/// The busy replica shows no layers any more: it is not taken for a free one.
#[test]
fn empty_replica_that_refuses_is_not_ordered_again_at_once() {
    let (plan, mut table) = placed_fleet();
    let start = ClockTime(1_000);
    let mut controller = lease_holder(start, &table, Some(plan.clone()));
    let id = assigned_ids(&plan, "b").pop().unwrap();
    let emptied = table.get(key_of(&table, &id)).entry.clone();
    table.apply_entry(
        start,
        UpstreamEntry {
            layers: LayerRange::default(),
            position: StorePosition::new(0, 9),
            ..emptied
        },
    );
    let (outputs, now) = next_orders(&mut controller, &table, start);
    let refused = orders(&outputs)[0].clone();
    assert_eq!(refused.upstream, key_of(&table, &id));
    let busy = OrderReply::Conflict(Some(refused.sequence));
    let answered = PlacementInput::OrderAnswered(refused.upstream, busy);
    controller.handle(now, answered, &config(), &table);
    for step in 1..10 {
        let later = now + step * 100;
        let outputs = controller.handle(later, PlacementInput::Tick, &config(), &table);
        let again = orders(&outputs);
        assert!(
            again.iter().all(|order| order.upstream != refused.upstream),
            "ordered again after {} ms",
            step * 100
        );
        let renewed = PlacementInput::LeaseRenewed(true, later);
        controller.handle(later, renewed, &config(), &table);
    }
}

/// Without another replica for the range, the busy one is asked again, but not all the time.
#[test]
fn busy_replica_is_ordered_again_after_a_while() {
    let (plan, mut table) = placed_fleet();
    let start = ClockTime(1_000);
    let mut controller = lease_holder(start, &table, Some(plan.clone()));
    table.report_dead(start, key_of(&table, &assigned_ids(&plan, "b")[0]));
    let mut sent = 0;
    for step in 1..40 {
        let now = start + step * 100;
        let outputs = controller.handle(now, PlacementInput::Tick, &config(), &table);
        for order in orders(&outputs) {
            sent += 1;
            let busy = OrderReply::Conflict(Some(order.sequence));
            let answered = PlacementInput::OrderAnswered(order.upstream, busy);
            controller.handle(now, answered, &config(), &table);
        }
        let renewed = PlacementInput::LeaseRenewed(true, now);
        controller.handle(now, renewed, &config(), &table);
    }
    let replicas = plan.slots.iter().filter(|slot| slot.domain == "b").count();
    assert!(
        (1..=4 * replicas).contains(&sent),
        "{sent} orders to {replicas} busy replicas in 4 s"
    );
}
