//! Calls of plain services: idempotent ones may be tried again elsewhere, the others go to the
//! owner of their key and are sent again only when it says that they did not run.

use std::collections::{BTreeMap, HashSet};

use rand::Rng;

use crate::clock::ClockTime;
use crate::entry::generate::refuse;
use crate::entry::{AnswerEvent, EntryContext, ServiceReply, ServiceRequest};
use crate::event::{EventKind, EventNote};
use crate::member::ReplicaRecord;
use crate::util::key_partition;
use crate::verdict::{RefusalReason, RequestRefusal, RunVerdict};
use crate::wire::gen::envelope::Body;
use crate::wire::gen::{
    heartbeat::Role, OperationCall, OperationReply, OperationStrike, OperationStruck, RefusalCode,
};
use crate::wire::RequestKey;

/// Time that an idempotent call waits for one replica, milliseconds.
const TRY_MS: u64 = 2_000;
/// Tries of one call.
const TRY_LIMIT: u32 = 3;
/// Time that an agent has to answer a strike, milliseconds.
const STRIKE_MS: u64 = 250;
/// When to come back after a refusal, milliseconds.
const RETRY_MS: u64 = 1_000;

/// A call of a plain service as the caller's profile defines it.
#[derive(Clone, Debug)]
pub struct CallWork {
    /// The team that asked.
    pub team: String,
    /// The service.
    pub service: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// What the caller sent.
    pub request: ServiceRequest,
    /// The caller's trace context; may be empty.
    pub trace: String,
    /// When the caller's time ends.
    pub deadline: ClockTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPhase {
    Sent,
    Striking,
}

#[derive(Debug)]
struct CallSlot {
    work: CallWork,
    attempt: u32,
    target: String,
    avoid: HashSet<String>,
    sent_at: ClockTime,
    phase: CallPhase,
    /// An earlier attempt may have run; later ones cannot make that untrue.
    unsure: bool,
}

impl CallSlot {
    fn wake(&self) -> ClockTime {
        match self.phase {
            CallPhase::Striking => self.sent_at + STRIKE_MS,
            CallPhase::Sent if self.work.idempotent => {
                self.work.deadline.min(self.sent_at + TRY_MS)
            }
            CallPhase::Sent => self.work.deadline,
        }
    }
}

/// The service calls in flight at one entry.
#[derive(Debug, Default)]
pub struct CallTable {
    slots: BTreeMap<RequestKey, CallSlot>,
}

impl CallTable {
    /// Calls in flight.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether none is in flight.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// When the next timer fires.
    pub fn wake(&self) -> ClockTime {
        let wakes = self.slots.values().map(CallSlot::wake);
        wakes.min().unwrap_or(ClockTime::NEVER)
    }

    /// Begins a call, or refuses it at once.
    pub fn start(&mut self, cx: &mut EntryContext, key: RequestKey, work: CallWork) {
        let slot = CallSlot {
            work,
            attempt: 0,
            target: String::new(),
            avoid: HashSet::new(),
            sent_at: cx.now,
            phase: CallPhase::Sent,
            unsure: false,
        };
        self.send(cx, key, slot);
    }

    /// An agent answered a call.
    pub fn reply(&mut self, cx: &mut EntryContext, from: &str, reply: OperationReply) {
        let key = RequestKey::from(reply.request.unwrap_or_default());
        let Some(mut slot) = self.take_current(key, from, reply.attempt) else {
            return;
        };
        cx.members.end(&slot.target);
        let verdict = RunVerdict::from(reply.verdict());
        // Zero is the code of an answer; a code stands for a refusal.
        if reply.code() == RefusalCode::Unspecified && verdict == RunVerdict::Ran {
            let facts = format!("status={} replayed={}", reply.status, reply.replayed);
            cx.note(EventNote::new(EventKind::RequestDone, from, facts).about(key));
            let answer = ServiceReply {
                status: u16::try_from(reply.status).unwrap_or(502),
                content_type: reply.content_type,
                body: reply.body,
                replayed: reply.replayed,
            };
            cx.answer(key, AnswerEvent::Reply(answer));
            return;
        }
        if may_try_again(&slot, verdict, reply.code()) {
            slot.unsure |= verdict != RunVerdict::NotRun;
            slot.avoid.insert(from.to_owned());
            self.send(cx, key, slot);
            return;
        }
        // An agent that does not own the key knows nothing of earlier tries.
        slot.unsure |= reply.code() == RefusalCode::NotOwner;
        let refusal = RequestRefusal {
            verdict: settle(&slot, verdict),
            reason: RefusalReason::from(reply.code()),
            detail: refusal_detail(reply.code()).to_owned(),
            retry_after_ms: (reply.retry_after_ms > 0).then_some(reply.retry_after_ms),
        };
        refuse(cx, key, refusal);
    }

    /// An agent answered a strike.
    pub fn struck(&mut self, cx: &mut EntryContext, from: &str, struck: &OperationStruck) {
        let key = RequestKey::from(struck.request.unwrap_or_default());
        let Some(slot) = self.take_current(key, from, struck.attempt) else {
            return;
        };
        if slot.phase != CallPhase::Striking {
            self.slots.insert(key, slot);
            return;
        }
        let verdict = settle(&slot, RunVerdict::from(struck.verdict()));
        end_at_deadline(cx, key, &slot, verdict);
    }

