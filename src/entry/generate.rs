//! Model requests: one chain of stages each, repaired in place when a stage is lost.
//!
//! Every change of a chain is a new attempt. Stages answer an open with `StageOpened`, which
//! proves them alive; a stage that does not is replaced, and the stage before it hands the
//! recorded outputs to the replacement. A token is taken once, by position.

use std::collections::{BTreeMap, HashSet};

use crate::clock::ClockTime;
use crate::entry::crash::{CrashFingerprint, CRASH_LIMIT, QUARANTINE_MS};
use crate::entry::{AnswerEvent, EntryContext};
use crate::event::{EventKind, EventNote};
use crate::route::{choose_chain, covers, RouteNeed};
use crate::verdict::{RefusalReason, RequestRefusal};
use crate::wire::gen::envelope::Body;
use crate::wire::gen::{
    RefusalCode, StageClose, StageHop, StageOpen, StageOpened, StageRefused, TokenReady,
};
use crate::wire::RequestKey;

/// Time for a stage to answer an open, milliseconds.
const OPEN_ACK_MS: u64 = 250;
/// Time without a token after which the chain is probed, milliseconds.
const STALL_MS: u64 = 1_000;
/// Attempts after which a request is given up.
const ATTEMPT_LIMIT: u32 = 60;
/// Time that a request without a chain waits for a replica, milliseconds.
const WAIT_REPLICA_MS: u64 = 2_000;
/// Time that a suspect without a chain waits for its turn, milliseconds.
const WAIT_TURN_MS: u64 = 10_000;
/// VMs lost under one request from which on it is to blame.
const LOSS_LIMIT: u32 = 3;
/// Tokens after which a suspect that goes on is one no more.
const PROBATION_TOKENS: usize = 3;
/// Pause between two looks for a replica, milliseconds.
const LOOK_AGAIN_MS: u64 = 100;
/// When to come back after a refusal for want of an upstream, milliseconds.
const NO_UPSTREAM_RETRY_MS: u64 = 1_000;

/// A model request as the caller's profile defines it.
#[derive(Clone, Debug)]
pub struct GenerateWork {
    /// The team that asked.
    pub team: String,
    /// The model.
    pub model: String,
    /// Layers to cover.
    pub layers: u32,
    /// The prompt.
    pub prompt: String,
    /// Most tokens to give.
    pub max_tokens: u32,
    /// When the caller's time ends.
    pub deadline: ClockTime,
}

#[derive(Debug)]
struct GenerateSlot {
    work: GenerateWork,
    attempt: u32,
    chain: Vec<StageHop>,
    acked: Vec<bool>,
    /// Stages that have no state of this request yet.
    fresh: Vec<bool>,
    /// Stages that must be replaced before the next attempt.
    lost: Vec<bool>,
    /// A stage accepted it, so that it may have run.
    begun: bool,
    /// Addresses that were sent an open and have not refused it.
    asked: HashSet<String>,
    tokens: Vec<u32>,
    avoid: HashSet<String>,
    opened_at: ClockTime,
    progress_at: ClockTime,
    stall_ms: u64,
    waiting_since: Option<ClockTime>,
    fingerprint: CrashFingerprint,
    /// VMs that were lost under it.
    losses: u32,
    /// It was on an upstream that died, and has not yet given this many tokens.
    suspect_until: Option<usize>,
}

impl GenerateSlot {
    fn suspect(&self) -> bool {
        self.suspect_until
            .is_some_and(|tokens| self.tokens.len() < tokens)
    }

    fn uses(&self, address: &str) -> bool {
        self.chain.iter().any(|hop| hop.address == address)
    }

    fn all_acked(&self) -> bool {
        self.acked.iter().all(|acked| *acked)
    }

    fn wake(&self) -> ClockTime {
        let next = match self.waiting_since {
            Some(_) => self.opened_at + LOOK_AGAIN_MS,
            None if self.all_acked() => self.progress_at + self.stall_ms,
            None => self.opened_at + OPEN_ACK_MS,
        };
        next.min(self.work.deadline)
    }
}

/// The model requests in flight at one entry.
#[derive(Debug, Default)]
pub struct GenerateTable {
    slots: BTreeMap<RequestKey, GenerateSlot>,
}

