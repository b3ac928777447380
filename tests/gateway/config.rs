//! Settings of a gateway.

use lynxcart::config::{budget_ratio, budget_window_ms, drain_limit_ms, revoke_ms};

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
fn a_wrong_setting_says_what_is_expected() {
    let error = budget_ratio(Some(&flag("many"))).unwrap_err().to_string();
    assert!(
        error.contains("LYNXCART_BUDGET_RATIO") && error.contains("repeats"),
        "{error}"
    );
}
