//! Chooses the chain of replicas that runs every layer of a model exactly once and in order.

use std::collections::HashMap;

use rand::Rng;

use crate::clock::ClockTime;
use crate::gateway::catalog::EngineRule;
use crate::gateway::peer::{LinkKey, PeerTable};
use crate::gateway::permit_table::PermitTable;
use crate::gateway::upstream::{LayerRange, UpstreamKey, UpstreamRecord, UpstreamTable};

/// Upper bound of the random part of a hop's cost, relative to that cost. It keeps gateways with
/// the same view from all choosing the same replica.
const COST_NOISE: f64 = 0.06;
/// Part of a replica's KV memory that requests may fill. A request that would fill more is not sent
/// there, unless the replica already holds its KV cache.
pub const MAX_FILL: f64 = 0.97;
/// Factor on the cost of a hop at a replica with a limit whose answers were not heard for long, which
/// is the only way to learn that the limit has ended.
const UNHEARD_FACTOR: f64 = 0.25;
/// Factor on a replica's recent failure rate in the cost of a hop.
const FAILURE_FACTOR: f64 = 2.0;
/// Factor on the time for which a request occupies a cross-domain link in the cost of that link,
/// since other requests wait for it meanwhile.
const LINK_FACTOR: f64 = 40.0;
/// Part of the time for which a cross-domain link may be in use.
const MAX_LINK_UTILIZATION: f64 = 0.35;
/// Approximate duration of a request, milliseconds.
const REQUEST_DURATION_MS: f64 = 2_000.0;
/// One-way delay between two replicas in the same failure domain, milliseconds.
const LOCAL_DELAY_MS: f64 = 0.2;
/// Upper bound of the replicas with the same layers in the same failure domain that are considered
/// for one request: those with the least cost.
const MAX_EQUIVALENT: usize = 3;
/// Upper bound of the number of hops in a chain.
pub const MAX_HOPS: usize = 32;

/// One replica of a chain (an upstream that holds layers) and the layers that it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChainHop {
    /// The replica that runs the layers.
    pub upstream: UpstreamKey,
    /// Layers that the replica runs for the request; it may hold more.
    pub layers: LayerRange,
}

/// A request for which a chain is chosen, and the view of the fleet to choose with.
#[derive(Clone, Copy, Debug)]
pub struct ChainQuery<'a> {
    /// Time at which the chain is chosen.
    pub now: ClockTime,
    /// Name of the service that the request is for.
    pub service: &'a str,
    /// Model and kinds of accelerators of the service.
    pub engine: &'a EngineRule,
    /// Number of tokens in the prompt.
    pub prompt_tokens: f64,
    /// Expected number of tokens in the answer.
    pub expected_answer_tokens: f64,
    /// Failure domain of the gateway, where the chain's first transfer starts.
    pub domain: &'a str,
    /// Replicas that the chain must not use, except for `pinned_first`.
    pub avoid: &'a [UpstreamKey],
    /// The first hop that the chain must keep. `None` for a request that is not running yet.
    pub pinned_first: Option<ChainHop>,
    /// Part of a replica's KV memory that the request may fill, at most [`MAX_FILL`].
    pub max_fill: f64,
    /// Replicas that already hold the request's KV cache; empty if it is not running yet.
    pub current: &'a [UpstreamKey],
    /// Cross-domain links that the request uses already; empty if it is not running yet.
    pub held_links: &'a [LinkKey],
    /// Load that other gateways report, and this gateway's use of links.
    pub peers: &'a PeerTable,
    /// Limits of the replicas, which count for the first one of a chain. `None` to disregard them.
    pub permits: Option<&'a PermitTable>,
}

/// Whether `chain` runs the first `layers` layers of a model once and in order, with no replica
/// used twice.
pub fn covers(chain: &[ChainHop], layers: u32) -> bool {
    let mut next = 0;
    for (index, hop) in chain.iter().enumerate() {
        let twice = chain[..index]
            .iter()
            .any(|other| other.upstream == hop.upstream);
        if hop.layers.from != next || hop.layers.is_empty() || twice {
            return false;
        }
        next = hop.layers.to;
    }
    next == layers
}

/// A replica that may become a hop.
#[derive(Clone, Copy, Debug)]
struct ChainCandidate<'a> {
    key: UpstreamKey,
    record: &'a UpstreamRecord,
    /// Random factor on its cost.
    noise: f64,
    /// Whether it may be the first hop, the only one that gets requests from gateways.
    may_be_first: bool,
}

/// The last hop of a chain that runs the layers before `to`, linked to the hop before it.
#[derive(Clone, Copy, Debug)]
struct PartialChain {
    upstream: UpstreamKey,
    from: u32,
    to: u32,
    /// Cost of all hops so far.
    cost: f64,
    /// Index of the partial chain that this one extends. `None` for a first hop.
    predecessor: Option<usize>,
    /// Number of hops so far.
    hops: usize,
}

