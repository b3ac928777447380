//! What the exchanges with an upstream show of it. An exchange counts as a success only when its
//! answer has proved whole, and a fault of the answer counts wherever it is found.

use strum::{Display, IntoStaticStr};

use crate::clock::ClockTime;

/// Time for which an upstream stays suspect, milliseconds. It doubles each time that the upstream
/// becomes suspect without a successful exchange in between, up to [`MAX_SUSPECT_MS`].
const SUSPECT_MS: u64 = 1_000;
/// Longest time for which an upstream stays suspect after one failure, milliseconds.
const MAX_SUSPECT_MS: u64 = 4_000;
/// Consecutive failed exchanges after which an upstream becomes suspect.
const FAILURES_TO_SUSPECT: u32 = 3;
/// Weight of the newest exchange in the moving average of the failure rate.
const FAILURE_RATE_SMOOTHING: f64 = 0.1;
/// Time in which the failure rate halves without exchanges, milliseconds: an upstream that gets none
/// for its failures could not show otherwise that it serves again.
const FAILURE_RATE_HALF_LIFE_MS: f64 = 4_000.0;

/// How an exchange with an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ExchangeEnd {
    /// The answer is whole, or a stream brought a new event.
    Whole,
    /// The connection ended before the answer did.
    BrokenOff,
    /// Nothing on the connection was acknowledged any more.
    Silenced,
    /// What was received is no answer to the request.
    Invalid,
    /// The body is larger than any that is accepted.
    TooLarge,
    /// There is no room for the body at the gateway.
    NoRoom,
    /// The answer was not whole by the deadline.
    TimedOut,
    /// A run that was to continue a stream ended without an event. The stream may have had none left.
    NotContinued,
}

/// What the end of an exchange shows of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeProof {
    /// It serves.
    Sound,
    /// Its answer has a fault.
    Faulty,
    /// Its answers do not fit into what the gateway has room for, which is no fault, but other
    /// upstreams may suit better.
    Unfit,
    /// Nothing: a sound upstream may be slow, or silent for some time.
    Open,
}

impl ExchangeEnd {
    /// What the end shows of the upstream.
    pub fn proof(self) -> ExchangeProof {
        match self {
            ExchangeEnd::Whole => ExchangeProof::Sound,
            ExchangeEnd::BrokenOff | ExchangeEnd::Invalid | ExchangeEnd::TooLarge => {
                ExchangeProof::Faulty
            }
            ExchangeEnd::NoRoom => ExchangeProof::Unfit,
            ExchangeEnd::Silenced | ExchangeEnd::TimedOut | ExchangeEnd::NotContinued => {
                ExchangeProof::Open
            }
        }
    }
}

/// The outcomes of the exchanges with one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExchangeRecord {
    /// Number of times that the upstream became suspect since the last successful exchange.
    suspicions: u32,
    /// Number of exchanges with a faulty answer since the last successful one.
    consecutive_failures: u32,
    /// Moving average of the part of exchanges that brought no whole answer, 0 to 1, as of
    /// `rated_at`.
    failure_rate: f64,
    rated_at: ClockTime,
}

impl ExchangeRecord {
    /// Records the end of an exchange. Returns whether the upstream is to be suspected: single
    /// failures also occur at healthy upstreams, so only several in a row count.
    pub fn record(&mut self, now: ClockTime, end: ExchangeEnd) -> bool {
        let proof = end.proof();
        let failed = match proof {
            ExchangeProof::Open => return false,
            ExchangeProof::Sound => 0.0,
            ExchangeProof::Faulty | ExchangeProof::Unfit => 1.0,
        };
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (failed - rate) * FAILURE_RATE_SMOOTHING;
        self.rated_at = now;
        assert!(
            (0.0..=1.0).contains(&self.failure_rate),
            "failure rate {} is not a part of the exchanges",
            self.failure_rate
        );
        match proof {
            ExchangeProof::Sound => {
                self.suspicions = 0;
                self.consecutive_failures = 0;
            }
            ExchangeProof::Faulty => self.consecutive_failures += 1,
            ExchangeProof::Unfit | ExchangeProof::Open => {}
        }
        proof == ExchangeProof::Faulty && self.is_failing()
    }

    /// Begins another suspicion. Returns how long it lasts, milliseconds.
    pub fn begin_suspicion(&mut self) -> u64 {
        let suspect_ms = SUSPECT_MS << self.suspicions.min(4);
        self.suspicions += 1;
        suspect_ms.min(MAX_SUSPECT_MS)
    }

    /// Forgets how often the upstream became suspect.
    pub fn forget_suspicions(&mut self) {
        self.suspicions = 0;
    }

    /// Whether so many answers in a row had a fault that the next exchange is a trial.
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures >= FAILURES_TO_SUSPECT
    }

    /// Moving average of the part of exchanges that brought no whole answer, 0 to 1.
    pub fn failure_rate(&self, now: ClockTime) -> f64 {
        if self.failure_rate == 0.0 {
            return 0.0;
        }
        let half_lives = now.since(self.rated_at) as f64 / FAILURE_RATE_HALF_LIFE_MS;
        self.failure_rate * (-half_lives).exp2()
    }
}
