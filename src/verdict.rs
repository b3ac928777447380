//! Refusals: whether the request may have run, and why it was refused.

use strum::{Display, EnumString, IntoStaticStr};

use crate::wire::gen::{RefusalCode, WireVerdict};

/// Whether a request has run. The verdict of an agent covers one attempt; for an operation with an
/// idempotency key, only that of the key's owner covers the key. The verdict in a refusal to the
/// caller covers all attempts of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RunVerdict {
    /// The request has not run and will not run later.
    NotRun,
    /// The request has run, is running, or cannot be proved not to have run.
    MayHaveRun,
    /// The request has run to completion.
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
    /// An unspecified verdict is taken as [`RunVerdict::MayHaveRun`], the conservative one.
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
    /// The bearer token belongs to no team or operator.
    BadToken,
    /// No accepted profile has this name.
    UnknownProfile,
    /// The request body is larger than the limit.
    TooLarge,
    /// The request line and headers are larger than the limit.
    HeadersTooLarge,
    /// The process is shutting down.
    Draining,
    /// A queue is full or a concurrency limit is reached.
    Busy,
    /// The team has reached its limit of requests in flight.
    TeamLimit,
    /// No usable replica, or no chain of them, can serve the profile.
    NoUpstream,
    /// The upstream was lost or cancelled the request, or no replica could continue it.
    UpstreamLost,
    /// The platform's key-value store does not respond.
    PlatformOutage,
    /// The idempotency key was used before with a different request.
    KeyReused,
    /// The profile requires an idempotency key.
    KeyRequired,
    /// An earlier attempt with this key has started, and its outcome is not recorded.
    OutcomeUnknown,
    /// An earlier attempt with this key has run, and its response was too large to store.
    AnswerNotKept,
    /// An earlier attempt with this key is still running.
    InProgress,
    /// The deadline has passed.
    Deadline,
    /// The caller did not read the answer fast enough.
    SlowReader,
    /// The profile has changed since the draft was made.
    Conflict,
    /// Upstreams crashed while they ran the request, and it is quarantined or held back.
    Quarantined,
    /// No object has this name.
    NotFound,
}

impl RefusalReason {
    /// HTTP status code of a refusal with this reason.
    pub fn status(self) -> u16 {
        match self {
            RefusalReason::BadRequest | RefusalReason::KeyRequired => 400,
            RefusalReason::BadToken => 401,
            RefusalReason::UnknownProfile | RefusalReason::NotFound => 404,
            RefusalReason::TooLarge => 413,
            RefusalReason::HeadersTooLarge => 431,
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

/// A refusal, sent to the caller in place of an answer or after its first part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Machine-readable reason, which determines the HTTP status.
    pub reason: RefusalReason,
    /// Human-readable explanation, one sentence.
    pub detail: String,
    /// Time after which a retry may succeed, in milliseconds; `None` when a retry is pointless or
    /// the time is unknown.
    pub retry_after_ms: Option<u64>,
}

impl RequestRefusal {
    /// Creates the refusal of a request that has not run.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> RequestRefusal {
        RequestRefusal {
            verdict: RunVerdict::NotRun,
            reason,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Creates the refusal of a request that may have run.
    pub fn may_have_run(reason: RefusalReason, detail: impl Into<String>) -> RequestRefusal {
        RequestRefusal {
            verdict: RunVerdict::MayHaveRun,
            ..RequestRefusal::not_run(reason, detail)
        }
    }

    /// Sets the time after which a retry may succeed, in milliseconds.
    pub fn retry_after(mut self, millis: u64) -> RequestRefusal {
        self.retry_after_ms = Some(millis);
        self
    }
}
