//! The agent: the process that runs next to one upstream and mediates all access to it.
//!
//! Only the agent talks to the upstream, so only it can state whether a request has run there.
//! [`state::AgentState`] holds the logic and does no I/O; [`run`] connects it to sockets, threads
//! and the clock.

pub mod journal;
pub mod operation;
pub mod owner;
mod reply;
pub mod run;
pub mod stage;
pub mod state;
pub mod upstream;

use crate::clock::ClockTime;
use crate::event::PendingEvent;
use crate::store::PlatformRequest;
use crate::wire::gen::envelope::Body;
use crate::wire::{OutgoingMessage, RequestKey};

/// The output of an engine for one position of a sequence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PositionOutput {
    /// Output of the engine's last layer, which is the input of the next stage.
    pub activation: Vec<u8>,
    /// The generated token. `None` unless the engine holds the model's last layer.
    pub token: Option<EngineToken>,
}

/// A generated token.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineToken {
    /// Token id in the model's vocabulary.
    pub id: u32,
    /// Decoded text of the token.
    pub text: String,
    /// Whether the model ends its output with this token.
    pub stop: bool,
}

/// Identity of a sequence on the engine.
///
/// A request that is opened again after its stage was dropped gets a new sequence, so that late
/// results of the old one are recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceKey {
    /// The request that the sequence belongs to.
    pub request: RequestKey,
    /// Number of the stage opening that created the sequence, counted over all requests of one
    /// agent.
    pub opening: u64,
}

/// A command for the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineCommand {
    /// Runs the engine's layers for consecutive positions.
    Pass {
        /// The sequence that the positions belong to.
        sequence: SequenceKey,
        /// First position.
        position: u32,
        /// Input of each position, starting at `position`.
        inputs: Vec<Vec<u8>>,
    },
    /// Frees the state of a sequence.
    Cancel {
        /// The sequence to free.
        sequence: SequenceKey,
    },
}

/// A result or a state change of the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The engine has run consecutive positions.
    Done {
        /// The sequence that the positions belong to.
        sequence: SequenceKey,
        /// First position.
        position: u32,
        /// Output of each position, starting at `position`.
        outputs: Vec<PositionOutput>,
        /// Time from sending the pass to receiving its result, in microseconds.
        elapsed_micros: u32,
    },
    /// The engine's results can no longer be read without a gap, for example because it died. Its
    /// sequences are lost.
    Lost,
    /// The engine accepts passes.
    Up,
}

/// An operation to send to the agent's service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceDispatch {
    /// Number that identifies the dispatch within the agent.
    pub dispatch: u64,
    /// HTTP method.
    pub method: String,
    /// Path and query of the URL.
    pub path: String,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Request body.
    pub body: Vec<u8>,
    /// Value of the caller's `traceparent` header (W3C Trace Context), or empty.
    pub trace: String,
    /// Time until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// The outcome of a [`ServiceDispatch`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceOutcome {
    /// The service returned a complete response.
    Answered {
        /// HTTP status.
        status: u16,
        /// Value of the response's `Content-Type` header.
        content_type: String,
        /// Response body.
        body: Vec<u8>,
    },
    /// Nothing was sent: the connection to the service failed or the request was not valid.
    NotSent,
    /// The operation was sent and no complete response was received.
    Unknown,
}

/// An effect that [`state::AgentState::handle`] returns and [`run`] performs.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentOutput {
    /// Send a message to another process.
    Message(OutgoingMessage),
    /// Send a command to the engine.
    Engine(EngineCommand),
    /// Send an operation to the service.
    Service(ServiceDispatch),
    /// Send a request to the platform's key-value store. The response is returned with the same
    /// number.
    Platform(u64, PlatformRequest),
    /// Record an event on the timeline.
    Event(PendingEvent),
}

/// State shared by the agent's tables while one input is handled.
#[derive(Debug, Default)]
pub struct AgentContext {
    /// Current time of the agent's monotonic clock.
    pub now: ClockTime,
    /// Wall-clock time at which the monotonic clock read zero, in milliseconds since 1970.
    pub wall_start_ms: u64,
    /// Effects collected so far, in the order in which they are to be performed.
    pub outputs: Vec<AgentOutput>,
    /// Number of the latest platform request.
    last_request: u64,
}

impl AgentContext {
    /// Current wall-clock time, in milliseconds since 1970.
    fn wall_ms(&self) -> u64 {
        self.wall_start_ms + self.now.0
    }

    /// Sends a message to the process at the address `to`.
    fn send_message(&mut self, to: &str, body: Body) {
        self.outputs.push(AgentOutput::Message(OutgoingMessage {
            to: to.to_owned(),
            body,
        }));
    }

    /// Records an event on the timeline.
    fn record_event(&mut self, event: PendingEvent) {
        self.outputs.push(AgentOutput::Event(event));
    }

    /// Starts a platform request and returns its number.
    fn send_platform_request(&mut self, request: PlatformRequest) -> u64 {
        self.last_request += 1;
        self.outputs
            .push(AgentOutput::Platform(self.last_request, request));
        self.last_request
    }
}
