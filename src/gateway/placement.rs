//! Decisions of the placement controller. One gateway at a time holds the placement lease, plans
//! which replica holds which layer range, and orders replicas to load the ranges that the plan
//! lacks. The controller does no I/O: events come in as [`PlacementInput`], and the actions to
//! carry out are returned as [`PlacementOutput`].

use std::collections::{HashMap, HashSet};

use crate::clock::ClockTime;
use crate::gateway::catalog::{EngineRule, ServingConfig};
use crate::gateway::held_plan::{held_plan, matches_config, plan_accelerator};
use crate::gateway::plan::{add_spare, plan_service, PlacementPlan, PlanAccelerator};
use crate::gateway::repair::{repair_steps, RepairStep};
use crate::gateway::upstream::{LayerRange, UpstreamKey, UpstreamTable};
use crate::store::position::StorePosition;

/// Time to live of the placement lease without renewal, milliseconds.
pub const LEASE_MS: u64 = 3_000;
/// Interval between two renewals of the lease, milliseconds.
pub const RENEW_INTERVAL_MS: u64 = 700;
/// The holder treats the lease as expired this long before the store does, milliseconds.
const LEASE_MARGIN_MS: u64 = 700;
/// Pause before the next attempt to acquire the lease, milliseconds.
const CLAIM_RETRY_MS: u64 = 1_000;
/// The first plan is made once the number of registered replicas has not changed for this long,
/// milliseconds.
const REGISTRATION_SETTLE_MS: u64 = 1_300;
/// Longest wait for replicas to register before the first plan, milliseconds. A large fleet takes
/// several seconds to register.
const MAX_REGISTRATION_WAIT_MS: u64 = 6_000;
/// How long a replica stays empty before it gets a spare slot beyond the plan, milliseconds. This
/// is longer than a draining replica takes to leave, so that a successor started for that replica
/// is still free to take over its slot.
const SPARE_SLOT_DELAY_MS: u64 = 4_000;
/// Time allowed for an order beyond its expected load time, milliseconds: the order may have been
/// accepted although no reply arrived.
const ORDER_GRACE_MS: u64 = 2_500;
/// How long a replica that refused an order because of its state gets no other, milliseconds.
const BUSY_REPLICA_MS: u64 = 1_000;
/// Interval between two comparisons of the plan with the layers that replicas hold, milliseconds.
const RECONCILE_INTERVAL_MS: u64 = 300;

/// Cap on concurrent loads when the configuration sets none.
const DEFAULT_MAX_LOADS: usize = 6;

/// Factor on the cap of pending orders during startup. Orders are sent early, because waiting until
/// the registry shows earlier loads as done would delay the later ones.
const STARTUP_ORDER_FACTOR: usize = 8;

/// Progress of this gateway in acquiring and holding the placement lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeasePhase {
    /// The lease is not held, and no attempt to acquire it is made before `claim_at`.
    Idle { claim_at: ClockTime },
    /// Waits until the placement lease key does not exist.
    AwaitingVacancy,
    /// Waits for the store to grant a lease.
    RequestingLease,
    /// Is writing the placement lease key under a granted lease.
    Claiming { lease: i64, expires_at: ClockTime },
    /// Is the lease holder until `expires_at`.
    Holding {
        lease: i64,
        token: StorePosition,
        expires_at: ClockTime,
        renew_at: ClockTime,
    },
}

/// An order to one replica to hold a layer range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementOrder {
    /// The replica that the order is sent to.
    pub upstream: UpstreamKey,
    /// Layers that the replica should hold once it has loaded them.
    pub layers: LayerRange,
    /// Fencing token of the lease holder: the position in the store's history at which it wrote the
    /// placement lease key. It rises also across restores of the store.
    pub token: StorePosition,
    /// Number of orders that the replica is expected to have accepted before this one. A replica
    /// with another count refuses the order.
    pub sequence: u64,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The replica accepted the order and has started to load.
    Accepted,
    /// The replica holds the range already.
    Done,
    /// The order does not match the replica's state. The value is the number of orders that the
    /// replica has accepted, or `None` if its report could not be read.
    Conflict(Option<u64>),
    /// The replica has seen a higher fencing token, so another gateway is the lease holder.
    Fenced,
    /// The order could not be encoded, or was refused as invalid, unknown or meant for another
    /// replica.
    Rejected,
    /// No usable reply arrived; the replica may have accepted the order, or may accept it later.
    Unanswered,
}

