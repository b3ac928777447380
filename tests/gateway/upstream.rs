//! Tests of how a gateway applies registry entries and records failures.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::exchange_record::ExchangeEnd;
use lynxcart::gateway::upstream::{LayerRange, UpstreamEntry, UpstreamKey, UpstreamTable};

use lynxcart::store::position::StorePosition;

use crate::fixture::entry;

const NOW: ClockTime = ClockTime(10_000);

/// A position in a store that was never restored.
fn at(revision: u64) -> StorePosition {
    StorePosition::new(0, revision)
}

fn plain_entry(id: &str, revision: u64) -> UpstreamEntry {
    UpstreamEntry {
        position: at(revision),
        ..entry(1, id, "a", "", LayerRange::default())
    }
}

#[test]
fn a_draining_upstream_stays_unusable_until_its_next_incarnation() {
    let mut table = UpstreamTable::default();
    table.apply_entry(NOW, plain_entry("x", 1));
    let key = table.by_address("10.0.0.2:80".parse().unwrap()).unwrap();
    assert!(table.get(key).usable(NOW));
    table.apply_entry(
        NOW,
        UpstreamEntry {
            draining: true,
            ..plain_entry("x", 2)
        },
    );
    assert!(!table.get(key).usable(NOW));
    // Neither a delayed older entry nor a newer one without the draining state makes it usable.
    table.apply_entry(NOW, plain_entry("x", 1));
    table.apply_entry(NOW, plain_entry("x", 3));
    assert!(!table.get(key).usable(NOW));
    // The next incarnation is a different upstream and inherits nothing.
    table.apply_entry(
        NOW,
        UpstreamEntry {
            born: 2,
            ..plain_entry("x", 4)
        },
    );
    let next = table.by_address("10.0.0.2:80".parse().unwrap()).unwrap();
    assert_ne!(next, key);
    assert!(table.get(next).usable(NOW) && table.get(key).gone);
}

#[test]
fn a_removed_upstream_is_gone_at_once_unless_the_store_was_down() {
    let mut table = UpstreamTable::default();
    table.apply_entry(NOW, plain_entry("x", 1));
    let key = table.by_address("10.0.0.2:80".parse().unwrap()).unwrap();
    table.remove_entry(NOW, "x", at(1), false);
    assert!(
        table.get(key).usable(NOW),
        "the removal is older than the entry"
    );
    table.remove_entry(NOW, "x", at(2), false);
    assert!(table.get(key).gone);

    table.apply_entry(NOW, plain_entry("y", 3));
    let key = table.by_address("10.0.0.2:80".parse().unwrap()).unwrap();
    table.remove_entry(NOW, "y", at(4), true);
    assert!(
        !table.get(key).gone,
        "the entry may have lapsed although the upstream is alive"
    );
    table.apply_entry(NOW + 1_500, plain_entry("y", 5));
    table.expire_missing(NOW + 5_000);
    assert!(table.get(key).usable(NOW + 5_000), "it registered again");
    table.remove_entry(NOW + 5_000, "y", at(6), true);
    table.expire_missing(NOW + 8_000);
    assert!(table.get(key).gone, "it did not register again");
}

#[test]
fn each_suspicion_in_a_row_lasts_longer_until_a_success() {
    let mut table = UpstreamTable::default();
    table.apply_entry(NOW, plain_entry("x", 1));
    let key = table.by_address("10.0.0.2:80".parse().unwrap()).unwrap();
    table.suspect(NOW, key);
    assert!(!table.get(key).usable(NOW + 900) && table.get(key).usable(NOW + 1_000));
    table.suspect(NOW + 1_000, key);
    assert!(!table.get(key).usable(NOW + 2_900) && table.get(key).usable(NOW + 3_000));
    table.record_exchange(NOW + 3_900, key, ExchangeEnd::Whole);
    table.suspect(NOW + 4_000, key);
    assert!(table.get(key).usable(NOW + 5_000));
}

