//! Choice of chains: every layer once and in order, round what is dead or full, and within a
//! failure domain while there is room.

use std::time::{Duration, Instant};

use lynxcart::clock::ClockTime;
use lynxcart::gateway::catalog::EngineRule;
use lynxcart::gateway::chain::{choose_chain, covers, ChainHop, ChainNeed};
use lynxcart::gateway::peer::{LinkKey, PeerTable};
use lynxcart::gateway::plan::plan_service;
use lynxcart::gateway::upstream::{UpstreamKey, UpstreamTable};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::fixture::{engine, entry, key_of, large_cards, large_engine, main_ids, placed, SERVICE};

const NOW: ClockTime = ClockTime(10_000);

fn need<'a>(engine: &'a EngineRule, peers: &'a PeerTable) -> ChainNeed<'a> {
    ChainNeed {
        now: NOW,
        service: SERVICE,
        engine,
        prompt: 775.0,
        answer: 216.0,
        domain: "a",
        avoid: &[],
        first: None,
        held: &[],
        peers,
    }
}

fn domains(table: &UpstreamTable, chain: &[ChainHop]) -> Vec<String> {
    let mut domains: Vec<String> = chain
        .iter()
        .map(|hop| table.get(hop.upstream).entry.domain.clone())
        .collect();
    domains.dedup();
    domains
}

#[test]
fn a_chain_stays_in_a_domain_while_there_is_room() {
    let (engine, peers) = (engine(), PeerTable::default());
    let (_, mut table) = placed();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    // Load that three copies carry: some 60 requests each.
    for count in 0..120 {
        let chain = choose_chain(&table, &need(&engine, &peers), &mut rng).unwrap();
        assert!(covers(&chain, 80));
        assert_eq!(domains(&table, &chain).len(), 1, "request {count} crosses");
        for hop in &chain {
            table.add_request(hop.upstream, 991.0 * f64::from(hop.layers.len()));
        }
    }
}

#[test]
fn a_burst_is_spread_and_ends_in_a_refusal_and_not_in_overfull_replicas() {
    let (engine, peers) = (engine(), PeerTable::default());
    let (_, mut table) = placed();
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut admitted = 0;
    while let Some(chain) = choose_chain(&table, &need(&engine, &peers), &mut rng) {
        for hop in &chain {
            table.add_request(hop.upstream, 991.0 * f64::from(hop.layers.len()));
        }
        admitted += 1;
        assert!(admitted < 2_000, "never full");
    }
    for (_, record) in table.iter() {
        let kind = engine.kind(&record.entry.kind).unwrap();
        let room = engine.room(kind, record.entry.layers.len());
        assert!(record.reserved <= room, "{} is overfull", record.entry.id);
    }
    // Three copies with KV memory for some 60 to 90 requests each.
    assert!(admitted > 180, "only {admitted} admitted");
}

#[test]
fn a_request_that_runs_keeps_its_first_replica_and_goes_round_a_dead_one() {
    let (engine, peers) = (engine(), PeerTable::default());
    let (plan, mut table) = placed();
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let chain = choose_chain(&table, &need(&engine, &peers), &mut rng).unwrap();
    let dead = chain[chain.len() / 2].upstream;
    table.name_dead(NOW, dead);
    let held: Vec<UpstreamKey> = chain.iter().map(|hop| hop.upstream).collect();
    let need = ChainNeed {
        avoid: &[dead],
        first: Some(chain[0]),
        held: &held,
        ..need(&engine, &peers)
    };
    let other = choose_chain(&table, &need, &mut rng).unwrap();
    assert!(covers(&other, 80));
    assert_eq!(other[0], chain[0]);
    assert!(other.iter().all(|hop| hop.upstream != dead));
    assert!(plan.slots.len() > other.len());
}

#[test]
fn a_request_that_runs_keeps_full_replicas_that_hold_it_and_is_not_led_to_others_that_are_full() {
    let (engine, peers) = (engine(), PeerTable::default());
    let (_, mut table) = placed();
    let mut rng = Pcg64Mcg::seed_from_u64(8);
    let chain = choose_chain(&table, &need(&engine, &peers), &mut rng).unwrap();
    let held: Vec<UpstreamKey> = chain.iter().map(|hop| hop.upstream).collect();
    let dead = chain[chain.len() / 2];
    table.name_dead(NOW, dead.upstream);
    let detour = ChainNeed {
        avoid: &[dead.upstream],
        first: Some(chain[0]),
        held: &held,
        ..need(&engine, &peers)
    };
    let fill = |table: &mut UpstreamTable, key: UpstreamKey| {
        let entry = &table.get(key).entry;
        let room = engine.room(engine.kind(&entry.kind).unwrap(), entry.layers.len());
        table.add_request(key, room);
    };
    for key in &held {
        fill(&mut table, *key);
    }
    let other = choose_chain(&table, &detour, &mut rng).expect("others have room");
    assert_eq!(other[0], chain[0]);
    let keys: Vec<UpstreamKey> = table.iter().map(|(key, _)| key).collect();
    for key in keys.iter().filter(|key| !held.contains(key)) {
        fill(&mut table, *key);
    }
    assert_eq!(choose_chain(&table, &detour, &mut rng), None);
}

