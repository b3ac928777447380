//! What must be loaded where so that the plan holds again after replicas came, left or died: a
//! pure function of the plan and of what is held.

use std::collections::HashMap;
use std::hash::Hash;

use crate::clock::ClockTime;
use crate::gateway::catalog::EngineRule;
use crate::gateway::plan::{layers_beside, PlacementPlan, PlanSlot, REQUESTS_LEAST};
use crate::gateway::upstream::{LayerRange, UpstreamKey, UpstreamTable};

/// One range that a replica should load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepairStep {
    /// The replica.
    pub upstream: UpstreamKey,
    /// What it should hold.
    pub layers: LayerRange,
}

#[derive(Clone, Debug)]
struct HeldCard {
    key: UpstreamKey,
    id: String,
    domain: String,
    kind: String,
    layers: LayerRange,
    busy: bool,
}

/// What should be loaded at `now`. A replica that an engine named as dead counts as gone, long
/// before the registry says so. `pending` is what was ordered and is not yet held.
pub fn repair_steps(
    now: ClockTime,
    plan: &PlacementPlan,
    service: &str,
    engine: &EngineRule,
    table: &UpstreamTable,
    pending: &HashMap<UpstreamKey, LayerRange>,
) -> Vec<RepairStep> {
    let mut cards: Vec<HeldCard> = table
        .iter()
        .filter(|(_, record)| record.entry.service == service && record.listed())
        .filter(|(_, record)| !record.named_dead(now))
        .map(|(key, record)| HeldCard {
            key,
            id: record.entry.id.clone(),
            domain: record.entry.domain.clone(),
            kind: record.entry.kind.clone(),
            layers: pending.get(&key).copied().unwrap_or(record.entry.layers),
            busy: pending.contains_key(&key),
        })
        .collect();
    let mut steps = fill_slots(plan, engine, &mut cards);
    steps.extend(close_holes(plan, engine, &mut cards));
    steps
}

/// Gives empty cards the slots of their failure domain that nobody fills: what a chain lacks goes
/// before what only stands in, and a card's own slot and kind before others. A card without such
/// a slot stays empty: it may be the successor of one that is about to leave.
fn fill_slots(
    plan: &PlacementPlan,
    engine: &EngineRule,
    cards: &mut [HeldCard],
) -> Vec<RepairStep> {
    let open = open_slots(plan, cards);
    let mut empty = EmptyCards::new(cards);
    let mut steps = Vec::new();
    for (slot, weakly_held) in open {
        let any_kind = !(slot.spare || weakly_held);
        if let Some(index) = empty.take(engine, cards, slot, any_kind) {
            cards[index].layers = slot.layers();
            cards[index].busy = true;
            steps.push(RepairStep {
                upstream: cards[index].key,
                layers: slot.layers(),
            });
        }
    }
    steps
}

/// The cards that hold nothing, by where they are; so that a large fleet is looked through once.
struct EmptyCards {
    by_id: HashMap<String, usize>,
    by_domain: HashMap<String, Vec<usize>>,
}

impl EmptyCards {
    fn new(cards: &[HeldCard]) -> EmptyCards {
        let mut empty = EmptyCards {
            by_id: HashMap::new(),
            by_domain: HashMap::new(),
        };
        let held = cards.iter().enumerate();
        for (index, card) in held.filter(|(_, card)| card.layers.is_empty()) {
            empty.by_id.insert(card.id.clone(), index);
            let domain = empty.by_domain.entry(card.domain.clone());
            domain.or_default().push(index);
        }
        empty
    }

    /// Takes the card for a slot: its own, else one of its kind, else any if that is allowed.
    fn take(
        &mut self,
        engine: &EngineRule,
        cards: &[HeldCard],
        slot: &PlanSlot,
        any_kind: bool,
    ) -> Option<usize> {
        let fits = |index: usize| {
            let card = &cards[index];
            holds(engine, card, slot) && (card.kind == slot.kind || any_kind)
        };
        let near = self
            .by_domain
            .get(&slot.domain)
            .map_or(&[][..], Vec::as_slice);
        let own = self
            .by_id
            .get(&slot.id)
            .copied()
            .filter(|index| fits(*index));
        let alike = || {
            let mut near = near.iter().copied();
            near.find(|index| cards[*index].kind == slot.kind && fits(*index))
        };
        let any = || near.iter().copied().find(|index| fits(*index));
        let index = own.or_else(alike).or_else(any)?;
        let card = &cards[index];
        self.by_id.remove(&card.id);
        if let Some(near) = self.by_domain.get_mut(&card.domain) {
            near.retain(|other| *other != index);
        }
        Some(index)
    }
}