#[test]
fn only_consecutive_failures_make_an_upstream_suspect() {
    let mut table = UpstreamTable::default();
    table.apply_entry(NOW, plain_entry("x", 1));
    let key = table.by_address("10.0.0.2:80".parse().unwrap()).unwrap();
    // One answer in ten is lost, as happens at some of the users' replicas.
    for count in 0..200 {
        let end = match count % 10 {
            0 => ExchangeEnd::Invalid,
            _ => ExchangeEnd::Whole,
        };
        table.record_exchange(NOW, key, end);
        assert!(
            table.get(key).usable(NOW),
            "unusable after {count} exchanges"
        );
    }
    let failure_rate = table.get(key).failure_rate(NOW);
    assert!(failure_rate > 0.02 && failure_rate < 0.2);
    for _ in 0..3 {
        table.record_exchange(NOW, key, ExchangeEnd::Invalid);
    }
    assert!(!table.get(key).usable(NOW));
}

/// What is known of an upstream outlives a restore of the store, whose copy returns older entries
/// under lower or repeated revisions.
#[test]
fn entries_of_a_restored_store_are_applied_only_if_they_are_newer() {
    struct Case {
        name: &'static str,
        /// Incarnation, heartbeat number and layers of the entry that the copy has.
        read: (u64, u64, u32),
        /// Layers held afterwards, `None` if the upstream is not usable.
        held: Option<u32>,
    }
    let cases = [
        Case {
            name: "written before what is known",
            read: (5, 8, 10),
            held: Some(20),
        },
        Case {
            name: "what is known",
            read: (5, 9, 20),
            held: Some(20),
        },
        Case {
            name: "written after the restore",
            read: (5, 10, 30),
            held: Some(30),
        },
        Case {
            name: "of an earlier incarnation with more heartbeats",
            read: (4, 99, 10),
            held: Some(20),
        },
        Case {
            name: "of the next incarnation",
            read: (6, 1, 0),
            held: Some(0),
        },
    ];
    let entry_of = |(born, sequence, to): (u64, u64, u32), position| UpstreamEntry {
        born,
        sequence,
        position,
        ..entry(1, "x", "a", "", LayerRange { from: 0, to })
    };
    for case in cases {
        for (state, gone) in [("alive", false), ("gone", true)] {
            let name = format!("{} ({state})", case.name);
            let mut table = UpstreamTable::default();
            table.apply_entry(NOW, entry_of((5, 9, 20), StorePosition::new(1, 900)));
            if gone {
                table.remove_entry(NOW, "x", StorePosition::new(1, 901), false);
            }
            table.apply_read_entry(NOW, entry_of(case.read, StorePosition::new(2, 400)));
            let found = table.iter().find(|(_, record)| record.usable(NOW));
            let held = found.map(|(_, record)| record.entry.layers.to);
            let is_newer = case.read > (5, 9, 20);
            let expected = case.held.filter(|_| !gone || is_newer);
            assert_eq!(held, expected, "{name}");
            // What the upstream then writes itself is applied, whatever its revision.
            table.apply_entry(NOW, entry_of((7, 1, 40), StorePosition::new(2, 401)));
            let found = table.iter().find(|(_, record)| record.usable(NOW));
            assert_eq!(
                found.map(|(_, record)| record.entry.layers.to),
                Some(40),
                "{name}"
            );
        }
    }
}

#[test]
fn removal_after_a_restore_counts_although_its_revision_is_lower() {
    let mut table = UpstreamTable::default();
    let known = UpstreamEntry {
        position: StorePosition::new(1, 900),
        ..plain_entry("x", 0)
    };
    table.apply_entry(NOW, known);
    let key = table.by_address("10.0.0.2:80".parse().unwrap()).unwrap();
    table.remove_entry(NOW, "x", StorePosition::new(1, 400), false);
    assert!(!table.get(key).gone, "an older removal of the same era");
    table.remove_entry(NOW, "x", StorePosition::new(2, 400), false);
    assert!(table.get(key).gone);
}

