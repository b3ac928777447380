//! Random runs over entries, reports and configurations as a faulty writer may send them: decisions
//! neither panic nor produce what the rules forbid.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::budget::BudgetRule;
use lynxcart::gateway::catalog::{RouteRule, RouteTarget, ServingConfig, WorkKind};
use lynxcart::gateway::chain::covers;
use lynxcart::gateway::permit_table::LimitSource;
use lynxcart::gateway::placement::{PlacementController, PlacementInput, PlacementOutput};
use lynxcart::gateway::rate_limit::StatedLimit;
use lynxcart::gateway::state::{GatewaySetup, GatewayState, RequestHead, RoomClaim};
use lynxcart::gateway::upstream::{LayerRange, UpstreamEntry, UpstreamKey};
use lynxcart::platform::order::decode_report;
use lynxcart::platform::registry::decode_entry;
use lynxcart::platform::serving_config::decode_config;
use lynxcart::store::position::StorePosition;
use lynxcart::store::PlatformItem;
use lynxcart::wire::gen::{
    GatewayLoad, PartCrash, PartCrashes, PipeLoad, ReplicaCrash, RequestCrashes, RoomDemand,
    UpstreamLimit, UpstreamLoad,
};
use proptest::prelude::{any, prop, prop_assert, prop_oneof, proptest, Just, Strategy};
use serde_json::{json, Value};

use crate::fixture::{config, entry, SERVICE};

const NOW: ClockTime = ClockTime(10_000);

fn layer() -> impl Strategy<Value = u32> {
    prop_oneof![0..90_u32, Just(80), any::<u32>()]
}

fn any_entry() -> impl Strategy<Value = UpstreamEntry> {
    let place = (0..12_u16, 0..4_u8, 0..4_u8);
    let state = (any::<u64>(), any::<u32>(), any::<bool>(), any::<u64>());
    (place, layer(), layer(), state).prop_map(|(place, from, to, state)| {
        let (number, domain, kind) = place;
        let (born, slots, draining, sequence) = state;
        let domain = ["a", "b", "c", ""][usize::from(domain)];
        let kind = ["a100", "v100", "l4", "none"][usize::from(kind)];
        UpstreamEntry {
            born,
            slots,
            draining: draining && number % 4 == 0,
            sequence,
            position: StorePosition::new(0, u64::from(number)),
            ..entry(
                number,
                &format!("i-{number}"),
                domain,
                kind,
                LayerRange { from, to },
            )
        }
    })
}

fn state(weights: &[u32], timeout_ms: u64) -> GatewayState {
    let mut state = GatewayState::new(GatewaySetup {
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
    });
    let targets = weights.iter().map(|weight| RouteTarget {
        service: SERVICE.to_owned(),
        weight: *weight,
    });
    state.apply_config(ServingConfig {
        routes: vec![RouteRule {
            host: "h".to_owned(),
            prefix: "/m/".to_owned(),
            kind: WorkKind::Streaming,
            timeout_ms,
            latency_target_ms: u64::MAX,
            priority: 255,
            targets: targets.collect(),
            max_attempts: 2,
            anonymous: true,
            resumable: true,
            gap_target_ms: 250,
        }],
        ..config()
    });
    state.proof.renew(NOW);
    state
}

