//! Tests of the crashes that gateways count together against parts of prompts.

use std::net::SocketAddr;

use lynxcart::clock::ClockTime;
use lynxcart::fingerprint::RequestFingerprint;
use lynxcart::gateway::part_ledger::{
    PartCertainty, PartLedger, PartVerdict, PromptPart, SuspectRun, CONFIRMED_MS, PROBATION_MS,
    PROOF_MS, TRY_APART_MS,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// After the time from its start in which a gateway knows no part to be sound.
const NOW: ClockTime = ClockTime(1_000_000);
/// Step of the simulated time, milliseconds.
const STEP_MS: u64 = 50;
/// Part that crashes replicas.
const CRASHING: u128 = 0xbad;
/// First part of all prompts.
const FIRST: u128 = 0xa;

fn part(id: u128) -> PromptPart {
    PromptPart::new("model", id)
}

fn run(request: u64, ids: &[u128]) -> SuspectRun {
    let fingerprint = RequestFingerprint::of(&[&request.to_le_bytes()]);
    SuspectRun {
        fingerprint,
        parts: ids.iter().map(|id| part(*id)).collect(),
    }
}

fn replica(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(number).unwrap()], 80))
}

/// A ledger that has seen its first answer on these parts long ago.
fn warm_ledger(ids: &[u128]) -> PartLedger {
    let mut ledger = PartLedger::default();
    let parts: Vec<PromptPart> = ids.iter().map(|id| part(*id)).collect();
    ledger.record_proof(NOW - 20_000, &parts, NOW - 20_000);
    ledger
}

/// Crashes replicas 1 s apart under the runs, one after the other. Returns the time after them.
fn crash_under(ledger: &mut PartLedger, runs: &[SuspectRun]) -> ClockTime {
    let mut now = NOW;
    for (number, run) in runs.iter().enumerate() {
        ledger.record_crash(now, replica(number), run);
        now = now + 1_000;
    }
    now
}

#[test]
fn part_is_quarantined_at_the_third_crash_and_sound_company_is_not() {
    struct Case {
        name: &'static str,
        runs: Vec<SuspectRun>,
        quarantined: &'static [u128],
    }
    let cases = [
        Case {
            name: "two crashes",
            runs: vec![run(1, &[FIRST, CRASHING]), run(2, &[FIRST, CRASHING])],
            quarantined: &[],
        },
        Case {
            name: "three requests that are no two alike",
            runs: (0..3)
                .map(|number| run(number, &[FIRST, 0x100 + u128::from(number), CRASHING]))
                .collect(),
            quarantined: &[CRASHING],
        },
        Case {
            name: "one request, which is counted against itself",
            runs: vec![run(1, &[FIRST, CRASHING]); 3],
            quarantined: &[],
        },
        Case {
            name: "one request three times, and another",
            runs: (0..4)
                .map(|number| run(number / 3, &[FIRST, CRASHING]))
                .collect(),
            quarantined: &[CRASHING],
        },
        Case {
            name: "parts that have nothing in common but the first",
            runs: (0..3)
                .map(|number| run(number, &[0x100 + u128::from(number)]))
                .collect(),
            quarantined: &[],
        },
    ];
    for case in cases {
        let mut ledger = warm_ledger(&[FIRST]);
        let now = crash_under(&mut ledger, &case.runs);
        let rulings = ledger.judge(now);
        let parts: Vec<PromptPart> = rulings.iter().map(|ruling| ruling.part).collect();
        let expected: Vec<PromptPart> = case.quarantined.iter().map(|id| part(*id)).collect();
        assert_eq!(parts, expected, "{}", case.name);
        assert_eq!(
            ledger.verdict(now, &[part(FIRST)]),
            PartVerdict::Open,
            "{}",
            case.name
        );
    }
}

#[test]
fn loss_of_many_replicas_at_once_quarantines_no_part_that_was_sound_before() {
    let mut ledger = warm_ledger(&[FIRST, 0xb]);
    for number in 0..12 {
        ledger.record_crash(NOW, replica(number), &run(number as u64, &[FIRST, 0xb]));
    }
    assert_eq!(ledger.judge(NOW + 1_000), []);
}

