//! What callers of an entry get whose requests outlast a planned stop of the entry or of an agent.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http_body_util::BodyExt;
use serde_json::json;
use standins::fleet::{Fleet, FleetSetup};
use standins::process::FleetProcess;

/// Exit code of a stop that requests outlast.
const CUT_SHORT: i32 = 3;
/// Time for which a request may be held that ends with a closed connection, `loss_slack_ms`.
const LOSS_SLACK: Duration = Duration::from_millis(200);

async fn start_fleet(name: &str) -> Fleet {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    Fleet::start(FleetSetup::small(logs))
        .await
        .expect("the fleet should start")
}

async fn slow_services(fleet: &Fleet) {
    for service in &fleet.services {
        let faults = json!({"delay_ms": 10_000});
        let set = fleet.set_faults(service.http_address, &faults).await;
        set.expect("the service should take its faults");
    }
}

async fn freeze_engines(fleet: &Fleet) {
    for engine in &fleet.engines {
        let faults = json!({"frozen": true});
        let set = fleet.set_faults(engine.http_address, &faults).await;
        set.expect("the engine should take its faults");
    }
}

async fn signal_twice(process: &FleetProcess) {
    for _ in 0..2 {
        process.signal("TERM").expect("the signal should be sent");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn operations_at_an_entry_that_stops_are_not_closed_unanswered() {
    let fleet = Arc::new(start_fleet("fleet-stop-entry").await);
    slow_services(&fleet).await;
    let mut callers = Vec::new();
    for number in 0..12 {
        let fleet = fleet.clone();
        callers.push(tokio::spawn(async move {
            let (path, key) = match number % 2 {
                0 => ("/issue", format!("key{number}")),
                _ => ("/lookup", String::new()),
            };
            fleet
                .send_operation(0, path, &key, &format!("operation {number}"))
                .await
        }));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    signal_twice(&fleet.entries[0]).await;
    for answer in join_all(callers).await.into_iter().flatten() {
        let answer = answer.expect("the entry should answer before it exits");
        assert_eq!(answer.body["verdict"], "may_have_run", "{answer:?}");
        assert!(answer.status >= 500 && answer.status != 503, "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn completions_at_an_entry_that_stops_are_not_closed_unanswered() {
    let fleet = Arc::new(start_fleet("fleet-stop-completions").await);
    let mut stream = fleet
        .stream_completion(0, "a long note", 2_000)
        .await
        .expect("the stream should open");
    stream.body_mut().frame().await;
    freeze_engines(&fleet).await;
    let waiting = fleet.clone();
    let waiting = tokio::spawn(async move { waiting.complete(0, "a note", 4).await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    signal_twice(&fleet.entries[0]).await;
    let received = stream.into_body().collect().await;
    let received = received.expect("the stream should end with an error event");
    let text = String::from_utf8_lossy(&received.to_bytes()).into_owned();
    assert!(
        text.contains("event: error") && !text.contains("[DONE]"),
        "{text}"
    );
    let refused = waiting.await.expect("the caller should not panic");
    let error = refused.expect_err("it cannot be served").to_string();
    assert!(error.contains("may_have_run"), "{error}");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_to_an_idle_entry_before_it_exits_are_not_held_unanswered() {
    let mut fleet = start_fleet("fleet-stop-idle").await;
    fleet.entries[0]
        .signal("TERM")
        .expect("the signal should be sent");
    let mut unanswered = Vec::new();
    while !fleet.entries[0].has_exited().expect("its status") {
        let sent_at = Instant::now();
        let answer = fleet.send_operation(0, "/lookup", "", "lookup").await;
        if answer.is_err() && sent_at.elapsed() > LOSS_SLACK {
            unanswered.push(sent_at.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(
        unanswered.is_empty(),
        "closed unanswered after {unanswered:?}"
    );
    let code = fleet.entries[0].wait_for_exit(Duration::from_secs(1));
    assert_eq!(code.expect("it has exited"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn operations_at_an_agent_that_stops_are_not_closed_unanswered() {
    let mut fleet = start_fleet("fleet-stop-agent").await;
    slow_services(&fleet).await;
    let callers: Vec<_> = (0..12)
        .map(|number| {
            let (path, key) = match number % 2 {
                0 => ("/issue", format!("key{number}")),
                _ => ("/lookup", String::new()),
            };
            let body = format!("operation {number}");
            let fleet = &fleet;
            async move { fleet.send_operation(0, path, &key, &body).await }
        })
        .collect();
    let stop = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        for agent in &fleet.service_agents {
            signal_twice(agent).await;
        }
    };
    let (answers, ()) = tokio::join!(join_all(callers), stop);
    for answer in answers {
        let answer = answer.expect("the entry should answer");
        assert_eq!(answer.body["verdict"], "may_have_run", "{answer:?}");
    }
    for agent in &mut fleet.service_agents {
        let code = agent.wait_for_exit(Duration::from_secs(2));
        assert_eq!(code.expect("it should exit"), CUT_SHORT);
    }
}
