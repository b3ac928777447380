//! Tests of the order in which waiting requests look for room.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::wait_queue::{WaitQueue, WaitRank, WaiterKey};

const SERVICE: &str = "model";

fn rank(priority: u8, received_at: u64) -> WaitRank {
    WaitRank {
        is_late: false,
        priority,
        is_new: true,
        received_at: ClockTime(received_at),
    }
}

/// Lets the first that may look find room until nobody waits. Returns the order.
fn drain(queue: &mut WaitQueue, mut waiting: Vec<WaiterKey>) -> Vec<WaiterKey> {
    let mut order = Vec::new();
    while !waiting.is_empty() {
        let first = waiting.iter().copied().min().expect("not empty");
        assert!(queue.may_look(SERVICE, first));
        queue.leave(SERVICE, first);
        waiting.retain(|key| *key != first);
        order.push(first);
    }
    order
}

#[test]
fn room_goes_to_what_is_in_time_then_to_the_urgent_then_to_interrupted_streams() {
    let mut queue = WaitQueue::default();
    let late_urgent = queue.enter(
        SERVICE,
        WaitRank {
            is_late: true,
            ..rank(0, 0)
        },
    );
    let patient = queue.enter(SERVICE, rank(2, 0));
    let late = queue.enter(SERVICE, rank(0, 30));
    let early = queue.enter(SERVICE, rank(0, 10));
    let interrupted = queue.enter(
        SERVICE,
        WaitRank {
            is_new: false,
            ..rank(2, 40)
        },
    );
    let waiting = vec![late_urgent, patient, late, early, interrupted];
    let order = drain(&mut queue, waiting);
    assert_eq!(order, [early, late, interrupted, patient, late_urgent]);
    assert!(queue.is_empty());
}

#[test]
fn few_of_many_waiting_requests_look_at_a_time() {
    // The load: 400 requests that find no room. Each look costs a choice of a chain.
    let mut queue = WaitQueue::default();
    let keys: Vec<WaiterKey> = (0..400)
        .map(|at| queue.enter(SERVICE, rank(1, at)))
        .collect();
    let looking = |queue: &WaitQueue| {
        let looking = keys.iter().filter(|key| queue.may_look(SERVICE, **key));
        looking.count()
    };
    assert_eq!(looking(&queue), 3);
    assert!(!queue.may_look_first(SERVICE, rank(1, 500)));
    assert!(queue.may_look_first(SERVICE, rank(0, 500)), "more urgent");
    assert!(queue.may_look_first("other", rank(1, 500)));
    // One that leaves hands its turn on; one that did not look has none.
    assert_eq!(queue.leave(SERVICE, keys[0]), Some(keys[3]));
    assert_eq!(queue.leave(SERVICE, keys[300]), None);
    assert_eq!(looking(&queue), 3);
    assert_eq!(queue.len(), 398);
}

#[test]
fn the_last_to_leave_hands_no_turn_on() {
    let mut queue = WaitQueue::default();
    let keys: Vec<WaiterKey> = (0..3).map(|at| queue.enter(SERVICE, rank(1, at))).collect();
    for key in keys {
        assert_eq!(queue.leave(SERVICE, key), None);
    }
    assert!(queue.may_look_first(SERVICE, rank(9, 9)));
}
