//! Requests to models: each runs on a chain of stages, in which lost stages are replaced while the
//! request goes on.
//!
//! Every change of a chain starts a new attempt. A stage acknowledges `StageOpen` with
//! `StageOpened`; one that does not is replaced, and the stage before it sends its recorded outputs
//! to the replacement. Tokens are deduplicated by position.

use std::collections::{BTreeMap, HashSet};

use crate::clock::ClockTime;
use crate::entry::crash::{MAX_CRASHES, QUARANTINE_MS};
use crate::entry::{AnswerEvent, EntryContext};
use crate::event::{EventKind, PendingEvent};
use crate::fingerprint::RequestFingerprint;
use crate::route::{choose_chain, covers_layers, ChainQuery};
use crate::verdict::{RefusalReason, RequestRefusal};
use crate::wire::gen::envelope::Body;
use crate::wire::gen::{
    RefusalCode, StageClose, StageHop, StageOpen, StageOpened, StageRefused, TokenReady,
};
use crate::wire::RequestKey;

/// Time within which a stage must acknowledge `StageOpen`, in milliseconds.
const OPEN_TIMEOUT_MS: u64 = 250;
/// Time without a token after which the chain is opened again, in milliseconds.
const STALL_TIMEOUT_MS: u64 = 1_000;
/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 60;
/// Time that a request which a stage has accepted waits for a replica when its chain cannot be
/// completed, in milliseconds.
const REPLICA_WAIT_MS: u64 = 2_000;
/// Time that a suspect request waits for a replica, in milliseconds. It is longer because an agent
/// runs one suspect request at a time.
const SUSPECT_WAIT_MS: u64 = 10_000;
/// Number of agents lost while they ran a request at or above which a loss is counted as a crash
/// against the request.
const BLAME_AFTER_LOST_AGENTS: u32 = 3;
/// Number of tokens received since a request became suspect at which it is no longer suspect.
const PROBATION_TOKENS: usize = 3;
/// Interval between attempts to complete a chain while waiting for a replica, in milliseconds.
const REPLICA_RETRY_MS: u64 = 100;
/// `Retry-After` of refusals, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// An admitted request to a model, resolved by its profile.
#[derive(Clone, Debug)]
pub struct GenerationWork {
    /// Name of the team that sent the request.
    pub team: String,
    /// Name of the model, as engines report it.
    pub model: String,
    /// Number of layers that the chain must cover.
    pub layers: u32,
    /// The whole prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Time at which the request fails if it is not complete.
    pub deadline: ClockTime,
}

/// State of a request in flight: its chain, and the tokens received so far.
#[derive(Debug)]
struct GenerationSlot {
    work: GenerationWork,
    /// Number of the current attempt, starting at 1.
    attempt: u32,
    chain: Vec<StageHop>,
    /// By stage: whether it has acknowledged the current attempt.
    acked: Vec<bool>,
    /// By stage: whether it must be sent the request from position 0, because it holds too little
    /// state or none.
    fresh: Vec<bool>,
    /// By stage: whether it must be replaced before the next attempt.
    lost: Vec<bool>,
    /// Whether a stage has accepted an attempt, so that the request may have run.
    accepted: bool,
    /// Message addresses that were sent `StageOpen` and may have run the request.
    opened_addresses: HashSet<String>,
    /// Tokens received so far, by position.
    tokens: Vec<u32>,
    /// Message addresses of replicas that are not chosen for this request.
    avoid: HashSet<String>,
    /// Time at which the chain was last opened, or at which completing it was last attempted.
    opened_at: ClockTime,
    /// Latest time at which a token or an acknowledgement was received or the chain was opened.
    progress_at: ClockTime,
    /// Current stall timeout; doubles with each stall until a token is received.
    stall_timeout_ms: u64,
    /// Time since which the chain has been incomplete; `None` while it is complete.
    waiting_since: Option<ClockTime>,
    /// Identifies the request in the [`CrashTable`](crate::entry::crash::CrashTable).
    fingerprint: RequestFingerprint,
    /// Number of times that an agent was lost or restarted while it ran this request.
    lost_agents: u32,
    /// Number of received tokens below which the request is suspected of having crashed an
    /// upstream; `None` when it has not been suspected.
    suspect_until_tokens: Option<usize>,
}