impl GenerateTable {
    /// Requests in flight.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether none is in flight.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// When the next timer fires.
    pub fn wake(&self) -> ClockTime {
        let wakes = self.slots.values().map(GenerateSlot::wake);
        wakes.min().unwrap_or(ClockTime::NEVER)
    }

    /// Begins a request, or refuses it at once.
    pub fn start(&mut self, cx: &mut EntryContext, key: RequestKey, work: GenerateWork) {
        let fingerprint = CrashFingerprint::of(&work.team, &work.model, &work.prompt);
        let quarantine_ms = cx.crashes.quarantine_ms(cx.now, fingerprint);
        if let Some(remaining_ms) = quarantine_ms.or(cx.crashes.held_ms(cx.now, fingerprint)) {
            let detail = "upstreams died while they ran this request";
            let refusal = RequestRefusal::not_run(RefusalReason::Quarantined, detail);
            refuse(cx, key, refusal.retry_after(remaining_ms));
            return;
        }
        let known = cx.crashes.crashes(cx.now, fingerprint) > 0;
        let mut slot = GenerateSlot {
            fingerprint,
            losses: 0,
            suspect_until: known.then_some(PROBATION_TOKENS),
            work,
            attempt: 0,
            chain: Vec::new(),
            acked: Vec::new(),
            fresh: Vec::new(),
            lost: Vec::new(),
            begun: false,
            asked: HashSet::new(),
            tokens: Vec::new(),
            avoid: HashSet::new(),
            opened_at: cx.now,
            progress_at: cx.now,
            stall_ms: STALL_MS,
            waiting_since: None,
        };
        let Some(chain) = choose_part(cx, &slot, 0, slot.work.layers, None) else {
            let refusal = RequestRefusal::not_run(
                RefusalReason::NoUpstream,
                "no set of live upstreams with room covers the model",
            );
            refuse(cx, key, refusal.retry_after(NO_UPSTREAM_RETRY_MS));
            return;
        };
        slot.fresh = vec![true; chain.len()];
        slot.lost = vec![false; chain.len()];
        slot.chain = chain;
        for hop in &slot.chain {
            cx.members.begin(&hop.address);
        }
        open_chain(cx, key, &mut slot);
        self.slots.insert(key, slot);
    }

    /// A stage accepted an attempt.
    pub fn stage_opened(&mut self, cx: &mut EntryContext, from: &str, message: &StageOpened) {
        let key = RequestKey::from(message.request.unwrap_or_default());
        cx.members.hear_load(from, message.in_flight);
        let Some(slot) = self.slots.get_mut(&key) else {
            close_stage(cx, from, key, u32::MAX);
            return;
        };
        slot.begun = true;
        let stage = message.stage as usize;
        let current = message.attempt == slot.attempt
            && slot.chain.get(stage).is_some_and(|hop| hop.address == from);
        if current {
            let given = u32::try_from(slot.tokens.len()).unwrap_or(u32::MAX);
            slot.acked[stage] = true;
            slot.fresh[stage] = message.next_position == 0 || message.next_position < given;
            slot.progress_at = cx.now;
        }
    }

    /// A stage refused an attempt, which it has not run.
    pub fn stage_refused(&mut self, cx: &mut EntryContext, from: &str, message: &StageRefused) {
        let key = RequestKey::from(message.request.unwrap_or_default());
        let Some(mut slot) = self.slots.remove(&key) else {
            return;
        };
        let stage = message.stage as usize;
        let current = message.attempt == slot.attempt
            && slot.chain.get(stage).is_some_and(|hop| hop.address == from);
        if !current {
            self.slots.insert(key, slot);
            return;
        }
        let note = EventNote::new(
            EventKind::StageRefused,
            from,
            format!("stage={stage} code={}", message.code().as_str_name()),
        );
        cx.note(note.about(key));
        if message.code() != RefusalCode::UpstreamLost {
            slot.asked.remove(from);
        }
        if message.blamed && !blame(cx, key, &mut slot) {
            self.quarantine(cx, key, &slot);
            return;
        }
        if message.code() == RefusalCode::UnknownRequest {
            // Its agent has restarted: the state is gone, the replica is not.
            slot.fresh[stage] = true;
            self.reopen(cx, key, slot);
            return;
        }
        self.replace(cx, key, slot, &[stage]);
    }

