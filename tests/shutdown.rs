//! The course of a graceful shutdown of an entry or an agent.

use lynxcart::clock::ClockTime;
use lynxcart::process::{ShutdownStep, ShutdownTracker, EXIT_CUT_SHORT};

const LIMIT_MS: u64 = 8_000;
const ENDING_MS: u64 = 400;

fn started(limit_ms: u64) -> ShutdownTracker {
    let mut shutdown = ShutdownTracker::new(limit_ms, ENDING_MS);
    let before = shutdown.step(ClockTime(5), true, 0);
    assert_eq!(before, ShutdownStep::Continue, "no signal yet");
    assert_eq!(shutdown.next_wake(ClockTime(5)), ClockTime::NEVER);
    shutdown.record_signal(ClockTime(10));
    shutdown
}

#[test]
fn requests_are_ended_once_before_the_limit() {
    let mut shutdown = started(LIMIT_MS);
    let steps: Vec<_> = (10..10 + LIMIT_MS)
        .map(|now| shutdown.step(ClockTime(now), false, 3))
        .collect();
    let ended = |step: &&ShutdownStep| **step == ShutdownStep::EndRequests;
    assert_eq!(steps.iter().filter(ended).count(), 1);
    let last = shutdown.step(ClockTime(10 + LIMIT_MS), false, 3);
    assert_eq!(last, ShutdownStep::Exit(EXIT_CUT_SHORT));
}

#[test]
fn second_signal_and_short_limits_end_requests_before_the_exit() {
    for (limit_ms, signals) in [(LIMIT_MS, 2), (0, 1), (1, 1), (0, 2)] {
        let mut shutdown = started(limit_ms);
        for _ in 1..signals {
            shutdown.record_signal(ClockTime(20));
        }
        let step = shutdown.step(ClockTime(30), false, 3);
        assert_eq!(step, ShutdownStep::EndRequests, "{limit_ms} {signals}");
        let step = shutdown.step(ClockTime(31), false, 1);
        assert_eq!(step, ShutdownStep::Continue, "an answer is missing");
        let step = shutdown.step(ClockTime(32), true, 0);
        assert_eq!(step, ShutdownStep::Exit(EXIT_CUT_SHORT));
    }
}

#[test]
fn waking_as_told_misses_no_step() {
    for (limit_ms, in_flight) in [(LIMIT_MS, 0), (LIMIT_MS, 3), (500, 3), (0, 3)] {
        let mut shutdown = started(limit_ms);
        let mut now = ClockTime(10);
        for wake in 0..10 {
            if let ShutdownStep::Exit(code) = shutdown.step(now, in_flight == 0, in_flight) {
                assert_eq!(code, if in_flight == 0 { 0 } else { EXIT_CUT_SHORT });
                break;
            }
            assert!(wake < 9, "no exit by {now:?}");
            now = shutdown.next_wake(now).max(now + 1);
        }
    }
}
