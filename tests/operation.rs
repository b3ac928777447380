//! Operations at one entry: which owner of a key gets them while partitions change hands.

use lynxcart::clock::ClockTime;
use lynxcart::entry::state::{EntryInput, EntrySetup, EntryState};
use lynxcart::entry::{AnswerEvent, CallerRequest, CallerWork, EntryOutput, ServiceRequest};
use lynxcart::messaging::MessagingEvent;
use lynxcart::profile::{
    token_hash, KeylessPolicy, ProfileRecord, ProfileSpec, ProfileTarget, TeamRecord,
    PROFILE_PREFIX, TEAM_PREFIX,
};
use lynxcart::verdict::{RefusalReason, RequestRefusal, RunVerdict};
use lynxcart::wire::gen::envelope::Body;
use lynxcart::wire::gen::heartbeat::Role;
use lynxcart::wire::gen::{
    ConfigItem, Heartbeat, OperationReply, OperationStruck, RefusalCode, RequestId, ServiceRole,
    WireVerdict,
};
use lynxcart::wire::{IncomingMessage, RequestKey};

const TOKEN: &str = "team-token";
const REQUEST: RequestKey = RequestKey(7);
/// The target: a request that meets a partition between two owners waits this long for the next
/// one before it is refused, milliseconds.
const OWNER_WAIT_MS: u64 = 1_500;

/// An entry with one profile, and what it last did.
struct OneEntry {
    state: EntryState,
    sequence: u64,
    /// Agents that were sent the operation, with the number of the attempt.
    sent: Vec<(String, u32)>,
    answer: Option<AnswerEvent>,
}

impl OneEntry {
    fn new() -> OneEntry {
        let setup = EntrySetup {
            address: "entry".into(),
            seeds: Vec::new(),
            rng_seed: 1,
        };
        let mut entry = OneEntry {
            state: EntryState::new(setup),
            sequence: 0,
            sent: Vec::new(),
            answer: None,
        };
        let team = TeamRecord {
            token_hash: token_hash(TOKEN),
            in_flight_limit: 10,
        };
        let profile = ProfileRecord {
            spec: ProfileSpec {
                name: "custody".into(),
                target: ProfileTarget::Service {
                    service: "s".into(),
                    idempotent_paths: vec!["/lookup".into()],
                    keyless: KeylessPolicy::Refuse,
                },
            },
            operator: "ana".into(),
            accepted_ms: 0,
            write_id: "w".into(),
        };
        let items = vec![
            ConfigItem {
                key: format!("{TEAM_PREFIX}team"),
                revision: 1,
                value: serde_json::to_vec(&team).unwrap(),
            },
            ConfigItem {
                key: format!("{PROFILE_PREFIX}custody"),
                revision: 2,
                value: serde_json::to_vec(&profile).unwrap(),
            },
        ];
        entry.handle(
            0,
            EntryInput::Config {
                after: 0,
                complete_to: 2,
                items,
            },
        );
        entry
    }

    fn handle(&mut self, now: u64, input: EntryInput) {
        for output in self.state.handle(ClockTime(now), input) {
            match output {
                EntryOutput::Message(message) => {
                    if let Body::OperationCall(operation) = message.body {
                        self.sent.push((message.to, operation.attempt));
                    }
                }
                EntryOutput::Answer(REQUEST, event) => {
                    assert_eq!(self.answer, None, "a second answer: {event:?}");
                    self.answer = Some(event);
                }
                _ => {}
            }
        }
    }

    fn receive(&mut self, now: u64, from: &str, body: Body) {
        let message = IncomingMessage {
            from: from.into(),
            incarnation: 1,
            body,
        };
        self.handle(
            now,
            EntryInput::Message(MessagingEvent::Received(Box::new(message))),
        );
    }

