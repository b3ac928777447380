//! Tests of the room that is held back for urgent requests.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::chain::{choose_chain, ChainHop, ChainQuery, MAX_FILL};
use lynxcart::gateway::peer::PeerTable;
use lynxcart::gateway::upstream::UpstreamTable;
use lynxcart::gateway::urgent_reserve::UrgentReserve;
use lynxcart::wire::gen::RoomDemand;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::fixture::{engine, placed_fleet, SERVICE};

const NOW: ClockTime = ClockTime(100_000);

fn demand(priority: u32, tokens_per_second: u32) -> RoomDemand {
    RoomDemand {
        service: SERVICE.to_owned(),
        priority,
        tokens_per_second,
    }
}

#[test]
fn what_the_more_urgent_ask_for_until_all_know_of_it_is_held_back() {
    struct Case {
        name: &'static str,
        reported: Vec<RoomDemand>,
        age_ms: u64,
        priority: Option<u8>,
        expected: f64,
    }
    let case = |name, reported, age_ms, priority, expected| Case {
        name,
        reported,
        age_ms,
        priority,
        expected,
    };
    let mixed = || vec![demand(0, 40_000), demand(2, 20_000)];
    let cases = [
        case("nobody asks", vec![], 0, Some(5), 0.0),
        case("the most urgent", mixed(), 0, Some(0), 0.0),
        case("behind the most urgent", mixed(), 0, Some(1), 0.1),
        case("not behind its equals", mixed(), 0, Some(2), 0.1),
        case("behind all others", mixed(), 0, Some(3), 0.15),
        case("late, so behind all", vec![demand(2, 10_000)], 0, None, 0.2),
        case(
            "never more than a part",
            vec![demand(0, 900_000)],
            0,
            Some(1),
            0.3,
        ),
        case("a peer that is gone", mixed(), 1_500, Some(3), 0.0),
    ];
    for case in cases {
        let mut reserve = UrgentReserve::default();
        reserve.apply_report(NOW, "peer", &case.reported);
        let at = NOW + case.age_ms;
        let held = reserve.fraction(at, SERVICE, case.priority, 100_000.0);
        assert!((held - case.expected).abs() < 1e-9, "{}: {held}", case.name);
        assert!(reserve.fraction(at, "other", case.priority, 1.0).abs() < 1e-9);
    }
}

#[test]
fn own_rates_are_told_and_fade() {
    let mut reserve = UrgentReserve::default();
    for step in 0..100 {
        reserve.record(NOW + step * 20, SERVICE, 0, 1_000.0);
    }
    let now = NOW + 2_000;
    let report = reserve.take_report(now);
    assert_eq!(report.len(), 1, "{report:?}");
    let told = report[0].tokens_per_second;
    assert!((35_000..=55_000).contains(&told), "{told} of 50,000");
    assert!(reserve.take_report(now + 30_000).is_empty());
}

/// Callers who ask for more than the fleet has room for, at one gateway.
struct Overload {
    table: UpstreamTable,
    peers: PeerTable,
    reserve: UrgentReserve,
    rng: Pcg64Mcg,
    running: Vec<(ClockTime, Vec<ChainHop>)>,
}

/// Tokens of each request.
const TOKENS: f64 = 1_000.0;
/// Time for which a request runs, milliseconds.
const RUN_MS: u64 = 3_000;
/// Time between two requests, milliseconds.
const ARRIVAL_MS: u64 = 6;
/// Time for which a request looks for room, milliseconds, and how often.
const WAIT_MS: u64 = 400;
const LOOK_MS: u64 = 25;

impl Overload {
    fn capacity(&self) -> f64 {
        let engine = engine();
        let held = self.table.iter().map(|(_, record)| {
            let kind = engine.kind(&record.entry.kind).expect("a configured kind");
            engine.kv_capacity(kind, record.entry.layers.len())
        });
        held.sum::<f64>() / f64::from(engine.layers)
    }

    fn look(&mut self, now: ClockTime, priority: u8, holds_back: bool) -> bool {
        while let Some(index) = self.running.iter().position(|(end, _)| *end <= now) {
            let (_, chain) = self.running.swap_remove(index);
            for hop in chain {
                self.table
                    .remove_request(hop.upstream, TOKENS * f64::from(hop.layers.len()));
            }
        }
        let held = match holds_back {
            true => {
                let capacity = self.capacity();
                self.reserve
                    .fraction(now, SERVICE, Some(priority), capacity)
            }
            false => 0.0,
        };
        let engine = engine();
        let query = ChainQuery {
            now,
            service: SERVICE,
            engine: &engine,
            prompt_tokens: TOKENS * 0.8,
            expected_answer_tokens: TOKENS * 0.2,
            domain: "a",
            avoid: &[],
            pinned_first: None,
            max_fill: MAX_FILL - held,
            held_links: &[],
            current: &[],
            peers: &self.peers,
            permits: None,
        };
        let Some(chain) = choose_chain(&self.table, &query, &mut self.rng) else {
            return false;
        };
        for hop in &chain {
            self.table
                .add_request(hop.upstream, TOKENS * f64::from(hop.layers.len()));
        }
        self.running.push((now + RUN_MS, chain));
        true
    }

    /// Plays 12 s. Returns the parts of the urgent and of the patient requests that found room in time,
    /// among those of the last 8 s.
    fn play(mut self, holds_back: bool) -> (f64, f64) {
        let mut waiting: Vec<(ClockTime, u8)> = Vec::new();
        let mut counts = [(0.0, 0.0); 2];
        for step in 0..12_000 / ARRIVAL_MS {
            let now = NOW + step * ARRIVAL_MS;
            let priority = match self.rng.random_bool(0.5) {
                true => 0,
                false => 2,
            };
            self.reserve.record(now, SERVICE, priority, TOKENS);
            waiting.push((now, priority));
            let mut left = Vec::new();
            for (since, priority) in std::mem::take(&mut waiting) {
                let counted = since >= NOW + 4_000;
                let count = &mut counts[usize::from(priority > 0)];
                if now.since(since) % LOOK_MS >= ARRIVAL_MS {
                    left.push((since, priority));
                } else if self.look(now, priority, holds_back) {
                    count.0 += f64::from(u8::from(counted));
                    count.1 += f64::from(u8::from(counted));
                } else if now.since(since) >= WAIT_MS {
                    count.1 += f64::from(u8::from(counted));
                } else {
                    left.push((since, priority));
                }
            }
            waiting = left;
        }
        let [urgent, patient] = counts;
        (urgent.0 / urgent.1, patient.0 / patient.1)
    }
}

#[test]
fn the_urgent_find_room_in_a_full_fleet_and_the_patient_get_the_rest() {
    let new = || Overload {
        table: placed_fleet().1,
        peers: PeerTable::default(),
        reserve: UrgentReserve::default(),
        rng: Pcg64Mcg::seed_from_u64(7),
        running: Vec::new(),
    };
    let (urgent, patient) = new().play(true);
    let (urgent_before, patient_before) = new().play(false);
    let all = urgent + patient;
    assert!(
        all < 1.9,
        "the load does not fill the fleet: {urgent}, {patient}"
    );
    assert!(
        urgent >= 0.97,
        "{urgent} of the urgent, {urgent_before} without"
    );
    assert!(urgent_before < 0.9, "{urgent_before} without a reserve");
    assert!(
        patient >= 0.2,
        "{patient} of the patient, {patient_before} without"
    );
}