/// An event that the controller handles: time that passed, or the result of an action.
#[derive(Clone, Debug)]
pub enum PlacementInput {
    /// Sent at a regular interval, so that timeouts take effect.
    Tick,
    /// Result of [`PlacementOutput::AwaitVacancy`]: true once the lease can be claimed, false if
    /// the store could not be read or watched.
    VacancyChecked(bool),
    /// Result of [`PlacementOutput::RequestLease`]: the lease's id and the time at which it was
    /// requested, or `None` if the store granted none.
    LeaseGranted(Option<(i64, ClockTime)>),
    /// Result of [`PlacementOutput::ClaimLease`]: the position of the write, or `None` if it
    /// failed.
    LeaseClaimed(Option<StorePosition>),
    /// Result of [`PlacementOutput::RenewLease`]: whether the lease still exists, and the time at
    /// which the renewal was requested.
    LeaseRenewed(bool, ClockTime),
    /// The store was restored from an older copy, which raised its era to this one. The copy may
    /// lack the lease, and give out its id again.
    StoreRestored(u64),
    /// Result of [`PlacementOutput::ReadPlan`]: the stored plan, or `None` if there is none or it
    /// could not be read.
    PlanRead(Option<PlacementPlan>),
    /// Result of [`PlacementOutput::SendOrder`]: the replica and the outcome of the order.
    OrderAnswered(UpstreamKey, OrderReply),
}

/// An action for the caller of the controller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementOutput {
    /// Wait until the placement lease key does not exist or was written by an earlier process of
    /// this VM.
    AwaitVacancy,
    /// Request a lease of [`LEASE_MS`] from the store.
    RequestLease,
    /// Write the placement lease key under the lease with this id, if the key does not exist or was
    /// written by an earlier process of this VM.
    ClaimLease(i64),
    /// Renew the lease with this id for [`LEASE_MS`].
    RenewLease(i64),
    /// Revoke the lease with this id, so that another gateway can acquire it.
    RevokeLease(i64),
    /// Read the plan from the store.
    ReadPlan,
    /// Store the plan, if the placement lease key was last written at this position.
    StorePlan(PlacementPlan, StorePosition),
    /// Send an order to a replica and report its outcome.
    SendOrder(PlacementOrder),
    /// Write a decision to the log, as key=value pairs.
    Log(String),
}

/// An order whose effect does not show in the registry yet.
#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    layers: LayerRange,
    sequence: u64,
    /// When the controller stops waiting for the effect, so that the range may be ordered again.
    expires_at: ClockTime,
    /// Expected load time, increased for the loads under way at once, milliseconds.
    load_ms: u64,
}

/// Placement controller of one gateway. It issues orders only while this gateway is the lease
/// holder.
#[derive(Debug)]
pub struct PlacementController {
    phase: LeasePhase,
    plan: Option<PlacementPlan>,
    /// Whether the stored plan was read since the lease was acquired.
    plan_read: bool,
    lease_acquired_at: ClockTime,
    /// Number of registered replicas, and the time at which it last changed.
    registered_replicas: (usize, ClockTime),
    /// Replicas without layers and without an order, and the time at which this was first seen.
    empty_since: HashMap<UpstreamKey, ClockTime>,
    reconcile_at: ClockTime,
    pending: HashMap<UpstreamKey, PendingOrder>,
    /// Replicas that refused an order because of their state, and the time until which they get no
    /// other. None of them has a pending order.
    busy_until: HashMap<UpstreamKey, ClockTime>,
    /// Number of orders that each replica has accepted, as far as this lease holder knows.
    accepted_orders: HashMap<UpstreamKey, u64>,
    /// Whether a graceful shutdown has begun. The lease is not claimed after that.
    releasing: bool,
}

