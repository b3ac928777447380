//! Tests of what the silence of replicas shows of the requests that they were running.

use std::io;
use std::sync::PoisonError;

use lynxcart::clock::ClockTime;
use lynxcart::fetch::{is_refused, is_silenced};
use lynxcart::fingerprint::RequestFingerprint;
use lynxcart::gateway::crash_ledger::{SharedSeries, MAX_CRASHES};
use lynxcart::gateway::part_ledger::{PromptPart, SuspectRun};
use lynxcart::gateway::silence::{
    ask_timeout_ms, judge_silence, AskOutcome, CrashMark, SilenceVerdict, SilentRun,
    ASK_TIMEOUT_MS, MAX_SOUND_SILENCE_MS,
};
use lynxcart::gateway::state::GatewayState;
use lynxcart::gateway::upstream::{UpstreamEntry, UpstreamKey};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::fixture::placed_fleet;

const NOW: ClockTime = ClockTime(1_000_000);
/// Longest silence of a sound replica, milliseconds: a second or so.
const SOUND_MS: u64 = 1_500;
/// Time from a crash after which its request may reach few more replicas, milliseconds.
const CONTACT_MS: u64 = 3_000;

fn request(number: u8) -> RequestFingerprint {
    RequestFingerprint([number; 16])
}

/// The state of a gateway with the users' fleet.
fn state() -> GatewayState {
    let mut state = crate::state::state();
    state.upstreams = placed_fleet().1;
    state
}

fn run_of(fingerprint: RequestFingerprint, series: &SharedSeries, observation: u64) -> SilentRun {
    SilentRun {
        suspect: SuspectRun {
            fingerprint,
            parts: vec![PromptPart::new("model", 1)],
        },
        series: series.clone(),
        mark: CrashMark::default(),
        may_be_cause: true,
        observation,
    }
}

fn keys(state: &GatewayState, count: usize) -> Vec<UpstreamKey> {
    state
        .upstreams
        .iter()
        .map(|(key, _)| key)
        .take(count)
        .collect()
}

/// Has a silent replica asked until its silence is judged, as a gateway does. It answers queries from
/// `answers_at` on. Returns when and how the silence was judged.
fn judge(
    since: ClockTime,
    mut asked_at: ClockTime,
    answers_at: ClockTime,
) -> (ClockTime, SilenceVerdict) {
    loop {
        let timed_out_at = asked_at + ask_timeout_ms(since, asked_at);
        let (now, outcome) = match answers_at <= timed_out_at {
            true => (answers_at.max(asked_at), AskOutcome::Answered),
            false => (timed_out_at, AskOutcome::Silent),
        };
        match judge_silence(since, asked_at, now, outcome) {
            SilenceVerdict::Open => asked_at = now,
            verdict => return (now, verdict),
        }
    }
}

#[test]
fn silence_of_a_second_or_so_is_no_crash_and_a_longer_one_is_found_in_time() {
    for seed in 0..1_000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // The first query meets the silence some time after its start, and work is moved later.
        let since = NOW + rng.random_range(0..450);
        let asked_at = since + rng.random_range(0..600);
        let length = rng.random_range(500..=SOUND_MS);
        let (_, verdict) = judge(since, asked_at, NOW + length);
        assert_eq!(verdict, SilenceVerdict::Sound, "seed {seed}: {length} ms");
        let (judged_at, verdict) = judge(since, asked_at, ClockTime::NEVER);
        assert_eq!(verdict, SilenceVerdict::Ended, "seed {seed}");
        assert!(judged_at.since(NOW) <= CONTACT_MS, "seed {seed}");
        assert!(
            judged_at.since(since) >= MAX_SOUND_SILENCE_MS,
            "seed {seed}"
        );
    }
}

#[test]
fn query_during_which_the_gateway_was_suspended_shows_no_silence() {
    let asked_at = NOW + 500;
    let resumed_at = asked_at + 10 * MAX_SOUND_SILENCE_MS;
    let outcome = AskOutcome::Silent;
    assert_eq!(
        judge_silence(NOW, asked_at, resumed_at, outcome),
        SilenceVerdict::Open
    );
    let timed_out_at = resumed_at + ASK_TIMEOUT_MS;
    assert_eq!(
        judge_silence(NOW, resumed_at, timed_out_at, outcome),
        SilenceVerdict::Ended
    );
}

#[test]
fn replica_that_cannot_be_asked_or_resets_queries_is_not_taken_for_dead() {
    let due = NOW + MAX_SOUND_SILENCE_MS;
    let judge = |now| judge_silence(NOW, now, now, AskOutcome::Unclear);
    assert_eq!(judge(NOW + 100), SilenceVerdict::Open);
    assert_eq!(judge(due), SilenceVerdict::Unclear);
}

#[test]
fn silences_that_end_with_an_answer_are_counted_against_no_request() {
    let mut state = state();
    let keys = keys(&state, 8);
    let series = SharedSeries::default();
    for (number, key) in (0..).zip(keys) {
        let run = run_of(request(1), &series, number);
        assert!(state.record_silence(NOW, key, Some(run), || 0));
        assert!(state.record_answer(NOW + SOUND_MS, key).is_some());
        assert_eq!(state.blame_silent(key, NOW + SOUND_MS), []);
    }
    assert_eq!(state.crashes.quarantine_ms(NOW, request(1)), None);
    assert_eq!(state.parts.len(), 0);
    assert_eq!(state.silences.open_ends(&series), 0);
    assert!(!series
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .is_exhausted());
}

