//! Scaling of the decision code: time and memory of one entry, or of an agent's journal, as the
//! number of replicas, configuration keys, requests or idempotency keys grows by a factor of 16.
//! The code is called directly, without sockets.

use std::hint::black_box;
use std::time::Instant;

use lynxcart::agent::journal::{PartitionJournal, ServiceResponse};
use lynxcart::agent::AgentContext;
use lynxcart::clock::ClockTime;
use lynxcart::entry::state::{EntryInput, EntrySetup, EntryState};
use lynxcart::entry::{CallerRequest, CallerWork};
use lynxcart::messaging::MessagingEvent;
use lynxcart::profile::{
    token_hash, ProfileRecord, ProfileSpec, ProfileTarget, TeamRecord, PROFILE_PREFIX, TEAM_PREFIX,
};
use lynxcart::store::PlatformResponse;
use lynxcart::util::key_hash;
use lynxcart::wire::gen::envelope::Body;
use lynxcart::wire::gen::{heartbeat::Role, ConfigItem, Envelope, Heartbeat, ModelRole};
use lynxcart::wire::{FrameKeys, IncomingMessage, RequestKey, WIRE_VERSION};

use crate::counting_allocator::allocated_bytes;

/// Number of layers of each model that the replicas serve.
const LAYERS: u32 = 12;
/// Number of stages that the layers of a model are divided into.
const STAGES: u32 = 3;

/// One measurement of the decision code at one size of the input that grows.
#[derive(Clone, Debug)]
pub struct ScalingPoint {
    /// Name of the input that grows, as printed.
    pub parameter: &'static str,
    /// Size of the input.
    pub count: u32,
    /// Name of the measured quantity, as printed.
    pub quantity: &'static str,
    /// Measured value, in `unit`.
    pub value: f64,
    /// Unit of `value`, as printed.
    pub unit: &'static str,
}

/// Returns heartbeat number `sequence` of replica number `replica` in a large fleet with 18 models,
/// 3 kinds of accelerator, 25 failure domains and 7 regions.
pub fn heartbeat(replica: u32, sequence: u64) -> Heartbeat {
    let width = LAYERS / STAGES;
    let stage = replica % STAGES;
    Heartbeat {
        name: format!("replica-{replica}"),
        admin_address: format!("10.0.{}.{}:8080", replica / 250, replica % 250),
        failure_domain: format!("domain-{}", replica % 25),
        region: format!("region-{}", replica % 7),
        sequence,
        draining: false,
        in_flight: replica % 16,
        limit: 64,
        pass_micros: 4_000,
        role: Some(Role::Model(ModelRole {
            model: format!("model-{}", (replica / STAGES) % 18),
            first_layer: stage * width,
            end_layer: (stage + 1) * width,
            accelerator: format!("kind-{}", replica % 3),
        })),
        config_revision: 1_000,
        entries_hash: u64::MAX,
    }
}

/// Builds the input of an entry that receives a heartbeat.
fn heartbeat_input(replica: u32, sequence: u64) -> EntryInput {
    EntryInput::Message(MessagingEvent::Received(Box::new(IncomingMessage {
        from: format!("10.0.{}.{}:7070", replica / 250, replica % 250),
        incarnation: 1,
        body: Body::Heartbeat(heartbeat(replica, sequence)),
    })))
}

fn new_entry_state() -> EntryState {
    EntryState::new(EntrySetup {
        address: "10.1.0.1:7070".into(),
        seeds: Vec::new(),
        rng_seed: 1,
    })
}

/// Returns the size of a heartbeat frame with its authentication tag, in bytes.
pub fn heartbeat_bytes() -> usize {
    let keys = FrameKeys::from_secrets(&["k".into()]).unwrap_or_else(|| unreachable!());
    keys.seal(&Envelope {
        version: WIRE_VERSION,
        sender: "10.0.47.249:7070".into(),
        incarnation: u64::MAX,
        lamport: u64::from(u32::MAX),
        body: Some(Body::Heartbeat(heartbeat(11_999, 86_400))),
    })
    .len()
}

/// Measures an entry that knows `count` replicas: its memory, its time per heartbeat and its time
/// per request. The time per request covers the choice of a chain and the cancellation right after
/// it.
pub fn replica_scaling(count: u32) -> Vec<ScalingPoint> {
    let bytes_before = allocated_bytes();
    let mut entry_state = new_entry_state();
    for replica in 0..count {
        entry_state.handle(ClockTime(1), heartbeat_input(replica, 1));
    }
    let memory_kib = allocated_bytes().saturating_sub(bytes_before) / 1024;
    let rounds = 20_000 / count + 1;
    let started_at = Instant::now();
    for round in 0..rounds {
        for replica in 0..count {
            let now = ClockTime(2 + u64::from(round));
            black_box(entry_state.handle(now, heartbeat_input(replica, 2 + u64::from(round))));
        }
    }
    let heartbeat_us = started_at.elapsed().as_secs_f64() * 1e6 / f64::from(rounds * count);
    apply_config(&mut entry_state, 18, 1);
    let requests = 500;
    let started_at = Instant::now();
    for number in 0..requests {
        let request = caller_request(number, &format!("profile-{}", number % 18));
        let now = ClockTime(1_000);
        black_box(entry_state.handle(now, EntryInput::Caller(request)));
        black_box(entry_state.handle(
            now,
            EntryInput::CallerDisconnected(RequestKey(u128::from(number))),
        ));
    }
    let request_us = started_at.elapsed().as_secs_f64() * 1e6 / f64::from(requests);
    let point = |quantity, value, unit| ScalingPoint {
        parameter: "replicas",
        count,
        quantity,
        value,
        unit,
    };
    vec![
        point("memory", memory_kib as f64, "KiB"),
        point("time per heartbeat", heartbeat_us, "us"),
        point("time per request begun and ended", request_us, "us"),
    ]
}

