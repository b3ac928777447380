//! The stages of model requests at one agent.
//!
//! A stage runs each position of a request once and in order. Inputs for positions that it has
//! already accepted and inputs after a gap are dropped. The stage records its outputs, so that all
//! of them can be sent to a replacement of the next stage.

use std::collections::{BTreeMap, VecDeque};

use crate::agent::{AgentContext, AgentOutput, EngineCommand, PositionOutput, SequenceKey};
use crate::clock::ClockTime;
use crate::event::{EventKind, PendingEvent};
use crate::route::PASS_DOUBLING_IN_FLIGHT;
use crate::wire::gen::envelope::Body;
use crate::wire::gen::{
    ModelRole, RefusalCode, StageClose, StageHop, StageOpen, StageOpened, StagePass, StageRefused,
    TokenReady,
};
use crate::wire::RequestKey;

/// Time without a message after which a stage is dropped, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 60_000;
/// Number of positions that a suspect request must run, beyond the tokens that its entry already
/// has, to leave probation. At most one request at an agent is on probation, so that the loss of
/// the engine can be attributed to it.
const PROBATION_POSITIONS: u32 = 3;
/// Length of a window over which the minimum time of a pass is taken, in milliseconds.
const PASS_WINDOW_MS: u64 = 2_000;
/// Maximum number of passes that an agent holds until their stage is opened. The oldest is dropped
/// first.
const MAX_EARLY_PASSES: usize = 256;
/// Maximum number of closed or refused requests remembered, so that a late `StageOpen` does not
/// reopen one.
const MAX_CLOSED_REQUESTS: usize = 4096;
/// Value of `retry_after_ms` in refusals, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

#[derive(Debug)]
struct StageSlot {
    attempt: u32,
    /// Index of this stage in `chain`.
    stage: usize,
    chain: Vec<StageHop>,
    /// Address at which the entry receives messages.
    reply_to: String,
    max_tokens: u32,
    /// Number of tokens that the entry already has.
    delivered_tokens: u32,
    sequence: SequenceKey,
    /// Next position for which an input is accepted.
    next_position: u32,
    /// Accepted inputs that are not sent to the engine yet, starting at position `submitted`.
    queue: VecDeque<Vec<u8>>,
    /// Number of positions sent to the engine.
    submitted: u32,
    /// Outputs received from the engine, starting at position 0.
    outputs: Vec<PositionOutput>,
    /// Number of outputs at which a suspect request (one that may have crashed an engine) leaves
    /// probation. `None` for other requests.
    probation_end: Option<u32>,
    /// Time of the latest `StageOpen` or `StagePass`.
    last_active: ClockTime,
}

impl StageSlot {
    fn outputs_done(&self) -> u32 {
        u32::try_from(self.outputs.len()).unwrap_or(u32::MAX)
    }

    fn on_probation(&self) -> bool {
        self.probation_end
            .is_some_and(|end| self.outputs_done() < end)
    }

    fn is_last(&self) -> bool {
        self.stage + 1 == self.chain.len()
    }
}

/// The minimum time that the engine took for a position, without the effect of other requests. It
/// covers the two latest windows of [`PASS_WINDOW_MS`] that had a pass.
///
/// This measures the speed of the engine itself. If it included the time in the engine's queue,
/// entries that route by it would all move from a busy replica to an idle one at the same time.
#[derive(Clone, Copy, Debug, Default)]
struct PassWindow {
    /// Number of the latest window with a pass, counted from time zero.
    window_number: u64,
    /// Minimum time for a position in the latest window with a pass, in microseconds. Zero before
    /// the first pass.
    current: u32,
    /// Minimum time for a position in the window with a pass before that, in microseconds. Zero if
    /// there is none.
    previous: u32,
}

impl PassWindow {
    fn record(&mut self, now: ClockTime, unloaded_micros: u32) {
        let window_number = now.0 / PASS_WINDOW_MS;
        if window_number != self.window_number {
            self.previous = self.current;
            self.current = 0;
            self.window_number = window_number;
        }
        let unloaded_micros = unloaded_micros.max(1);
        if self.current == 0 || unloaded_micros < self.current {
            self.current = unloaded_micros;
        }
    }

