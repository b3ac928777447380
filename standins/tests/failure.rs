//! Failures of processes: kills, freezes, graceful shutdowns and an outage of the platform.
//!
//! The tests check what callers receive, not how long it takes; the `bench` program measures that.

use std::path::PathBuf;
use std::time::Duration;

use http_body_util::BodyExt;
use serde_json::json;
use standins::engine::CRASH_TEXT;
use standins::fleet::{Fleet, FleetSetup, LAYERS, MODEL};
use standins::model::expected_answer;

const TOKENS: u32 = 120;
const STREAMS: usize = 8;

fn log_dir(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

async fn start_fleet(name: &str) -> Fleet {
    Fleet::start(FleetSetup::small(log_dir(name)))
        .await
        .expect("fleet should start")
}

/// Reads a streamed answer. Returns its text and whether it ended with `[DONE]`.
async fn read_stream(response: http::Response<hyper::body::Incoming>) -> (String, bool) {
    let body = response.into_body().collect().await;
    let body = body.expect("body should be readable").to_bytes();
    let text = String::from_utf8_lossy(&body).into_owned();
    let mut answer = String::new();
    for event in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if let Ok(event) = serde_json::from_str::<serde_json::Value>(event) {
            answer.push_str(event["choices"][0]["text"].as_str().unwrap_or(""));
        }
    }
    (answer, text.ends_with("data: [DONE]\n\n"))
}

/// Starts several streams, injects a fault once all have been accepted, and checks that every
/// answer is complete and correct.
async fn check_streams_during(
    fleet: &mut Fleet,
    context: &str,
    inject_fault: impl FnOnce(&mut Fleet),
) {
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let prompt = format!("{context} {number}");
        let response = fleet
            .stream_completion(0, &prompt, TOKENS)
            .await
            .expect("stream should open");
        streams.push((prompt, tokio::spawn(read_stream(response))));
    }
    inject_fault(fleet);
    for (prompt, stream) in streams {
        let (answer, complete) = stream.await.expect("reader task should not panic");
        assert!(
            complete,
            "{prompt}: stream ended early, after {} bytes",
            answer.len()
        );
        assert_eq!(
            answer,
            expected_answer(MODEL, LAYERS, &prompt, TOKENS),
            "{prompt}"
        );
    }
}