    /// A token came from the last stage.
    pub fn token_ready(&mut self, cx: &mut EntryContext, from: &str, message: TokenReady) {
        let key = RequestKey::from(message.request.unwrap_or_default());
        let Some(slot) = self.slots.get_mut(&key) else {
            close_stage(cx, from, key, u32::MAX);
            return;
        };
        let last = slot.chain.last().map(|hop| hop.address.as_str());
        let expected = u32::try_from(slot.tokens.len()).unwrap_or(u32::MAX);
        // A late token of a replaced stage, or one given already, is dropped.
        if message.attempt > slot.attempt || last != Some(from) || message.position != expected {
            return;
        }
        if slot.tokens.is_empty() {
            cx.note(EventNote::new(EventKind::FirstToken, from, "").about(key));
        }
        slot.begun = true;
        slot.tokens.push(message.token);
        slot.progress_at = cx.now;
        slot.stall_ms = STALL_MS;
        let count = u32::try_from(slot.tokens.len()).unwrap_or(u32::MAX);
        assert!(count <= slot.work.max_tokens, "a token beyond the limit");
        cx.answer(key, AnswerEvent::Token { text: message.text });
        if message.r#final {
            let limited = count == slot.work.max_tokens;
            let facts = format!("tokens={count} attempts={}", slot.attempt);
            cx.note(EventNote::new(EventKind::RequestDone, "", facts).about(key));
            cx.crashes.clear(cx.now, slot.fingerprint);
            cx.answer(
                key,
                AnswerEvent::Done {
                    tokens: count,
                    limited,
                },
            );
            self.remove(cx, key);
        }
    }

    /// The agent at an address is gone: repair every chain through it.
    pub fn peer_lost(&mut self, cx: &mut EntryContext, address: &str) {
        let keys: Vec<RequestKey> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.uses(address))
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            let Some(mut slot) = self.slots.remove(&key) else {
                continue;
            };
            // VMs die every day of causes of their own, and several at once: only a suspect, or
            // one that has lost many, is to blame. An engine's death is told by its agent.
            slot.losses += 1;
            let blamed = slot.suspect() || slot.losses >= LOSS_LIMIT;
            if blamed && !blame(cx, key, &mut slot) {
                self.quarantine(cx, key, &slot);
                continue;
            }
            let stages = stages_at(&slot, address);
            self.replace(cx, key, slot, &stages);
        }
    }

    /// The caller went away.
    ///
    /// Returns whether the request was known.
    pub fn cancel(&mut self, cx: &mut EntryContext, key: RequestKey) -> bool {
        self.remove(cx, key)
    }

    /// Fires the timers that are due.
    pub fn tick(&mut self, cx: &mut EntryContext) {
        let due: Vec<RequestKey> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.wake() <= cx.now)
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            if let Some(slot) = self.slots.remove(&key) {
                self.fire(cx, key, slot);
            }
        }
    }

    fn fire(&mut self, cx: &mut EntryContext, key: RequestKey, mut slot: GenerateSlot) {
        if cx.now >= slot.work.deadline {
            self.give_up(
                cx,
                key,
                &slot,
                RefusalReason::Deadline,
                "the deadline passed",
            );
            return;
        }
        if slot.waiting_since.is_some() {
            // A replica that was full, or has come back, may do now.
            slot.avoid.clear();
            self.replace(cx, key, slot, &[]);
            return;
        }
        if slot.all_acked() {
            // Alive but without progress: a message was lost, or a stage is slow.
            slot.stall_ms = slot.stall_ms.saturating_mul(2);
            slot.progress_at = cx.now;
            self.reopen(cx, key, slot);
            return;
        }
        let silent: Vec<usize> = (0..slot.chain.len()).filter(|i| !slot.acked[*i]).collect();
        for stage in &silent {
            cx.members.suspect(&slot.chain[*stage].address);
        }
        self.replace(cx, key, slot, &silent);
    }

    /// Puts other replicas in the place of some stages. Those that live keep their state.
    fn replace(
        &mut self,
        cx: &mut EntryContext,
        key: RequestKey,
        mut slot: GenerateSlot,
        stages: &[usize],
    ) {
        for stage in stages {
            let address = slot.chain[*stage].address.clone();
            close_stage(cx, &address, key, slot.attempt);
            slot.avoid.insert(address);
            slot.lost[*stage] = true;
        }
        let Some((chain, fresh)) = rebuild(cx, &slot) else {
            self.wait(cx, key, slot);
            return;
        };
        for hop in &slot.chain {
            cx.members.end(&hop.address);
        }
        for hop in &chain {
            cx.members.begin(&hop.address);
        }
        for (stage, hop) in slot.chain.iter().enumerate().filter(|(i, _)| slot.lost[*i]) {
            let facts = format!("stage={stage} position={}", slot.tokens.len());
            let note = EventNote::new(EventKind::StageReplaced, hop.address.clone(), facts);
            cx.note(note.about(key));
        }
        slot.lost = vec![false; chain.len()];
        slot.chain = chain;
        slot.fresh = fresh;
        slot.waiting_since = None;
        self.reopen(cx, key, slot);
    }

    fn wait(&mut self, cx: &mut EntryContext, key: RequestKey, mut slot: GenerateSlot) {
        let since = *slot.waiting_since.get_or_insert(cx.now);
        let patience = match (slot.suspect(), slot.begun) {
            (true, _) => WAIT_TURN_MS,
            (false, true) => WAIT_REPLICA_MS,
            (false, false) => 0,
        };
        if cx.now.since(since) >= patience {
            let detail = "no live upstream can take the place of a lost one";
            self.give_up(cx, key, &slot, RefusalReason::UpstreamLost, detail);
            return;
        }
        slot.opened_at = cx.now;
        self.slots.insert(key, slot);
    }

    fn reopen(&mut self, cx: &mut EntryContext, key: RequestKey, mut slot: GenerateSlot) {
        if slot.attempt >= ATTEMPT_LIMIT {
            let detail = "too many attempts failed";
            self.give_up(cx, key, &slot, RefusalReason::UpstreamLost, detail);
            return;
        }
        open_chain(cx, key, &mut slot);
        self.slots.insert(key, slot);
    }

    fn give_up(
        &mut self,
        cx: &mut EntryContext,
        key: RequestKey,
        slot: &GenerateSlot,
        reason: RefusalReason,
        detail: &str,
    ) {
        release(cx, key, slot);
        // A stage that never answered may still have begun.
        let refusal = if slot.begun || !slot.asked.is_empty() {
            RequestRefusal::may_have_run(reason, detail)
        } else {
            RequestRefusal::not_run(reason, detail)
        };
        refuse(cx, key, refusal.retry_after(NO_UPSTREAM_RETRY_MS));
    }

    /// Too many upstreams died of the request.
    fn quarantine(&mut self, cx: &mut EntryContext, key: RequestKey, slot: &GenerateSlot) {
        release(cx, key, slot);
        let detail = format!("{CRASH_LIMIT} upstreams died while they ran this request");
        let refusal = RequestRefusal::may_have_run(RefusalReason::Quarantined, detail);
        refuse(cx, key, refusal.retry_after(QUARANTINE_MS));
    }

    fn remove(&mut self, cx: &mut EntryContext, key: RequestKey) -> bool {
        match self.slots.remove(&key) {
            Some(slot) => {
                release(cx, key, &slot);
                true
            }
            None => false,
        }
    }
}