    fn min_micros(&self) -> u32 {
        match (self.current, self.previous) {
            (0, previous) => previous,
            (current, 0) => current,
            (current, previous) => current.min(previous),
        }
    }
}

/// The open stages at one agent.
#[derive(Debug)]
pub struct StageTable {
    role: ModelRole,
    limit: usize,
    slots: BTreeMap<RequestKey, StageSlot>,
    /// Passes received before their stage was opened, with their senders.
    early_passes: VecDeque<(String, StagePass)>,
    /// Highest closed or refused attempt of each request.
    closed_attempts: BTreeMap<RequestKey, u32>,
    /// The keys of `closed_attempts`, oldest first.
    closed_order: VecDeque<RequestKey>,
    last_opening: u64,
    engine_up: bool,
    pass_window: PassWindow,
}

impl StageTable {
    /// Creates an empty table for an engine that holds the layers in `role` and runs at most
    /// `limit` requests at a time.
    pub fn new(role: ModelRole, limit: usize) -> StageTable {
        StageTable {
            role,
            limit,
            slots: BTreeMap::new(),
            early_passes: VecDeque::new(),
            closed_attempts: BTreeMap::new(),
            closed_order: VecDeque::new(),
            last_opening: 0,
            engine_up: false,
            pass_window: PassWindow::default(),
        }
    }

    /// The engine's model, layer range and accelerator.
    pub fn role(&self) -> &ModelRole {
        &self.role
    }

    /// Number of requests in flight.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Maximum number of requests in flight. It is zero while the engine is down.
    pub fn limit(&self) -> usize {
        if self.engine_up {
            self.limit
        } else {
            0
        }
    }

    /// Minimum time that the engine recently took for a position, without the effect of other
    /// requests, in microseconds. Zero before the first pass.
    pub fn unloaded_pass_micros(&self) -> u32 {
        self.pass_window.min_micros()
    }

    /// Opens a stage, or updates the chain of one that is open, for the entry at `from`.
    pub fn open(&mut self, cx: &mut AgentContext, from: &str, open: StageOpen, draining: bool) {
        let key = RequestKey::from(open.request.unwrap_or_default());
        if self
            .closed_attempts
            .get(&key)
            .is_some_and(|attempt| open.attempt <= *attempt)
        {
            return;
        }
        let known = self.slots.contains_key(&key);
        if let Some(code) = self.open_refusal(&open, known, draining) {
            refuse_open(cx, from, &open, code);
            // Duplicates of the message that arrive later are ignored.
            self.remember_closed(key, open.attempt);
            return;
        }
        if !known {
            self.insert(cx, from, key, &open);
        }
        let in_flight = u32::try_from(self.slots.len()).unwrap_or(u32::MAX);
        let Some(slot) = self.slots.get_mut(&key) else {
            return;
        };
        if open.attempt < slot.attempt {
            return;
        }
        slot.attempt = open.attempt;
        slot.stage = open.stage as usize;
        slot.chain = open.chain;
        slot.reply_to = from.to_owned();
        slot.delivered_tokens = open.given;
        slot.last_active = cx.now;
        if slot.stage == 0 && open.fresh {
            let mut inputs = vec![open.prompt.into_bytes()];
            inputs.extend(open.tokens.iter().map(|token| token.to_le_bytes().to_vec()));
            accept_inputs(slot, 0, inputs);
        }
        let opened = StageOpened {
            request: Some(key.into()),
            attempt: slot.attempt,
            stage: open.stage,
            next_position: slot.next_position,
            in_flight,
        };
        cx.send_message(from, Body::StageOpened(opened));
        if known {
            resend_outputs(cx, key, slot, open.next_fresh);
        }
        submit_inputs(cx, slot);
        self.handle_early_passes(cx, key);
    }