/// The slots that no card of their kind fills, those of chains first; each with whether a card of
/// another kind holds its range without a slot of its own for it.
fn open_slots<'a>(plan: &'a PlacementPlan, cards: &[HeldCard]) -> Vec<(&'a PlanSlot, bool)> {
    let mut held: HashMap<(&str, &str, LayerRange), u32> = HashMap::new();
    for card in cards.iter().filter(|card| !card.layers.is_empty()) {
        let place = (card.domain.as_str(), card.kind.as_str(), card.layers);
        *held.entry(place).or_default() += 1;
    }
    let mut open: Vec<&PlanSlot> = plan.slots.iter().collect();
    open.retain(|slot| !take_one(&mut held, &(&slot.domain, &slot.kind, slot.layers())));
    open.sort_by_key(|slot| slot.spare);
    let mut weak: HashMap<(&str, LayerRange), u32> = HashMap::new();
    for ((domain, _, layers), count) in held {
        *weak.entry((domain, layers)).or_default() += count;
    }
    let weakly = |slot: &'a PlanSlot| {
        let held = take_one(&mut weak, &(slot.domain.as_str(), slot.layers()));
        (slot, held)
    };
    open.into_iter().map(weakly).collect()
}

/// Takes one off a count. Returns whether there was one.
fn take_one<K: Eq + Hash>(counts: &mut HashMap<K, u32>, key: &K) -> bool {
    match counts.get_mut(key) {
        Some(count) if *count > 0 => {
            *count -= 1;
            true
        }
        _ => false,
    }
}

/// Whether a card can hold a slot and some requests beside it.
fn holds(engine: &EngineRule, card: &HeldCard, slot: &PlanSlot) -> bool {
    let Some(kind) = engine.kind(&card.kind) else {
        return false;
    };
    layers_beside(engine, kind, least_tokens(engine)) >= slot.layers().len()
}

/// KV memory that a card in second place keeps at least, tokens.
fn least_tokens(engine: &EngineRule) -> f64 {
    REQUESTS_LEAST / 2.0 * f64::from(engine.usual_prompt + engine.usual_answer)
}

