//! Streams that break off, and what the next replica answers: its text never gets into the caller's
//! stream, and the stream never ends as complete before its last event.

use std::path::PathBuf;
use std::time::Duration;

use futures_util::future::join_all;
use standins::raw::{RawBehaviour, RawReplica};
use standins::site::{read_up_to, SiteRequest, TestSite, LAYERS};

/// Number of events that callers ask for.
const EVENTS: u64 = 5;
/// Number of events before a stream breaks off.
const EVENTS_BEFORE: u64 = 3;
/// Number of broken streams to look at in each case.
const STREAMS: usize = 4;

const EVENT_STREAM: &str = "text/event-stream";

/// What the next replica answers.
#[derive(Clone, Copy)]
struct NextAnswer {
    name: &'static str,
    status: &'static str,
    body_type: &'static str,
    body: &'static str,
    /// Whether the answer goes on with the stream.
    goes_on: bool,
}

impl NextAnswer {
    /// The answer as it is written, with a length if it may have one.
    fn text(&self) -> String {
        let length = match self.status {
            "204 No Content" => String::new(),
            _ => format!("content-length: {}\r\n", self.body.len()),
        };
        let body_type = match self.body_type {
            "" => String::new(),
            body_type => format!("content-type: {body_type}\r\n"),
        };
        format!(
            "HTTP/1.1 {}\r\nx-attempt-id: {{id}}\r\nx-replica-stamp: stamp\r\n{body_type}{length}\r\n{}",
            self.status, self.body
        )
    }
}

