//! The whole path with real processes on loopback.

use std::path::PathBuf;

use standins::fleet::{Fleet, FleetSetup, LAYERS, MODEL};
use standins::model::expected_answer;

fn logs(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_path() {
    let fleet = Fleet::start(FleetSetup::small(logs("whole_path")))
        .await
        .expect("a fleet");
    for entry in 0..2 {
        let prompt = format!("note for entry {entry}");
        let answer = fleet.complete(entry, &prompt, 12).await.expect("an answer");
        assert_eq!(answer, expected_answer(MODEL, LAYERS, &prompt, 12));
    }
    let first = fleet
        .call(0, "/issue", "k1", "issue 1")
        .await
        .expect("a call");
    assert_eq!((first.status, first.replayed), (200, false));
    let again = fleet
        .call(1, "/issue", "k1", "issue 1")
        .await
        .expect("a call");
    assert_eq!((again.status, again.replayed), (200, true));
    assert_eq!(again.body, first.body);
    let other = fleet
        .call(1, "/issue", "k1", "issue 2")
        .await
        .expect("a call");
    assert_eq!(
        (other.status, &other.body["reason"]),
        (422, &"key_reused".into())
    );
    let keyless = fleet
        .call(0, "/issue", "", "issue 3")
        .await
        .expect("a call");
    assert_eq!(
        (keyless.status, &keyless.body["verdict"]),
        (400, &"not_run".into())
    );
    assert_eq!(fleet.run_count("issue 1").await.expect("a ledger"), 1);
    assert_eq!(fleet.run_count("issue 2").await.expect("a ledger"), 0);
    assert_eq!(fleet.run_count("issue 3").await.expect("a ledger"), 0);
}
