//! Failures of real processes: kills, freezes, planned stops and an outage of the platform.
//!
//! What is checked is what callers get, never how long it takes; `bench` measures that.

use std::path::PathBuf;
use std::time::Duration;

use http_body_util::BodyExt;
use serde_json::json;
use standins::engine::CRASH_TEXT;
use standins::fleet::{Fleet, FleetSetup, LAYERS, MODEL};
use standins::model::expected_answer;

const TOKENS: u32 = 120;
const STREAMS: usize = 8;

fn logs(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

async fn fleet(name: &str) -> Fleet {
    Fleet::start(FleetSetup::small(logs(name)))
        .await
        .expect("a fleet")
}

/// The text of a streamed answer, and whether it ended as a whole one.
async fn read_stream(response: http::Response<hyper::body::Incoming>) -> (String, bool) {
    let body = response.into_body().collect().await;
    let body = body.expect("a body").to_bytes();
    let text = String::from_utf8_lossy(&body).into_owned();
    let mut answer = String::new();
    for event in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if let Ok(event) = serde_json::from_str::<serde_json::Value>(event) {
            answer.push_str(event["choices"][0]["text"].as_str().unwrap_or(""));
        }
    }
    (answer, text.ends_with("data: [DONE]\n\n"))
}

/// Streams several answers, breaks something once all have begun, and checks each of them.
async fn stream_through(fleet: &mut Fleet, context: &str, harm: impl FnOnce(&mut Fleet)) {
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let prompt = format!("{context} {number}");
        let response = fleet.stream(0, &prompt, TOKENS).await.expect("a stream");
        streams.push((prompt, tokio::spawn(read_stream(response))));
    }
    harm(fleet);
    for (prompt, stream) in streams {
        let (answer, whole) = stream.await.expect("a reader");
        assert!(whole, "{prompt}: cut after {} bytes", answer.len());
        assert_eq!(
            answer,
            expected_answer(MODEL, LAYERS, &prompt, TOKENS),
            "{prompt}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_when_a_stage_is_lost() {
    let mut fleet = fleet("stages").await;
    stream_through(&mut fleet, "agent killed", |fleet| {
        fleet.agents[2].kill().expect("a kill");
    })
    .await;
    fleet.start_engine(1, 2).expect("a new replica");
    tokio::time::sleep(Duration::from_secs(2)).await;
    stream_through(&mut fleet, "agent frozen", |fleet| {
        fleet.agents[3].signal("STOP").expect("a stop");
    })
    .await;
    fleet.agents[3].signal("CONT").expect("a start");
    tokio::time::sleep(Duration::from_secs(2)).await;
    stream_through(&mut fleet, "engine killed", |fleet| {
        fleet.engines[0].kill().expect("a kill");
    })
    .await;
    let (client, cut) = (fleet.client.clone(), fleet.engines[2].http);
    stream_through(&mut fleet, "result stream cut", move |_| {
        tokio::spawn(async move {
            let url = format!("http://{cut}/faults");
            for _ in 0..5 {
                tokio::time::sleep(Duration::from_millis(100)).await;
                let faults = json!({"cut_stream": true});
                let _ = lynxcart::fetch::post_json(&client, &url, &faults).await;
            }
        });
    })
    .await;
    stream_through(&mut fleet, "agent stopped as planned", |fleet| {
        fleet.agents[4].signal("TERM").expect("a stop");
    })
    .await;
    let code = fleet.agents[4]
        .wait(Duration::from_secs(30))
        .expect("an end");
    assert_eq!(code, 0, "a planned stop cut requests");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_stops_ends_its_streams_first() {
    let mut fleet = fleet("entry").await;
    let entry = fleet.entries[0].http;
    stream_through(&mut fleet, "entry stopped", |fleet| {
        fleet.entries[0].signal("TERM").expect("a stop");
    })
    .await;
    let code = fleet.entries[0]
        .wait(Duration::from_secs(30))
        .expect("an end");
    assert_eq!(code, 0, "a planned stop of {entry} cut requests");
    let answer = fleet
        .complete(1, "the other entry", 3)
        .await
        .expect("an answer");
    assert_eq!(answer, expected_answer(MODEL, LAYERS, "the other entry", 3));
}

#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_calls_run_at_most_once() {
    let mut fleet = fleet("once").await;
    let platform = fleet.platform.http;

    // An outage: refused at once as not run; reads and the model go on.
    fleet
        .set_faults(platform, &json!({"outage": true}))
        .await
        .expect("an outage");
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let refused = fleet.call(0, "/issue", "k1", "one").await.expect("a call");
    assert_eq!(refused.status, 503, "{}", refused.body);
    assert_eq!(
        refused.body["reason"], "platform_outage",
        "{}",
        refused.body
    );
    assert_eq!(refused.body["verdict"], "not_run", "{}", refused.body);
    let lookup = fleet.call(1, "/lookup/1", "", "").await.expect("a call");
    assert_eq!(lookup.status, 200, "{}", lookup.body);
    let answer = fleet
        .complete(1, "in an outage", 3)
        .await
        .expect("an answer");
    assert_eq!(answer, expected_answer(MODEL, LAYERS, "in an outage", 3));
    fleet
        .set_faults(platform, &json!({}))
        .await
        .expect("an end of the outage");

    let status = call_until(&fleet, "k1", "one", 200).await;
    assert_eq!(
        (status, fleet.run_count("one").await.expect("a ledger")),
        (200, 1)
    );

    // A lost answer of the platform.
    fleet
        .set_faults(platform, &json!({"lose_answers": 1}))
        .await
        .expect("a fault");
    let status = call_until(&fleet, "k2", "two", 200).await;
    assert_eq!(
        (status, fleet.run_count("two").await.expect("a ledger")),
        (200, 1)
    );

    // Every owner dies while its service runs the call; the resends go to a successor.
    for service in 0..2 {
        let address = fleet.services[service].http;
        let faults = json!({"answer_delay_ms": 3_000});
        fleet.set_faults(address, &faults).await.expect("a fault");
    }
    let waiting = tokio::spawn({
        let (client, entry) = (fleet.client.clone(), fleet.entries[0].http);
        async move { raw_call(&client, entry, "k3", "three").await }
    });
    while fleet.run_count("three").await.expect("a ledger") == 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for agent in 0..2 {
        fleet.service_agents[agent].kill().expect("a kill");
    }
    let (status, body) = waiting.await.expect("a caller");
    assert_eq!(
        (status, &body["verdict"]),
        (502, &"may_have_run".into()),
        "{body}"
    );
    fleet.start_service(2).expect("a new replica");
    let status = call_until(&fleet, "k3", "three", 409).await;
    assert_eq!(
        (status, fleet.run_count("three").await.expect("a ledger")),
        (409, 1)
    );
    let replayed = fleet.call(0, "/issue", "k1", "one").await.expect("a call");
    assert_eq!(
        (replayed.status, replayed.replayed),
        (200, true),
        "{}",
        replayed.body
    );
}

/// Sends a call again after each refusal, until it gets a status. Returns the last one.
async fn call_until(fleet: &Fleet, key: &str, body: &str, status: u16) -> u16 {
    let mut last = 0;
    for attempt in 0..60 {
        let answer = fleet
            .call(attempt % 2, "/issue", key, body)
            .await
            .expect("a call");
        last = answer.status;
        let settled = answer.status == 409 && answer.body["reason"] == "outcome_unknown";
        if last == status && (status != 409 || settled) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    last
}

async fn raw_call(
    client: &lynxcart::fetch::HttpClient,
    entry: std::net::SocketAddr,
    key: &str,
    body: &str,
) -> (u16, serde_json::Value) {
    let request = http::Request::post(format!("http://{entry}/v1/services/custody/issue"))
        .header(
            "authorization",
            format!("Bearer {}", standins::fleet::TEAM_TOKEN),
        )
        .header("content-type", "text/plain")
        .header("idempotency-key", key)
        .body(http_body_util::Full::new(bytes::Bytes::from(
            body.to_owned(),
        )))
        .expect("a request");
    let (status, answer) = lynxcart::fetch::send(client, request)
        .await
        .expect("an answer");
    (status, serde_json::from_slice(&answer).unwrap_or_default())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_kills_engines_is_stopped() {
    let mut setup = FleetSetup::small(logs("killer"));
    setup.replicas = 3;
    let mut fleet = Fleet::start(setup).await.expect("a fleet");
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let prompt = format!("beside a killer {number}");
        let response = fleet.stream(0, &prompt, TOKENS).await.expect("a stream");
        streams.push((prompt, tokio::spawn(read_stream(response))));
    }
    for entry in [0, 1, 0, 1] {
        let refused = fleet
            .complete(entry, CRASH_TEXT, 3)
            .await
            .expect_err("a refusal");
        assert!(refused.to_string().contains("quarantined"), "{refused}");
    }
    for (prompt, stream) in streams {
        let (answer, whole) = stream.await.expect("a reader");
        assert!(whole, "{prompt}: cut after {} bytes", answer.len());
        assert_eq!(
            answer,
            expected_answer(MODEL, LAYERS, &prompt, TOKENS),
            "{prompt}"
        );
    }
    // The last replica of the first stage lives.
    let dead = fleet
        .engines
        .iter_mut()
        .filter_map(|engine| engine.has_ended().ok());
    let dead = dead.filter(|ended| *ended).count();
    assert!(dead <= 2, "{dead} engines died of one request");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_cuts_and_says_so() {
    let mut fleet = fleet("second").await;
    let response = fleet.stream(0, "to be cut", 500).await.expect("a stream");
    let reader = tokio::spawn(read_stream(response));
    fleet.entries[0].signal("TERM").expect("a signal");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let refused = fleet
        .complete(0, "too late", 1)
        .await
        .expect_err("a refusal");
    assert!(refused.to_string().contains("draining"), "{refused}");
    fleet.entries[0].signal("TERM").expect("a signal");
    let code = fleet.entries[0]
        .wait(Duration::from_secs(10))
        .expect("an end");
    assert_eq!(code, lynxcart::process::EXIT_CUT);
    let (_, whole) = reader.await.unwrap_or_default();
    assert!(!whole, "a cut stream passed for a whole one");
    let log = std::fs::read_to_string(logs("second").join("entry-0.log")).expect("a log");
    assert!(log.contains("event=stop_cut requests=1"), "{log}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_listed_as_leaving_gets_no_new_work() {
    let fleet = fleet("leaving").await;
    let leaving = fleet.agents[0].mail.to_string();
    let list = json!([{"address": leaving, "state": "leaving"}]);
    let url = format!("http://{}/vms", fleet.platform.http);
    lynxcart::fetch::post_json(&fleet.client, &url, &list)
        .await
        .expect("a list");
    let draining = |members: serde_json::Value| {
        let all = members["replicas"].as_array().cloned().unwrap_or_default();
        all.iter()
            .any(|r| r["mail_address"] == leaving.as_str() && r["state"] == "draining")
    };
    for entry in 0..2 {
        while !draining(fleet.members(entry).await.expect("members")) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    let before = positions_run(&fleet).await;
    for number in 0..10 {
        fleet
            .complete(number % 2, &format!("spared {number}"), 2)
            .await
            .expect("an answer");
    }
    assert_eq!(
        positions_run(&fleet).await,
        before,
        "a leaving VM got new work"
    );
}

/// Positions that the first agent has run, from its metrics.
async fn positions_run(fleet: &Fleet) -> String {
    let url = format!("http://{}/metrics", fleet.agents[0].http);
    let (_, body) = lynxcart::fetch::get(&fleet.client, &url)
        .await
        .expect("metrics");
    let text = String::from_utf8_lossy(&body).into_owned();
    let line = text
        .lines()
        .find(|line| line.starts_with("lynxcart_tokens_total "));
    line.expect("the metric").to_owned()
}
