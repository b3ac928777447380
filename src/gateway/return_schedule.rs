//! When refused callers are told to come back, so that they do not all do so at once.

use crate::clock::ClockTime;

/// Latest time at which a caller is told to come back, milliseconds from now.
pub const MAX_RETURN_MS: u64 = 4_000;
/// Lowest rate at which callers are told to come back, requests a second.
const MIN_RETURNS_PER_S: f64 = 1e-3;

/// Gives refused callers turns, one after the other.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnSchedule {
    /// When the last of them was told to come back.
    last: ClockTime,
}

impl ReturnSchedule {
    /// Time after which the next caller is told to come back, milliseconds: `wait_ms` at least, and as
    /// long after the one before it as `per_second` callers a second are apart. If that is longer than
    /// [`MAX_RETURN_MS`], a random time in the later half of this, by `draw`, a random number from 0
    /// to 1.
    pub fn next_ms(&mut self, now: ClockTime, wait_ms: u64, per_second: f64, draw: f64) -> u64 {
        let spacing_ms = (1_000.0 / per_second.max(MIN_RETURNS_PER_S)) as u64;
        let return_at = (self.last + spacing_ms).max(now + wait_ms.max(1));
        if return_at > now + MAX_RETURN_MS {
            return (MAX_RETURN_MS as f64 * (1.0 + draw) / 2.0) as u64;
        }
        self.last = return_at;
        return_at.since(now)
    }
}
