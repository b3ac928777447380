//! Selection of the chain of replicas that runs a request to a model.
//!
//! The usable replicas of a model form a graph: its nodes are layer boundaries, an edge spans the
//! layers that a replica holds, and a chain is a path from the first layer to the last. The layer
//! ranges of different replicas need not be aligned. The path with the lowest expected cost is
//! chosen; a random factor spreads requests over replicas of about equal cost.

use std::collections::{BTreeMap, HashSet};

use rand::Rng;

use crate::clock::ClockTime;
use crate::member::{MemberTable, ReplicaKey, ReplicaRecord};
use crate::wire::gen::{heartbeat::Role, StageHop};

/// Assumed latency of a hop within a failure domain, in microseconds.
const SAME_DOMAIN_HOP_MICROS: f64 = 100.0;
/// Assumed latency of a hop between failure domains of one region, in microseconds.
const CROSS_DOMAIN_HOP_MICROS: f64 = 600.0;
/// Assumed latency of a hop between regions, in microseconds.
const CROSS_REGION_HOP_MICROS: f64 = 10_000.0;
/// Assumed duration of a pass when no replica of the model has reported one, in microseconds.
const DEFAULT_PASS_MICROS: f64 = 10_000.0;
/// Number of requests in flight on a replica at which a pass takes twice as long as on an idle one.
pub const PASS_DOUBLING_IN_FLIGHT: u64 = 16;
/// Maximum random increase of a replica's cost, as a fraction of the cost. It spreads requests over
/// replicas of equal cost.
const COST_SPREAD: f64 = 0.2;
/// Load, as a fraction of its limit, at or above which a replica is not chosen.
const LOAD_LIMIT: f64 = 1.0;

/// Query for a chain: the layers that it must cover and the constraints on its replicas.
#[derive(Clone, Copy, Debug)]
pub struct ChainQuery<'a> {
    /// Name of the model.
    pub model: &'a str,
    /// First layer to cover.
    pub first_layer: u32,
    /// One past the last layer to cover.
    pub end_layer: u32,
    /// Message addresses of replicas that must not be chosen.
    pub avoid: &'a HashSet<String>,
    /// Failure domain and region of the previous stage; `None` for the first stage of a request.
    pub previous_location: Option<(&'a str, &'a str)>,
}

/// Last step of the cheapest known path to a layer boundary.
#[derive(Clone, Copy)]
struct PathStep {
    /// Cost of the whole path, in microseconds.
    cost: f64,
    replica: ReplicaKey,
    first_layer: u32,
}

/// Chooses the cheapest chain for a query. Returns `None` when the usable replicas do not cover the
/// layers.
pub fn choose_chain<R: Rng>(
    table: &MemberTable,
    now: ClockTime,
    query: ChainQuery<'_>,
    rng: &mut R,
) -> Option<Vec<StageHop>> {
    let edges = usable_edges(table, now, query, rng);
    let mut best_steps: BTreeMap<u32, PathStep> = BTreeMap::new();
    // Edges are sorted by their first layer, so that the cheapest path to a boundary is final
    // before it is extended.
    for edge in &edges {
        let previous_step = match best_steps.get(&edge.first_layer) {
            Some(step) => Some(*step),
            None if edge.first_layer == query.first_layer => None,
            None => continue,
        };
        let record = table.get(edge.replica);
        let previous_location = match previous_step {
            Some(step) => {
                let heartbeat = &table.get(step.replica).heartbeat;
                Some((heartbeat.failure_domain.as_str(), heartbeat.region.as_str()))
            }
            None => query.previous_location,
        };
        let cost = previous_step.map_or(0.0, |step| step.cost)
            + hop_micros(previous_location, record)
            + edge.cost;
        let known_cost = best_steps
            .get(&edge.end_layer)
            .map_or(f64::MAX, |step| step.cost);
        if cost < known_cost {
            let step = PathStep {
                cost,
                replica: edge.replica,
                first_layer: edge.first_layer,
            };
            best_steps.insert(edge.end_layer, step);
        }
    }
    backtrack(table, &best_steps, query)
}

