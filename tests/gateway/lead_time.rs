//! Tests of how long requests may wait and still be answered in time.

use lynxcart::gateway::lead_time::LeadTime;

#[test]
fn a_request_waits_as_long_as_replicas_leave_it() {
    struct Case {
        name: &'static str,
        event_ms: &'static [f64],
        latency_target_ms: u64,
        expected: std::ops::RangeInclusive<u64>,
    }
    let cases = [
        Case {
            name: "nothing measured",
            event_ms: &[],
            latency_target_ms: 500,
            expected: 250..=250,
        },
        Case {
            name: "quick and even answers",
            event_ms: &[60.0; 40],
            latency_target_ms: 500,
            expected: 400..=400,
        },
        Case {
            name: "uneven answers leave less",
            event_ms: &[60.0, 160.0, 60.0, 160.0, 60.0, 160.0, 60.0, 160.0],
            latency_target_ms: 500,
            expected: 100..=300,
        },
        Case {
            name: "answers that are late by themselves",
            event_ms: &[700.0; 40],
            latency_target_ms: 500,
            expected: 100..=100,
        },
    ];
    for case in cases {
        let mut times = LeadTime::default();
        for event_ms in case.event_ms {
            times.record("model", *event_ms);
        }
        let wait_ms = times.wait_ms("model", case.latency_target_ms);
        assert!(case.expected.contains(&wait_ms), "{}: {wait_ms}", case.name);
    }
}