#[test]
fn replica_that_answers_after_a_silence_is_used_again_at_once() {
    let mut state = state();
    let key = keys(&state, 1)[0];
    let mut now = NOW;
    for number in 0..6 {
        state.upstreams.suspect(now, key);
        let run = run_of(request(1), &SharedSeries::default(), number);
        state.record_silence(now, key, Some(run), || 0);
        assert!(!state.upstreams.get(key).usable(now));
        now = now + 600;
        assert!(state.record_answer(now, key).is_some());
        assert!(state.upstreams.get(key).usable(now), "silence {number}");
        now = now + 100;
    }
    // One that others report as dead may be cut off from them.
    state.upstreams.report_dead(now, key);
    let run = run_of(request(1), &SharedSeries::default(), 7);
    state.record_silence(now, key, Some(run), || 0);
    state.record_answer(now + 600, key);
    assert!(!state.upstreams.get(key).usable(now + 600));
}

#[test]
fn request_is_quarantined_once_as_many_of_its_silent_replicas_have_ended() {
    let mut state = state();
    let mut now = NOW;
    for (number, key) in (0..).zip(keys(&state, MAX_CRASHES)) {
        assert_eq!(state.crashes.quarantine_ms(now, request(1)), None);
        // Its caller sends it again each time.
        let series = SharedSeries::default();
        let run = run_of(request(1), &series, number);
        let other = run_of(request(2), &SharedSeries::default(), 100 + number);
        assert!(state.record_silence(now, key, Some(run), || 0));
        assert!(!state.record_silence(now + 50, key, Some(other), || 0));
        // The other request completes elsewhere.
        state.silences.forget_request(request(2));
        let blamed = state.blame_silent(key, now);
        assert_eq!(blamed.len(), 1);
        assert_eq!(blamed[0].fingerprint, request(1));
        now = now + CONTACT_MS;
    }
    assert!(state.crashes.quarantine_ms(now, request(1)).is_some());
    assert_eq!(state.crashes.quarantine_ms(now, request(2)), None);
}

#[test]
fn replicas_that_go_dark_together_count_once_against_a_request_that_met_them_all() {
    let mut state = state();
    let series = SharedSeries::default();
    let keys = keys(&state, MAX_CRASHES);
    for (number, key) in (0_u64..).zip(&keys) {
        let run = run_of(request(1), &series, number);
        state.record_silence(NOW + 300 * number, *key, Some(run), || 0);
        assert_eq!(state.silences.open_ends(&series) as u64, number + 1);
    }
    for (number, key) in (0_u64..).zip(&keys) {
        assert_eq!(state.blame_silent(*key, NOW + 300 * number).len(), 1);
    }
    assert_eq!(state.crashes.quarantine_ms(NOW, request(1)), None);
}

#[test]
fn crash_that_is_seen_twice_counts_once() {
    let mut state = state();
    let key = keys(&state, 1)[0];
    let run = run_of(request(1), &SharedSeries::default(), 1);
    let mark = run.mark.clone();
    state.record_silence(NOW, key, Some(run), || 0);
    assert!(state.silences.is_open(&mark));
    // The connection was reset meanwhile.
    assert!(mark.set());
    assert_eq!(state.blame_silent(key, NOW), []);
    assert!(!state.silences.is_open(&mark));
}

#[test]
fn crash_long_before_a_silence_is_not_its_end() {
    let mut state = state();
    let key = keys(&state, 1)[0];
    let run = run_of(request(1), &SharedSeries::default(), 1);
    state.record_silence(NOW, key, Some(run), || 0);
    assert_eq!(state.blame_silent(key, NOW - 5_000), []);
    assert_eq!(state.blame_silent(key, NOW + 100).len(), 1);
}

#[test]
fn request_whose_caller_left_is_blamed_for_the_end_of_its_silent_replica() {
    let mut state = state();
    let key = keys(&state, 1)[0];
    let entry: UpstreamEntry = state.upstreams.get(key).entry.clone();
    let run = run_of(request(1), &SharedSeries::default(), 1).suspect;
    state.abandoned.record(NOW, entry.address, run);
    assert!(state.record_silence(NOW + 400, key, None, || 7));
    assert_eq!(state.blame_silent(key, NOW + 2_400).len(), 1);
}

#[test]
fn connection_that_the_kernel_gave_up_is_told_apart_from_a_refused_one() {
    let error = |kind| eyre::Report::new(io::Error::from(kind)).wrap_err("could not connect");
    let silenced = error(io::ErrorKind::TimedOut);
    assert!(is_silenced(silenced.as_ref()) && !is_refused(silenced.as_ref()));
    let refused = error(io::ErrorKind::ConnectionRefused);
    assert!(is_refused(refused.as_ref()) && !is_silenced(refused.as_ref()));
    let reset = error(io::ErrorKind::ConnectionReset);
    assert!(!is_refused(reset.as_ref()) && !is_silenced(reset.as_ref()));
}
