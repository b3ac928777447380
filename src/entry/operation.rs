//! Operations: requests to plain services.
//!
//! An idempotent operation may be retried on another replica. A non-idempotent one with an
//! idempotency key goes to the owner of the key, whose refusal is final; it is retried only when
//! the receiver is not the owner or not a replica of a service. While the key's partition is
//! between two owners, the operation waits for the next one, for a limited time. A non-idempotent
//! one without a key goes to any replica, and is retried only when it has not run.

use std::collections::{BTreeMap, HashSet};

use rand::Rng;

use crate::clock::ClockTime;
use crate::entry::generate::refuse;
use crate::entry::{AnswerEvent, EntryContext, ServiceRequest, ServiceResponse};
use crate::event::{EventKind, PendingEvent};
use crate::member::ReplicaRecord;
use crate::util::key_partition;
use crate::verdict::{RefusalReason, RequestRefusal, RunVerdict};
use crate::wire::gen::envelope::Body;
use crate::wire::gen::{
    heartbeat::Role, OperationCall, OperationReply, OperationStrike, OperationStruck, RefusalCode,
};
use crate::wire::RequestKey;

/// Time without a reply after which an idempotent operation is retried on another replica, in
/// milliseconds.
const ATTEMPT_TIMEOUT_MS: u64 = 2_000;
/// Maximum number of attempts for one operation.
const MAX_ATTEMPTS: u32 = 3;
/// Time that the entry waits for an agent's reply to a cancellation, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 250;
/// Longest wait for the next owner of a key, while replicas of the service live but none of them
/// owns the key's partition, in milliseconds. It covers a planned handover, and the time by which
/// the partitions of several owners that are lost together come back one after the other: their
/// leases end up to one renewal interval apart, and a successor looks for them each half second.
/// The whole lease of a lost owner is longer, and no caller is held for it.
const OWNER_WAIT_MS: u64 = 1_500;
/// `Retry-After` of refusals, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// An admitted request to a plain service, resolved by its profile.
#[derive(Clone, Debug)]
pub struct OperationWork {
    /// Name of the team that sent the request.
    pub team: String,
    /// Name of the service, as agents report it.
    pub service: String,
    /// Whether the operation may safely run more than once.
    pub idempotent: bool,
    /// The caller's HTTP request.
    pub request: ServiceRequest,
    /// The caller's `traceparent` header; may be empty.
    pub trace: String,
    /// Time at which the operation is cancelled if no reply has been received.
    pub deadline: ClockTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OperationPhase {
    /// Waiting for the next owner of the key, up to this time; sent to no one at present.
    AwaitingOwner(ClockTime),
    /// Waiting for the reply of the target.
    Sent,
    /// Past the deadline, waiting for the target's reply to the cancellation.
    Cancelling,
}

/// State of an operation in flight.
#[derive(Debug)]
struct OperationSlot {
    work: OperationWork,
    /// Number of the current attempt, starting at 1.
    attempt: u32,
    /// Message address of the agent that was sent the current attempt.
    target: String,
    /// Message addresses of replicas that are not chosen for this operation.
    avoid: HashSet<String>,
    /// Time at which the current attempt or its cancellation was sent.
    sent_at: ClockTime,
    phase: OperationPhase,
    /// Whether an earlier attempt may have run; the outcome of a later one does not change that.
    may_have_run: bool,
    /// Whether the operation is ended since the entry stops.
    is_ended: bool,
}

impl OperationSlot {
    fn next_wake(&self) -> ClockTime {
        match self.phase {
            OperationPhase::AwaitingOwner(until) => until,
            OperationPhase::Cancelling => self.sent_at + CANCEL_TIMEOUT_MS,
            OperationPhase::Sent if self.work.idempotent => {
                self.work.deadline.min(self.sent_at + ATTEMPT_TIMEOUT_MS)
            }
            OperationPhase::Sent => self.work.deadline,
        }
    }
}

/// Operations in flight at one entry.
#[derive(Debug, Default)]
pub struct OperationTable {
    slots: BTreeMap<RequestKey, OperationSlot>,
}

impl OperationTable {
    /// Number of operations in flight.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no operation is in flight.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Time at which the next timer is due.
    pub fn next_wake(&self) -> ClockTime {
        let next_wakes = self.slots.values().map(OperationSlot::next_wake);
        next_wakes.min().unwrap_or(ClockTime::NEVER)
    }

    /// Starts an operation, or refuses it if no replica can take it.
    pub fn start(&mut self, cx: &mut EntryContext, request_id: RequestKey, work: OperationWork) {
        let slot = OperationSlot {
            work,
            attempt: 0,
            target: String::new(),
            avoid: HashSet::new(),
            sent_at: cx.now,
            phase: OperationPhase::Sent,
            may_have_run: false,
            is_ended: false,
        };
        self.send(cx, request_id, slot);
    }

