//! Tests of a gateway's settings.

use lynxcart::config::{budget_ratio, budget_window_ms, drain_limit_ms, revoke_ms};
use lynxcart::gateway::sync::{config_wait_ms, registry_pause_ms};

fn flag(value: &str) -> String {
    value.to_owned()
}

#[test]
fn times_are_milliseconds_or_seconds_with_the_suffix_s() {
    let cases = [
        ("8000", Some(8_000)),
        ("8s", Some(8_000)),
        ("8.5s", Some(8_500)),
        ("0.25s", Some(250)),
        ("8.5", None),
        ("-1s", None),
        ("s", None),
        ("NaNs", None),
        ("infs", None),
        ("9999s", None),
        ("8 s", None),
    ];
    for (text, expected) in cases {
        assert_eq!(drain_limit_ms(Some(&flag(text))).ok(), expected, "{text}");
    }
    assert_eq!(budget_window_ms(Some(&flag("10s"))).unwrap(), 10_000);
    assert_eq!(revoke_ms(Some(&flag("5000"))).unwrap(), Some(5_000));
    assert_eq!(
        revoke_ms(Some(&flag("0"))).unwrap(),
        None,
        "zero means no bound"
    );
}

#[test]
fn store_query_intervals_follow_from_the_bounds() {
    for bound in [1_000, 2_000, 3_000, 5_000, 60_000] {
        // Two queries fit into the time for which a proof counts as fresh, with time for the query
        // itself.
        assert!(config_wait_ms(Some(bound)) * 3 / 2 < bound / 2, "{bound}");
        // A change that one query just missed is seen by the next, with time left to apply it.
        assert!(registry_pause_ms(bound) * 2 < bound, "{bound}");
        assert!(
            registry_pause_ms(bound) >= 200,
            "{bound}: the store is queried too often"
        );
    }
    assert!(config_wait_ms(None) <= 10_000);
}

#[test]
fn an_invalid_setting_is_reported_with_the_expected_range() {
    let error = budget_ratio(Some(&flag("many"))).unwrap_err().to_string();
    assert!(
        error.contains("LYNXCART_BUDGET_RATIO") && error.contains("repeats"),
        "{error}"
    );
}