#[test]
fn gateway_that_was_paused_suspects_no_part_by_what_it_knew_before() {
    let mut ledger = warm_ledger(&[FIRST]);
    let crash = |ledger: &mut PartLedger, at: u64| {
        let number = (at / 1_000) as usize;
        let run = run(at, &[FIRST, CRASHING]);
        ledger.record_crash(NOW + at, replica(number), &run);
    };
    for at in (0..2_500).step_by(250) {
        if at == 0 || at == 1_000 {
            crash(&mut ledger, at);
        }
        assert_eq!(ledger.judge(NOW + at), []);
    }
    // It is suspended, and wakes to find that another replica is gone.
    crash(&mut ledger, 5_000);
    for at in (5_000..7_000).step_by(250) {
        assert_eq!(ledger.judge(NOW + at), [], "at {at}");
    }
    assert_eq!(
        ledger.verdict(NOW + 7_000, &[part(FIRST)]),
        PartVerdict::Open
    );
}

#[test]
fn peer_with_a_later_proof_does_not_heed_a_suspicion_and_refutes_it() {
    let (mut paused, mut peer) = (PartLedger::default(), warm_ledger(&[FIRST]));
    paused.record_proof(NOW - 90_000, &[], NOW - 90_000);
    let runs: Vec<SuspectRun> = (0..3).map(|number| run(number, &[FIRST])).collect();
    let now = crash_under(&mut paused, &runs);
    assert_eq!(paused.judge(now).len(), 1);
    // The answer began before the ruling and after the last crash.
    peer.record_proof(now, &[part(FIRST)], now - PROOF_MS);
    for report in paused.take_reports(now) {
        assert_eq!(peer.apply_report(now, &report), None);
    }
    assert_eq!(peer.verdict(now, &[part(FIRST)]), PartVerdict::Open);
    for report in peer.take_reports(now) {
        paused.apply_report(now, &report);
    }
    assert_eq!(paused.verdict(now, &[part(FIRST)]), PartVerdict::Open);
}

#[test]
fn quarantined_part_is_tried_once_and_then_cleared_or_confirmed() {
    for is_sound in [true, false] {
        let mut ledger = warm_ledger(&[FIRST]);
        let runs: Vec<SuspectRun> = (0..3)
            .map(|number| run(number, &[FIRST, CRASHING]))
            .collect();
        let mut now = crash_under(&mut ledger, &runs);
        ledger.judge(now);
        let parts = [part(FIRST), part(CRASHING)];
        assert_eq!(
            ledger.verdict(now, &parts),
            PartVerdict::Barred(PROBATION_MS)
        );
        now = now + PROBATION_MS;
        assert_eq!(ledger.verdict(now, &parts), PartVerdict::Probe);
        ledger.begin_probe(now, &parts);
        let second = ledger.verdict(now, &parts);
        assert!(matches!(second, PartVerdict::Barred(_)), "{second:?}");
        if is_sound {
            ledger.record_proof(now + 100 + PROOF_MS, &parts, now + 100);
            assert_eq!(ledger.verdict(now, &parts), PartVerdict::Open);
            continue;
        }
        for trial in 0..3 {
            ledger.record_crash(now + 100, replica(7), &run(7 + trial, &[FIRST, CRASHING]));
            now = now + 1_000;
            let rulings = ledger.judge(now);
            assert_eq!(rulings.len(), 1, "trial {trial}: {rulings:?}");
            assert_eq!(rulings[0].certainty, PartCertainty::Confirmed);
            assert_eq!(ledger.judge(now + 300), []);
            assert_eq!(
                ledger.verdict(now, &parts),
                PartVerdict::Barred(CONFIRMED_MS)
            );
            // Other requests with the first part go on.
            assert_eq!(ledger.verdict(now, &parts[..1]), PartVerdict::Open);
            now = now + CONFIRMED_MS;
            assert_eq!(ledger.verdict(now, &parts), PartVerdict::Probe);
            ledger.begin_probe(now, &parts);
        }
    }
}

#[test]
fn parts_that_crashed_together_are_tried_apart() {
    let mut ledger = warm_ledger(&[]);
    let runs: Vec<SuspectRun> = (0..3)
        .map(|number| run(number, &[FIRST, CRASHING]))
        .collect();
    let mut now = crash_under(&mut ledger, &runs);
    assert_eq!(ledger.judge(now).len(), 2);
    now = now + PROBATION_MS;
    let parts = [part(FIRST), part(CRASHING)];
    // A request with one of them shows more than one with both, whose crash tells nothing apart.
    assert_eq!(ledger.verdict(now, &parts[..1]), PartVerdict::Probe);
    assert_eq!(
        ledger.verdict(now, &parts),
        PartVerdict::Barred(TRY_APART_MS)
    );
    now = now + TRY_APART_MS;
    assert_eq!(ledger.verdict(now, &parts), PartVerdict::Probe);
    ledger.begin_probe(now, &parts);
    ledger.record_crash(now + 100, replica(7), &run(7, &[FIRST, CRASHING]));
    now = now + 10_000;
    assert_eq!(ledger.judge(now), []);
    let verdict = ledger.verdict(now, &parts);
    assert!(matches!(verdict, PartVerdict::Barred(_)), "{verdict:?}");
    assert_eq!(ledger.verdict(now, &parts[..1]), PartVerdict::Probe);
    ledger.record_proof(now + PROOF_MS, &parts[..1], now);
    let rulings = ledger.judge(now + PROOF_MS);
    assert_eq!(rulings.len(), 1, "{rulings:?}");
    assert_eq!(
        (rulings[0].part, rulings[0].certainty),
        (part(CRASHING), PartCertainty::Confirmed)
    );
}