/// Lays the death of an upstream to a request. Returns whether it may go on.
fn blame(cx: &mut EntryContext, key: RequestKey, slot: &mut GenerateSlot) -> bool {
    slot.suspect_until = Some(slot.tokens.len() + PROBATION_TOKENS);
    let crashes = cx.crashes.blame(cx.now, slot.fingerprint);
    let facts = format!("crashes={crashes}");
    cx.note(EventNote::new(EventKind::RequestBlamed, "", facts).about(key));
    crashes < CRASH_LIMIT
}

/// Tells a caller that there is no answer, and notes it.
pub(super) fn refuse(cx: &mut EntryContext, key: RequestKey, refusal: RequestRefusal) {
    let facts = format!("verdict={} reason={}", refusal.verdict, refusal.reason);
    cx.note(EventNote::new(EventKind::RequestRefused, "", facts).about(key));
    cx.answer(key, AnswerEvent::Refused(refusal));
}

fn stages_at(slot: &GenerateSlot, address: &str) -> Vec<usize> {
    (0..slot.chain.len())
        .filter(|stage| slot.chain[*stage].address == address)
        .collect()
}

fn release(cx: &mut EntryContext, key: RequestKey, slot: &GenerateSlot) {
    for hop in &slot.chain {
        cx.members.end(&hop.address);
        close_stage(cx, &hop.address, key, slot.attempt);
    }
}

