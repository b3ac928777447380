//! Requests through a whole fleet of processes on loopback.

use std::path::PathBuf;

use standins::fleet::{Fleet, FleetSetup, LAYERS, MODEL};
use standins::model::expected_answer;

fn log_dir(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Model answers are correct at each entry, and an operation runs once for its idempotency key.
#[tokio::test(flavor = "multi_thread")]
async fn whole_path() {
    let fleet = Fleet::start(FleetSetup::small(log_dir("whole_path")))
        .await
        .expect("fleet should start");
    for entry in 0..2 {
        let prompt = format!("note for entry {entry}");
        let answer = fleet
            .complete(entry, &prompt, 12)
            .await
            .expect("completion should be answered");
        assert_eq!(answer, expected_answer(MODEL, LAYERS, &prompt, 12));
    }
    let first = fleet
        .send_operation(0, "/issue", "k1", "issue 1")
        .await
        .expect("operation should be answered");
    assert_eq!((first.status, first.replayed), (200, false));
    let replayed = fleet
        .send_operation(1, "/issue", "k1", "issue 1")
        .await
        .expect("operation should be answered");
    assert_eq!((replayed.status, replayed.replayed), (200, true));
    assert_eq!(replayed.body, first.body);
    let key_reused = fleet
        .send_operation(1, "/issue", "k1", "issue 2")
        .await
        .expect("operation should be answered");
    assert_eq!(
        (key_reused.status, &key_reused.body["reason"]),
        (422, &"key_reused".into())
    );
    let keyless = fleet
        .send_operation(0, "/issue", "", "issue 3")
        .await
        .expect("operation should be answered");
    assert_eq!(
        (keyless.status, &keyless.body["verdict"]),
        (400, &"not_run".into())
    );
    assert_eq!(
        fleet
            .run_count("issue 1")
            .await
            .expect("ledger should be readable"),
        1
    );
    assert_eq!(
        fleet
            .run_count("issue 2")
            .await
            .expect("ledger should be readable"),
        0
    );
    assert_eq!(
        fleet
            .run_count("issue 3")
            .await
            .expect("ledger should be readable"),
        0
    );
}
