//! Tests of what a gateway learns from the ends of its exchanges with upstreams.

use std::collections::VecDeque;

use lynxcart::clock::ClockTime;
use lynxcart::gateway::exchange_record::ExchangeEnd;
use lynxcart::gateway::state::{AdmittedRequest, GatewayState, RoomClaim, SendTarget};
use lynxcart::gateway::upstream::{LayerRange, UpstreamKey};

use crate::fixture::entry;
use crate::state::{plain_serving, state, HEAD, NOW};

/// A gateway with four replicas of a plain service, and a request for it.
fn four_replicas() -> (GatewayState, AdmittedRequest, Vec<UpstreamKey>) {
    let mut state = state();
    state.apply_config(plain_serving());
    state.proof.renew(NOW);
    for number in 0..4 {
        let entry = entry(
            number,
            &format!("x{number}"),
            "a",
            "",
            LayerRange::default(),
        );
        state.upstreams.apply_entry(NOW, entry);
    }
    let request = state.admit(NOW, &HEAD).unwrap();
    let keys = state.upstreams.iter().map(|(key, _)| key).collect();
    (state, request, keys)
}

fn choose(state: &mut GatewayState, now: ClockTime, request: &AdmittedRequest) -> SendTarget {
    let target = state.choose_target(now, request, &[], RoomClaim::New);
    target.expect("a replica should take the request")
}

#[test]
fn faults_of_answers_make_an_upstream_suspect_and_what_is_no_fault_does_not() {
    struct Case {
        end: ExchangeEnd,
        is_suspected: bool,
        lowers_share: bool,
    }
    let case = |end, is_suspected, lowers_share| Case {
        end,
        is_suspected,
        lowers_share,
    };
    let cases = [
        case(ExchangeEnd::Whole, false, false),
        case(ExchangeEnd::BrokenOff, true, true),
        case(ExchangeEnd::Invalid, true, true),
        case(ExchangeEnd::TooLarge, true, true),
        case(ExchangeEnd::NoRoom, false, true),
        case(ExchangeEnd::TimedOut, false, false),
        case(ExchangeEnd::NotContinued, false, false),
    ];
    for Case {
        end,
        is_suspected,
        lowers_share,
    } in cases
    {
        let (mut state, _, keys) = four_replicas();
        for number in 0..10 {
            let is_new = state.upstreams.record_exchange(NOW, keys[0], end);
            assert_eq!(is_new, is_suspected && number == 2, "{end}: {number}");
        }
        let record = state.upstreams.get(keys[0]);
        assert_eq!(!record.usable(NOW), is_suspected, "{end}");
        assert_eq!(record.failure_rate(NOW) > 0.0, lowers_share, "{end}");
    }
}

#[test]
fn answer_that_is_not_whole_does_not_hide_the_faults_before_it() {
    let (mut state, _, keys) = four_replicas();
    let ends = [
        ExchangeEnd::BrokenOff,
        ExchangeEnd::TimedOut,
        ExchangeEnd::Invalid,
        ExchangeEnd::NoRoom,
        ExchangeEnd::TooLarge,
    ];
    for end in ends {
        assert!(state.upstreams.get(keys[0]).usable(NOW), "before {end}");
        state.upstreams.record_exchange(NOW, keys[0], end);
    }
    assert!(!state.upstreams.get(keys[0]).usable(NOW));
}

/// Lets requests come one after another, `spacing_ms` apart, each of which is answered at once by a
/// faulty replica and after `work_ms` by a sound one. Returns how many went to each replica.
fn press(
    state: &mut GatewayState,
    request: &AdmittedRequest,
    span: (ClockTime, ClockTime),
    is_faulty: impl Fn(UpstreamKey) -> bool,
) -> Vec<u32> {
    const SPACING_MS: u64 = 5;
    const WORK_MS: u64 = 100;
    let mut sent = vec![0; 4];
    let mut running: VecDeque<(ClockTime, SendTarget)> = VecDeque::new();
    let mut now = span.0;
    while now < span.1 {
        while running.front().is_some_and(|(until, _)| *until <= now) {
            let (_, target) = running.pop_front().unwrap();
            state.release(&target);
            let key = target.upstream;
            state
                .upstreams
                .record_exchange(now, key, ExchangeEnd::Whole);
        }
        let target = choose(state, now, request);
        let key = target.upstream;
        sent[key.0 as usize] += 1;
        match is_faulty(key) {
            true => {
                state.release(&target);
                state
                    .upstreams
                    .record_exchange(now, key, ExchangeEnd::TooLarge);
            }
            false => running.push_back((now + WORK_MS, target)),
        }
        now = now + SPACING_MS;
    }
    for (_, target) in running {
        state.release(&target);
    }
    sent
}

#[test]
fn upstream_that_fails_fast_draws_no_requests_and_gets_its_share_again_when_it_serves() {
    let (mut state, request, keys) = four_replicas();
    let faulty = [keys[0], keys[1]];
    let began = NOW;
    let healed = began + 10_000;
    let sent = press(&mut state, &request, (began, healed), |key| {
        faulty.contains(&key)
    });
    let total: u32 = sent.iter().sum();
    let tries = sent[0] + sent[1];
    // Repeats make good a fifth of the requests.
    assert!(tries > 0 && tries * 5 <= total, "{sent:?}");
    // Each suspicion is followed by one trial, and the longest lasts 4 s.
    assert!(tries <= 2 * (3 + 10), "{sent:?}");
    press(&mut state, &request, (healed, healed + 12_000), |_| false);
    let later = (healed + 12_000, healed + 17_000);
    let sent = press(&mut state, &request, later, |_| false);
    let total: u32 = sent.iter().sum();
    assert!(sent.iter().all(|count| count * 8 >= total), "{sent:?}");
}

#[test]
fn only_one_request_at_a_time_tries_an_upstream_again_that_failed() {
    let (mut state, request, keys) = four_replicas();
    for _ in 0..3 {
        let end = ExchangeEnd::Invalid;
        state.upstreams.record_exchange(NOW, keys[0], end);
    }
    // Its suspicion is over, and the others are so loaded that all requests go to it.
    let later = NOW + 5_000;
    for key in &keys[1..] {
        for _ in 0..64 {
            state.upstreams.add_request(*key, 0.0);
        }
    }
    let trial = choose(&mut state, later, &request);
    assert_eq!(trial.upstream, keys[0]);
    for _ in 0..20 {
        let target = choose(&mut state, later, &request);
        assert_ne!(target.upstream, keys[0]);
    }
    state.release(&trial);
    let end = ExchangeEnd::Whole;
    state.upstreams.record_exchange(later, keys[0], end);
    for _ in 0..20 {
        let target = choose(&mut state, later, &request);
        assert_eq!(target.upstream, keys[0]);
    }
}

#[test]
fn requests_are_tried_somewhere_while_all_upstreams_fail() {
    let (mut state, request, keys) = four_replicas();
    for step in 0..2_000 {
        let now = NOW + step * 5;
        let target = choose(&mut state, now, &request);
        assert!(keys.contains(&target.upstream));
        let end = ExchangeEnd::BrokenOff;
        state.upstreams.record_exchange(now, target.upstream, end);
        // Some stay in flight.
        if step % 3 != 0 {
            state.release(&target);
        }
    }
}