/// Returns the chain with the least cost, or `None` if no chain has capacity for the request.
pub fn choose_chain(
    table: &UpstreamTable,
    query: &ChainQuery<'_>,
    rng: &mut impl Rng,
) -> Option<Vec<ChainHop>> {
    let mut candidates: Vec<ChainCandidate<'_>> = Vec::new();
    for (key, record) in table.iter() {
        let first = query.pinned_first.is_some_and(|hop| hop.upstream == key);
        let fits = record.entry.service == query.service && !record.entry.layers.is_empty();
        if fits && (first || (record.usable(query.now) && !query.avoid.contains(&key))) {
            let permits = query
                .permits
                .filter(|_| record.entry.layers.from == 0 && !first);
            let may_be_first = permits.is_none_or(|permits| permits.may_request(query.now, key));
            let is_unheard = permits.is_some_and(|permits| permits.is_unheard(query.now, key));
            let preference = match is_unheard && may_be_first {
                true => UNHEARD_FACTOR,
                false => 1.0,
            };
            candidates.push(ChainCandidate {
                key,
                record,
                noise: preference * (1.0 + COST_NOISE * rng.random::<f64>()),
                may_be_first,
            });
        }
    }
    let mut candidates = keep_cheapest(candidates, query);
    candidates.sort_by_key(|candidate| (candidate.record.entry.layers, candidate.key));
    let mut partials: Vec<PartialChain> = Vec::new();
    // A partial chain ends where its last replica's layers end. Start layers are visited in
    // ascending order, so all partial chains that end at a layer are known before any is extended
    // from it.
    let mut end_layers: Vec<u32> = candidates
        .iter()
        .map(|candidate| candidate.record.entry.layers.to)
        .collect();
    end_layers.sort_unstable();
    end_layers.dedup();
    let mut start_layers = vec![0];
    start_layers.extend(
        end_layers
            .iter()
            .copied()
            .filter(|end| *end < query.engine.layers),
    );
    for start in start_layers {
        extend_chains(&mut partials, &candidates, table, query, start);
    }
    let cheapest = (0..partials.len())
        .filter(|index| partials[*index].to == query.engine.layers)
        .min_by(|one, other| partials[*one].cost.total_cmp(&partials[*other].cost))?;
    let mut chain = Vec::new();
    let mut next = Some(cheapest);
    while let Some(index) = next {
        let partial = partials[index];
        chain.push(ChainHop {
            upstream: partial.upstream,
            layers: LayerRange {
                from: partial.from,
                to: partial.to,
            },
        });
        next = partial.predecessor;
    }
    chain.reverse();
    covers(&chain, query.engine.layers).then_some(chain)
}

/// Keeps the [`MAX_EQUIVALENT`] cheapest replicas of each failure domain and layer range, so that
/// the time of a choice does not grow with the square of the number of replicas. Replicas that
/// already hold the request's KV cache are always kept.
fn keep_cheapest<'a>(
    candidates: Vec<ChainCandidate<'a>>,
    query: &ChainQuery<'_>,
) -> Vec<ChainCandidate<'a>> {
    type GroupKey<'a> = (&'a str, LayerRange, bool);
    let mut groups: HashMap<GroupKey<'_>, Vec<(f64, ChainCandidate<'a>)>> = HashMap::new();
    let mut kept = Vec::new();
    for candidate in candidates {
        let ChainCandidate {
            key,
            record,
            noise,
            may_be_first,
        } = candidate;
        if query.current.contains(&key) {
            kept.push(candidate);
            continue;
        }
        let entry = &record.entry;
        if let Some(cost) = hop_cost(key, record, query, entry.layers.len()) {
            let group = groups
                .entry((&entry.domain, entry.layers, may_be_first))
                .or_default();
            group.push((cost * noise, candidate));
        }
    }
    for mut group in groups.into_values() {
        if group.len() > MAX_EQUIVALENT {
            group.select_nth_unstable_by(MAX_EQUIVALENT, |(a, _), (b, _)| a.total_cmp(b));
            group.truncate(MAX_EQUIVALENT);
        }
        kept.extend(group.into_iter().map(|(_, candidate)| candidate));
    }
    kept
}