/// Starts a site whose model is held by two raw replicas.
async fn start_site(name: &str, one: &RawReplica, other: &RawReplica) -> TestSite {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("broken-{name}"));
    let site = TestSite::start(logs, 1)
        .await
        .expect("the site should start");
    one.register_as("i-raw-1", &site.store, &site.replicas, LAYERS);
    other.register_as("i-raw-2", &site.store, &site.replicas, LAYERS);
    for address in &site.model_addresses {
        site.replicas.change(*address, |state| state.dead = true);
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    for address in &site.model_addresses {
        let id = site.replicas.state(*address).id;
        site.store.remove(&format!("servers/{id}"));
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    site
}

async fn start_raw(behaviour: RawBehaviour) -> RawReplica {
    RawReplica::start(behaviour, Some(0))
        .await
        .expect("the replica should start")
}

/// Sends streams until some of them broke off at one replica and went to the other, and checks what
/// callers get.
async fn check_broken_streams(case: NextAnswer) {
    let breaking = start_raw(RawBehaviour::BreaksOff {
        events: EVENTS_BEFORE,
        line_end: if case.name == "crlf" { "\r\n" } else { "\n" },
    })
    .await;
    let next = start_raw(RawBehaviour::Writes(case.text().leak())).await;
    let site = start_site(case.name, &breaking, &next).await;
    let mut seen = 0;
    for number in 0..60 {
        let request = SiteRequest::stream(&format!("s{number}"), EVENTS);
        let Ok(response) = site.send(0, &request).await else {
            // It went to the other replica first, and no event of it was passed on.
            assert!(next.received().contains(&request.id), "{}", case.name);
            continue;
        };
        let (answer, end) = read_up_to(response, usize::MAX).await;
        let is_asked = |raw: &RawReplica| raw.received().contains(&request.id);
        if !is_asked(&breaking) || !is_asked(&next) {
            continue;
        }
        let is_event_line =
            |line: &str| line.is_empty() || line.starts_with("id: ") || line.starts_with("data: ");
        let mut lines = answer.body.lines();
        assert!(lines.all(is_event_line), "{}: {answer:?}", case.name);
        seen += 1;
        let expected = if case.goes_on { EVENTS } else { EVENTS_BEFORE };
        let ids: Vec<u64> = (1..=expected).collect();
        assert_eq!(answer.event_ids(), ids, "{}: {answer:?}", case.name);
        assert_eq!(end.is_ok(), case.goes_on, "{}: {answer:?}", case.name);
        if seen >= STREAMS {
            return;
        }
    }
    assert!(seen > 0, "{}: no stream was continued there", case.name);
}

#[tokio::test(flavor = "multi_thread")]
async fn error_of_the_next_replica_gets_neither_into_a_broken_stream_nor_ends_it() {
    let answer = NextAnswer {
        name: "",
        status: "200 OK",
        body_type: EVENT_STREAM,
        body: "",
        goes_on: false,
    };
    let cases = [
        NextAnswer {
            name: "text",
            body_type: "text/plain",
            body: "out of room!\n\n",
            ..answer
        },
        NextAnswer {
            name: "html",
            body_type: "text/html",
            body: "<p>error</p>\n\n",
            ..answer
        },
        NextAnswer {
            name: "no-type",
            body_type: "",
            body: "id: 4\ndata: x\n\nid: 5\ndata: x\n\n",
            ..answer
        },
        NextAnswer {
            name: "head-before-events",
            body: "HTTP/1.1 500 Error\r\nserver: x\r\n\r\nid: 4\ndata: x\n\n",
            ..answer
        },
        NextAnswer {
            name: "head-in-event",
            body: "HTTP/1.1 500 Error\nid: 4\ndata: x\n\nid: 5\ndata: x\n\n",
            ..answer
        },
        NextAnswer {
            name: "no-id",
            body: "event: error\ndata: out of room\n\n",
            ..answer
        },
        NextAnswer {
            name: "no-content",
            status: "204 No Content",
            ..answer
        },
        NextAnswer {
            name: "empty",
            ..answer
        },
        NextAnswer {
            name: "old-events",
            body: "id: 1\ndata: x\n\nid: 2\ndata: x\n\n",
            ..answer
        },
        NextAnswer {
            name: "failure",
            status: "500 Error",
            body: "id: 4\ndata: x\n\nid: 5\ndata: x\n\n",
            ..answer
        },
        NextAnswer {
            name: "starts-again",
            body: "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\nid: 5\ndata: x\n\n",
            goes_on: true,
            ..answer
        },
        NextAnswer {
            name: "crlf",
            body: "id: 4\r\ndata: x\r\n\r\nid: 5\r\ndata: x\r\n\r\n",
            goes_on: true,
            ..answer
        },
    ];
    join_all(cases.map(check_broken_streams)).await;
}

/// Sends streams to a replica that answers with an error and to a sound one, and checks that all are
/// whole.
async fn check_first_answers(case: NextAnswer) {
    let failing = start_raw(RawBehaviour::Writes(case.text().leak())).await;
    let sound = start_raw(RawBehaviour::Streams { interval_ms: 5 }).await;
    let name = format!("first-{}", case.name);
    let site = start_site(&name, &failing, &sound).await;
    for number in 0..60 {
        let request = SiteRequest::stream(&format!("s{number}"), EVENTS);
        let response = site.send(0, &request).await.expect(case.name);
        let (answer, end) = read_up_to(response, usize::MAX).await;
        let ids: Vec<u64> = (1..=EVENTS).collect();
        assert_eq!(answer.event_ids(), ids, "{}: {answer:?}", case.name);
        assert!(end.is_ok(), "{}: {answer:?}", case.name);
        if failing.received().len() >= STREAMS {
            return;
        }
    }
    assert!(!failing.received().is_empty(), "{}", case.name);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_whose_first_answer_is_an_error_is_whole_from_the_next_replica() {
    let answer = NextAnswer {
        name: "",
        status: "200 OK",
        body_type: "",
        body: "out of room!\n\n",
        goes_on: false,
    };
    let cases = [
        NextAnswer {
            name: "no-type",
            ..answer
        },
        NextAnswer {
            name: "text",
            body_type: "text/plain",
            ..answer
        },
        NextAnswer {
            name: "stream",
            body_type: EVENT_STREAM,
            ..answer
        },
        NextAnswer {
            name: "no-content",
            status: "204 No Content",
            body: "",
            ..answer
        },
        NextAnswer {
            name: "failure",
            status: "500 Error",
            ..answer
        },
    ];
    join_all(cases.map(check_first_answers)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_no_replica_begins_is_refused_and_not_broken_off() {
    let error = NextAnswer {
        name: "refused",
        status: "200 OK",
        body_type: EVENT_STREAM,
        body: "out of room!\n\n",
        goes_on: false,
    };
    let one = start_raw(RawBehaviour::Writes(error.text().leak())).await;
    let other = start_raw(RawBehaviour::Writes(error.text().leak())).await;
    let site = start_site(error.name, &one, &other).await;
    for number in 0..4 {
        let request = SiteRequest::stream(&format!("s{number}"), EVENTS);
        let answer = site.fetch(0, &request).await;
        let answer = answer.expect("the gateway should respond in full");
        assert_eq!(answer.status, 502, "{answer:?}");
    }
}
