//! Operations on the plain service next to the agent.
//!
//! A non-idempotent operation with an idempotency key is dispatched only after its intent is
//! committed to the journal of the key's partition.
//!
//! The verdict `not_run` states that this agent has not sent the attempt to the service and never
//! will. For a non-idempotent operation with a key it also states that no earlier attempt within
//! the key's retention time has run the operation. Refusals with `WrongRole` or `NotOwner` do not
//! state this, because only the owner of the key's partition knows it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::agent::journal::{KeyState, OperationId, ServiceResponse, WriteOutcome};
use crate::agent::owner::{OwnerEvent, PartitionTable};
use crate::agent::reply::{
    operation_digest, reply_refused, reply_response, response_from_outcome, without_large_body,
    OperationWaiter,
};
use crate::agent::{AgentContext, AgentOutput, ServiceDispatch, ServiceOutcome};
use crate::clock::ClockTime;
use crate::event::{EventKind, PendingEvent};
use crate::store::PlatformResult;
use crate::util::{key_hash, key_partition};
use crate::verdict::RunVerdict;
use crate::wire::gen::envelope::Body;
use crate::wire::gen::{OperationCall, OperationStrike, OperationStruck, RefusalCode, WireVerdict};
use crate::wire::RequestKey;

/// Maximum number of attempts that wait for the same operation: the first one and its resends.
const MAX_WAITERS: usize = 8;
/// Maximum number of attempts remembered after they finished, were refused or were cancelled.
const MAX_CLOSED_ATTEMPTS: usize = 8192;
/// Value of `retry_after_ms` in refusals, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// Value of `retry_after_ms` in refusals of an operation whose key belongs to one that is still
/// running, in milliseconds.
const IN_PROGRESS_RETRY_AFTER_MS: u64 = 500;

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
    operation: OperationCall,
    key: Option<OperationKey>,
    phase: OperationPhase,
    /// Whether the operation was cancelled while its intent was being committed.
    cancelled: bool,
    /// Entries that wait for the outcome, in order of arrival.
    waiters: Vec<OperationWaiter>,
    deadline: ClockTime,
}

/// The operations at one agent.
#[derive(Debug)]
pub struct OperationTable {
    service: String,
    limit: usize,
    partitions: PartitionTable,
    slots: BTreeMap<OperationId, OperationSlot>,
    last_id: OperationId,
    /// Attempts that must not start any more, because they finished, were refused or were
    /// cancelled.
    closed_attempts: BTreeSet<(RequestKey, u32)>,
    /// The elements of `closed_attempts`, oldest first.
    closed_order: VecDeque<(RequestKey, u32)>,
}

impl OperationTable {
    /// Creates an empty table for a service that runs at most `limit` operations at a time.
    pub fn new(service: String, limit: usize, partitions: PartitionTable) -> OperationTable {
        OperationTable {
            service,
            limit,
            partitions,
            slots: BTreeMap::new(),
            last_id: 0,
            closed_attempts: BTreeSet::new(),
            closed_order: VecDeque::new(),
        }
    }

    /// Name of the service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Number of operations in flight.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no operation is in flight.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Maximum number of operations in flight.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// The journal partitions of the service.
    pub fn partitions(&self) -> &PartitionTable {
        &self.partitions
    }

    /// Mutable access to the journal partitions of the service.
    pub fn partitions_mut(&mut self) -> &mut PartitionTable {
        &mut self.partitions
    }

    /// Starts an operation sent by the entry at `from`, or refuses it.
    ///
    /// A duplicate of the message is ignored.
    pub fn start(
        &mut self,
        cx: &mut AgentContext,
        from: &str,
        operation: OperationCall,
        draining: bool,
    ) {
        let waiter = OperationWaiter {
            reply_to: from.to_owned(),
            request: RequestKey::from(operation.request.unwrap_or_default()),
            attempt: operation.attempt,
        };
        if self.is_duplicate(&waiter) {
            return;
        }
        if operation.service != self.service {
            self.refuse(cx, &waiter, RunVerdict::NotRun, RefusalCode::WrongRole, 0);
            return;
        }
        if operation.idempotent || operation.key.is_empty() {
            self.start_unkeyed(cx, waiter, operation, draining);
        } else {
            self.start_keyed(cx, waiter, operation, draining);
        }
    }

