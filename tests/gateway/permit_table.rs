//! Tests of the permits for upstreams with a limit: many gateways that restart, die, are cut off and
//! hear late send no more than the limit together, and use most of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use lynxcart::clock::ClockTime;
use lynxcart::gateway::permit_table::{
    LimitChange, LimitSource, PermitDecision, PermitReply, PermitTable, GIFT_INTERVAL_MS,
};
use lynxcart::gateway::rate_limit::{LimitStatement, StatedLimit};
use lynxcart::gateway::upstream::UpstreamKey;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const KEY: UpstreamKey = UpstreamKey(3);
const DIGEST: u64 = 42;

fn address(number: usize) -> SocketAddr {
    let (high, low) = (number / 250, number % 250 + 1);
    format!("10.1.{high}.{low}:7340").parse().unwrap()
}

fn stated(per_second: Option<f64>, asked_at: u64, heard_at: u64) -> StatedLimit {
    StatedLimit {
        per_second,
        asked_at: ClockTime(asked_at),
        heard_at: ClockTime(heard_at),
    }
}

#[test]
fn limits_are_read_from_decimal_numbers_alone() {
    struct Case {
        values: &'static [&'static str],
        statement: LimitStatement,
    }
    use LimitStatement::{Absent, Garbled, PerSecond};
    let cases = [
        Case {
            values: &[],
            statement: Absent,
        },
        Case {
            values: &["14.3"],
            statement: PerSecond(14.3),
        },
        Case {
            values: &[" 2 "],
            statement: PerSecond(2.0),
        },
        Case {
            values: &["0"],
            statement: PerSecond(0.0),
        },
        Case {
            values: &["0.05"],
            statement: PerSecond(0.05),
        },
        Case {
            values: &[""],
            statement: Garbled,
        },
        Case {
            values: &["."],
            statement: Garbled,
        },
        Case {
            values: &["-1"],
            statement: Garbled,
        },
        Case {
            values: &["+1"],
            statement: Garbled,
        },
        Case {
            values: &["NaN"],
            statement: Garbled,
        },
        Case {
            values: &["inf"],
            statement: Garbled,
        },
        Case {
            values: &["1e9"],
            statement: Garbled,
        },
        Case {
            values: &["99999999999999999999"],
            statement: Garbled,
        },
        Case {
            values: &["1,5"],
            statement: Garbled,
        },
        Case {
            values: &["5", "3"],
            statement: PerSecond(3.0),
        },
        Case {
            values: &["x", "3"],
            statement: PerSecond(3.0),
        },
        Case {
            values: &["3", "x"],
            statement: PerSecond(3.0),
        },
        Case {
            values: &["x", "-3"],
            statement: Garbled,
        },
    ];
    for case in cases {
        let statement = LimitStatement::from_values(case.values.iter().copied());
        assert_eq!(statement, case.statement, "{:?}", case.values);
    }
}

#[test]
fn of_answers_that_overtook_each_other_the_stricter_counts() {
    struct Case {
        name: &'static str,
        before: StatedLimit,
        after: StatedLimit,
        replaces: bool,
    }
    let cases = [
        Case {
            name: "a later end",
            before: stated(Some(2.0), 100, 110),
            after: stated(None, 110, 120),
            replaces: true,
        },
        Case {
            name: "an answer from before the limit that arrives after it",
            before: stated(Some(2.0), 100, 110),
            after: stated(None, 90, 120),
            replaces: false,
        },
        Case {
            name: "a lower limit that was under way",
            before: stated(Some(2.0), 100, 110),
            after: stated(Some(1.0), 90, 120),
            replaces: true,
        },
        Case {
            name: "a higher limit that was under way",
            before: stated(Some(2.0), 100, 110),
            after: stated(Some(3.0), 90, 120),
            replaces: false,
        },
        Case {
            name: "a lower limit of long ago, told by a peer",
            before: stated(None, 100, 110),
            after: stated(Some(1.0), 50, 60),
            replaces: false,
        },
    ];
    for case in cases {
        assert_eq!(
            case.after.replaces(case.before),
            case.replaces,
            "{}",
            case.name
        );
    }
}