/// Adds to `partials` each candidate that can run the layers from `start`, as the first hop or
/// after the partial chain that makes the total cost least.
fn extend_chains(
    partials: &mut Vec<PartialChain>,
    candidates: &[ChainCandidate<'_>],
    table: &UpstreamTable,
    query: &ChainQuery<'_>,
    start: u32,
) {
    let predecessors: Vec<usize> = (0..partials.len())
        .filter(|index| partials[*index].to == start)
        .collect();
    if start > 0 && predecessors.is_empty() {
        return;
    }
    for candidate in candidates {
        let ChainCandidate {
            key,
            record,
            noise,
            may_be_first,
        } = candidate;
        if start == 0 && !may_be_first {
            continue;
        }
        let held = record.entry.layers;
        if held.from > start || held.to <= start {
            continue;
        }
        let to = match query.pinned_first {
            Some(first) if start == 0 && first.upstream != *key => continue,
            Some(first) if start > 0 && first.upstream == *key => continue,
            Some(first) if start == 0 => first.layers.to,
            _ => held.to,
        };
        let Some(hop_ms) = hop_cost(*key, record, query, to - start) else {
            continue;
        };
        let mut best: Option<(f64, Option<usize>, usize)> = None;
        if start == 0 {
            let delay = query.engine.delay_ms(query.domain, &record.entry.domain);
            best = Some((hop_ms * noise + delay, None, 1));
        }
        for index in &predecessors {
            let predecessor = &partials[*index];
            if predecessor.hops >= MAX_HOPS || contains_upstream(partials, *index, *key) {
                continue;
            }
            let last = table.get(predecessor.upstream);
            let Some(link_ms) = link_cost(last, record, query) else {
                continue;
            };
            let cost = predecessor.cost + hop_ms * noise + link_ms;
            if best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, Some(*index), predecessor.hops + 1));
            }
        }
        if let Some((cost, predecessor, hops)) = best {
            partials.push(PartialChain {
                upstream: *key,
                from: start,
                to,
                cost,
                predecessor,
                hops,
            });
        }
    }
}

fn contains_upstream(partials: &[PartialChain], mut index: usize, key: UpstreamKey) -> bool {
    loop {
        if partials[index].upstream == key {
            return true;
        }
        match partials[index].predecessor {
            Some(predecessor) => index = predecessor,
            None => return false,
        }
    }
}

/// Cost of running `layers` layers in one replica: the expected time in milliseconds, increased
/// with the replica's failure rate. `None` if the replica has no capacity or its kind of
/// accelerator is not configured.
fn hop_cost(
    key: UpstreamKey,
    record: &UpstreamRecord,
    query: &ChainQuery<'_>,
    layers: u32,
) -> Option<f64> {
    let engine = query.engine;
    let kind = engine.kind(&record.entry.kind)?;
    let layer_share = f64::from(layers) / f64::from(engine.layers);
    let capacity = engine.kv_capacity(kind, record.entry.layers.len());
    let estimated = query.peers.estimated_load(key, record.unreported);
    // The request's tokens are already counted in the load of a replica that holds them.
    let is_current = query.current.contains(&key);
    let tokens = match is_current {
        true => 0.0,
        false => (query.prompt_tokens + query.expected_answer_tokens) * f64::from(layers),
    };
    let fill = (record.reserved_kv + estimated.reserved_kv + tokens) / capacity.max(1.0);
    if fill > query.max_fill.min(MAX_FILL) && !is_current {
        return None;
    }
    let fill = fill.min(MAX_FILL);
    let in_flight_total = f64::from(record.in_flight) + estimated.in_flight;
    let context_k =
        in_flight_total * (query.prompt_tokens + query.expected_answer_tokens / 2.0) / 1_000.0;
    let loaded_step_ms = engine.step_ms
        + engine.per_request_ms * in_flight_total
        + engine.per_context_k_ms * context_k;
    let slowdown = record.slowdown(query.now);
    let hop_step_ms = loaded_step_ms * kind.step_factor * layer_share * slowdown;
    let prefill_ms = query.prompt_tokens / engine.prefill_tokens_per_s
        * 1_000.0
        * kind.prefill_factor
        * layer_share
        * slowdown;
    // The wait for a pass grows with the fill of the replica.
    let wait_factor = 1.0 / (1.0 - fill);
    Some(
        (query.expected_answer_tokens * hop_step_ms + prefill_ms)
            * wait_factor
            * (1.0 + record.failure_rate(query.now) * FAILURE_FACTOR),
    )
}

/// Cost of passing a request between two replicas: the expected delay in milliseconds, and for a
/// cross-domain link a penalty for occupying it. `None` if that link has no capacity.
fn link_cost(last: &UpstreamRecord, next: &UpstreamRecord, query: &ChainQuery<'_>) -> Option<f64> {
    let engine = query.engine;
    if last.entry.domain == next.entry.domain {
        return Some(LOCAL_DELAY_MS * query.expected_answer_tokens);
    }
    let link_key = LinkKey::between(&last.entry.domain, &next.entry.domain);
    let delay = engine.delay_ms(&last.entry.domain, &next.entry.domain);
    let bits = engine.activation_bytes * 8.0;
    let transfer_ms = bits / (engine.link_mbps.max(1.0) * 1_000.0);
    let held_ms = (query.prompt_tokens + query.expected_answer_tokens) * transfer_ms;
    // Number of requests at which the link is in use for MAX_LINK_UTILIZATION of the time.
    let max_requests = (REQUEST_DURATION_MS * MAX_LINK_UTILIZATION / held_ms.max(0.01)).max(1.0);
    let fill = f64::from(query.peers.link_requests(&link_key)) / max_requests;
    if fill >= 1.0 && !query.held_links.contains(&link_key) {
        return None;
    }
    let fill = fill.min(MAX_FILL);
    // All chains that use the link share it, one transfer after another.
    Some(query.expected_answer_tokens * delay + held_ms * LINK_FACTOR / (1.0 - fill))
}
