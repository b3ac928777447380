//! One connection of a caller as [`CallerLedger`] counts it.
//!
//! [`CallerLedger`]: crate::gateway::caller_ledger::CallerLedger

use strum::{Display, IntoStaticStr};

use crate::clock::ClockTime;

/// What an open connection takes besides the bytes that are counted one by one: its read buffer and
/// its task, bytes.
pub const CONNECTION_BYTES: usize = 16 * 1024;

/// A connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerKey {
    pub(super) index: u32,
    pub(super) generation: u32,
}

impl CallerKey {
    /// Position in the arena of connections, which a later connection may take.
    pub fn index(self) -> usize {
        self.index as usize
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CallerPhase {
    /// No byte of a request has arrived since the last one.
    Idle,
    /// Part of a request's head has arrived.
    Head,
    /// The head is complete, the body is not.
    Body,
    /// The request is complete and being served.
    Served,
}

impl CallerPhase {
    /// Whether the connection may be given up to make room: nothing of its request is served yet.
    pub(super) fn is_reading(self) -> bool {
        matches!(self, CallerPhase::Head | CallerPhase::Body)
    }
}

/// A connection that has to be given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Eviction {
    /// The connection. It counts until it is closed.
    pub key: CallerKey,
    /// What it was doing: the caller of a [`CallerPhase::Body`] gets a refusal.
    pub phase: CallerPhase,
}

/// What is known of an open connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallerRecord {
    pub(super) phase: CallerPhase,
    /// When the phase began.
    pub(super) since: ClockTime,
    /// Number of requests begun so far.
    pub(super) requests: u32,
    /// Bytes of the request that is being read or served.
    pub(super) request_bytes: usize,
    /// Bytes of answers that the caller has not taken.
    pub(super) answer_bytes: usize,
    /// Whether bytes could not be written since the caller does not read.
    pub(super) is_unwritten: bool,
    /// Whether the rest of a refused body is read and discarded, or was not read to its end.
    pub(super) is_discarding: bool,
    /// Whether the connection was given up and is not closed yet.
    pub(super) is_evicted: bool,
}

impl CallerRecord {
    /// Bytes that count. Nothing of a connection that was given up does, for it is about to go.
    pub(super) fn held_bytes(&self) -> usize {
        let request_bytes = match self.is_evicted {
            true => 0,
            false => CONNECTION_BYTES + self.request_bytes,
        };
        request_bytes + self.answer_bytes
    }

    pub(super) fn can_be_idle(&self) -> bool {
        self.phase == CallerPhase::Idle && !self.is_unwritten && self.answer_bytes == 0
    }
}
