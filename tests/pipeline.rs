//! Simulation of requests to models: every layer runs once and in order for each token, and a
//! caller gets the complete answer to its own request, although agents crash and pause, and
//! messages are lost, delayed, duplicated and reordered.
//!
//! `LYNXCART_SEEDS=N cargo test --test pipeline` runs N seeds, starting at `LYNXCART_SEED`.

mod world;

use lynxcart::entry::{AnswerEvent, CallerRequest, CallerWork};
use lynxcart::profile::{ProfileSpec, ProfileTarget};
use lynxcart::verdict::RunVerdict;
use lynxcart::wire::RequestKey;
use rand::Rng;

use lynxcart::clock::ClockTime;
use lynxcart::entry::crash::{CrashTable, MAX_CRASHES};
use lynxcart::fingerprint::RequestFingerprint;
use lynxcart::verdict::RefusalReason;
use world::{expected_tokens, seeds, World, WorldFaults, CRASH_TEXT, MODEL, TOKEN};

const LAYERS: u32 = 12;
const TOKENS: u32 = 20;
/// Bound on the time until a stalled stream resumes (issue 3), in milliseconds.
const RESUME_MS: u64 = 2_000;

fn world(seed: u64, faults: WorldFaults, ranges: &[(u32, u32)]) -> World {
    let mut world = World::new(seed, faults);
    world.add_entry();
    world.add_entry();
    for (first, end) in ranges {
        world.add_engine(*first, *end, LAYERS);
    }
    world.configure(&[ProfileSpec {
        name: "chat".into(),
        target: ProfileTarget::Model {
            model: MODEL.into(),
            layers: LAYERS,
            max_tokens: 64,
        },
    }]);
    world.run_for(2_500);
    world
}

fn prompt(request_id: u128) -> String {
    format!("prompt {request_id}")
}

fn request(request_id: u128) -> CallerRequest {
    CallerRequest {
        request_id: RequestKey(request_id),
        token: TOKEN.into(),
        profile: "chat".into(),
        allowed_ms: 60_000,
        caller_id: String::new(),
        trace: String::new(),
        work: CallerWork::Generate {
            prompt: prompt(request_id),
            max_tokens: Some(TOKENS),
        },
    }
}

/// Checks the events of one answer. Returns whether the answer is complete.
fn check_answer(context: &str, request_id: u128, events: &[AnswerEvent]) -> bool {
    let expected = expected_tokens(LAYERS, &prompt(request_id), TOKENS);
    let mut token_count = 0;
    let mut last_event = None;
    for event in events {
        assert!(
            last_event.is_none(),
            "{context}: event after the end of the answer to {request_id}"
        );
        match event {
            AnswerEvent::Token { text } => {
                assert_eq!(
                    Some(text),
                    expected.get(token_count),
                    "{context}: {request_id}, token {token_count}"
                );
                token_count += 1;
            }
            other => last_event = Some(other),
        }
    }
    match last_event {
        Some(AnswerEvent::Done {
            token_count: reported_count,
            ..
        }) => {
            assert_eq!(
                (token_count, *reported_count),
                (expected.len(), TOKENS),
                "{context}: {request_id}"
            );
            true
        }
        Some(AnswerEvent::Refused(refusal)) => {
            let not_run = refusal.verdict == RunVerdict::NotRun;
            assert!(
                !(not_run && token_count > 0),
                "{context}: {request_id} is refused as not run after it has generated tokens"
            );
            false
        }
        other => panic!("{context}: the answer to {request_id} ended with {other:?}"),
    }
}

/// Layer ranges of the agents: two replicas of each third of the model, and three replicas whose
/// ranges are not aligned with the thirds.
const RANGES: [(u32, u32); 9] = [
    (0, 4),
    (0, 4),
    (4, 8),
    (4, 8),
    (8, 12),
    (8, 12),
    (0, 6),
    (6, 12),
    (4, 12),
];

/// Runs one seed with random faults. Returns the number of complete answers and of requests.
fn random_run(seed: u64) -> (u32, u32) {
    let faults = WorldFaults {
        messages_lost: 5,
        messages_duplicated: 20,
        max_message_delay_ms: 15,
        platform_requests_lost: 0,
        max_service_delay_ms: 0,
        unknown_outcomes: 0,
        max_pass_ms: 8,
    };
    let mut world = world(seed, faults, &RANGES);
    let mut request_count = 0;
    for _ in 0..200 {
        let agent = world.rng.random_range(0..world.agents.len());
        match world.rng.random_range(0..100) {
            0 => world.crash_and_restart_agent(agent),
            1 => {
                let millis = world.rng.random_range(50..4_000);
                world.pause_agent(agent, millis);
            }
            _ => {}
        }
        if world.rng.random_bool(0.3) {
            request_count += 1;
            let entry = world.rng.random_range(0..2);
            world.submit_request(entry, request(request_count));
        }
        world.run_for(25);
    }
    world.run_for(61_000);
    let mut complete = 0;
    for request_id in 1..=request_count {
        let events = &world.answers[&RequestKey(request_id)];
        complete += u32::from(check_answer(&format!("seed {seed}"), request_id, events));
    }
    (
        complete,
        u32::try_from(request_count).expect("the number of requests fits into u32"),
    )
}

#[test]
fn layers_run_once_in_random_runs() {
    let (mut complete, mut requests) = (0, 0);
    for seed in seeds(40) {
        let (run_complete, run_requests) = random_run(seed);
        complete += run_complete;
        requests += run_requests;
    }
    println!("complete answers: {complete} of {requests}");
    // Most requests can be served: one replica in nine is down at a time, seldom two.
    assert!(complete * 10 >= requests * 9, "{complete} of {requests}");
}