/// Builds a request with a prompt of 2000 bytes, as received from a caller.
fn caller_request(number: u32, profile: &str) -> CallerRequest {
    CallerRequest {
        request_id: RequestKey(u128::from(number)),
        token: "token-0".into(),
        profile: profile.into(),
        allowed_ms: 60_000,
        caller_id: String::new(),
        trace: String::new(),
        work: CallerWork::Generate {
            prompt: "p".repeat(2_000),
            max_tokens: Some(400),
        },
    }
}

/// Builds the configuration item of a profile.
fn profile_item(number: u32, revision: u64) -> ConfigItem {
    let record = ProfileRecord {
        spec: ProfileSpec {
            name: format!("profile-{number}"),
            target: ProfileTarget::Model {
                model: format!("model-{}", number % 18),
                layers: LAYERS,
                max_tokens: 512,
            },
        },
        operator: "ana".into(),
        accepted_ms: 1_700_000_000_000,
        write_id: format!("{:032x}", revision),
    };
    ConfigItem {
        key: format!("{PROFILE_PREFIX}profile-{number}"),
        revision,
        value: serde_json::to_vec(&record).unwrap_or_default(),
    }
}

/// Applies a configuration of `profiles` profiles and `teams` teams at revision 1.
fn apply_config(entry_state: &mut EntryState, profiles: u32, teams: u32) {
    let mut items: Vec<ConfigItem> = (0..profiles)
        .map(|number| profile_item(number, 1))
        .collect();
    items.extend((0..teams).map(|number| {
        ConfigItem {
            key: format!("{TEAM_PREFIX}team-{number}"),
            revision: 1,
            value: serde_json::to_vec(&TeamRecord {
                token_hash: token_hash(&format!("token-{number}")),
                in_flight_limit: 10_000,
            })
            .unwrap_or_default(),
        }
    }));
    let now = ClockTime(1_000);
    entry_state.handle(
        now,
        EntryInput::Config {
            after: 0,
            complete_to: 1,
            items,
        },
    );
}

/// Measures the memory of an entry for `count` requests in flight, with prompts of 2000 bytes.
pub fn request_scaling(count: u32) -> Vec<ScalingPoint> {
    let mut entry_state = new_entry_state();
    for replica in 0..432 {
        entry_state.handle(ClockTime(1), heartbeat_input(replica, 1));
    }
    apply_config(&mut entry_state, 18, 1);
    let bytes_before = allocated_bytes();
    for number in 0..count {
        let request = caller_request(number, &format!("profile-{}", number % 18));
        black_box(entry_state.handle(ClockTime(1_000), EntryInput::Caller(request)));
    }
    let memory_kib = allocated_bytes().saturating_sub(bytes_before) / 1024;
    assert_eq!(entry_state.in_flight(), count as usize);
    vec![ScalingPoint {
        parameter: "requests",
        count,
        quantity: "memory",
        value: memory_kib as f64,
        unit: "KiB",
    }]
}

/// Measures the memory of a partition owner's journal with `count` idempotency keys, each with a
/// response of 100 bytes.
pub fn journal_scaling(count: u32) -> Vec<ScalingPoint> {
    let bytes_before = allocated_bytes();
    let mut journal = PartitionJournal::load("s", 0, 1, 1, &[]);
    let mut context = AgentContext::default();
    for number in 0..count {
        let hash = key_hash("team", &number.to_string());
        journal.record_intent(&hash, vec![0; 16], u64::from(number), 1_000);
        let response = ServiceResponse {
            status: 200,
            content_type: "application/json".into(),
            body: Some(vec![b'x'; 100]),
        };
        journal.record_response(&hash, response, 1_000);
        while let Some(write) = journal.write_next(&mut context) {
            let platform_response = PlatformResponse::Txn {
                succeeded: true,
                revision: 1,
                items: Vec::new(),
            };
            black_box(journal.handle_response(ClockTime(1), write, &Ok(platform_response)));
            context.outputs.clear();
        }
    }
    let memory_kib = allocated_bytes().saturating_sub(bytes_before) / 1024;
    vec![ScalingPoint {
        parameter: "keys",
        count,
        quantity: "memory",
        value: memory_kib as f64,
        unit: "KiB",
    }]
}

/// Measures memory and time per change of an entry with `count` configuration keys, of which a
/// tenth are profiles and the rest teams.
pub fn config_scaling(count: u32) -> Vec<ScalingPoint> {
    let bytes_before = allocated_bytes();
    let mut entry_state = new_entry_state();
    apply_config(&mut entry_state, count / 10, count - count / 10);
    let memory_kib = allocated_bytes().saturating_sub(bytes_before) / 1024;
    let changes = 500;
    let started_at = Instant::now();
    for number in 0..changes {
        let revision = 2 + u64::from(number);
        let input = EntryInput::Config {
            after: revision - 1,
            complete_to: revision,
            items: vec![profile_item(number % (count / 10), revision)],
        };
        black_box(entry_state.handle(ClockTime(1_000), input));
    }
    let change_us = started_at.elapsed().as_secs_f64() * 1e6 / f64::from(changes);
    let change_bytes = profile_item(1, 1).value.len() as f64;
    let point = |quantity, value, unit| ScalingPoint {
        parameter: "config keys",
        count,
        quantity,
        value,
        unit,
    };
    vec![
        point("memory", memory_kib as f64, "KiB"),
        point("time per change", change_us, "us"),
        point("bytes of one change", change_bytes, "bytes"),
    ]
}