    /// Handles the reply of an agent: answers the caller, retries the operation or refuses it.
    pub fn operation_reply(&mut self, cx: &mut EntryContext, from: &str, reply: OperationReply) {
        let request_id = RequestKey::from(reply.request.unwrap_or_default());
        let Some(mut slot) = self.take_matching(request_id, from, reply.attempt) else {
            return;
        };
        cx.members.request_ended(&slot.target);
        let verdict = RunVerdict::from(reply.verdict());
        // A reply without a code carries the response of the service; any code is a refusal.
        if reply.code() == RefusalCode::Unspecified && verdict == RunVerdict::Ran {
            let facts = format!("status={} replayed={}", reply.status, reply.replayed);
            cx.record(
                PendingEvent::new(EventKind::RequestDone, from, facts).with_request(request_id),
            );
            let response = ServiceResponse {
                status: u16::try_from(reply.status).unwrap_or(502),
                content_type: reply.content_type,
                body: reply.body,
                replayed: reply.replayed,
            };
            cx.answer(request_id, AnswerEvent::Response(response));
            return;
        }
        if may_retry(&slot, verdict, reply.code()) {
            slot.may_have_run |= verdict != RunVerdict::NotRun;
            slot.avoid.insert(from.to_owned());
            self.send(cx, request_id, slot);
            return;
        }
        // An agent that does not own the key cannot know about earlier attempts.
        slot.may_have_run |= reply.code() == RefusalCode::NotOwner;
        let refusal = RequestRefusal {
            verdict: overall_verdict(&slot, verdict),
            reason: RefusalReason::from(reply.code()),
            detail: refusal_detail(reply.code()).to_owned(),
            retry_after_ms: (reply.retry_after_ms > 0).then_some(reply.retry_after_ms),
        };
        refuse(cx, request_id, refusal);
    }

    /// Handles the reply of an agent to a cancellation.
    pub fn operation_struck(
        &mut self,
        cx: &mut EntryContext,
        from: &str,
        message: &OperationStruck,
    ) {
        let request_id = RequestKey::from(message.request.unwrap_or_default());
        let Some(slot) = self.take_matching(request_id, from, message.attempt) else {
            return;
        };
        if slot.phase != OperationPhase::Cancelling {
            self.slots.insert(request_id, slot);
            return;
        }
        let verdict = overall_verdict(&slot, RunVerdict::from(message.verdict()));
        refuse_at_deadline(cx, request_id, &slot, verdict);
    }

    /// Handles the loss of an agent: retries or refuses its operations.
    pub fn peer_lost(&mut self, cx: &mut EntryContext, address: &str) {
        let request_ids: Vec<RequestKey> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.target == address)
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in request_ids {
            let Some(slot) = self.slots.remove(&request_id) else {
                continue;
            };
            self.handle_lost_target(cx, request_id, slot);
        }
    }

