//! The registry as a gateway sees it.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::upstream::{LayerRange, UpstreamEntry, UpstreamTable};

use crate::fixture::entry;

const NOW: ClockTime = ClockTime(10_000);

fn plain(id: &str, revision: u64) -> UpstreamEntry {
    UpstreamEntry {
        revision,
        ..entry(1, id, "a", "", LayerRange::default())
    }
}

#[test]
fn a_leaving_upstream_gets_nothing_new_and_does_not_come_back_in_one_incarnation() {
    let mut table = UpstreamTable::default();
    table.hear(NOW, plain("x", 1));
    let key = table.at("10.0.0.2:80".parse().unwrap()).unwrap();
    assert!(table.get(key).usable(NOW));
    table.hear(
        NOW,
        UpstreamEntry {
            draining: true,
            ..plain("x", 2)
        },
    );
    assert!(!table.get(key).usable(NOW));
    // A late copy of an older word, and a newer one that has forgotten.
    table.hear(NOW, plain("x", 1));
    table.hear(NOW, plain("x", 3));
    assert!(!table.get(key).usable(NOW));
    // The next incarnation is another upstream with nothing of before.
    table.hear(
        NOW,
        UpstreamEntry {
            born: 2,
            ..plain("x", 4)
        },
    );
    let next = table.at("10.0.0.2:80".parse().unwrap()).unwrap();
    assert_ne!(next, key);
    assert!(table.get(next).usable(NOW) && table.get(key).gone);
}

#[test]
fn a_removal_ends_an_upstream_at_once_unless_the_store_was_away() {
    let mut table = UpstreamTable::default();
    table.hear(NOW, plain("x", 1));
    let key = table.at("10.0.0.2:80".parse().unwrap()).unwrap();
    table.removed(NOW, "x", 1, false);
    assert!(
        table.get(key).usable(NOW),
        "the removal is older than its word"
    );
    table.removed(NOW, "x", 2, false);
    assert!(table.get(key).gone);

    table.hear(NOW, plain("y", 3));
    let key = table.at("10.0.0.2:80".parse().unwrap()).unwrap();
    table.removed(NOW, "y", 4, true);
    assert!(
        !table.get(key).gone,
        "it may have lapsed while the upstream lives"
    );
    table.hear(NOW + 1_500, plain("y", 5));
    table.settle(NOW + 5_000);
    assert!(table.get(key).usable(NOW + 5_000), "it came back");
    table.removed(NOW + 5_000, "y", 6, true);
    table.settle(NOW + 8_000);
    assert!(table.get(key).gone, "it did not come back");
}

#[test]
fn a_suspect_is_passed_over_longer_each_time_and_praise_ends_that() {
    let mut table = UpstreamTable::default();
    table.hear(NOW, plain("x", 1));
    let key = table.at("10.0.0.2:80".parse().unwrap()).unwrap();
    table.suspect(NOW, key);
    assert!(!table.get(key).usable(NOW + 900) && table.get(key).usable(NOW + 1_000));
    table.suspect(NOW + 1_000, key);
    assert!(!table.get(key).usable(NOW + 2_900) && table.get(key).usable(NOW + 3_000));
    table.praise(key);
    table.suspect(NOW + 4_000, key);
    assert!(table.get(key).usable(NOW + 5_000));
}

#[test]
fn an_upstream_that_loses_some_answers_stays_and_one_that_loses_all_goes() {
    let mut table = UpstreamTable::default();
    table.hear(NOW, plain("x", 1));
    let key = table.at("10.0.0.2:80".parse().unwrap()).unwrap();
    // One answer in ten is lost, as a replica does on the users' days.
    for count in 0..200 {
        match count % 10 {
            0 => table.fail(NOW, key),
            _ => table.praise(key),
        }
        assert!(table.get(key).usable(NOW), "passed over after {count}");
    }
    assert!(table.get(key).failure_rate > 0.02 && table.get(key).failure_rate < 0.2);
    for _ in 0..3 {
        table.fail(NOW, key);
    }
    assert!(!table.get(key).usable(NOW));
}
