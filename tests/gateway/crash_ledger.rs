//! Tests of the crashes that gateways count together against a request.

use std::net::SocketAddr;

use lynxcart::clock::ClockTime;
use lynxcart::fingerprint::RequestFingerprint;
use lynxcart::gateway::crash_ledger::{CrashLedger, MAX_CRASHES, QUARANTINE_MS};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const NOW: ClockTime = ClockTime(1_000_000);

fn replica(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
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
                ledgers[observer].record_crash(now, request(1), replica, rng.random());
                ledgers[observer].record_crash(now, request(2), replica, rng.random());
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
    observer.record_crash(NOW, request(1), replica(1), 7);
    let reports = observer.take_reports(NOW);
    let mut held_up = CrashLedger::default();
    for delay_ms in [0, 1_400, 2_900, 4_000] {
        held_up.apply_report(NOW + delay_ms, &reports[0]);
    }
    assert_eq!(
        held_up.record_crash(NOW + 9_000, request(1), replica(1), 8),
        Some(2)
    );
}

#[test]
fn gateway_that_starts_later_learns_of_quarantined_requests() {
    let mut known = CrashLedger::default();
    for number in 0..10 {
        for crash in 0..3 {
            known.record_crash(
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
        ledger.record_crash(NOW, request(number), replica(1), number);
    }
    assert!(ledger.take_reports(NOW).len() <= 64);
    // What crashes replicas is told before the many that ran beside it.
    for crash in 2..4 {
        ledger.record_crash(NOW, request(7), replica(crash), u64::from(crash));
    }
    let reports = ledger.take_reports(NOW + 250);
    assert_eq!(reports[0].fingerprint, request(7).0);
    assert_eq!(ledger.quarantine_ms(NOW, request(7)), Some(QUARANTINE_MS));
}
