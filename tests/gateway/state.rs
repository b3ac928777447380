//! Tests of admission together with the choice of a target.

use std::net::SocketAddr;

use lynxcart::clock::ClockTime;
use lynxcart::fingerprint::RequestFingerprint;
use lynxcart::gateway::budget::BudgetRule;
use lynxcart::gateway::catalog::{RouteRule, RouteTarget, ServingConfig, TeamRule, WorkKind};
use lynxcart::gateway::crash_ledger::CrashSeries;
use lynxcart::gateway::part_ledger::{PromptPart, ReplicaEnd, SuspectRun};
use lynxcart::gateway::rate_limit::LimitStatement;
use lynxcart::gateway::state::{ConfigProof, GatewaySetup, GatewayState, RequestHead, RoomClaim};
use lynxcart::gateway::upstream::{LayerRange, UpstreamEntry, UpstreamKey};
use lynxcart::verdict::{RefusalReason, RunVerdict};

use crate::fixture::{config, entry, placed_fleet, SERVICE};

pub(crate) const NOW: ClockTime = ClockTime(10_000);
pub(crate) const HEAD: RequestHead<'_> = RequestHead {
    host: "h",
    path: "/m/x",
    api_key: "k",
    deadline_ms: Some(20_000),
    prompt_tokens: 775,
    max_answer_tokens: 400,
    answer_hint: None,
};

