//! Tests of when a failed attempt is retried, and of the verdict of a request that is given up.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::attempt_ledger::{AttemptFailure, AttemptLedger, NextStep};
use lynxcart::verdict::RunVerdict;
use proptest::prelude::*;

struct Case {
    name: &'static str,
    retryable: bool,
    max_attempts: u32,
    failures: &'static [AttemptFailure],
    expected: NextStep,
}

const CASES: &[Case] = &[
    Case {
        name: "a refusal permits a retry",
        retryable: false,
        max_attempts: 2,
        failures: &[AttemptFailure::Refused],
        expected: NextStep::Again,
    },
    Case {
        name: "a request refused everywhere did not run",
        retryable: false,
        max_attempts: 2,
        failures: &[AttemptFailure::Refused, AttemptFailure::Refused],
        expected: NextStep::GiveUp(RunVerdict::NotRun),
    },
    Case {
        name: "lost non-idempotent work is not retried",
        retryable: false,
        max_attempts: 2,
        failures: &[AttemptFailure::Lost],
        expected: NextStep::GiveUp(RunVerdict::MayHaveRun),
    },
    Case {
        name: "lost idempotent work is retried",
        retryable: true,
        max_attempts: 2,
        failures: &[AttemptFailure::Lost],
        expected: NextStep::Again,
    },
    Case {
        name: "a refusal after a loss does not prove that the request did not run",
        retryable: true,
        max_attempts: 2,
        failures: &[AttemptFailure::Lost, AttemptFailure::Refused],
        expected: NextStep::GiveUp(RunVerdict::MayHaveRun),
    },
    Case {
        name: "an attempt that sent nothing does not count",
        retryable: false,
        max_attempts: 1,
        failures: &[AttemptFailure::NotSent, AttemptFailure::NotSent],
        expected: NextStep::Again,
    },
];

#[test]
fn request_that_is_out_may_have_run() {
    for failure in [
        None,
        Some(AttemptFailure::Refused),
        Some(AttemptFailure::Lost),
    ] {
        let mut ledger = AttemptLedger::new(false, 2, ClockTime(1_000));
        ledger.record_attempt();
        assert_eq!(ledger.verdict(), RunVerdict::NotRun, "not sent yet");
        ledger.record_sent();
        assert_eq!(ledger.verdict(), RunVerdict::MayHaveRun, "sent");
        if let Some(failure) = failure {
            ledger.record_attempt_failure(ClockTime(10), failure);
            assert_eq!(ledger.verdict(), failure.verdict(), "{failure}");
        }
    }
}

#[test]
#[should_panic(expected = "a request was sent outside an attempt")]
fn sending_outside_an_attempt_panics() {
    AttemptLedger::new(true, 2, ClockTime(1_000)).record_sent();
}

#[test]
fn each_sequence_of_failures_ends_as_expected() {
    for case in CASES {
        let mut ledger = AttemptLedger::new(case.retryable, case.max_attempts, ClockTime(1_000));
        let mut next = NextStep::Again;
        for failure in case.failures {
            assert_eq!(next, NextStep::Again, "{}", case.name);
            ledger.record_attempt();
            next = ledger.record_attempt_failure(ClockTime(10), *failure);
        }
        assert_eq!(next, case.expected, "{}", case.name);
    }
}

#[test]
fn there_is_no_retry_close_to_the_deadline() {
    let mut ledger = AttemptLedger::new(true, 5, ClockTime(1_000));
    ledger.record_attempt();
    let next = ledger.record_attempt_failure(ClockTime(990), AttemptFailure::Refused);
    assert_eq!(next, NextStep::GiveUp(RunVerdict::NotRun));
}

fn failure() -> impl Strategy<Value = AttemptFailure> {
    prop_oneof![
        Just(AttemptFailure::NotSent),
        Just(AttemptFailure::Refused),
        Just(AttemptFailure::Lost),
        Just(AttemptFailure::Failed),
    ]
}

proptest! {
    #[test]
    fn non_idempotent_work_runs_at_most_once_and_the_verdict_is_true(
        retryable in any::<bool>(), max_attempts in 1_u32..5,
        failures in proptest::collection::vec(failure(), 1..20)
    ) {
        let mut ledger = AttemptLedger::new(retryable, max_attempts, ClockTime(1_000));
        let (mut sent, mut ran) = (0, 0);
        for failure in failures {
            ledger.record_attempt();
            sent += u32::from(failure != AttemptFailure::NotSent);
            ran += u32::from(failure.verdict() != RunVerdict::NotRun);
            match ledger.record_attempt_failure(ClockTime(1), failure) {
                NextStep::Again => {}
                NextStep::GiveUp(verdict) => {
                    prop_assert_eq!(verdict == RunVerdict::NotRun, ran == 0);
                    break;
                }
            }
        }
        prop_assert!(retryable || ran <= 1);
        prop_assert!(sent <= max_attempts);
    }
}
