//! Tests of what a gateway refuses when it is behind its own work.

use lynxcart::gateway::own_delay::OwnDelay;

fn measured(late: &[u64]) -> OwnDelay {
    let mut delay = OwnDelay::default();
    for late_ms in late {
        delay.record(*late_ms);
    }
    delay
}

#[test]
fn requests_that_cannot_be_sent_in_time_are_refused() {
    struct DelayCase {
        name: &'static str,
        late: &'static [u64],
        latency_target_ms: u64,
        is_refused: bool,
    }
    let cases = [
        DelayCase {
            name: "not behind",
            late: &[0, 1, 2, 0],
            latency_target_ms: 150,
            is_refused: false,
        },
        DelayCase {
            name: "one pause of the VM",
            late: &[0, 0, 5_000],
            latency_target_ms: 500,
            is_refused: false,
        },
        DelayCase {
            name: "behind for some time",
            late: &[90, 120, 100],
            latency_target_ms: 500,
            is_refused: true,
        },
        DelayCase {
            name: "a patient request has the time",
            late: &[90, 120, 100],
            latency_target_ms: 1_200,
            is_refused: false,
        },
        DelayCase {
            name: "caught up",
            late: &[300, 300, 300, 2, 1, 0],
            latency_target_ms: 150,
            is_refused: false,
        },
        DelayCase {
            name: "a request without a target",
            late: &[300, 300, 300],
            latency_target_ms: 0,
            is_refused: false,
        },
        DelayCase {
            name: "too little is known",
            late: &[300, 300],
            latency_target_ms: 150,
            is_refused: false,
        },
    ];
    for case in cases {
        let delay = measured(case.late);
        let refused = [0.0, 0.99].map(|draw| delay.refusal_ms(case.latency_target_ms, draw));
        let expected = [case.is_refused; 2];
        assert_eq!(refused.map(|ms| ms.is_some()), expected, "{}", case.name);
    }
}

#[test]
fn callers_come_back_after_the_delay_and_not_all_at_once() {
    let delay = measured(&[400, 500, 450]);
    assert_eq!(delay.refusal_ms(500, 0.0), Some(400));
    assert_eq!(delay.refusal_ms(500, 0.5), Some(600));
}