    fn is_duplicate(&self, waiter: &OperationWaiter) -> bool {
        self.closed_attempts
            .contains(&(waiter.request, waiter.attempt))
            || self
                .slots
                .values()
                .any(|slot| slot.waiters.contains(waiter))
    }

    fn start_unkeyed(
        &mut self,
        cx: &mut AgentContext,
        waiter: OperationWaiter,
        operation: OperationCall,
        draining: bool,
    ) {
        if let Some(code) = self.admission_refusal(draining) {
            self.refuse(cx, &waiter, RunVerdict::NotRun, code, RETRY_AFTER_MS);
            return;
        }
        let id = self.insert(cx, waiter, operation, None);
        self.dispatch(cx, id);
    }

    fn admission_refusal(&self, draining: bool) -> Option<RefusalCode> {
        if draining {
            Some(RefusalCode::Draining)
        } else if self.slots.len() >= self.limit {
            Some(RefusalCode::Busy)
        } else {
            None
        }
    }

    fn start_keyed(
        &mut self,
        cx: &mut AgentContext,
        waiter: OperationWaiter,
        operation: OperationCall,
        draining: bool,
    ) {
        let now = cx.now;
        let hash = key_hash(&operation.team, &operation.key);
        let partition = key_partition(
            &operation.team,
            &operation.key,
            self.partitions.partition_count(),
        );
        let digest = operation_digest(&operation);
        let lease_valid = self.partitions.lease_valid(now);
        let journal = self
            .partitions
            .journal(partition)
            .filter(|journal| lease_valid && !journal.closing());
        let Some(journal) = journal else {
            self.refuse(
                cx,
                &waiter,
                RunVerdict::NotRun,
                RefusalCode::NotOwner,
                RETRY_AFTER_MS,
            );
            return;
        };
        if let Some(record) = journal
            .lookup(&hash)
            .filter(|r| r.state != KeyState::Cancelled)
        {
            let state = record.state.clone();
            if record.digest != digest {
                self.refuse(cx, &waiter, RunVerdict::NotRun, RefusalCode::KeyReused, 0);
                return;
            }
            self.handle_resend(cx, waiter, state);
            return;
        }
        if self.partitions.outage() {
            self.refuse(
                cx,
                &waiter,
                RunVerdict::NotRun,
                RefusalCode::PlatformOutage,
                RETRY_AFTER_MS,
            );
            return;
        }
        if let Some(code) = self.admission_refusal(draining) {
            self.refuse(cx, &waiter, RunVerdict::NotRun, code, RETRY_AFTER_MS);
            return;
        }
        let key = OperationKey { partition, hash };
        let id = self.insert(cx, waiter, operation, Some(key));
        let wall_ms = cx.wall_ms();
        if let Some(journal) = self.partitions.journal(partition) {
            journal.record_intent(&hash, digest, id, wall_ms);
        }
    }

    /// Handles a resend: its key was used before for an operation with the same digest.
    fn handle_resend(&mut self, cx: &mut AgentContext, waiter: OperationWaiter, state: KeyState) {
        match state {
            KeyState::Active(id) => self.join_operation(cx, waiter, id),
            KeyState::Done(response) => {
                cx.record_event(
                    PendingEvent::new(EventKind::AnswerReplayed, "", "")
                        .with_request(waiter.request),
                );
                reply_response(cx, &waiter, &response, true);
                self.remember_closed(&waiter);
            }
            KeyState::Unknown | KeyState::Cancelled => {
                let code = RefusalCode::OutcomeUnknown;
                self.refuse(cx, &waiter, RunVerdict::MayHaveRun, code, 0);
            }
        }
    }

