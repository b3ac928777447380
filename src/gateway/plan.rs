//! The plan of layer ranges on mixed cards: a pure function from the engine's figures and the
//! cards that live to the range that each card should hold.
//!
//! A plan is built for one failure domain at a time, so that a chain crosses none. Within a
//! domain the fastest cards share the layers so that the chain's tightest stage has as much KV
//! memory as can be had; cards left over duplicate what the domain's slowest loss would take.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::gateway::catalog::{CardKind, EngineRule};
use crate::gateway::upstream::LayerRange;

/// Requests whose KV memory a stage must hold at least for a chain to be worth placing.
pub const REQUESTS_LEAST: f64 = 24.0;
/// Requests beyond which more KV memory in a chain's tightest stage is of no use.
const REQUESTS_MOST: f64 = 85.0;
/// KV memory beyond which a stage is not planned, tokens.
const TOKENS_MOST: f64 = 1e7;
/// Time from one stage to the next, milliseconds.
const HOP_MS: f64 = 0.2;

/// One card to plan for.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanCard {
    /// Name of the replica.
    pub id: String,
    /// Its failure domain.
    pub domain: String,
    /// Its kind.
    pub kind: String,
}

/// A range that some card should hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanSlot {
    /// The card for which it was planned.
    pub id: String,
    /// Failure domain of that card.
    pub domain: String,
    /// Kind of that card.
    pub kind: String,
    /// First layer.
    pub from: u32,
    /// The layer after the last.
    pub to: u32,
    /// Whether it only stands in for another slot.
    pub spare: bool,
}

impl PlanSlot {
    /// Its layers.
    pub fn layers(&self) -> LayerRange {
        LayerRange {
            from: self.from,
            to: self.to,
        }
    }
}

/// A plan for one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementPlan {
    /// What should be held.
    pub slots: Vec<PlanSlot>,
}

struct SizedCard<'a> {
    card: &'a PlanCard,
    kind: &'a CardKind,
    layers: u32,
}

/// Layers that a card can hold beside KV memory for `tokens` tokens.
pub fn layers_beside(engine: &EngineRule, kind: &CardKind, tokens: f64) -> u32 {
    let each_mb = engine.layer_mb + tokens * engine.layer_token_bytes() / 1e6;
    let most = (kind.memory_mb / each_mb).floor();
    // Few enough layers to be counted exactly.
    (most as u32).min(engine.layers)
}

/// Plans the cards of one service.
pub fn plan_service(engine: &EngineRule, cards: &[PlanCard]) -> PlacementPlan {
    let mut domains: BTreeMap<&str, Vec<SizedCard<'_>>> = BTreeMap::new();
    for card in cards {
        if let Some(kind) = engine.kind(&card.kind) {
            domains.entry(&card.domain).or_default().push(SizedCard {
                card,
                kind,
                layers: 0,
            });
        }
    }
    let mut plan = PlacementPlan::default();
    let mut left = Vec::new();
    for cards in domains.into_values() {
        left.extend(place_copy(engine, cards, &mut plan));
    }
    // Domains that hold no copy by themselves pool their cards.
    if plan.slots.is_empty() {
        left = place_copy(engine, left, &mut plan);
    }
    place_spares(engine, left, &mut plan);
    plan
}

/// Places one copy on the fastest of these cards. Returns the cards left over.
fn place_copy<'a>(
    engine: &EngineRule,
    mut cards: Vec<SizedCard<'a>>,
    plan: &mut PlacementPlan,
) -> Vec<SizedCard<'a>> {
    cards.sort_by(|one, other| {
        let speed = one.kind.step_factor.total_cmp(&other.kind.step_factor);
        speed.then_with(|| one.card.id.cmp(&other.card.id))
    });
    let usual = f64::from(engine.usual_prompt + engine.usual_answer).max(1.0);
    let least = REQUESTS_LEAST * usual;
    let Some(fewest) = (1..=cards.len()).find(|used| reaches(engine, &cards[..*used], least))
    else {
        return cards;
    };
    let mut best: Option<(f64, usize)> = None;
    for used in fewest..=cards.len() {
        let tokens = share_layers(engine, &mut cards[..used], least);
        let rate = copy_rate(engine, &cards[..used], tokens / usual);
        if best.is_none_or(|(most, _)| rate > most) {
            best = Some((rate, used));
        }
    }
    let used = best.map_or(fewest, |(_, used)| used);
    let left = cards.split_off(used);
    share_layers(engine, &mut cards, least);
    let mut from = 0;
    for sized in &cards {
        if sized.layers > 0 {
            plan.slots
                .push(slot(sized, from, from + sized.layers, false));
            from += sized.layers;
        }
    }
    assert_eq!(from, engine.layers, "a copy does not hold every layer");
    left
}

