//! Calls of the service beside the agent.
//!
//! A non-idempotent call with a key is dispatched only after its intent is committed to the
//! journal of the key's partition. Only this table says `not_run`: of a call that it has not
//! dispatched and never will, whose key no other owner can have run.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::agent::journal::{JournalNews, KeyAnswer, KeyState, OperationId};
use crate::agent::owner::{OwnerNews, OwnerTable};
use crate::agent::reply::{
    call_digest, kept, key_answer, reply_answer, reply_refused, OperationWaiter,
};
use crate::agent::{AgentContext, AgentOutput, ServiceDispatch, ServiceOutcome};
use crate::clock::ClockTime;
use crate::event::{EventKind, EventNote};
use crate::store::PlatformResult;
use crate::util::{key_hash, key_partition};
use crate::verdict::RunVerdict;
use crate::wire::gen::envelope::Body;
use crate::wire::gen::{OperationCall, OperationStrike, OperationStruck, RefusalCode, WireVerdict};
use crate::wire::RequestKey;

/// Resends that may wait for the same operation.
const WAITER_LIMIT: usize = 8;
/// Requests remembered after they ended or were struck out.
const ENDED_LIMIT: usize = 8192;
/// When to come back after a refusal, milliseconds.
const RETRY_MS: u64 = 1_000;
/// When to come back while an earlier try runs, milliseconds.
const IN_PROGRESS_RETRY_MS: u64 = 500;

#[derive(Clone, Debug)]
struct OperationKey {
    partition: u32,
    hash: [u8; 16],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OperationPhase {
    Committing,
    Running,
}

#[derive(Debug)]
struct OperationSlot {
    call: OperationCall,
    key: Option<OperationKey>,
    phase: OperationPhase,
    /// The key was struck out while its intent was being committed.
    struck: bool,
    waiters: Vec<OperationWaiter>,
    deadline: ClockTime,
}

/// The calls at one agent.
#[derive(Debug)]
pub struct OperationTable {
    service: String,
    limit: usize,
    owner: OwnerTable,
    slots: BTreeMap<OperationId, OperationSlot>,
    next: OperationId,
    /// Requests that may not begin any more: ended or struck out.
    ended: BTreeSet<(RequestKey, u32)>,
    ended_order: VecDeque<(RequestKey, u32)>,
}

impl OperationTable {
    /// A table for a service, running at most `limit` calls at once.
    pub fn new(service: String, limit: usize, owner: OwnerTable) -> OperationTable {
        OperationTable {
            service,
            limit,
            owner,
            slots: BTreeMap::new(),
            next: 0,
            ended: BTreeSet::new(),
            ended_order: VecDeque::new(),
        }
    }

    /// The service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Calls in flight.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether none is in flight.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Calls that may be in flight.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// The journal partitions.
    pub fn owner(&self) -> &OwnerTable {
        &self.owner
    }

    /// The journal partitions, to change them.
    pub fn owner_mut(&mut self) -> &mut OwnerTable {
        &mut self.owner
    }

    /// A call from an entry.
    pub fn call(&mut self, cx: &mut AgentContext, from: &str, call: OperationCall, draining: bool) {
        let waiter = OperationWaiter {
            reply_to: from.to_owned(),
            request: RequestKey::from(call.request.unwrap_or_default()),
            attempt: call.attempt,
        };
        if self.is_known(&waiter) {
            return;
        }
        if call.service != self.service {
            self.refuse(cx, &waiter, RunVerdict::NotRun, RefusalCode::WrongRole, 0);
            return;
        }
        if call.idempotent || call.key.is_empty() {
            self.call_unkeyed(cx, waiter, call, draining);
        } else {
            self.call_keyed(cx, waiter, call, draining);
        }
    }

    fn is_known(&self, waiter: &OperationWaiter) -> bool {
        self.ended.contains(&(waiter.request, waiter.attempt))
            || self
                .slots
                .values()
                .any(|slot| slot.waiters.contains(waiter))
    }

    fn call_unkeyed(
        &mut self,
        cx: &mut AgentContext,
        waiter: OperationWaiter,
        call: OperationCall,
        draining: bool,
    ) {
        if let Some(code) = self.no_room(draining) {
            self.refuse(cx, &waiter, RunVerdict::NotRun, code, RETRY_MS);
            return;
        }
        let id = self.insert(cx, waiter, call, None);
        self.dispatch(cx, id);
    }

