//! The one clock type: milliseconds since a start that its maker chooses.

use std::ops::{Add, Sub};

/// A point in time or a span, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClockTime(pub u64);

impl ClockTime {
    /// The far end of time: a timer that never fires.
    pub const NEVER: ClockTime = ClockTime(u64::MAX);

    /// The span from `earlier` to `self`, zero when `earlier` is later, in milliseconds.
    pub fn since(self, earlier: ClockTime) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for ClockTime {
    type Output = ClockTime;

    fn add(self, millis: u64) -> ClockTime {
        ClockTime(self.0.saturating_add(millis))
    }
}

impl Sub<u64> for ClockTime {
    type Output = ClockTime;

    fn sub(self, millis: u64) -> ClockTime {
        ClockTime(self.0.saturating_sub(millis))
    }
}

/// Reads the machine's monotonic clock; only the drivers hold one.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: std::time::Instant,
}

impl MonotonicClock {
    /// A clock that reads zero now.
    pub fn start() -> MonotonicClock {
        MonotonicClock {
            start: std::time::Instant::now(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> ClockTime {
        ClockTime(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}

/// Reads the machine's clock since its start, which goes on while a VM is suspended.
#[derive(Clone, Copy, Debug)]
pub struct BootClock;

impl BootClock {
    /// Time since the machine started.
    pub fn now(&self) -> ClockTime {
        let mut time = libc::timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        // SAFETY: `time` is a valid place for the result, and the clock exists on all Linux
        // systems that the program is built for.
        let result = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut time) };
        assert_eq!(result, 0, "the boot clock cannot be read");
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        ClockTime(seconds * 1_000 + nanos / 1_000_000)
    }
}