#[test]
fn upstream_that_asks_to_be_left_alone_is_usable_again_only_after_its_time() {
    let mut table = UpstreamTable::default();
    table.apply_entry(NOW, plain_entry("x", 1));
    let key = table.by_address("10.0.0.2:80".parse().unwrap()).unwrap();
    table.rest(NOW, key, 2_000);
    // Neither a shorter request, nor a success under way, nor a heartbeat ends the time early.
    table.rest(NOW + 100, key, 300);
    table.record_exchange(NOW + 150, key, ExchangeEnd::Whole);
    table.apply_entry(NOW + 200, plain_entry("x", 2));
    assert!(!table.get(key).usable(NOW + 1_999));
    assert_eq!(table.get(key).rest_ms(NOW + 500), 1_500);
    assert!(table.get(key).usable(NOW + 2_000));
    // The next incarnation may be who asked for it, and is usable once it answers otherwise.
    table.rest(NOW + 3_000, key, 2_000);
    table.apply_entry(
        NOW + 3_100,
        UpstreamEntry {
            born: 2,
            ..plain_entry("x", 3)
        },
    );
    let next = table.by_address("10.0.0.2:80".parse().unwrap()).unwrap();
    assert_eq!(table.take_doubted(), [next]);
    assert!(!table.get(next).usable(NOW + 3_100));
    table.settle(next);
    assert!(table.get(next).usable(NOW + 3_100));
}

#[test]
fn upstream_that_says_that_it_is_leaving_gets_no_new_requests_until_its_next_incarnation() {
    let mut table = UpstreamTable::default();
    table.apply_entry(NOW, plain_entry("x", 1));
    let key = table.by_address("10.0.0.2:80".parse().unwrap()).unwrap();
    let version = table.version();
    assert!(table.mark_leaving(key));
    assert!(
        table.version() > version,
        "running streams would not be rerouted"
    );
    assert!(!table.mark_leaving(key), "said before");
    table.apply_entry(NOW + 100, plain_entry("x", 2));
    assert!(!table.get(key).usable(NOW + 100));
}

/// A replica is taken for dead only after it answered nothing for a while, not for one late answer.
#[test]
fn replica_that_is_slow_to_answer_is_not_taken_for_dead() {
    struct Case {
        name: &'static str,
        /// When unanswered queries were sent, and when the replica gave a sign of life.
        unanswered: &'static [u64],
        answered: Option<u64>,
        asked_at: u64,
        unresponsive: bool,
    }
    let cases = [
        Case {
            name: "one late answer",
            unanswered: &[0],
            answered: None,
            asked_at: 250,
            unresponsive: false,
        },
        Case {
            name: "no answer for a while",
            unanswered: &[0, 350],
            answered: None,
            asked_at: 600,
            unresponsive: true,
        },
        Case {
            name: "a sign of life in between",
            unanswered: &[0],
            answered: Some(300),
            asked_at: 600,
            unresponsive: false,
        },
        Case {
            name: "a query that a sign of life overtook",
            unanswered: &[100],
            answered: Some(300),
            asked_at: 600,
            unresponsive: false,
        },
        Case {
            name: "one late answer after such a query",
            unanswered: &[100, 500],
            answered: Some(300),
            asked_at: 750,
            unresponsive: false,
        },
    ];
    for case in cases {
        let mut table = UpstreamTable::default();
        table.apply_entry(NOW, plain_entry("x", 1));
        let key = table.by_address("10.0.0.2:80".parse().unwrap()).unwrap();
        if let Some(answered) = case.answered {
            table.record_answer(NOW + answered, key);
        }
        for sent_at in case.unanswered {
            table.record_unanswered(key, NOW + *sent_at);
        }
        assert_eq!(
            table.get(key).unresponsive(NOW + case.asked_at),
            case.unresponsive,
            "{}",
            case.name
        );
    }
}

