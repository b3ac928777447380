//! Settings of a gateway.

use lynxcart::config::{budget_ratio, budget_window_ms, drain_limit_ms, revoke_ms};
use lynxcart::gateway::sync::{config_wait_ms, registry_pause_ms};

fn flag(value: &str) -> String {
    value.to_owned()
}

#[test]
fn times_are_milliseconds_or_seconds_with_an_s() {
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
    assert_eq!(revoke_ms(Some(&flag("0"))).unwrap(), None, "keys may lag");
}

#[test]
fn the_pace_of_questions_to_the_store_follows_from_the_bounds() {
    for bound in [1_000, 2_000, 3_000, 5_000, 60_000] {
        // Two proofs within the time in which one counts as fresh, less what a call takes.
        assert!(config_wait_ms(Some(bound)) * 3 / 2 < bound / 2, "{bound}");
        // A change that just missed a question is seen by the next, with time to act.
        assert!(registry_pause_ms(bound) * 2 < bound, "{bound}");
        assert!(
            registry_pause_ms(bound) >= 200,
            "{bound}: the store is asked too often"
        );
    }
    assert!(config_wait_ms(None) <= 10_000);
}

#[test]
fn a_wrong_setting_says_what_is_expected() {
    let error = budget_ratio(Some(&flag("many"))).unwrap_err().to_string();
    assert!(
        error.contains("LYNXCART_BUDGET_RATIO") && error.contains("repeats"),
        "{error}"
    );
}