    fn open_refusal(&self, open: &StageOpen, known: bool, draining: bool) -> Option<RefusalCode> {
        let hop = open.chain.get(open.stage as usize);
        let fits = hop.is_some_and(|hop| {
            open.model == self.role.model
                && hop.first_layer == self.role.first_layer
                && hop.end_layer == self.role.end_layer
        });
        if !fits {
            return Some(RefusalCode::WrongRole);
        }
        if known {
            return None;
        }
        if draining {
            return Some(RefusalCode::Draining);
        }
        if !self.engine_up {
            return Some(RefusalCode::UpstreamLost);
        }
        if !open.fresh {
            return Some(RefusalCode::UnknownRequest);
        }
        let on_probation = self.slots.values().any(StageSlot::on_probation);
        let full = self.slots.len() >= self.limit || (open.suspect && on_probation);
        full.then_some(RefusalCode::Busy)
    }

    fn insert(&mut self, cx: &mut AgentContext, from: &str, key: RequestKey, open: &StageOpen) {
        self.last_opening += 1;
        let slot = StageSlot {
            attempt: open.attempt,
            stage: open.stage as usize,
            chain: open.chain.clone(),
            reply_to: from.to_owned(),
            max_tokens: open.max_tokens,
            delivered_tokens: open.given,
            sequence: SequenceKey {
                request: key,
                opening: self.last_opening,
            },
            next_position: 0,
            queue: VecDeque::new(),
            submitted: 0,
            outputs: Vec::new(),
            probation_end: open.suspect.then_some(open.given + PROBATION_POSITIONS),
            last_active: cx.now,
        };
        self.slots.insert(key, slot);
        let facts = format!("attempt={} stage={}", open.attempt, open.stage);
        cx.record_event(
            PendingEvent::new(EventKind::StageOpened, open.model.clone(), facts).with_request(key),
        );
    }

    /// Accepts inputs from the previous stage.
    pub fn pass(&mut self, cx: &mut AgentContext, from: &str, pass: StagePass) {
        let key = RequestKey::from(pass.request.unwrap_or_default());
        let Some(slot) = self.slots.get_mut(&key) else {
            let closed = self.closed_attempts.get(&key).copied().unwrap_or(0);
            if pass.attempt > closed {
                self.store_early_pass(from, pass);
            }
            return;
        };
        // The sender was replaced and does not know it yet.
        if pass.attempt < slot.attempt {
            return;
        }
        slot.last_active = cx.now;
        accept_inputs(slot, pass.position, pass.activations);
        submit_inputs(cx, slot);
    }

    fn store_early_pass(&mut self, from: &str, pass: StagePass) {
        if self.early_passes.len() == MAX_EARLY_PASSES {
            self.early_passes.pop_front();
        }
        self.early_passes.push_back((from.to_owned(), pass));
    }

    fn handle_early_passes(&mut self, cx: &mut AgentContext, key: RequestKey) {
        let mut early_passes = VecDeque::new();
        std::mem::swap(&mut early_passes, &mut self.early_passes);
        for (from, pass) in early_passes {
            if RequestKey::from(pass.request.unwrap_or_default()) == key {
                self.pass(cx, &from, pass);
            } else {
                self.early_passes.push_back((from, pass));
            }
        }
    }

    /// Drops a request that its entry has closed.
    pub fn close(&mut self, cx: &mut AgentContext, close: &StageClose) {
        let key = RequestKey::from(close.request.unwrap_or_default());
        let current = self
            .slots
            .get(&key)
            .is_none_or(|slot| close.attempt >= slot.attempt);
        if !current {
            return;
        }
        self.remember_closed(key, close.attempt);
        self.drop_slot(cx, key);
    }

    fn remember_closed(&mut self, key: RequestKey, attempt: u32) {
        let known = self.closed_attempts.get(&key).copied().unwrap_or(0);
        if self
            .closed_attempts
            .insert(key, attempt.max(known))
            .is_none()
        {
            self.closed_order.push_back(key);
        }
        if self.closed_order.len() > MAX_CLOSED_REQUESTS {
            if let Some(oldest) = self.closed_order.pop_front() {
                self.closed_attempts.remove(&oldest);
            }
        }
    }

    fn drop_slot(&mut self, cx: &mut AgentContext, key: RequestKey) {
        if let Some(slot) = self.slots.remove(&key) {
            let command = EngineCommand::Cancel {
                sequence: slot.sequence,
            };
            cx.outputs.push(AgentOutput::Engine(command));
        }
    }

