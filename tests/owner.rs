//! Ownership of a journal partition, step by step: two agents, a store, and calls held in hand.

#[path = "world/store.rs"]
mod store;

use lynxcart::agent::owner::OwnerSetup;
use lynxcart::agent::state::{AgentInput, AgentSetup, AgentState, UpstreamSetup};
use lynxcart::agent::{AgentOutput, ServiceOutcome};
use lynxcart::clock::ClockTime;
use lynxcart::mail::MailEvent;
use lynxcart::store::{PlatformCall, PlatformError};
use lynxcart::wire::gen::envelope::Body;
use lynxcart::wire::gen::{OperationCall, OperationStrike, RefusalCode, RequestId, WireVerdict};
use lynxcart::wire::MailIn;

use store::FakeStore;

/// One agent whose platform calls wait to be answered.
struct HeldAgent {
    state: AgentState,
    calls: Vec<(u64, PlatformCall)>,
    mail: Vec<Body>,
    dispatched: Vec<u64>,
}

impl HeldAgent {
    fn new(name: &str) -> HeldAgent {
        HeldAgent {
            state: AgentState::new(AgentSetup {
                name: name.into(),
                admin_address: String::new(),
                failure_domain: "d".into(),
                region: "r".into(),
                entries: Vec::new(),
                limit: 8,
                upstream: UpstreamSetup::Service {
                    owner: OwnerSetup {
                        service: "s".into(),
                        partition_count: 1,
                        address: name.into(),
                        incarnation: 1,
                        writes_per_s: 1_000,
                    },
                },
                wall_start_ms: 0,
            }),
            calls: Vec::new(),
            mail: Vec::new(),
            dispatched: Vec::new(),
        }
    }

    fn give(&mut self, now: u64, input: AgentInput) {
        for output in self.state.handle(ClockTime(now), input) {
            match output {
                AgentOutput::Platform(number, call) => self.calls.push((number, call)),
                AgentOutput::Mail(mail) => self.mail.push(mail.body),
                AgentOutput::Service(dispatch) => self.dispatched.push(dispatch.dispatch),
                AgentOutput::Engine(_) | AgentOutput::Note(_) => {}
            }
        }
    }

    /// Lets the store answer all that is asked, until nothing more is.
    fn settle(&mut self, store: &mut FakeStore, now: u64) {
        self.give(now, AgentInput::Tick);
        while !self.calls.is_empty() {
            let (number, call) = self.calls.remove(0);
            let answer = store.apply(ClockTime(now), &call);
            self.give(now, AgentInput::Platform(number, Ok(answer)));
        }
    }

    /// Fails every call in hand, as a cut does.
    fn fail_calls(&mut self, now: u64) {
        for (number, _) in std::mem::take(&mut self.calls) {
            self.give(
                now,
                AgentInput::Platform(number, Err(PlatformError("cut".into()))),
            );
        }
    }

    fn call(&mut self, now: u64, number: u64) {
        let call = OperationCall {
            request: Some(RequestId {
                high: 0,
                low: number,
            }),
            attempt: 1,
            service: "s".into(),
            team: "t".into(),
            key: "k".into(),
            method: "POST".into(),
            path: "/issue".into(),
            remaining_ms: 60_000,
            ..OperationCall::default()
        };
        self.mail_in(now, Body::OperationCall(call));
    }

    fn strike(&mut self, now: u64, number: u64) {
        let strike = OperationStrike {
            request: Some(RequestId {
                high: 0,
                low: number,
            }),
            attempt: 1,
            team: "t".into(),
            key: "k".into(),
        };
        self.mail_in(now, Body::OperationStrike(strike));
    }

    fn mail_in(&mut self, now: u64, body: Body) {
        let mail = MailIn {
            from: "entry".into(),
            incarnation: 1,
            body,
        };
        self.give(now, AgentInput::Mail(MailEvent::Received(Box::new(mail))));
    }

    fn answer(&mut self, now: u64, dispatch: u64) {
        let outcome = ServiceOutcome::Answered {
            status: 200,
            content_type: String::new(),
            body: b"done".to_vec(),
        };
        self.give(now, AgentInput::Service(dispatch, outcome));
    }

    fn owns(&mut self) -> bool {
        let operations = self.state.operations().expect("a service");
        operations.owner().owned() == vec![0]
    }

    /// The verdicts and codes of the replies since the last look.
    fn replies(&mut self) -> Vec<(WireVerdict, RefusalCode)> {
        let mail = std::mem::take(&mut self.mail);
        let replies = mail.into_iter().filter_map(|body| match body {
            Body::OperationReply(reply) => Some((reply.verdict(), reply.code())),
            Body::OperationStruck(struck) => Some((struck.verdict(), RefusalCode::Struck)),
            _ => None,
        });
        replies.collect()
    }
}

/// Agent `a` owns the only partition at 600 ms.
fn owner_and_store() -> (HeldAgent, FakeStore) {
    let (mut a, mut store) = (HeldAgent::new("a"), FakeStore::default());
    a.settle(&mut store, 0);
    a.settle(&mut store, 600);
    assert!(a.owns());
    (a, store)
}

/// Agent `b` takes the partition over after the lease of `a` has lapsed.
fn take_over(store: &mut FakeStore) -> HeldAgent {
    let mut b = HeldAgent::new("b");
    for now in [10_000, 10_600, 11_200] {
        b.settle(store, now);
    }
    assert!(b.owns());
    b
}

#[test]
fn nothing_is_dispatched_before_its_intent_is_durable() {
    let (mut a, mut store) = owner_and_store();
    a.call(700, 1);
    assert!(a.dispatched.is_empty());
    a.settle(&mut store, 700);
    assert_eq!(a.dispatched.len(), 1);
}

