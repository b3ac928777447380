//! Whether a request ran, and why one was refused.

use strum::{Display, EnumString, IntoStaticStr};

use crate::wire::gen::{RefusalCode, WireVerdict};

/// Says whether a request may have run. Only the side that can know it says [`RunVerdict::NotRun`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RunVerdict {
    /// The request did not run and never will.
    NotRun,
    /// The request ran, is running, or cannot be shown not to have run.
    MayHaveRun,
    /// The request ran to its end.
    Ran,
}

impl From<RunVerdict> for WireVerdict {
    fn from(verdict: RunVerdict) -> WireVerdict {
        match verdict {
            RunVerdict::NotRun => WireVerdict::NotRun,
            RunVerdict::MayHaveRun => WireVerdict::MayHaveRun,
            RunVerdict::Ran => WireVerdict::Ran,
        }
    }
}

impl From<WireVerdict> for RunVerdict {
    /// An unknown verdict is read as the cautious one.
    fn from(verdict: WireVerdict) -> RunVerdict {
        match verdict {
            WireVerdict::NotRun => RunVerdict::NotRun,
            WireVerdict::Ran => RunVerdict::Ran,
            WireVerdict::MayHaveRun | WireVerdict::Unspecified => RunVerdict::MayHaveRun,
        }
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The request is malformed.
    BadRequest,
    /// The token names no team or operator.
    BadToken,
    /// No accepted profile has this name.
    UnknownProfile,
    /// The body is larger than the limit.
    TooLarge,
    /// The process is stopping.
    Draining,
    /// Queues or limits are full.
    Busy,
    /// The team has as many requests in flight as it may.
    TeamLimit,
    /// No set of live upstreams covers the profile.
    NoUpstream,
    /// The upstream died or was cut off.
    UpstreamLost,
    /// The platform's key-value service does not answer.
    PlatformOutage,
    /// One idempotency key came with two different requests.
    KeyReused,
    /// The profile asks for an idempotency key.
    KeyRequired,
    /// An earlier try has begun and its outcome is not recorded.
    OutcomeUnknown,
    /// An earlier try ran, and its answer was too large or too old to keep.
    AnswerNotKept,
    /// An earlier try with this key is still running.
    InProgress,
    /// The deadline has passed or cannot be met.
    Deadline,
    /// The answer was not read fast enough.
    SlowReader,
    /// The profile changed since the draft was made.
    Conflict,
    /// Upstreams died while they ran this request.
    Quarantined,
    /// Nothing is known under this name.
    NotFound,
}

impl RefusalReason {
    /// The HTTP status that fits.
    pub fn status(self) -> u16 {
        match self {
            RefusalReason::BadRequest | RefusalReason::KeyRequired => 400,
            RefusalReason::BadToken => 401,
            RefusalReason::UnknownProfile | RefusalReason::NotFound => 404,
            RefusalReason::TooLarge => 413,
            RefusalReason::KeyReused | RefusalReason::Quarantined => 422,
            RefusalReason::TeamLimit => 429,
            RefusalReason::Deadline => 504,
            RefusalReason::OutcomeUnknown
            | RefusalReason::AnswerNotKept
            | RefusalReason::InProgress
            | RefusalReason::Conflict => 409,
            RefusalReason::UpstreamLost => 502,
            RefusalReason::Draining
            | RefusalReason::Busy
            | RefusalReason::NoUpstream
            | RefusalReason::PlatformOutage
            | RefusalReason::SlowReader => 503,
        }
    }
}

impl From<RefusalCode> for RefusalReason {
    fn from(code: RefusalCode) -> RefusalReason {
        match code {
            RefusalCode::Busy => RefusalReason::Busy,
            RefusalCode::Draining => RefusalReason::Draining,
            RefusalCode::UpstreamLost
            | RefusalCode::UnknownRequest
            | RefusalCode::WrongRole
            | RefusalCode::Struck
            | RefusalCode::Unspecified => RefusalReason::UpstreamLost,
            RefusalCode::NotOwner => RefusalReason::NoUpstream,
            RefusalCode::PlatformOutage => RefusalReason::PlatformOutage,
            RefusalCode::KeyReused => RefusalReason::KeyReused,
            RefusalCode::KeyRequired => RefusalReason::KeyRequired,
            RefusalCode::OutcomeUnknown => RefusalReason::OutcomeUnknown,
            RefusalCode::AnswerNotKept => RefusalReason::AnswerNotKept,
            RefusalCode::InProgress => RefusalReason::InProgress,
            RefusalCode::Deadline => RefusalReason::Deadline,
        }
    }
}

/// An honest refusal: what a caller is told in place of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Why it was refused.
    pub reason: RefusalReason,
    /// One sentence for a person.
    pub detail: String,
    /// When to come back, in milliseconds, if that makes sense.
    pub retry_after_ms: Option<u64>,
}

impl RequestRefusal {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> RequestRefusal {
        RequestRefusal {
            verdict: RunVerdict::NotRun,
            reason,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// A refusal of a request that may have run.
    pub fn may_have_run(reason: RefusalReason, detail: impl Into<String>) -> RequestRefusal {
        RequestRefusal {
            verdict: RunVerdict::MayHaveRun,
            ..RequestRefusal::not_run(reason, detail)
        }
    }

    /// The same refusal with a time to come back, in milliseconds.
    pub fn retry_after(mut self, millis: u64) -> RequestRefusal {
        self.retry_after_ms = Some(millis);
        self
    }
}
