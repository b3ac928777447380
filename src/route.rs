//! Choice of the chain of upstreams that runs a request.
//!
//! The usable replicas of a model form a layered graph: an edge spans the layers that a replica
//! holds, and a chain is a path from layer 0 to the last. Ranges need not line up between
//! replicas. The path with the least expected cost is taken; equal costs are spread at random.

use std::collections::{BTreeMap, HashSet};

use rand::Rng;

use crate::clock::ClockTime;
use crate::member::{MemberTable, ReplicaKey, ReplicaRecord};
use crate::wire::gen::{heartbeat::Role, StageHop};

/// Time of one hop within a failure domain, microseconds.
const HOP_NEAR_MICROS: f64 = 100.0;
/// Time of one hop between failure domains, microseconds.
const HOP_FAR_MICROS: f64 = 600.0;
/// Time of one hop between regions, microseconds.
const HOP_REGION_MICROS: f64 = 10_000.0;
/// Time of a pass when no replica has run one, microseconds.
const UNKNOWN_PASS_MICROS: f64 = 10_000.0;
/// Requests in flight that double the time of a pass.
pub const DOUBLING_IN_FLIGHT: u64 = 16;
/// Share of cost by which equal replicas are spread.
const SPREAD: f64 = 0.2;
/// Load above which a replica is not chosen.
const FULL_LOAD: f64 = 1.0;

/// A part of a model that a chain must cover.
#[derive(Clone, Copy, Debug)]
pub struct RouteNeed<'a> {
    /// The model.
    pub model: &'a str,
    /// First layer needed.
    pub first_layer: u32,
    /// One past the last layer needed.
    pub end_layer: u32,
    /// Addresses that must not be used.
    pub avoid: &'a HashSet<String>,
    /// Failure domain and region of the hop before, if there is one.
    pub from: Option<(&'a str, &'a str)>,
}

#[derive(Clone, Copy)]
struct PathStep {
    cost: f64,
    replica: ReplicaKey,
    first_layer: u32,
}

/// Chooses a chain, or `None` when the usable replicas do not cover the layers.
pub fn choose_chain<R: Rng>(
    table: &MemberTable,
    now: ClockTime,
    need: RouteNeed<'_>,
    rng: &mut R,
) -> Option<Vec<StageHop>> {
    let edges = usable_edges(table, now, need, rng);
    let mut best: BTreeMap<u32, PathStep> = BTreeMap::new();
    // Edges are sorted by their first layer, so each start is settled before it is used.
    for edge in &edges {
        let before = match best.get(&edge.first_layer) {
            Some(step) => Some(*step),
            None if edge.first_layer == need.first_layer => None,
            None => continue,
        };
        let record = table.get(edge.replica);
        let place = match before {
            Some(step) => {
                let heartbeat = &table.get(step.replica).heartbeat;
                Some((heartbeat.failure_domain.as_str(), heartbeat.region.as_str()))
            }
            None => need.from,
        };
        let cost = before.map_or(0.0, |step| step.cost) + hop_micros(place, record) + edge.cost;
        let known = best.get(&edge.end_layer).map_or(f64::MAX, |step| step.cost);
        if cost < known {
            let step = PathStep {
                cost,
                replica: edge.replica,
                first_layer: edge.first_layer,
            };
            best.insert(edge.end_layer, step);
        }
    }
    walk_back(table, &best, need)
}

struct RouteEdge {
    replica: ReplicaKey,
    first_layer: u32,
    end_layer: u32,
    cost: f64,
}

fn usable_edges<R: Rng>(
    table: &MemberTable,
    now: ClockTime,
    need: RouteNeed<'_>,
    rng: &mut R,
) -> Vec<RouteEdge> {
    let mean_micros = mean_pass_micros(table, need.model);
    let mut edges = Vec::new();
    for (replica, record) in table.iter() {
        let Some(Role::Model(role)) = &record.heartbeat.role else {
            continue;
        };
        let fits = role.model == need.model
            && role.first_layer >= need.first_layer
            && role.end_layer <= need.end_layer
            && role.first_layer < role.end_layer;
        let free = record.usable(now) && record.load() < FULL_LOAD;
        if !fits || !free || need.avoid.contains(&record.address) {
            continue;
        }
        let spread = 1.0 + SPREAD * rng.random::<f64>();
        edges.push(RouteEdge {
            replica,
            first_layer: role.first_layer,
            end_layer: role.end_layer,
            cost: pass_micros(record, mean_micros) * spread,
        });
    }
    edges.sort_by_key(|edge| (edge.first_layer, edge.end_layer));
    edges
}

/// Mean time of a pass over the replicas that have run one: the guess for those that have not,
/// so that a new replica is neither shunned nor flooded.
fn mean_pass_micros(table: &MemberTable, model: &str) -> f64 {
    let known = table
        .iter()
        .filter_map(|(_, record)| match &record.heartbeat.role {
            Some(Role::Model(role)) if role.model == model => Some(record.heartbeat.pass_micros),
            _ => None,
        });
    let (mut sum, mut count) = (0.0, 0.0);
    for micros in known.filter(|micros| *micros > 0) {
        sum += f64::from(micros);
        count += 1.0;
    }
    if count > 0.0 {
        sum / count
    } else {
        UNKNOWN_PASS_MICROS
    }
}

/// Expected time of one pass: that of the engine, longer the more it has in flight.
fn pass_micros(record: &ReplicaRecord, mean_micros: f64) -> f64 {
    let recent = match record.heartbeat.pass_micros {
        0 => mean_micros,
        micros => f64::from(micros),
    };
    recent * (1.0 + record.expected_in_flight() / DOUBLING_IN_FLIGHT as f64)
}

fn hop_micros(from: Option<(&str, &str)>, to: &ReplicaRecord) -> f64 {
    match from {
        None => HOP_NEAR_MICROS,
        Some((_, region)) if region != to.heartbeat.region => HOP_REGION_MICROS,
        Some((domain, _)) if domain != to.heartbeat.failure_domain => HOP_FAR_MICROS,
        Some(_) => HOP_NEAR_MICROS,
    }
}

fn walk_back(
    table: &MemberTable,
    best: &BTreeMap<u32, PathStep>,
    need: RouteNeed<'_>,
) -> Option<Vec<StageHop>> {
    let mut chain = Vec::new();
    let mut end_layer = need.end_layer;
    while end_layer > need.first_layer {
        let step = best.get(&end_layer)?;
        chain.push(StageHop {
            address: table.get(step.replica).address.clone(),
            first_layer: step.first_layer,
            end_layer,
        });
        end_layer = step.first_layer;
    }
    chain.reverse();
    assert!(covers(&chain, need.first_layer, need.end_layer));
    Some(chain)
}

/// Whether a chain covers layers `first..end` once and in order.
pub fn covers(chain: &[StageHop], first: u32, end: u32) -> bool {
    let mut next = first;
    for hop in chain {
        if hop.first_layer != next || hop.end_layer <= hop.first_layer {
            return false;
        }
        next = hop.end_layer;
    }
    next == end
}