    fn join_operation(&mut self, cx: &mut AgentContext, waiter: OperationWaiter, id: OperationId) {
        match self.slots.get_mut(&id) {
            Some(slot) if slot.waiters.len() < MAX_WAITERS => slot.waiters.push(waiter),
            _ => {
                let code = RefusalCode::InProgress;
                self.refuse(
                    cx,
                    &waiter,
                    RunVerdict::MayHaveRun,
                    code,
                    IN_PROGRESS_RETRY_AFTER_MS,
                );
            }
        }
    }

    /// Refuses an attempt. Duplicates of its message that arrive later are ignored.
    fn refuse(
        &mut self,
        cx: &mut AgentContext,
        waiter: &OperationWaiter,
        verdict: RunVerdict,
        code: RefusalCode,
        retry_after_ms: u64,
    ) {
        reply_refused(cx, waiter, verdict, code, retry_after_ms);
        self.remember_closed(waiter);
    }

    fn insert(
        &mut self,
        cx: &mut AgentContext,
        waiter: OperationWaiter,
        operation: OperationCall,
        key: Option<OperationKey>,
    ) -> OperationId {
        self.last_id += 1;
        let slot = OperationSlot {
            deadline: cx.now + operation.remaining_ms,
            operation,
            key,
            phase: OperationPhase::Committing,
            cancelled: false,
            waiters: vec![waiter],
        };
        self.slots.insert(self.last_id, slot);
        self.last_id
    }

    fn dispatch(&mut self, cx: &mut AgentContext, id: OperationId) {
        let Some(slot) = self.slots.get_mut(&id) else {
            return;
        };
        assert_eq!(
            slot.phase,
            OperationPhase::Committing,
            "operation {id} was dispatched twice"
        );
        slot.phase = OperationPhase::Running;
        let request = slot
            .waiters
            .first()
            .map(|waiter| waiter.request.to_string());
        let facts = format!(
            "method={} idempotent={}",
            slot.operation.method, slot.operation.idempotent
        );
        let event = PendingEvent::new(EventKind::OperationDispatched, self.service.clone(), facts);
        cx.record_event(event.with_request(request.unwrap_or_default()));
        cx.outputs.push(AgentOutput::Service(ServiceDispatch {
            dispatch: id,
            method: slot.operation.method.clone(),
            path: slot.operation.path.clone(),
            content_type: slot.operation.content_type.clone(),
            body: slot.operation.body.clone(),
            trace: slot.operation.trace.clone(),
            remaining_ms: slot.deadline.since(cx.now),
        }));
    }

    /// Handles the outcome of the dispatch of operation `id` and replies to its waiters.
    pub fn handle_outcome(
        &mut self,
        cx: &mut AgentContext,
        id: OperationId,
        outcome: ServiceOutcome,
    ) {
        let Some(slot) = self.slots.remove(&id) else {
            return;
        };
        let not_sent = outcome == ServiceOutcome::NotSent;
        let response = response_from_outcome(outcome);
        self.record_outcome(cx, &slot, response.as_ref(), not_sent);
        let verdict = match not_sent {
            true => self.not_run_verdict(cx.now, &slot),
            false => RunVerdict::MayHaveRun,
        };
        for waiter in &slot.waiters {
            let facts = format!("answered={}", response.is_some());
            let event = PendingEvent::new(EventKind::OperationEnded, self.service.clone(), facts);
            cx.record_event(event.with_request(waiter.request));
            match &response {
                Some(response) => reply_response(cx, waiter, response, false),
                None => reply_refused(
                    cx,
                    waiter,
                    verdict,
                    RefusalCode::UpstreamLost,
                    RETRY_AFTER_MS,
                ),
            }
            self.remember_closed(waiter);
        }
    }