    fn no_room(&self, draining: bool) -> Option<RefusalCode> {
        if draining {
            Some(RefusalCode::Draining)
        } else if self.slots.len() >= self.limit {
            Some(RefusalCode::Busy)
        } else {
            None
        }
    }

    fn call_keyed(
        &mut self,
        cx: &mut AgentContext,
        waiter: OperationWaiter,
        call: OperationCall,
        draining: bool,
    ) {
        let now = cx.now;
        let hash = key_hash(&call.team, &call.key);
        let partition = key_partition(&call.team, &call.key, self.owner.partition_count());
        let digest = call_digest(&call);
        let vouches = self.owner.vouches(now);
        let journal = self
            .owner
            .journal(partition)
            .filter(|journal| vouches && !journal.closing());
        let Some(journal) = journal else {
            self.refuse(
                cx,
                &waiter,
                RunVerdict::NotRun,
                RefusalCode::NotOwner,
                RETRY_MS,
            );
            return;
        };
        if let Some(record) = journal
            .lookup(&hash)
            .filter(|r| r.state != KeyState::Struck)
        {
            let state = record.state.clone();
            if record.digest != digest {
                self.refuse(cx, &waiter, RunVerdict::NotRun, RefusalCode::KeyReused, 0);
                return;
            }
            self.answer_known(cx, waiter, state);
            return;
        }
        if self.owner.outage() {
            self.refuse(
                cx,
                &waiter,
                RunVerdict::NotRun,
                RefusalCode::PlatformOutage,
                RETRY_MS,
            );
            return;
        }
        if let Some(code) = self.no_room(draining) {
            self.refuse(cx, &waiter, RunVerdict::NotRun, code, RETRY_MS);
            return;
        }
        let key = OperationKey { partition, hash };
        let id = self.insert(cx, waiter, call, Some(key));
        let wall_ms = cx.wall_ms();
        if let Some(journal) = self.owner.journal(partition) {
            journal.intend(&hash, digest, id, wall_ms);
        }
    }

    /// Answers a call whose key came before with the same request.
    fn answer_known(&mut self, cx: &mut AgentContext, waiter: OperationWaiter, state: KeyState) {
        match state {
            KeyState::Active(id) => self.join(cx, waiter, id),
            KeyState::Done(answer) => {
                cx.note(EventNote::new(EventKind::AnswerReplayed, "", "").about(waiter.request));
                reply_answer(cx, &waiter, &answer, true);
                self.remember(&waiter);
            }
            KeyState::Unknown | KeyState::Struck => {
                let code = RefusalCode::OutcomeUnknown;
                self.refuse(cx, &waiter, RunVerdict::MayHaveRun, code, 0);
            }
        }
    }

    fn join(&mut self, cx: &mut AgentContext, waiter: OperationWaiter, id: OperationId) {
        match self.slots.get_mut(&id) {
            Some(slot) if slot.waiters.len() < WAITER_LIMIT => slot.waiters.push(waiter),
            _ => {
                let code = RefusalCode::InProgress;
                self.refuse(
                    cx,
                    &waiter,
                    RunVerdict::MayHaveRun,
                    code,
                    IN_PROGRESS_RETRY_MS,
                );
            }
        }
    }

    /// Refuses a call for good: a copy of it that comes later is not listened to.
    fn refuse(
        &mut self,
        cx: &mut AgentContext,
        waiter: &OperationWaiter,
        verdict: RunVerdict,
        code: RefusalCode,
        retry_after_ms: u64,
    ) {
        reply_refused(cx, waiter, verdict, code, retry_after_ms);
        self.remember(waiter);
    }

    fn insert(
        &mut self,
        cx: &mut AgentContext,
        waiter: OperationWaiter,
        call: OperationCall,
        key: Option<OperationKey>,
    ) -> OperationId {
        self.next += 1;
        let slot = OperationSlot {
            deadline: cx.now + call.remaining_ms,
            call,
            key,
            phase: OperationPhase::Committing,
            struck: false,
            waiters: vec![waiter],
        };
        self.slots.insert(self.next, slot);
        self.next
    }

