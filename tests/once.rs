//! Non-idempotent operations run at most once, and an operation refused as `not_run` has not run,
//! under crashes, pauses, platform outages, lost responses, and messages that are lost, delayed,
//! duplicated and reordered.
//!
//! `LYNXCART_SEEDS=N cargo test --test once` runs N seeds, starting with `LYNXCART_SEED`.

mod world;

use std::collections::HashMap;

use lynxcart::entry::{AnswerEvent, CallerRequest, CallerWork, ServiceRequest};
use lynxcart::profile::{KeylessPolicy, ProfileSpec, ProfileTarget};
use lynxcart::verdict::RunVerdict;
use lynxcart::wire::RequestKey;
use rand::Rng;

use world::{seeds, World, WorldFaults, TOKEN};

const KEY_COUNT: u32 = 30;
const MAX_SENDS: u32 = 5;

fn operation(request_id: u128, idempotency_key: &str, body: &str) -> CallerRequest {
    CallerRequest {
        request_id: RequestKey(request_id),
        token: TOKEN.into(),
        profile: "custody".into(),
        allowed_ms: 3_000,
        caller_id: String::new(),
        trace: String::new(),
        work: CallerWork::Operation(ServiceRequest {
            idempotency_key: idempotency_key.into(),
            method: "POST".into(),
            path: "/issue".into(),
            content_type: "text/plain".into(),
            body: body.into(),
        }),
    }
}

fn world(seed: u64, faults: WorldFaults, services: usize) -> World {
    let mut world = World::new(seed, faults);
    world.add_entry();
    world.add_entry();
    (0..services).for_each(|_| world.add_service());
    world.configure(&[ProfileSpec {
        name: "custody".into(),
        target: ProfileTarget::Service {
            service: "s".into(),
            idempotent_paths: vec!["/lookup".into()],
            keyless: KeylessPolicy::Refuse,
        },
    }]);
    world.run_for(3_000);
    world
}

struct Caller {
    body: String,
    sends: u32,
    /// The request in flight.
    waiting: Option<RequestKey>,
    /// Whether the latest request was refused as `not_run`.
    refused_not_run: bool,
}

/// Runs one caller for each key, which sends its operation up to [`MAX_SENDS`] times under random
/// faults. Returns the numbers of operations answered and of operations run by the service.
fn random_run(seed: u64) -> (u32, u32) {
    let faults = WorldFaults {
        messages_lost: 20,
        messages_duplicated: 30,
        max_message_delay_ms: 40,
        platform_requests_lost: 60,
        max_service_delay_ms: 60,
        unknown_outcomes: 50,
        max_pass_ms: 1,
    };
    let mut world = world(seed, faults, 3);
    let mut callers: HashMap<u32, Caller> = HashMap::new();
    let mut next = 0;
    let mut answered = 0;
    for _ in 0..300 {
        inject_fault(&mut world);
        for number in 0..KEY_COUNT {
            let caller = callers.entry(number).or_insert_with(|| Caller {
                body: format!("body {number}"),
                sends: 0,
                waiting: None,
                refused_not_run: false,
            });
            if let Some(key) = caller.waiting {
                let Some(event) = world.final_event(key) else {
                    continue;
                };
                caller.waiting = None;
                let runs = world.runs.get(&caller.body).copied().unwrap_or(0);
                answered += check_event(seed, caller, event, runs);
            }
            if caller.sends < MAX_SENDS && world.rng.random_bool(0.1) {
                next += 1;
                caller.sends += 1;
                caller.refused_not_run = false;
                caller.waiting = Some(RequestKey(next));
                let entry = world.rng.random_range(0..2);
                let request = operation(next, &format!("key-{number}"), &caller.body);
                world.submit_request(entry, request);
            }
        }
        world.run_for(50);
    }
    world.outage = false;
    world.run_for(30_000);
    for caller in callers.values_mut() {
        let runs = world.runs.get(&caller.body).copied().unwrap_or(0);
        if let Some(key) = caller.waiting.take() {
            let event = world.final_event(key);
            let event = event.unwrap_or_else(|| panic!("seed {seed}: {key} has no answer"));
            answered += check_event(seed, caller, event, runs);
        }
        assert!(runs <= 1, "seed {seed}: {} ran {runs} times", caller.body);
        assert!(
            !(caller.refused_not_run && runs > 0),
            "seed {seed}: {} ran although its last refusal said not_run",
            caller.body
        );
    }
    let ran = world.runs.values().sum();
    (answered, ran)
}

fn inject_fault(world: &mut World) {
    let agent = world.rng.random_range(0..world.agents.len());
    match world.rng.random_range(0..200) {
        0..=2 => world.crash_and_restart_agent(agent),
        3..=5 => {
            let millis = world.rng.random_range(100..6_000);
            world.pause_agent(agent, millis);
        }
        6 => world.outage = true,
        7..=16 => world.outage = false,
        _ => {}
    }
}

fn check_event(seed: u64, caller: &mut Caller, event: &AnswerEvent, runs: u32) -> u32 {
    match event {
        AnswerEvent::Response(response) => {
            assert_eq!(runs, 1, "seed {seed}: {} was answered", caller.body);
            let body = format!("done {}", caller.body).into_bytes();
            assert_eq!(
                response.body, body,
                "seed {seed}: answered with the response to another operation"
            );
            1
        }
        AnswerEvent::Refused(refusal) => {
            caller.refused_not_run = refusal.verdict == RunVerdict::NotRun;
            assert!(
                !(caller.refused_not_run && runs > 0),
                "seed {seed}: {} was not_run ({}) but ran",
                caller.body,
                refusal.reason
            );
            0
        }
        AnswerEvent::Token { .. } | AnswerEvent::Done { .. } => unreachable!("no model here"),
    }
}

#[test]
fn at_most_once_in_random_runs() {
    let (mut answered, mut ran) = (0, 0);
    for seed in seeds(40) {
        let (a, r) = random_run(seed);
        answered += a;
        ran += r;
    }
    println!("answers {answered}, runs {ran}");
    // Runs that serve nothing would pass all checks above.
    assert!(answered > 0 && ran > 0);
}

#[test]
fn all_operations_are_served_without_faults() {
    let mut world = world(7, WorldFaults::none(), 3);
    for number in 0..100 {
        let request = operation(number, &format!("key-{number}"), &format!("body {number}"));
        world.submit_request((number % 2) as usize, request);
    }
    world.run_for(3_000);
    for number in 0..100 {
        let event = world.final_event(RequestKey(number));
        assert!(
            matches!(event, Some(AnswerEvent::Response(_))),
            "{number}: {event:?}"
        );
        assert_eq!(world.runs[&format!("body {number}")], 1);
    }
    // Group commit: 100 operations take far fewer writes than one for each step.
    assert!(
        world.store.transaction_count < 200,
        "{} writes",
        world.store.transaction_count
    );
}
