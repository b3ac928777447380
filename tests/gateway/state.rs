//! Admission and choice together.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::budget::BudgetRule;
use lynxcart::gateway::catalog::{RouteRule, RouteTarget, ServingConfig, TeamRule, WorkKind};
use lynxcart::gateway::state::{CallHead, GatewaySetup, GatewayState};
use lynxcart::gateway::upstream::UpstreamKey;
use lynxcart::verdict::{RefusalReason, RunVerdict};

use crate::fixture::{config, placed, SERVICE};

const NOW: ClockTime = ClockTime(10_000);
const HEAD: CallHead<'_> = CallHead {
    host: "h",
    path: "/m/x",
    key: "k",
    deadline_ms: Some(20_000),
    prompt_tokens: 775,
    answer_tokens: 400,
    answer_hint: None,
};

fn state() -> GatewayState {
    GatewayState::new(GatewaySetup {
        domain: "a".to_owned(),
        revoke_ms: Some(5_000),
        budget: BudgetRule {
            ratio: 0.2,
            window_ms: 10_000,
            extra: 202.0,
            entries: 4.0,
        },
        rng_seed: 1,
    })
}

fn serving() -> ServingConfig {
    ServingConfig {
        routes: vec![RouteRule {
            host: "h".to_owned(),
            prefix: "/m/".to_owned(),
            kind: WorkKind::Streaming,
            timeout_ms: 20_000,
            aim_ms: 500,
            priority: 1,
            targets: vec![RouteTarget {
                service: SERVICE.to_owned(),
                weight: 1,
            }],
            max_attempts: 2,
            anonymous: false,
            resumable: true,
            gap_target_ms: 250,
        }],
        teams: Some(vec![TeamRule {
            name: "mill".to_owned(),
            priority: None,
            keys: vec!["k".to_owned()],
        }]),
        ..config()
    }
}

#[test]
fn a_gateway_that_knows_nothing_refuses_without_having_run_anything() {
    let mut state = state();
    let refusal = state.admit(NOW, &HEAD).unwrap_err();
    assert_eq!(refusal.verdict, RunVerdict::NotRun);
    assert_eq!(refusal.reason, RefusalReason::PlatformOutage);
    assert!(refusal.retry_after_ms.is_some());
    assert!(!state.ready(NOW));
}

#[test]
fn keys_work_only_while_the_configuration_is_proved_to_be_the_newest() {
    let mut state = state();
    state.apply_config(serving());
    assert_eq!(
        state.admit(NOW, &HEAD).unwrap_err().reason,
        RefusalReason::PlatformOutage
    );
    state.proof.renew(NOW);
    let call = state.admit(NOW, &HEAD).unwrap();
    assert_eq!(call.team.as_deref(), Some("mill"));
    // Admitted, but held up until the proof was too old: it is not sent on.
    assert!(state.still_allowed(NOW + 4_000, &call));
    assert!(!state.still_allowed(NOW + 4_700, &call));
}

#[test]
fn readiness_says_whether_this_vm_can_serve() {
    let mut state = state();
    state.apply_config(serving());
    state.proof.renew(NOW);
    assert!(!state.ready(NOW), "it knows no upstream yet");
    let (_, table) = placed();
    state.upstreams = table;
    assert!(state.ready(NOW));
    assert!(!state.ready(NOW + 3_000), "its configuration grows old");
    state.draining = true;
    assert!(!state.ready(NOW));
}

#[test]
fn what_a_target_holds_is_given_back() {
    let mut state = state();
    state.apply_config(serving());
    state.proof.renew(NOW);
    state.upstreams = placed().1;
    let call = state.admit(NOW, &HEAD).unwrap();
    let target = state.choose(NOW, &call, &[], None).unwrap();
    assert_eq!(target.path.len(), target.chain.len());
    assert_eq!(state.upstreams.get(target.upstream).in_flight, 1);
    state.release(&target);
    let keys: Vec<UpstreamKey> = state.upstreams.iter().map(|(key, _)| key).collect();
    for key in keys {
        let record = state.upstreams.get(key);
        assert_eq!((record.in_flight, record.reserved), (0, 0.0));
    }
}
