//! The entry: takes callers' requests, chooses who runs them, and relays the answers.
//!
//! [`state::EntryState`] decides; [`run`] drives it with sockets, threads and the clock.

pub mod call;
pub mod crash;
pub mod generate;
pub mod http;
pub mod operator;
pub mod peer;
pub mod run;
pub mod state;

use rand_pcg::Pcg64Mcg;

use crate::clock::ClockTime;
use crate::entry::crash::CrashTable;
use crate::event::EventNote;
use crate::member::MemberTable;
use crate::verdict::RequestRefusal;
use crate::wire::gen::envelope::Body;
use crate::wire::{MailOut, RequestKey};

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerWork {
    /// Tokens from a model.
    Generate {
        /// The prompt as one text.
        prompt: String,
        /// Most tokens wanted, if the caller says.
        max_tokens: Option<u32>,
    },
    /// A call of a plain service.
    Call(ServiceRequest),
}

/// A call of a plain service, as the caller made it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRequest {
    /// The Idempotency-Key; empty when there is none.
    pub idempotency_key: String,
    /// HTTP method.
    pub method: String,
    /// Path within the service, from "/" on.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// One request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// Its identity.
    pub key: RequestKey,
    /// Bearer token.
    pub token: String,
    /// Profile by name.
    pub profile: String,
    /// Time allowed, milliseconds.
    pub allowed_ms: u64,
    /// The caller's own identity of the request; may be empty.
    pub caller_id: String,
    /// The caller's trace context; may be empty.
    pub trace: String,
    /// What is asked for.
    pub work: CallerWork,
}

/// A piece of the answer to one request.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerEvent {
    /// One more token.
    Token {
        /// Its text.
        text: String,
    },
    /// The whole answer has been given.
    Done {
        /// Tokens generated.
        tokens: u32,
        /// Whether the token limit ended it.
        limited: bool,
    },
    /// The answer of a plain service.
    Reply(ServiceReply),
    /// There is no answer, or no more of it.
    Refused(RequestRefusal),
}

/// The answer of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceReply {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
    /// Recorded earlier and given again.
    pub replayed: bool,
}

/// What the entry wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryOutput {
    /// Send mail.
    Mail(MailOut),
    /// Give a caller a piece of the answer.
    Answer(RequestKey, AnswerEvent),
    /// Note an event.
    Note(EventNote),
    /// Read the platform's configuration, or leave it to others.
    Reader(bool),
}

/// What the parts of the entry share while one input is handled.
#[derive(Debug)]
pub struct EntryContext {
    /// The time.
    pub now: ClockTime,
    /// The replicas known.
    pub members: MemberTable,
    /// Requests that upstreams died of, or may have.
    pub crashes: CrashTable,
    /// Randomness.
    pub rng: Pcg64Mcg,
    /// What is to be done.
    pub outputs: Vec<EntryOutput>,
}

impl EntryContext {
    fn mail(&mut self, to: &str, body: Body) {
        self.outputs.push(EntryOutput::Mail(MailOut {
            to: to.to_owned(),
            body,
        }));
    }

    fn answer(&mut self, key: RequestKey, event: AnswerEvent) {
        self.outputs.push(EntryOutput::Answer(key, event));
    }

    fn note(&mut self, note: EventNote) {
        self.outputs.push(EntryOutput::Note(note));
    }
}
