//! Planning of layer ranges on mixed accelerators: computes from the configured figures of a model
//! and from the live accelerators which range each accelerator should hold.
//!
//! A plan is built for one failure domain at a time, so that no chain crosses domains. Only if no
//! domain can hold a copy of the model by itself are the accelerators of all domains pooled. The
//! fastest accelerators of a domain share the layers, so that the stage with the least KV memory
//! has as much of it as possible. The remaining accelerators hold further copies of the model. If
//! they are too few for a copy, they hold the layers with the least KV memory.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::gateway::catalog::{AcceleratorKind, EngineRule};
use crate::gateway::chain::MAX_HOPS;
use crate::gateway::upstream::LayerRange;

/// A chain is planned only if each stage has KV memory for this many requests.
pub const MIN_REQUESTS: f64 = 24.0;
/// KV memory for more requests than this in a chain's smallest stage is taken to bring no benefit.
const MAX_USEFUL_REQUESTS: f64 = 110.0;
/// A further copy of the model is planned only if each stage has KV memory for this many requests.
const MIN_REQUESTS_FURTHER_COPY: f64 = 60.0;
/// A spare slot gets only as many layers as leave KV memory for this many requests on its
/// accelerator.
const SPARE_REQUESTS: f64 = 100.0;
/// The search for a distribution with more KV memory ends once the smallest stage has this much,
/// tokens.
const MAX_TOKENS: f64 = 1e7;
/// Transfer time from one stage to the next, milliseconds.
const TRANSFER_MS: f64 = 0.2;

/// An accelerator to plan for.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanAccelerator {
    /// Id of the replica that runs on the accelerator.
    pub id: String,
    /// Failure domain of the replica.
    pub domain: String,
    /// Kind of the accelerator, as in [`EngineRule::kinds`].
    pub kind: String,
}

/// A layer range that one accelerator should hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanSlot {
    /// Id of the replica that the range was planned for. Another replica may take the slot over.
    pub id: String,
    /// Failure domain that the range was planned for.
    pub domain: String,
    /// Kind of accelerator that the range was planned for.
    pub kind: String,
    /// First layer of the range.
    pub from: u32,
    /// End of the range, exclusive.
    pub to: u32,
    /// Whether the slot belongs to a further copy of the model, or adds KV memory for layers that
    /// other slots hold already. False for the first copy of a domain.
    pub spare: bool,
}

impl PlanSlot {
    /// Layers from `from` up to but not including `to`.
    pub fn layers(&self) -> LayerRange {
        LayerRange {
            from: self.from,
            to: self.to,
        }
    }
}

/// A placement plan for the replicas of one service, in the form in which it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementPlan {
    /// Planned ranges, one for each accelerator that gets layers.
    pub slots: Vec<PlanSlot>,
    /// Era of the store for which the plan was stored. A plan of an earlier one was read from the
    /// copy that the store was restored from.
    #[serde(default)]
    pub era: u64,
}

/// An accelerator and the number of layers that the plan gives it.
struct SizedAccelerator<'a> {
    accelerator: &'a PlanAccelerator,
    kind: &'a AcceleratorKind,
    layers: u32,
}

/// Returns how many layers an accelerator can hold beside KV memory for `tokens` tokens.
pub fn layer_cap(engine: &EngineRule, kind: &AcceleratorKind, tokens: f64) -> u32 {
    let mb_per_layer = engine.layer_mb + tokens * engine.layer_token_bytes() / 1e6;
    let max_layers = (kind.memory_mb / mb_per_layer).floor();
    // The number of layers is small enough for the conversion to be exact.
    (max_layers as u32).min(engine.layers)
}

/// Plans which layer range each accelerator of one service should hold. The plan has no slots if
/// the accelerators cannot hold the model.
pub fn plan_service(engine: &EngineRule, accelerators: &[PlanAccelerator]) -> PlacementPlan {
    let mut domains: BTreeMap<&str, Vec<SizedAccelerator<'_>>> = BTreeMap::new();
    for accelerator in accelerators {
        if let Some(kind) = engine.kind(&accelerator.kind) {
            domains
                .entry(&accelerator.domain)
                .or_default()
                .push(SizedAccelerator {
                    accelerator,
                    kind,
                    layers: 0,
                });
        }
    }
    let mut plan = PlacementPlan::default();
    let mut remaining = Vec::new();
    for accelerators in domains.into_values() {
        remaining.extend(place_copies(engine, accelerators, &mut plan));
    }
    // If no domain can hold a copy by itself, the accelerators of all domains are pooled.
    if plan.slots.is_empty() {
        remaining = place_copies(engine, remaining, &mut plan);
    }
    for sized in remaining {
        add_spare(engine, sized.accelerator, &mut plan);
    }
    plan
}

