//! Tests of the times at which refused callers are told to come back.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::return_schedule::{ReturnSchedule, MAX_RETURN_MS};

const NOW: ClockTime = ClockTime(50_000);

#[test]
fn refused_callers_come_back_one_after_the_other() {
    struct Case {
        name: &'static str,
        wait_ms: u64,
        per_second: f64,
        expected: [u64; 4],
    }
    let cases = [
        Case {
            name: "ten a second from now on",
            wait_ms: 0,
            per_second: 10.0,
            expected: [1, 101, 201, 301],
        },
        Case {
            name: "one a second, the first permit in 300 ms",
            wait_ms: 300,
            per_second: 1.0,
            expected: [300, 1_300, 2_300, 3_300],
        },
        Case {
            name: "later than callers wait, at random from half of that",
            wait_ms: 100,
            per_second: 0.2,
            expected: [100, 2_500, 3_000, 3_500],
        },
    ];
    for case in cases {
        let mut schedule = ReturnSchedule::default();
        let draws = [0.0, 0.25, 0.5, 0.75];
        let times = draws.map(|draw| schedule.next_ms(NOW, case.wait_ms, case.per_second, draw));
        assert_eq!(times, case.expected, "{}", case.name);
    }
}

#[test]
fn schedule_starts_anew_once_its_turns_are_past() {
    let mut schedule = ReturnSchedule::default();
    for _ in 0..100 {
        assert!(schedule.next_ms(NOW, 10, 5.0, 1.0) <= MAX_RETURN_MS);
    }
    assert_eq!(schedule.next_ms(NOW + 60_000, 10, 5.0, 0.0), 10);
}