    /// An agent states that it owns these of the service's two partitions.
    fn heartbeat(&mut self, now: u64, agent: &str, partitions: &[u32]) {
        self.sequence += 1;
        let heartbeat = Heartbeat {
            name: agent.into(),
            sequence: self.sequence,
            limit: 8,
            role: Some(Role::Service(ServiceRole {
                service: "s".into(),
                partitions: partitions.to_vec(),
                partition_count: 2,
            })),
            ..Heartbeat::default()
        };
        self.receive(now, agent, Body::Heartbeat(heartbeat));
    }

    fn submit(&mut self, now: u64, path: &str, allowed_ms: u64) {
        let request = CallerRequest {
            request_id: REQUEST,
            token: TOKEN.into(),
            profile: "custody".into(),
            allowed_ms,
            caller_id: String::new(),
            trace: String::new(),
            work: CallerWork::Operation(ServiceRequest {
                idempotency_key: "k".into(),
                method: "POST".into(),
                path: path.into(),
                content_type: "text/plain".into(),
                body: b"issue".to_vec(),
            }),
        };
        self.handle(now, EntryInput::Caller(request));
    }

    fn reply(&mut self, now: u64, agent: &str, attempt: u32, code: RefusalCode) {
        let reply = OperationReply {
            request: Some(RequestId {
                high: 0,
                low: u64::try_from(REQUEST.0).unwrap(),
            }),
            attempt,
            verdict: WireVerdict::NotRun.into(),
            code: code.into(),
            ..OperationReply::default()
        };
        self.receive(now, agent, Body::OperationReply(reply));
    }

    fn tick(&mut self, now: u64) {
        self.handle(now, EntryInput::Tick);
    }

    fn refusal(&self) -> &RequestRefusal {
        match &self.answer {
            Some(AnswerEvent::Refused(refusal)) => refusal,
            other => panic!("not refused: {other:?}"),
        }
    }
}

/// The agent that gave the partitions up has said so; the one that takes them has not yet.
#[test]
fn request_between_two_owners_goes_to_the_next_one() {
    let mut entry = OneEntry::new();
    entry.heartbeat(10, "agent-0", &[0, 1]);
    entry.heartbeat(100, "agent-0", &[]);
    entry.submit(101, "/issue", 3_000);
    assert_eq!((entry.sent.len(), &entry.answer), (0, &None));
    entry.heartbeat(560, "agent-1", &[0, 1]);
    assert_eq!(entry.sent, [("agent-1".to_owned(), 1)]);
    assert_eq!(entry.answer, None);
}

/// The agent that was sent the request has given the partition up, and takes it back later.
#[test]
fn owner_that_takes_the_partition_back_is_asked_again() {
    let mut entry = OneEntry::new();
    entry.heartbeat(10, "agent-0", &[0, 1]);
    entry.submit(20, "/issue", 3_000);
    entry.reply(30, "agent-0", 1, RefusalCode::NotOwner);
    entry.tick(40);
    assert_eq!(entry.sent, [("agent-0".to_owned(), 1)]);
    assert_eq!(entry.answer, None);
    entry.heartbeat(50, "agent-0", &[0, 1]);
    assert_eq!(
        entry.sent,
        [("agent-0".to_owned(), 1), ("agent-0".to_owned(), 2)]
    );
}

#[test]
fn wait_for_an_owner_ends_after_its_time_or_at_the_deadline() {
    struct Case {
        name: &'static str,
        allowed_ms: u64,
        waits_ms: u64,
    }
    let cases = [
        Case {
            name: "no owner comes",
            allowed_ms: 3_000,
            waits_ms: OWNER_WAIT_MS,
        },
        Case {
            name: "the deadline comes first",
            allowed_ms: 400,
            waits_ms: 400,
        },
    ];
    for case in cases {
        let mut entry = OneEntry::new();
        entry.heartbeat(10, "agent-0", &[]);
        entry.submit(100, "/issue", case.allowed_ms);
        entry.tick(100 + case.waits_ms - 1);
        assert_eq!(entry.answer, None, "{}", case.name);
        entry.tick(100 + case.waits_ms);
        let refusal = entry.refusal();
        // Only the owner of the key could tell whether an earlier attempt ran.
        assert_eq!(refusal.verdict, RunVerdict::MayHaveRun, "{}", case.name);
        assert_eq!(refusal.reason, RefusalReason::NoUpstream, "{}", case.name);
        entry.heartbeat(2_500, "agent-1", &[0, 1]);
        assert_eq!(entry.sent, [], "{}: sent after its refusal", case.name);
    }
}

