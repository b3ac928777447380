//! Tests of the choice of chains: every layer is covered once, equal replicas share the load, and a
//! burst of requests does not pile up on one replica because the reported loads are stale.

use std::collections::{HashMap, HashSet};

use lynxcart::clock::ClockTime;
use lynxcart::member::{MemberTable, ReplicaState};
use lynxcart::route::{choose_chain, covers_layers, ChainQuery};
use lynxcart::wire::gen::{heartbeat::Role, Heartbeat, ModelRole};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const NOW: ClockTime = ClockTime(1_000);

#[derive(Clone, Copy, Debug)]
struct Replica {
    first: u32,
    end: u32,
    in_flight: u32,
    pass_micros: u32,
}

fn member_table(replicas: &[Replica]) -> MemberTable {
    let mut table = MemberTable::default();
    for (index, replica) in replicas.iter().enumerate() {
        let heartbeat = Heartbeat {
            failure_domain: format!("d{}", index % 3),
            region: "r".into(),
            sequence: 1,
            in_flight: replica.in_flight,
            limit: 96,
            pass_micros: replica.pass_micros,
            role: Some(Role::Model(ModelRole {
                model: "m".into(),
                first_layer: replica.first,
                end_layer: replica.end,
                accelerator: "a".into(),
            })),
            ..Heartbeat::default()
        };
        table.apply_heartbeat(NOW, &format!("a{index}"), 1, heartbeat);
    }
    table
}

fn query(avoid: &HashSet<String>) -> ChainQuery<'_> {
    ChainQuery {
        model: "m",
        first_layer: 0,
        end_layer: 12,
        avoid,
        previous_location: None,
    }
}

/// Starts `count` requests at once. Returns the number of requests by address.
fn start_burst(table: &mut MemberTable, count: u32) -> HashMap<String, u32> {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut chosen = HashMap::new();
    for _ in 0..count {
        let avoid = HashSet::new();
        let chain = choose_chain(table, NOW, query(&avoid), &mut rng)
            .expect("the replicas cover every layer");
        for hop in chain {
            table.request_started(&hop.address);
            *chosen.entry(hop.address).or_default() += 1;
        }
    }
    chosen
}

#[test]
fn burst_is_spread_despite_stale_load_reports() {
    struct BurstCase {
        name: &'static str,
        pass_micros: [u32; 2],
        /// Lowest and highest accepted fraction of the burst on the first replica.
        share: (f64, f64),
    }
    let cases = [
        BurstCase {
            name: "equal pass times",
            pass_micros: [5_000, 5_000],
            share: (0.4, 0.6),
        },
        BurstCase {
            name: "no pass time reported yet",
            pass_micros: [5_000, 0],
            share: (0.4, 0.6),
        },
        BurstCase {
            name: "three times the pass time",
            pass_micros: [15_000, 5_000],
            share: (0.1, 0.25),
        },
    ];
    for case in cases {
        let replicas = case.pass_micros.map(|pass_micros| Replica {
            first: 0,
            end: 12,
            in_flight: 0,
            pass_micros,
        });
        let chosen = start_burst(&mut member_table(&replicas), 96);
        let share = f64::from(chosen.get("a0").copied().unwrap_or(0)) / 96.0;
        let (min_share, max_share) = case.share;
        assert!(
            (min_share..=max_share).contains(&share),
            "{}: {chosen:?}",
            case.name
        );
    }
}

#[test]
fn suspect_or_silent_replica_is_not_chosen_until_its_next_heartbeat() {
    let replica = Replica {
        first: 0,
        end: 12,
        in_flight: 0,
        pass_micros: 5_000,
    };
    let mut table = member_table(&[replica]);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let avoid = HashSet::new();
    assert!(choose_chain(&table, NOW, query(&avoid), &mut rng).is_some());
    assert!(choose_chain(&table, NOW + 3_000, query(&avoid), &mut rng).is_none());
    table.mark_suspect("a0");
    assert!(choose_chain(&table, NOW, query(&avoid), &mut rng).is_none());
    let mut heartbeat = table
        .by_address("a0")
        .expect("replica a0 is in the table")
        .heartbeat
        .clone();
    // A duplicate of a heartbeat that was already applied does not clear the suspicion.
    table.apply_heartbeat(NOW, "a0", 1, heartbeat.clone());
    assert!(choose_chain(&table, NOW, query(&avoid), &mut rng).is_none());
    heartbeat.sequence += 1;
    table.apply_heartbeat(NOW, "a0", 1, heartbeat.clone());
    assert!(choose_chain(&table, NOW, query(&avoid), &mut rng).is_some());
    // A draining replica stays draining within one incarnation.
    heartbeat.sequence += 1;
    heartbeat.draining = true;
    table.apply_heartbeat(NOW, "a0", 1, heartbeat.clone());
    heartbeat.sequence += 1;
    heartbeat.draining = false;
    table.apply_heartbeat(NOW, "a0", 1, heartbeat);
    assert_eq!(
        table
            .by_address("a0")
            .expect("replica a0 is in the table")
            .state,
        ReplicaState::Draining
    );
    assert!(choose_chain(&table, NOW, query(&avoid), &mut rng).is_none());
}

fn replicas() -> impl Strategy<Value = Vec<Replica>> {
    let replica = (0..12u32, 1..=12u32, 0..96u32, 0..20_000u32);
    let replica = replica.prop_filter_map(
        "first layer is not below end layer",
        |(first, end, in_flight, pass_micros)| {
            (first < end).then_some(Replica {
                first,
                end,
                in_flight,
                pass_micros,
            })
        },
    );
    proptest::collection::vec(replica, 0..24)
}

/// Whether some sequence of the ranges covers every layer exactly once.
fn coverable(replicas: &[Replica]) -> bool {
    let mut reached = HashSet::from([0]);
    for layer in 0..12 {
        if reached.contains(&layer) {
            reached.extend(replicas.iter().filter(|r| r.first == layer).map(|r| r.end));
        }
    }
    reached.contains(&12)
}

proptest! {
    #[test]
    fn finds_a_chain_if_one_exists_and_covers_each_layer_once(replicas in replicas(), seed: u64) {
        let table = member_table(&replicas);
        let avoid = HashSet::new();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let chain = choose_chain(&table, NOW, query(&avoid), &mut rng);
        prop_assert_eq!(chain.is_some(), coverable(&replicas));
        if let Some(chain) = chain {
            prop_assert!(covers_layers(&chain, 0, 12));
        }
    }
}
