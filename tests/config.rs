//! An accepted change never reverts, reaches every entry, and nobody claims to know more than
//! it does.

mod world;

use std::collections::BTreeMap;

use lynxcart::entry::state::EntryInput;
use lynxcart::profile::{ConfigTable, CONFIG_PREFIX};
use lynxcart::wire::gen::ConfigItem;
use proptest::prelude::*;

use world::{World, WorldFaults};

/// Target of letter 1: a change is in force everywhere within this time, milliseconds.
const IN_FORCE_MS: u64 = 15_000;

fn item(key: u8, revision: u64) -> ConfigItem {
    ConfigItem {
        key: format!("{CONFIG_PREFIX}x/{key}"),
        revision,
        value: revision.to_string().into_bytes(),
    }
}

/// The changes after `after` and up to `to`: revision `n + 1` changes key `history[n]`.
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
    fn the_table_is_monotonic_and_claims_only_what_it_knows(
        history in proptest::collection::vec(0..6u8, 1..30),
        pieces in proptest::collection::vec((0..30u64, 0..30u64), 1..40),
    ) {
        let last = history.len() as u64;
        let mut table = ConfigTable::default();
        let mut seen: BTreeMap<String, u64> = BTreeMap::new();
        for (a, b) in pieces {
            let (after, to) = (a.min(b).min(last), a.max(b).min(last));
            table.apply(after, to, changes(&history, after, to));
            for item in table.delta_after(0).items {
                let before = seen.insert(item.key, item.revision).unwrap_or(0);
                prop_assert!(item.revision >= before, "a key went back");
            }
            // Every change up to `complete_to` is known, or one of the same key after it.
            for item in changes(&history, 0, table.complete_to()) {
                let known = seen.get(&item.key).copied().unwrap_or(0);
                prop_assert!(known >= item.revision, "claimed {} without it", item.revision);
            }
        }
    }
}

fn config(after: u64, complete_to: u64, items: Vec<ConfigItem>) -> EntryInput {
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
            mail_lost: 200,
            mail_doubled: 50,
            mail_delay_ms: 300,
            ..WorldFaults::none()
        };
        let mut world = World::new(seed, faults);
        (0..4).for_each(|_| world.add_entry());
        world.run_for(3_000);
        // One entry hears of it from the platform, which is then gone.
        world.give_entry(0, config(0, 7, vec![item(1, 7)]));
        world.run_for(IN_FORCE_MS);
        for entry in &world.entries {
            assert_eq!(
                entry.state.config().complete_to(),
                7,
                "seed {seed}: {}",
                entry.address
            );
        }
        // A platform that answers old data, and a peer that knows less, take nothing back.
        world.give_entry(1, config(0, 3, vec![item(1, 3)]));
        world.add_entry();
        world.run_for(IN_FORCE_MS);
        for entry in &world.entries {
            let items = entry.state.config().delta_after(0).items;
            assert_eq!(items, vec![item(1, 7)], "seed {seed}: {}", entry.address);
        }
    }
}

#[test]
fn a_few_entries_read_the_platform() {
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
fn a_change_reaches_as_many_entries_as_there_are_to_be() {
    const ENTRIES: usize = 380;
    let faults = WorldFaults {
        mail_lost: 10,
        mail_delay_ms: 100,
        ..WorldFaults::none()
    };
    let mut world = World::new(1, faults);
    (0..ENTRIES).for_each(|_| world.add_entry());
    world.run_for(20_000);
    world.give_entry(100, config(0, 7, vec![item(1, 7)]));
    let began = world.now;
    let lags = |world: &World| {
        let entries = world.entries.iter();
        entries
            .filter(|entry| entry.state.config().complete_to() < 7)
            .count()
    };
    while lags(&world) > 0 && world.now.since(began) < IN_FORCE_MS {
        world.run_for(100);
    }
    println!(
        "in force on {ENTRIES} entries after {} ms",
        world.now.since(began)
    );
    assert_eq!(lags(&world), 0);
    let readers = world
        .entries
        .iter()
        .filter(|entry| entry.state.is_config_reader())
        .count();
    println!("{readers} readers of the platform");
    let began = world.now;
    let mails = world.mails;
    world.run_for(10_000);
    let seconds = world.now.since(began) as f64 / 1e3;
    let rate = (world.mails - mails) as f64 / seconds / ENTRIES as f64;
    println!("{rate:.2} messages of gossip a second from each entry");
    assert!((1..100).contains(&readers));
}
