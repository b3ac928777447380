//! Tests of the configuration table and its gossip: an applied change is never reverted, every
//! change reaches every entry, and no table reports a revision whose changes it has not applied.

mod world;

use std::collections::BTreeMap;

use lynxcart::entry::state::EntryInput;
use lynxcart::profile::{ConfigTable, CONFIG_PREFIX};
use lynxcart::wire::gen::ConfigItem;
use proptest::prelude::*;

use world::{World, WorldFaults};

/// Bound on the time until every entry has applied a change, in milliseconds.
const IN_FORCE_MS: u64 = 15_000;

fn item(key: u8, revision: u64) -> ConfigItem {
    ConfigItem {
        key: format!("{CONFIG_PREFIX}x/{key}"),
        revision,
        value: revision.to_string().into_bytes(),
    }
}

/// Returns the latest change of each key after revision `after` and up to `to`. Revision `n + 1`
/// changes the key `history[n]`.
fn changes(history: &[u8], after: u64, to: u64) -> Vec<ConfigItem> {
    let mut latest = BTreeMap::new();
    for (revision, key) in (1..).zip(history) {
        if revision > after && revision <= to {
            latest.insert(*key, item(*key, revision));
        }
    }
    latest.into_values().collect()
}

proptest! {
    #[test]
    fn revisions_are_monotonic_and_complete_to_is_accurate(
        history in proptest::collection::vec(0..6u8, 1..30),
        deltas in proptest::collection::vec((0..30u64, 0..30u64), 1..40),
    ) {
        let last_revision = history.len() as u64;
        let mut table = ConfigTable::default();
        let mut applied_revisions: BTreeMap<String, u64> = BTreeMap::new();
        for (a, b) in deltas {
            let (after, to) = (a.min(b).min(last_revision), a.max(b).min(last_revision));
            table.apply(after, to, changes(&history, after, to));
            for item in table.delta_after(0).items {
                let before = applied_revisions.insert(item.key, item.revision).unwrap_or(0);
                prop_assert!(item.revision >= before, "a key went back to an earlier revision");
            }
            // For each change up to `complete_to`, it or a later change of the same key is applied.
            for item in changes(&history, 0, table.complete_to()) {
                let applied = applied_revisions.get(&item.key).copied().unwrap_or(0);
                prop_assert!(
                    applied >= item.revision,
                    "complete_to covers revision {}, which is not applied",
                    item.revision
                );
            }
        }
    }
}

fn config_input(after: u64, complete_to: u64, items: Vec<ConfigItem>) -> EntryInput {
    EntryInput::Config {
        after,
        complete_to,
        items,
    }
}

#[test]
fn a_change_reaches_every_entry_without_the_platform() {
    for seed in 0..50 {
        let faults = WorldFaults {
            messages_lost: 200,
            messages_duplicated: 50,
            max_message_delay_ms: 300,
            ..WorldFaults::none()
        };
        let mut world = World::new(seed, faults);
        (0..4).for_each(|_| world.add_entry());
        world.run_for(3_000);
        // One entry receives the change from the platform, which then stops responding.
        world.push_entry_input(0, config_input(0, 7, vec![item(1, 7)]));
        world.run_for(IN_FORCE_MS);
        for entry in &world.entries {
            assert_eq!(
                entry.state.config().complete_to(),
                7,
                "seed {seed}: {}",
                entry.address
            );
        }
        // Neither a stale read of the platform nor a new peer without configuration reverts it.
        world.push_entry_input(1, config_input(0, 3, vec![item(1, 3)]));
        world.add_entry();
        world.run_for(IN_FORCE_MS);
        for entry in &world.entries {
            let items = entry.state.config().delta_after(0).items;
            assert_eq!(items, vec![item(1, 7)], "seed {seed}: {}", entry.address);
        }
    }
}

#[test]
fn three_entries_read_the_platform() {
    let mut world = World::new(1, WorldFaults::none());
    (0..4).for_each(|_| world.add_entry());
    world.run_for(20_000);
    let readers = world
        .entries
        .iter()
        .filter(|entry| entry.state.is_config_reader())
        .count();
    assert_eq!(readers, 3);
}

#[test]
fn change_reaches_380_entries() {
    const ENTRIES: usize = 380;
    let faults = WorldFaults {
        messages_lost: 10,
        max_message_delay_ms: 100,
        ..WorldFaults::none()
    };
    let mut world = World::new(1, faults);
    (0..ENTRIES).for_each(|_| world.add_entry());
    world.run_for(20_000);
    world.push_entry_input(100, config_input(0, 7, vec![item(1, 7)]));
    let started_at = world.now;
    let outdated_entries = |world: &World| {
        let entries = world.entries.iter();
        entries
            .filter(|entry| entry.state.config().complete_to() < 7)
            .count()
    };
    while outdated_entries(&world) > 0 && world.now.since(started_at) < IN_FORCE_MS {
        world.run_for(100);
    }
    println!(
        "in force on {ENTRIES} entries after {} ms",
        world.now.since(started_at)
    );
    assert_eq!(outdated_entries(&world), 0);
    let readers = world
        .entries
        .iter()
        .filter(|entry| entry.state.is_config_reader())
        .count();
    println!("{readers} entries read the platform");
    let started_at = world.now;
    let messages_before = world.message_count;
    world.run_for(10_000);
    let seconds = world.now.since(started_at) as f64 / 1e3;
    let rate = (world.message_count - messages_before) as f64 / seconds / ENTRIES as f64;
    println!("{rate:.2} gossip messages per second from each entry");
    assert!((1..100).contains(&readers));
}