#[test]
fn a_lost_stage_is_replaced_and_the_answer_goes_on() {
    struct LossCase {
        agent: usize,
        restart: bool,
    }
    let cases = (0..6).flat_map(|agent| [false, true].map(|restart| LossCase { agent, restart }));
    for case in cases {
        for seed in 0..10 {
            let mut world = world(seed, WorldFaults::none(), &RANGES[..6]);
            for request_id in 1..=8 {
                world.submit_request(0, request(request_id));
            }
            // A pass takes up to 4 ms in each of three stages, so the answers are still in
            // progress.
            world.run_for(60);
            world.stop_agent(case.agent);
            if case.restart {
                world.run_for(20);
                world.restart_agent(case.agent);
            }
            world.run_for(RESUME_MS + 500);
            for request_id in 1..=8 {
                let context = format!("seed {seed}, agent {} stopped", case.agent);
                let events = &world.answers[&RequestKey(request_id)];
                assert!(
                    check_answer(&context, request_id, events),
                    "{context}: {request_id}: {:?}",
                    events.last()
                );
            }
        }
    }
}

#[test]
fn draining_agent_completes_its_requests_and_accepts_no_more() {
    let mut world = world(3, WorldFaults::none(), &RANGES[..6]);
    for request_id in 1..=8 {
        world.submit_request(0, request(request_id));
    }
    world.run_for(40);
    world.push_agent_input(0, lynxcart::agent::state::AgentInput::Drain);
    world.run_for(20);
    let in_flight = world.agents[0].state.in_flight();
    for request_id in 9..=16 {
        world.submit_request(1, request(request_id));
    }
    world.run_for(20);
    assert!(
        world.agents[0].state.in_flight() <= in_flight,
        "a draining agent accepted a new request"
    );
    world.run_for(2_000);
    assert!(world.agents[0].state.is_drained());
    for request_id in 1..=16 {
        assert!(check_answer(
            "drain",
            request_id,
            &world.answers[&RequestKey(request_id)]
        ));
    }
}

/// Returns the reason for which a request was refused; `None` if it was not refused.
fn refusal_reason(world: &World, request_id: u128) -> Option<RefusalReason> {
    match world.final_event(RequestKey(request_id)) {
        Some(AnswerEvent::Refused(refusal)) => Some(refusal.reason),
        _ => None,
    }
}

#[test]
fn request_that_crashes_engines_is_quarantined_and_others_complete() {
    for seed in 0..30 {
        let ranges = [(0, 4), (0, 4), (0, 4), (4, 8), (4, 8), (8, 12), (8, 12)];
        let mut world = world(seed, WorldFaults::none(), &ranges);
        for request_id in 1..=12 {
            world.submit_request((request_id % 2) as usize, request(request_id));
        }
        world.run_for(40);
        let mut crashing = request(100);
        crashing.work = CallerWork::Generate {
            prompt: CRASH_TEXT.into(),
            max_tokens: Some(TOKENS),
        };
        world.submit_request(0, crashing.clone());
        let sent_at = world.now;
        while world.final_event(RequestKey(100)).is_none() && world.now.since(sent_at) < 8_000 {
            world.run_for(1);
        }
        let quarantined = Some(RefusalReason::Quarantined);
        assert_eq!(refusal_reason(&world, 100), quarantined, "seed {seed}");
        // Resent at once through the other entry, whose messages are delayed, it must not reach an
        // engine.
        crashing.request_id = RequestKey(101);
        world.submit_request(1, crashing.clone());
        world.run_for(5);
        assert_eq!(refusal_reason(&world, 101), quarantined, "seed {seed}");
        world.run_for(8_000);
        assert!(
            world.engine_crashes <= MAX_CRASHES,
            "seed {seed}: {}",
            world.engine_crashes
        );
        for request_id in 1..=12 {
            let context = format!("seed {seed}, concurrent with a crashing request");
            let events = &world.answers[&RequestKey(request_id)];
            assert!(
                check_answer(&context, request_id, events),
                "{context}: {request_id}: {:?}",
                events.last()
            );
        }
        for resend in 102..=104 {
            crashing.request_id = RequestKey(resend);
            world.submit_request((resend % 2) as usize, crashing.clone());
            world.run_for(500);
            assert_eq!(refusal_reason(&world, resend), quarantined, "seed {seed}");
        }
        assert!(
            world.engine_crashes <= MAX_CRASHES,
            "seed {seed}: {}",
            world.engine_crashes
        );
    }
}

#[test]
fn quarantine_does_not_affect_another_team_with_the_same_prompt() {
    let mut crash_table = CrashTable::default();
    let now = ClockTime(1);
    let crashing = RequestFingerprint::of(&[b"a", b"m", b"text"]);
    for _ in 0..MAX_CRASHES {
        crash_table.add_crash(now, crashing);
    }
    assert!(crash_table.quarantine_ms(now, crashing).is_some());
    for (team, model, prompt) in [("b", "m", "text"), ("a", "n", "text"), ("a", "m", "other")] {
        let other = RequestFingerprint::of(&[team.as_bytes(), model.as_bytes(), prompt.as_bytes()]);
        assert_eq!(crash_table.quarantine_ms(now, other), None);
    }
    let later = now + lynxcart::entry::crash::QUARANTINE_MS;
    assert_eq!(crash_table.quarantine_ms(later, crashing), None);
}
