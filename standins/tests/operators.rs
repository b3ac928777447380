//! Operators who change the same profile at once, and writes whose answer is lost.

use std::path::PathBuf;

use http::Method;
use serde_json::{json, Value};
use standins::fleet::{Fleet, FleetSetup, LAYERS, MODEL, MODEL_PROFILE, OPERATOR_TOKEN};

const OTHER_TOKEN: &str = "berta-token";

fn profile(max_tokens: u32) -> Value {
    json!({"name": MODEL_PROFILE, "target": {
        "kind": "model", "model": MODEL, "layers": LAYERS, "max_tokens": max_tokens,
    }})
}

async fn draft(fleet: &Fleet, token: &str, max_tokens: u32) {
    let path = format!("/admin/drafts/{MODEL_PROFILE}");
    let saved = fleet
        .send_admin_request(Method::PUT, &path, token, &profile(max_tokens))
        .await;
    saved.expect("a draft");
}

async fn accept(fleet: &Fleet, token: &str) -> eyre::Result<Value> {
    let path = format!("/admin/profiles/{MODEL_PROFILE}/accept");
    fleet
        .send_admin_request(Method::POST, &path, token, &Value::Null)
        .await
}

async fn in_force(fleet: &Fleet) -> Value {
    let profiles = fleet
        .send_admin_request(Method::GET, "/admin/profiles", OPERATOR_TOKEN, &Value::Null)
        .await;
    let profiles = profiles.expect("profiles")["profiles"].clone();
    let all = profiles.as_array().cloned().unwrap_or_default();
    let found = all
        .into_iter()
        .find(|p| p["record"]["spec"]["name"] == MODEL_PROFILE);
    found.expect("the profile")["record"]["spec"]["target"]["max_tokens"].clone()
}

async fn wait_in_force(fleet: &Fleet, max_tokens: u32) {
    for _ in 0..200 {
        if in_force(fleet).await == max_tokens {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!("{max_tokens} is not in force");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_operators_wins_and_the_other_is_told() {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("operators");
    let fleet = Fleet::start(FleetSetup::small(logs))
        .await
        .expect("a fleet");
    draft(&fleet, OPERATOR_TOKEN, 100).await;
    draft(&fleet, OTHER_TOKEN, 200).await;
    accept(&fleet, OPERATOR_TOKEN)
        .await
        .expect("the first wins");
    let refused = accept(&fleet, OTHER_TOKEN)
        .await
        .expect_err("the second is refused");
    let refused = refused.to_string();
    assert!(
        refused.contains("conflict") && refused.contains("changed by ana"),
        "{refused}"
    );
    wait_in_force(&fleet, 100).await;

    // The draft of the second is kept; saved again on the new base it is accepted.
    let drafts = fleet
        .send_admin_request(Method::GET, "/admin/drafts", OTHER_TOKEN, &Value::Null)
        .await;
    let drafts = drafts.expect("drafts")["drafts"].clone();
    assert_eq!(drafts[0]["spec"]["target"]["max_tokens"], 200, "{drafts}");
    draft(&fleet, OTHER_TOKEN, 200).await;
    let accepted = accept(&fleet, OTHER_TOKEN).await.expect("accepted");
    wait_in_force(&fleet, 200).await;

    // An answer that is lost: the write is found by its id, and was made once.
    draft(&fleet, OPERATOR_TOKEN, 300).await;
    fleet
        .set_faults(fleet.platform.http, &json!({"lose_answers": 1}))
        .await
        .expect("a fault");
    let found = accept(&fleet, OPERATOR_TOKEN).await.expect("accepted");
    let before = accepted["revision"].as_u64().expect("a revision");
    assert!(found["revision"].as_u64().expect("a revision") > before);
    wait_in_force(&fleet, 300).await;

    // Asked again, the operator is told of the acceptance that ended the draft.
    let again = accept(&fleet, OPERATOR_TOKEN)
        .await
        .expect("accepted before");
    assert_eq!(again["revision"], found["revision"]);

    // During an outage nothing is claimed.
    draft(&fleet, OPERATOR_TOKEN, 400).await;
    fleet
        .set_faults(fleet.platform.http, &json!({"outage": true}))
        .await
        .expect("an outage");
    let refused = accept(&fleet, OPERATOR_TOKEN).await.expect_err("an outage");
    assert!(refused.to_string().contains("platform_outage"), "{refused}");
    assert_eq!(in_force(&fleet).await, 300);

    for (token, path) in [("nobody", "/admin/status"), ("nobody", "/admin/profiles")] {
        let refused = fleet
            .send_admin_request(Method::GET, path, token, &Value::Null)
            .await;
        assert!(refused
            .expect_err("no operator")
            .to_string()
            .contains("401"));
    }
}

struct CommandCase {
    args: &'static [&'static str],
    token: &'static str,
    code: i32,
    says: &'static str,
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_name_what_is_wrong() {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("commands");
    let fleet = Fleet::start(FleetSetup::small(logs))
        .await
        .expect("a fleet");
    let cases = [
        CommandCase {
            args: &["status"],
            token: OPERATOR_TOKEN,
            code: 0,
            says: "",
        },
        CommandCase {
            args: &["profile", "list"],
            token: OPERATOR_TOKEN,
            code: 0,
            says: "",
        },
        CommandCase {
            args: &["profile", "show", "custody"],
            token: OPERATOR_TOKEN,
            code: 0,
            says: "",
        },
        CommandCase {
            args: &["status"],
            token: "nobody",
            code: 2,
            says: "bad_token",
        },
        CommandCase {
            args: &["profile", "show", "none"],
            token: OPERATOR_TOKEN,
            code: 2,
            says: "\"none\"",
        },
        CommandCase {
            args: &["profile", "accept", "none"],
            token: OPERATOR_TOKEN,
            code: 2,
            says: "\"none\"",
        },
    ];
    let program = std::env::current_exe().expect("a path");
    let program = program
        .ancestors()
        .nth(2)
        .expect("a folder")
        .join("lynxcart");
    for case in cases {
        let output = std::process::Command::new(&program)
            .args(case.args)
            .env("LYNXCART_ENTRY", fleet.entries[0].http.to_string())
            .env("LYNXCART_TOKEN", case.token)
            .output()
            .expect("the command runs");
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(
            output.status.code(),
            Some(case.code),
            "{:?}: {error}",
            case.args
        );
        assert!(error.contains(case.says), "{:?}: {error}", case.args);
        assert!(
            error.trim().lines().count() <= 1,
            "{:?}: {error}",
            case.args
        );
    }
}
