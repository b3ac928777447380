//! Tests of how a gateway applies registry entries and records failures.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::upstream::{LayerRange, UpstreamEntry, UpstreamTable};

use crate::fixture::entry;

const NOW: ClockTime = ClockTime(10_000);

fn plain_entry(id: &str, revision: u64) -> UpstreamEntry {
    UpstreamEntry {
        revision,
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
    table.remove_entry(NOW, "x", 1, false);
    assert!(
        table.get(key).usable(NOW),
        "the removal is older than the entry"
    );
    table.remove_entry(NOW, "x", 2, false);
    assert!(table.get(key).gone);

    table.apply_entry(NOW, plain_entry("y", 3));
    let key = table.by_address("10.0.0.2:80".parse().unwrap()).unwrap();
    table.remove_entry(NOW, "y", 4, true);
    assert!(
        !table.get(key).gone,
        "the entry may have lapsed although the upstream is alive"
    );
    table.apply_entry(NOW + 1_500, plain_entry("y", 5));
    table.expire_missing(NOW + 5_000);
    assert!(table.get(key).usable(NOW + 5_000), "it registered again");
    table.remove_entry(NOW + 5_000, "y", 6, true);
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
    table.record_exchange_success(key);
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
        match count % 10 {
            0 => table.record_exchange_failure(NOW, key),
            _ => table.record_exchange_success(key),
        }
        assert!(
            table.get(key).usable(NOW),
            "unusable after {count} exchanges"
        );
    }
    assert!(table.get(key).failure_rate > 0.02 && table.get(key).failure_rate < 0.2);
    for _ in 0..3 {
        table.record_exchange_failure(NOW, key);
    }
    assert!(!table.get(key).usable(NOW));
}