#[test]
fn limit_holds_until_an_answer_without_one_and_is_told_when_it_changes() {
    let mut table = PermitTable::new(address(0));
    let change = |previous, current| Some(LimitChange { previous, current });
    let apply = |table: &mut PermitTable, per_second, at| {
        let stated = stated(per_second, at - 5, at);
        table.apply(ClockTime(at), KEY, DIGEST, stated, LimitSource::Upstream)
    };
    assert_eq!(apply(&mut table, None, 1_000), None);
    assert_eq!(apply(&mut table, Some(2.0), 2_000), change(None, Some(2.0)));
    assert_eq!(apply(&mut table, Some(2.0), 3_000), None);
    assert!(table.is_limited(KEY));
    assert_eq!(
        apply(&mut table, Some(0.0), 4_000),
        change(Some(2.0), Some(0.0))
    );
    assert!(matches!(
        table.request(ClockTime(4_000), KEY),
        PermitDecision::Denied { .. }
    ));
    assert_eq!(apply(&mut table, None, 5_000), change(Some(0.0), None));
    assert_eq!(
        table.request(ClockTime(5_000), KEY),
        PermitDecision::Unlimited
    );
}

#[test]
fn limit_is_told_by_those_that_heard_it_and_the_one_that_collects() {
    let mut tables: Vec<PermitTable> = (0..20).map(|it| PermitTable::new(address(it))).collect();
    let others: Vec<SocketAddr> = (0..20).map(address).collect();
    for table in &mut tables {
        table.set_registered(ClockTime(0), &others);
        for other in &others {
            table.record_heard(ClockTime(2_900), *other);
        }
    }
    let limit = stated(Some(2.0), 2_990, 3_000);
    tables[0].apply(ClockTime(3_000), KEY, DIGEST, limit, LimitSource::Upstream);
    for table in &mut tables[1..] {
        table.apply(ClockTime(3_010), KEY, DIGEST, limit, LimitSource::Peer);
    }
    let mut told = 0;
    for at in (3_250..=5_000).step_by(250) {
        for table in &mut tables {
            told += table.take_reports(ClockTime(at)).len();
        }
    }
    // Three times by the first, and at its intervals by the collector.
    assert!((3..=5).contains(&told), "told {told} times");
}

#[test]
fn limit_holds_while_the_registry_entry_of_its_upstream_lapses_and_returns() {
    let mut table = PermitTable::new(address(0));
    let limit = stated(Some(2.0), 990, 1_000);
    table.apply(ClockTime(1_000), KEY, DIGEST, limit, LimitSource::Upstream);
    table.forget(ClockTime(20_000), |_| true);
    assert!(table.is_limited(KEY));
    table.forget(ClockTime(70_000), |_| false);
    assert!(table.is_limited(KEY));
    table.forget(ClockTime(70_000), |_| true);
    assert!(!table.is_limited(KEY));
}

#[test]
fn limit_of_zero_is_tried_now_and_then() {
    let mut table = PermitTable::new(address(0));
    table.set_registered(ClockTime(0), &[]);
    let zero = stated(Some(0.0), 0, 0);
    table.apply(ClockTime(0), KEY, DIGEST, zero, LimitSource::Upstream);
    let mut granted = 0;
    for at in (0..60_000).step_by(50) {
        let decision = table.request(ClockTime(at), KEY);
        granted += u32::from(decision == PermitDecision::Granted);
    }
    assert!((3..=7).contains(&granted), "{granted} in a minute");
}

/// A window in which arrivals are counted, milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Time from which a gateway that was disturbed has its share again, milliseconds.
const SETTLE_MS: u64 = 3_000;
/// Longest time that a message between gateways takes in the simulation, milliseconds.
const MAX_DELAY_MS: u64 = 30;
/// Longest time from a permit to the arrival of its request, milliseconds.
const MAX_SEND_MS: u64 = 400;

#[derive(Clone, Debug)]
enum Message {
    Load(Vec<StatedLimit>),
    Ask,
    Reply(PermitReply),
    Gift(f64),
}

#[derive(Clone, Debug)]
struct Packet {
    from: usize,
    to: usize,
    message: Message,
}

#[derive(Clone, Debug)]
struct SimulatedGateway {
    table: PermitTable,
    is_up: bool,
    /// Whether its messages to and from other gateways are lost.
    is_cut: bool,
    /// Until when it does nothing.
    frozen_until: u64,
    /// When it was last able to take part.
    disturbed_at: u64,
    /// Requests a second that its callers send.
    demand_per_s: f64,
    asked: bool,
}

/// Gateways before one upstream.
struct Fleet {
    now: u64,
    rng: Pcg64Mcg,
    gateways: Vec<SimulatedGateway>,
    packets: BTreeMap<u64, Vec<Packet>>,
    /// Part of the messages that is lost.
    loss: f64,
    limit: Option<f64>,
    /// Number of requests that would have come to use the limit, as far as the gateways that are up
    /// and hear the others have it and their callers ask for it.
    owed: f64,
    /// Times of arrival at the upstream, and the gateways that sent the requests.
    arrivals: Vec<(u64, usize)>,
}