/// Places a copy of the model on the fastest accelerators, and further copies on the rest while
/// these have enough KV memory. Returns the accelerators left over.
fn place_copies<'a>(
    engine: &EngineRule,
    accelerators: Vec<SizedAccelerator<'a>>,
    plan: &mut PlacementPlan,
) -> Vec<SizedAccelerator<'a>> {
    let mut remaining = place_copy(engine, accelerators, MIN_REQUESTS, false, plan);
    loop {
        let before = remaining.len();
        remaining = place_copy(engine, remaining, MIN_REQUESTS_FURTHER_COPY, true, plan);
        if remaining.len() == before {
            return remaining;
        }
    }
}

/// Places one copy of the model on the fastest accelerators, if they have KV memory for `requests`
/// requests beside it. Returns the accelerators left over.
fn place_copy<'a>(
    engine: &EngineRule,
    mut accelerators: Vec<SizedAccelerator<'a>>,
    requests: f64,
    spare: bool,
    plan: &mut PlacementPlan,
) -> Vec<SizedAccelerator<'a>> {
    accelerators.sort_by(|one, other| {
        let speed = one.kind.step_factor.total_cmp(&other.kind.step_factor);
        speed.then_with(|| one.accelerator.id.cmp(&other.accelerator.id))
    });
    let request_tokens = mean_request_tokens(engine);
    let min_tokens = requests * request_tokens;
    let max_used = accelerators.len().min(MAX_HOPS);
    let Some(min_used) =
        (1..=max_used).find(|used| can_hold(engine, &accelerators[..*used], min_tokens))
    else {
        return accelerators;
    };
    let mut best: Option<(f64, usize)> = None;
    for used in min_used..=max_used {
        let tokens = distribute_layers(engine, &mut accelerators[..used], min_tokens);
        let throughput = copy_throughput(engine, &accelerators[..used], tokens / request_tokens);
        if best.is_none_or(|(best_throughput, _)| throughput > best_throughput) {
            best = Some((throughput, used));
        }
    }
    let used = best.map_or(min_used, |(_, used)| used);
    let remaining = accelerators.split_off(used);
    distribute_layers(engine, &mut accelerators, min_tokens);
    let mut from = 0;
    for sized in &accelerators {
        if sized.layers > 0 {
            plan.slots.push(new_slot(
                sized.accelerator,
                from,
                from + sized.layers,
                spare,
            ));
            from += sized.layers;
        }
    }
    assert_eq!(
        from, engine.layers,
        "the stages of a copy do not hold every layer exactly once"
    );
    remaining
}