    /// If the operation has a key, records its outcome in the journal of the key's partition.
    fn record_outcome(
        &mut self,
        cx: &AgentContext,
        slot: &OperationSlot,
        response: Option<&ServiceResponse>,
        not_sent: bool,
    ) {
        let Some(key) = &slot.key else { return };
        let Some(journal) = self.partitions.journal(key.partition) else {
            return;
        };
        // The partition may have been lost and claimed again since the operation was started.
        let active = journal
            .lookup(&key.hash)
            .is_some_and(|record| matches!(record.state, KeyState::Active(_)));
        if !active {
            return;
        }
        match response {
            Some(response) => {
                journal.record_response(&key.hash, without_large_body(response), cx.wall_ms())
            }
            None if not_sent => journal.cancel(&key.hash, cx.wall_ms()),
            None => journal.mark_unknown(&key.hash),
        }
    }

    /// The verdict on an operation that this agent has not sent to the service and never will.
    ///
    /// For an operation with a key the verdict covers the key, so `NotRun` requires a valid lease,
    /// under which no other agent can own this agent's partitions.
    fn not_run_verdict(&self, now: ClockTime, slot: &OperationSlot) -> RunVerdict {
        if slot.key.is_none() || self.partitions.lease_valid(now) {
            RunVerdict::NotRun
        } else {
            RunVerdict::MayHaveRun
        }
    }

    /// Cancels an attempt, unless it was dispatched or others wait for the same operation. Replies
    /// to the entry at `from` whether the attempt may have run.
    pub fn cancel(&mut self, cx: &mut AgentContext, from: &str, cancellation: &OperationStrike) {
        let waiter = OperationWaiter {
            reply_to: from.to_owned(),
            request: RequestKey::from(cancellation.request.unwrap_or_default()),
            attempt: cancellation.attempt,
        };
        let verdict = self.cancel_verdict(cx, &waiter, cancellation);
        let reply = OperationStruck {
            request: cancellation.request,
            attempt: cancellation.attempt,
            verdict: WireVerdict::from(verdict).into(),
        };
        cx.send_message(from, Body::OperationStruck(reply));
    }

    fn cancel_verdict(
        &mut self,
        cx: &mut AgentContext,
        waiter: &OperationWaiter,
        cancellation: &OperationStrike,
    ) -> RunVerdict {
        let slot = self
            .slots
            .iter()
            .find(|(_, slot)| slot.waiters.contains(waiter));
        match slot.map(|(id, slot)| (*id, slot.phase)) {
            Some((id, OperationPhase::Committing)) => self.cancel_committing(cx, id),
            Some((_, OperationPhase::Running)) => RunVerdict::MayHaveRun,
            None if self
                .closed_attempts
                .contains(&(waiter.request, waiter.attempt)) =>
            {
                RunVerdict::MayHaveRun
            }
            None => {
                // The message may still arrive, and is then ignored as a duplicate.
                self.remember_closed(waiter);
                self.unseen_verdict(cx.now, cancellation)
            }
        }
    }

    fn cancel_committing(&mut self, cx: &mut AgentContext, id: OperationId) -> RunVerdict {
        let Some(slot) = self.slots.get_mut(&id) else {
            return RunVerdict::MayHaveRun;
        };
        if slot.waiters.len() > 1 {
            // A resend waits for the same operation, which therefore continues.
            return RunVerdict::MayHaveRun;
        }
        slot.cancelled = true;
        let waiters = std::mem::take(&mut slot.waiters);
        for waiter in &waiters {
            self.remember_closed(waiter);
        }
        match self.slots.get(&id) {
            Some(slot) => self.not_run_verdict(cx.now, slot),
            None => RunVerdict::MayHaveRun,
        }
    }

