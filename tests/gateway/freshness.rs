//! Tests of the freshness proof.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::freshness::FreshnessProof;

#[test]
fn a_proof_is_invalid_before_its_bound_ends() {
    let mut proof = FreshnessProof::new(Some(5_000));
    assert!(!proof.is_valid(ClockTime(0)), "there is no proof yet");
    proof.renew(ClockTime(1_000));
    // An answer to an earlier query does not replace a later proof.
    proof.renew(ClockTime(500));
    assert_eq!(proof.age(ClockTime(2_000)), Some(1_000));
    assert!(proof.is_valid(ClockTime(5_500)));
    assert!(
        !proof.is_valid(ClockTime(5_700)),
        "a request must still reach its upstream in time"
    );
    assert!(
        !proof.is_valid(ClockTime(60_000)),
        "time for which the VM was suspended counts"
    );
}

#[test]
fn a_proof_loses_freshness_before_it_becomes_invalid() {
    let mut proof = FreshnessProof::new(Some(5_000));
    proof.renew(ClockTime(0));
    assert!(proof.is_fresh(ClockTime(2_000)));
    assert!(!proof.is_fresh(ClockTime(2_600)));
    assert!(proof.is_valid(ClockTime(2_600)));
}

#[test]
fn without_a_bound_a_proof_never_expires() {
    let mut proof = FreshnessProof::new(None);
    assert!(!proof.is_valid(ClockTime(0)));
    proof.renew(ClockTime(0));
    assert!(proof.is_valid(ClockTime(3_600_000)));
    assert!(proof.is_fresh(ClockTime(3_600_000)));
}
