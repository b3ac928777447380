//! Tests of the crashes that gateways count together against a request.

use std::net::SocketAddr;

use lynxcart::clock::ClockTime;
use lynxcart::fingerprint::RequestFingerprint;
use lynxcart::gateway::crash_ledger::{CrashLedger, CrashSeries, MAX_CRASHES, QUARANTINE_MS};
use lynxcart::gateway::part_ledger::ReplicaEnd;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const NOW: ClockTime = ClockTime(1_000_000);

fn replica(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

/// Records a crash under the first attempt of a request that was sent just now.
fn crash_once(
    ledger: &mut CrashLedger,
    now: ClockTime,
    fingerprint: RequestFingerprint,
    replica: SocketAddr,
    observation: u64,
) -> Option<usize> {
    let mut series = CrashSeries::default();
    ledger.record_crash(now, fingerprint, &mut series, replica, observation)
}

fn request(number: u64) -> RequestFingerprint {
    RequestFingerprint::of(&[b"mill", b"POST", b"/x", &number.to_le_bytes()])
}

/// Sends all that `from` has to report to the others, some of it twice and in any order.
fn exchange(ledgers: &mut [CrashLedger], from: usize, now: ClockTime, rng: &mut Pcg64Mcg) {
    let mut reports = ledgers[from].take_reports(now);
    reports.extend(reports.clone());
    reports.shuffle(rng);
    for (number, ledger) in ledgers.iter_mut().enumerate() {
        if number != from {
            for report in &reports {
                ledger.apply_report(now + rng.random_range(0..200), report);
            }
        }
    }
}

#[test]
fn request_that_died_beside_the_cause_is_released() {
    let mut ledger = CrashLedger::default();
    let mut now = NOW;
    let mut ends = Vec::new();
    for number in 0..3 {
        crash_once(&mut ledger, now, request(1), replica(number), number.into());
        let replica = replica(number);
        ends.push(ReplicaEnd {
            replica,
            at: now + 200,
        });
        now = now + 2_000;
    }
    assert!(ledger.quarantine_ms(now, request(1)).is_some());
    assert_eq!(ledger.forgive(now, &ends), [request(1)]);
    assert_eq!(ledger.quarantine_ms(now, request(1)), None);
    // Peers that repeat the quarantine do not bring it back.
    let mut peer = CrashLedger::default();
    peer.quarantine(now, request(1), QUARANTINE_MS);
    for report in peer.take_reports(now) {
        ledger.apply_report(now, &report);
    }
    assert_eq!(ledger.quarantine_ms(now, request(1)), None);
    for report in ledger.take_reports(now) {
        peer.apply_report(now, &report);
    }
    assert_eq!(peer.quarantine_ms(now, request(1)), None);
}

#[test]
fn gateways_quarantine_together_at_the_third_crash_wherever_each_was_seen() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut ledgers = vec![CrashLedger::default(); 4];
        let mut now = NOW;
        for crash in 0..MAX_CRASHES {
            let all_open = ledgers
                .iter()
                .all(|ledger| ledger.quarantine_ms(now, request(1)).is_none());
            assert!(all_open, "seed {seed}: quarantined after {crash} crashes");
            // Two requests with the same fingerprint may run at a replica when it crashes.
            for _ in 0..rng.random_range(1..3) {
                let observer = rng.random_range(0..ledgers.len());
                let replica = replica(u8::try_from(crash).unwrap());
                crash_once(
                    &mut ledgers[observer],
                    now,
                    request(1),
                    replica,
                    rng.random(),
                );
                crash_once(
                    &mut ledgers[observer],
                    now,
                    request(2),
                    replica,
                    rng.random(),
                );
            }
            now = now + rng.random_range(1..3_000);
            for from in 0..ledgers.len() {
                exchange(&mut ledgers, from, now, &mut rng);
            }
            ledgers[0].record_completion(now, request(2));
            exchange(&mut ledgers, 0, now, &mut rng);
            now = now + 300;
        }
        for ledger in &ledgers {
            let remaining_ms = ledger.quarantine_ms(now, request(1));
            assert!(
                remaining_ms.is_some_and(|ms| ms > QUARANTINE_MS - 12_000),
                "seed {seed}"
            );
            assert_eq!(ledger.quarantine_ms(now, request(2)), None, "seed {seed}");
            let later = now + QUARANTINE_MS;
            assert_eq!(ledger.quarantine_ms(later, request(1)), None, "seed {seed}");
        }
    }
}

#[test]
fn copies_of_one_report_that_arrive_late_do_not_add_up_to_a_quarantine() {
    let mut observer = CrashLedger::default();
    crash_once(&mut observer, NOW, request(1), replica(1), 7);
    let reports = observer.take_reports(NOW);
    let mut held_up = CrashLedger::default();
    for delay_ms in [0, 1_400, 2_900, 4_000] {
        held_up.apply_report(NOW + delay_ms, &reports[0]);
    }
    assert_eq!(
        crash_once(&mut held_up, NOW + 9_000, request(1), replica(1), 8),
        Some(2)
    );
}

