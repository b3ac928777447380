//! Repair of a placement: computes from the plan and the layers held which replicas must load which
//! ranges, after replicas joined, left or died.

use std::collections::HashMap;
use std::hash::Hash;

use crate::clock::ClockTime;
use crate::gateway::catalog::EngineRule;
use crate::gateway::plan::{layer_cap, PlacementPlan, PlanSlot, MIN_REQUESTS};
use crate::gateway::upstream::{LayerRange, UpstreamKey, UpstreamTable};

/// A layer range that a replica should load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepairStep {
    /// The replica that should load the range.
    pub upstream: UpstreamKey,
    /// Layers that the replica holds once it has loaded them.
    pub layers: LayerRange,
}

/// A live replica and the layers that it holds, or will hold once its pending order is done.
#[derive(Clone, Debug)]
struct LiveReplica {
    key: UpstreamKey,
    id: String,
    domain: String,
    kind: String,
    layers: LayerRange,
    /// Whether it names a limit on the requests that it takes. It is the last choice for a first
    /// stage, which alone gets requests from gateways.
    is_limited: bool,
    /// Whether an order to the replica is pending or planned, so that it must not get another one.
    busy: bool,
}

/// Returns the ranges that replicas should load at `now`. A replica that another replica reported
/// dead counts as gone, long before its registry entry lapses. `pending` holds the ranges that were
/// ordered and do not show in the registry yet.
pub fn repair_steps(
    now: ClockTime,
    plan: &PlacementPlan,
    service: &str,
    engine: &EngineRule,
    table: &UpstreamTable,
    pending: &HashMap<UpstreamKey, LayerRange>,
) -> Vec<RepairStep> {
    let mut replicas: Vec<LiveReplica> = table
        .iter()
        .filter(|(_, record)| record.entry.service == service && record.registered())
        .filter(|(_, record)| !record.reported_dead(now))
        // An entry that states layers which the model does not have is not to be relied on.
        .filter(|(_, record)| record.entry.layers.lies_within(engine.layers))
        .map(|(key, record)| LiveReplica {
            key,
            id: record.entry.id.clone(),
            domain: record.entry.domain.clone(),
            kind: record.entry.kind.clone(),
            layers: pending.get(&key).copied().unwrap_or(record.entry.layers),
            is_limited: record.limit.is_some(),
            busy: pending.contains_key(&key),
        })
        .collect();
    let mut steps = fill_slots(plan, engine, &mut replicas);
    steps.extend(close_gaps(plan, engine, &mut replicas));
    steps
}

/// Assigns the open slots to empty replicas. Slots of a chain come before spares. A slot goes to
/// the replica that it was planned for, else to one of its failure domain with the same kind of
/// accelerator. If there is none, a chain slot whose range no replica of another kind holds goes to
/// any other replica of the domain. An empty replica without an open slot stays empty, since it may
/// have been started as the successor of one that is about to leave.
fn fill_slots(
    plan: &PlacementPlan,
    engine: &EngineRule,
    replicas: &mut [LiveReplica],
) -> Vec<RepairStep> {
    let open = open_slots(plan, replicas);
    let mut empty = EmptyReplicas::new(replicas);
    let mut steps = Vec::new();
    for (slot, held_by_other_kind) in open {
        let allow_other_kind = !(slot.spare || held_by_other_kind);
        if let Some(index) = empty.take(engine, replicas, slot, allow_other_kind) {
            replicas[index].layers = slot.layers();
            replicas[index].busy = true;
            steps.push(RepairStep {
                upstream: replicas[index].key,
                layers: slot.layers(),
            });
        }
    }
    steps
}

/// Index of the empty replicas by id and by failure domain, so that a large fleet is scanned only
/// once.
struct EmptyReplicas {
    by_id: HashMap<String, usize>,
    by_domain: HashMap<String, Vec<usize>>,
}

impl EmptyReplicas {
    fn new(replicas: &[LiveReplica]) -> EmptyReplicas {
        let mut empty = EmptyReplicas {
            by_id: HashMap::new(),
            by_domain: HashMap::new(),
        };
        let indexed = replicas.iter().enumerate();
        let is_free = |replica: &LiveReplica| replica.layers.is_empty() && !replica.busy;
        for (index, replica) in indexed.filter(|(_, replica)| is_free(replica)) {
            empty.by_id.insert(replica.id.clone(), index);
            let domain = empty.by_domain.entry(replica.domain.clone());
            domain.or_default().push(index);
        }
        empty
    }