    /// Forgets an operation whose caller has disconnected. The agent is not notified: the operation
    /// runs to its end, because a non-idempotent one must not be stopped halfway.
    ///
    /// Returns whether the operation was in flight.
    pub fn forget(&mut self, cx: &mut EntryContext, request_id: RequestKey) -> bool {
        match self.slots.remove(&request_id) {
            Some(slot) => {
                cx.members.request_ended(&slot.target);
                true
            }
            None => false,
        }
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, cx: &mut EntryContext) {
        let due: Vec<RequestKey> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.next_wake() <= cx.now)
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in due {
            if let Some(slot) = self.slots.remove(&request_id) {
                self.handle_timeout(cx, request_id, slot);
            }
        }
    }

    /// Ends all operations, since the entry stops: refuses those that are with no agent, and cancels
    /// the others as at their deadlines.
    pub fn end_all(&mut self, cx: &mut EntryContext) {
        for (request_id, mut slot) in std::mem::take(&mut self.slots) {
            slot.is_ended = true;
            slot.work.deadline = slot.work.deadline.min(cx.now);
            match slot.phase {
                OperationPhase::Cancelling => {
                    self.slots.insert(request_id, slot);
                }
                OperationPhase::AwaitingOwner(_) | OperationPhase::Sent => {
                    self.handle_timeout(cx, request_id, slot);
                }
            }
        }
    }

    /// Handles a heartbeat of an agent: operations that wait for an owner are sent if the agent now
    /// owns their key, even if it was sent an earlier attempt and was not the owner then.
    pub fn owner_changed(&mut self, cx: &mut EntryContext, from: &str) {
        let waiting: Vec<RequestKey> = self
            .slots
            .iter()
            .filter(|(_, slot)| matches!(slot.phase, OperationPhase::AwaitingOwner(_)))
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in waiting {
            if let Some(mut slot) = self.slots.remove(&request_id) {
                slot.avoid.remove(from);
                self.send(cx, request_id, slot);
            }
        }
    }

    fn handle_timeout(
        &mut self,
        cx: &mut EntryContext,
        request_id: RequestKey,
        mut slot: OperationSlot,
    ) {
        if let OperationPhase::AwaitingOwner(_) = slot.phase {
            refuse(cx, request_id, no_target_refusal(&slot));
            return;
        }
        if slot.phase == OperationPhase::Cancelling {
            cx.members.request_ended(&slot.target);
            refuse_at_deadline(cx, request_id, &slot, RunVerdict::MayHaveRun);
            return;
        }
        if cx.now >= slot.work.deadline {
            let cancellation = OperationStrike {
                request: Some(request_id.into()),
                attempt: slot.attempt,
                team: slot.work.team.clone(),
                key: slot.work.request.idempotency_key.clone(),
            };
            cx.send_message(&slot.target, Body::OperationStrike(cancellation));
            slot.phase = OperationPhase::Cancelling;
            slot.sent_at = cx.now;
            self.slots.insert(request_id, slot);
            return;
        }
        cx.members.mark_suspect(&slot.target);
        self.handle_lost_target(cx, request_id, slot);
    }

    /// Retries an operation whose target was lost, or refuses it.
    fn handle_lost_target(
        &mut self,
        cx: &mut EntryContext,
        request_id: RequestKey,
        mut slot: OperationSlot,
    ) {
        cx.members.request_ended(&slot.target);
        slot.may_have_run = true;
        if slot.work.idempotent && slot.attempt < MAX_ATTEMPTS && slot.phase == OperationPhase::Sent
        {
            let target = slot.target.clone();
            slot.avoid.insert(target);
            self.send(cx, request_id, slot);
            return;
        }
        let detail = "the upstream was lost after it was given the call";
        let refusal = RequestRefusal::may_have_run(RefusalReason::UpstreamLost, detail);
        refuse(cx, request_id, refusal.retry_after(RETRY_AFTER_MS));
    }

    /// Removes and returns an operation if `from` was sent the attempt `attempt` and this is the
    /// current one.
    fn take_matching(
        &mut self,
        request_id: RequestKey,
        from: &str,
        attempt: u32,
    ) -> Option<OperationSlot> {
        let slot = self.slots.get(&request_id)?;
        if slot.target != from || slot.attempt != attempt {
            return None;
        }
        self.slots.remove(&request_id)
    }

    /// Sends the next attempt to a replica. If there is none, waits for the next owner of the key,
    /// or refuses the operation if no replica lives that could become it.
    fn send(&mut self, cx: &mut EntryContext, request_id: RequestKey, mut slot: OperationSlot) {
        let Some(target) = choose_target(cx, &slot) else {
            self.await_owner(cx, request_id, slot);
            return;
        };
        slot.attempt += 1;
        slot.sent_at = cx.now;
        slot.phase = OperationPhase::Sent;
        slot.target = target;
        cx.members.request_started(&slot.target);
        let facts = format!("attempt={} chain={}", slot.attempt, slot.target);
        cx.record(
            PendingEvent::new(EventKind::ChainChosen, slot.work.service.clone(), facts)
                .with_request(request_id),
        );
        let operation = operation_call(cx.now, request_id, &slot);
        cx.send_message(&slot.target, Body::OperationCall(operation));
        self.slots.insert(request_id, slot);
    }

    fn await_owner(
        &mut self,
        cx: &mut EntryContext,
        request_id: RequestKey,
        mut slot: OperationSlot,
    ) {
        let service = &slot.work.service;
        let any_replica = cx
            .members
            .replicas_of_service(cx.now, service)
            .next()
            .is_some();
        if !is_keyed(&slot) || !any_replica {
            refuse(cx, request_id, no_target_refusal(&slot));
            return;
        }
        if !matches!(slot.phase, OperationPhase::AwaitingOwner(_)) {
            let until = slot.work.deadline.min(cx.now + OWNER_WAIT_MS);
            slot.phase = OperationPhase::AwaitingOwner(until);
        }
        // A late reply or the loss of an earlier target no longer concerns the operation.
        slot.target.clear();
        self.slots.insert(request_id, slot);
    }
}

/// Combines the verdict of the latest attempt with those of the earlier ones: the operation has not
/// run only if no attempt may have run.
fn overall_verdict(slot: &OperationSlot, verdict: RunVerdict) -> RunVerdict {
    match verdict {
        RunVerdict::NotRun if slot.may_have_run => RunVerdict::MayHaveRun,
        other => other,
    }
}

fn refuse_at_deadline(
    cx: &mut EntryContext,
    request_id: RequestKey,
    slot: &OperationSlot,
    verdict: RunVerdict,
) {
    let detail = match slot.is_ended {
        true => format!("this entry stops while {} has the call", slot.target),
        false => format!("the deadline passed while {} had the call", slot.target),
    };
    let refusal = RequestRefusal {
        verdict,
        reason: RefusalReason::Deadline,
        detail,
        retry_after_ms: Some(RETRY_AFTER_MS),
    };
    refuse(cx, request_id, refusal);
}

