//! Requests that wait for free capacity at the upstreams: in which order they look for it.
//!
//! This answers the load of more requests than the upstreams have room for. A look costs a choice of
//! a chain, and if each waiting request took one at each interval, the gateway's processor would be
//! spent on choices that find nothing, and requests would get room in no order. So only the first few
//! of a service look, and the others wait for their turn.

use std::collections::{BTreeSet, HashMap};

use crate::clock::ClockTime;

/// Number of requests of one service that look for room at the same time. More than one, since the
/// first may need more room than the next, or may have to avoid an upstream.
const MAX_LOOKING: usize = 3;

/// Place of a request in the order of its service: what can be answered in time goes first; then the
/// more urgent; then streams that were interrupted, since their callers have part of the answer; then
/// the earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitRank {
    /// Whether the answer can only be late.
    pub is_late: bool,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Whether nothing of the request's answer has been sent to its caller.
    pub is_new: bool,
    /// When the request was received.
    pub received_at: ClockTime,
}

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterKey {
    rank: WaitRank,
    number: u64,
}

/// The requests of a gateway that wait for room, by service.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    services: HashMap<String, BTreeSet<WaiterKey>>,
    next_number: u64,
    len: usize,
}

impl WaitQueue {
    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request. Returns its key.
    pub fn enter(&mut self, service: &str, rank: WaitRank) -> WaiterKey {
        let number = self.next_number;
        self.next_number += 1;
        let key = WaiterKey { rank, number };
        let waiters = self.services.entry(service.to_owned()).or_default();
        assert!(waiters.insert(key), "a request waits twice");
        self.len += 1;
        key
    }

    /// Whether a request of this rank, which does not wait yet, may look for room before it waits.
    pub fn may_look_first(&self, service: &str, rank: WaitRank) -> bool {
        let Some(waiters) = self.services.get(service) else {
            return true;
        };
        let earlier = waiters.iter().take_while(|waiter| waiter.rank <= rank);
        earlier.take(MAX_LOOKING).count() < MAX_LOOKING
    }

    /// Whether a waiting request may look for room now.
    pub fn may_look(&self, service: &str, key: WaiterKey) -> bool {
        let waiters = self.services.get(service);
        waiters.is_some_and(|waiters| waiters.iter().take(MAX_LOOKING).any(|first| *first == key))
    }

    /// Removes a request. Returns the one that may look for room since then, if any.
    pub fn leave(&mut self, service: &str, key: WaiterKey) -> Option<WaiterKey> {
        let waiters = self.services.get_mut(service)?;
        let was_looking = waiters.iter().take(MAX_LOOKING).any(|first| *first == key);
        if waiters.remove(&key) {
            self.len -= 1;
        }
        let next = waiters.iter().nth(MAX_LOOKING - 1).copied();
        if waiters.is_empty() {
            self.services.remove(service);
        }
        next.filter(|_| was_looking)
    }
}