fn close_stage(cx: &mut EntryContext, address: &str, key: RequestKey, attempt: u32) {
    let close = StageClose {
        request: Some(key.into()),
        attempt,
    };
    cx.mail(address, Body::StageClose(close));
}

fn choose_part(
    cx: &mut EntryContext,
    slot: &GenerateSlot,
    first_layer: u32,
    end_layer: u32,
    before: Option<&StageHop>,
) -> Option<Vec<StageHop>> {
    let place = before
        .and_then(|hop| cx.members.by_address(&hop.address))
        .map(|record| {
            let heartbeat = &record.heartbeat;
            (heartbeat.failure_domain.clone(), heartbeat.region.clone())
        });
    let need = RouteNeed {
        model: &slot.work.model,
        first_layer,
        end_layer,
        avoid: &slot.avoid,
        from: place
            .as_ref()
            .map(|(domain, region)| (domain.as_str(), region.as_str())),
    };
    choose_chain(&cx.members, cx.now, need, &mut cx.rng)
}

/// The chain with its lost stages replaced, and which of its stages are fresh.
fn rebuild(cx: &mut EntryContext, slot: &GenerateSlot) -> Option<(Vec<StageHop>, Vec<bool>)> {
    let mut chain: Vec<StageHop> = Vec::new();
    let mut fresh = Vec::new();
    for (stage, hop) in slot.chain.iter().enumerate() {
        if !slot.lost[stage] {
            chain.push(hop.clone());
            fresh.push(slot.fresh[stage]);
            continue;
        }
        let part = choose_part(cx, slot, hop.first_layer, hop.end_layer, chain.last())?;
        fresh.extend(std::iter::repeat_n(true, part.len()));
        chain.extend(part);
    }
    assert!(covers(&chain, 0, slot.work.layers), "a chain with a hole");
    Some((chain, fresh))
}

/// Sends an open for a new attempt to every stage.
fn open_chain(cx: &mut EntryContext, key: RequestKey, slot: &mut GenerateSlot) {
    slot.attempt += 1;
    slot.acked = vec![false; slot.chain.len()];
    slot.opened_at = cx.now;
    slot.progress_at = cx.now;
    let route: Vec<&str> = slot.chain.iter().map(|hop| hop.address.as_str()).collect();
    let facts = format!("attempt={} chain={}", slot.attempt, route.join(","));
    cx.note(EventNote::new(EventKind::ChainChosen, slot.work.model.clone(), facts).about(key));
    for stage in 0..slot.chain.len() {
        let open = stage_open(cx.now, key, slot, stage);
        let address = slot.chain[stage].address.clone();
        cx.mail(&address, Body::StageOpen(open));
        slot.asked.insert(address);
    }
}

fn stage_open(now: ClockTime, key: RequestKey, slot: &GenerateSlot, stage: usize) -> StageOpen {
    let needs_text = stage == 0 && slot.fresh[0];
    StageOpen {
        request: Some(key.into()),
        attempt: slot.attempt,
        stage: u32::try_from(stage).unwrap_or(u32::MAX),
        chain: slot.chain.clone(),
        model: slot.work.model.clone(),
        team: slot.work.team.clone(),
        max_tokens: slot.work.max_tokens,
        remaining_ms: slot.work.deadline.since(now),
        prompt: if needs_text {
            slot.work.prompt.clone()
        } else {
            String::new()
        },
        tokens: if needs_text {
            slot.tokens.clone()
        } else {
            Vec::new()
        },
        fresh: slot.fresh[stage],
        next_fresh: slot.fresh.get(stage + 1).copied().unwrap_or(false),
        given: u32::try_from(slot.tokens.len()).unwrap_or(u32::MAX),
        suspect: slot.suspect(),
    }
}