fn may_retry(slot: &OperationSlot, verdict: RunVerdict, code: RefusalCode) -> bool {
    if slot.attempt >= MAX_ATTEMPTS || slot.phase == OperationPhase::Cancelling {
        return false;
    }
    match code {
        RefusalCode::NotOwner | RefusalCode::WrongRole => true,
        // No other replica can take an operation with a key, so its owner's refusal is final.
        RefusalCode::Busy | RefusalCode::Draining | RefusalCode::UpstreamLost => {
            !is_keyed(slot) && (slot.work.idempotent || verdict == RunVerdict::NotRun)
        }
        _ => false,
    }
}

/// Whether only the owner of the idempotency key may run the operation.
fn is_keyed(slot: &OperationSlot) -> bool {
    !slot.work.idempotent && !slot.work.request.idempotency_key.is_empty()
}

fn refusal_detail(code: RefusalCode) -> &'static str {
    match code {
        RefusalCode::Busy => "every upstream of the service is full",
        RefusalCode::Draining => "the upstream is leaving",
        RefusalCode::NotOwner => "the owner of this key has changed and cannot be asked yet",
        RefusalCode::PlatformOutage => {
            "the platform's service does not answer, so that the call cannot be made safe"
        }
        RefusalCode::KeyReused => "this Idempotency-Key came before with a different request",
        RefusalCode::KeyRequired => "the profile asks for an Idempotency-Key on this path",
        RefusalCode::OutcomeUnknown => {
            "an earlier try with this key began and its outcome is not known"
        }
        RefusalCode::AnswerNotKept => "an earlier try with this key ran; its answer was not kept",
        RefusalCode::InProgress => "an earlier try with this key is still running",
        RefusalCode::Deadline => "the deadline passed",
        RefusalCode::Struck => "the call was struck out",
        RefusalCode::UpstreamLost
        | RefusalCode::UnknownRequest
        | RefusalCode::WrongRole
        | RefusalCode::Unspecified => "the upstream was lost",
    }
}

/// Returns the refusal for an operation that no replica can take. For an operation with a key, only
/// the owner of the key could tell whether an earlier attempt ran.
fn no_target_refusal(slot: &OperationSlot) -> RequestRefusal {
    let refusal = if is_keyed(slot) || slot.may_have_run {
        let detail = "this try was not sent; the owner of its key, which knows of earlier ones, cannot be asked";
        RequestRefusal::may_have_run(RefusalReason::NoUpstream, detail)
    } else {
        let detail = "no live upstream of the service has room";
        RequestRefusal::not_run(RefusalReason::NoUpstream, detail)
    };
    refusal.retry_after(RETRY_AFTER_MS)
}

fn choose_target(cx: &mut EntryContext, slot: &OperationSlot) -> Option<String> {
    let keyed = is_keyed(slot);
    let mut cheapest: Option<(f64, String)> = None;
    let now = cx.now;
    let candidates: Vec<&ReplicaRecord> = cx
        .members
        .replicas_of_service(now, &slot.work.service)
        .filter(|record| !slot.avoid.contains(&record.address))
        .filter(|record| !keyed || owns_key(record, &slot.work))
        .collect();
    for record in candidates {
        // A random spread of a few per cent keeps entries with the same view from all choosing the
        // same replica.
        let cost = record.load() + 0.05 * cx.rng.random::<f64>();
        if cheapest
            .as_ref()
            .is_none_or(|(lowest_cost, _)| cost < *lowest_cost)
        {
            cheapest = Some((cost, record.address.clone()));
        }
    }
    cheapest.map(|(_, address)| address)
}

fn owns_key(record: &ReplicaRecord, work: &OperationWork) -> bool {
    let Some(Role::Service(role)) = &record.heartbeat.role else {
        return false;
    };
    let partition = key_partition(
        &work.team,
        &work.request.idempotency_key,
        role.partition_count,
    );
    role.partitions.contains(&partition)
}

fn operation_call(now: ClockTime, request_id: RequestKey, slot: &OperationSlot) -> OperationCall {
    let request = &slot.work.request;
    OperationCall {
        request: Some(request_id.into()),
        attempt: slot.attempt,
        service: slot.work.service.clone(),
        team: slot.work.team.clone(),
        key: request.idempotency_key.clone(),
        idempotent: slot.work.idempotent,
        method: request.method.clone(),
        path: request.path.clone(),
        content_type: request.content_type.clone(),
        body: request.body.clone(),
        remaining_ms: slot.work.deadline.since(now),
        trace: slot.work.trace.clone(),
    }
}