proptest! {
    #[test]
    fn decisions_bear_any_registry_entry(
        entries in prop::collection::vec(any_entry(), 1..24),
        weights in prop::collection::vec(any::<u32>(), 1..4),
        timeout_ms in any::<u64>(),
        tokens in (any::<u32>(), any::<u32>()),
    ) {
        let mut state = state(&weights, timeout_ms);
        for entry in entries {
            state.upstreams.apply_entry(NOW, entry);
        }
        state.ready(NOW);
        state.domain_summaries(NOW);
        let head = RequestHead {
            host: "h",
            path: "/m/x",
            api_key: "",
            deadline_ms: Some(u64::MAX),
            prompt_tokens: tokens.0,
            max_answer_tokens: tokens.1,
            answer_hint: Some(u32::MAX),
        };
        if let Ok(request) = state.admit(NOW, &head) {
            if let Ok(target) = state.choose_target(NOW, &request, &[], RoomClaim::New) {
                prop_assert!(covers(&target.chain, 80), "{target:?}");
                state.release(&target);
            }
        }
    }

    #[test]
    fn placement_bears_any_registry_entry(
        entries in prop::collection::vec(any_entry(), 1..24),
        later in prop::collection::vec(any_entry(), 0..8),
    ) {
        let mut state = state(&[1], 1_000);
        for entry in entries {
            state.upstreams.apply_entry(NOW, entry);
        }
        let mut controller = PlacementController::new(NOW);
        let token = StorePosition::new(1, 7);
        let mut later = later.into_iter();
        let mut now = NOW;
        let mut inputs = vec![
            PlacementInput::Tick,
            PlacementInput::VacancyChecked(true),
            PlacementInput::LeaseGranted(Some((1, now))),
            PlacementInput::LeaseClaimed(Some(token)),
            PlacementInput::PlanRead(None),
        ];
        for _ in 0..100 {
            inputs.push(PlacementInput::Tick);
            for input in inputs.drain(..) {
                let table = &state.upstreams;
                for output in controller.handle(now, input, state.routes.config(), table) {
                    if let PlacementOutput::SendOrder(order) = output {
                        prop_assert!(order.layers.to <= 80, "{order:?}");
                        prop_assert!(order.layers.from < order.layers.to, "{order:?}");
                    }
                }
            }
            now = now + 100;
            inputs.push(PlacementInput::LeaseRenewed(true, now));
            if let Some(entry) = later.next() {
                let position = StorePosition::new(0, 1_000 + now.0);
                let entry = UpstreamEntry { position, ..entry };
                state.upstreams.apply_entry(now, entry);
            }
        }
    }

    /// Documents of the right form with any numbers, and bytes of any form.
    #[test]
    fn decoders_bear_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300), number in any::<i64>()) {
        let documents: [Value; 3] = [
            json!({"service": "m", "address": "10.0.0.1:80", "zone": "a", "slots": number,
                "state": "ready", "born": number, "sequence": number, "kind": "v100",
                "layers": {"from": number, "to": number}}),
            json!({"version": number, "routes": [{"name": "r", "host": "h", "prefix": "/",
                "kind": "streaming", "timeout_ms": number, "aim_ms": number, "priority": number,
                "split": [{"service": "m", "weight": number}], "max_attempts": number}],
                "services": [], "limits": {"max_header_bytes": number}}),
            json!({"sequence": number, "pace": number, "stalled": [{"id": "x", "address": "y"}]}),
        ];
        let texts = documents.iter().map(|document| document.to_string().into_bytes());
        for value in texts.chain([bytes]) {
            let _ = decode_config(&value);
            let _ = decode_report(&value);
            let item = PlatformItem {
                key: "servers/i-1".to_owned(),
                value,
                create_revision: 1,
                mod_revision: 9,
            };
            let _ = decode_entry(1, &item);
        }
    }

    #[test]
    fn reports_of_peers_may_hold_any_numbers(
        load in (any::<u64>(), any::<u32>(), any::<u64>(), any::<u32>(), any::<u32>()),
        version in any::<u64>(),
        in_flight in any::<u32>(),
        fingerprint in prop::collection::vec(any::<u8>(), 0..20),
        (address, ago_ms, observation) in (".*", any::<u32>(), any::<u64>()),
        quarantine_ms in any::<u32>(),
    ) {
        let part_crash = PartCrash { address: address.clone(), ago_ms, requests: vec![observation; 9] };
        let crash = ReplicaCrash { address, ago_ms, observation };
        let mut state = state(&[1], 1_000);
        state.upstreams.apply_entry(NOW, entry(1, "x", "a", "v100", LayerRange { from: 0, to: 8 }));
        let (born, running, reserved, named_ago, pace_milli) = load;
        let upstream_load = UpstreamLoad {
            address: "10.0.0.2:80".to_owned(),
            born: born % 2,
            in_flight: running,
            reserved,
            named_ago,
            pace_milli,
            leaving: false,
        };
        let link = PipeLoad { from: "a".to_owned(), to: "b".to_owned(), in_flight };
        let message = GatewayLoad {
            loads: vec![upstream_load; 3],
            pipes: vec![link; 3],
            config_version: version,
            crashes: vec![RequestCrashes {
                fingerprint: fingerprint.clone(),
                crashes: vec![crash.clone(), crash],
                quarantine_ms,
            }],
            part_crashes: vec![PartCrashes {
                part: "1-a".to_owned(),
                crashes: vec![part_crash.clone(), part_crash],
                proved_ago: ago_ms,
                quarantine_ms,
                quarantined_ago_ms: ago_ms,
                confirmed: version % 2 == 0,
            }],
            limits: vec![UpstreamLimit {
                address: "10.0.0.2:80".to_owned(),
                born: born % 2,
                per_million_seconds: reserved,
                ended: version % 3 == 0,
                asked_ago_ms: ago_ms,
                heard_ago_ms: quarantine_ms,
            }; 2],
            demands: vec![RoomDemand {
                service: SERVICE.to_owned(),
                priority: running,
                tokens_per_second: named_ago,
            }; 3],
        };
        for peer in ["one", "other"] {
            state.apply_peer_version(message.config_version);
            state.reserve.apply_report(NOW, peer, &message.demands);
            let held = state.reserve.fraction(NOW, SERVICE, Some(9), 1.0);
            prop_assert!((0.0..1.0).contains(&held));
            for limit in &message.limits {
                let stated = StatedLimit::decode(ClockTime(1_000), limit);
                state.apply_stated_limit(ClockTime(1_000), UpstreamKey(0), stated, LimitSource::Peer);
                state.permits.receive(ClockTime(1_000), UpstreamKey(0), limit.per_million_seconds as f64);
            }
            for report in &message.crashes {
                state.crashes.apply_report(NOW, report);
            }
            for report in &message.part_crashes {
                state.parts.apply_report(NOW, report);
            }
            state.parts.judge(NOW);
            let table = &state.upstreams;
            for report in state.peers.apply_report(NOW, peer, &message, table) {
                let _ = format!("{report:?}");
            }
        }
        state.peers.load_messages(NOW, &state.upstreams);
        state.domain_summaries(NOW);
        prop_assert!(state.crashes.take_reports(NOW).len() <= 64);
        prop_assert!(state.parts.take_reports(NOW).len() <= 64);
    }
}
