//! Tests of what a gateway holds for its callers, and who goes when there is no room.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

use futures_util::FutureExt;
use lynxcart::clock::ClockTime;
use lynxcart::gateway::caller_connection::CallerTable;
use lynxcart::gateway::caller_ledger::{
    CallerKey, CallerLedger, CallerPhase, CallerRoom, CallerTimeouts, Eviction, CONNECTION_BYTES,
};
use lynxcart::gateway::catalog::CallerLimits;
use lynxcart::metric::MetricSet;
use proptest::prelude::*;

const KIB: usize = 1024;

fn ledger(bytes: usize, connections: usize) -> CallerLedger {
    CallerLedger::new(CallerRoom { bytes, connections })
}

fn open(ledger: &mut CallerLedger, now: u64) -> CallerKey {
    let (key, evictions) = ledger.open(ClockTime(now));
    assert!(evictions.is_empty());
    key.expect("there should be room")
}

/// Opens a connection whose request is being read and holds `bytes` bytes.
fn upload(ledger: &mut CallerLedger, now: u64, bytes: usize) -> CallerKey {
    let key = open(ledger, now);
    assert!(ledger.record_read(ClockTime(now), key, 1).is_granted);
    ledger.begin_body(ClockTime(now), key);
    assert!(ledger.grow_body(key, bytes - 1).is_granted);
    key
}

#[test]
fn the_largest_incomplete_request_makes_room_for_a_smaller_one() {
    struct EvictionCase {
        name: &'static str,
        /// Sizes of the requests that are being read, in the order of their beginning.
        held: &'static [usize],
        asked: usize,
        is_granted: bool,
        /// Which of them go, in order.
        evicted: &'static [usize],
    }
    let cases = [
        EvictionCase {
            name: "there is room",
            held: &[100 * KIB, 100 * KIB],
            asked: 10 * KIB,
            is_granted: true,
            evicted: &[],
        },
        EvictionCase {
            name: "the largest goes",
            held: &[150 * KIB, 300 * KIB, 200 * KIB],
            asked: 100 * KIB,
            is_granted: true,
            evicted: &[1],
        },
        EvictionCase {
            name: "the oldest of equals goes",
            held: &[200 * KIB, 200 * KIB, 200 * KIB],
            asked: 150 * KIB,
            is_granted: true,
            evicted: &[0],
        },
        EvictionCase {
            name: "the one that asks is the largest",
            held: &[300 * KIB, 300 * KIB],
            asked: 400 * KIB,
            is_granted: false,
            evicted: &[],
        },
        EvictionCase {
            name: "large bodies leave a part to small ones",
            held: &[350 * KIB, 350 * KIB],
            asked: 50 * KIB,
            is_granted: true,
            evicted: &[],
        },
    ];
    for case in cases {
        let mut ledger = ledger(1_024 * KIB, 100);
        let mut held = Vec::new();
        for (number, size) in case.held.iter().enumerate() {
            let key = open(&mut ledger, number as u64);
            ledger.begin_body(ClockTime(number as u64), key);
            let decision = ledger.grow_body(key, *size);
            assert!(
                decision.is_granted && decision.evictions.is_empty(),
                "{}",
                case.name
            );
            held.push(key);
        }
        let key = open(&mut ledger, 10);
        ledger.begin_body(ClockTime(10), key);
        let decision = ledger.grow_body(key, case.asked);
        assert_eq!(decision.is_granted, case.is_granted, "{}", case.name);
        let evicted: Vec<CallerKey> = decision.evictions.iter().map(|one| one.key).collect();
        let expected: Vec<CallerKey> = case.evicted.iter().map(|number| held[*number]).collect();
        assert_eq!(evicted, expected, "{}", case.name);
        ledger.check_totals();
    }
}

#[test]
fn requests_that_are_served_keep_what_they_have() {
    let mut ledger = ledger(256 * KIB, 100);
    let served = upload(&mut ledger, 0, 150 * KIB);
    assert!(ledger.begin_service(ClockTime(1), served));
    let reading = upload(&mut ledger, 2, 40 * KIB);
    let (key, _) = ledger.open(ClockTime(3));
    let key = key.expect("there should be room");
    ledger.begin_body(ClockTime(3), key);
    let decision = ledger.grow_body(key, 30 * KIB);
    assert!(decision.is_granted);
    let expected = Eviction {
        key: reading,
        phase: CallerPhase::Body,
    };
    assert_eq!(decision.evictions, [expected]);
    // The request was read in full while it was given up: it is not served.
    assert!(!ledger.begin_service(ClockTime(4), reading));
    let decision = ledger.grow_body(key, 200 * KIB);
    assert!(!decision.is_granted && decision.evictions.is_empty());
    ledger.check_totals();
}