/// A dead replica is named by the refusals of all chains over it until its entry lapses; one that
/// only lacks room goes on with its heartbeats.
#[test]
fn replica_without_heartbeats_is_asked_ever_less_after_refusals() {
    let refusals = |heartbeat_ms: Option<u64>| {
        let mut table = UpstreamTable::default();
        table.apply_entry(NOW, plain_entry("x", 1));
        let key = table.by_address("10.0.0.2:80".parse().unwrap()).unwrap();
        let mut asked = 0;
        for ms in 1..=4_000 {
            if heartbeat_ms.is_some_and(|interval| ms % interval == 0) {
                table.apply_entry(NOW + ms, plain_entry("x", 1 + ms));
            }
            // A request is at hand at any time.
            if table.get(key).usable(NOW + ms) {
                asked += 1;
                table.pause(NOW + ms, key);
                // Refusals of requests that were under way arrive a little later.
                table.pause(NOW + ms + 3, key);
            }
        }
        asked
    };
    assert_eq!(refusals(None), 5, "at 0, 0.25, 0.75, 1.75 and 3.75 s");
    assert!(refusals(Some(300)) >= 12, "a living replica is asked again");
}

#[test]
fn address_that_is_used_again_is_that_of_the_upstream_which_registered_last() {
    let address = "10.0.0.2:80".parse().unwrap();
    let mut table = UpstreamTable::default();
    assert_eq!(table.by_address(address), None);
    table.apply_entry(NOW, plain_entry("x", 1));
    let first = table.by_address(address).unwrap();
    table.apply_entry(NOW, plain_entry("y", 2));
    let second = table.by_address(address).unwrap();
    assert_eq!(table.get(second).entry.id, "y");
    // Once that is gone, the other one is found again while it is registered.
    table.remove_entry(NOW, "y", at(3), false);
    assert_eq!(table.by_address(address), Some(first));
    table.remove_entry(NOW, "x", at(4), false);
    assert_eq!(table.by_address(address), None);
}

#[test]
fn upstream_that_said_that_it_is_leaving_stays_barred_when_its_entry_lapses_and_returns() {
    struct Case {
        name: &'static str,
        said_by: fn(&mut UpstreamTable, UpstreamKey),
        /// `born` of the entry that returns.
        born: u64,
        registered: bool,
    }
    let cases = [
        Case {
            name: "said to this gateway",
            said_by: |table, key| assert!(table.mark_leaving(key)),
            born: 7,
            registered: false,
        },
        Case {
            name: "said to a peer",
            said_by: |table, key| assert!(table.mark_draining(key)),
            born: 7,
            registered: false,
        },
        Case {
            name: "started again",
            said_by: |table, key| assert!(table.mark_leaving(key)),
            born: 8,
            registered: true,
        },
    ];
    for case in cases {
        for store_was_down in [false, true] {
            let entry = |position, born| UpstreamEntry {
                born,
                ..plain_entry("x", position)
            };
            let mut table = UpstreamTable::default();
            table.apply_entry(NOW, entry(1, 7));
            let address = "10.0.0.2:80".parse().unwrap();
            let key = table.by_address(address).unwrap();
            (case.said_by)(&mut table, key);
            table.remove_entry(NOW, "x", at(2), store_was_down);
            let later = NOW + 5_000;
            table.expire_missing(later);
            table.apply_entry(later, entry(3, case.born));
            let returned = table.by_address(address).unwrap();
            assert!(!table.get(returned).registered(), "{}", case.name);
            // Only a new incarnation is asked, and answers that it does not leave.
            let asked = table.take_doubted();
            assert_eq!(asked == [returned], case.registered, "{}", case.name);
            asked.into_iter().for_each(|key| table.settle(key));
            let record = table.get(returned);
            assert_eq!(record.registered(), case.registered, "{}", case.name);
        }
    }
}