pub(crate) fn state() -> GatewayState {
    GatewayState::new(GatewaySetup {
        domain: "a".to_owned(),
        revoke_ms: Some(5_000),
        budget: BudgetRule {
            ratio: 0.2,
            window_ms: 10_000,
            allowance: 202.0,
            min_gateways: 4.0,
        },
        message_address: "10.9.0.1:7340".parse().unwrap(),
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
    let target = state
        .choose_target(NOW, &request, &[], RoomClaim::New)
        .unwrap();
    assert_eq!(target.path.len(), target.chain.len());
    assert_eq!(state.upstreams.get(target.upstream).in_flight, 1);
    state.release(&target);
    let keys: Vec<UpstreamKey> = state.upstreams.iter().map(|(key, _)| key).collect();
    for key in keys {
        let record = state.upstreams.get(key);
        assert_eq!((record.in_flight, record.reserved_kv), (0, 0.0));
    }
}

/// The store came back from a copy that lacks the configuration in force.
#[test]
fn older_configuration_of_a_restored_store_proves_nothing() {
    let mut state = state();
    state.apply_config(ServingConfig {
        version: 7,
        ..serving()
    });
    assert_eq!(
        state.confirm_config(NOW, NOW, 1, 7),
        ConfigProof::Withheld {
            newest: 7,
            is_new: true
        },
        "a VM that has just started asks its peers first"
    );
    state.peers_read = true;
    assert_eq!(state.confirm_config(NOW, NOW, 1, 7), ConfigProof::Renewed);
    let restored = NOW + 1_000;
    let withheld = state.confirm_config(restored, restored, 2, 5);
    assert!(matches!(withheld, ConfigProof::Withheld { newest: 7, .. }));
    // The proof from before the restore ends in its own time, and the configuration stays.
    assert!(state.proof.is_valid(NOW + 4_000) && !state.proof.is_valid(NOW + 4_700));
    assert!(!state.apply_config(ServingConfig {
        version: 5,
        ..serving()
    }));
    assert_eq!(state.routes.config().version, 7);
    // The operator has written it again.
    let rewritten = NOW + 9_000;
    assert_eq!(
        state.confirm_config(rewritten, rewritten, 2, 7),
        ConfigProof::Renewed
    );
    assert!(state.proof.is_valid(rewritten));
}

/// A VM that starts between the restore and the operator's next write reads an old configuration.
#[test]
fn vm_that_knows_less_than_its_peers_stays_unready() {
    struct Case {
        name: &'static str,
        era: u64,
        other_gateways: bool,
        /// Version that a peer has, and when it says so; `None` if no peer does.
        peer: Option<(u64, u64)>,
        asked_at: u64,
        renewed: bool,
    }
    let case = |name, renewed| Case {
        name,
        era: 2,
        other_gateways: true,
        peer: None,
        asked_at: 100,
        renewed,
    };
    let cases = [
        Case {
            other_gateways: false,
            ..case("no other gateway is registered", true)
        },
        Case {
            era: 0,
            ..case("the store is never restored", true)
        },
        case("no peer has said what it knows yet", false),
        Case {
            asked_at: 2_000,
            ..case("no peer knows anything", true)
        },
        Case {
            peer: Some((5, 50)),
            ..case("a peer knows the same", true)
        },
        Case {
            peer: Some((6, 50)),
            asked_at: 9_000,
            ..case("a peer knows more", false)
        },
    ];
    for case in cases {
        let mut state = state();
        state.peers_read = true;
        if case.other_gateways {
            state.peer_addresses = vec!["10.0.0.1:7".parse().unwrap()];
        }
        state.apply_config(ServingConfig {
            version: 5,
            ..serving()
        });
        state.confirm_config(NOW, NOW, case.era, 5);
        if let Some((version, at)) = case.peer {
            assert!(at < case.asked_at);
            state.apply_peer_version(version);
        }
        let asked_at = NOW + case.asked_at;
        let proof = state.confirm_config(asked_at, asked_at, case.era, 5);
        assert_eq!(proof == ConfigProof::Renewed, case.renewed, "{}", case.name);
        assert_eq!(
            state.proof.is_valid(asked_at),
            case.renewed,
            "{}",
            case.name
        );
    }
}

#[test]
fn newer_version_of_a_peer_does_not_end_a_proof_that_is_older_than_it() {
    let mut state = state();
    state.apply_config(serving());
    state.confirm_config(NOW, NOW, 0, 1);
    assert!(state.apply_peer_version(2) && !state.apply_peer_version(2));
    assert!(state.proof.is_valid(NOW + 100));
    // An answer from before the peer's version proves nothing any more.
    let proof = state.confirm_config(NOW + 200, NOW + 50, 0, 1);
    assert!(matches!(proof, ConfigProof::Withheld { newest: 2, .. }));
    assert!(!state.proof.is_valid(NOW + 4_700));
}

pub(crate) fn plain_serving() -> ServingConfig {
    let mut config = serving();
    config.services[0].engine = None;
    config
}

/// What callers get while replicas of a plain service ask to be left alone.
#[test]
fn requests_go_to_replicas_that_do_not_rest_or_are_refused_with_their_time() {
    let mut state = state();
    state.apply_config(plain_serving());
    state.proof.renew(NOW);
    for (number, id) in [(1, "x"), (2, "y")] {
        let entry = entry(number, id, "a", "", LayerRange::default());
        state.upstreams.apply_entry(NOW, entry);
    }
    let request = state.admit(NOW, &HEAD).unwrap();
    let keys: Vec<UpstreamKey> = state.upstreams.iter().map(|(key, _)| key).collect();
    state.upstreams.rest(NOW, keys[0], 900);
    for _ in 0..100 {
        // Even a replica that failed is asked before one that rests.
        let target = state
            .choose_target(NOW, &request, &keys[1..], RoomClaim::New)
            .unwrap();
        assert_eq!(target.upstream, keys[1]);
        state.release(&target);
    }
    state.upstreams.rest(NOW, keys[1], 2_000);
    let refusal = state
        .choose_target(NOW + 100, &request, &[], RoomClaim::New)
        .unwrap_err();
    assert_eq!(refusal.verdict, RunVerdict::NotRun);
    assert_eq!(refusal.retry_after_ms, Some(800), "when the first is back");
    // It is not worth waiting for at the gateway, as room would be.
    assert_eq!(refusal.reason, RefusalReason::Busy);
    let target = state
        .choose_target(NOW + 900, &request, &[], RoomClaim::New)
        .unwrap();
    assert_eq!(target.upstream, keys[0]);
}

#[test]
fn requests_that_only_limits_keep_out_are_refused_with_times_of_their_own() {
    let mut state = state();
    state.apply_config(plain_serving());
    state.proof.renew(NOW);
    for (number, id) in [(1, "x"), (2, "y")] {
        let entry = entry(number, id, "a", "", LayerRange::default());
        state.upstreams.apply_entry(NOW, entry);
    }
    let request = state.admit(NOW, &HEAD).unwrap();
    let keys: Vec<UpstreamKey> = state.upstreams.iter().map(|(key, _)| key).collect();
    let limit = LimitStatement::PerSecond(2.0);
    state.apply_limit(NOW, keys[0], limit, NOW);
    state.record_denial(NOW, keys[0], 500);
    for _ in 0..50 {
        let target = state
            .choose_target(NOW, &request, &[], RoomClaim::New)
            .unwrap();
        assert_eq!(target.upstream, keys[1], "the other takes the rest");
        state.release(&target);
    }
    state.apply_limit(NOW, keys[1], limit, NOW);
    state.record_denial(NOW, keys[1], 500);
    let mut times = Vec::new();
    for _ in 0..6 {
        let refusal = state
            .choose_target(NOW, &request, &[], RoomClaim::New)
            .unwrap_err();
        assert_eq!(refusal.verdict, RunVerdict::NotRun);
        // Not worth waiting for at the gateway.
        assert_eq!(refusal.reason, RefusalReason::Busy);
        times.push(refusal.retry_after_ms.unwrap());
    }
    assert!(times[0] >= 250, "{times:?}");
    let spacings = times.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(spacings.clone().all(|spacing| spacing == 250), "{times:?}");
    // An answer without a limit ends it.
    state.apply_limit(NOW + 10, keys[0], LimitStatement::Absent, NOW);
    let target = state
        .choose_target(NOW + 10, &request, &[], RoomClaim::New)
        .unwrap();
    assert_eq!(target.upstream, keys[0]);
}

#[test]
fn chains_leave_out_replicas_that_rest() {
    let mut state = state();
    state.apply_config(serving());
    state.proof.renew(NOW);
    state.upstreams = placed_fleet().1;
    let request = state.admit(NOW, &HEAD).unwrap();
    let first = state
        .choose_target(NOW, &request, &[], RoomClaim::New)
        .unwrap();
    let rested = first.chain[1].upstream;
    state.upstreams.rest(NOW, rested, 2_000);
    for _ in 0..50 {
        let target = state
            .choose_target(NOW, &request, &[], RoomClaim::New)
            .unwrap();
        assert!(target.chain.iter().all(|hop| hop.upstream != rested));
    }
    let keys: Vec<UpstreamKey> = state.upstreams.iter().map(|(key, _)| key).collect();
    for key in keys {
        state.upstreams.rest(NOW, key, 3_000);
    }
    let refusal = state
        .choose_target(NOW, &request, &[], RoomClaim::New)
        .unwrap_err();
    assert_eq!(
        (refusal.reason, refusal.retry_after_ms),
        (RefusalReason::Busy, Some(3_000))
    );
}

#[test]
fn target_that_was_chosen_before_a_replica_of_it_said_that_it_leaves_is_not_sent_to() {
    let mut state = state();
    state.apply_config(serving());
    state.upstreams = placed_fleet().1;
    state.proof.renew(NOW);
    let request = state.admit(NOW, &HEAD).unwrap();
    let target = state
        .choose_target(NOW, &request, &[], RoomClaim::New)
        .unwrap();
    assert!(target.chain.len() > 1);
    assert!(state.takes_requests(&target));
    let last = target.chain[target.chain.len() - 1].upstream;
    state.upstreams.mark_leaving(last);
    assert!(!state.takes_requests(&target));
    // The next incarnation is another upstream, and the target still names this one.
    let entry = state.upstreams.get(last).entry.clone();
    let next = UpstreamEntry {
        born: entry.born + 1,
        draining: false,
        ..entry
    };
    state.upstreams.apply_entry(NOW, next);
    assert!(!state.takes_requests(&target));
}

#[test]
fn request_whose_caller_left_is_blamed_for_the_crash_after_it() {
    let mut state = state();
    let part = |id| PromptPart::new("model", id);
    let replica = |number: u8| SocketAddr::from(([10, 0, 0, number], 80));
    let fingerprint = RequestFingerprint([7; 16]);
    let sound = [part(1)];
    state.parts.record_proof(NOW, &sound, NOW);
    let mut now = NOW + 10_000;
    for number in 0..4 {
        let run = SuspectRun {
            // One comes four times, and another in between.
            fingerprint: RequestFingerprint([7 + u8::from(number == 3); 16]),
            parts: vec![part(1), part(2)],
        };
        state.abandoned.record(now, replica(number), run);
        let end = |replica, at| ReplicaEnd { replica, at };
        // Crashes of another replica, or long after or before, are not theirs.
        assert!(!state.blame_abandoned(end(replica(number + 1), now)));
        assert!(!state.blame_abandoned(end(replica(number), now + 2_000)));
        assert!(!state.blame_abandoned(end(replica(number), now - 400)));
        assert!(state.blame_abandoned(end(replica(number), now + 100)));
        assert!(!state.blame_abandoned(end(replica(number), now + 100)));
        now = now + 2_500;
    }
    assert!(state.crashes.quarantine_ms(now, fingerprint).is_some());
    let rulings = state.parts.judge(now);
    let parts: Vec<PromptPart> = rulings.iter().map(|ruling| ruling.part).collect();
    assert_eq!(parts, [part(2)]);
}

#[test]
fn request_that_crashed_replicas_is_not_released_for_a_part_that_is_only_suspected() {
    let mut state = state();
    let part = |id| PromptPart::new("model", id);
    let replica = |number: u8| SocketAddr::from(([10, 0, 0, number], 80));
    let run = |id, part| SuspectRun {
        fingerprint: RequestFingerprint([id; 16]),
        parts: vec![part],
    };
    let crashing = run(1, part(1));
    state.parts.record_proof(NOW, &[part(9)], NOW);
    // The request crashes three replicas, and others with another part are there each time.
    let mut now = NOW + 10_000;
    for number in 0..3 {
        now = now + 3_000;
        let beside = run(10 + number, part(2));
        for run in [&crashing, &beside] {
            let mut series = CrashSeries::default();
            let (replica, observation) = (replica(number), u64::from(number));
            let fingerprint = run.fingerprint;
            let crashes = &mut state.crashes;
            crashes.record_crash(now, fingerprint, &mut series, replica, observation);
            state.parts.record_crash(now, replica, run);
        }
    }
    let is_quarantined = |state: &GatewayState, now| {
        let quarantine_ms = state.crashes.quarantine_ms(now, crashing.fingerprint);
        quarantine_ms.is_some()
    };
    assert!(is_quarantined(&state, now));
    now = now + 500;
    let rulings = state.judge_parts(now);
    let suspected: Vec<PromptPart> = rulings.iter().map(|(ruling, _)| ruling.part).collect();
    assert_eq!(suspected, [part(2)]);
    assert!(rulings.iter().all(|(_, released)| released.is_empty()));
    assert!(is_quarantined(&state, now));
    // A replica crashes on the part alone: it is to blame.
    now = now + 6_000;
    state.parts.record_crash(now, replica(7), &run(77, part(2)));
    let rulings = state.judge_parts(now + 500);
    let released = rulings.into_iter().flat_map(|(_, released)| released);
    assert_eq!(released.collect::<Vec<_>>(), [crashing.fingerprint]);
    assert!(!is_quarantined(&state, now + 500));
}
