//! Tells waiting requests that it is their turn to look for room: carries out what [`WaitQueue`]
//! decides.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use prometheus::IntGauge;
use tokio::sync::Notify;

use crate::gateway::wait_queue::{WaitQueue, WaitRank, WaiterKey};

/// Interval between two looks for free capacity, milliseconds.
const LOOK_INTERVAL_MS: u64 = 25;

/// The requests of a gateway that wait for free capacity.
#[derive(Clone, Debug)]
pub struct WaitingRequests {
    inner: Arc<Mutex<WaitingInner>>,
    waiting: IntGauge,
}

#[derive(Debug, Default)]
struct WaitingInner {
    queue: WaitQueue,
    turns: HashMap<WaiterKey, Arc<Notify>>,
}

impl WaitingRequests {
    /// Creates an empty queue whose length is shown by a metric.
    pub fn new(waiting: IntGauge) -> WaitingRequests {
        WaitingRequests {
            inner: Arc::default(),
            waiting,
        }
    }

    fn lock(&self) -> MutexGuard<'_, WaitingInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a request that does not wait yet may look for room at once.
    pub fn may_look_first(&self, service: &str, rank: WaitRank) -> bool {
        self.lock().queue.may_look_first(service, rank)
    }

    /// Adds a request to those that wait.
    pub fn enter(&self, service: &str, rank: WaitRank) -> WaitingRequest {
        let mut inner = self.lock();
        let key = inner.queue.enter(service, rank);
        let turn = Arc::new(Notify::new());
        inner.turns.insert(key, turn.clone());
        self.waiting.inc();
        WaitingRequest {
            all: self.clone(),
            service: service.to_owned(),
            key,
            turn,
        }
    }
}

/// A request that waits for room, until it is dropped.
#[derive(Debug)]
pub struct WaitingRequest {
    all: WaitingRequests,
    service: String,
    key: WaiterKey,
    turn: Arc<Notify>,
}

impl WaitingRequest {
    /// Waits until the request may look for room once more, at most `limit_ms` milliseconds.
    pub async fn wait_for_turn(&self, limit_ms: u64) {
        let is_first = self.all.lock().queue.may_look(&self.service, self.key);
        let wait_ms = match is_first {
            true => limit_ms.min(LOOK_INTERVAL_MS),
            false => limit_ms,
        };
        // Either the turn or the end of the wait lets the request look.
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms), self.turn.notified()).await;
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        let mut inner = self.all.lock();
        inner.turns.remove(&self.key);
        let next = inner.queue.leave(&self.service, self.key);
        if let Some(turn) = next.and_then(|key| inner.turns.get(&key)) {
            turn.notify_one();
        }
        self.all.waiting.dec();
    }
}
