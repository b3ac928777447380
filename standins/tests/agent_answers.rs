//! Services, engines and stores that send an agent or an entry bytes without an end, or end their
//! connection inside an answer.

use std::time::{Duration, Instant};

use lynxcart::agent::state::AgentInput;
use lynxcart::agent::upstream::{engine_loop, service_loop};
use lynxcart::agent::{ServiceDispatch, ServiceOutcome};
use lynxcart::store::etcd::EtcdStore;
use standins::raw::{ConnectionEnd, CutAnswer, Flood, RawBehaviour, RawReplica};

/// Time that the callers of operations have.
const DEADLINE: Duration = Duration::from_secs(120);
/// Time within which an answer without an end is given up.
const GIVE_UP_LIMIT: Duration = Duration::from_secs(45);

async fn start(behaviour: RawBehaviour) -> RawReplica {
    RawReplica::start(behaviour, None)
        .await
        .expect("the replica should start")
}

/// Has a service run an operation, and returns the outcome.
async fn dispatch(service: &RawReplica) -> ServiceOutcome {
    let (dispatches, receiver) = tokio::sync::mpsc::channel(1);
    let (sender, inputs) = crossbeam_channel::unbounded();
    tokio::spawn(service_loop(service.address.to_string(), receiver, sender));
    let operation = ServiceDispatch {
        dispatch: 1,
        method: "POST".to_owned(),
        path: "/issue".to_owned(),
        content_type: "text/plain".to_owned(),
        body: b"body".to_vec(),
        trace: String::new(),
        remaining_ms: u64::try_from(DEADLINE.as_millis()).unwrap(),
    };
    dispatches.send(operation).await.expect("the loop runs");
    let input = tokio::task::spawn_blocking(move || inputs.recv_timeout(GIVE_UP_LIMIT));
    let input = input.await.expect("the receiver should not panic");
    match input.expect("an outcome in time") {
        AgentInput::Service(1, outcome) => outcome,
        other => panic!("{other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_answer_of_a_service_is_not_kept_until_the_deadline() {
    for flood in [Flood::Body, Flood::ChunkedBody] {
        let service = start(RawBehaviour::Floods(flood)).await;
        assert_eq!(dispatch(&service).await, ServiceOutcome::Unknown);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_line_of_an_engine_is_not_kept_without_a_bound() {
    let engine = start(RawBehaviour::Floods(Flood::Body)).await;
    let (_commands, receiver) = tokio::sync::mpsc::channel(1);
    let (sender, _inputs) = crossbeam_channel::unbounded();
    tokio::spawn(engine_loop(engine.address.to_string(), receiver, sender));
    let began = Instant::now();
    while engine.received().len() < 2 {
        assert!(
            began.elapsed() < GIVE_UP_LIMIT,
            "the first stream of results is still read"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_line_of_a_watch_is_not_kept_without_a_bound() {
    let store = start(RawBehaviour::Floods(Flood::Body)).await;
    let client = EtcdStore::new(store.address.to_string());
    let watch = client.watch("a", "b", 1, |_, _| {});
    let end = tokio::time::timeout(GIVE_UP_LIMIT, watch).await;
    assert!(end.expect("the watch should end").is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_answer_of_a_service_is_neither_whole_nor_said_not_to_have_run() {
    let texts = [
        "",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n",
        "HTTP/1.1 103 Early Hints\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort",
        "HTTP/1.0 200 OK\r\ncontent-length: 100\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 100\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n",
        "HTTP/1.1 503 No\r\nretry-after: 1\r\n",
    ];
    for text in texts {
        for end in [ConnectionEnd::Closed, ConnectionEnd::Reset] {
            let service = start(RawBehaviour::Cuts(CutAnswer { text, end })).await;
            let outcome = dispatch(&service).await;
            assert_eq!(outcome, ServiceOutcome::Unknown, "{text:?}, {end:?}");
            assert_eq!(service.received().len(), 1, "{text:?}, {end:?}");
        }
    }
    let text = "HTTP/1.1 200 OK\r\n\r\nshort";
    let end = ConnectionEnd::Reset;
    let service = start(RawBehaviour::Cuts(CutAnswer { text, end })).await;
    assert_eq!(dispatch(&service).await, ServiceOutcome::Unknown);
}