impl GenerationSlot {
    fn suspect(&self) -> bool {
        self.suspect_until_tokens
            .is_some_and(|tokens| self.tokens.len() < tokens)
    }

    fn uses(&self, address: &str) -> bool {
        self.chain.iter().any(|hop| hop.address == address)
    }

    fn all_acked(&self) -> bool {
        self.acked.iter().all(|acked| *acked)
    }

    fn next_wake(&self) -> ClockTime {
        let next = match self.waiting_since {
            Some(_) => self.opened_at + REPLICA_RETRY_MS,
            None if self.all_acked() => self.progress_at + self.stall_timeout_ms,
            None => self.opened_at + OPEN_TIMEOUT_MS,
        };
        next.min(self.work.deadline)
    }
}

/// Requests to models in flight at one entry.
#[derive(Debug, Default)]
pub struct GenerationTable {
    slots: BTreeMap<RequestKey, GenerationSlot>,
}

impl GenerationTable {
    /// Number of requests in flight.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Time at which the next timer is due.
    pub fn next_wake(&self) -> ClockTime {
        let next_wakes = self.slots.values().map(GenerationSlot::next_wake);
        next_wakes.min().unwrap_or(ClockTime::NEVER)
    }

    /// Starts a request, or refuses it if it is quarantined or held back or no chain is available.
    pub fn start(&mut self, cx: &mut EntryContext, request_id: RequestKey, work: GenerationWork) {
        let fingerprint = RequestFingerprint::of(&[
            work.team.as_bytes(),
            work.model.as_bytes(),
            work.prompt.as_bytes(),
        ]);
        let quarantine_ms = cx.crash_table.quarantine_ms(cx.now, fingerprint);
        if let Some(remaining_ms) = quarantine_ms.or(cx.crash_table.hold_ms(cx.now, fingerprint)) {
            let detail = "upstreams died while they ran this request";
            let refusal = RequestRefusal::not_run(RefusalReason::Quarantined, detail);
            refuse(cx, request_id, refusal.retry_after(remaining_ms));
            return;
        }
        let suspect = cx.crash_table.crash_count(cx.now, fingerprint) > 0;
        let mut slot = GenerationSlot {
            fingerprint,
            lost_agents: 0,
            suspect_until_tokens: suspect.then_some(PROBATION_TOKENS),
            work,
            attempt: 0,
            chain: Vec::new(),
            acked: Vec::new(),
            fresh: Vec::new(),
            lost: Vec::new(),
            accepted: false,
            opened_addresses: HashSet::new(),
            tokens: Vec::new(),
            avoid: HashSet::new(),
            opened_at: cx.now,
            progress_at: cx.now,
            stall_timeout_ms: STALL_TIMEOUT_MS,
            waiting_since: None,
        };
        let Some(chain) = choose_subchain(cx, &slot, 0, slot.work.layers, None) else {
            let refusal = RequestRefusal::not_run(
                RefusalReason::NoUpstream,
                "no set of live upstreams with room covers the model",
            );
            refuse(cx, request_id, refusal.retry_after(RETRY_AFTER_MS));
            return;
        };
        slot.fresh = vec![true; chain.len()];
        slot.lost = vec![false; chain.len()];
        slot.chain = chain;
        for hop in &slot.chain {
            cx.members.request_started(&hop.address);
        }
        open_chain(cx, request_id, &mut slot);
        self.slots.insert(request_id, slot);
    }