/// A usable replica as an edge of the graph. Its cost is the expected duration of a pass, in
/// microseconds, with the random increase.
struct RouteEdge {
    replica: ReplicaKey,
    first_layer: u32,
    end_layer: u32,
    cost: f64,
}

fn usable_edges<R: Rng>(
    table: &MemberTable,
    now: ClockTime,
    query: ChainQuery<'_>,
    rng: &mut R,
) -> Vec<RouteEdge> {
    let mean_micros = mean_unloaded_pass_micros(table, query.model);
    let mut edges = Vec::new();
    for (replica, record) in table.iter() {
        let Some(Role::Model(role)) = &record.heartbeat.role else {
            continue;
        };
        let matches_layers = role.model == query.model
            && role.first_layer >= query.first_layer
            && role.end_layer <= query.end_layer
            && role.first_layer < role.end_layer;
        let available = record.usable(now) && record.load() < LOAD_LIMIT;
        if !matches_layers || !available || query.avoid.contains(&record.address) {
            continue;
        }
        let spread = 1.0 + COST_SPREAD * rng.random::<f64>();
        edges.push(RouteEdge {
            replica,
            first_layer: role.first_layer,
            end_layer: role.end_layer,
            cost: loaded_pass_micros(record, mean_micros) * spread,
        });
    }
    edges.sort_by_key(|edge| (edge.first_layer, edge.end_layer));
    edges
}

/// Mean duration of a pass without other requests, over the replicas that have reported one, in
/// microseconds. It is the estimate for the others, so that a new replica gets neither too few nor
/// too many requests.
fn mean_unloaded_pass_micros(table: &MemberTable, model: &str) -> f64 {
    let reported = table
        .iter()
        .filter_map(|(_, record)| match &record.heartbeat.role {
            Some(Role::Model(role)) if role.model == model => Some(record.heartbeat.pass_micros),
            _ => None,
        });
    let (mut sum, mut count) = (0.0, 0.0);
    for micros in reported.filter(|micros| *micros > 0) {
        sum += f64::from(micros);
        count += 1.0;
    }
    if count > 0.0 {
        sum / count
    } else {
        DEFAULT_PASS_MICROS
    }
}

/// Expected duration of one pass, in microseconds: the reported duration, which is that of a pass
/// without other requests, increased in proportion to the requests in flight.
fn loaded_pass_micros(record: &ReplicaRecord, mean_micros: f64) -> f64 {
    let unloaded_micros = match record.heartbeat.pass_micros {
        0 => mean_micros,
        micros => f64::from(micros),
    };
    unloaded_micros * (1.0 + record.expected_in_flight() / PASS_DOUBLING_IN_FLIGHT as f64)
}

fn hop_micros(from: Option<(&str, &str)>, to: &ReplicaRecord) -> f64 {
    match from {
        None => SAME_DOMAIN_HOP_MICROS,
        Some((_, region)) if region != to.heartbeat.region => CROSS_REGION_HOP_MICROS,
        Some((domain, _)) if domain != to.heartbeat.failure_domain => CROSS_DOMAIN_HOP_MICROS,
        Some(_) => SAME_DOMAIN_HOP_MICROS,
    }
}

fn backtrack(
    table: &MemberTable,
    best_steps: &BTreeMap<u32, PathStep>,
    query: ChainQuery<'_>,
) -> Option<Vec<StageHop>> {
    let mut chain = Vec::new();
    let mut end_layer = query.end_layer;
    while end_layer > query.first_layer {
        let step = best_steps.get(&end_layer)?;
        chain.push(StageHop {
            address: table.get(step.replica).address.clone(),
            first_layer: step.first_layer,
            end_layer,
        });
        end_layer = step.first_layer;
    }
    chain.reverse();
    assert!(covers_layers(&chain, query.first_layer, query.end_layer));
    Some(chain)
}

/// Whether a chain covers the layers from `first` up to but excluding `end` exactly once and in
/// order.
pub fn covers_layers(chain: &[StageHop], first: u32, end: u32) -> bool {
    let mut next = first;
    for hop in chain {
        if hop.first_layer != next || hop.end_layer <= hop.first_layer {
            return false;
        }
        next = hop.end_layer;
    }
    next == end
}
