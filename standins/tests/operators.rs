//! Concurrent changes of a profile by two operators, lost responses of the platform, and the errors
//! of the operators' commands.

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

async fn save_draft(fleet: &Fleet, token: &str, max_tokens: u32) {
    let path = format!("/admin/drafts/{MODEL_PROFILE}");
    let saved = fleet
        .send_admin_request(Method::PUT, &path, token, &profile(max_tokens))
        .await;
    saved.expect("draft should be saved");
}

async fn accept(fleet: &Fleet, token: &str) -> eyre::Result<Value> {
    let path = format!("/admin/profiles/{MODEL_PROFILE}/accept");
    fleet
        .send_admin_request(Method::POST, &path, token, &Value::Null)
        .await
}

/// Returns the `max_tokens` of the model's profile that is in force.
async fn active_max_tokens(fleet: &Fleet) -> Value {
    let profiles = fleet
        .send_admin_request(Method::GET, "/admin/profiles", OPERATOR_TOKEN, &Value::Null)
        .await;
    let profiles = profiles.expect("profiles should be readable")["profiles"].clone();
    let profiles = profiles.as_array().cloned().unwrap_or_default();
    let active = profiles
        .into_iter()
        .find(|profile| profile["record"]["spec"]["name"] == MODEL_PROFILE);
    active.expect("profile should be in force")["record"]["spec"]["target"]["max_tokens"].clone()
}

async fn wait_until_active(fleet: &Fleet, max_tokens: u32) {
    for _ in 0..200 {
        if active_max_tokens(fleet).await == max_tokens {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!("profile with max_tokens {max_tokens} is not in force after 200 checks");
}

/// Two operators change the same base revision: the second accept must not overwrite the first. An
/// accept whose response is lost, or that is sent again, must not be applied twice.
#[tokio::test(flavor = "multi_thread")]
async fn conflicting_accept_is_refused_and_names_the_other_operator() {
    let log_dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("operators");
    let fleet = Fleet::start(FleetSetup::small(log_dir))
        .await
        .expect("fleet should start");
    save_draft(&fleet, OPERATOR_TOKEN, 100).await;
    save_draft(&fleet, OTHER_TOKEN, 200).await;
    accept(&fleet, OPERATOR_TOKEN)
        .await
        .expect("first accept should succeed");
    let refused = accept(&fleet, OTHER_TOKEN)
        .await
        .expect_err("second accept should be refused");
    let refused = refused.to_string();
    assert!(
        refused.contains("conflict") && refused.contains("changed by ana"),
        "{refused}"
    );
    wait_until_active(&fleet, 100).await;

    // The refused draft is kept. Once it is saved again on the new base revision, it is accepted.
    let drafts = fleet
        .send_admin_request(Method::GET, "/admin/drafts", OTHER_TOKEN, &Value::Null)
        .await;
    let drafts = drafts.expect("drafts should be readable")["drafts"].clone();
    assert_eq!(drafts[0]["spec"]["target"]["max_tokens"], 200, "{drafts}");
    save_draft(&fleet, OTHER_TOKEN, 200).await;
    let accepted = accept(&fleet, OTHER_TOKEN)
        .await
        .expect("draft should be accepted");
    wait_until_active(&fleet, 200).await;

    // The response to the write is lost: the entry finds the write by its id and does not repeat
    // it.
    save_draft(&fleet, OPERATOR_TOKEN, 300).await;
    fleet
        .set_faults(fleet.platform.http_address, &json!({"lose_answers": 1}))
        .await
        .expect("faults should be set");
    let recovered = accept(&fleet, OPERATOR_TOKEN)
        .await
        .expect("draft should be accepted");
    let before = accepted["revision"]
        .as_u64()
        .expect("revision should be a number");
    assert!(
        recovered["revision"]
            .as_u64()
            .expect("revision should be a number")
            > before
    );
    wait_until_active(&fleet, 300).await;

    // A second accept of the same draft returns the revision of the first.
    let repeated = accept(&fleet, OPERATOR_TOKEN)
        .await
        .expect("repeated accept should succeed");
    assert_eq!(repeated["revision"], recovered["revision"]);

    // During an outage an accept is refused and the profile stays unchanged.
    save_draft(&fleet, OPERATOR_TOKEN, 400).await;
    fleet
        .set_faults(fleet.platform.http_address, &json!({"outage": true}))
        .await
        .expect("faults should be set");
    let refused = accept(&fleet, OPERATOR_TOKEN)
        .await
        .expect_err("accept should be refused in an outage");
    assert!(refused.to_string().contains("platform_outage"), "{refused}");
    assert_eq!(active_max_tokens(&fleet).await, 300);

    for (token, path) in [("nobody", "/admin/status"), ("nobody", "/admin/profiles")] {
        let refused = fleet
            .send_admin_request(Method::GET, path, token, &Value::Null)
            .await;
        assert!(refused
            .expect_err("unknown token should be refused")
            .to_string()
            .contains("401"));
    }
}

struct CommandCase {
    args: &'static [&'static str],
    token: &'static str,
    exit_code: i32,
    error_contains: &'static str,
}

/// Each command exits with the right code and prints at most one line on standard error, which
/// states the cause.
#[tokio::test(flavor = "multi_thread")]
async fn command_errors_state_the_cause() {
    let log_dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("commands");
    let fleet = Fleet::start(FleetSetup::small(log_dir))
        .await
        .expect("fleet should start");
    let cases = [
        CommandCase {
            args: &["status"],
            token: OPERATOR_TOKEN,
            exit_code: 0,
            error_contains: "",
        },
        CommandCase {
            args: &["profile", "list"],
            token: OPERATOR_TOKEN,
            exit_code: 0,
            error_contains: "",
        },
        CommandCase {
            args: &["profile", "show", "custody"],
            token: OPERATOR_TOKEN,
            exit_code: 0,
            error_contains: "",
        },
        CommandCase {
            args: &["status"],
            token: "nobody",
            exit_code: 2,
            error_contains: "bad_token",
        },
        CommandCase {
            args: &["profile", "show", "none"],
            token: OPERATOR_TOKEN,
            exit_code: 2,
            error_contains: "\"none\"",
        },
        CommandCase {
            args: &["profile", "accept", "none"],
            token: OPERATOR_TOKEN,
            exit_code: 2,
            error_contains: "\"none\"",
        },
    ];
    let program = std::env::current_exe().expect("test program should have a path");
    let program = program
        .ancestors()
        .nth(2)
        .expect("program directory should exist")
        .join("lynxcart");
    for case in cases {
        let output = std::process::Command::new(&program)
            .args(case.args)
            .env("LYNXCART_ENTRY", fleet.entries[0].http_address.to_string())
            .env("LYNXCART_TOKEN", case.token)
            .output()
            .expect("command should start");
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(
            output.status.code(),
            Some(case.exit_code),
            "{:?}: {error}",
            case.args
        );
        assert!(
            error.contains(case.error_contains),
            "{:?}: {error}",
            case.args
        );
        assert!(
            error.trim().lines().count() <= 1,
            "{:?}: {error}",
            case.args
        );
    }
}