#[test]
fn request_that_crosses_the_close_of_its_idle_connection_is_served() {
    let timeouts = CallerTimeouts {
        header_ms: 1_000,
        idle_ms: 1_000,
    };
    let mut ledger = ledger(64 * KIB, 2);
    let key = open(&mut ledger, 0);
    assert_eq!(ledger.expire(ClockTime(1_000), timeouts).len(), 1);
    ledger.begin_body(ClockTime(1_001), key);
    assert_eq!(ledger.held_bytes(), CONNECTION_BYTES);
    assert!(ledger.begin_service(ClockTime(1_001), key));
    ledger.check_totals();
    // Once others have taken its room, it is refused.
    ledger.end_request(ClockTime(1_001), key);
    assert_eq!(ledger.expire(ClockTime(3_000), timeouts).len(), 1);
    open(&mut ledger, 3_000);
    open(&mut ledger, 3_000);
    ledger.begin_body(ClockTime(3_001), key);
    assert!(!ledger.begin_service(ClockTime(3_001), key));
    ledger.check_totals();
}

#[tokio::test]
async fn connection_is_not_closed_under_a_request_that_was_read_beside_its_eviction() {
    let metrics = MetricSet::new().expect("the metrics should register");
    let room = CallerRoom {
        bytes: 1_024 * KIB,
        connections: 2,
    };
    let table = CallerTable::new(room, metrics);
    // The socket is not used.
    let connection = table.open(-1, CallerLimits::default());
    let connection = connection.expect("there should be room");
    table.expire(CallerTimeouts {
        header_ms: 0,
        idle_ms: 0,
    });
    assert!(connection.wait_for_eviction().now_or_never().is_some());
    let request = connection.begin_request();
    assert!(connection.wait_for_eviction().now_or_never().is_none());
    assert!(request.wait_for_eviction().now_or_never().is_none());
    assert!(request.begin_service());
    // A request without room for its connection is refused.
    drop(request);
    table.expire(CallerTimeouts {
        header_ms: 0,
        idle_ms: 0,
    });
    let _others = [0, 1].map(|_| table.open(-1, CallerLimits::default()).expect("room"));
    let request = connection.begin_request();
    assert!(connection.wait_for_eviction().now_or_never().is_none());
    assert!(request.wait_for_eviction().now_or_never().is_some());
    assert!(!request.begin_service());
}

#[tokio::test]
async fn idle_connection_is_not_closed_over_a_request_that_the_event_loop_has_not_read() {
    let metrics = MetricSet::new().expect("the metrics should register");
    let room = CallerRoom {
        bytes: 1_024 * KIB,
        connections: 2,
    };
    let table = CallerTable::new(room, metrics);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut caller = TcpStream::connect(address).expect("a connection");
    let (stream, _) = listener.accept().expect("a connection");
    let connection = table.open(stream.as_raw_fd(), CallerLimits::default());
    let connection = connection.expect("there should be room");
    caller.write_all(b"GET").expect("the bytes should be sent");
    stream.peek(&mut [0]).expect("a byte should arrive");
    table.expire(CallerTimeouts {
        header_ms: 0,
        idle_ms: 0,
    });
    assert!(connection.wait_for_eviction().now_or_never().is_none());
    assert!(connection.record_read(3));
    // It is taken back: the rest of the head may come.
    let wait = tokio::time::timeout(Duration::from_millis(50), connection.wait_for_eviction());
    assert!(wait.await.is_err());
}

#[test]
fn refused_request_holds_no_bytes_while_its_body_is_discarded() {
    let mut ledger = ledger(512 * KIB, 2);
    let refused = upload(&mut ledger, 0, 300 * KIB);
    assert!(ledger.begin_discard(refused));
    assert_eq!(ledger.held_bytes(), CONNECTION_BYTES);
    assert_eq!(ledger.discarding(), 1);
    assert!(ledger.lingers(refused));
    // It goes first when there are too many connections.
    let other = open(&mut ledger, 0);
    let (key, evictions) = ledger.open(ClockTime(1_500));
    assert!(key.is_some());
    assert_eq!(evictions[0].key, refused);
    assert!(!ledger.lingers(refused));
    ledger.check_totals();
    ledger.close(refused);
    ledger.close(other);
    assert_eq!(ledger.discarding(), 0);
    ledger.check_totals();
}