    /// Removes and returns the index of a replica that can hold a slot: the one that the slot was
    /// planned for, else one of the slot's domain. Its kind of accelerator is the slot's, unless
    /// `allow_other_kind` is set and there is none of that kind.
    fn take(
        &mut self,
        engine: &EngineRule,
        replicas: &[LiveReplica],
        slot: &PlanSlot,
        allow_other_kind: bool,
    ) -> Option<usize> {
        let fits = |index: usize| {
            let replica = &replicas[index];
            can_hold(engine, replica, slot) && (replica.kind == slot.kind || allow_other_kind)
        };
        let in_domain = self
            .by_domain
            .get(&slot.domain)
            .map_or(&[][..], Vec::as_slice);
        let own = self.by_id.get(&slot.id).copied();
        // A replica whose limit bars it from being a good first stage comes after all others.
        let rank = |index: usize| {
            let replica = &replicas[index];
            let is_barred = slot.from == 0 && replica.is_limited;
            (is_barred, own != Some(index), replica.kind != slot.kind)
        };
        let candidates = own.into_iter().chain(in_domain.iter().copied());
        let index = candidates
            .filter(|index| fits(*index))
            .min_by_key(|index| rank(*index))?;
        let replica = &replicas[index];
        self.by_id.remove(&replica.id);
        if let Some(in_domain) = self.by_domain.get_mut(&replica.domain) {
            in_domain.retain(|other| *other != index);
        }
        Some(index)
    }
}

/// Returns the slots that no replica of their kind of accelerator holds, with those of chains
/// first. The second value is true if a replica of another kind holds the range although the plan
/// has no slot of that kind for it.
fn open_slots<'a>(plan: &'a PlacementPlan, replicas: &[LiveReplica]) -> Vec<(&'a PlanSlot, bool)> {
    let mut held: HashMap<(&str, &str, LayerRange), u32> = HashMap::new();
    for replica in replicas.iter().filter(|replica| !replica.layers.is_empty()) {
        let key = (
            replica.domain.as_str(),
            replica.kind.as_str(),
            replica.layers,
        );
        *held.entry(key).or_default() += 1;
    }
    let mut open: Vec<&PlanSlot> = plan.slots.iter().collect();
    open.retain(|slot| !decrement(&mut held, &(&slot.domain, &slot.kind, slot.layers())));
    open.sort_by_key(|slot| slot.spare);
    let mut surplus: HashMap<(&str, LayerRange), u32> = HashMap::new();
    for ((domain, _, layers), count) in held {
        *surplus.entry((domain, layers)).or_default() += count;
    }
    let with_holder = |slot: &'a PlanSlot| {
        let held_by_other_kind = decrement(&mut surplus, &(slot.domain.as_str(), slot.layers()));
        (slot, held_by_other_kind)
    };
    open.into_iter().map(with_holder).collect()
}

/// Decrements a count. Returns whether it was above zero.
fn decrement<K: Eq + Hash>(counts: &mut HashMap<K, u32>, key: &K) -> bool {
    match counts.get_mut(key) {
        Some(count) if *count > 0 => {
            *count -= 1;
            true
        }
        _ => false,
    }
}

/// Whether a replica can hold a slot and keep KV memory for [`min_kv_tokens`] beside it.
fn can_hold(engine: &EngineRule, replica: &LiveReplica, slot: &PlanSlot) -> bool {
    let Some(kind) = engine.kind(&replica.kind) else {
        return false;
    };
    layer_cap(engine, kind, min_kv_tokens(engine)) >= slot.layers().len()
}

/// KV memory that a replica must keep when it takes over a range, tokens: half of what a planned
/// chain requires.
fn min_kv_tokens(engine: &EngineRule) -> f64 {
    MIN_REQUESTS / 2.0 * f64::from(engine.mean_prompt_tokens + engine.mean_answer_tokens)
}

