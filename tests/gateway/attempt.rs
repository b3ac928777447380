//! What becomes of a request after each try.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::attempt::{NextStep, TryFailure, TryLedger};
use lynxcart::verdict::RunVerdict;
use proptest::prelude::*;

struct Case {
    name: &'static str,
    repeatable: bool,
    attempts: u32,
    failures: &'static [TryFailure],
    end: NextStep,
}

const CASES: &[Case] = &[
    Case {
        name: "a refusal lets another upstream be tried",
        repeatable: false,
        attempts: 2,
        failures: &[TryFailure::Refused],
        end: NextStep::Again,
    },
    Case {
        name: "refused everywhere did not run",
        repeatable: false,
        attempts: 2,
        failures: &[TryFailure::Refused, TryFailure::Refused],
        end: NextStep::GiveUp(RunVerdict::NotRun),
    },
    Case {
        name: "lost non-idempotent work is never sent again",
        repeatable: false,
        attempts: 2,
        failures: &[TryFailure::Lost],
        end: NextStep::GiveUp(RunVerdict::MayHaveRun),
    },
    Case {
        name: "lost work that may be repeated is",
        repeatable: true,
        attempts: 2,
        failures: &[TryFailure::Lost],
        end: NextStep::Again,
    },
    Case {
        name: "a later refusal does not make an earlier loss undone",
        repeatable: true,
        attempts: 2,
        failures: &[TryFailure::Lost, TryFailure::Refused],
        end: NextStep::GiveUp(RunVerdict::MayHaveRun),
    },
    Case {
        name: "what was never sent costs no attempt",
        repeatable: false,
        attempts: 1,
        failures: &[TryFailure::NotSent, TryFailure::NotSent],
        end: NextStep::Again,
    },
];

#[test]
fn tries_end_as_the_table_says() {
    for case in CASES {
        let mut ledger = TryLedger::new(case.repeatable, case.attempts, ClockTime(1_000));
        let mut next = NextStep::Again;
        for failure in case.failures {
            assert_eq!(next, NextStep::Again, "{}", case.name);
            ledger.send();
            next = ledger.fail(ClockTime(10), *failure);
        }
        assert_eq!(next, case.end, "{}", case.name);
    }
}

#[test]
fn nothing_is_tried_after_the_deadline() {
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
    fn non_idempotent_work_runs_once_and_not_run_is_true(
        repeatable in any::<bool>(), attempts in 1_u32..5,
        failures in proptest::collection::vec(failure(), 1..20)
    ) {
        let mut ledger = TryLedger::new(repeatable, attempts, ClockTime(1_000));
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
        prop_assert!(sent <= attempts);
    }
}
