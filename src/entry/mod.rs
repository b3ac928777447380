//! The entry process: accepts callers' requests, selects the replicas that run them and relays the
//! answers.
//!
//! [`state::EntryState`] holds the logic without I/O; [`run`] connects it to sockets, threads and
//! the clock.

pub mod crash;
pub mod generate;
pub mod http;
pub mod operation;
pub mod operator;
pub mod peer;
pub mod run;
pub mod state;

use rand_pcg::Pcg64Mcg;

use crate::clock::ClockTime;
use crate::entry::crash::CrashTable;
use crate::event::PendingEvent;
use crate::member::MemberTable;
use crate::verdict::RequestRefusal;
use crate::wire::gen::envelope::Body;
use crate::wire::{OutgoingMessage, RequestKey};

/// The payload of a caller's request, by the kind of profile it is sent to.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerWork {
    /// Generation of text by a model.
    Generate {
        /// The whole prompt; for a chat, one line per message.
        prompt: String,
        /// Maximum number of tokens to generate; `None` for the limit of the profile.
        max_tokens: Option<u32>,
    },
    /// A request to a plain service.
    Operation(ServiceRequest),
}

/// The HTTP request that a caller sends to a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRequest {
    /// The `Idempotency-Key` header; empty when the caller sent none.
    pub idempotency_key: String,
    /// HTTP method, in upper case.
    pub method: String,
    /// Path and query within the service, starting with "/".
    pub path: String,
    /// The `Content-Type` header; empty when the caller sent none.
    pub content_type: String,
    /// Request body, forwarded unchanged.
    pub body: Vec<u8>,
}

/// A caller's request before admission.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// Random identifier that the entry assigned to the request.
    pub request_id: RequestKey,
    /// Bearer token, which identifies the team; empty when the caller sent none.
    pub token: String,
    /// Name of the requested profile.
    pub profile: String,
    /// Time from admission to the deadline, in milliseconds.
    pub allowed_ms: u64,
    /// The caller's own identifier for the request, recorded in the timeline; may be empty.
    pub caller_id: String,
    /// The caller's `traceparent` header; may be empty.
    pub trace: String,
    /// Payload of the request: what to generate, or the HTTP request to forward.
    pub work: CallerWork,
}

/// One part of the answer to a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerEvent {
    /// A generated token.
    Token {
        /// Text of the token.
        text: String,
    },
    /// The generation is complete; no further event follows.
    Done {
        /// Number of tokens generated.
        token_count: u32,
        /// Whether it stopped because of the token limit.
        limited: bool,
    },
    /// The whole response of a plain service; no further event follows.
    Response(ServiceResponse),
    /// The request failed, possibly after some tokens; no further event follows.
    Refused(RequestRefusal),
}

/// The HTTP response of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value for the `Content-Type` header.
    pub content_type: String,
    /// Response body, forwarded unchanged.
    pub body: Vec<u8>,
    /// Whether this is the recorded response of an earlier attempt with the same idempotency key.
    pub replayed: bool,
}

/// A side effect for [`run`] to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryOutput {
    /// Send a message to another process.
    Message(OutgoingMessage),
    /// Pass a part of the answer to the caller.
    Answer(RequestKey, AnswerEvent),
    /// Record an event in the timeline.
    Event(PendingEvent),
    /// Start (`true`) or stop (`false`) reading the configuration from the platform.
    ReadConfig(bool),
}

/// State shared by the tables of an entry, with the time and the outputs of the current input.
#[derive(Debug)]
pub struct EntryContext {
    /// Time at which the current input is handled.
    pub now: ClockTime,
    /// Replicas known from heartbeats.
    pub members: MemberTable,
    /// Requests that were running on upstreams when those crashed.
    pub crash_table: CrashTable,
    /// Random number generator, seeded when the entry starts.
    pub rng: Pcg64Mcg,
    /// Side effects collected while the current input is handled.
    pub outputs: Vec<EntryOutput>,
}

impl EntryContext {
    fn send_message(&mut self, to: &str, body: Body) {
        self.outputs.push(EntryOutput::Message(OutgoingMessage {
            to: to.to_owned(),
            body,
        }));
    }

    fn answer(&mut self, request_id: RequestKey, event: AnswerEvent) {
        self.outputs.push(EntryOutput::Answer(request_id, event));
    }

    fn record(&mut self, event: PendingEvent) {
        self.outputs.push(EntryOutput::Event(event));
    }
}