/// Lets cards that only stand in take over ranges that nobody in their domain holds.
fn close_holes(
    plan: &PlacementPlan,
    engine: &EngineRule,
    cards: &mut [HeldCard],
) -> Vec<RepairStep> {
    let main = plan.slots.iter().filter(|slot| !slot.spare);
    let mut domains: Vec<&str> = main.map(|slot| slot.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    // A plan pooled over domains has no chain of one domain to mend.
    domains.retain(|domain| planned_layers(plan, domain) >= engine.layers);
    let mut steps = Vec::new();
    for domain in domains {
        let hole = first_hole(engine, cards, domain);
        if let Some(hole) = hole {
            // Neighbours that load more keep less KV memory for the whole chain: they come last.
            let mut found = close_hole(engine, cards, domain, hole);
            if found.is_empty() {
                found = widen_neighbours(engine, cards, domain, hole);
            }
            steps.extend(found);
        }
    }
    steps
}

fn planned_layers(plan: &PlacementPlan, domain: &str) -> u32 {
    let slots = plan
        .slots
        .iter()
        .filter(|slot| !slot.spare && slot.domain == domain);
    slots.map(|slot| slot.layers().len()).sum()
}

/// How many cards of a domain hold each layer.
fn holders(engine: &EngineRule, cards: &[HeldCard], domain: &str) -> Vec<u32> {
    let mut count = vec![0; engine.layers as usize];
    for card in cards.iter().filter(|card| card.domain == domain) {
        for layer in card.layers.from..card.layers.to.min(engine.layers) {
            count[layer as usize] += 1;
        }
    }
    count
}

fn first_hole(engine: &EngineRule, cards: &[HeldCard], domain: &str) -> Option<LayerRange> {
    let count = holders(engine, cards, domain);
    let from = count.iter().position(|held| *held == 0)?;
    let rest = &count[from..];
    let length = rest.iter().position(|held| *held > 0).unwrap_or(rest.len());
    Some(LayerRange {
        from: u32::try_from(from).ok()?,
        to: u32::try_from(from + length).ok()?,
    })
}

/// The cards beside a hole that load its layers to their own; none if they cannot hold all of it.
fn widen_neighbours(
    engine: &EngineRule,
    cards: &mut [HeldCard],
    domain: &str,
    hole: LayerRange,
) -> Vec<RepairStep> {
    let more = |card: &HeldCard| {
        let kind = engine.kind(&card.kind)?;
        let most = layers_beside(engine, kind, least_tokens(engine));
        let more = most.checked_sub(card.layers.len())?;
        (more > 0 && !card.busy && card.domain == domain).then_some(more)
    };
    let widest = |beside: &dyn Fn(&HeldCard) -> bool| {
        let fits = cards.iter().enumerate().filter(|(_, card)| beside(card));
        fits.filter_map(|(index, card)| Some((more(card)?, index)))
            .max()
    };
    let before = widest(&|card| !card.layers.is_empty() && card.layers.to == hole.from);
    let after = widest(&|card| !card.layers.is_empty() && card.layers.from == hole.to);
    let up = before.map_or(0, |(more, _)| more.min(hole.len()));
    let down = after.map_or(0, |(more, _)| more);
    if up + down < hole.len() {
        return Vec::new();
    }
    let middle = hole.from + up;
    let mut steps = Vec::new();
    for (found, to_middle) in [(before, true), (after, false)] {
        let Some((_, index)) = found else {
            continue;
        };
        let card = &mut cards[index];
        let layers = match to_middle {
            true => LayerRange {
                to: middle,
                ..card.layers
            },
            false => LayerRange {
                from: middle,
                ..card.layers
            },
        };
        if layers != card.layers {
            card.layers = layers;
            card.busy = true;
            steps.push(RepairStep {
                upstream: card.key,
                layers,
            });
        }
    }
    steps
}

/// The cards that take over a hole; none if they cannot hold all of it.
fn close_hole(
    engine: &EngineRule,
    cards: &mut [HeldCard],
    domain: &str,
    hole: LayerRange,
) -> Vec<RepairStep> {
    let mut taken: Vec<(usize, u32)> = Vec::new();
    let mut able = 0;
    while able < hole.len() {
        let mut count = holders(engine, cards, domain);
        for (index, _) in &taken {
            for layer in cards[*index].layers.from..cards[*index].layers.to {
                count[layer as usize] -= 1;
            }
        }
        let free = cards.iter().enumerate().filter(|(index, card)| {
            let mut layers = card.layers.from..card.layers.to;
            let doubled = layers.all(|layer| count[layer as usize] > 1);
            let used = taken.iter().any(|(other, _)| other == index);
            card.domain == domain && !card.busy && !used && doubled
        });
        let most = |card: &HeldCard| {
            let kind = engine.kind(&card.kind)?;
            let layers = layers_beside(engine, kind, least_tokens(engine));
            (layers > 0).then_some((kind.step_factor, layers))
        };
        // Empty cards first; else the slowest, which are missed least where they are.
        let spare = free
            .filter_map(|(index, card)| Some((card.layers.is_empty(), most(card)?, index)))
            .max_by(|(empty, (one, _), _), (other_empty, (other, _), _)| {
                empty.cmp(other_empty).then(one.total_cmp(other))
            });
        let Some((_, (_, layers), index)) = spare else {
            return Vec::new();
        };
        able += layers;
        taken.push((index, layers));
    }
    let mut steps = Vec::new();
    let mut from = hole.from;
    let mut cards_left = u32::try_from(taken.len()).unwrap_or(u32::MAX);
    for (index, most) in taken {
        let even = (hole.to - from).div_ceil(cards_left).min(most);
        let layers = LayerRange {
            from,
            to: from + even,
        };
        cards[index].layers = layers;
        cards[index].busy = true;
        steps.push(RepairStep {
            upstream: cards[index].key,
            layers,
        });
        from += even;
        cards_left -= 1;
    }
    steps
}