    fn dispatch(&mut self, cx: &mut AgentContext, id: OperationId) {
        let Some(slot) = self.slots.get_mut(&id) else {
            return;
        };
        assert_eq!(
            slot.phase,
            OperationPhase::Committing,
            "an operation dispatched twice"
        );
        slot.phase = OperationPhase::Running;
        let request = slot
            .waiters
            .first()
            .map(|waiter| waiter.request.to_string());
        let facts = format!(
            "method={} idempotent={}",
            slot.call.method, slot.call.idempotent
        );
        let note = EventNote::new(EventKind::OperationDispatched, self.service.clone(), facts);
        cx.note(note.about(request.unwrap_or_default()));
        cx.outputs.push(AgentOutput::Service(ServiceDispatch {
            dispatch: id,
            method: slot.call.method.clone(),
            path: slot.call.path.clone(),
            content_type: slot.call.content_type.clone(),
            body: slot.call.body.clone(),
            trace: slot.call.trace.clone(),
            allowed_ms: slot.deadline.since(cx.now),
        }));
    }

    /// A dispatch ended.
    pub fn outcome(&mut self, cx: &mut AgentContext, id: OperationId, outcome: ServiceOutcome) {
        let Some(slot) = self.slots.remove(&id) else {
            return;
        };
        let not_sent = outcome == ServiceOutcome::NotSent;
        let answer = key_answer(outcome);
        self.record(cx, &slot, answer.as_ref(), not_sent);
        let verdict = match not_sent {
            true => self.not_run_verdict(cx.now, &slot),
            false => RunVerdict::MayHaveRun,
        };
        for waiter in &slot.waiters {
            let facts = format!("answered={}", answer.is_some());
            let note = EventNote::new(EventKind::OperationEnded, self.service.clone(), facts);
            cx.note(note.about(waiter.request));
            match &answer {
                Some(answer) => reply_answer(cx, waiter, answer, false),
                None => reply_refused(cx, waiter, verdict, RefusalCode::UpstreamLost, RETRY_MS),
            }
            self.remember(waiter);
        }
    }

    fn record(
        &mut self,
        cx: &AgentContext,
        slot: &OperationSlot,
        answer: Option<&KeyAnswer>,
        not_sent: bool,
    ) {
        let Some(key) = &slot.key else { return };
        let Some(journal) = self.owner.journal(key.partition) else {
            return;
        };
        // The partition may have been lost and taken again since.
        let active = journal
            .lookup(&key.hash)
            .is_some_and(|record| matches!(record.state, KeyState::Active(_)));
        if !active {
            return;
        }
        match answer {
            Some(answer) => journal.finish(&key.hash, kept(answer), cx.wall_ms()),
            None if not_sent => journal.strike(&key.hash, cx.wall_ms()),
            None => journal.lose_outcome(&key.hash),
        }
    }

    /// The verdict on a call that this agent has not dispatched and never will.
    ///
    /// For a call with a key it speaks of the key, so that it takes the key's owner.
    fn not_run_verdict(&self, now: ClockTime, slot: &OperationSlot) -> RunVerdict {
        if slot.key.is_none() || self.owner.vouches(now) {
            RunVerdict::NotRun
        } else {
            RunVerdict::MayHaveRun
        }
    }

    /// An entry asks that a call be struck out.
    pub fn strike(&mut self, cx: &mut AgentContext, from: &str, strike: &OperationStrike) {
        let waiter = OperationWaiter {
            reply_to: from.to_owned(),
            request: RequestKey::from(strike.request.unwrap_or_default()),
            attempt: strike.attempt,
        };
        let verdict = self.strike_verdict(cx, &waiter, strike);
        let struck = OperationStruck {
            request: strike.request,
            attempt: strike.attempt,
            verdict: WireVerdict::from(verdict).into(),
        };
        cx.mail(from, Body::OperationStruck(struck));
    }

    fn strike_verdict(
        &mut self,
        cx: &mut AgentContext,
        waiter: &OperationWaiter,
        strike: &OperationStrike,
    ) -> RunVerdict {
        let slot = self
            .slots
            .iter()
            .find(|(_, slot)| slot.waiters.contains(waiter));
        match slot.map(|(id, slot)| (*id, slot.phase)) {
            Some((id, OperationPhase::Committing)) => self.strike_committing(cx, id),
            Some((_, OperationPhase::Running)) => RunVerdict::MayHaveRun,
            None if self.ended.contains(&(waiter.request, waiter.attempt)) => {
                RunVerdict::MayHaveRun
            }
            None => {
                // It may still arrive, and is then refused.
                self.remember(waiter);
                self.unseen_verdict(cx.now, strike)
            }
        }
    }

