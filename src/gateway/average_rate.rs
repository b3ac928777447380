//! Rate of events, averaged over the last second.

use crate::clock::ClockTime;

/// Time over which the rate is averaged, milliseconds.
const AVERAGING_MS: f64 = 1_000.0;

/// Rate of events that have a size, averaged exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct AverageRate {
    sum: f64,
    at: ClockTime,
}

impl AverageRate {
    fn decayed_sum(&self, now: ClockTime) -> f64 {
        let elapsed_ms = now.since(self.at) as f64;
        self.sum * (-elapsed_ms / AVERAGING_MS).exp()
    }

    /// Records an event.
    pub fn add(&mut self, now: ClockTime, size: f64) {
        self.sum = self.decayed_sum(now) + size;
        self.at = now;
    }

    /// Sum of the sizes a second.
    pub fn per_s(&self, now: ClockTime) -> f64 {
        self.decayed_sum(now) * 1_000.0 / AVERAGING_MS
    }
}
