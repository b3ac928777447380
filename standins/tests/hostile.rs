//! Invalid input is refused with a reason and the verdict `not_run`, and does not affect other
//! requests.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::Value;
use standins::fleet::{Fleet, FleetSetup, LAYERS, MODEL, TEAM_TOKEN};
use standins::model::expected_answer;

struct RequestCase {
    name: &'static str,
    path: &'static str,
    token: &'static str,
    header: (&'static str, &'static str),
    body: &'static str,
    status: u16,
    reason: &'static str,
}

const CHAT_PATH: &str = "/v1/chat/completions";
const COMPLETION_PATH: &str = "/v1/completions";
const ISSUE_PATH: &str = "/v1/services/custody/issue";
const NO_HEADER: (&str, &str) = ("x-none", "none");
const VALID_BODY: &str = r#"{"model": "audit-assistant", "prompt": "p"}"#;

const fn case(name: &'static str, path: &'static str, body: &'static str) -> RequestCase {
    RequestCase {
        name,
        path,
        token: TEAM_TOKEN,
        header: NO_HEADER,
        body,
        status: 400,
        reason: "bad_request",
    }
}

fn invalid_requests() -> Vec<RequestCase> {
    vec![
        case("empty", CHAT_PATH, ""),
        case(
            "truncated body",
            COMPLETION_PATH,
            r#"{"model": "audit-assistant", "pro"#,
        ),
        case("body not an object", COMPLETION_PATH, "[1, 2]"),
        case(
            "model not a string",
            COMPLETION_PATH,
            r#"{"model": 7, "prompt": "p"}"#,
        ),
        case(
            "negative max_tokens",
            COMPLETION_PATH,
            r#"{"model": "m", "prompt": "p", "max_tokens": -1}"#,
        ),
        case(
            "no messages",
            CHAT_PATH,
            r#"{"model": "audit-assistant", "messages": []}"#,
        ),
        case(
            "no prompt",
            COMPLETION_PATH,
            r#"{"model": "audit-assistant"}"#,
        ),
        case(
            "service profile requested as a model",
            COMPLETION_PATH,
            r#"{"model": "custody", "prompt": "p"}"#,
        ),
        case(
            "model profile requested as a service",
            "/v1/services/audit-assistant/x",
            "",
        ),
        RequestCase {
            header: ("x-deadline-ms", "soon"),
            ..case("deadline not a number", COMPLETION_PATH, VALID_BODY)
        },
        RequestCase {
            header: ("x-deadline-ms", "0"),
            ..case("deadline zero", COMPLETION_PATH, VALID_BODY)
        },
        RequestCase {
            header: ("x-request-id", "a b\tevent=forged"),
            ..case(
                "request id that would forge a log line",
                COMPLETION_PATH,
                VALID_BODY,
            )
        },
        RequestCase {
            token: "nobody",
            status: 401,
            reason: "bad_token",
            ..case("unknown token", COMPLETION_PATH, VALID_BODY)
        },
        RequestCase {
            token: "",
            status: 401,
            reason: "bad_token",
            ..case("no token", COMPLETION_PATH, VALID_BODY)
        },
        RequestCase {
            status: 404,
            reason: "unknown_profile",
            ..case(
                "unknown profile",
                COMPLETION_PATH,
                r#"{"model": "none", "prompt": "p"}"#,
            )
        },
        RequestCase {
            status: 404,
            reason: "unknown_profile",
            ..case("unknown service", "/v1/services/none/x", "")
        },
        RequestCase {
            reason: "key_required",
            ..case("missing idempotency key", ISSUE_PATH, "no key")
        },
    ]
}

async fn send(fleet: &Fleet, case: &RequestCase, body: Bytes) -> (u16, Value) {
    let request = Request::post(format!(
        "http://{}{}",
        fleet.entries[0].http_address, case.path
    ))
    .header("authorization", format!("Bearer {}", case.token))
    .header(case.header.0, case.header.1)
    .body(Full::new(body))
    .expect("the request should be valid");
    let (status, answer) = lynxcart::fetch::send(&fleet.client, request)
        .await
        .expect("the entry should respond");
    (status, serde_json::from_slice(&answer).unwrap_or_default())
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_is_refused_without_affecting_other_requests() {
    let log_dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("hostile");
    let fleet = Fleet::start(FleetSetup::small(log_dir))
        .await
        .expect("the fleet should start");
    for case in invalid_requests() {
        let (status, answer) = send(&fleet, &case, Bytes::from(case.body)).await;
        assert_eq!(status, case.status, "{}: {answer}", case.name);
        assert_eq!(answer["reason"], case.reason, "{}", case.name);
        assert_eq!(answer["verdict"], "not_run", "{}", case.name);
    }
    let large = Bytes::from(vec![b'x'; lynxcart::web::MAX_BODY_BYTES + 1]);
    let case = case("too large", COMPLETION_PATH, "");
    let (status, answer) = send(&fleet, &case, large).await;
    assert_eq!(
        (status, &answer["reason"]),
        (413, &"too_large".into()),
        "{answer}"
    );

    // Bytes that are not HTTP and a request that never ends affect only their own connections.
    let entry = fleet.entries[0].http_address;
    let mut garbage = TcpStream::connect(entry).expect("the connection should open");
    garbage
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("the read timeout should be set");
    garbage
        .write_all(&[0xff; 4096])
        .expect("the write should succeed");
    let mut unfinished = TcpStream::connect(entry).expect("the connection should open");
    unfinished
        .write_all(b"POST /v1/completions HTTP/1.1\r\ncontent-length: 100\r\n\r\n{")
        .expect("the write should succeed");
    let answer = fleet
        .complete(0, "beside noise", 3)
        .await
        .expect("the entry should respond");
    assert_eq!(answer, expected_answer(MODEL, LAYERS, "beside noise", 3));
    let mut received = Vec::new();
    let read_result = garbage.read_to_end(&mut received);
    assert!(
        read_result.is_ok() || !received.is_empty(),
        "the entry should close a connection that does not carry HTTP"
    );

    // The message sockets of an entry and an agent must drop invalid bytes as well.
    for message_address in [
        fleet.entries[0].message_address,
        fleet.agents[0].message_address,
    ] {
        let mut garbage = TcpStream::connect(message_address).expect("the connection should open");
        garbage
            .write_all(&[0xff; 4096])
            .expect("the write should succeed");
    }
    let answer = fleet
        .complete(0, "after noise", 3)
        .await
        .expect("the entry should respond");
    assert_eq!(answer, expected_answer(MODEL, LAYERS, "after noise", 3));
}