#[test]
fn gateway_that_starts_later_learns_of_quarantined_requests() {
    let mut known = CrashLedger::default();
    for number in 0..10 {
        for crash in 0..3 {
            crash_once(
                &mut known,
                NOW,
                request(number),
                replica(crash),
                number * 3 + u64::from(crash),
            );
        }
    }
    let mut now = NOW;
    // Those that were there heard all of it.
    for _ in 0..40 {
        now = now + 250;
        known.take_reports(now);
    }
    let mut started = CrashLedger::default();
    for _ in 0..4 {
        now = now + 250;
        for report in known.take_reports(now) {
            started.apply_report(now, &report);
        }
    }
    for number in 0..10 {
        assert!(
            started.quarantine_ms(now, request(number)).is_some(),
            "{number}"
        );
    }
}

#[test]
fn ledger_stays_bounded_when_a_whole_fleet_is_lost() {
    let mut ledger = CrashLedger::default();
    for number in 0..50_000 {
        crash_once(&mut ledger, NOW, request(number), replica(1), number);
    }
    assert!(ledger.take_reports(NOW).len() <= 64);
    // What crashes replicas is told before the many that ran beside it.
    for crash in 2..4 {
        crash_once(
            &mut ledger,
            NOW,
            request(7),
            replica(crash),
            u64::from(crash),
        );
    }
    let reports = ledger.take_reports(NOW + 250);
    assert_eq!(reports[0].fingerprint, request(7).0);
    assert_eq!(ledger.quarantine_ms(NOW, request(7)), Some(QUARANTINE_MS));
}

#[test]
fn failure_of_several_replicas_at_once_does_not_quarantine_a_request_that_met_it() {
    struct Case {
        name: &'static str,
        /// When replicas crash under the request as sent first, and as resent.
        sends: &'static [&'static [u64]],
        quarantined: bool,
    }
    let cases = [
        Case {
            name: "three attempts in quick succession",
            sends: &[&[0, 150, 700]],
            quarantined: false,
        },
        Case {
            name: "and once more when it is resent",
            sends: &[&[0, 150, 700], &[4_000]],
            quarantined: false,
        },
        Case {
            name: "each attempt of each send",
            sends: &[&[0, 20], &[3_000, 3_020]],
            quarantined: true,
        },
        Case {
            name: "three sends at once",
            sends: &[&[0, 20], &[60], &[100]],
            quarantined: true,
        },
        Case {
            name: "a stream that lives long enough to meet three failures",
            sends: &[&[0, 2_000, 6_000]],
            quarantined: true,
        },
    ];
    for case in cases {
        let mut ledger = CrashLedger::default();
        let mut number = 0;
        for send in case.sends {
            let mut series = CrashSeries::default();
            for at in *send {
                number += 1;
                let replica = replica(number);
                ledger.record_crash(NOW + *at, request(1), &mut series, replica, number.into());
            }
            assert_eq!(
                series.is_exhausted(),
                send.len() >= MAX_CRASHES,
                "{}",
                case.name
            );
        }
        let quarantine_ms = ledger.quarantine_ms(NOW + 7_000, request(1));
        assert_eq!(quarantine_ms.is_some(), case.quarantined, "{}", case.name);
    }
}

#[test]
fn quarantine_from_the_store_is_passed_on_and_ends() {
    let mut started = CrashLedger::default();
    assert!(started.quarantine(NOW, request(1), QUARANTINE_MS));
    assert!(
        !started.quarantine(NOW, request(1), QUARANTINE_MS),
        "known already"
    );
    assert!(!started.observed_here(request(1)));
    let missing = |remaining_ms| started.quarantined(NOW, remaining_ms).count();
    assert_eq!((missing(QUARANTINE_MS), missing(QUARANTINE_MS + 1)), (1, 0));
    let mut other = CrashLedger::default();
    for report in started.take_reports(NOW) {
        assert_eq!(other.apply_report(NOW, &report), Some(request(1)));
    }
    assert_eq!(other.quarantine_ms(NOW, request(1)), Some(QUARANTINE_MS));
    assert_eq!(other.quarantine_ms(NOW + QUARANTINE_MS, request(1)), None);
}

#[test]
fn request_that_has_just_completed_is_not_quarantined_by_what_was_told_before() {
    let mut ledger = CrashLedger::default();
    for number in 0..3 {
        crash_once(&mut ledger, NOW, request(1), replica(number), number.into());
    }
    let told_before = ledger.take_reports(NOW);
    ledger.record_completion(NOW + 100, request(1));
    for report in &told_before {
        assert_eq!(ledger.apply_report(NOW + 200, report), None);
    }
    assert!(!ledger.quarantine(NOW + 300, request(1), QUARANTINE_MS));
    assert_eq!(ledger.quarantine_ms(NOW + 300, request(1)), None);
    // What crashes it later counts anew.
    let added = crash_once(&mut ledger, NOW + 400, request(1), replica(9), 9);
    assert_eq!(added, Some(1));
}
