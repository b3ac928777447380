//! Tests of what follows a failed attempt.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::attempt::{NextStep, TryFailure, TryLedger};
use lynxcart::verdict::RunVerdict;
use proptest::prelude::*;

struct Case {
    name: &'static str,
    repeatable: bool,
    max_attempts: u32,
    failures: &'static [TryFailure],
    expected: NextStep,
}

const CASES: &[Case] = &[
    Case {
        name: "a refusal permits a retry",
        repeatable: false,
        max_attempts: 2,
        failures: &[TryFailure::Refused],
        expected: NextStep::Again,
    },
    Case {
        name: "a request refused everywhere did not run",
        repeatable: false,
        max_attempts: 2,
        failures: &[TryFailure::Refused, TryFailure::Refused],
        expected: NextStep::GiveUp(RunVerdict::NotRun),
    },
    Case {
        name: "lost non-idempotent work is not retried",
        repeatable: false,
        max_attempts: 2,
        failures: &[TryFailure::Lost],
        expected: NextStep::GiveUp(RunVerdict::MayHaveRun),
    },
    Case {
        name: "lost idempotent work is retried",
        repeatable: true,
        max_attempts: 2,
        failures: &[TryFailure::Lost],
        expected: NextStep::Again,
    },
    Case {
        name: "a refusal after a loss does not prove that the request did not run",
        repeatable: true,
        max_attempts: 2,
        failures: &[TryFailure::Lost, TryFailure::Refused],
        expected: NextStep::GiveUp(RunVerdict::MayHaveRun),
    },
    Case {
        name: "an attempt that sent nothing does not count",
        repeatable: false,
        max_attempts: 1,
        failures: &[TryFailure::NotSent, TryFailure::NotSent],
        expected: NextStep::Again,
    },
];

#[test]
fn each_sequence_of_failures_ends_as_expected() {
    for case in CASES {
        let mut ledger = TryLedger::new(case.repeatable, case.max_attempts, ClockTime(1_000));
        let mut next = NextStep::Again;
        for failure in case.failures {
            assert_eq!(next, NextStep::Again, "{}", case.name);
            ledger.send();
            next = ledger.fail(ClockTime(10), *failure);
        }
        assert_eq!(next, case.expected, "{}", case.name);
    }
}

#[test]
fn there_is_no_retry_close_to_the_deadline() {
    let mut ledger = TryLedger::new(true, 5, ClockTime(1_000));
    ledger.send();
    let next = ledger.fail(ClockTime(990), TryFailure::Refused);
    assert_eq!(next, NextStep::GiveUp(RunVerdict::NotRun));
}

fn failure() -> impl Strategy<Value = TryFailure> {
    prop_oneof![
        Just(TryFailure::NotSent),
        Just(TryFailure::Refused),
        Just(TryFailure::Lost),
        Just(TryFailure::Failed),
    ]
}

proptest! {
    #[test]
    fn non_idempotent_work_runs_at_most_once_and_the_verdict_is_true(
        repeatable in any::<bool>(), max_attempts in 1_u32..5,
        failures in proptest::collection::vec(failure(), 1..20)
    ) {
        let mut ledger = TryLedger::new(repeatable, max_attempts, ClockTime(1_000));
        let (mut sent, mut ran) = (0, 0);
        for failure in failures {
            ledger.send();
            sent += u32::from(failure != TryFailure::NotSent);
            ran += u32::from(failure.verdict() != RunVerdict::NotRun);
            match ledger.fail(ClockTime(1), failure) {
                NextStep::Again => {}
                NextStep::GiveUp(verdict) => {
                    prop_assert_eq!(verdict == RunVerdict::NotRun, ran == 0);
                    break;
                }
            }
        }
        prop_assert!(repeatable || ran <= 1);
        prop_assert!(sent <= max_attempts);
    }
}