    /// Drops the stages that the entry at `address` opened, after the connection to it broke. An
    /// entry that is alive opens them again, here or at another replica.
    pub fn peer_lost(&mut self, cx: &mut AgentContext, address: &str) {
        let keys: Vec<RequestKey> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.reply_to == address)
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.drop_slot(cx, key);
        }
    }

    /// Handles the outputs of a pass, starting at `position`. `elapsed_micros` is the time from
    /// sending the pass to receiving its result, in microseconds.
    pub fn engine_done(
        &mut self,
        cx: &mut AgentContext,
        sequence: SequenceKey,
        position: u32,
        outputs: Vec<PositionOutput>,
        elapsed_micros: u32,
    ) {
        let count = u32::try_from(outputs.len()).unwrap_or(u32::MAX).max(1);
        let unloaded_micros = unloaded_pass_micros(elapsed_micros / count, self.slots.len());
        self.pass_window.record(cx.now, unloaded_micros);
        let Some(slot) = self.slots.get_mut(&sequence.request) else {
            return;
        };
        // A late result for a sequence that was dropped.
        if slot.sequence != sequence {
            return;
        }
        assert_eq!(
            position,
            slot.outputs_done(),
            "the engine skipped or repeated a position"
        );
        slot.outputs.extend(outputs);
        assert!(
            slot.outputs_done() <= slot.submitted,
            "the engine ran a position that was not submitted"
        );
        forward_outputs(cx, sequence.request, slot, position);
        submit_inputs(cx, slot);
    }

    /// Refuses all requests after the engine was lost, because their state is lost with it.
    ///
    /// If a suspect request was on probation, the loss is counted against it alone. Otherwise
    /// it is counted against all requests.
    pub fn engine_lost(&mut self, cx: &mut AgentContext) {
        self.engine_up = false;
        let on_probation = self.slots.values().any(StageSlot::on_probation);
        for (key, slot) in std::mem::take(&mut self.slots) {
            let refused = StageRefused {
                request: Some(key.into()),
                attempt: slot.attempt,
                stage: u32::try_from(slot.stage).unwrap_or(u32::MAX),
                code: RefusalCode::UpstreamLost.into(),
                retry_after_ms: 0,
                blamed: !on_probation || slot.on_probation(),
            };
            cx.send_message(&slot.reply_to, Body::StageRefused(refused));
        }
    }

    /// Accepts requests again after the engine came up.
    pub fn engine_up(&mut self) {
        self.engine_up = true;
    }

    /// Drops the stages that have received no message for `IDLE_TIMEOUT_MS`.
    pub fn drop_idle(&mut self, cx: &mut AgentContext) {
        let idle: Vec<RequestKey> = self
            .slots
            .iter()
            .filter(|(_, slot)| cx.now.since(slot.last_active) >= IDLE_TIMEOUT_MS)
            .map(|(key, _)| *key)
            .collect();
        for key in idle {
            self.drop_slot(cx, key);
        }
    }
}

/// Estimates how long a pass that took `micros` would have taken without other requests in flight,
/// in microseconds. This inverts the load model by which entries choose a replica, in
/// `src/route.rs`.
fn unloaded_pass_micros(micros: u32, in_flight: usize) -> u32 {
    let others = u32::try_from(in_flight.saturating_sub(1)).unwrap_or(u32::MAX);
    let scaled = u64::from(micros) * PASS_DOUBLING_IN_FLIGHT
        / PASS_DOUBLING_IN_FLIGHT.saturating_add(u64::from(others));
    u32::try_from(scaled).unwrap_or(u32::MAX)
}

fn refuse_open(cx: &mut AgentContext, to: &str, open: &StageOpen, code: RefusalCode) {
    let refused = StageRefused {
        request: open.request,
        attempt: open.attempt,
        stage: open.stage,
        code: code.into(),
        retry_after_ms: RETRY_AFTER_MS,
        blamed: false,
    };
    cx.send_message(to, Body::StageRefused(refused));
}

