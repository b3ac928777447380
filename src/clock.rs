//! Points in time, which are passed to the state machines, and the clocks that yield them. A point
//! in time is counted from the start of its clock; tests start at zero.

use std::ops::{Add, Sub};

/// Point in time, in milliseconds since the start of its clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClockTime(pub u64);

impl ClockTime {
    /// Latest representable time, for timers that never fire.
    pub const NEVER: ClockTime = ClockTime(u64::MAX);

    /// Returns the milliseconds from `earlier` to `self`, or 0 if `earlier` is later.
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

/// Monotonic clock that starts at zero when it is created. State machines do not read it: they are
/// given the time.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: std::time::Instant,
}

impl MonotonicClock {
    /// Creates a clock that starts at zero now.
    pub fn start() -> MonotonicClock {
        MonotonicClock {
            start: std::time::Instant::now(),
        }
    }

    /// Returns the time since the clock was created.
    pub fn now(&self) -> ClockTime {
        ClockTime(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}

/// Clock that counts from the boot of the machine and also advances while a VM is suspended.
#[derive(Clone, Copy, Debug)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the boot of the machine.
    pub fn now(&self) -> ClockTime {
        let mut time = libc::timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        // SAFETY: `time` is valid for writes of a timespec for the duration of the call. The clock
        // exists on all Linux systems that the program is built for.
        let result = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut time) };
        assert_eq!(result, 0, "could not read CLOCK_BOOTTIME");
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        ClockTime(seconds * 1_000 + nanos / 1_000_000)
    }
}