#[test]
fn request_given_up_for_its_bytes_is_read_on_if_its_connection_has_room() {
    let mut ledger = ledger(512 * KIB, 2);
    let given_up = upload(&mut ledger, 0, 300 * KIB);
    let other = open(&mut ledger, 1);
    ledger.begin_body(ClockTime(1), other);
    let decision = ledger.grow_body(other, 250 * KIB);
    assert_eq!(decision.evictions[0].key, given_up);
    assert!(ledger.begin_discard(given_up));
    assert_eq!(ledger.held_bytes(), 2 * CONNECTION_BYTES + 250 * KIB);
    ledger.check_totals();
    // Once its body is complete, the connection serves the next request.
    ledger.end_discard(given_up);
    ledger.end_request(ClockTime(2), given_up);
    assert!(!ledger.lingers(given_up));
    ledger.begin_body(ClockTime(3), given_up);
    assert!(ledger.begin_service(ClockTime(3), given_up));
    ledger.check_totals();
}

#[test]
fn request_given_up_for_another_connection_is_not_read_on() {
    let mut ledger = ledger(10_000 * KIB, 1);
    let given_up = upload(&mut ledger, 0, KIB);
    let (key, evictions) = ledger.open(ClockTime(5_000));
    assert!(key.is_some());
    assert_eq!(evictions[0].key, given_up);
    assert!(!ledger.begin_discard(given_up));
    assert!(!ledger.lingers(given_up));
    ledger.check_totals();
}

#[test]
fn answers_come_before_requests_that_are_being_read() {
    let mut ledger = ledger(512 * KIB, 100);
    let served = upload(&mut ledger, 0, KIB);
    assert!(ledger.begin_service(ClockTime(0), served));
    let reading = upload(&mut ledger, 1, 300 * KIB);
    let decision = ledger.grow_answer(served, 0, 200 * KIB);
    assert!(decision.is_granted);
    assert_eq!(decision.evictions[0].key, reading);
    // Answers take half of the room, except for small ones.
    assert!(!ledger.grow_answer(served, 200 * KIB, 100 * KIB).is_granted);
    assert!(ledger.grow_answer(served, 0, 60 * KIB).is_granted);
    // An answer counts until it is written, also when the connection is closed.
    let before = ledger.held_bytes();
    ledger.end_request(ClockTime(2), served);
    ledger.close(served);
    assert_eq!(before - ledger.held_bytes(), KIB + CONNECTION_BYTES);
    ledger.release_answer(served, 260 * KIB);
    ledger.close(reading);
    assert_eq!(ledger.held_bytes(), 0);
    ledger.check_totals();
}

#[test]
fn too_many_connections_cost_the_one_that_is_missed_least() {
    struct ConnectionCase {
        name: &'static str,
        /// Phase of each connection and since when it lasts, milliseconds.
        open: &'static [(CallerPhase, u64)],
        evicted: Option<usize>,
    }
    use CallerPhase::{Body, Head, Idle, Served};
    let cases = [
        ConnectionCase {
            name: "a head that has been incomplete for long",
            open: &[(Idle, 0), (Head, 3_000), (Served, 0)],
            evicted: Some(1),
        },
        ConnectionCase {
            name: "the longest idle one, where requests make progress",
            open: &[(Idle, 3_000), (Idle, 1_000), (Body, 4_900)],
            evicted: Some(1),
        },
        ConnectionCase {
            name: "the oldest request, if none is idle",
            open: &[(Body, 4_900), (Head, 4_800), (Served, 0)],
            evicted: Some(1),
        },
        ConnectionCase {
            name: "none, if all are served",
            open: &[(Served, 0), (Served, 0), (Served, 0)],
            evicted: None,
        },
    ];
    for case in cases {
        let mut ledger = ledger(10_000 * KIB, 3);
        let mut keys = Vec::new();
        for (phase, since) in case.open {
            let at = ClockTime(*since);
            let key = open(&mut ledger, *since);
            if *phase != Idle {
                assert!(ledger.record_read(at, key, 10).is_granted);
            }
            if matches!(phase, Body | Served) {
                ledger.begin_body(at, key);
            }
            if *phase == Served {
                assert!(ledger.begin_service(at, key));
            }
            keys.push(key);
        }
        let (key, evictions) = ledger.open(ClockTime(5_000));
        let evicted: Vec<CallerKey> = evictions.iter().map(|one| one.key).collect();
        let expected: Vec<CallerKey> = case.evicted.iter().map(|number| keys[*number]).collect();
        assert_eq!(evicted, expected, "{}", case.name);
        assert_eq!(key.is_some(), case.evicted.is_some(), "{}", case.name);
        ledger.check_totals();
    }
}

