//! Plans seen from the registered replicas: the plan that they fulfil with what they hold, and
//! whether a stored plan is one for the configuration in force.

use crate::gateway::catalog::{EngineRule, ServingConfig};
use crate::gateway::plan::{add_spare, PlacementPlan, PlanAccelerator, PlanSlot};
use crate::gateway::upstream::{UpstreamEntry, UpstreamTable};

/// A plan is rebuilt only if this many replicas hold layers for each empty one.
const MIN_HOLDERS_FOR_EACH_EMPTY: usize = 8;

/// Returns the plan that the registered replicas of a service fulfil with the layers that they
/// hold, and spare slots for the others. `None` if they do not hold every layer, or if so many are
/// empty that a first plan is still being carried out, which must not be replaced by another.
pub fn held_plan(
    engine: &EngineRule,
    service: &str,
    table: &UpstreamTable,
) -> Option<PlacementPlan> {
    let records = table.iter().map(|(_, record)| record);
    let registered = records.filter(|record| {
        let entry = &record.entry;
        let plausible = entry.layers.lies_within(engine.layers);
        entry.service == service && record.registered() && plausible
    });
    let (holders, empty): (Vec<&UpstreamEntry>, Vec<&UpstreamEntry>) = registered
        .map(|record| &record.entry)
        .partition(|entry| !entry.layers.is_empty());
    if empty.len() * MIN_HOLDERS_FOR_EACH_EMPTY > holders.len() {
        return None;
    }
    let mut plan = PlacementPlan::default();
    for entry in holders {
        let held_in_domain = plan
            .slots
            .iter()
            .any(|slot| slot.domain == entry.domain && slot.layers() == entry.layers);
        plan.slots.push(PlanSlot {
            id: entry.id.clone(),
            domain: entry.domain.clone(),
            kind: entry.kind.clone(),
            from: entry.layers.from,
            to: entry.layers.to,
            spare: held_in_domain,
        });
    }
    let is_held = |layer| {
        let mut slots = plan.slots.iter();
        slots.any(|slot| slot.from <= layer && layer < slot.to)
    };
    if !(0..engine.layers).all(is_held) {
        return None;
    }
    for entry in empty {
        add_spare(engine, &plan_accelerator(entry), &mut plan);
    }
    Some(plan)
}

/// Returns the accelerator of a registered replica.
pub fn plan_accelerator(entry: &UpstreamEntry) -> PlanAccelerator {
    PlanAccelerator {
        id: entry.id.clone(),
        domain: entry.domain.clone(),
        kind: entry.kind.clone(),
    }
}

/// Whether the highest layer in a stored plan is the last layer of a configured model. A plan that
/// fails this was made for another model and is discarded.
pub fn matches_config(plan: &PlacementPlan, config: &ServingConfig) -> bool {
    let end = plan.slots.iter().map(|slot| slot.to).max().unwrap_or(0);
    let mut engines = config
        .services
        .iter()
        .filter_map(|rule| rule.engine.as_ref());
    engines.any(|engine| engine.layers == end)
}
