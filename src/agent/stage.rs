//! Stages of model requests at one agent.
//!
//! A stage runs each position of a request once and in order: a position done is dropped, a gap
//! is refused. It records its outputs, so that a new next stage can be given all of them.

use std::collections::{BTreeMap, VecDeque};

use crate::agent::{AgentContext, AgentOutput, EngineOrder, EngineOutput, SequenceKey};
use crate::clock::ClockTime;
use crate::event::{EventKind, EventNote};
use crate::route::DOUBLING_IN_FLIGHT;
use crate::wire::gen::envelope::Body;
use crate::wire::gen::{
    ModelRole, RefusalCode, StageClose, StageHop, StageOpen, StageOpened, StagePass, StageRefused,
    TokenReady,
};
use crate::wire::RequestKey;

/// A stage without a message for this long is dropped, milliseconds.
const IDLE_MS: u64 = 60_000;
/// Positions that a suspect must run beyond those it had when its last upstream died.
const PROBATION_POSITIONS: u32 = 3;
/// Span over which the least time of a pass is kept, milliseconds.
const PASS_SPAN_MS: u64 = 2_000;
/// Passes that may wait for their open, per agent.
const EARLY_LIMIT: usize = 256;
/// Closed requests remembered, so that a late open does not bring one back.
const CLOSED_LIMIT: usize = 4096;
/// When to come back after a refusal for want of room, milliseconds.
const BUSY_RETRY_MS: u64 = 500;

#[derive(Debug)]
struct StageSlot {
    attempt: u32,
    stage: usize,
    chain: Vec<StageHop>,
    reply_to: String,
    max_tokens: u32,
    given: u32,
    sequence: SequenceKey,
    /// Next position to accept.
    next_position: u32,
    /// Inputs accepted and not yet with the engine, from `submitted` on.
    queue: VecDeque<Vec<u8>>,
    /// Positions handed to the engine.
    submitted: u32,
    /// Outputs of positions 0 and on.
    outputs: Vec<EngineOutput>,
    /// A suspect is on probation until it has run this many positions.
    probation: Option<u32>,
    touched: ClockTime,
}

impl StageSlot {
    fn done(&self) -> u32 {
        u32::try_from(self.outputs.len()).unwrap_or(u32::MAX)
    }

    fn on_probation(&self) -> bool {
        self.probation.is_some_and(|end| self.done() < end)
    }

    fn is_last(&self) -> bool {
        self.stage + 1 == self.chain.len()
    }
}

/// The least time that a pass would have taken alone, over the last one to two spans of
/// [`PASS_SPAN_MS`]: the speed of the engine itself. With the wait in its queue in it, entries
/// that follow it would rush from a replica that was busy to one that was not.
#[derive(Clone, Copy, Debug, Default)]
struct PassWindow {
    span: u64,
    current: u32,
    before: u32,
}

impl PassWindow {
    fn record(&mut self, now: ClockTime, micros: u32) {
        let span = now.0 / PASS_SPAN_MS;
        if span != self.span {
            self.before = self.current;
            self.current = 0;
            self.span = span;
        }
        let micros = micros.max(1);
        if self.current == 0 || micros < self.current {
            self.current = micros;
        }
    }

    fn least(&self) -> u32 {
        match (self.current, self.before) {
            (0, before) => before,
            (current, 0) => current,
            (current, before) => current.min(before),
        }
    }
}

/// The stages at one agent.
#[derive(Debug)]
pub struct StageTable {
    role: ModelRole,
    limit: usize,
    slots: BTreeMap<RequestKey, StageSlot>,
    early: VecDeque<(String, StagePass)>,
    closed: BTreeMap<RequestKey, u32>,
    closed_order: VecDeque<RequestKey>,
    openings: u64,
    engine_up: bool,
    passes: PassWindow,
}

impl StageTable {
    /// An empty table for an engine that holds `role` and may run `limit` requests at once.
    pub fn new(role: ModelRole, limit: usize) -> StageTable {
        StageTable {
            role,
            limit,
            slots: BTreeMap::new(),
            early: VecDeque::new(),
            closed: BTreeMap::new(),
            closed_order: VecDeque::new(),
            openings: 0,
            engine_up: false,
            passes: PassWindow::default(),
        }
    }

    /// The layers held.
    pub fn role(&self) -> &ModelRole {
        &self.role
    }

    /// Requests in flight.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether none is in flight.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Requests that may be in flight now: none while the engine is down.
    pub fn limit(&self) -> usize {
        if self.engine_up {
            self.limit
        } else {
            0
        }
    }

    /// Least time of one pass alone lately, microseconds; zero before the first.
    pub fn pass_micros(&self) -> u32 {
        self.passes.least()
    }