#[test]
fn connections_are_closed_after_the_times_of_the_configuration() {
    let timeouts = CallerTimeouts {
        header_ms: 1_000,
        idle_ms: 5_000,
    };
    let mut ledger = ledger(10_000 * KIB, 10);
    let idle = open(&mut ledger, 0);
    let slow = open(&mut ledger, 0);
    assert!(ledger.record_read(ClockTime(100), slow, 10).is_granted);
    // Further bytes do not give a head more time.
    assert!(ledger.record_read(ClockTime(900), slow, 10).is_granted);
    let served = upload(&mut ledger, 0, 10);
    assert!(ledger.begin_service(ClockTime(0), served));
    let unread = open(&mut ledger, 0);
    ledger.set_unwritten(ClockTime(0), unread, true);
    assert!(ledger.expire(ClockTime(1_000), timeouts).is_empty());
    let expired = ledger.expire(ClockTime(1_100), timeouts);
    assert_eq!(expired[0].key, slow);
    assert!(ledger.expire(ClockTime(4_999), timeouts).is_empty());
    let expired = ledger.expire(ClockTime(5_000), timeouts);
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].key, idle);
    assert_eq!(ledger.unwritten(), 1);
    ledger.check_totals();
}

#[test]
fn the_largest_legal_request_always_finds_room_alone() {
    let mut ledger = ledger(KIB, 10);
    let (header_bytes, body_bytes) = (64 * KIB, 4 * 1024 * KIB);
    ledger.ensure_room(header_bytes, body_bytes);
    let key = open(&mut ledger, 0);
    assert!(
        ledger
            .record_read(ClockTime(0), key, header_bytes)
            .is_granted
    );
    ledger.begin_body(ClockTime(0), key);
    assert!(ledger.grow_body(key, body_bytes).is_granted);
}

proptest! {
    #[test]
    fn totals_fit_and_the_bound_holds_in_random_runs(
        steps in proptest::collection::vec((0_u8..9, 0_usize..12, 1_usize..60_000), 1..300),
    ) {
        const BOUND: usize = 400_000;
        const CONNECTIONS: usize = 8;
        let mut ledger = ledger(BOUND, CONNECTIONS);
        // Connections with the bytes of their answers.
        let mut keys: Vec<(CallerKey, usize)> = Vec::new();
        for (number, (step, which, bytes)) in steps.into_iter().enumerate() {
            let now = ClockTime(number as u64 * 50);
            if step == 0 {
                keys.extend(ledger.open(now).0.map(|key| (key, 0)));
            }
            let len = keys.len();
            if let Some((key, answer)) = keys.get_mut(which % len.max(1)) {
                let key = *key;
                match step {
                    1 => { ledger.record_read(now, key, bytes); }
                    2 => ledger.begin_body(now, key),
                    3 => { ledger.grow_body(key, bytes); }
                    4 => { ledger.begin_service(now, key); }
                    5 if ledger.grow_answer(key, *answer, bytes).is_granted => *answer += bytes,
                    6 => {
                        ledger.end_request(now, key);
                        ledger.release_answer(key, std::mem::take(answer));
                    }
                    7 => {
                        ledger.release_answer(key, std::mem::take(answer));
                        ledger.close(key);
                        keys.swap_remove(which % len);
                    }
                    8 => {
                        ledger.begin_body(now, key);
                        ledger.grow_body(key, bytes);
                        let is_counted = ledger.begin_discard(key);
                        prop_assert_eq!(ledger.lingers(key), is_counted);
                    }
                    _ => {}
                }
            }
            ledger.check_totals();
            // Small answers are always taken.
            let small_answers = CONNECTIONS * 64 * KIB;
            prop_assert!(ledger.held_bytes() <= BOUND + small_answers * 2);
        }
    }
}