/// Closes the first coverage gap of each failure domain for which the plan has a whole chain. Empty
/// replicas and those whose layers others hold too move to the uncovered layers. If they do not
/// suffice, the neighbours of the gap load its layers in addition to their own.
fn close_gaps(
    plan: &PlacementPlan,
    engine: &EngineRule,
    replicas: &mut [LiveReplica],
) -> Vec<RepairStep> {
    let chain_slots = plan.slots.iter().filter(|slot| !slot.spare);
    let mut domains: Vec<&str> = chain_slots.map(|slot| slot.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    // With a plan pooled over several domains, no domain has a chain of its own to repair.
    domains.retain(|domain| planned_layers(plan, domain) >= engine.layers);
    let mut steps = Vec::new();
    for domain in domains {
        let gap = first_gap(engine, replicas, domain);
        if let Some(gap) = gap {
            // Extending neighbours is the last resort: it reduces the KV memory of the whole chain.
            let mut gap_steps = move_redundant_replicas(engine, replicas, domain, gap);
            if gap_steps.is_empty() {
                gap_steps = extend_neighbours(engine, replicas, domain, gap);
            }
            steps.extend(gap_steps);
        }
    }
    steps
}

/// Number of layers in the slots of a domain that are not spares.
fn planned_layers(plan: &PlacementPlan, domain: &str) -> u32 {
    let slots = plan
        .slots
        .iter()
        .filter(|slot| !slot.spare && slot.domain == domain);
    slots.map(|slot| slot.layers().len()).sum()
}

/// Number of replicas of a domain that hold each layer.
fn holder_counts(engine: &EngineRule, replicas: &[LiveReplica], domain: &str) -> Vec<u32> {
    let mut counts = vec![0; engine.layers as usize];
    for replica in replicas.iter().filter(|replica| replica.domain == domain) {
        for layer in replica.layers.from..replica.layers.to.min(engine.layers) {
            counts[layer as usize] += 1;
        }
    }
    counts
}

/// Returns the first run of uncovered layers in a domain, or `None` if every layer is held.
fn first_gap(engine: &EngineRule, replicas: &[LiveReplica], domain: &str) -> Option<LayerRange> {
    let counts = holder_counts(engine, replicas, domain);
    let from = counts.iter().position(|held| *held == 0)?;
    let rest = &counts[from..];
    let length = rest.iter().position(|held| *held > 0).unwrap_or(rest.len());
    Some(LayerRange {
        from: u32::try_from(from).ok()?,
        to: u32::try_from(from + length).ok()?,
    })
}

/// Extends the ranges of two replicas, one on each side of a gap, until they meet. Takes those that
/// can hold the most further layers. Returns no steps if the two cannot hold the whole gap.
fn extend_neighbours(
    engine: &EngineRule,
    replicas: &mut [LiveReplica],
    domain: &str,
    gap: LayerRange,
) -> Vec<RepairStep> {
    let free_layers = |replica: &LiveReplica| {
        let kind = engine.kind(&replica.kind)?;
        let max_layers = layer_cap(engine, kind, min_kv_tokens(engine));
        let free = max_layers.checked_sub(replica.layers.len())?;
        (free > 0 && !replica.busy && replica.domain == domain).then_some(free)
    };
    let most_free = |adjacent: &dyn Fn(&LiveReplica) -> bool| {
        let neighbours = replicas
            .iter()
            .enumerate()
            .filter(|(_, replica)| adjacent(replica));
        neighbours
            .filter_map(|(index, replica)| Some((free_layers(replica)?, index)))
            .max()
    };
    let before = most_free(&|replica| !replica.layers.is_empty() && replica.layers.to == gap.from);
    let after = most_free(&|replica| !replica.layers.is_empty() && replica.layers.from == gap.to);
    let free_before = before.map_or(0, |(free, _)| free.min(gap.len()));
    let free_after = after.map_or(0, |(free, _)| free);
    if free_before + free_after < gap.len() {
        return Vec::new();
    }
    let boundary = gap.from + free_before;
    let mut steps = Vec::new();
    for (neighbour, extend_end) in [(before, true), (after, false)] {
        let Some((_, index)) = neighbour else {
            continue;
        };
        let replica = &mut replicas[index];
        let layers = match extend_end {
            true => LayerRange {
                to: boundary,
                ..replica.layers
            },
            false => LayerRange {
                from: boundary,
                ..replica.layers
            },
        };
        if layers != replica.layers {
            replica.layers = layers;
            replica.busy = true;
            steps.push(RepairStep {
                upstream: replica.key,
                layers,
            });
        }
    }
    steps
}

/// Moves empty replicas and those whose layers others hold too to the uncovered layers of a gap.
/// Returns no steps if they cannot hold the whole gap.
fn move_redundant_replicas(
    engine: &EngineRule,
    replicas: &mut [LiveReplica],
    domain: &str,
    gap: LayerRange,
) -> Vec<RepairStep> {
    let mut chosen: Vec<(usize, u32)> = Vec::new();
    let mut capacity = 0;
    while capacity < gap.len() {
        let mut counts = holder_counts(engine, replicas, domain);
        for (index, _) in &chosen {
            for layer in replicas[*index].layers.from..replicas[*index].layers.to {
                counts[layer as usize] -= 1;
            }
        }
        let free = replicas.iter().enumerate().filter(|(index, replica)| {
            let mut layers = replica.layers.from..replica.layers.to;
            let redundant = layers.all(|layer| counts[layer as usize] > 1);
            let used = chosen.iter().any(|(other, _)| other == index);
            replica.domain == domain && !replica.busy && !used && redundant
        });
        let fit = |replica: &LiveReplica| {
            let kind = engine.kind(&replica.kind)?;
            let layers = layer_cap(engine, kind, min_kv_tokens(engine));
            (layers > 0).then_some((kind.step_factor, layers))
        };
        // Empty replicas come first, then the slowest, whose removal costs the least throughput.
        let next = free
            .filter_map(|(index, replica)| {
                let is_barred = gap.from == 0 && replica.is_limited;
                let rank = (!is_barred, replica.layers.is_empty());
                Some((rank, fit(replica)?, index))
            })
            .max_by(|(rank, (one, _), _), (other_rank, (other, _), _)| {
                rank.cmp(other_rank).then(one.total_cmp(other))
            });
        let Some((_, (_, layers), index)) = next else {
            return Vec::new();
        };
        capacity += layers;
        chosen.push((index, layers));
    }
    let mut steps = Vec::new();
    let mut from = gap.from;
    let mut replicas_left = u32::try_from(chosen.len()).unwrap_or(u32::MAX);
    for (index, max_layers) in chosen {
        let layer_count = (gap.to - from).div_ceil(replicas_left).min(max_layers);
        let layers = LayerRange {
            from,
            to: from + layer_count,
        };
        replicas[index].layers = layers;
        replicas[index].busy = true;
        steps.push(RepairStep {
            upstream: replicas[index].key,
            layers,
        });
        from += layer_count;
        replicas_left -= 1;
    }
    steps
}
