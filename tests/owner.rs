//! Ownership of a journal partition by two agents. The tests answer, delay or fail each platform
//! request themselves, to cover expired leases, outages, lost responses and handovers.

#[path = "world/store.rs"]
mod store;

use lynxcart::agent::owner::OwnerSetup;
use lynxcart::agent::state::{AgentInput, AgentSetup, AgentState, UpstreamSetup};
use lynxcart::agent::{AgentOutput, ServiceOutcome};
use lynxcart::clock::ClockTime;
use lynxcart::messaging::MessagingEvent;
use lynxcart::store::{PlatformError, PlatformRequest};
use lynxcart::wire::gen::envelope::Body;
use lynxcart::wire::gen::{OperationCall, OperationStrike, RefusalCode, RequestId, WireVerdict};
use lynxcart::wire::IncomingMessage;

use store::FakeStore;

/// An agent whose platform requests stay unanswered until the test answers or fails them.
struct ManualAgent {
    state: AgentState,
    requests: Vec<(u64, PlatformRequest)>,
    messages: Vec<Body>,
    dispatched: Vec<u64>,
}

impl ManualAgent {
    fn new(name: &str) -> ManualAgent {
        ManualAgent {
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
            requests: Vec::new(),
            messages: Vec::new(),
            dispatched: Vec::new(),
        }
    }

    fn handle(&mut self, now: u64, input: AgentInput) {
        for output in self.state.handle(ClockTime(now), input) {
            match output {
                AgentOutput::Platform(number, request) => self.requests.push((number, request)),
                AgentOutput::Message(message) => self.messages.push(message.body),
                AgentOutput::Service(dispatch) => self.dispatched.push(dispatch.dispatch),
                AgentOutput::Engine(_) | AgentOutput::Event(_) => {}
            }
        }
    }

    /// Answers all platform requests from the store, including those that follow from the answers.
    fn answer_requests(&mut self, store: &mut FakeStore, now: u64) {
        self.handle(now, AgentInput::Tick);
        while !self.requests.is_empty() {
            let (number, request) = self.requests.remove(0);
            let response = store.apply(ClockTime(now), &request);
            self.handle(now, AgentInput::Platform(number, Ok(response)));
        }
    }

    /// Fails every unanswered platform request, as a broken connection does.
    fn fail_requests(&mut self, now: u64) {
        for (number, _) in std::mem::take(&mut self.requests) {
            self.handle(
                now,
                AgentInput::Platform(number, Err(PlatformError("cut".into()))),
            );
        }
    }

