//! Tests of the course of a graceful shutdown, and of what it gives the requests that outlast it.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::shutdown::{
    EndingAnswer, RequestProgress, ShutdownPhase, ShutdownSchedule, ShutdownStep,
};
use lynxcart::verdict::RunVerdict;
use proptest::prelude::*;

/// When the signal comes.
const SIGNAL: ClockTime = ClockTime(1_000);
const ENDING: ShutdownStep = ShutdownStep::Continue(ShutdownPhase::Ending);

#[test]
fn requests_are_answered_before_the_drain_limit() {
    let mut schedule = ShutdownSchedule::new(SIGNAL, 8_000);
    let phases: Vec<_> = (0..8_000)
        .map(|elapsed_ms| schedule.step(SIGNAL + elapsed_ms, 1, 5))
        .collect();
    let count = |step| phases.iter().filter(|phase| **phase == step).count();
    assert_eq!(phases[0], ShutdownStep::Continue(ShutdownPhase::Leaving));
    assert!(count(ShutdownStep::Continue(ShutdownPhase::Closing)) > 0);
    assert!(count(ENDING) > 0, "no time for the answers");
    assert_eq!(phases[7_999], ShutdownStep::CutShort { requests: 5 });
    // Replicas at work in the last sixth of the grace excuse a late end.
    assert!(!phases[..8_000 / 6 * 5].contains(&ENDING), "ended early");
}

#[test]
fn idle_gateway_stops_before_the_drain_limit() {
    let mut schedule = ShutdownSchedule::new(SIGNAL, 8_000);
    let mut steps = (0..8_000).map(|elapsed_ms| schedule.step(SIGNAL + elapsed_ms, 1, 0));
    let end = steps.find(|step| !matches!(step, ShutdownStep::Continue(_)));
    assert_eq!(end, Some(ShutdownStep::Stop));
}

#[test]
fn second_signal_and_short_limits_leave_time_for_answers() {
    for (drain_limit_ms, signals) in [(8_000, 2), (0, 1), (1, 1), (500, 1), (0, 3)] {
        let mut schedule = ShutdownSchedule::new(SIGNAL, drain_limit_ms);
        assert_eq!(schedule.step(SIGNAL, signals, 5), ENDING);
        assert_eq!(schedule.step(SIGNAL + 50, signals, 5), ENDING);
        let end = schedule.step(SIGNAL + 60, signals, 0);
        let cut_short = ShutdownStep::CutShort { requests: 5 };
        assert_eq!(end, cut_short, "{drain_limit_ms} {signals}");
    }
}

#[test]
fn answer_says_that_a_request_did_not_run_only_if_it_was_never_sent() {
    for verdict in [RunVerdict::NotRun, RunVerdict::MayHaveRun, RunVerdict::Ran] {
        for holds_error in [false, true] {
            let answer = EndingAnswer::of(RequestProgress::Unanswered {
                verdict,
                holds_error,
            });
            let expected = match (holds_error, verdict) {
                (true, _) => EndingAnswer::UpstreamError,
                (false, RunVerdict::NotRun) => EndingAnswer::NotRun,
                (false, _) => EndingAnswer::MayHaveRun,
            };
            assert_eq!(answer, expected, "{verdict} {holds_error}");
        }
    }
    let stream = EndingAnswer::of(RequestProgress::Streaming);
    assert_eq!(stream, EndingAnswer::BrokenOff);
}

proptest! {
    /// A shutdown never goes back to an earlier phase, and exits only after the requests in flight
    /// were told to end, or with none.
    #[test]
    fn phases_follow_one_another(
        drain_limit_ms in 0_u64..10_000,
        steps in prop::collection::vec((0_u64..700, 1_u32..3, 0_usize..3), 1..60),
    ) {
        let mut schedule = ShutdownSchedule::new(SIGNAL, drain_limit_ms);
        let (mut now, mut signals) = (SIGNAL, 1);
        let mut latest = ShutdownPhase::Leaving;
        for (passed_ms, signal_count, in_flight) in steps {
            now = now + passed_ms;
            signals = signals.max(signal_count);
            match schedule.step(now, signals, in_flight) {
                ShutdownStep::Continue(phase) => {
                    prop_assert!(phase >= latest);
                    latest = phase;
                }
                ShutdownStep::Stop => {
                    prop_assert_eq!(in_flight, 0);
                    break;
                }
                ShutdownStep::CutShort { .. } => {
                    prop_assert_eq!(latest, ShutdownPhase::Ending);
                    break;
                }
            }
        }
    }
}