    /// Opens a stage, or re-links one that is open.
    pub fn open(&mut self, cx: &mut AgentContext, from: &str, open: StageOpen, draining: bool) {
        let key = RequestKey::from(open.request.unwrap_or_default());
        if self
            .closed
            .get(&key)
            .is_some_and(|attempt| open.attempt <= *attempt)
        {
            return;
        }
        let known = self.slots.contains_key(&key);
        if let Some(code) = self.refusal(&open, known, draining) {
            refuse(cx, from, &open, code);
            // A copy of the open that comes later is not listened to.
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
        slot.given = open.given;
        slot.touched = cx.now;
        if slot.stage == 0 && open.fresh {
            let mut inputs = vec![open.prompt.into_bytes()];
            inputs.extend(open.tokens.iter().map(|token| token.to_le_bytes().to_vec()));
            accept(slot, 0, inputs);
        }
        let opened = StageOpened {
            request: Some(key.into()),
            attempt: slot.attempt,
            stage: open.stage,
            next_position: slot.next_position,
            in_flight,
        };
        cx.mail(from, Body::StageOpened(opened));
        if known {
            give_again(cx, key, slot, open.next_fresh);
        }
        submit(cx, slot);
        self.take_early(cx, key);
    }

    fn refusal(&self, open: &StageOpen, known: bool, draining: bool) -> Option<RefusalCode> {
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
        let probation = self.slots.values().any(StageSlot::on_probation);
        let full = self.slots.len() >= self.limit || (open.suspect && probation);
        full.then_some(RefusalCode::Busy)
    }

    fn insert(&mut self, cx: &mut AgentContext, from: &str, key: RequestKey, open: &StageOpen) {
        self.openings += 1;
        let slot = StageSlot {
            attempt: open.attempt,
            stage: open.stage as usize,
            chain: open.chain.clone(),
            reply_to: from.to_owned(),
            max_tokens: open.max_tokens,
            given: open.given,
            sequence: SequenceKey {
                request: key,
                opening: self.openings,
            },
            next_position: 0,
            queue: VecDeque::new(),
            submitted: 0,
            outputs: Vec::new(),
            probation: open.suspect.then_some(open.given + PROBATION_POSITIONS),
            touched: cx.now,
        };
        self.slots.insert(key, slot);
        let facts = format!("attempt={} stage={}", open.attempt, open.stage);
        cx.note(EventNote::new(EventKind::StageOpened, open.model.clone(), facts).about(key));
    }

    /// Takes inputs from the stage before.
    pub fn pass(&mut self, cx: &mut AgentContext, from: &str, pass: StagePass) {
        let key = RequestKey::from(pass.request.unwrap_or_default());
        let Some(slot) = self.slots.get_mut(&key) else {
            let closed = self.closed.get(&key).copied().unwrap_or(0);
            if pass.attempt > closed {
                self.keep_early(from, pass);
            }
            return;
        };
        // A stage that was replaced, and does not know it, is not listened to.
        if pass.attempt < slot.attempt {
            return;
        }
        slot.touched = cx.now;
        accept(slot, pass.position, pass.activations);
        submit(cx, slot);
    }

    fn keep_early(&mut self, from: &str, pass: StagePass) {
        if self.early.len() == EARLY_LIMIT {
            self.early.pop_front();
        }
        self.early.push_back((from.to_owned(), pass));
    }

    fn take_early(&mut self, cx: &mut AgentContext, key: RequestKey) {
        let mut waiting = VecDeque::new();
        std::mem::swap(&mut waiting, &mut self.early);
        for (from, pass) in waiting {
            if RequestKey::from(pass.request.unwrap_or_default()) == key {
                self.pass(cx, &from, pass);
            } else {
                self.early.push_back((from, pass));
            }
        }
    }

    /// Frees a request that is over for the entry.
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
        let known = self.closed.get(&key).copied().unwrap_or(0);
        if self.closed.insert(key, attempt.max(known)).is_none() {
            self.closed_order.push_back(key);
        }
        if self.closed_order.len() > CLOSED_LIMIT {
            if let Some(oldest) = self.closed_order.pop_front() {
                self.closed.remove(&oldest);
            }
        }
    }

    fn drop_slot(&mut self, cx: &mut AgentContext, key: RequestKey) {
        if let Some(slot) = self.slots.remove(&key) {
            let order = EngineOrder::Cancel {
                sequence: slot.sequence,
            };
            cx.outputs.push(AgentOutput::Engine(order));
        }
    }

    /// The entry at an address is gone, and its callers with it.
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

    /// The engine has run positions.
    pub fn engine_done(
        &mut self,
        cx: &mut AgentContext,
        sequence: SequenceKey,
        position: u32,
        outputs: Vec<EngineOutput>,
        micros: u32,
    ) {
        let count = u32::try_from(outputs.len()).unwrap_or(u32::MAX).max(1);
        let alone = alone_micros(micros / count, self.slots.len());
        self.passes.record(cx.now, alone);
        let Some(slot) = self.slots.get_mut(&sequence.request) else {
            return;
        };
        // A result of an earlier opening is late.
        if slot.sequence != sequence {
            return;
        }
        assert_eq!(
            position,
            slot.done(),
            "the engine skipped or doubled a position"
        );
        slot.outputs.extend(outputs);
        assert!(
            slot.done() <= slot.submitted,
            "the engine ran what it was not given"
        );
        give(cx, sequence.request, slot, position);
        submit(cx, slot);
    }