impl Fleet {
    fn new(seed: u64, demands: &[f64], limit: f64) -> Fleet {
        let gateways = demands
            .iter()
            .enumerate()
            .map(|(number, demand)| SimulatedGateway {
                table: PermitTable::new(address(number)),
                is_up: true,
                is_cut: false,
                frozen_until: 0,
                disturbed_at: 0,
                demand_per_s: *demand,
                asked: false,
            });
        let mut fleet = Fleet {
            now: 100_000,
            rng: Pcg64Mcg::seed_from_u64(seed),
            gateways: gateways.collect(),
            packets: BTreeMap::new(),
            loss: 0.0,
            limit: Some(limit),
            owed: 0.0,
            arrivals: Vec::new(),
        };
        fleet.register_all();
        for number in 0..fleet.gateways.len() {
            fleet.hear_answer(number);
        }
        fleet
    }

    /// Has all gateways that are up read from the store which are registered.
    fn register_all(&mut self) {
        let up: Vec<SocketAddr> = (0..self.gateways.len())
            .filter(|number| self.gateways[*number].is_up)
            .map(address)
            .collect();
        for (number, gateway) in self.gateways.iter_mut().enumerate() {
            if gateway.is_up && !gateway.is_cut {
                let others = up.iter().copied().filter(|other| *other != address(number));
                let others: Vec<SocketAddr> = others.collect();
                gateway.table.set_registered(ClockTime(self.now), &others);
            }
        }
    }

    fn hear_answer(&mut self, number: usize) {
        let statement = stated(self.limit, self.now - 10, self.now);
        let table = &mut self.gateways[number].table;
        table.apply(
            ClockTime(self.now),
            KEY,
            DIGEST,
            statement,
            LimitSource::Upstream,
        );
    }

    fn post(&mut self, from: usize, to: usize, message: Message) {
        let is_lost = self.rng.random_bool(self.loss);
        if !is_lost && !self.gateways[from].is_cut {
            let at = self.now + self.rng.random_range(1..=MAX_DELAY_MS);
            let packet = Packet { from, to, message };
            self.packets.entry(at).or_default().push(packet);
        }
    }

    fn number_of(&self, gateway: SocketAddr) -> usize {
        let count = self.gateways.len();
        (0..count)
            .find(|number| address(*number) == gateway)
            .unwrap()
    }

    fn deliver(&mut self, packet: Packet) {
        let now = ClockTime(self.now);
        let gateway = &mut self.gateways[packet.to];
        if !gateway.is_up || gateway.is_cut {
            return;
        }
        if gateway.frozen_until > self.now {
            // It lies in the socket meanwhile.
            let wakes_at = gateway.frozen_until;
            self.packets.entry(wakes_at).or_default().push(packet);
            return;
        }
        gateway.table.record_heard(now, address(packet.from));
        match packet.message {
            Message::Load(limits) => {
                for limit in limits {
                    gateway
                        .table
                        .apply(now, KEY, DIGEST, limit, LimitSource::Peer);
                }
            }
            Message::Ask => {
                let reply = gateway.table.reply(now, KEY);
                self.post(packet.to, packet.from, Message::Reply(reply));
            }
            Message::Reply(PermitReply::Granted) => match std::mem::take(&mut gateway.asked) {
                true => self.arrive(packet.to),
                false => gateway.table.receive(now, KEY, 1.0),
            },
            Message::Reply(PermitReply::Denied { ready_ms }) => {
                gateway.asked = false;
                let draw = self.rng.random();
                gateway.table.record_denial(now, KEY, ready_ms, draw);
            }
            Message::Gift(amount) => gateway.table.receive(now, KEY, amount),
        }
    }

    /// A request of a gateway goes out, whose answer it hears.
    fn arrive(&mut self, number: usize) {
        let at = self.now + self.rng.random_range(0..=MAX_SEND_MS);
        self.arrivals.push((at, number));
        self.hear_answer(number);
    }

    fn request(&mut self, number: usize) {
        let now = ClockTime(self.now);
        let gateway = &mut self.gateways[number];
        if !gateway.table.may_request(now, KEY) {
            return;
        }
        match gateway.table.request(now, KEY) {
            PermitDecision::Unlimited | PermitDecision::Granted => self.arrive(number),
            PermitDecision::Ask(collector) => {
                gateway.asked = true;
                let collector = self.number_of(collector);
                self.post(number, collector, Message::Ask);
            }
            PermitDecision::Denied { ready_ms } => {
                let draw = self.rng.random();
                gateway.table.record_denial(now, KEY, ready_ms, draw);
            }
        }
    }