/// An idempotent request needs no owner: with no replica it is refused at once.
#[test]
fn request_without_any_replica_is_refused_at_once() {
    for path in ["/lookup/1", "/issue"] {
        let mut entry = OneEntry::new();
        entry.submit(100, path, 3_000);
        assert_eq!(entry.refusal().reason, RefusalReason::NoUpstream, "{path}");
    }
}

/// A caller that has left while its request waited for an owner gets nothing sent.
#[test]
fn caller_that_left_while_waiting_for_an_owner_is_forgotten() {
    let mut entry = OneEntry::new();
    entry.heartbeat(10, "agent-0", &[]);
    entry.submit(100, "/issue", 3_000);
    entry.handle(200, EntryInput::CallerDisconnected(REQUEST));
    entry.heartbeat(300, "agent-0", &[0, 1]);
    assert_eq!(entry.sent, []);
}

/// The agent says whether the request has run when it is asked to cancel it.
#[test]
fn request_that_is_ended_gets_the_verdict_of_its_agent_and_is_sent_no_more() {
    let request = Some(RequestId {
        high: 0,
        low: u64::try_from(REQUEST.0).unwrap(),
    });
    for verdict in [RunVerdict::NotRun, RunVerdict::MayHaveRun] {
        let mut entry = OneEntry::new();
        entry.heartbeat(10, "agent-0", &[0, 1]);
        entry.submit(20, "/issue", 3_000);
        entry.handle(30, EntryInput::EndRequests);
        assert_eq!(entry.answer, None, "the agent was not asked");
        let struck = OperationStruck {
            request,
            attempt: 1,
            verdict: WireVerdict::from(verdict).into(),
        };
        entry.receive(40, "agent-0", Body::OperationStruck(struck));
        assert_eq!(entry.refusal().verdict, verdict);
        entry.heartbeat(50, "agent-1", &[0, 1]);
        assert_eq!(entry.sent, [("agent-0".to_owned(), 1)], "{verdict}");
    }
}

#[test]
fn request_that_is_ended_is_not_retried_after_a_refusal() {
    let mut entry = OneEntry::new();
    entry.heartbeat(10, "agent-0", &[0, 1]);
    entry.heartbeat(10, "agent-1", &[0, 1]);
    entry.submit(20, "/lookup/1", 3_000);
    let agent = entry.sent[0].0.clone();
    entry.handle(30, EntryInput::EndRequests);
    entry.reply(40, &agent, 1, RefusalCode::Busy);
    assert_eq!(entry.refusal().verdict, RunVerdict::NotRun);
    assert_eq!(entry.sent.len(), 1, "sent after the end");
}

#[test]
fn request_that_is_ended_is_refused_though_its_agent_is_silent() {
    let mut entry = OneEntry::new();
    entry.heartbeat(10, "agent-0", &[0, 1]);
    entry.submit(20, "/issue", 3_000);
    entry.handle(30, EntryInput::EndRequests);
    entry.tick(entry.state.next_wake().0);
    assert_eq!(entry.refusal().verdict, RunVerdict::MayHaveRun);
    assert_eq!(entry.state.in_flight(), 0);
}

#[test]
fn request_that_waits_for_an_owner_is_refused_when_it_is_ended() {
    let mut entry = OneEntry::new();
    entry.heartbeat(10, "agent-0", &[]);
    entry.submit(20, "/issue", 3_000);
    entry.handle(30, EntryInput::EndRequests);
    assert_eq!(entry.refusal().reason, RefusalReason::NoUpstream);
    entry.heartbeat(40, "agent-0", &[0, 1]);
    assert_eq!(entry.sent, []);
}