impl PlacementController {
    /// Creates a controller that first tries to acquire the lease at `claim_at`.
    pub fn new(claim_at: ClockTime) -> PlacementController {
        PlacementController {
            phase: LeasePhase::Idle { claim_at },
            plan: None,
            plan_read: false,
            lease_acquired_at: ClockTime::default(),
            registered_replicas: (0, ClockTime::default()),
            empty_since: HashMap::new(),
            reconcile_at: ClockTime::default(),
            pending: HashMap::new(),
            busy_until: HashMap::new(),
            accepted_orders: HashMap::new(),
            releasing: false,
        }
    }

    /// Whether this gateway is the lease holder at `now`.
    pub fn is_lease_holder(&self, now: ClockTime) -> bool {
        matches!(self.phase, LeasePhase::Holding { expires_at, .. } if now < expires_at)
    }

    /// Gives up the lease for a graceful shutdown and returns the actions to carry out.
    pub fn release(&mut self) -> Vec<PlacementOutput> {
        self.releasing = true;
        match self.phase {
            LeasePhase::Holding { lease, .. } | LeasePhase::Claiming { lease, .. } => {
                self.phase = LeasePhase::Idle {
                    claim_at: ClockTime::NEVER,
                };
                vec![PlacementOutput::RevokeLease(lease)]
            }
            _ => Vec::new(),
        }
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(
        &mut self,
        now: ClockTime,
        input: PlacementInput,
        config: &ServingConfig,
        table: &UpstreamTable,
    ) -> Vec<PlacementOutput> {
        let mut outputs = Vec::new();
        match input {
            PlacementInput::Tick => self.on_tick(now, &mut outputs),
            PlacementInput::VacancyChecked(vacant) => self.on_vacant(now, vacant, &mut outputs),
            PlacementInput::LeaseGranted(granted) => self.on_granted(now, granted, &mut outputs),
            PlacementInput::LeaseClaimed(token) => self.on_claimed(now, token, &mut outputs),
            PlacementInput::LeaseRenewed(lease_exists, sent) => {
                self.on_renewed(now, lease_exists, sent, &mut outputs)
            }
            PlacementInput::StoreRestored(era) => self.on_restored(now, era, &mut outputs),
            PlacementInput::PlanRead(plan) => {
                self.plan_read = true;
                let era = self.token_era();
                // A plan of an earlier era may be older than what replicas were ordered to hold.
                self.plan =
                    plan.filter(|plan| Some(plan.era) == era && matches_config(plan, config));
            }
            PlacementInput::OrderAnswered(key, reply) => {
                self.on_order_reply(now, key, reply, &mut outputs)
            }
        }
        if self.is_lease_holder(now) && self.plan_read && now >= self.reconcile_at {
            self.reconcile_at = now + RECONCILE_INTERVAL_MS;
            self.reconcile(now, config, table, &mut outputs);
        }
        outputs
    }

    fn on_tick(&mut self, now: ClockTime, outputs: &mut Vec<PlacementOutput>) {
        match &mut self.phase {
            LeasePhase::Idle { claim_at } if now >= *claim_at && !self.releasing => {
                self.phase = LeasePhase::AwaitingVacancy;
                outputs.push(PlacementOutput::AwaitVacancy);
            }
            LeasePhase::Holding { expires_at, .. } if now >= *expires_at => {
                self.step_down(now, "the lease was not renewed in time", outputs);
            }
            LeasePhase::Holding {
                lease, renew_at, ..
            } if now >= *renew_at => {
                *renew_at = now + RENEW_INTERVAL_MS;
                outputs.push(PlacementOutput::RenewLease(*lease));
            }
            _ => {}
        }
    }

    fn on_vacant(&mut self, now: ClockTime, vacant: bool, outputs: &mut Vec<PlacementOutput>) {
        match (self.phase, vacant) {
            (LeasePhase::AwaitingVacancy, true) => {
                self.phase = LeasePhase::RequestingLease;
                outputs.push(PlacementOutput::RequestLease);
            }
            (LeasePhase::AwaitingVacancy, false) => {
                self.phase = LeasePhase::Idle {
                    claim_at: now + CLAIM_RETRY_MS,
                };
            }
            _ => {}
        }
    }

    fn on_granted(
        &mut self,
        now: ClockTime,
        granted: Option<(i64, ClockTime)>,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        if self.phase != LeasePhase::RequestingLease {
            return;
        }
        match granted {
            Some((lease, sent_at)) => {
                let expires_at = sent_at + LEASE_MS - LEASE_MARGIN_MS;
                self.phase = LeasePhase::Claiming { lease, expires_at };
                outputs.push(PlacementOutput::ClaimLease(lease));
            }
            None => {
                self.phase = LeasePhase::Idle {
                    claim_at: now + CLAIM_RETRY_MS,
                }
            }
        }
    }

    fn on_claimed(
        &mut self,
        now: ClockTime,
        token: Option<StorePosition>,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        let LeasePhase::Claiming { lease, expires_at } = self.phase else {
            return;
        };
        let Some(token) = token else {
            outputs.push(PlacementOutput::RevokeLease(lease));
            self.phase = LeasePhase::Idle {
                claim_at: now + CLAIM_RETRY_MS,
            };
            return;
        };
        self.phase = LeasePhase::Holding {
            lease,
            token,
            expires_at,
            renew_at: now + RENEW_INTERVAL_MS,
        };
        self.plan_read = false;
        self.lease_acquired_at = now;
        self.pending.clear();
        self.busy_until.clear();
        self.accepted_orders.clear();
        self.empty_since.clear();
        outputs.push(PlacementOutput::Log(format!(
            "lease=acquired token={token}"
        )));
        outputs.push(PlacementOutput::ReadPlan);
    }

    fn on_renewed(
        &mut self,
        now: ClockTime,
        lease_exists: bool,
        sent_at: ClockTime,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        if !lease_exists {
            self.step_down(now, "the lease has expired or was revoked", outputs);
        } else if let LeasePhase::Holding { expires_at, .. } = &mut self.phase {
            *expires_at = (*expires_at).max(sent_at + LEASE_MS - LEASE_MARGIN_MS);
        }
    }

    /// Gives up a lease of an earlier era without revoking it: its id may be another VM's by now.
    fn on_restored(&mut self, now: ClockTime, era: u64, outputs: &mut Vec<PlacementOutput>) {
        let reclaim = match self.phase {
            LeasePhase::Holding { token, .. } if token.era < era => {
                outputs.push(PlacementOutput::Log(format!(
                    "lease=lost token={token} reason=\"the store was restored, era {era}\""
                )));
                true
            }
            LeasePhase::RequestingLease | LeasePhase::Claiming { .. } => true,
            LeasePhase::Idle { .. } | LeasePhase::AwaitingVacancy | LeasePhase::Holding { .. } => {
                false
            }
        };
        if reclaim {
            self.phase = LeasePhase::Idle {
                claim_at: now + CLAIM_RETRY_MS,
            };
            self.pending.clear();
        }
    }

    /// Era of the store in which the lease was acquired. `None` if the lease is not held.
    fn token_era(&self) -> Option<u64> {
        match self.phase {
            LeasePhase::Holding { token, .. } => Some(token.era),
            _ => None,
        }
    }

    fn step_down(&mut self, now: ClockTime, reason: &str, outputs: &mut Vec<PlacementOutput>) {
        if let LeasePhase::Holding { lease, token, .. } = self.phase {
            outputs.push(PlacementOutput::Log(format!(
                "lease=lost token={token} reason=\"{reason}\""
            )));
            outputs.push(PlacementOutput::RevokeLease(lease));
            self.phase = LeasePhase::Idle {
                claim_at: now + CLAIM_RETRY_MS,
            };
        }
        self.pending.clear();
    }

    fn on_order_reply(
        &mut self,
        now: ClockTime,
        key: UpstreamKey,
        reply: OrderReply,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        let Some(pending) = self.pending.get_mut(&key) else {
            return;
        };
        match reply {
            OrderReply::Accepted | OrderReply::Done => {
                self.accepted_orders.insert(key, pending.sequence + 1);
            }
            // The count was right, so the replica is in the midst of something: most often it still
            // serves requests over layers that it gives up, which may take as long as they do.
            OrderReply::Conflict(Some(sequence)) if sequence == pending.sequence => {
                self.pending.remove(&key);
                self.busy_until.insert(key, now + BUSY_REPLICA_MS);
            }
            OrderReply::Conflict(sequence) => {
                // A higher count means that the replica accepted more orders than this lease holder
                // knows of, and may be loading.
                let has_unknown_order =
                    sequence.is_some_and(|sequence| sequence > pending.sequence);
                pending.expires_at = now
                    + if has_unknown_order {
                        pending.load_ms
                    } else {
                        RECONCILE_INTERVAL_MS
                    };
                if let Some(sequence) = sequence {
                    self.accepted_orders.insert(key, sequence);
                }
            }
            // Stays pending until the load would have completed if the order was accepted.
            OrderReply::Unanswered => {}
            OrderReply::Rejected => pending.expires_at = now + ORDER_GRACE_MS,
            OrderReply::Fenced => self.step_down(now, "a replica has seen a higher token", outputs),
        }
    }

    /// Creates or extends the plan where needed, and sends replicas orders to load the ranges that
    /// have no holder.
    fn reconcile(
        &mut self,
        now: ClockTime,
        config: &ServingConfig,
        table: &UpstreamTable,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        let LeasePhase::Holding { token, .. } = self.phase else {
            return;
        };
        self.busy_until.retain(|_, until| now < *until);
        self.pending.retain(|key, pending| {
            let record = table.get(*key);
            let loaded = record.entry.layers == pending.layers;
            !loaded && !record.gone && now < pending.expires_at
        });
        for rule in &config.services {
            let Some(engine) = &rule.engine else {
                continue;
            };
            let Some(plan) = self.ensure_plan(now, &rule.name, engine, table, token, outputs)
            else {
                continue;
            };
            let pending = self.pending.iter();
            let pending = pending.map(|(key, order)| (*key, order.layers));
            // Another replica takes over what a busy one was to hold.
            let busy = self.busy_until.keys();
            let busy = busy.map(|key| (*key, table.get(*key).entry.layers));
            let pending = pending.chain(busy).collect();
            let steps = repair_steps(now, &plan, &rule.name, engine, table, &pending);
            let added = self.extend_plan(now, &rule.name, engine, table, &steps);
            if let Some(plan) = self.plan.as_ref().filter(|_| added > 0) {
                let slots = plan.slots.len();
                let message = format!("plan=extended added={added} slots={slots}");
                outputs.push(PlacementOutput::Log(message));
                outputs.push(PlacementOutput::StorePlan(plan.clone(), token));
            }
            let max_loads = engine
                .max_concurrent_loads
                .unwrap_or(DEFAULT_MAX_LOADS)
                .max(1);
            let starting = now <= self.lease_acquired_at + MAX_REGISTRATION_WAIT_MS * 2;
            let max_pending = if starting {
                max_loads * STARTUP_ORDER_FACTOR
            } else {
                max_loads
            };
            for step in steps {
                if self.pending.len() >= max_pending {
                    break;
                }
                self.push_order(now, step, engine, table, token, outputs);
            }
        }
    }

    /// Returns the plan in force, whichever service it was made for. If there is none, makes one
    /// for `service` once its replicas have registered: from what they hold, or a new one if that
    /// is not the whole model. `None` before that, or if the accelerators cannot hold the model.
    fn ensure_plan(
        &mut self,
        now: ClockTime,
        service: &str,
        engine: &EngineRule,
        table: &UpstreamTable,
        token: StorePosition,
        outputs: &mut Vec<PlacementOutput>,
    ) -> Option<PlacementPlan> {
        if let Some(plan) = &self.plan {
            return Some(plan.clone());
        }
        let accelerators: Vec<PlanAccelerator> = table
            .iter()
            .filter(|(_, record)| record.entry.service == service && record.registered())
            .map(|(_, record)| plan_accelerator(&record.entry))
            .collect();
        if accelerators.len() != self.registered_replicas.0 {
            self.registered_replicas = (accelerators.len(), now);
        }
        let settled = now.since(self.registered_replicas.1) >= REGISTRATION_SETTLE_MS;
        if accelerators.is_empty()
            || !(settled || now.since(self.lease_acquired_at) >= MAX_REGISTRATION_WAIT_MS)
        {
            return None;
        }
        let held = held_plan(engine, service, table);
        let origin = if held.is_some() { "rebuilt" } else { "created" };
        let mut plan = held.unwrap_or_else(|| plan_service(engine, &accelerators));
        if plan.slots.is_empty() {
            return None;
        }
        plan.era = token.era;
        outputs.push(PlacementOutput::Log(format!(
            "plan={origin} accelerators={} slots={}",
            accelerators.len(),
            plan.slots.len()
        )));
        outputs.push(PlacementOutput::StorePlan(plan.clone(), token));
        self.plan = Some(plan.clone());
        Some(plan)
    }

    /// Adds a spare slot to the plan for each replica that has stayed empty for
    /// [`SPARE_SLOT_DELAY_MS`] because the plan has no open slot for it. Returns the number of
    /// slots added.
    fn extend_plan(
        &mut self,
        now: ClockTime,
        service: &str,
        engine: &EngineRule,
        table: &UpstreamTable,
        steps: &[RepairStep],
    ) -> usize {
        let Some(plan) = &mut self.plan else {
            return 0;
        };
        let ordered: HashSet<UpstreamKey> = steps.iter().map(|step| step.upstream).collect();
        let mut added = 0;
        for (key, record) in table.iter() {
            let entry = &record.entry;
            let occupied = !entry.layers.is_empty()
                || self.pending.contains_key(&key)
                || ordered.contains(&key);
            if entry.service != service
                || occupied
                || !record.registered()
                || record.reported_dead(now)
            {
                self.empty_since.remove(&key);
                continue;
            }
            let since = *self.empty_since.entry(key).or_insert(now);
            if now.since(since) >= SPARE_SLOT_DELAY_MS {
                self.empty_since.remove(&key);
                added += usize::from(add_spare(engine, &plan_accelerator(entry), plan));
            }
        }
        added
    }

    fn push_order(
        &mut self,
        now: ClockTime,
        step: RepairStep,
        engine: &EngineRule,
        table: &UpstreamTable,
        token: StorePosition,
        outputs: &mut Vec<PlacementOutput>,
    ) {
        let RepairStep {
            upstream: key,
            layers,
        } = step;
        let record = table.get(key);
        // For a replica that this lease holder has not ordered yet, assume one accepted order if it
        // holds layers and none otherwise. If that is wrong, the replica refuses the order, and its
        // actual count is read from its report.
        let assumed = u64::from(!record.entry.layers.is_empty());
        let sequence = self.accepted_orders.get(&key).copied().unwrap_or(assumed);
        let layer_share = f64::from(layers.len()) / f64::from(engine.layers.max(1));
        // Whole milliseconds are precise enough.
        let uncontended_load_ms = (engine.load_ms * layer_share) as u64;
        // Concurrent loads beyond the cap slow each other down.
        let max_loads = engine
            .max_concurrent_loads
            .unwrap_or(DEFAULT_MAX_LOADS)
            .max(1);
        let contention = self.pending.len() as u64 / max_loads as u64 + 1;
        self.pending.insert(
            key,
            PendingOrder {
                layers,
                sequence,
                expires_at: now + uncontended_load_ms * 2 * contention + ORDER_GRACE_MS,
                load_ms: uncontended_load_ms * contention,
            },
        );
        outputs.push(PlacementOutput::Log(format!(
            "order=place upstream={} layers={layers} token={token} sequence={sequence} load_ms={uncontended_load_ms}",
            record.entry.id
        )));
        outputs.push(PlacementOutput::SendOrder(PlacementOrder {
            upstream: key,
            layers,
            token,
            sequence,
        }));
    }

    /// Returns the plan last read from the store or created. `None` if this gateway has neither
    /// read nor created one.
    pub fn plan(&self) -> Option<&PlacementPlan> {
        self.plan.as_ref()
    }
}
