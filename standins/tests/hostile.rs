//! Bad input from callers gets a clear refusal, says that nothing ran, and harms nobody.

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

struct BadCase {
    name: &'static str,
    path: &'static str,
    token: &'static str,
    header: (&'static str, &'static str),
    body: &'static str,
    status: u16,
    reason: &'static str,
}

const CHAT: &str = "/v1/chat/completions";
const TEXT: &str = "/v1/completions";
const ISSUE: &str = "/v1/services/custody/issue";
const NO_HEADER: (&str, &str) = ("x-none", "none");
const GOOD: &str = r#"{"model": "audit-assistant", "prompt": "p"}"#;

const fn case(name: &'static str, path: &'static str, body: &'static str) -> BadCase {
    BadCase {
        name,
        path,
        token: TEAM_TOKEN,
        header: NO_HEADER,
        body,
        status: 400,
        reason: "bad_request",
    }
}

fn cases() -> Vec<BadCase> {
    vec![
        case("empty", CHAT, ""),
        case("cut short", TEXT, r#"{"model": "audit-assistant", "pro"#),
        case("no object", TEXT, "[1, 2]"),
        case("wrong type", TEXT, r#"{"model": 7, "prompt": "p"}"#),
        case(
            "negative limit",
            TEXT,
            r#"{"model": "m", "prompt": "p", "max_tokens": -1}"#,
        ),
        case(
            "no messages",
            CHAT,
            r#"{"model": "audit-assistant", "messages": []}"#,
        ),
        case("no prompt", TEXT, r#"{"model": "audit-assistant"}"#),
        case(
            "a service named as a model",
            TEXT,
            r#"{"model": "custody", "prompt": "p"}"#,
        ),
        case(
            "a model named as a service",
            "/v1/services/audit-assistant/x",
            "",
        ),
        BadCase {
            header: ("x-deadline-ms", "soon"),
            ..case("deadline no number", TEXT, GOOD)
        },
        BadCase {
            header: ("x-deadline-ms", "0"),
            ..case("deadline zero", TEXT, GOOD)
        },
        BadCase {
            header: ("x-request-id", "a b\tevent=forged"),
            ..case("an identity that would forge a log line", TEXT, GOOD)
        },
        BadCase {
            token: "nobody",
            status: 401,
            reason: "bad_token",
            ..case("unknown token", TEXT, GOOD)
        },
        BadCase {
            token: "",
            status: 401,
            reason: "bad_token",
            ..case("no token", TEXT, GOOD)
        },
        BadCase {
            status: 404,
            reason: "unknown_profile",
            ..case(
                "unknown profile",
                TEXT,
                r#"{"model": "none", "prompt": "p"}"#,
            )
        },
        BadCase {
            status: 404,
            reason: "unknown_profile",
            ..case("unknown service", "/v1/services/none/x", "")
        },
        BadCase {
            reason: "key_required",
            ..case("no key", ISSUE, "no key")
        },
    ]
}

async fn send(fleet: &Fleet, case: &BadCase, body: Bytes) -> (u16, Value) {
    let request = Request::post(format!("http://{}{}", fleet.entries[0].http, case.path))
        .header("authorization", format!("Bearer {}", case.token))
        .header(case.header.0, case.header.1)
        .body(Full::new(body))
        .expect("a request");
    let (status, answer) = lynxcart::fetch::send(&fleet.client, request)
        .await
        .expect("an answer");
    (status, serde_json::from_slice(&answer).unwrap_or_default())
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused_and_harms_nobody() {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("hostile");
    let fleet = Fleet::start(FleetSetup::small(logs))
        .await
        .expect("a fleet");
    for case in cases() {
        let (status, answer) = send(&fleet, &case, Bytes::from(case.body)).await;
        assert_eq!(status, case.status, "{}: {answer}", case.name);
        assert_eq!(answer["reason"], case.reason, "{}", case.name);
        assert_eq!(answer["verdict"], "not_run", "{}", case.name);
    }
    let large = Bytes::from(vec![b'x'; lynxcart::web::BODY_LIMIT + 1]);
    let case = case("too large", TEXT, "");
    let (status, answer) = send(&fleet, &case, large).await;
    assert_eq!(
        (status, &answer["reason"]),
        (413, &"too_large".into()),
        "{answer}"
    );

    // No HTTP at all, and a request that never ends: the connection is theirs alone.
    let entry = fleet.entries[0].http;
    let mut noise = TcpStream::connect(entry).expect("a connection");
    noise
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a timeout");
    noise.write_all(&[0xff; 4096]).expect("a write");
    let mut slow = TcpStream::connect(entry).expect("a connection");
    slow.write_all(b"POST /v1/completions HTTP/1.1\r\ncontent-length: 100\r\n\r\n{")
        .expect("a write");
    let answer = fleet
        .complete(0, "beside noise", 3)
        .await
        .expect("an answer");
    assert_eq!(answer, expected_answer(MODEL, LAYERS, "beside noise", 3));
    let mut end = Vec::new();
    let ended = noise.read_to_end(&mut end);
    assert!(
        ended.is_ok() || !end.is_empty(),
        "the noise is still listened to"
    );

    // Noise towards the mail of an entry and an agent is dropped too.
    for mail in [fleet.entries[0].mail, fleet.agents[0].mail] {
        let mut noise = TcpStream::connect(mail).expect("a connection");
        noise.write_all(&[0xff; 4096]).expect("a write");
    }
    let answer = fleet
        .complete(0, "after noise", 3)
        .await
        .expect("an answer");
    assert_eq!(answer, expected_answer(MODEL, LAYERS, "after noise", 3));
}