/// Queues the inputs that follow the last accepted position. Drops inputs for positions already
/// accepted and inputs after a gap.
fn accept_inputs(slot: &mut StageSlot, position: u32, inputs: Vec<Vec<u8>>) {
    for (position, input) in (position..).zip(inputs) {
        if position == slot.next_position {
            slot.queue.push_back(input);
            slot.next_position += 1;
        }
    }
    let queued = u32::try_from(slot.queue.len()).unwrap_or(u32::MAX);
    assert_eq!(
        slot.submitted + queued,
        slot.next_position,
        "an accepted input is neither queued nor submitted"
    );
}

/// Sends the queued inputs to the engine, unless it is still running a pass of this request.
fn submit_inputs(cx: &mut AgentContext, slot: &mut StageSlot) {
    if slot.queue.is_empty() || slot.submitted != slot.outputs_done() {
        return;
    }
    let position = slot.submitted;
    slot.submitted = slot.next_position;
    let command = EngineCommand::Pass {
        sequence: slot.sequence,
        position,
        inputs: slot.queue.drain(..).collect(),
    };
    cx.outputs.push(AgentOutput::Engine(command));
}

/// Sends the outputs that may be missing after a new attempt. If the next stage has no state of the
/// request (`next_fresh`), these are all outputs, otherwise only the newest. The last stage of the
/// chain instead sends the entry the tokens that it does not have, and stage 0 the newest token as
/// its next input, unless the answer ends with it.
fn resend_outputs(cx: &mut AgentContext, key: RequestKey, slot: &StageSlot, next_fresh: bool) {
    if slot.outputs.is_empty() {
        return;
    }
    let last = slot.outputs_done() - 1;
    let first_position = match (slot.is_last(), next_fresh) {
        (true, _) => slot.delivered_tokens.min(last),
        (false, true) => 0,
        (false, false) => last,
    };
    if !slot.is_last() && next_fresh {
        let facts = format!("positions={}", slot.outputs_done());
        let next = slot.chain[slot.stage + 1].address.clone();
        cx.record_event(
            PendingEvent::new(EventKind::OutputsReplayed, next, facts).with_request(key),
        );
    }
    forward_outputs(cx, key, slot, first_position);
}

/// Sends the outputs, starting at `position`, to the next stage. The last stage instead sends the
/// entry the tokens that it does not have, and stage 0 its next input.
fn forward_outputs(cx: &mut AgentContext, key: RequestKey, slot: &StageSlot, position: u32) {
    if slot.is_last() {
        forward_tokens(cx, key, slot, position);
        return;
    }
    let outputs = &slot.outputs[position as usize..];
    let activations = outputs.iter().map(|output| output.activation.clone());
    send_pass(
        cx,
        key,
        slot,
        slot.stage + 1,
        position,
        activations.collect(),
    );
}

fn forward_tokens(cx: &mut AgentContext, key: RequestKey, slot: &StageSlot, position: u32) {
    let mut next_input = None;
    for (position, output) in (position..).zip(&slot.outputs[position as usize..]) {
        let token = output.token.clone().unwrap_or_default();
        let last = token.stop || position + 1 >= slot.max_tokens;
        next_input = (!last).then_some((position + 1, token.id));
        // The entry has the first `delivered_tokens` tokens already; a replay generates them again
        // only to restore the engine's state.
        if position >= slot.delivered_tokens {
            let ready = TokenReady {
                request: Some(key.into()),
                attempt: slot.attempt,
                position,
                token: token.id,
                text: token.text,
                r#final: last,
            };
            cx.send_message(&slot.reply_to, Body::TokenReady(ready));
        }
    }
    if let Some((next, token)) = next_input {
        send_pass(cx, key, slot, 0, next, vec![token.to_le_bytes().to_vec()]);
    }
}

fn send_pass(
    cx: &mut AgentContext,
    key: RequestKey,
    slot: &StageSlot,
    stage: usize,
    position: u32,
    activations: Vec<Vec<u8>>,
) {
    let pass = StagePass {
        request: Some(key.into()),
        attempt: slot.attempt,
        stage: u32::try_from(stage).unwrap_or(u32::MAX),
        position,
        activations,
    };
    cx.send_message(&slot.chain[stage].address, Body::StagePass(pass));
}
