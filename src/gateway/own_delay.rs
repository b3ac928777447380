//! How far a gateway is behind its own work, and what it refuses for that.
//!
//! This answers the load of more requests than the gateway's processor bears. All work is done on one
//! thread; when it falls behind, requests are sent on late, after their callers have left or their
//! replicas are gone, and so are the answers of all others. What cannot be carried in time is refused
//! at once, so that callers try another gateway while they can.

use std::collections::VecDeque;

/// Interval at which the delay is measured, milliseconds.
pub const DELAY_INTERVAL_MS: u64 = 100;
/// Number of measurements that must all show a delay. One alone may be a pause of the VM, after which
/// there is nothing to shed.
const MEASUREMENTS: usize = 3;
/// Number of times that a request waits for its turn on the thread before it is sent: for its
/// connection, its head, its body, and the connection to its upstream.
const TURNS_BEFORE_SENT: u64 = 4;
/// Part of a request's latency target within which it is to be sent.
const SEND_FRACTION: f64 = 0.5;
/// Shortest time that a refused caller is told to wait, milliseconds.
const MIN_RETRY_MS: u64 = 100;

/// The delay of a gateway, from its latest measurements.
#[derive(Clone, Debug, Default)]
pub struct OwnDelay {
    /// By how much the thread was late at each, milliseconds.
    late_ms: VecDeque<u64>,
}

impl OwnDelay {
    /// Records by how much the thread was late, milliseconds.
    pub fn record(&mut self, late_ms: u64) {
        self.late_ms.push_back(late_ms);
        while self.late_ms.len() > MEASUREMENTS {
            self.late_ms.pop_front();
        }
    }

    /// By how much a turn on the thread is late for some time already, milliseconds.
    pub fn delay_ms(&self) -> u64 {
        match self.late_ms.len() < MEASUREMENTS {
            true => 0,
            false => self.late_ms.iter().copied().min().unwrap_or(0),
        }
    }

    /// Whether a request that has just been received can be sent in time. If not, returns after which
    /// time its caller may come back, milliseconds; `draw`, a random number from 0 to 1, spreads the
    /// callers.
    pub fn refusal_ms(&self, latency_target_ms: u64, draw: f64) -> Option<u64> {
        let delay_ms = self.delay_ms();
        let limit_ms = latency_target_ms as f64 * SEND_FRACTION;
        let is_late = latency_target_ms > 0 && (delay_ms * TURNS_BEFORE_SENT) as f64 > limit_ms;
        // What is queued now takes one delay, and the callers that were refused come back after it.
        let wait_ms = (delay_ms as f64 * (1.0 + draw)) as u64;
        is_late.then(|| wait_ms.max(MIN_RETRY_MS))
    }
}
