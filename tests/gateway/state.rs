//! Tests of admission together with the choice of a target.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::budget::BudgetRule;
use lynxcart::gateway::catalog::{RouteRule, RouteTarget, ServingConfig, TeamRule, WorkKind};
use lynxcart::gateway::state::{GatewaySetup, GatewayState, RequestHead};
use lynxcart::gateway::upstream::UpstreamKey;
use lynxcart::verdict::{RefusalReason, RunVerdict};

use crate::fixture::{config, placed_fleet, SERVICE};

const NOW: ClockTime = ClockTime(10_000);
const HEAD: RequestHead<'_> = RequestHead {
    host: "h",
    path: "/m/x",
    api_key: "k",
    deadline_ms: Some(20_000),
    prompt_tokens: 775,
    max_answer_tokens: 400,
    answer_hint: None,
};

fn state() -> GatewayState {
    GatewayState::new(GatewaySetup {
        domain: "a".to_owned(),
        revoke_ms: Some(5_000),
        budget: BudgetRule {
            ratio: 0.2,
            window_ms: 10_000,
            allowance: 202.0,
            min_gateways: 4.0,
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
            latency_target_ms: 500,
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
fn a_gateway_without_a_configuration_refuses_with_verdict_not_run() {
    let mut state = state();
    let refusal = state.admit(NOW, &HEAD).unwrap_err();
    assert_eq!(refusal.verdict, RunVerdict::NotRun);
    assert_eq!(refusal.reason, RefusalReason::PlatformOutage);
    assert!(refusal.retry_after_ms.is_some());
    assert!(!state.ready(NOW));
}

#[test]
fn a_request_with_a_key_needs_a_valid_freshness_proof() {
    let mut state = state();
    state.apply_config(serving());
    assert_eq!(
        state.admit(NOW, &HEAD).unwrap_err().reason,
        RefusalReason::PlatformOutage
    );
    state.proof.renew(NOW);
    let request = state.admit(NOW, &HEAD).unwrap();
    assert_eq!(request.team.as_deref(), Some("mill"));
    // The request was admitted, but its proof expired while it waited: it must not be sent.
    assert!(state.may_still_send(NOW + 4_000, &request));
    assert!(!state.may_still_send(NOW + 4_700, &request));
}

#[test]
fn readiness_requires_coverage_a_fresh_proof_and_no_shutdown() {
    let mut state = state();
    state.apply_config(serving());
    state.proof.renew(NOW);
    assert!(!state.ready(NOW), "no upstream is registered yet");
    let (_, table) = placed_fleet();
    state.upstreams = table;
    assert!(state.ready(NOW));
    assert!(!state.ready(NOW + 3_000), "the freshness proof is too old");
    state.draining = true;
    assert!(!state.ready(NOW));
}

#[test]
fn releasing_a_target_frees_what_it_reserved() {
    let mut state = state();
    state.apply_config(serving());
    state.proof.renew(NOW);
    state.upstreams = placed_fleet().1;
    let request = state.admit(NOW, &HEAD).unwrap();
    let target = state.choose_target(NOW, &request, &[], None).unwrap();
    assert_eq!(target.path.len(), target.chain.len());
    assert_eq!(state.upstreams.get(target.upstream).in_flight, 1);
    state.release(&target);
    let keys: Vec<UpstreamKey> = state.upstreams.iter().map(|(key, _)| key).collect();
    for key in keys {
        let record = state.upstreams.get(key);
        assert_eq!((record.in_flight, record.reserved_kv), (0, 0.0));
    }
}