    /// Handles the acknowledgement of an attempt by a stage.
    pub fn stage_opened(&mut self, cx: &mut EntryContext, from: &str, message: &StageOpened) {
        let request_id = RequestKey::from(message.request.unwrap_or_default());
        cx.members.apply_load_report(from, message.in_flight);
        let Some(slot) = self.slots.get_mut(&request_id) else {
            close_stage(cx, from, request_id, u32::MAX);
            return;
        };
        slot.accepted = true;
        let stage = message.stage as usize;
        let current = message.attempt == slot.attempt
            && slot.chain.get(stage).is_some_and(|hop| hop.address == from);
        if current {
            let received = u32::try_from(slot.tokens.len()).unwrap_or(u32::MAX);
            slot.acked[stage] = true;
            slot.fresh[stage] = message.next_position == 0 || message.next_position < received;
            slot.progress_at = cx.now;
        }
    }

    /// Handles the refusal of an attempt by a stage. After `UpstreamLost` the stage may have run
    /// the request; after any other refusal it has not run this attempt.
    pub fn stage_refused(&mut self, cx: &mut EntryContext, from: &str, message: &StageRefused) {
        let request_id = RequestKey::from(message.request.unwrap_or_default());
        let Some(mut slot) = self.slots.remove(&request_id) else {
            return;
        };
        let stage = message.stage as usize;
        let current = message.attempt == slot.attempt
            && slot.chain.get(stage).is_some_and(|hop| hop.address == from);
        if !current {
            self.slots.insert(request_id, slot);
            return;
        }
        let event = PendingEvent::new(
            EventKind::StageRefused,
            from,
            format!("stage={stage} code={}", message.code().as_str_name()),
        );
        cx.record(event.with_request(request_id));
        if message.code() != RefusalCode::UpstreamLost {
            slot.opened_addresses.remove(from);
        }
        if message.blamed && !count_crash(cx, request_id, &mut slot) {
            self.refuse_quarantined(cx, request_id, &slot);
            return;
        }
        if message.code() == RefusalCode::UnknownRequest {
            // The agent no longer has the state, for example after a restart; the replica is
            // usable.
            slot.fresh[stage] = true;
            self.start_attempt(cx, request_id, slot);
            return;
        }
        self.replace_stages(cx, request_id, slot, &[stage]);
    }