    /// The engine died: every request here has lost its state.
    ///
    /// If a suspect was on probation, the death is laid to it alone.
    pub fn engine_lost(&mut self, cx: &mut AgentContext) {
        self.engine_up = false;
        let probation = self.slots.values().any(StageSlot::on_probation);
        for (key, slot) in std::mem::take(&mut self.slots) {
            let refused = StageRefused {
                request: Some(key.into()),
                attempt: slot.attempt,
                stage: u32::try_from(slot.stage).unwrap_or(u32::MAX),
                code: RefusalCode::UpstreamLost.into(),
                retry_after_ms: 0,
                blamed: !probation || slot.on_probation(),
            };
            cx.mail(&slot.reply_to, Body::StageRefused(refused));
        }
    }

    /// The engine answers.
    pub fn engine_up(&mut self) {
        self.engine_up = true;
    }

    /// Drops stages that nobody has spoken of for long.
    pub fn drop_idle(&mut self, cx: &mut AgentContext) {
        let idle: Vec<RequestKey> = self
            .slots
            .iter()
            .filter(|(_, slot)| cx.now.since(slot.touched) >= IDLE_MS)
            .map(|(key, _)| *key)
            .collect();
        for key in idle {
            self.drop_slot(cx, key);
        }
    }
}

/// What a pass would have taken alone, by the model that entries choose by.
fn alone_micros(micros: u32, in_flight: usize) -> u32 {
    let others = u32::try_from(in_flight.saturating_sub(1)).unwrap_or(u32::MAX);
    let scaled = u64::from(micros) * DOUBLING_IN_FLIGHT
        / DOUBLING_IN_FLIGHT.saturating_add(u64::from(others));
    u32::try_from(scaled).unwrap_or(u32::MAX)
}

fn refuse(cx: &mut AgentContext, to: &str, open: &StageOpen, code: RefusalCode) {
    let refused = StageRefused {
        request: open.request,
        attempt: open.attempt,
        stage: open.stage,
        code: code.into(),
        retry_after_ms: BUSY_RETRY_MS,
        blamed: false,
    };
    cx.mail(to, Body::StageRefused(refused));
}

/// Accepts the inputs that are next, and drops those done before or after a gap.
fn accept(slot: &mut StageSlot, position: u32, inputs: Vec<Vec<u8>>) {
    for (position, input) in (position..).zip(inputs) {
        if position == slot.next_position {
            slot.queue.push_back(input);
            slot.next_position += 1;
        }
    }
    let waiting = u32::try_from(slot.queue.len()).unwrap_or(u32::MAX);
    assert_eq!(
        slot.submitted + waiting,
        slot.next_position,
        "an input was lost"
    );
}

/// Hands what waits to the engine, unless it is still busy with this request.
fn submit(cx: &mut AgentContext, slot: &mut StageSlot) {
    if slot.queue.is_empty() || slot.submitted != slot.done() {
        return;
    }
    let position = slot.submitted;
    slot.submitted = slot.next_position;
    let order = EngineOrder::Pass {
        sequence: slot.sequence,
        position,
        inputs: slot.queue.drain(..).collect(),
    };
    cx.outputs.push(AgentOutput::Engine(order));
}

/// Gives what a new attempt may lack: everything to a fresh next stage, else the last output.
fn give_again(cx: &mut AgentContext, key: RequestKey, slot: &StageSlot, next_fresh: bool) {
    if slot.outputs.is_empty() {
        return;
    }
    let last = slot.done() - 1;
    let from = match (slot.is_last(), next_fresh) {
        (true, _) => slot.given.min(last),
        (false, true) => 0,
        (false, false) => last,
    };
    if !slot.is_last() && next_fresh {
        let facts = format!("positions={}", slot.done());
        let next = slot.chain[slot.stage + 1].address.clone();
        cx.note(EventNote::new(EventKind::OutputsReplayed, next, facts).about(key));
    }
    give(cx, key, slot, from);
}

/// Passes the outputs from `position` on to whom they are for.
fn give(cx: &mut AgentContext, key: RequestKey, slot: &StageSlot, position: u32) {
    if slot.is_last() {
        give_tokens(cx, key, slot, position);
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

fn give_tokens(cx: &mut AgentContext, key: RequestKey, slot: &StageSlot, position: u32) {
    let mut last_open = None;
    for (position, output) in (position..).zip(&slot.outputs[position as usize..]) {
        let token = output.token.clone().unwrap_or_default();
        let last = token.stop || position + 1 >= slot.max_tokens;
        last_open = (!last).then_some((position + 1, token.id));
        // The entry has the tokens before `given`; a replay makes them again for the state only.
        if position >= slot.given {
            let ready = TokenReady {
                request: Some(key.into()),
                attempt: slot.attempt,
                position,
                token: token.id,
                text: token.text,
                r#final: last,
            };
            cx.mail(&slot.reply_to, Body::TokenReady(ready));
        }
    }
    if let Some((next, token)) = last_open {
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
    cx.mail(&slot.chain[stage].address, Body::StagePass(pass));
}