/// Distributes the layers over the accelerators so as to give the smallest stage as much KV memory
/// as possible. Returns the capacity of that stage in tokens, at least `min_tokens`.
fn distribute_layers(
    engine: &EngineRule,
    accelerators: &mut [SizedAccelerator<'_>],
    min_tokens: f64,
) -> f64 {
    let mut tokens = min_tokens;
    while can_hold(engine, accelerators, tokens * 1.02) && tokens < MAX_TOKENS {
        tokens *= 1.02;
    }
    for accelerator in accelerators.iter_mut() {
        accelerator.layers = layer_cap(engine, accelerator.kind, tokens);
    }
    remove_surplus(engine, accelerators);
    tokens
}

/// Throughput in tokens per millisecond of a copy with KV memory for `requests` requests, of which
/// at most [`MAX_USEFUL_REQUESTS`] count.
fn copy_throughput(
    engine: &EngineRule,
    accelerators: &[SizedAccelerator<'_>],
    requests: f64,
) -> f64 {
    let times = accelerators.iter().map(|accelerator| {
        let share = f64::from(accelerator.layers) / f64::from(engine.layers.max(1));
        let transfer_ms = if accelerator.layers > 0 {
            TRANSFER_MS
        } else {
            0.0
        };
        engine.step_ms * accelerator.kind.step_factor * share + transfer_ms
    });
    let token_ms: f64 = times.sum();
    requests.min(MAX_USEFUL_REQUESTS) / token_ms.max(1e-6)
}

/// Whether the accelerators hold all layers beside KV memory for `tokens` tokens in each stage.
fn can_hold(engine: &EngineRule, accelerators: &[SizedAccelerator<'_>], tokens: f64) -> bool {
    let max_layers = accelerators
        .iter()
        .map(|accelerator| layer_cap(engine, accelerator.kind, tokens));
    max_layers.sum::<u32>() >= engine.layers
}

/// Removes surplus layers until each layer is held once. Each is taken from the stage with the
/// longest step time.
fn remove_surplus(engine: &EngineRule, accelerators: &mut [SizedAccelerator<'_>]) {
    let mut surplus = accelerators
        .iter()
        .map(|accelerator| accelerator.layers)
        .sum::<u32>()
        - engine.layers;
    while surplus > 0 {
        let slowest = accelerators.iter_mut().max_by(|one, other| {
            let step_time =
                |sized: &SizedAccelerator<'_>| f64::from(sized.layers) * sized.kind.step_factor;
            step_time(one).total_cmp(&step_time(other))
        });
        match slowest {
            Some(accelerator) if accelerator.layers > 0 => accelerator.layers -= 1,
            _ => return,
        }
        surplus -= 1;
    }
}

fn new_slot(accelerator: &PlanAccelerator, from: u32, to: u32, spare: bool) -> PlanSlot {
    PlanSlot {
        id: accelerator.id.clone(),
        domain: accelerator.domain.clone(),
        kind: accelerator.kind.clone(),
        from,
        to,
        spare,
    }
}

/// Adds a spare slot for an accelerator, with the layers that have the least KV memory in the
/// accelerator's failure domain, or in all domains if no slot of its own domain belongs to a first
/// copy of the model (see [`PlanSlot::spare`]). Returns whether a slot was added.
pub fn add_spare(
    engine: &EngineRule,
    accelerator: &PlanAccelerator,
    plan: &mut PlacementPlan,
) -> bool {
    let Some(kind) = engine.kind(&accelerator.kind) else {
        return false;
    };
    let max_layers = layer_cap(engine, kind, SPARE_REQUESTS * mean_request_tokens(engine));
    let in_domain = |slot: &&PlanSlot| slot.domain == accelerator.domain;
    let has_copy = plan.slots.iter().filter(in_domain).any(|slot| !slot.spare);
    let candidates = plan
        .slots
        .iter()
        .filter(|slot| !has_copy || in_domain(slot));
    let Some(range) = least_covered_range(engine, &candidates.collect::<Vec<_>>(), max_layers)
    else {
        return false;
    };
    plan.slots
        .push(new_slot(accelerator, range.from, range.to, true));
    true
}

/// Returns the range of `max_layers` layers, or of all layers if there are fewer, for which the
/// slots have the least KV memory. It starts or ends at the boundary of a slot, because a chain can
/// switch replicas there. `None` if `max_layers` is zero or the kind of a slot is not configured.
fn least_covered_range(
    engine: &EngineRule,
    slots: &[&PlanSlot],
    max_layers: u32,
) -> Option<LayerRange> {
    let max_layers = max_layers.min(engine.layers);
    if max_layers == 0 {
        return None;
    }
    let mut tokens = vec![0.0; engine.layers as usize];
    let mut bounds = vec![0, engine.layers];
    for slot in slots {
        let kind = engine.kind(&slot.kind)?;
        let layers = slot.layers().len();
        let slot_tokens = engine.kv_capacity(kind, layers) / f64::from(layers.max(1));
        for layer in slot.from..slot.to {
            tokens[layer as usize] += slot_tokens;
        }
        bounds.extend([slot.from, slot.to]);
    }
    let ends = bounds.iter().filter_map(|end| end.checked_sub(max_layers));
    let mut starts: Vec<u32> = bounds.iter().copied().chain(ends).collect();
    starts.retain(|from| from + max_layers <= engine.layers);
    let kv_sum = |from: u32| -> f64 {
        tokens[from as usize..(from + max_layers) as usize]
            .iter()
            .sum()
    };
    let start = starts
        .into_iter()
        .min_by(|one, other| kv_sum(*one).total_cmp(&kv_sum(*other)).then(one.cmp(other)))?;
    Some(LayerRange {
        from: start,
        to: start + max_layers,
    })
}

/// Mean number of tokens of a request, prompt and answer together.
fn mean_request_tokens(engine: &EngineRule) -> f64 {
    f64::from(engine.mean_prompt_tokens + engine.mean_answer_tokens).max(1.0)
}

/// Returns a simpler plan, for comparison with [`plan_service`]: each accelerator of a domain,
/// fastest first, is filled with as many layers as it can hold.
pub fn packed_plan(engine: &EngineRule, accelerators: &[PlanAccelerator]) -> PlacementPlan {
    fill_domains(engine, accelerators, |kind, _| layer_cap(engine, kind, 0.0))
}

/// Returns a simpler plan, for comparison with [`plan_service`]: the accelerators of a domain share
/// the layers equally.
pub fn equal_plan(engine: &EngineRule, accelerators: &[PlanAccelerator]) -> PlacementPlan {
    fill_domains(engine, accelerators, |kind, count| {
        engine
            .layers
            .div_ceil(count)
            .min(layer_cap(engine, kind, 0.0))
    })
}

/// Assigns `max_layers` layers to each accelerator of a domain, fastest first, until all layers are
/// held. A domain that cannot hold all layers gets no slots.
fn fill_domains(
    engine: &EngineRule,
    accelerators: &[PlanAccelerator],
    max_layers: impl Fn(&AcceleratorKind, u32) -> u32,
) -> PlacementPlan {
    let mut plan = PlacementPlan::default();
    let mut domains: BTreeMap<&str, Vec<(&AcceleratorKind, &PlanAccelerator)>> = BTreeMap::new();
    for accelerator in accelerators {
        if let Some(kind) = engine.kind(&accelerator.kind) {
            domains
                .entry(&accelerator.domain)
                .or_default()
                .push((kind, accelerator));
        }
    }
    for mut accelerators in domains.into_values() {
        accelerators.sort_by(|(one, _), (other, _)| one.step_factor.total_cmp(&other.step_factor));
        let count = u32::try_from(accelerators.len()).unwrap_or(u32::MAX);
        let (mut from, mut slots) = (0, Vec::new());
        for (kind, accelerator) in accelerators {
            let to = engine.layers.min(from + max_layers(kind, count));
            if to > from {
                slots.push(new_slot(accelerator, from, to, false));
                from = to;
            }
        }
        if from == engine.layers {
            plan.slots.extend(slots);
        }
    }
    plan
}

/// Describes a plan as text for operators, one section for each failure domain.
pub fn describe_plan(engine: &EngineRule, plan: &PlacementPlan) -> String {
    let mut lines = Vec::new();
    let mut domains: BTreeMap<&str, Vec<&PlanSlot>> = BTreeMap::new();
    for slot in &plan.slots {
        domains.entry(&slot.domain).or_default().push(slot);
    }
    for (domain, slots) in domains {
        let chain_slots: Vec<&&PlanSlot> = slots.iter().filter(|slot| !slot.spare).collect();
        let mut token_ms = 0.0;
        let mut tokens = f64::INFINITY;
        for slot in &chain_slots {
            let Some(kind) = engine.kind(&slot.kind) else {
                continue;
            };
            let layers = f64::from(slot.layers().len());
            token_ms += engine.step_ms * kind.step_factor * layers / f64::from(engine.layers);
            tokens = tokens.min(engine.kv_capacity(kind, slot.layers().len()) / layers);
        }
        lines.push(format!(
            "domain={domain} hops={} spares={} kv_tokens={tokens:.0} token_ms={token_ms:.2}",
            chain_slots.len(),
            slots.len() - chain_slots.len(),
        ));
        for slot in slots {
            lines.push(format!(
                "  {} kind={} layers={} spare={}",
                slot.id,
                slot.kind,
                slot.layers(),
                slot.spare
            ));
        }
    }
    lines.join("\n")
}
