//! Decides the phases of a graceful shutdown, and how it ends the requests that outlast it.

use strum::{Display, IntoStaticStr};

use crate::clock::ClockTime;
use crate::gateway::listener;
use crate::verdict::RunVerdict;

/// Time after the shutdown signal during which the load balancer may still send new connections,
/// milliseconds.
const BALANCER_NOTICE_MS: u64 = 2_500;
/// Time after that until the process exits if no request is in flight, milliseconds: it covers the
/// listener's queue and the first requests of the last connections.
const LAST_REQUESTS_MS: u64 = listener::FIRST_REQUEST_MS + 150;
/// The process exits this long before the drain limit has passed since the shutdown signal,
/// milliseconds.
const SHUTDOWN_MARGIN_MS: u64 = 400;
/// Time before the exit in which the requests in flight are answered, milliseconds.
const ENDING_MS: u64 = 300;

/// Phase of a graceful shutdown, in the order in which they follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ShutdownPhase {
    /// No shutdown was requested.
    Serving,
    /// New connections are still accepted; each response closes its connection.
    Leaving,
    /// No new connections are accepted, idle ones are closed, and new requests are refused.
    Closing,
    /// The requests in flight are ended, each with an answer.
    Ending,
}

/// What a graceful shutdown does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// The process runs on in this phase.
    Continue(ShutdownPhase),
    /// The process exits; all requests are served.
    Stop,
    /// The process exits after it was cut short.
    CutShort {
        /// Number of requests that were in flight when they were ended.
        requests: usize,
    },
}

/// The course of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSchedule {
    requested_at: ClockTime,
    drain_limit_ms: u64,
    /// When the requests in flight were ended, and their number.
    ending: Option<(ClockTime, usize)>,
}

impl ShutdownSchedule {
    /// Creates the schedule of a shutdown that may take at most `drain_limit_ms` milliseconds.
    pub fn new(requested_at: ClockTime, drain_limit_ms: u64) -> ShutdownSchedule {
        ShutdownSchedule {
            requested_at,
            drain_limit_ms,
            ending: None,
        }
    }

    /// Decides what to do at `now`. A second signal ends the requests in flight at once; a limit
    /// that is too short leaves them the time for their answers nevertheless.
    pub fn step(&mut self, now: ClockTime, signal_count: u32, in_flight: usize) -> ShutdownStep {
        if let Some((ending_since, requests)) = self.ending {
            let is_over = in_flight == 0 || now.since(ending_since) >= ENDING_MS;
            return match is_over {
                true => ShutdownStep::CutShort { requests },
                false => ShutdownStep::Continue(ShutdownPhase::Ending),
            };
        }
        let elapsed_ms = now.since(self.requested_at);
        if in_flight == 0 && elapsed_ms >= BALANCER_NOTICE_MS + LAST_REQUESTS_MS {
            return ShutdownStep::Stop;
        }
        let service_ms = self
            .drain_limit_ms
            .saturating_sub(SHUTDOWN_MARGIN_MS + ENDING_MS);
        if signal_count > 1 || elapsed_ms >= service_ms {
            self.ending = Some((now, in_flight));
            return ShutdownStep::Continue(ShutdownPhase::Ending);
        }
        ShutdownStep::Continue(match elapsed_ms >= BALANCER_NOTICE_MS {
            true => ShutdownPhase::Closing,
            false => ShutdownPhase::Leaving,
        })
    }
}

/// What the caller of a request gets that outlasts a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EndingAnswer {
    /// A refusal which says that the request has not run and never will.
    NotRun,
    /// A refusal that promises nothing.
    MayHaveRun,
    /// The error answer of an upstream, after which the request was being retried.
    UpstreamError,
    /// The beginning of a stream, which is broken off.
    BrokenOff,
}

/// How far a request has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestProgress {
    /// Its caller was not sent any part of an answer.
    Unanswered {
        /// Whether it may have run, in an attempt that is under way or an earlier one.
        verdict: RunVerdict,
        /// Whether the error answer of an upstream is held for its caller.
        holds_error: bool,
    },
    /// The head of its stream was sent to its caller.
    Streaming,
}

impl EndingAnswer {
    /// Decides what the caller of a request gets. Nothing is sent to an upstream afterwards.
    pub fn of(progress: RequestProgress) -> EndingAnswer {
        match progress {
            RequestProgress::Streaming => EndingAnswer::BrokenOff,
            RequestProgress::Unanswered {
                holds_error: true, ..
            } => EndingAnswer::UpstreamError,
            RequestProgress::Unanswered {
                verdict: RunVerdict::NotRun,
                ..
            } => EndingAnswer::NotRun,
            RequestProgress::Unanswered {
                verdict: RunVerdict::MayHaveRun | RunVerdict::Ran,
                ..
            } => EndingAnswer::MayHaveRun,
        }
    }
}
