//! Tests of the choice of chains: every layer runs once and in order, replicas that are dead or
//! full are avoided, and a chain stays in one failure domain while that has capacity.

use std::time::{Duration, Instant};

use lynxcart::clock::ClockTime;
use lynxcart::gateway::catalog::EngineRule;
use lynxcart::gateway::chain::{choose_chain, covers, ChainHop, ChainQuery};
use lynxcart::gateway::peer::{LinkKey, PeerTable};
use lynxcart::gateway::permit_table::{LimitSource, PermitTable};
use lynxcart::gateway::plan::plan_service;
use lynxcart::gateway::rate_limit::StatedLimit;
use lynxcart::gateway::upstream::{LayerRange, UpstreamKey, UpstreamTable};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::fixture::{
    assigned_ids, engine, entry, key_of, large_accelerators, large_engine, placed_fleet, SERVICE,
};

const NOW: ClockTime = ClockTime(10_000);

fn query<'a>(engine: &'a EngineRule, peers: &'a PeerTable) -> ChainQuery<'a> {
    ChainQuery {
        now: NOW,
        service: SERVICE,
        engine,
        prompt_tokens: 775.0,
        expected_answer_tokens: 216.0,
        domain: "a",
        avoid: &[],
        pinned_first: None,
        max_fill: 1.0,
        held_links: &[],
        current: &[],
        peers,
        permits: None,
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
fn a_chain_stays_in_one_domain_while_it_has_capacity() {
    let (engine, peers) = (engine(), PeerTable::default());
    let (_, mut table) = placed_fleet();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    // The three chains of the plan have capacity for this load: some 60 requests each.
    for count in 0..120 {
        let chain = choose_chain(&table, &query(&engine, &peers), &mut rng).unwrap();
        assert!(covers(&chain, 80));
        assert_eq!(
            domains(&table, &chain).len(),
            1,
            "request {count} leaves its domain"
        );
        for hop in &chain {
            table.add_request(hop.upstream, 991.0 * f64::from(hop.layers.len()));
        }
    }
}

#[test]
fn a_burst_is_refused_before_any_replica_is_overfull() {
    let (engine, peers) = (engine(), PeerTable::default());
    let (_, mut table) = placed_fleet();
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut admitted = 0;
    while let Some(chain) = choose_chain(&table, &query(&engine, &peers), &mut rng) {
        for hop in &chain {
            table.add_request(hop.upstream, 991.0 * f64::from(hop.layers.len()));
        }
        admitted += 1;
        assert!(admitted < 2_000, "no request was refused");
    }
    for (_, record) in table.iter() {
        let kind = engine.kind(&record.entry.kind).unwrap();
        let capacity = engine.kv_capacity(kind, record.entry.layers.len());
        assert!(
            record.reserved_kv <= capacity,
            "{} is overfull",
            record.entry.id
        );
    }
    // Three chains with KV memory for some 60 to 90 requests each.
    assert!(admitted > 180, "only {admitted} admitted");
}

#[test]
fn a_running_request_keeps_its_first_replica_and_avoids_a_dead_one() {
    let (engine, peers) = (engine(), PeerTable::default());
    let (plan, mut table) = placed_fleet();
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let chain = choose_chain(&table, &query(&engine, &peers), &mut rng).unwrap();
    let dead = chain[chain.len() / 2].upstream;
    table.report_dead(NOW, dead);
    let current: Vec<UpstreamKey> = chain.iter().map(|hop| hop.upstream).collect();
    let query = ChainQuery {
        avoid: &[dead],
        pinned_first: Some(chain[0]),
        current: &current,
        ..query(&engine, &peers)
    };
    let other = choose_chain(&table, &query, &mut rng).unwrap();
    assert!(covers(&other, 80));
    assert_eq!(other[0], chain[0]);
    assert!(other.iter().all(|hop| hop.upstream != dead));
    assert!(plan.slots.len() > other.len());
}

#[test]
fn a_running_request_keeps_its_replicas_when_full_but_gets_no_other_full_one() {
    let (engine, peers) = (engine(), PeerTable::default());
    let (_, mut table) = placed_fleet();
    let mut rng = Pcg64Mcg::seed_from_u64(8);
    let chain = choose_chain(&table, &query(&engine, &peers), &mut rng).unwrap();
    let current: Vec<UpstreamKey> = chain.iter().map(|hop| hop.upstream).collect();
    let dead = chain[chain.len() / 2];
    table.report_dead(NOW, dead.upstream);
    let detour_query = ChainQuery {
        avoid: &[dead.upstream],
        pinned_first: Some(chain[0]),
        current: &current,
        ..query(&engine, &peers)
    };
    let fill = |table: &mut UpstreamTable, key: UpstreamKey| {
        let entry = &table.get(key).entry;
        let capacity = engine.kv_capacity(engine.kind(&entry.kind).unwrap(), entry.layers.len());
        table.add_request(key, capacity);
    };
    for key in &current {
        fill(&mut table, *key);
    }
    let other =
        choose_chain(&table, &detour_query, &mut rng).expect("other replicas have capacity");
    assert_eq!(other[0], chain[0]);
    let keys: Vec<UpstreamKey> = table.iter().map(|(key, _)| key).collect();
    for key in keys.iter().filter(|key| !current.contains(key)) {
        fill(&mut table, *key);
    }
    assert_eq!(choose_chain(&table, &detour_query, &mut rng), None);
}

#[test]
fn a_full_cross_domain_link_gets_no_new_requests() {
    let engine = engine();
    let (plan, mut table) = placed_fleet();
    // In domains b and c an accelerator without a duplicate is lost, so that only a covers all
    // layers.
    for domain in ["b", "c"] {
        let id = assigned_ids(&plan, domain).remove(0);
        let key = key_of(&table, &id);
        table.report_dead(NOW, key);
    }
    let mut peers = PeerTable::default();
    let links: Vec<LinkKey> = [("a", "b"), ("a", "c"), ("b", "c")]
        .iter()
        .flat_map(|(one, other)| vec![LinkKey::between(one, other); 40])
        .collect();
    peers.add_links(&links);
    let mut rng = Pcg64Mcg::seed_from_u64(4);
    for domain in ["a", "b", "c"] {
        let query = ChainQuery {
            domain,
            ..query(&engine, &peers)
        };
        let chain = choose_chain(&table, &query, &mut rng).unwrap();
        assert_eq!(domains(&table, &chain), ["a"]);
    }
}

#[test]
fn a_running_request_keeps_the_links_that_it_uses() {
    let engine = engine();
    let mut table = UpstreamTable::default();
    let layers = |from, to| LayerRange { from, to };
    for (number, domain, layers) in [(1, "a", layers(0, 40)), (2, "b", layers(40, 80))] {
        table.apply_entry(ClockTime(0), entry(number, domain, domain, "a100", layers));
    }
    let mut peers = PeerTable::default();
    let links = [LinkKey::between("a", "b")];
    peers.add_links(&vec![links[0].clone(); 40]);
    let mut rng = Pcg64Mcg::seed_from_u64(6);
    let new = query(&engine, &peers);
    assert_eq!(choose_chain(&table, &new, &mut rng), None);
    let running = ChainQuery {
        held_links: &links,
        ..new
    };
    let chain = choose_chain(&table, &running, &mut rng).unwrap();
    assert_eq!(domains(&table, &chain), ["a", "b"]);
}

#[test]
fn load_reported_by_peers_is_counted() {
    let engine = engine();
    let (_, table) = placed_fleet();
    let mut other = table_with_load(&table, "a");
    let mut peer_table = PeerTable::default();
    let messages = peer_table.load_messages(NOW, &other);
    let mut peers = PeerTable::default();
    for message in &messages {
        peers.apply_report(NOW, "10.9.9.9:1", message, &table);
    }
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let chain = choose_chain(&table, &query(&engine, &peers), &mut rng).unwrap();
    assert!(
        !domains(&table, &chain).contains(&String::from("a")),
        "the chain uses a domain that the peer fills"
    );
    // The peer's requests end, and its next report resets the load.
    let keys: Vec<UpstreamKey> = other.iter().map(|(key, _)| key).collect();
    for key in keys {
        for _ in 0..other.get(key).in_flight {
            let each = other.get(key).reserved_kv / f64::from(other.get(key).in_flight);
            other.remove_request(key, each);
        }
    }
    for message in peer_table.load_messages(NOW, &other) {
        peers.apply_report(NOW, "10.9.9.9:1", &message, &table);
    }
    for (key, _) in table.iter() {
        assert_eq!(peers.peer_load(key).in_flight, 0.0);
    }
}

#[test]
fn a_replica_that_reports_a_slowdown_is_avoided() {
    let (engine, peers) = (engine(), PeerTable::default());
    let (plan, mut table) = placed_fleet();
    let slow = key_of(&table, &assigned_ids(&plan, "b").remove(1));
    let mut rng = Pcg64Mcg::seed_from_u64(6);
    assert!(
        table.apply_slowdown(NOW, slow, 10.0, true),
        "the slowdown changed"
    );
    for _ in 0..50 {
        let chain = choose_chain(&table, &query(&engine, &peers), &mut rng).unwrap();
        assert!(chain.iter().all(|hop| hop.upstream != slow));
        for hop in &chain {
            table.add_request(hop.upstream, 991.0 * f64::from(hop.layers.len()));
        }
    }
    assert!(
        table.apply_slowdown(NOW, slow, 1.0, true),
        "the slowdown ended"
    );
    assert_eq!(table.get(slow).slowdown(NOW), 1.0);
}

#[test]
fn replica_at_its_limit_is_no_first_hop_but_serves_chains_that_others_begin() {
    let (engine, peers) = (engine(), PeerTable::default());
    let mut table = UpstreamTable::default();
    let layers = |from, to| LayerRange { from, to };
    let placed = [
        (1, "entry", "l4", layers(0, 8)),
        (2, "first", "a100", layers(0, 26)),
        (3, "second", "a100", layers(26, 53)),
        (4, "third", "a100", layers(53, 80)),
    ];
    for (number, id, kind, layers) in placed {
        table.apply_entry(ClockTime(0), entry(number, id, "a", kind, layers));
    }
    let first = key_of(&table, "first");
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut permits = PermitTable::new("10.9.0.1:7340".parse().unwrap());
    let chain_with = |permits: &PermitTable, rng: &mut Pcg64Mcg| {
        let query = ChainQuery {
            permits: Some(permits),
            ..query(&engine, &peers)
        };
        choose_chain(&table, &query, rng).unwrap()
    };
    assert_eq!(chain_with(&permits, &mut rng)[0].upstream, first);
    let stated = StatedLimit {
        per_second: Some(1.0),
        asked_at: NOW,
        heard_at: NOW,
    };
    permits.apply(NOW, first, 1, stated, LimitSource::Upstream);
    permits.record_denial(NOW, first, 1_000, 0.5);
    let chain = chain_with(&permits, &mut rng);
    assert!(covers(&chain, 80));
    let hops: Vec<(UpstreamKey, LayerRange)> =
        chain.iter().map(|hop| (hop.upstream, hop.layers)).collect();
    let expected = [
        (key_of(&table, "entry"), layers(0, 8)),
        (first, layers(8, 26)),
        (key_of(&table, "second"), layers(26, 53)),
        (key_of(&table, "third"), layers(53, 80)),
    ];
    assert_eq!(hops, expected);
}

#[test]
fn choosing_among_thousands_of_replicas_stays_within_20_ms() {
    // Guards the latency of a gateway that gets some 20 requests/s and chooses among 3,000
    // replicas.
    const CHOICES: u32 = 50;
    const MAX_EACH: Duration = Duration::from_millis(20);
    let (engine, peers) = (large_engine(), PeerTable::default());
    let plan = plan_service(&engine, &large_accelerators());
    let mut table = UpstreamTable::default();
    for number in 0..3_000_u16 {
        let slot = &plan.slots[usize::from(number) % plan.slots.len()];
        let id = format!("{}-{number}", slot.id);
        table.apply_entry(
            NOW,
            entry(number, &id, &slot.domain, &slot.kind, slot.layers()),
        );
    }
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    let (started_at, used_before) = (Instant::now(), processor_time());
    for _ in 0..CHOICES {
        let chain = choose_chain(&table, &query(&engine, &peers), &mut rng).unwrap();
        assert!(covers(&chain, 80));
        for hop in &chain {
            table.add_request(hop.upstream, 991.0 * f64::from(hop.layers.len()));
        }
    }
    let each = (processor_time() - used_before) / CHOICES;
    let elapsed = started_at.elapsed() / CHOICES;
    println!("a choice takes {each:?} of processor time, {elapsed:?} on the wall");
    assert!(each < MAX_EACH, "a choice takes {each:?}");
}

/// Processor time that this thread has used, without that of others which ran in between.
fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    let nanos = text.split_whitespace().next().unwrap();
    Duration::from_nanos(nanos.parse().unwrap())
}

fn table_with_load(table: &UpstreamTable, domain: &str) -> UpstreamTable {
    let mut loaded = UpstreamTable::default();
    for (_, record) in table.iter() {
        loaded.apply_entry(ClockTime(0), record.entry.clone());
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
    fn a_chain_covers_all_layers_once_whichever_replicas_are_dead(
        dead in proptest::collection::vec(0_u32..38, 0..20), seed in any::<u64>()
    ) {
        let (engine, peers) = (engine(), PeerTable::default());
        let (_, mut table) = placed_fleet();
        for key in &dead {
            table.report_dead(NOW, UpstreamKey(*key));
        }
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        if let Some(chain) = choose_chain(&table, &query(&engine, &peers), &mut rng) {
            prop_assert!(covers(&chain, 80));
            for hop in chain {
                let held = table.get(hop.upstream).entry.layers;
                prop_assert!(held.from <= hop.layers.from && hop.layers.to <= held.to);
                prop_assert!(!dead.contains(&hop.upstream.0));
            }
        }
    }
}
