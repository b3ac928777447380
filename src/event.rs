//! The time line: typed events that a process keeps in a bounded ring and logs.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::mail::LamportClock;

/// Events kept per process.
const RING_EVENTS: usize = 8192;

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The process started.
    ProcessStarted,
    /// The process stops taking work.
    DrainStarted,
    /// A caller's request came in.
    RequestReceived,
    /// A chain of upstreams was chosen.
    ChainChosen,
    /// A stage accepted a request.
    StageOpened,
    /// A stage refused a request.
    StageRefused,
    /// The first token came.
    FirstToken,
    /// A stage was given up and another takes its place.
    StageReplaced,
    /// A stage passed its recorded outputs to a new next stage.
    OutputsReplayed,
    /// The death of an upstream was laid to a request.
    RequestBlamed,
    /// Another entry told of requests that upstreams died of.
    BlameHeard,
    /// The whole answer was given.
    RequestDone,
    /// The request was refused.
    RequestRefused,
    /// The caller went away.
    CallerGone,
    /// Intents were committed to the journal.
    JournalCommitted,
    /// An operation was handed to the upstream.
    OperationDispatched,
    /// An operation ended.
    OperationEnded,
    /// A recorded answer was given again.
    AnswerReplayed,
    /// A journal partition was taken over.
    PartitionTaken,
    /// A journal partition was lost or given up.
    PartitionLost,
    /// The platform stopped answering.
    PlatformLost,
    /// The platform answers again.
    PlatformBack,
    /// A replica became known.
    ReplicaJoined,
    /// A replica was lost.
    ReplicaLost,
    /// A replica is draining.
    ReplicaDraining,
    /// A config revision came into force here.
    ConfigApplied,
    /// A draft was saved.
    DraftSaved,
    /// A profile was accepted.
    ProfileAccepted,
}

/// One event of the time line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// Number within the process, without gaps.
    pub number: u64,
    /// Logical time over all processes.
    pub lamport: u64,
    /// Wall clock of the VM, milliseconds since 1970.
    pub wall_ms: u64,
    /// The process, by mail address.
    pub process: String,
    /// Start of the process that this event belongs to.
    pub incarnation: u64,
    /// What happened.
    pub kind: EventKind,
    /// The request concerned, in hexadecimal; empty when none.
    pub request: String,
    /// The upstream, profile or key concerned; empty when none.
    pub subject: String,
    /// Further facts as key=value pairs.
    pub facts: String,
}

/// An event as decision code reports it, before it is numbered.
#[derive(Clone, Debug, PartialEq)]
pub struct EventNote {
    /// What happened.
    pub kind: EventKind,
    /// The request concerned, in hexadecimal; empty when none.
    pub request: String,
    /// The upstream, profile or key concerned; empty when none.
    pub subject: String,
    /// Further facts as key=value pairs.
    pub facts: String,
}

impl EventNote {
    /// A note without a request.
    pub fn new(kind: EventKind, subject: impl Into<String>, facts: impl Into<String>) -> EventNote {
        EventNote {
            kind,
            request: String::new(),
            subject: subject.into(),
            facts: facts.into(),
        }
    }

    /// The same note about a request.
    pub fn about(mut self, request: impl ToString) -> EventNote {
        self.request = request.to_string();
        self
    }
}

/// Bounded ring of the events of one process.
#[derive(Clone, Debug)]
pub struct EventRing {
    process: String,
    incarnation: u64,
    clock: LamportClock,
    events: Arc<Mutex<VecDeque<TimelineEvent>>>,
}

impl EventRing {
    /// An empty ring for the process at a mail address.
    pub fn new(process: String, incarnation: u64, clock: LamportClock) -> EventRing {
        EventRing {
            process,
            incarnation,
            clock,
            events: Arc::default(),
        }
    }

    /// Numbers, keeps and logs one event.
    pub fn record(&self, note: EventNote) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let event = TimelineEvent {
            number: events.back().map_or(0, |last| last.number + 1),
            lamport: self.clock.tick(),
            wall_ms: wall_millis(),
            process: self.process.clone(),
            incarnation: self.incarnation,
            kind: note.kind,
            request: note.request,
            subject: note.subject,
            facts: note.facts,
        };
        spdlog::info!(
            "event={} process={} request={} subject={} {}",
            event.kind,
            event.process,
            event.request,
            event.subject,
            event.facts
        );
        if events.len() == RING_EVENTS {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// The events kept that concern `request`, or all of them when it is empty.
    pub fn select(&self, request: &str) -> Vec<TimelineEvent> {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events
            .iter()
            .filter(|event| request.is_empty() || event.request == request)
            .cloned()
            .collect()
    }
}

/// The VM's wall clock, milliseconds since 1970.
pub fn wall_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |span| {
            u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
        })
}