    /// The agent at an address is gone.
    pub fn peer_lost(&mut self, cx: &mut EntryContext, address: &str) {
        let keys: Vec<RequestKey> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.target == address)
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            let Some(slot) = self.slots.remove(&key) else {
                continue;
            };
            self.lost(cx, key, slot);
        }
    }

    /// The caller went away. The call itself goes on: it may be one that must not be lost.
    pub fn cancel(&mut self, cx: &mut EntryContext, key: RequestKey) -> bool {
        match self.slots.remove(&key) {
            Some(slot) => {
                cx.members.end(&slot.target);
                true
            }
            None => false,
        }
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

    fn fire(&mut self, cx: &mut EntryContext, key: RequestKey, mut slot: CallSlot) {
        if slot.phase == CallPhase::Striking {
            cx.members.end(&slot.target);
            end_at_deadline(cx, key, &slot, RunVerdict::MayHaveRun);
            return;
        }
        if cx.now >= slot.work.deadline {
            let strike = OperationStrike {
                request: Some(key.into()),
                attempt: slot.attempt,
                team: slot.work.team.clone(),
                key: slot.work.request.idempotency_key.clone(),
            };
            cx.mail(&slot.target, Body::OperationStrike(strike));
            slot.phase = CallPhase::Striking;
            slot.sent_at = cx.now;
            self.slots.insert(key, slot);
            return;
        }
        cx.members.suspect(&slot.target);
        self.lost(cx, key, slot);
    }

    fn lost(&mut self, cx: &mut EntryContext, key: RequestKey, mut slot: CallSlot) {
        cx.members.end(&slot.target);
        slot.unsure = true;
        if slot.work.idempotent && slot.attempt < TRY_LIMIT && slot.phase == CallPhase::Sent {
            let target = slot.target.clone();
            slot.avoid.insert(target);
            self.send(cx, key, slot);
            return;
        }
        let detail = "the upstream was lost after it was given the call";
        let refusal = RequestRefusal::may_have_run(RefusalReason::UpstreamLost, detail);
        refuse(cx, key, refusal.retry_after(RETRY_MS));
    }

    fn take_current(&mut self, key: RequestKey, from: &str, attempt: u32) -> Option<CallSlot> {
        let slot = self.slots.get(&key)?;
        if slot.target != from || slot.attempt != attempt {
            return None;
        }
        self.slots.remove(&key)
    }

    fn send(&mut self, cx: &mut EntryContext, key: RequestKey, mut slot: CallSlot) {
        let Some(target) = choose_target(cx, &slot) else {
            refuse(cx, key, no_target(&slot));
            return;
        };
        slot.attempt += 1;
        slot.sent_at = cx.now;
        slot.target = target;
        cx.members.begin(&slot.target);
        let facts = format!("attempt={} chain={}", slot.attempt, slot.target);
        cx.note(
            EventNote::new(EventKind::ChainChosen, slot.work.service.clone(), facts).about(key),
        );
        let call = operation_call(cx.now, key, &slot);
        cx.mail(&slot.target, Body::OperationCall(call));
        self.slots.insert(key, slot);
    }
}

/// The verdict over all attempts: one that may have run is not undone by one that did not.
fn settle(slot: &CallSlot, verdict: RunVerdict) -> RunVerdict {
    match verdict {
        RunVerdict::NotRun if slot.unsure => RunVerdict::MayHaveRun,
        other => other,
    }
}

fn end_at_deadline(cx: &mut EntryContext, key: RequestKey, slot: &CallSlot, verdict: RunVerdict) {
    let refusal = RequestRefusal {
        verdict,
        reason: RefusalReason::Deadline,
        detail: format!("the deadline passed while {} had the call", slot.target),
        retry_after_ms: Some(RETRY_MS),
    };
    refuse(cx, key, refusal);
}

fn may_try_again(slot: &CallSlot, verdict: RunVerdict, code: RefusalCode) -> bool {
    if slot.attempt >= TRY_LIMIT {
        return false;
    }
    match code {
        RefusalCode::NotOwner | RefusalCode::WrongRole => true,
        // The owner of a key has no stand-in, so that its word is the last.
        RefusalCode::Busy | RefusalCode::Draining | RefusalCode::UpstreamLost => {
            !is_keyed(slot) && (slot.work.idempotent || verdict == RunVerdict::NotRun)
        }
        _ => false,
    }
}

/// Whether the call belongs to the owner of its idempotency key.
fn is_keyed(slot: &CallSlot) -> bool {
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

/// Nobody to ask. Without the owner of its key, nobody can vouch for a key.
fn no_target(slot: &CallSlot) -> RequestRefusal {
    let refusal = if is_keyed(slot) || slot.unsure {
        let detail = "this try was not sent; the owner of its key, which knows of earlier ones, cannot be asked";
        RequestRefusal::may_have_run(RefusalReason::NoUpstream, detail)
    } else {
        let detail = "no live upstream of the service has room";
        RequestRefusal::not_run(RefusalReason::NoUpstream, detail)
    };
    refusal.retry_after(RETRY_MS)
}

fn choose_target(cx: &mut EntryContext, slot: &CallSlot) -> Option<String> {
    let keyed = is_keyed(slot);
    let mut best: Option<(f64, String)> = None;
    let now = cx.now;
    let candidates: Vec<&ReplicaRecord> = cx
        .members
        .of_service(now, &slot.work.service)
        .filter(|record| !slot.avoid.contains(&record.address))
        .filter(|record| !keyed || owns_key(record, &slot.work))
        .collect();
    for record in candidates {
        // A spread of a few per cent breaks ties between entries with the same view.
        let cost = record.load() + 0.05 * cx.rng.random::<f64>();
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, record.address.clone()));
        }
    }
    best.map(|(_, address)| address)
}

fn owns_key(record: &ReplicaRecord, work: &CallWork) -> bool {
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

fn operation_call(now: ClockTime, key: RequestKey, slot: &CallSlot) -> OperationCall {
    let request = &slot.work.request;
    OperationCall {
        request: Some(key.into()),
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