/// Streams continue without lost or repeated tokens when an agent or engine of a stage is killed,
/// frozen, disconnected or shut down.
#[tokio::test(flavor = "multi_thread")]
async fn streams_continue_when_a_stage_is_lost() {
    let mut fleet = start_fleet("stages").await;
    check_streams_during(&mut fleet, "agent killed", |fleet| {
        fleet.agents[2].kill().expect("process should be killed");
    })
    .await;
    fleet.start_engine(1, 2).expect("new replica should start");
    tokio::time::sleep(Duration::from_secs(2)).await;
    check_streams_during(&mut fleet, "agent frozen", |fleet| {
        fleet.agents[3]
            .signal("STOP")
            .expect("signal should be sent");
    })
    .await;
    fleet.agents[3]
        .signal("CONT")
        .expect("signal should be sent");
    tokio::time::sleep(Duration::from_secs(2)).await;
    check_streams_during(&mut fleet, "engine killed", |fleet| {
        fleet.engines[0].kill().expect("process should be killed");
    })
    .await;
    let (client, engine) = (fleet.client.clone(), fleet.engines[2].http_address);
    check_streams_during(&mut fleet, "result stream cut", move |_| {
        tokio::spawn(async move {
            let url = format!("http://{engine}/faults");
            for _ in 0..5 {
                tokio::time::sleep(Duration::from_millis(100)).await;
                let faults = json!({"cut_stream": true});
                let _ = lynxcart::fetch::post_json(&client, &url, &faults).await;
            }
        });
    })
    .await;
    check_streams_during(&mut fleet, "agent shut down gracefully", |fleet| {
        fleet.agents[4]
            .signal("TERM")
            .expect("signal should be sent");
    })
    .await;
    let code = fleet.agents[4]
        .wait_for_exit(Duration::from_secs(30))
        .expect("process should exit");
    assert_eq!(
        code, 0,
        "a graceful shutdown of an agent cut requests short"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_of_an_entry_completes_its_streams() {
    let mut fleet = start_fleet("entry").await;
    let entry = fleet.entries[0].http_address;
    check_streams_during(&mut fleet, "entry stopped", |fleet| {
        fleet.entries[0]
            .signal("TERM")
            .expect("signal should be sent");
    })
    .await;
    let code = fleet.entries[0]
        .wait_for_exit(Duration::from_secs(30))
        .expect("process should exit");
    assert_eq!(code, 0, "a graceful shutdown of {entry} cut requests short");
    let answer = fleet
        .complete(1, "the other entry", 3)
        .await
        .expect("completion should be answered");
    assert_eq!(answer, expected_answer(MODEL, LAYERS, "the other entry", 3));
}

/// A non-idempotent operation runs at most once through an outage of the platform, a lost response
/// of the platform and the loss of every partition owner.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_operations_run_at_most_once() {
    let mut fleet = start_fleet("once").await;
    let platform = fleet.platform.http_address;

    // During an outage, non-idempotent operations are refused at once as not run. Idempotent ones
    // and the model are still served.
    fleet
        .set_faults(platform, &json!({"outage": true}))
        .await
        .expect("faults should be set");
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let refused = fleet
        .send_operation(0, "/issue", "k1", "one")
        .await
        .expect("operation should be answered");
    assert_eq!(refused.status, 503, "{}", refused.body);
    assert_eq!(
        refused.body["reason"], "platform_outage",
        "{}",
        refused.body
    );
    assert_eq!(refused.body["verdict"], "not_run", "{}", refused.body);
    let lookup = fleet
        .send_operation(1, "/lookup/1", "", "")
        .await
        .expect("operation should be answered");
    assert_eq!(lookup.status, 200, "{}", lookup.body);
    let answer = fleet
        .complete(1, "in an outage", 3)
        .await
        .expect("completion should be answered");
    assert_eq!(answer, expected_answer(MODEL, LAYERS, "in an outage", 3));
    fleet
        .set_faults(platform, &json!({}))
        .await
        .expect("faults should be cleared");

    let status = send_until(&fleet, "k1", "one", 200).await;
    assert_eq!(
        (
            status,
            fleet
                .run_count("one")
                .await
                .expect("ledger should be readable")
        ),
        (200, 1)
    );

    // The platform applies a write, but its response is lost.
    fleet
        .set_faults(platform, &json!({"lose_answers": 1}))
        .await
        .expect("faults should be set");
    let status = send_until(&fleet, "k2", "two", 200).await;
    assert_eq!(
        (
            status,
            fleet
                .run_count("two")
                .await
                .expect("ledger should be readable")
        ),
        (200, 1)
    );

    // Every partition owner is killed while its service runs the operation. Requests with the same
    // key then reach the next owner, which must not run it again.
    for service in 0..2 {
        let address = fleet.services[service].http_address;
        let faults = json!({"answer_delay_ms": 3_000});
        fleet
            .set_faults(address, &faults)
            .await
            .expect("faults should be set");
    }
    let waiting = tokio::spawn({
        let (client, entry) = (fleet.client.clone(), fleet.entries[0].http_address);
        async move { send_operation(&client, entry, "k3", "three").await }
    });
    while fleet
        .run_count("three")
        .await
        .expect("ledger should be readable")
        == 0
    {
        assert!(
            !waiting.is_finished(),
            "the operation ended before it ran: {:?}",
            waiting.await
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for agent in 0..2 {
        fleet.service_agents[agent]
            .kill()
            .expect("process should be killed");
    }
    let (status, body) = waiting.await.expect("caller task should not panic");
    assert_eq!(
        (status, &body["verdict"]),
        (502, &"may_have_run".into()),
        "{body}"
    );
    fleet.start_service(2).expect("new replica should start");
    let status = send_until(&fleet, "k3", "three", 409).await;
    assert_eq!(
        (
            status,
            fleet
                .run_count("three")
                .await
                .expect("ledger should be readable")
        ),
        (409, 1)
    );
    let replayed = fleet
        .send_operation(0, "/issue", "k1", "one")
        .await
        .expect("operation should be answered");
    assert_eq!(
        (replayed.status, replayed.replayed),
        (200, true),
        "{}",
        replayed.body
    );
}

/// Sends an operation until it is answered with `status`, at most 60 times.
///
/// Returns the last status. A 409 only counts if its reason is `outcome_unknown`.
async fn send_until(fleet: &Fleet, key: &str, body: &str, status: u16) -> u16 {
    let mut last_status = 0;
    for attempt in 0..60 {
        let response = fleet
            .send_operation(attempt % 2, "/issue", key, body)
            .await
            .expect("operation should be answered");
        last_status = response.status;
        let outcome_unknown =
            response.status == 409 && response.body["reason"] == "outcome_unknown";
        if last_status == status && (status != 409 || outcome_unknown) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    last_status
}

/// Sends an operation without a [`Fleet`], which a spawned task cannot borrow. Returns the status
/// and the body.
async fn send_operation(
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
        .expect("request should be valid");
    let (status, response) = lynxcart::fetch::send(client, request)
        .await
        .expect("operation should be answered");
    (
        status,
        serde_json::from_slice(&response).unwrap_or_default(),
    )
}

/// A request that crashes engines is quarantined before it takes down all replicas of a stage, and
/// other requests are answered.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_engines_is_quarantined() {
    let mut setup = FleetSetup::small(log_dir("crash"));
    setup.replicas = 3;
    let mut fleet = Fleet::start(setup).await.expect("fleet should start");
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let prompt = format!("beside the crashing request {number}");
        let response = fleet
            .stream_completion(0, &prompt, TOKENS)
            .await
            .expect("stream should open");
        streams.push((prompt, tokio::spawn(read_stream(response))));
    }
    for entry in [0, 1, 0, 1] {
        let refused = fleet
            .complete(entry, CRASH_TEXT, 3)
            .await
            .expect_err("request should be refused");
        assert!(refused.to_string().contains("quarantined"), "{refused}");
    }
    for (prompt, stream) in streams {
        let (answer, complete) = stream.await.expect("reader task should not panic");
        assert!(
            complete,
            "{prompt}: stream ended early, after {} bytes",
            answer.len()
        );
        assert_eq!(
            answer,
            expected_answer(MODEL, LAYERS, &prompt, TOKENS),
            "{prompt}"
        );
    }
    // At least one of the three replicas of the first stage survives.
    let ended = fleet
        .engines
        .iter_mut()
        .filter_map(|engine| engine.has_exited().ok());
    let crashed = ended.filter(|has_ended| *has_ended).count();
    assert!(crashed <= 2, "one request crashed {crashed} engines");
}

/// A second SIGTERM during a graceful shutdown cuts the remaining streams short, which the exit
/// code and the log state.
#[tokio::test(flavor = "multi_thread")]
async fn second_signal_cuts_streams_short() {
    let mut fleet = start_fleet("second").await;
    let response = fleet
        .stream_completion(0, "to be cut", 500)
        .await
        .expect("stream should open");
    let reader = tokio::spawn(read_stream(response));
    fleet.entries[0]
        .signal("TERM")
        .expect("signal should be sent");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let refused = fleet
        .complete(0, "too late", 1)
        .await
        .expect_err("request should be refused");
    assert!(refused.to_string().contains("draining"), "{refused}");
    fleet.entries[0]
        .signal("TERM")
        .expect("signal should be sent");
    let code = fleet.entries[0]
        .wait_for_exit(Duration::from_secs(10))
        .expect("process should exit");
    assert_eq!(code, lynxcart::process::EXIT_CUT_SHORT);
    let (_, complete) = reader.await.unwrap_or_default();
    assert!(
        !complete,
        "a stream that was cut short ended like a complete one"
    );
    let log = std::fs::read_to_string(log_dir("second").join("entry-0.log"))
        .expect("log should be readable");
    assert!(log.contains("event=shutdown_cut_short requests=1"), "{log}");
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_on_a_leaving_vm_gets_no_new_requests() {
    let fleet = start_fleet("leaving").await;
    let leaving = fleet.agents[0].message_address.to_string();
    let list = json!([{"address": leaving, "state": "leaving"}]);
    let url = format!("http://{}/vms", fleet.platform.http_address);
    lynxcart::fetch::post_json(&fleet.client, &url, &list)
        .await
        .expect("list of VMs should be stored");
    let is_draining = |members: serde_json::Value| {
        let replicas = members["replicas"].as_array().cloned().unwrap_or_default();
        replicas
            .iter()
            .any(|r| r["mail_address"] == leaving.as_str() && r["state"] == "draining")
    };
    for entry in 0..2 {
        while !is_draining(
            fleet
                .members(entry)
                .await
                .expect("members should be readable"),
        ) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    let before = positions_run(&fleet).await;
    for number in 0..10 {
        fleet
            .complete(number % 2, &format!("not to the leaving VM {number}"), 2)
            .await
            .expect("completion should be answered");
    }
    assert_eq!(
        positions_run(&fleet).await,
        before,
        "an agent on a leaving VM received a new request"
    );
}

/// Returns the line of the first agent's metrics that counts the positions sent to its engine.
async fn positions_run(fleet: &Fleet) -> String {
    let url = format!("http://{}/metrics", fleet.agents[0].http_address);
    let (_, body) = lynxcart::fetch::get(&fleet.client, &url)
        .await
        .expect("metrics should be readable");
    let text = String::from_utf8_lossy(&body).into_owned();
    let line = text
        .lines()
        .find(|line| line.starts_with("lynxcart_tokens_total "));
    line.expect("metric should be present").to_owned()
}