    /// Handles a token from the last stage.
    pub fn token_ready(&mut self, cx: &mut EntryContext, from: &str, message: TokenReady) {
        let request_id = RequestKey::from(message.request.unwrap_or_default());
        let Some(slot) = self.slots.get_mut(&request_id) else {
            close_stage(cx, from, request_id, u32::MAX);
            return;
        };
        let last = slot.chain.last().map(|hop| hop.address.as_str());
        let expected = u32::try_from(slot.tokens.len()).unwrap_or(u32::MAX);
        // Drops tokens of a replaced last stage, duplicates, and tokens after a gap.
        if message.attempt > slot.attempt || last != Some(from) || message.position != expected {
            return;
        }
        if slot.tokens.is_empty() {
            cx.record(PendingEvent::new(EventKind::FirstToken, from, "").with_request(request_id));
        }
        slot.accepted = true;
        slot.tokens.push(message.token);
        slot.progress_at = cx.now;
        slot.stall_timeout_ms = STALL_TIMEOUT_MS;
        let count = u32::try_from(slot.tokens.len()).unwrap_or(u32::MAX);
        assert!(
            count <= slot.work.max_tokens,
            "token beyond the token limit"
        );
        cx.answer(request_id, AnswerEvent::Token { text: message.text });
        if message.r#final {
            let limited = count == slot.work.max_tokens;
            let facts = format!("tokens={count} attempts={}", slot.attempt);
            cx.record(
                PendingEvent::new(EventKind::RequestDone, "", facts).with_request(request_id),
            );
            cx.crash_table.record_completion(cx.now, slot.fingerprint);
            cx.answer(
                request_id,
                AnswerEvent::Done {
                    token_count: count,
                    limited,
                },
            );
            self.remove(cx, request_id);
        }
    }

    /// Handles the loss or restart of an agent: replaces its stages in every chain, but refuses a
    /// request that the loss brings into quarantine.
    pub fn peer_lost(&mut self, cx: &mut EntryContext, address: &str) {
        let request_ids: Vec<RequestKey> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.uses(address))
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in request_ids {
            let Some(mut slot) = self.slots.remove(&request_id) else {
                continue;
            };
            // VMs are lost every day for unrelated reasons, several at once, so the loss is counted
            // only against a request that is suspect or during which many agents were lost. The
            // crash of an engine is reported by its agent instead.
            slot.lost_agents += 1;
            let counted = slot.suspect() || slot.lost_agents >= BLAME_AFTER_LOST_AGENTS;
            if counted && !count_crash(cx, request_id, &mut slot) {
                self.refuse_quarantined(cx, request_id, &slot);
                continue;
            }
            let stages = stages_at(&slot, address);
            self.replace_stages(cx, request_id, slot, &stages);
        }
    }

    /// Cancels a request whose caller has disconnected, and closes its stages.
    ///
    /// Returns whether the request was in flight.
    pub fn cancel(&mut self, cx: &mut EntryContext, request_id: RequestKey) -> bool {
        self.remove(cx, request_id)
    }

    /// Refuses all requests, since the entry stops.
    pub fn end_all(&mut self, cx: &mut EntryContext) {
        let detail = "this entry stops before the answer is complete";
        for (request_id, slot) in std::mem::take(&mut self.slots) {
            self.give_up(cx, request_id, &slot, RefusalReason::Deadline, detail);
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

    fn handle_timeout(
        &mut self,
        cx: &mut EntryContext,
        request_id: RequestKey,
        mut slot: GenerationSlot,
    ) {
        if cx.now >= slot.work.deadline {
            self.give_up(
                cx,
                request_id,
                &slot,
                RefusalReason::Deadline,
                "the deadline passed",
            );
            return;
        }
        if slot.waiting_since.is_some() {
            // A replica that was full or lost may be usable again.
            slot.avoid.clear();
            self.replace_stages(cx, request_id, slot, &[]);
            return;
        }
        if slot.all_acked() {
            // Every stage is alive but no token arrives: a message was lost or a stage is slow.
            slot.stall_timeout_ms = slot.stall_timeout_ms.saturating_mul(2);
            slot.progress_at = cx.now;
            self.start_attempt(cx, request_id, slot);
            return;
        }
        let unresponsive: Vec<usize> = (0..slot.chain.len()).filter(|i| !slot.acked[*i]).collect();
        for stage in &unresponsive {
            cx.members.mark_suspect(&slot.chain[*stage].address);
        }
        self.replace_stages(cx, request_id, slot, &unresponsive);
    }

    /// Replaces the given stages and those lost before by other replicas; the remaining stages keep
    /// their state.
    fn replace_stages(
        &mut self,
        cx: &mut EntryContext,
        request_id: RequestKey,
        mut slot: GenerationSlot,
        stages: &[usize],
    ) {
        for stage in stages {
            let address = slot.chain[*stage].address.clone();
            close_stage(cx, &address, request_id, slot.attempt);
            slot.avoid.insert(address);
            slot.lost[*stage] = true;
        }
        let Some((chain, fresh)) = rebuild_chain(cx, &slot) else {
            self.wait_for_replica(cx, request_id, slot);
            return;
        };
        for hop in &slot.chain {
            cx.members.request_ended(&hop.address);
        }
        for hop in &chain {
            cx.members.request_started(&hop.address);
        }
        for (stage, hop) in slot.chain.iter().enumerate().filter(|(i, _)| slot.lost[*i]) {
            let facts = format!("stage={stage} position={}", slot.tokens.len());
            let event = PendingEvent::new(EventKind::StageReplaced, hop.address.clone(), facts);
            cx.record(event.with_request(request_id));
        }
        slot.lost = vec![false; chain.len()];
        slot.chain = chain;
        slot.fresh = fresh;
        slot.waiting_since = None;
        self.start_attempt(cx, request_id, slot);
    }

    /// Keeps a request until a replica is available, or fails the request if it has waited too
    /// long.
    fn wait_for_replica(
        &mut self,
        cx: &mut EntryContext,
        request_id: RequestKey,
        mut slot: GenerationSlot,
    ) {
        let since = *slot.waiting_since.get_or_insert(cx.now);
        let wait_limit_ms = match (slot.suspect(), slot.accepted) {
            (true, _) => SUSPECT_WAIT_MS,
            (false, true) => REPLICA_WAIT_MS,
            (false, false) => 0,
        };
        if cx.now.since(since) >= wait_limit_ms {
            let detail = "no live upstream can take the place of a lost one";
            self.give_up(cx, request_id, &slot, RefusalReason::UpstreamLost, detail);
            return;
        }
        slot.opened_at = cx.now;
        self.slots.insert(request_id, slot);
    }

    /// Opens the chain for another attempt, or fails the request after [`MAX_ATTEMPTS`].
    fn start_attempt(
        &mut self,
        cx: &mut EntryContext,
        request_id: RequestKey,
        mut slot: GenerationSlot,
    ) {
        if slot.attempt >= MAX_ATTEMPTS {
            let detail = "too many attempts failed";
            self.give_up(cx, request_id, &slot, RefusalReason::UpstreamLost, detail);
            return;
        }
        open_chain(cx, request_id, &mut slot);
        self.slots.insert(request_id, slot);
    }

    fn give_up(
        &mut self,
        cx: &mut EntryContext,
        request_id: RequestKey,
        slot: &GenerationSlot,
        reason: RefusalReason,
        detail: &str,
    ) {
        release_chain(cx, request_id, slot);
        // A stage that never answered `StageOpen` may still have run the request.
        let refusal = if slot.accepted || !slot.opened_addresses.is_empty() {
            RequestRefusal::may_have_run(reason, detail)
        } else {
            RequestRefusal::not_run(reason, detail)
        };
        refuse(cx, request_id, refusal.retry_after(RETRY_AFTER_MS));
    }

    /// Refuses a request that has reached [`MAX_CRASHES`].
    fn refuse_quarantined(
        &mut self,
        cx: &mut EntryContext,
        request_id: RequestKey,
        slot: &GenerationSlot,
    ) {
        release_chain(cx, request_id, slot);
        let detail = format!("{MAX_CRASHES} upstreams died while they ran this request");
        let refusal = RequestRefusal::may_have_run(RefusalReason::Quarantined, detail);
        refuse(cx, request_id, refusal.retry_after(QUARANTINE_MS));
    }

    fn remove(&mut self, cx: &mut EntryContext, request_id: RequestKey) -> bool {
        match self.slots.remove(&request_id) {
            Some(slot) => {
                release_chain(cx, request_id, &slot);
                true
            }
            None => false,
        }
    }
}

/// Counts the crash of an upstream against a request. Returns whether the request may go on, which
/// is so below [`MAX_CRASHES`].
fn count_crash(cx: &mut EntryContext, request_id: RequestKey, slot: &mut GenerationSlot) -> bool {
    slot.suspect_until_tokens = Some(slot.tokens.len() + PROBATION_TOKENS);
    let crashes = cx.crash_table.add_crash(cx.now, slot.fingerprint);
    let facts = format!("crashes={crashes}");
    cx.record(PendingEvent::new(EventKind::RequestBlamed, "", facts).with_request(request_id));
    crashes < MAX_CRASHES
}

/// Sends a refusal to the caller and records it in the timeline.
pub(super) fn refuse(cx: &mut EntryContext, request_id: RequestKey, refusal: RequestRefusal) {
    let facts = format!("verdict={} reason={}", refusal.verdict, refusal.reason);
    cx.record(PendingEvent::new(EventKind::RequestRefused, "", facts).with_request(request_id));
    cx.answer(request_id, AnswerEvent::Refused(refusal));
}

fn stages_at(slot: &GenerationSlot, address: &str) -> Vec<usize> {
    (0..slot.chain.len())
        .filter(|stage| slot.chain[*stage].address == address)
        .collect()
}

/// Closes every stage of a chain and subtracts the request from the load of each replica.
fn release_chain(cx: &mut EntryContext, request_id: RequestKey, slot: &GenerationSlot) {
    for hop in &slot.chain {
        cx.members.request_ended(&hop.address);
        close_stage(cx, &hop.address, request_id, slot.attempt);
    }
}

fn close_stage(cx: &mut EntryContext, address: &str, request_id: RequestKey, attempt: u32) {
    let close = StageClose {
        request: Some(request_id.into()),
        attempt,
    };
    cx.send_message(address, Body::StageClose(close));
}

/// Chooses replicas for the layers from `first_layer` up to but excluding `end_layer`, with
/// `previous` as the hop before them; `None` when no usable replicas cover them.
fn choose_subchain(
    cx: &mut EntryContext,
    slot: &GenerationSlot,
    first_layer: u32,
    end_layer: u32,
    previous: Option<&StageHop>,
) -> Option<Vec<StageHop>> {
    let previous_location = previous
        .and_then(|hop| cx.members.by_address(&hop.address))
        .map(|record| {
            let heartbeat = &record.heartbeat;
            (heartbeat.failure_domain.clone(), heartbeat.region.clone())
        });
    let query = ChainQuery {
        model: &slot.work.model,
        first_layer,
        end_layer,
        avoid: &slot.avoid,
        previous_location: previous_location
            .as_ref()
            .map(|(domain, region)| (domain.as_str(), region.as_str())),
    };
    choose_chain(&cx.members, cx.now, query, &mut cx.rng)
}

/// Builds the chain with its lost stages replaced. Returns it and, by stage, whether the stage must
/// be sent the request from position 0; `None` when a lost stage cannot be replaced.
fn rebuild_chain(
    cx: &mut EntryContext,
    slot: &GenerationSlot,
) -> Option<(Vec<StageHop>, Vec<bool>)> {
    let mut chain: Vec<StageHop> = Vec::new();
    let mut fresh = Vec::new();
    for (stage, hop) in slot.chain.iter().enumerate() {
        if !slot.lost[stage] {
            chain.push(hop.clone());
            fresh.push(slot.fresh[stage]);
            continue;
        }
        let subchain = choose_subchain(cx, slot, hop.first_layer, hop.end_layer, chain.last())?;
        fresh.extend(std::iter::repeat_n(true, subchain.len()));
        chain.extend(subchain);
    }
    assert!(
        covers_layers(&chain, 0, slot.work.layers),
        "chain with uncovered layers"
    );
    Some((chain, fresh))
}

/// Starts the next attempt by sending `StageOpen` to every stage.
fn open_chain(cx: &mut EntryContext, request_id: RequestKey, slot: &mut GenerationSlot) {
    slot.attempt += 1;
    slot.acked = vec![false; slot.chain.len()];
    slot.opened_at = cx.now;
    slot.progress_at = cx.now;
    let addresses: Vec<&str> = slot.chain.iter().map(|hop| hop.address.as_str()).collect();
    let facts = format!("attempt={} chain={}", slot.attempt, addresses.join(","));
    cx.record(
        PendingEvent::new(EventKind::ChainChosen, slot.work.model.clone(), facts)
            .with_request(request_id),
    );
    for stage in 0..slot.chain.len() {
        let open = stage_open(cx.now, request_id, slot, stage);
        let address = slot.chain[stage].address.clone();
        cx.send_message(&address, Body::StageOpen(open));
        slot.opened_addresses.insert(address);
    }
}

fn stage_open(
    now: ClockTime,
    request_id: RequestKey,
    slot: &GenerationSlot,
    stage: usize,
) -> StageOpen {
    let needs_prompt = stage == 0 && slot.fresh[0];
    StageOpen {
        request: Some(request_id.into()),
        attempt: slot.attempt,
        stage: u32::try_from(stage).unwrap_or(u32::MAX),
        chain: slot.chain.clone(),
        model: slot.work.model.clone(),
        team: slot.work.team.clone(),
        max_tokens: slot.work.max_tokens,
        remaining_ms: slot.work.deadline.since(now),
        prompt: if needs_prompt {
            slot.work.prompt.clone()
        } else {
            String::new()
        },
        tokens: if needs_prompt {
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