#[test]
fn upstream_that_asked_to_be_left_alone_is_left_alone_when_its_entry_lapses_and_returns() {
    for (born, resting) in [(7, true), (8, false), (0, false)] {
        let entry = |position| UpstreamEntry {
            born,
            ..plain_entry("x", position)
        };
        let first = UpstreamEntry {
            born: born.min(7),
            ..plain_entry("x", 1)
        };
        let mut table = UpstreamTable::default();
        table.apply_entry(NOW, first);
        let address = "10.0.0.2:80".parse().unwrap();
        let key = table.by_address(address).unwrap();
        table.rest(NOW, key, 9_000);
        table.add_request(key, 1.0);
        table.remove_entry(NOW, "x", at(2), false);
        table.apply_entry(NOW + 3_000, entry(3));
        let returned = table.by_address(address).unwrap();
        assert_eq!(
            table.get(returned).resting(NOW + 3_000),
            resting,
            "born {born}"
        );
        assert_eq!(
            table.get(returned).in_flight,
            u32::from(resting),
            "born {born}"
        );
    }
}

/// Entry of an incarnation of a replica, at the revision that is its start.
fn incarnation(born: u64) -> UpstreamEntry {
    UpstreamEntry {
        born,
        ..plain_entry("x", born)
    }
}

fn newest(table: &UpstreamTable) -> UpstreamKey {
    let address = incarnation(1).address;
    table.by_address(address).expect("it should be known")
}

#[test]
fn incarnation_that_may_have_spoken_under_another_name_is_unused_until_it_answers() {
    struct Case {
        name: &'static str,
        /// What happens while the registry has the first incarnation.
        before: fn(&mut UpstreamTable),
        /// What happens once it has the second one.
        after: fn(&mut UpstreamTable),
    }
    fn nothing(_: &mut UpstreamTable) {}
    let cases = [
        Case {
            name: "said so",
            before: |table| assert!(table.mark_leaving(newest(table))),
            after: nothing,
        },
        Case {
            name: "a peer was told",
            before: |table| assert!(table.mark_told_leaving(newest(table))),
            after: nothing,
        },
        Case {
            name: "named a limit",
            before: |table| table.set_limit(newest(table), Some(2.0)),
            after: nothing,
        },
        Case {
            name: "asked to be left alone",
            before: |table| table.rest(NOW, newest(table), 1),
            after: nothing,
        },
        Case {
            name: "the store says so of the first incarnation",
            before: |table| assert!(table.bar_incarnation("x", 1)),
            after: nothing,
        },
        Case {
            name: "the store says so later",
            before: nothing,
            after: |table| assert!(!table.bar_incarnation("x", 1)),
        },
        Case {
            name: "a peer names an incarnation that is not known",
            before: |table| table.apply_told_elsewhere(incarnation(1).address, 7),
            after: nothing,
        },
        Case {
            name: "a peer names the first incarnation later",
            before: nothing,
            after: |table| table.apply_told_elsewhere(incarnation(1).address, 1),
        },
        Case {
            name: "one in between did not answer",
            before: |table| {
                table.mark_leaving(newest(table));
                table.apply_entry(
                    NOW,
                    UpstreamEntry {
                        born: 2,
                        ..incarnation(5)
                    },
                );
            },
            after: nothing,
        },
    ];
    for case in cases {
        let mut table = UpstreamTable::default();
        table.apply_entry(NOW, incarnation(1));
        (case.before)(&mut table);
        table.apply_entry(NOW, incarnation(9));
        (case.after)(&mut table);
        let key = newest(&table);
        assert_eq!(table.get(key).entry.born, 9, "{}", case.name);
        assert!(!table.get(key).registered(), "{}", case.name);
        assert_eq!(table.take_doubted(), [key], "{}", case.name);
        assert_eq!(table.take_doubted(), [], "{}: asked twice", case.name);
        table.settle(key);
        assert!(table.get(key).usable(NOW), "{}", case.name);
        // The same words are heard again, of before it answered.
        table.apply_told_elsewhere(incarnation(1).address, 1);
        table.bar_incarnation("x", 1);
        assert!(table.get(key).usable(NOW), "{}", case.name);
        assert!(table.mark_leaving(key) && !table.get(key).registered());
    }
}

