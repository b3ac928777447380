//! Proof that the configuration is the newest.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::freshness::FreshnessProof;

#[test]
fn keys_are_not_served_longer_than_the_bound_after_the_last_proof() {
    let mut proof = FreshnessProof::new(Some(5_000));
    assert!(!proof.is_valid(ClockTime(0)), "nothing is proved yet");
    proof.renew(ClockTime(1_000));
    // An answer that was asked for earlier proves nothing later.
    proof.renew(ClockTime(500));
    assert_eq!(proof.age(ClockTime(2_000)), Some(1_000));
    assert!(proof.is_valid(ClockTime(5_500)));
    assert!(
        !proof.is_valid(ClockTime(5_700)),
        "a request must still reach its upstream in time"
    );
    assert!(
        !proof.is_valid(ClockTime(60_000)),
        "the clock counts a suspended VM's time"
    );
}

#[test]
fn callers_are_led_elsewhere_before_they_have_to_be_refused() {
    let mut proof = FreshnessProof::new(Some(5_000));
    proof.renew(ClockTime(0));
    assert!(proof.is_fresh(ClockTime(2_000)));
    assert!(!proof.is_fresh(ClockTime(2_600)));
    assert!(proof.is_valid(ClockTime(2_600)));
}

#[test]
fn without_a_bound_old_word_is_good() {
    let mut proof = FreshnessProof::new(None);
    assert!(!proof.is_valid(ClockTime(0)));
    proof.renew(ClockTime(0));
    assert!(proof.is_valid(ClockTime(3_600_000)));
    assert!(proof.is_fresh(ClockTime(3_600_000)));
}
