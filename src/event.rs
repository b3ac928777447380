//! Timeline events. A process logs its events and keeps the latest ones in a ring buffer.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::messaging::LamportClock;

/// Maximum number of events kept per process.
const RING_CAPACITY: usize = 8192;

/// Kind of a timeline event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The process started.
    ProcessStarted,
    /// The process started a graceful shutdown and accepts no new requests.
    DrainStarted,
    /// A request was received from a caller.
    RequestReceived,
    /// A chain of replicas, or the replica for an operation, was chosen.
    ChainChosen,
    /// A stage accepted a request.
    StageOpened,
    /// A stage refused a request.
    StageRefused,
    /// The first token of an answer was received.
    FirstToken,
    /// The replica of a stage was given up, and the chain was rebuilt with another one.
    StageReplaced,
    /// A stage sent its recorded outputs again, to a new next stage.
    OutputsReplayed,
    /// The crash of an upstream was counted against a request that it ran.
    RequestBlamed,
    /// Another entry reported requests that were running on upstreams when those crashed.
    BlameHeard,
    /// The answer to a request is complete.
    RequestDone,
    /// The entry refused the request. `facts` has the verdict and the reason.
    RequestRefused,
    /// The caller disconnected, or read the answer too slowly.
    CallerGone,
    /// Intents to run operations were committed to a journal partition.
    JournalCommitted,
    /// An agent sent an operation to its service.
    OperationDispatched,
    /// The outcome of an operation is known or given up; one event for each waiting request.
    OperationEnded,
    /// The recorded response to an operation was sent again.
    AnswerReplayed,
    /// The agent became the owner of a journal partition.
    PartitionTaken,
    /// The agent is no longer the owner of a journal partition.
    PartitionLost,
    /// Requests of an agent to the platform's key-value store fail.
    PlatformLost,
    /// Requests of an agent to the platform's key-value store succeed again.
    PlatformBack,
    /// A replica is new to the entry, or its agent has restarted.
    ReplicaJoined,
    /// A replica is considered lost.
    ReplicaLost,
    /// A replica began to drain.
    ReplicaDraining,
    /// A configuration revision took effect in this process.
    ConfigApplied,
    /// A profile draft was saved.
    DraftSaved,
    /// A profile was accepted.
    ProfileAccepted,
}

/// Event of the timeline of a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// Sequence number within the process, without gaps.
    pub number: u64,
    /// Lamport timestamp, which orders causally related events across processes.
    pub lamport: u64,
    /// Wall-clock time of the VM, in milliseconds since 1970.
    pub wall_ms: u64,
    /// Message address of the process.
    pub process: String,
    /// Incarnation of the process, which changes at each start.
    pub incarnation: u64,
    /// Kind of the event.
    pub kind: EventKind,
    /// Identifier of the request concerned, in hexadecimal; empty if there is none.
    pub request: String,
    /// What the event concerns, such as a profile, a service, a journal partition or the address of
    /// a process; empty if there is none.
    pub subject: String,
    /// Further details as key=value pairs.
    pub facts: String,
}

/// Event that has not been recorded yet, without sequence number and timestamps.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingEvent {
    /// Kind of the event.
    pub kind: EventKind,
    /// Identifier of the request concerned, in hexadecimal; empty if there is none.
    pub request: String,
    /// What the event concerns, such as a profile, a service, a journal partition or the address of
    /// a process; empty if there is none.
    pub subject: String,
    /// Further details as key=value pairs.
    pub facts: String,
}

impl PendingEvent {
    /// Creates an event without a request; see [`PendingEvent::with_request`].
    pub fn new(
        kind: EventKind,
        subject: impl Into<String>,
        facts: impl Into<String>,
    ) -> PendingEvent {
        PendingEvent {
            kind,
            request: String::new(),
            subject: subject.into(),
            facts: facts.into(),
        }
    }

    /// Sets the identifier of the request concerned.
    pub fn with_request(mut self, request: impl ToString) -> PendingEvent {
        self.request = request.to_string();
        self
    }
}

/// Ring buffer with the latest timeline events of one process.
#[derive(Clone, Debug)]
pub struct EventRing {
    process: String,
    incarnation: u64,
    clock: LamportClock,
    events: Arc<Mutex<VecDeque<TimelineEvent>>>,
}

impl EventRing {
    /// Creates an empty buffer for the process with the message address `process`.
    pub fn new(process: String, incarnation: u64, clock: LamportClock) -> EventRing {
        EventRing {
            process,
            incarnation,
            clock,
            events: Arc::default(),
        }
    }

    /// Assigns a sequence number and timestamps to an event, logs it and keeps it.
    pub fn record(&self, pending: PendingEvent) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let event = TimelineEvent {
            number: events.back().map_or(0, |last| last.number + 1),
            lamport: self.clock.tick(),
            wall_ms: wall_millis(),
            process: self.process.clone(),
            incarnation: self.incarnation,
            kind: pending.kind,
            request: pending.request,
            subject: pending.subject,
            facts: pending.facts,
        };
        spdlog::info!(
            "event={} process={} request={} subject={} {}",
            event.kind,
            event.process,
            event.request,
            event.subject,
            event.facts
        );
        if events.len() == RING_CAPACITY {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// Returns the kept events that concern `request`, or all kept events if `request` is empty.
    pub fn select(&self, request: &str) -> Vec<TimelineEvent> {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events
            .iter()
            .filter(|event| request.is_empty() || event.request == request)
            .cloned()
            .collect()
    }
}

/// Returns the VM's wall-clock time, in milliseconds since 1970.
pub fn wall_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| {
            u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
        })
}