#[test]
fn incarnation_that_is_known_to_be_leaving_is_barred_without_asking() {
    let told: [fn(&mut UpstreamTable); 2] = [
        |table| assert!(!table.bar_incarnation("x", 9)),
        |table| {
            table.apply_told_elsewhere(incarnation(1).address, 9);
            // A gateway that starts is told by its peers before it reads the notices.
            table.forget_barred_incarnations();
        },
    ];
    for tell in told {
        let mut table = UpstreamTable::default();
        tell(&mut table);
        table.apply_entry(NOW, incarnation(9));
        assert!(table.get(newest(&table)).entry.draining);
        assert_eq!(table.take_doubted(), []);
    }
}

#[test]
fn incarnation_after_one_that_the_registry_had_draining_is_used_at_once() {
    let mut table = UpstreamTable::default();
    let draining = true;
    table.apply_entry(
        NOW,
        UpstreamEntry {
            draining,
            ..incarnation(1)
        },
    );
    table.apply_entry(NOW, incarnation(2));
    assert!(table.get(newest(&table)).usable(NOW));
}

#[test]
fn heartbeats_of_an_upstream_that_said_it_is_leaving_change_nothing() {
    let mut table = UpstreamTable::default();
    table.apply_entry(NOW, plain_entry("x", 1));
    table.mark_leaving(newest(&table));
    let version = table.version();
    for revision in 2..5 {
        assert!(!table.apply_entry(NOW, plain_entry("x", revision)));
    }
    assert_eq!(table.version(), version);
}

#[test]
fn incarnation_in_doubt_is_asked_again_when_its_entry_lapsed_and_returned() {
    let mut table = UpstreamTable::default();
    table.apply_entry(NOW, incarnation(1));
    table.mark_leaving(newest(&table));
    table.apply_entry(NOW, incarnation(2));
    let key = newest(&table);
    assert_eq!(table.take_doubted(), [key]);
    table.remove_entry(NOW, "x", at(3), false);
    assert!(table.get(key).gone);
    let born = 2;
    assert!(table.apply_entry(
        NOW,
        UpstreamEntry {
            born,
            ..plain_entry("x", 4)
        }
    ));
    assert_eq!(table.take_doubted(), [key]);
}

#[test]
fn replica_that_gives_layers_up_sheds_the_requests_that_run_on_them() {
    struct Case {
        name: &'static str,
        held: (u32, u32),
        run: (u32, u32),
        sheds: bool,
    }
    let cases = [
        Case {
            name: "all that it holds",
            held: (10, 20),
            run: (10, 20),
            sheds: false,
        },
        Case {
            name: "part of what it holds",
            held: (10, 20),
            run: (12, 18),
            sheds: false,
        },
        Case {
            name: "it has given all up to load others",
            held: (0, 0),
            run: (10, 20),
            sheds: true,
        },
        Case {
            name: "it has given some up",
            held: (14, 20),
            run: (10, 20),
            sheds: true,
        },
        Case {
            name: "it extends beyond them",
            held: (10, 23),
            run: (10, 20),
            sheds: false,
        },
    ];
    let range = |(from, to)| LayerRange { from, to };
    for case in cases {
        let mut table = UpstreamTable::default();
        table.apply_entry(NOW, entry(1, "x", "a", "l4", range(case.held)));
        let (_, record) = table.iter().next().expect("a registered replica");
        assert_eq!(record.sheds(range(case.run)), case.sheds, "{}", case.name);
    }
}