/// Shares the layers over cards so that the tightest has as much KV memory as can be had. Returns
/// the tokens that it holds, at least `least`.
fn share_layers(engine: &EngineRule, cards: &mut [SizedCard<'_>], least: f64) -> f64 {
    let mut tokens = least;
    while reaches(engine, cards, tokens * 1.02) && tokens < TOKENS_MOST {
        tokens *= 1.02;
    }
    for card in cards.iter_mut() {
        card.layers = layers_beside(engine, card.kind, tokens);
    }
    trim(engine, cards);
    tokens
}

/// How much a copy that holds `requests` at once serves: the requests that are of use, over the
/// time of a token.
fn copy_rate(engine: &EngineRule, cards: &[SizedCard<'_>], requests: f64) -> f64 {
    let times = cards.iter().map(|card| {
        let share = f64::from(card.layers) / f64::from(engine.layers.max(1));
        let hop_ms = if card.layers > 0 { HOP_MS } else { 0.0 };
        engine.step_ms * card.kind.step_factor * share + hop_ms
    });
    let token_ms: f64 = times.sum();
    requests.min(REQUESTS_MOST) / token_ms.max(1e-6)
}

fn reaches(engine: &EngineRule, cards: &[SizedCard<'_>], tokens: f64) -> bool {
    let layers = cards
        .iter()
        .map(|card| layers_beside(engine, card.kind, tokens));
    layers.sum::<u32>() >= engine.layers
}

/// Takes layers away until the cards hold each layer once, from the slowest first.
fn trim(engine: &EngineRule, cards: &mut [SizedCard<'_>]) {
    let mut excess = cards.iter().map(|card| card.layers).sum::<u32>() - engine.layers;
    while excess > 0 {
        let most = cards.iter_mut().max_by(|one, other| {
            let weigh = |card: &SizedCard<'_>| f64::from(card.layers) * card.kind.step_factor;
            weigh(one).total_cmp(&weigh(other))
        });
        match most {
            Some(card) if card.layers > 0 => card.layers -= 1,
            _ => return,
        }
        excess -= 1;
    }
}

fn slot(sized: &SizedCard<'_>, from: u32, to: u32, spare: bool) -> PlanSlot {
    PlanSlot {
        id: sized.card.id.clone(),
        domain: sized.card.domain.clone(),
        kind: sized.card.kind.clone(),
        from,
        to,
        spare,
    }
}

/// Lets the cards left over stand in for neighbouring slots of their own domain, else of any.
fn place_spares(engine: &EngineRule, left: Vec<SizedCard<'_>>, plan: &mut PlacementPlan) {
    let usual = f64::from(engine.usual_prompt + engine.usual_answer).max(1.0);
    for sized in left {
        let most = layers_beside(engine, sized.kind, REQUESTS_LEAST / 2.0 * usual);
        let home = |slot: &&PlanSlot| slot.domain == sized.card.domain;
        let here = plan.slots.iter().filter(home).any(|slot| !slot.spare);
        let mut covered = vec![0_u32; engine.layers as usize];
        for slot in &plan.slots {
            if !here || slot.domain == sized.card.domain {
                for layer in slot.from..slot.to {
                    covered[layer as usize] += 1;
                }
            }
        }
        let mut bounds: Vec<u32> = plan
            .slots
            .iter()
            .filter(|slot| !slot.spare && (!here || slot.domain == sized.card.domain))
            .flat_map(|slot| [slot.from, slot.to])
            .collect();
        bounds.sort_unstable();
        bounds.dedup();
        if let Some(range) = barest_range(&bounds, &covered, most) {
            plan.slots.push(slot(&sized, range.from, range.to, true));
        }
    }
}

/// The range of whole slots of at most `most` layers that fewest cards hold; the longest of these.
fn barest_range(bounds: &[u32], covered: &[u32], most: u32) -> Option<LayerRange> {
    let mut best: Option<(f64, LayerRange)> = None;
    for (index, from) in bounds.iter().enumerate() {
        for to in &bounds[index + 1..] {
            let range = LayerRange {
                from: *from,
                to: *to,
            };
            if range.len() > most {
                break;
            }
            let held: u32 = covered[range.from as usize..range.to as usize].iter().sum();
            let mean = f64::from(held) / f64::from(range.len());
            let score = mean - f64::from(range.len()) * 1e-3;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, range));
            }
        }
    }
    best.map(|(_, range)| range)
}

/// A simpler plan to compare with: in each domain the fastest cards first, each filled with as
/// many layers as it holds.
pub fn packed_plan(engine: &EngineRule, cards: &[PlanCard]) -> PlacementPlan {
    fill_domains(engine, cards, |kind, _| layers_beside(engine, kind, 0.0))
}

/// A simpler plan to compare with: in each domain all cards share the layers equally.
pub fn equal_plan(engine: &EngineRule, cards: &[PlanCard]) -> PlacementPlan {
    fill_domains(engine, cards, |kind, count| {
        engine
            .layers
            .div_ceil(count)
            .min(layers_beside(engine, kind, 0.0))
    })
}

/// Gives each domain's cards, fastest first, so many layers until all are held.
fn fill_domains(
    engine: &EngineRule,
    cards: &[PlanCard],
    most: impl Fn(&CardKind, u32) -> u32,
) -> PlacementPlan {
    let mut plan = PlacementPlan::default();
    let mut domains: BTreeMap<&str, Vec<(&CardKind, &PlanCard)>> = BTreeMap::new();
    for card in cards {
        if let Some(kind) = engine.kind(&card.kind) {
            domains.entry(&card.domain).or_default().push((kind, card));
        }
    }
    for mut cards in domains.into_values() {
        cards.sort_by(|(one, _), (other, _)| one.step_factor.total_cmp(&other.step_factor));
        let count = u32::try_from(cards.len()).unwrap_or(u32::MAX);
        let (mut from, mut slots) = (0, Vec::new());
        for (kind, card) in cards {
            let to = engine.layers.min(from + most(kind, count));
            if to > from {
                let sized = SizedCard {
                    card,
                    kind,
                    layers: to - from,
                };
                slots.push(slot(&sized, from, to, false));
                from = to;
            }
        }
        if from == engine.layers {
            plan.slots.extend(slots);
        }
    }
    plan
}

/// What a plan gives, in words for operators.
pub fn explain(engine: &EngineRule, plan: &PlacementPlan) -> String {
    let mut lines = Vec::new();
    let mut domains: BTreeMap<&str, Vec<&PlanSlot>> = BTreeMap::new();
    for slot in &plan.slots {
        domains.entry(&slot.domain).or_default().push(slot);
    }
    for (domain, slots) in domains {
        let main: Vec<&&PlanSlot> = slots.iter().filter(|slot| !slot.spare).collect();
        let mut token_ms = 0.0;
        let mut tokens = f64::INFINITY;
        for slot in &main {
            let Some(kind) = engine.kind(&slot.kind) else {
                continue;
            };
            let layers = f64::from(slot.layers().len());
            token_ms += engine.step_ms * kind.step_factor * layers / f64::from(engine.layers);
            tokens = tokens.min(engine.room(kind, slot.layers().len()) / layers);
        }
        lines.push(format!(
            "domain={domain} hops={} spares={} kv_tokens={tokens:.0} token_ms={token_ms:.2}",
            main.len(),
            slots.len() - main.len(),
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