    /// Interval of the messages that gateways send each other anyhow, milliseconds.
    fn load_interval_ms(&self) -> u64 {
        // Many gateways would make too many messages to simulate.
        if self.gateways.len() > 50 {
            1_000
        } else {
            250
        }
    }

    /// Adds what the gateways owe that have taken part for a while.
    fn count_owed(&mut self) {
        let now = self.now;
        let (mut live, mut demand) = (0.0, 0.0);
        for gateway in &mut self.gateways {
            if !gateway.is_up || gateway.is_cut || gateway.frozen_until > now {
                gateway.disturbed_at = now;
            } else if now >= gateway.disturbed_at + SETTLE_MS {
                live += 1.0;
                demand += gateway.demand_per_s;
            }
        }
        let limit = self.limit.unwrap_or(0.0) * live / self.gateways.len() as f64;
        self.owed += limit.min(demand) / 1_000.0;
    }

    fn step(&mut self) {
        self.now += 1;
        self.count_owed();
        while let Some(entry) = self.packets.first_entry() {
            if *entry.key() > self.now {
                break;
            }
            for packet in entry.remove() {
                self.deliver(packet);
            }
        }
        for number in 0..self.gateways.len() {
            let gateway = &self.gateways[number];
            if !gateway.is_up || gateway.frozen_until > self.now {
                continue;
            }
            let demand = gateway.demand_per_s / 1_000.0;
            if self.rng.random_bool(demand.min(1.0)) {
                self.request(number);
            }
            // Each gateway has its own phase.
            let phase = self.now + 37 * number as u64;
            if phase % self.load_interval_ms() == 0 {
                let table = &mut self.gateways[number].table;
                let reports = table.take_reports(ClockTime(self.now));
                let limits: Vec<StatedLimit> = reports.into_iter().map(|(_, it)| it).collect();
                for other in (0..self.gateways.len()).filter(|other| *other != number) {
                    self.post(number, other, Message::Load(limits.clone()));
                }
            }
            if phase % GIFT_INTERVAL_MS == 0 {
                let table = &mut self.gateways[number].table;
                for gift in table.take_gifts(ClockTime(self.now)) {
                    let to = self.number_of(gift.to);
                    self.post(number, to, Message::Gift(gift.amount));
                }
            }
        }
    }

    fn run(&mut self, length_ms: u64) {
        for _ in 0..length_ms {
            self.step();
        }
    }

    fn restart(&mut self, number: usize) {
        self.gateways[number].is_up = true;
        self.gateways[number].asked = false;
        self.gateways[number].table = PermitTable::new(address(number));
        self.register_all();
    }

    /// Most arrivals in any window from `since` on.
    fn most_in_window(&mut self, since: u64) -> usize {
        self.arrivals.sort_unstable();
        let times = self.arrivals.iter().map(|(at, _)| *at);
        let times: Vec<u64> = times.filter(|at| *at >= since).collect();
        let in_window = |(first, at): (usize, &u64)| {
            times[first..].partition_point(|other| *other < at + WINDOW_MS)
        };
        times.iter().enumerate().map(in_window).max().unwrap_or(0)
    }

    fn count_since(&self, since: u64) -> usize {
        self.arrivals.iter().filter(|(at, _)| *at >= since).count()
    }
}

fn allowed(limit: f64) -> f64 {
    1.5 * limit * WINDOW_MS as f64 / 1_000.0 + 5.0
}