#[test]
fn an_owned_partition_is_not_taken() {
    let (_, mut store) = owner_and_store();
    let mut b = HeldAgent::new("b");
    for now in [700, 1_300, 1_900, 2_500] {
        b.settle(&mut store, now);
        assert!(!b.owns());
    }
}

#[test]
fn a_paused_owner_that_wakes_up_commits_nothing() {
    let (mut a, mut store) = owner_and_store();
    a.call(700, 1);
    let commit = a.calls.pop().expect("a commit in hand");
    let _b = take_over(&mut store);
    let answer = store.apply(ClockTime(12_000), &commit.1);
    a.give(12_000, AgentInput::Platform(commit.0, Ok(answer)));
    assert!(a.dispatched.is_empty(), "a lapsed owner dispatched");
    assert!(!a.owns());
    let replies = a.replies();
    assert_eq!(replies, [(WireVerdict::MayHaveRun, RefusalCode::NotOwner)]);
}

#[test]
fn a_lapsed_owner_takes_no_calls() {
    let (mut a, _) = owner_and_store();
    a.call(9_000, 1);
    assert_eq!(a.replies(), [(WireVerdict::NotRun, RefusalCode::NotOwner)]);
    assert!(a
        .calls
        .iter()
        .all(|(_, call)| !matches!(call, PlatformCall::Txn { .. })));
}

#[test]
fn an_outage_refuses_at_once_and_vouches_only_under_the_lease() {
    struct OutageCase {
        fails_at: u64,
        verdict: WireVerdict,
    }
    let cases = [
        OutageCase {
            fails_at: 1_700,
            verdict: WireVerdict::NotRun,
        },
        OutageCase {
            fails_at: 9_000,
            verdict: WireVerdict::MayHaveRun,
        },
    ];
    for case in cases {
        let (mut a, mut store) = owner_and_store();
        a.call(700, 1);
        // The first failure is read back, the second ends the wait.
        a.fail_calls(case.fails_at);
        assert_eq!(a.replies(), []);
        a.fail_calls(case.fails_at);
        assert_eq!(a.replies(), [(case.verdict, RefusalCode::PlatformOutage)]);
        if case.verdict == WireVerdict::NotRun {
            a.call(case.fails_at + 1, 2);
            assert_eq!(
                a.replies(),
                [(WireVerdict::NotRun, RefusalCode::PlatformOutage)]
            );
        }
        // The commit takes effect after all; what was refused still does not run.
        a.settle(&mut store, case.fails_at + 300);
        assert!(a.dispatched.is_empty());
    }
}

#[test]
fn a_commit_with_a_lost_answer_is_found_again() {
    let (mut a, mut store) = owner_and_store();
    a.call(700, 1);
    let commit = a.calls.pop().expect("a commit in hand");
    store.apply(ClockTime(701), &commit.1);
    a.give(
        1_700,
        AgentInput::Platform(commit.0, Err(PlatformError("lost".into()))),
    );
    a.settle(&mut store, 1_701);
    assert_eq!(a.dispatched.len(), 1);
}

#[test]
fn a_struck_call_does_not_run() {
    let (mut a, mut store) = owner_and_store();
    a.call(700, 1);
    a.strike(701, 1);
    assert_eq!(a.replies(), [(WireVerdict::NotRun, RefusalCode::Struck)]);
    a.settle(&mut store, 800);
    assert!(a.dispatched.is_empty());
    // Struck before it arrived: the same.
    a.strike(900, 2);
    assert_eq!(a.replies(), [(WireVerdict::NotRun, RefusalCode::Struck)]);
    a.call(901, 2);
    a.settle(&mut store, 1_000);
    assert!(a.dispatched.is_empty());
    // A new try of the key runs.
    a.call(1_100, 3);
    a.settle(&mut store, 1_200);
    assert_eq!(a.dispatched.len(), 1);
    a.strike(1_201, 3);
    assert_eq!(
        a.replies(),
        [(WireVerdict::MayHaveRun, RefusalCode::Struck)]
    );
}

#[test]
fn a_successor_knows_what_was_begun_and_what_was_done() {
    struct SuccessorCase {
        finished: bool,
        reply: (WireVerdict, RefusalCode),
    }
    let cases = [
        SuccessorCase {
            finished: false,
            reply: (WireVerdict::MayHaveRun, RefusalCode::OutcomeUnknown),
        },
        SuccessorCase {
            finished: true,
            reply: (WireVerdict::Ran, RefusalCode::Unspecified),
        },
    ];
    for case in cases {
        let (mut a, mut store) = owner_and_store();
        a.call(700, 1);
        a.settle(&mut store, 701);
        if case.finished {
            let dispatch = a.dispatched[0];
            a.answer(702, dispatch);
            a.settle(&mut store, 800);
        }
        let mut b = take_over(&mut store);
        b.call(11_300, 2);
        assert_eq!(b.replies(), [case.reply]);
        b.settle(&mut store, 11_400);
        assert!(b.dispatched.is_empty(), "a successor ran it again");
    }
}

#[test]
fn a_drained_owner_hands_over_before_its_lease_ends() {
    let (mut a, mut store) = owner_and_store();
    let mut b = HeldAgent::new("b");
    b.settle(&mut store, 700);
    a.give(800, AgentInput::Drain);
    for now in [900, 1_200, 1_500, 1_800, 2_100] {
        a.settle(&mut store, now);
        b.settle(&mut store, now);
    }
    assert!(!a.owns() && b.owns());
    assert!(a.state.is_drained());
}