    fn strike_committing(&mut self, cx: &mut AgentContext, id: OperationId) -> RunVerdict {
        let Some(slot) = self.slots.get_mut(&id) else {
            return RunVerdict::MayHaveRun;
        };
        if slot.waiters.len() > 1 {
            // A resend waits for the same operation, which goes on.
            return RunVerdict::MayHaveRun;
        }
        slot.struck = true;
        let waiters = std::mem::take(&mut slot.waiters);
        for waiter in &waiters {
            self.remember(waiter);
        }
        match self.slots.get(&id) {
            Some(slot) => self.not_run_verdict(cx.now, slot),
            None => RunVerdict::MayHaveRun,
        }
    }

    fn unseen_verdict(&mut self, now: ClockTime, strike: &OperationStrike) -> RunVerdict {
        if strike.key.is_empty() {
            return RunVerdict::NotRun;
        }
        let hash = key_hash(&strike.team, &strike.key);
        let partition = key_partition(&strike.team, &strike.key, self.owner.partition_count());
        let vouches = self.owner.vouches(now);
        let unknown = self.owner.journal(partition).is_some_and(|journal| {
            let state = journal.lookup(&hash).map(|record| &record.state);
            matches!(state, None | Some(KeyState::Struck))
        });
        if vouches && unknown {
            RunVerdict::NotRun
        } else {
            RunVerdict::MayHaveRun
        }
    }

    /// A platform answer.
    pub fn platform(&mut self, cx: &mut AgentContext, number: u64, result: &PlatformResult) {
        for news in self.owner.answer(cx, number, result) {
            self.owner_news(cx, news);
        }
    }

    fn owner_news(&mut self, cx: &mut AgentContext, news: OwnerNews) {
        match news {
            OwnerNews::Journal(partition, JournalNews::Committed(ids)) => {
                let facts = format!("partition={partition} intents={}", ids.len());
                let subject = self.service.clone();
                cx.note(EventNote::new(EventKind::JournalCommitted, subject, facts));
                for id in ids {
                    self.committed(cx, id);
                }
            }
            OwnerNews::Journal(_, JournalNews::Doubtful(ids)) => {
                for id in ids {
                    self.abandon(cx, id, RefusalCode::PlatformOutage);
                }
            }
            OwnerNews::Journal(_, JournalNews::Lost(ids)) | OwnerNews::Gone(_, ids) => {
                for id in ids {
                    self.abandon(cx, id, RefusalCode::NotOwner);
                }
            }
            OwnerNews::Journal(_, JournalNews::None) => {}
        }
    }

    /// The intent of an operation is durable: run it, unless it was struck out or is too late.
    fn committed(&mut self, cx: &mut AgentContext, id: OperationId) {
        let Some(slot) = self.slots.get(&id) else {
            return;
        };
        if slot.struck {
            self.abandon(cx, id, RefusalCode::Struck);
        } else if cx.now >= slot.deadline {
            self.abandon(cx, id, RefusalCode::Deadline);
        } else {
            self.dispatch(cx, id);
        }
    }

    /// Ends an operation that was never dispatched.
    fn abandon(&mut self, cx: &mut AgentContext, id: OperationId, code: RefusalCode) {
        let Some(slot) = self.slots.remove(&id) else {
            return;
        };
        assert_eq!(
            slot.phase,
            OperationPhase::Committing,
            "what runs cannot be abandoned"
        );
        let verdict = self.not_run_verdict(cx.now, &slot);
        self.record(cx, &slot, None, true);
        for waiter in &slot.waiters {
            reply_refused(cx, waiter, verdict, code, RETRY_MS);
            self.remember(waiter);
        }
    }

    /// When [`OperationTable::tick`] is wanted next.
    pub fn wake(&self) -> ClockTime {
        self.owner.wake()
    }

    /// Fires the timers that are due.
    pub fn tick(&mut self, cx: &mut AgentContext) {
        self.owner.tick(cx);
    }

    fn remember(&mut self, waiter: &OperationWaiter) {
        let ended = (waiter.request, waiter.attempt);
        if self.ended.insert(ended) {
            self.ended_order.push_back(ended);
        }
        if self.ended_order.len() > ENDED_LIMIT {
            if let Some(oldest) = self.ended_order.pop_front() {
                self.ended.remove(&oldest);
            }
        }
    }
}