#[test]
fn gateways_send_no_more_than_a_limit_together_and_use_most_of_it() {
    struct Case {
        name: &'static str,
        demands: Vec<f64>,
        limit: f64,
        /// Part of the limit that has to be used.
        used: f64,
        length_ms: u64,
    }
    let mut cases = Vec::new();
    for limit in [0.3, 1.0, 4.0, 14.4, 47.0] {
        cases.push(Case {
            name: "four alike",
            demands: vec![2.0 * limit; 4],
            limit,
            used: 0.8,
            length_ms: 40_000,
        });
        cases.push(Case {
            name: "one busy gateway, three idle ones",
            demands: vec![0.0, 0.0, 4.0 * limit, 0.0],
            limit,
            used: 0.8,
            length_ms: 40_000,
        });
        cases.push(Case {
            name: "unequal gateways",
            demands: vec![0.1 * limit, 0.5 * limit, 3.0 * limit, 0.01],
            limit,
            used: 0.8,
            length_ms: 40_000,
        });
    }
    cases.push(Case {
        name: "300 gateways, each with few requests",
        demands: vec![0.1; 300],
        limit: 1.0,
        used: 0.7,
        length_ms: 16_000,
    });
    cases.push(Case {
        name: "300 gateways, one of them busy",
        demands: (0..300)
            .map(|number| if number == 7 { 8.0 } else { 0.0 })
            .collect(),
        limit: 2.0,
        used: 0.7,
        length_ms: 16_000,
    });
    for case in cases {
        let mut fleet = Fleet::new(7, &case.demands, case.limit);
        let (settle_ms, length_ms) = (8_000, case.length_ms);
        let began = fleet.now;
        fleet.run(settle_ms + length_ms);
        let most = fleet.most_in_window(began);
        let used = fleet.count_since(began + settle_ms) as f64;
        let owed = case.limit * length_ms as f64 / 1_000.0;
        let name = format!("{} at a limit of {}", case.name, case.limit);
        assert!(
            most as f64 <= allowed(case.limit),
            "{name}: {most} in a window"
        );
        assert!(used >= case.used * owed, "{name}: {used} of {owed} used");
    }
}

#[test]
fn no_gateway_is_starved_by_the_one_that_collects() {
    for limit in [1.0, 3.0, 20.0] {
        let mut fleet = Fleet::new(3, &[10.0 * limit; 4], limit);
        fleet.run(120_000);
        let mut counts = [0; 4];
        fleet
            .arrivals
            .iter()
            .for_each(|(_, number)| counts[*number] += 1);
        let total: usize = counts.iter().sum();
        let least = counts.into_iter().min().unwrap();
        assert!(8 * least >= total, "at a limit of {limit}: {counts:?}");
    }
}

/// One random run: gateways die, restart, are cut off, freeze and change their demand, the limit
/// changes, messages are lost. Returns the most arrivals in a window and what was allowed then, in the
/// window that came closest to it, and the part of the limit that was used.
fn random_run(seed: u64) -> (f64, f64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let count = rng.random_range(2..=9);
    let limit = [0.5, 1.0, 2.5, 8.0, 20.0][rng.random_range(0..5)];
    let demands: Vec<f64> = (0..count)
        .map(|_| limit * rng.random_range(0.2..3.0))
        .collect();
    let mut fleet = Fleet::new(seed, &demands, limit);
    fleet.loss = rng.random_range(0.0..0.08);
    let began = fleet.now;
    fleet.run(3_000);
    for _ in 0..30 {
        let number = rng.random_range(0..count);
        let down = fleet
            .gateways
            .iter()
            .filter(|gateway| !gateway.is_up || gateway.is_cut);
        let may_fail = down.count() == 0;
        match rng.random_range(0..8) {
            0 if may_fail => {
                fleet.gateways[number].is_up = false;
                fleet.run(rng.random_range(200..3_000));
                fleet.restart(number);
            }
            1 if may_fail => {
                fleet.gateways[number].is_cut = true;
                fleet.run(rng.random_range(500..8_000));
                fleet.gateways[number].is_cut = false;
                fleet.register_all();
            }
            2 => {
                let wakes_at = fleet.now + rng.random_range(300..4_000);
                fleet.gateways[number].frozen_until = wakes_at;
            }
            // After an outage of the store some gateways are registered again before the others.
            3 => {
                let others: Vec<SocketAddr> = (0..count)
                    .filter(|other| *other != number && rng.random_bool(0.5))
                    .map(address)
                    .collect();
                let now = ClockTime(fleet.now);
                fleet.gateways[number].table.set_registered(now, &others);
                fleet.run(rng.random_range(200..2_000));
                fleet.register_all();
            }
            4 | 5 => fleet.gateways[number].demand_per_s = limit * rng.random_range(0.0..3.0),
            _ => {}
        }
        fleet.run(rng.random_range(100..2_000));
    }
    let most = fleet.most_in_window(began) as f64;
    let used = fleet.count_since(began) as f64 / fleet.owed;
    (most / allowed(limit), used)
}

#[test]
fn random_runs_of_gateways_keep_to_the_limit_and_use_it() {
    let number = |name: &str, default: u64| {
        std::env::var(name).map_or(default, |text| text.parse().unwrap())
    };
    let first = number("LYNXCART_SEED", 0);
    for seed in first..first + number("LYNXCART_SEEDS", 60) {
        let (most, used) = random_run(seed);
        assert!(most <= 1.0, "seed {seed}: {most:.2} of what is allowed");
        assert!(used >= 0.6, "seed {seed}: {used:.2} of the limit was used");
    }
}