#[test]
fn callers_that_send_ever_new_parts_fill_no_table_and_hide_no_crash() {
    let mut ledger = warm_ledger(&[FIRST]);
    let mut now = NOW;
    for crash in 0..3_u64 {
        for request in 0..300_u64 {
            let number = u128::from(crash * 300 + request);
            let new: Vec<u128> = (0..16).map(|part| 0x1000 + 16 * number + part).collect();
            ledger.record_crash(now, replica(crash as usize), &run(request, &new));
            let proved: Vec<PromptPart> = new.iter().map(|id| part(*id << 64)).collect();
            ledger.record_proof(now, &proved, now);
        }
        let crashing = run(1_000 + crash, &[FIRST, CRASHING]);
        ledger.record_crash(now, replica(crash as usize), &crashing);
        now = now + 1_000;
        let first = &ledger.take_reports(now)[0];
        assert!(ledger.take_reports(now).len() <= 64);
        assert!(
            crash == 0 || first.part == part(CRASHING).to_string(),
            "{crash}: {first:?}"
        );
    }
    assert!(ledger.len() <= 16_384 + 8_192);
    let rulings = ledger.judge(now);
    let parts: Vec<PromptPart> = rulings.iter().map(|ruling| ruling.part).collect();
    assert_eq!(parts, [part(CRASHING)]);
}

/// A request at a replica of a [`Fleet`].
struct FleetRun {
    gateway: usize,
    replica: usize,
    run: SuspectRun,
    sent_at: ClockTime,
    is_proved: bool,
    has_retry: bool,
}

/// Gateways with a ledger each, and replicas that crash under one part.
struct Fleet {
    rng: Pcg64Mcg,
    now: ClockTime,
    ledgers: Vec<PartLedger>,
    /// Until when a gateway gets and sends no reports.
    cut_until: Vec<ClockTime>,
    /// When a gateway was last cut off or restarted.
    disturbed_at: Vec<ClockTime>,
    down_until: Vec<ClockTime>,
    runs: Vec<FleetRun>,
    crashes: Vec<ClockTime>,
    next_request: u64,
}

/// Time from sending a request to its first event, milliseconds.
const PREFILL_MS: u64 = 100;
/// Time from the first event to the crash, or to the end of a sound answer, milliseconds.
const CRASH_MS: u64 = 100;
const ANSWER_MS: u64 = 1_200;
/// Time for which a replica is down, milliseconds.
const DOWN_MS: u64 = 3_000;

impl Fleet {
    fn new(seed: u64) -> Fleet {
        Fleet {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: NOW,
            ledgers: vec![PartLedger::default(); 4],
            cut_until: vec![ClockTime(0); 4],
            disturbed_at: vec![ClockTime(0); 4],
            down_until: vec![ClockTime(0); 12],
            runs: Vec::new(),
            crashes: Vec::new(),
            next_request: 0,
        }
    }

    /// Sends a request through a gateway. Returns whether it reached a replica.
    fn send(&mut self, gateway: usize, run: SuspectRun, has_retry: bool) -> bool {
        let ledger = &mut self.ledgers[gateway];
        match ledger.verdict(self.now, &run.parts) {
            PartVerdict::Barred(_) => return false,
            PartVerdict::Probe => ledger.begin_probe(self.now, &run.parts),
            PartVerdict::Open => {}
        }
        let up: Vec<usize> = (0..self.down_until.len())
            .filter(|replica| self.down_until[*replica] <= self.now)
            .collect();
        if up.is_empty() {
            return false;
        }
        let replica = up[self.rng.random_range(0..up.len())];
        self.runs.push(FleetRun {
            gateway,
            replica,
            run,
            sent_at: self.now,
            is_proved: false,
            has_retry,
        });
        true
    }

    fn new_run(&mut self, ids: &[u128]) -> SuspectRun {
        self.next_request += 1;
        run(self.next_request, ids)
    }