    fn send_operation(&mut self, now: u64, number: u64) {
        let operation = OperationCall {
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
        self.receive(now, Body::OperationCall(operation));
    }

    fn send_cancel(&mut self, now: u64, number: u64) {
        let cancellation = OperationStrike {
            request: Some(RequestId {
                high: 0,
                low: number,
            }),
            attempt: 1,
            team: "t".into(),
            key: "k".into(),
        };
        self.receive(now, Body::OperationStrike(cancellation));
    }

    fn receive(&mut self, now: u64, body: Body) {
        let message = IncomingMessage {
            from: "entry".into(),
            incarnation: 1,
            body,
        };
        self.handle(
            now,
            AgentInput::Message(MessagingEvent::Received(Box::new(message))),
        );
    }

    fn finish_dispatch(&mut self, now: u64, dispatch: u64) {
        let outcome = ServiceOutcome::Answered {
            status: 200,
            content_type: String::new(),
            body: b"done".to_vec(),
        };
        self.handle(now, AgentInput::Service(dispatch, outcome));
    }

    fn owns(&mut self) -> bool {
        let operations = self.state.operations().expect("a service");
        operations.partitions().accepting_partitions() == vec![0]
    }

    /// Returns the verdicts and codes of the replies sent since the previous call.
    fn replies(&mut self) -> Vec<(WireVerdict, RefusalCode)> {
        let messages = std::mem::take(&mut self.messages);
        let replies = messages.into_iter().filter_map(|body| match body {
            Body::OperationReply(reply) => Some((reply.verdict(), reply.code())),
            Body::OperationStruck(reply) => Some((reply.verdict(), RefusalCode::Struck)),
            _ => None,
        });
        replies.collect()
    }
}

/// Returns an agent `a` that owns the only partition, and the store, at 600 ms.
fn owner_and_store() -> (ManualAgent, FakeStore) {
    let (mut a, mut store) = (ManualAgent::new("a"), FakeStore::default());
    a.answer_requests(&mut store, 0);
    a.answer_requests(&mut store, 600);
    assert!(a.owns());
    (a, store)
}

/// Returns an agent `b` that has claimed the partition after the lease of `a` expired.
fn take_over(store: &mut FakeStore) -> ManualAgent {
    let mut b = ManualAgent::new("b");
    for now in [10_000, 10_600, 11_200] {
        b.answer_requests(store, now);
    }
    assert!(b.owns());
    b
}

#[test]
fn nothing_is_dispatched_before_its_intent_is_durable() {
    let (mut a, mut store) = owner_and_store();
    a.send_operation(700, 1);
    assert!(a.dispatched.is_empty());
    a.answer_requests(&mut store, 700);
    assert_eq!(a.dispatched.len(), 1);
}

#[test]
fn an_owned_partition_is_not_claimed() {
    let (_, mut store) = owner_and_store();
    let mut b = ManualAgent::new("b");
    for now in [700, 1_300, 1_900, 2_500] {
        b.answer_requests(&mut store, now);
        assert!(!b.owns());
    }
}

#[test]
fn a_paused_owner_commits_nothing_after_a_takeover() {
    let (mut a, mut store) = owner_and_store();
    a.send_operation(700, 1);
    let commit = a.requests.pop().expect("an unanswered commit");
    let _b = take_over(&mut store);
    let response = store.apply(ClockTime(12_000), &commit.1);
    a.handle(12_000, AgentInput::Platform(commit.0, Ok(response)));
    assert!(
        a.dispatched.is_empty(),
        "an owner with an expired lease dispatched an operation"
    );
    assert!(!a.owns());
    let replies = a.replies();
    assert_eq!(replies, [(WireVerdict::MayHaveRun, RefusalCode::NotOwner)]);
}

#[test]
fn an_owner_with_an_expired_lease_refuses_operations() {
    let (mut a, _) = owner_and_store();
    a.send_operation(9_000, 1);
    assert_eq!(a.replies(), [(WireVerdict::NotRun, RefusalCode::NotOwner)]);
    assert!(a
        .requests
        .iter()
        .all(|(_, request)| !matches!(request, PlatformRequest::Txn { .. })));
}

#[test]
fn an_outage_refuses_with_not_run_only_under_the_lease() {
    struct OutageCase {
        failure_ms: u64,
        verdict: WireVerdict,
    }
    let cases = [
        OutageCase {
            failure_ms: 1_700,
            verdict: WireVerdict::NotRun,
        },
        OutageCase {
            failure_ms: 9_000,
            verdict: WireVerdict::MayHaveRun,
        },
    ];
    for case in cases {
        let (mut a, mut store) = owner_and_store();
        a.send_operation(700, 1);
        // After the first failure the commit is sent again at once and the operation waits. After
        // the second failure the operation is refused.
        a.fail_requests(case.failure_ms);
        assert_eq!(a.replies(), []);
        a.fail_requests(case.failure_ms);
        assert_eq!(a.replies(), [(case.verdict, RefusalCode::PlatformOutage)]);
        if case.verdict == WireVerdict::NotRun {
            a.send_operation(case.failure_ms + 1, 2);
            assert_eq!(
                a.replies(),
                [(WireVerdict::NotRun, RefusalCode::PlatformOutage)]
            );
        }
        // The third attempt at the commit takes effect. The refused operation still does not run.
        a.answer_requests(&mut store, case.failure_ms + 300);
        assert!(a.dispatched.is_empty());
    }
}

#[test]
fn a_commit_with_a_lost_response_is_read_back() {
    let (mut a, mut store) = owner_and_store();
    a.send_operation(700, 1);
    let commit = a.requests.pop().expect("an unanswered commit");
    store.apply(ClockTime(701), &commit.1);
    a.handle(
        1_700,
        AgentInput::Platform(commit.0, Err(PlatformError("lost".into()))),
    );
    a.answer_requests(&mut store, 1_701);
    assert_eq!(a.dispatched.len(), 1);
}

#[test]
fn a_cancelled_operation_does_not_run() {
    let (mut a, mut store) = owner_and_store();
    a.send_operation(700, 1);
    a.send_cancel(701, 1);
    assert_eq!(a.replies(), [(WireVerdict::NotRun, RefusalCode::Struck)]);
    a.answer_requests(&mut store, 800);
    assert!(a.dispatched.is_empty());
    // The cancellation arrives before the operation.
    a.send_cancel(900, 2);
    assert_eq!(a.replies(), [(WireVerdict::NotRun, RefusalCode::Struck)]);
    a.send_operation(901, 2);
    a.answer_requests(&mut store, 1_000);
    assert!(a.dispatched.is_empty());
    // A new operation with the same key runs.
    a.send_operation(1_100, 3);
    a.answer_requests(&mut store, 1_200);
    assert_eq!(a.dispatched.len(), 1);
    a.send_cancel(1_201, 3);
    assert_eq!(
        a.replies(),
        [(WireVerdict::MayHaveRun, RefusalCode::Struck)]
    );
}

#[test]
fn a_successor_knows_started_and_finished_operations() {
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
        a.send_operation(700, 1);
        a.answer_requests(&mut store, 701);
        if case.finished {
            let dispatch = a.dispatched[0];
            a.finish_dispatch(702, dispatch);
            a.answer_requests(&mut store, 800);
        }
        let mut b = take_over(&mut store);
        b.send_operation(11_300, 2);
        assert_eq!(b.replies(), [case.reply]);
        b.answer_requests(&mut store, 11_400);
        assert!(
            b.dispatched.is_empty(),
            "a successor ran the operation again"
        );
    }
}

#[test]
fn a_drained_owner_hands_over_before_its_lease_ends() {
    let (mut a, mut store) = owner_and_store();
    let mut b = ManualAgent::new("b");
    b.answer_requests(&mut store, 700);
    a.handle(800, AgentInput::Drain);
    for now in [900, 1_200, 1_500, 1_800, 2_100] {
        a.answer_requests(&mut store, now);
        b.answer_requests(&mut store, now);
    }
    assert!(!a.owns() && b.owns());
    assert!(a.state.is_drained());
}