    /// The verdict on an attempt that this agent has not received.
    fn unseen_verdict(&mut self, now: ClockTime, cancellation: &OperationStrike) -> RunVerdict {
        if cancellation.key.is_empty() {
            return RunVerdict::NotRun;
        }
        let hash = key_hash(&cancellation.team, &cancellation.key);
        let partition = key_partition(
            &cancellation.team,
            &cancellation.key,
            self.partitions.partition_count(),
        );
        let lease_valid = self.partitions.lease_valid(now);
        let not_started = self.partitions.journal(partition).is_some_and(|journal| {
            let state = journal.lookup(&hash).map(|record| &record.state);
            matches!(state, None | Some(KeyState::Cancelled))
        });
        if lease_valid && not_started {
            RunVerdict::NotRun
        } else {
            RunVerdict::MayHaveRun
        }
    }

    /// Handles the response to the platform request with this number.
    pub fn handle_platform(&mut self, cx: &mut AgentContext, number: u64, result: &PlatformResult) {
        for event in self.partitions.handle_response(cx, number, result) {
            self.handle_owner_event(cx, event);
        }
    }

    fn handle_owner_event(&mut self, cx: &mut AgentContext, event: OwnerEvent) {
        match event {
            OwnerEvent::Journal(partition, WriteOutcome::Committed(ids)) => {
                let facts = format!("partition={partition} intents={}", ids.len());
                let subject = self.service.clone();
                cx.record_event(PendingEvent::new(
                    EventKind::JournalCommitted,
                    subject,
                    facts,
                ));
                for id in ids {
                    self.handle_committed(cx, id);
                }
            }
            OwnerEvent::Journal(_, WriteOutcome::InDoubt(ids)) => {
                for id in ids {
                    self.abandon(cx, id, RefusalCode::PlatformOutage);
                }
            }
            OwnerEvent::Journal(_, WriteOutcome::Lost(ids))
            | OwnerEvent::OwnershipEnded(_, ids) => {
                for id in ids {
                    self.abandon(cx, id, RefusalCode::NotOwner);
                }
            }
            OwnerEvent::Journal(_, WriteOutcome::None) => {}
        }
    }

    /// Dispatches an operation whose intent is durable, unless it was cancelled or its deadline has
    /// passed.
    fn handle_committed(&mut self, cx: &mut AgentContext, id: OperationId) {
        let Some(slot) = self.slots.get(&id) else {
            return;
        };
        if slot.cancelled {
            self.abandon(cx, id, RefusalCode::Struck);
        } else if cx.now >= slot.deadline {
            self.abandon(cx, id, RefusalCode::Deadline);
        } else {
            self.dispatch(cx, id);
        }
    }

    /// Removes an operation that was never dispatched and refuses its waiters.
    fn abandon(&mut self, cx: &mut AgentContext, id: OperationId, code: RefusalCode) {
        let Some(slot) = self.slots.remove(&id) else {
            return;
        };
        assert_eq!(
            slot.phase,
            OperationPhase::Committing,
            "operation {id} was abandoned after its dispatch"
        );
        let verdict = self.not_run_verdict(cx.now, &slot);
        self.record_outcome(cx, &slot, None, true);
        for waiter in &slot.waiters {
            reply_refused(cx, waiter, verdict, code, RETRY_AFTER_MS);
            self.remember_closed(waiter);
        }
    }

    /// Time at which [`OperationTable::tick`] must be called next.
    pub fn next_wake(&self) -> ClockTime {
        self.partitions.next_wake()
    }

    /// Runs the timers that are due at `cx.now`.
    pub fn tick(&mut self, cx: &mut AgentContext) {
        self.partitions.tick(cx);
    }

    fn remember_closed(&mut self, waiter: &OperationWaiter) {
        let attempt = (waiter.request, waiter.attempt);
        if self.closed_attempts.insert(attempt) {
            self.closed_order.push_back(attempt);
        }
        if self.closed_order.len() > MAX_CLOSED_ATTEMPTS {
            if let Some(oldest) = self.closed_order.pop_front() {
                self.closed_attempts.remove(&oldest);
            }
        }
    }
}