#[test]
fn a_full_pipe_is_not_crossed_by_new_requests() {
    let engine = engine();
    let (plan, mut table) = placed();
    // Domains b and c have each lost a card that nobody doubles, so that only a is whole.
    for domain in ["b", "c"] {
        let id = main_ids(&plan, domain).remove(0);
        let key = key_of(&table, &id);
        table.name_dead(NOW, key);
    }
    let mut peers = PeerTable::default();
    let pipes: Vec<LinkKey> = [("a", "b"), ("a", "c"), ("b", "c")]
        .iter()
        .flat_map(|(one, other)| vec![LinkKey::between(one, other); 40])
        .collect();
    peers.add_links(&pipes);
    let mut rng = Pcg64Mcg::seed_from_u64(4);
    for domain in ["a", "b", "c"] {
        let need = ChainNeed {
            domain,
            ..need(&engine, &peers)
        };
        let chain = choose_chain(&table, &need, &mut rng).unwrap();
        assert_eq!(domains(&table, &chain), ["a"]);
    }
}

#[test]
fn what_peers_have_in_flight_counts() {
    let engine = engine();
    let (_, table) = placed();
    let mut other = table_with_load(&table, "a");
    let mut told = PeerTable::default();
    let messages = told.tell(NOW, &other);
    let mut peers = PeerTable::default();
    for message in &messages {
        peers.hear(NOW, "10.9.9.9:1", message, &table);
    }
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let chain = choose_chain(&table, &need(&engine, &peers), &mut rng).unwrap();
    assert!(
        !domains(&table, &chain).contains(&String::from("a")),
        "went where peers are"
    );
    // The peer's work ends, and its next word takes the load back.
    let keys: Vec<UpstreamKey> = other.iter().map(|(key, _)| key).collect();
    for key in keys {
        for _ in 0..other.get(key).in_flight {
            let each = other.get(key).reserved / f64::from(other.get(key).in_flight);
            other.remove_request(key, each);
        }
    }
    for message in told.tell(NOW, &other) {
        peers.hear(NOW, "10.9.9.9:1", &message, &table);
    }
    for (key, _) in table.iter() {
        assert_eq!(peers.peer_load(key).in_flight, 0.0);
    }
}

#[test]
fn a_replica_that_says_it_is_slow_is_gone_round() {
    let (engine, peers) = (engine(), PeerTable::default());
    let (plan, mut table) = placed();
    let slow = key_of(&table, &main_ids(&plan, "b").remove(1));
    let mut rng = Pcg64Mcg::seed_from_u64(6);
    assert!(table.hear_pace(NOW, slow, 10.0, true), "it is news");
    for _ in 0..50 {
        let chain = choose_chain(&table, &need(&engine, &peers), &mut rng).unwrap();
        assert!(chain.iter().all(|hop| hop.upstream != slow));
        for hop in &chain {
            table.add_request(hop.upstream, 991.0 * f64::from(hop.layers.len()));
        }
    }
    assert!(table.hear_pace(NOW, slow, 1.0, true), "it is well again");
    assert_eq!(table.get(slow).slowdown(NOW), 1.0);
}

#[test]
fn a_choice_among_thousands_of_replicas_takes_milliseconds() {
    // The load that it answers: some 20 requests/s at each gateway before 3,000 replicas.
    const CHOICES: u32 = 50;
    const EACH_MOST: Duration = Duration::from_millis(20);
    let (engine, peers) = (large_engine(), PeerTable::default());
    let plan = plan_service(&engine, &large_cards());
    let mut table = UpstreamTable::default();
    for number in 0..3_000_u16 {
        let slot = &plan.slots[usize::from(number) % plan.slots.len()];
        let id = format!("{}-{number}", slot.id);
        table.hear(
            NOW,
            entry(number, &id, &slot.domain, &slot.kind, slot.layers()),
        );
    }
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    let began = Instant::now();
    for _ in 0..CHOICES {
        let chain = choose_chain(&table, &need(&engine, &peers), &mut rng).unwrap();
        assert!(covers(&chain, 80));
        for hop in &chain {
            table.add_request(hop.upstream, 991.0 * f64::from(hop.layers.len()));
        }
    }
    let each = began.elapsed() / CHOICES;
    assert!(each < EACH_MOST, "a choice takes {each:?}");
}

fn table_with_load(table: &UpstreamTable, domain: &str) -> UpstreamTable {
    let mut loaded = UpstreamTable::default();
    for (_, record) in table.iter() {
        loaded.hear(ClockTime(0), record.entry.clone());
    }
    let keys: Vec<UpstreamKey> = loaded
        .iter()
        .filter(|(_, record)| record.entry.domain == domain)
        .map(|(key, _)| key)
        .collect();
    for key in keys {
        let layers = f64::from(loaded.get(key).entry.layers.len());
        for _ in 0..60 {
            loaded.add_request(key, 991.0 * layers);
        }
    }
    loaded
}

proptest! {
    #[test]
    fn whatever_is_lost_a_chain_covers_all_layers_once_or_there_is_none(
        dead in proptest::collection::vec(0_u32..38, 0..20), seed in any::<u64>()
    ) {
        let (engine, peers) = (engine(), PeerTable::default());
        let (_, mut table) = placed();
        for key in &dead {
            table.name_dead(NOW, UpstreamKey(*key));
        }
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        if let Some(chain) = choose_chain(&table, &need(&engine, &peers), &mut rng) {
            prop_assert!(covers(&chain, 80));
            for hop in chain {
                let held = table.get(hop.upstream).entry.layers;
                prop_assert!(held.from <= hop.layers.from && hop.layers.to <= held.to);
                prop_assert!(!dead.contains(&hop.upstream.0));
            }
        }
    }
}