    /// Moves the time on by a step: answers go on, replicas crash, gateways report.
    fn step(&mut self) {
        self.now = self.now + STEP_MS;
        let now = self.now;
        let mut crashed = Vec::new();
        for run in &mut self.runs {
            let began_at = run.sent_at + PREFILL_MS;
            if run.run.parts.contains(&part(CRASHING)) {
                if now >= began_at + CRASH_MS && !crashed.contains(&run.replica) {
                    crashed.push(run.replica);
                }
            } else if now >= began_at + PROOF_MS && !run.is_proved {
                run.is_proved = true;
                self.ledgers[run.gateway].record_proof(now, &run.run.parts, began_at);
            }
        }
        for replica in &crashed {
            self.crashes.push(now);
            self.down_until[*replica] = now + DOWN_MS;
        }
        let is_over = |run: &FleetRun| now >= run.sent_at + PREFILL_MS + ANSWER_MS;
        let (ended, running): (Vec<FleetRun>, Vec<FleetRun>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| crashed.contains(&run.replica) || is_over(run));
        self.runs = running;
        for run in ended {
            if !crashed.contains(&run.replica) {
                continue;
            }
            if !run.is_proved {
                let ledger = &mut self.ledgers[run.gateway];
                ledger.record_crash(now, replica(run.replica), &run.run);
            }
            if run.has_retry {
                self.send(run.gateway, run.run, false);
            }
        }
        if now.0 % 250 == 0 {
            self.exchange();
        }
    }

    fn exchange(&mut self) {
        for from in 0..self.ledgers.len() {
            self.ledgers[from].set_probe_rank(from);
            self.ledgers[from].judge(self.now);
            let reports = self.ledgers[from].take_reports(self.now);
            for to in 0..self.ledgers.len() {
                let is_cut = self.cut_until[from] > self.now || self.cut_until[to] > self.now;
                for report in &reports {
                    if to != from && !is_cut && self.rng.random_bool(0.9) {
                        self.ledgers[to].apply_report(self.now, report);
                    }
                }
            }
        }
    }

    /// Restarts a gateway, which keeps only what the store has, or cuts it off from the others.
    fn disturb(&mut self, gateway: usize) {
        self.disturbed_at[gateway] = self.now;
        if self.rng.random_bool(0.5) {
            self.cut_until[gateway] = self.now + 2_000;
            return;
        }
        self.ledgers[gateway] = PartLedger::default();
        let ledgers = &self.ledgers;
        let mut verdicts = ledgers
            .iter()
            .map(|ledger| ledger.verdict(self.now, &[part(CRASHING)]));
        if verdicts.any(|verdict| verdict != PartVerdict::Open) {
            let certainty = PartCertainty::Suspected;
            self.ledgers[gateway].quarantine(self.now, part(CRASHING), certainty);
        }
        self.runs.retain(|run| run.gateway != gateway);
    }
}

#[test]
fn gateways_together_stop_a_crashing_part_and_serve_the_sound_beside_it() {
    for seed in 0..60 {
        let mut fleet = Fleet::new(seed);
        let (mut late, mut sound, mut sent) = (0, 0, 0);
        for step in 0..600_u64 {
            fleet.step();
            if fleet.rng.random_bool(0.004) {
                let gateway = fleet.rng.random_range(0..4);
                fleet.disturb(gateway);
            }
            let fifth = fleet.crashes.get(4).copied();
            let ids = [FIRST, 0x100 + fleet.rng.random_range(0..20)];
            for _ in 0..2 {
                let gateway = fleet.rng.random_range(0..4);
                let run = fleet.new_run(&ids);
                let is_up = fleet.down_until.iter().any(|until| *until <= fleet.now);
                let is_served = fleet.send(gateway, run, true);
                if is_up && fifth.is_some_and(|fifth| fleet.now > fifth + 6_000) {
                    sent += 1;
                    sound += u32::from(is_served);
                }
            }
            if step > 100 && fleet.rng.random_bool(0.15) {
                let gateway = fleet.rng.random_range(0..4);
                let run = fleet.new_run(&[FIRST, CRASHING]);
                let is_in_touch = fleet.now > fleet.disturbed_at[gateway] + 5_000;
                let arrived = fleet.send(gateway, run, true);
                let is_late = fifth.is_some_and(|fifth| fleet.now > fifth + 3_000);
                late += u32::from(arrived && is_late && is_in_touch);
            }
        }
        assert!(fleet.crashes.len() >= 3, "seed {seed}: no crashes");
        assert!(late <= 3, "seed {seed}: {late} late arrivals");
        assert!(
            2 * sound >= sent,
            "seed {seed}: {sound} of {sent} sound ones sent"
        );
    }
}
