//! The agent: the only process that speaks to its upstream, and the authority over it.
//!
//! [`state::AgentState`] decides; [`run`] drives it with sockets, threads and the clock.

pub mod journal;
pub mod operation;
pub mod owner;
mod reply;
pub mod run;
pub mod stage;
pub mod state;
pub mod upstream;

use crate::clock::ClockTime;
use crate::event::EventNote;
use crate::store::PlatformCall;
use crate::wire::gen::envelope::Body;
use crate::wire::{MailOut, RequestKey};

/// What an engine gives for one position of a sequence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineOutput {
    /// Output of the layers held, the input of the next stage.
    pub activation: Vec<u8>,
    /// The token, from the stage that holds the last layer.
    pub token: Option<EngineToken>,
}

/// A generated token.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineToken {
    /// Its number.
    pub id: u32,
    /// Its text.
    pub text: String,
    /// Whether the model ends here.
    pub stop: bool,
}

/// A sequence on the engine: one opening of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceKey {
    /// The request.
    pub request: RequestKey,
    /// Counts the openings by one agent.
    pub opening: u64,
}

/// What the agent wants of its engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOrder {
    /// Run the layers for consecutive positions.
    Pass {
        /// The sequence.
        sequence: SequenceKey,
        /// First position.
        position: u32,
        /// Input of each position.
        inputs: Vec<Vec<u8>>,
    },
    /// Free a sequence.
    Cancel {
        /// The sequence.
        sequence: SequenceKey,
    },
}

/// What the engine tells the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// Consecutive positions have been run.
    Done {
        /// The sequence.
        sequence: SequenceKey,
        /// First position.
        position: u32,
        /// Output of each position.
        outputs: Vec<EngineOutput>,
        /// Time from order to result, microseconds.
        micros: u32,
    },
    /// The engine died or restarted; its sequences are gone.
    Lost,
    /// The engine answers.
    Up,
}

/// A call for the service beside the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceDispatch {
    /// Identity of the dispatch within the agent.
    pub dispatch: u64,
    /// HTTP method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
    /// The caller's trace context; may be empty.
    pub trace: String,
    /// Time allowed, milliseconds.
    pub allowed_ms: u64,
}

/// How a dispatch ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceOutcome {
    /// The service answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Content type of the body.
        content_type: String,
        /// The body.
        body: Vec<u8>,
    },
    /// Nothing was sent: the service could not be connected to.
    NotSent,
    /// It was sent and no answer came.
    Unknown,
}

/// What the agent wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentOutput {
    /// Send mail.
    Mail(MailOut),
    /// Order the engine.
    Engine(EngineOrder),
    /// Call the service.
    Service(ServiceDispatch),
    /// Call the platform; the answer comes back under the same number.
    Platform(u64, PlatformCall),
    /// Note an event.
    Note(EventNote),
}

/// What the parts of the agent share while one input is handled.
#[derive(Debug, Default)]
pub struct AgentContext {
    /// The time.
    pub now: ClockTime,
    /// Wall clock at time zero, milliseconds since 1970.
    pub wall_start_ms: u64,
    /// What is to be done.
    pub outputs: Vec<AgentOutput>,
    next_call: u64,
}

impl AgentContext {
    /// The wall clock, milliseconds since 1970.
    fn wall_ms(&self) -> u64 {
        self.wall_start_ms + self.now.0
    }

    fn mail(&mut self, to: &str, body: Body) {
        self.outputs.push(AgentOutput::Mail(MailOut {
            to: to.to_owned(),
            body,
        }));
    }

    fn note(&mut self, note: EventNote) {
        self.outputs.push(AgentOutput::Note(note));
    }

    /// Makes a platform call and returns its number.
    fn platform(&mut self, call: PlatformCall) -> u64 {
        self.next_call += 1;
        self.outputs
            .push(AgentOutput::Platform(self.next_call, call));
        self.next_call
    }
}
