//! What this gateway learns of replicas while it serves requests. Peers are told, and what no
//! process may forget is kept in the store, from which gateways that start read it.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::ClockTime;
use crate::fingerprint::RequestFingerprint;
use crate::gateway::crash_ledger::{MAX_CRASHES, QUARANTINE_MS};
use crate::gateway::forward::RequestContext;
use crate::gateway::part_ledger::{PartCertainty, PartRuling, PromptPart, ReplicaEnd};
use crate::gateway::permit_table::LimitChange;
use crate::gateway::rate_limit::LimitStatement;
use crate::gateway::run::Gateway;
use crate::gateway::silence_check::note_end;
use crate::gateway::state::GatewayState;
use crate::gateway::sync::{StoreStatus, IDLE_WATCH_MS};
use crate::gateway::upstream::{UpstreamEntry, UpstreamKey};
use crate::platform::kv::{KvStore, StoreChange, WatchOutcome};
use crate::platform::notice::{decode_notice, encode_notice};
use crate::platform::NOTICE_PREFIX;
use crate::store::position::StorePosition;
use crate::store::{prefix_end, PlatformItem, PlatformRequest, PlatformResponse, PlatformWrite};

/// Time to live of the lease under which notices are written, seconds. It is not renewed, so that
/// the store drops notices by itself.
const NOTICE_LEASE_S: i64 = 600;
/// Upper bound of the notices in one write.
const MAX_NOTICES_PER_WRITE: usize = 32;
/// Shortest interval of the checks whether the store has all notices that this gateway knows,
/// milliseconds. It is drawn at random, so that one of several gateways writes what is missing.
const MIN_CHECK_MS: u64 = 4_000;
/// Upper bound of the notices that wait for the store; later ones are told to the peers only.
const MAX_UNWRITTEN: usize = 1_024;

/// A notice that is kept in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeptNotice {
    /// An incarnation of an upstream is leaving and must get no new requests.
    Leaving {
        /// Id of the upstream.
        id: String,
        /// Start of its incarnation, Unix milliseconds.
        born: u64,
    },
    /// Replicas crashed under a request, and it is refused.
    Quarantine(RequestFingerprint),
    /// A request that was quarantined is not to blame.
    Released(RequestFingerprint),
    /// Replicas crashed under requests with a part of a prompt, and these are refused.
    PromptPart {
        /// The part.
        part: PromptPart,
        /// How sure it is that it is to blame. `None` if it was released since.
        certainty: Option<PartCertainty>,
    },
}

impl KeptNotice {
    /// Whether a notice takes the place of another in the store.
    fn replaces(&self, other: &KeptNotice) -> bool {
        use KeptNotice::{PromptPart, Quarantine, Released};
        match (self, other) {
            (PromptPart { part, .. }, PromptPart { part: known, .. }) => part == known,
            (Quarantine(request), Released(known)) | (Released(request), Quarantine(known)) => {
                request == known
            }
            _ => self == other,
        }
    }
}

/// Notices that are not in the store yet, and those that are.
#[derive(Clone, Debug, Default)]
pub struct NoticeQueue {
    unwritten: Vec<KeptNotice>,
    stored: HashSet<KeptNotice>,
}

impl NoticeQueue {
    /// Adds a notice, unless it is in the store, waits already, or the queue is full. It takes the
    /// place of one that it replaces.
    pub fn add(&mut self, notice: KeptNotice) {
        if self.unwritten.contains(&notice) {
            return;
        }
        self.unwritten.retain(|waiting| !notice.replaces(waiting));
        if self.stored.contains(&notice) {
            return;
        }
        match self.unwritten.len() < MAX_UNWRITTEN {
            true => self.unwritten.push(notice),
            false => spdlog::warn!("event=notice_not_kept notice={notice:?} reason=full"),
        }
    }

    /// The notices of the next write, oldest first.
    pub fn next_write(&self) -> &[KeptNotice] {
        &self.unwritten[..self.unwritten.len().min(MAX_NOTICES_PER_WRITE)]
    }

    /// Records that a notice is in the store.
    pub fn record_stored(&mut self, notice: KeptNotice) {
        self.unwritten.retain(|unwritten| *unwritten != notice);
        self.stored.retain(|stored| !notice.replaces(stored));
        self.stored.insert(notice);
    }

    /// Forgets which notices are in the store, before all of them are read.
    pub fn forget_stored(&mut self) {
        self.stored.clear();
    }
}

/// Records that a replica says that it is leaving: it gets no new requests from this gateway, and
/// the peers are told.
pub fn note_leaving(gateway: &Gateway, key: UpstreamKey) {
    let mut state = gateway.state();
    if state.upstreams.mark_leaving(key) {
        let entry = &state.upstreams.get(key).entry;
        let (id, born, notice) = (entry.id.clone(), entry.born, leaving_notice(entry));
        notice
            .into_iter()
            .for_each(|notice| state.notices.add(notice));
        drop(state);
        gateway.peer_update.notify_one();
        gateway.notice_update.notify_one();
        spdlog::info!("event=upstream_leaving id={id} born={born}");
    }
}

/// Records what an answer says of the limit of its upstream: this gateway keeps to it from now on, and
/// the peers are told of a change. `asked_at` is when the request was sent that it answers.
pub(super) fn note_limit(
    gateway: &Gateway,
    key: UpstreamKey,
    statement: LimitStatement,
    asked_at: ClockTime,
) {
    let mut state = gateway.state();
    if statement == LimitStatement::Garbled {
        let id = &state.upstreams.get(key).entry.id;
        spdlog::warn!("event=upstream_limit_ignored id={id} expected=\"requests a second\"");
        return;
    }
    let change = state.apply_limit(gateway.clock.now(), key, statement, asked_at);
    if let Some(change) = change {
        log_limit_change(&state, key, change, "");
        drop(state);
        gateway.peer_update.notify_one();
    }
}

/// Logs a change of the limit of an upstream. `peer` names the peer that told it, if any.
pub(super) fn log_limit_change(
    state: &GatewayState,
    key: UpstreamKey,
    change: LimitChange,
    peer: &str,
) {
    let text = |limit: Option<f64>| limit.map_or_else(|| "none".to_owned(), |it| it.to_string());
    spdlog::info!(
        "event=upstream_limit_changed id={} limit={} previous={} share={:.3} {peer}",
        state.upstreams.get(key).entry.id,
        text(change.current),
        text(change.previous),
        state.permits.share_per_s(key).unwrap_or(0.0)
    );
}

/// Records that a replica crashed, or was cut off, while it ran a request. `may_be_cause` tells
/// whether the parts of the prompt may be to blame: the answer had not gone on for long.
pub(super) fn note_crash(
    gateway: &Gateway,
    context: &RequestContext,
    key: UpstreamKey,
    may_be_cause: bool,
) {
    gateway.metrics.crashes_under_requests.inc();
    let now = gateway.clock.now();
    let mut state = gateway.state();
    let entry = &state.upstreams.get(key).entry;
    let (id, replica) = (entry.id.clone(), entry.address);
    let added = state.crashes.record_crash(
        now,
        context.fingerprint,
        &mut context.crash_series(),
        replica,
        rand::random(),
    );
    let is_new = may_be_cause && state.parts.record_crash(now, replica, &context.suspect);
    if state.blame_abandoned(ReplicaEnd { replica, at: now }) || is_new {
        gateway.peer_update.notify_one();
    }
    drop(state);
    note_end(gateway, key, now);
    let crashes = added.map_or_else(|| "uncounted".to_owned(), |crashes| crashes.to_string());
    spdlog::info!(
        "event=crash_under_request request={} fingerprint={} upstream={id} crashes={crashes} may_be_cause={may_be_cause} parts={}",
        context.meta.id,
        context.fingerprint,
        part_ids(&context.meta.shared_parts),
    );
    if added.is_some_and(|crashes| crashes >= MAX_CRASHES) {
        spdlog::warn!(
            "event=request_quarantined request={} fingerprint={}",
            context.meta.id,
            context.fingerprint
        );
        gateway.peer_update.notify_one();
        keep_quarantine(gateway, context.fingerprint);
    }
}

/// Judges the crashes under parts of prompts, and has the store keep which parts are refused.
pub(super) fn judge_parts(gateway: &Gateway, now: ClockTime, state: &mut GatewayState) {
    for (ruling, released) in state.judge_parts(now) {
        let PartRuling {
            part,
            certainty,
            crashes,
        } = ruling;
        spdlog::warn!(
            "event=prompt_part_quarantined part={part} certainty={certainty} crashes={}",
            crashes.len()
        );
        for fingerprint in released {
            spdlog::info!("event=request_released fingerprint={fingerprint} part={part}");
            state.notices.add(KeptNotice::Released(fingerprint));
            gateway.notice_update.notify_one();
        }
        keep_part(gateway, state, part, Some(certainty));
    }
    for part in state.parts.take_released() {
        keep_part(gateway, state, part, None);
    }
}

/// Has the store keep whether a part of prompts is refused, if this gateway observed why.
pub(super) fn keep_part(
    gateway: &Gateway,
    state: &mut GatewayState,
    part: PromptPart,
    certainty: Option<PartCertainty>,
) {
    if state.parts.observed_here(part) {
        state
            .notices
            .add(KeptNotice::PromptPart { part, certainty });
        gateway.notice_update.notify_one();
    }
}

fn part_ids(parts: &[u128]) -> String {
    let ids = parts.iter().map(|part| format!("{part:x}"));
    ids.collect::<Vec<_>>().join(",")
}

/// Has the store keep that a request is refused.
pub(super) fn keep_quarantine(gateway: &Gateway, fingerprint: RequestFingerprint) {
    let notice = KeptNotice::Quarantine(fingerprint);
    gateway.state().notices.add(notice);
    gateway.notice_update.notify_one();
}

/// Queues what the store lacks, as after a restore from an older copy, of what this gateway observed
/// or, if `observed_only` is not set, knows at all: whoever observed it may not live to write it.
fn add_missing(now: ClockTime, state: &mut GatewayState, observed_only: bool) {
    let leaving = state.upstreams.iter();
    let leaving = leaving
        .filter(|(_, record)| record.said_leaving || (record.told_leaving && !observed_only));
    for notice in leaving.filter_map(|(_, record)| leaving_notice(&record.entry)) {
        state.notices.add(notice);
    }
    // Near its end a notice is not written again, which would renew the quarantine for ever.
    for fingerprint in state.crashes.quarantined(now, QUARANTINE_MS / 2) {
        if !observed_only || state.crashes.observed_here(fingerprint) {
            state.notices.add(KeptNotice::Quarantine(fingerprint));
        }
    }
    for part in state.parts.confirmed(now, QUARANTINE_MS / 2) {
        if !observed_only || state.parts.observed_here(part) {
            let certainty = Some(PartCertainty::Confirmed);
            state
                .notices
                .add(KeptNotice::PromptPart { part, certainty });
        }
    }
}

/// The notice that an upstream is leaving. `None` if its start is unknown, since the notice would also
/// bar the next incarnation.
fn leaving_notice(entry: &UpstreamEntry) -> Option<KeptNotice> {
    (entry.born != 0).then(|| KeptNotice::Leaving {
        id: entry.id.clone(),
        born: entry.born,
    })
}

/// Writes notices to the store as they arise.
pub(super) async fn write_notices(gateway: Arc<Gateway>, store: KvStore) {
    let mut status = StoreStatus::new("notices");
    loop {
        let notices = gateway.state().notices.next_write().to_vec();
        if notices.is_empty() {
            let pause_ms = rand::random_range(MIN_CHECK_MS..2 * MIN_CHECK_MS);
            let pause = tokio::time::sleep(Duration::from_millis(pause_ms));
            tokio::select! {
                () = gateway.notice_update.notified() => {}
                () = pause => add_missing(gateway.clock.now(), &mut gateway.state(), false),
            }
            continue;
        }
        match write(&store, &notices).await {
            Ok(()) => {
                status.recover();
                spdlog::info!("event=notices_written notices={}", notices.len());
                let queue = &mut gateway.state().notices;
                notices
                    .into_iter()
                    .for_each(|notice| queue.record_stored(notice));
            }
            Err(error) => status.back_off(gateway.clock.now(), &error).await,
        }
    }
}

async fn write(store: &KvStore, notices: &[KeptNotice]) -> Result<(), String> {
    let ttl_s = NOTICE_LEASE_S;
    let lease = match store.request(PlatformRequest::LeaseGrant { ttl_s }).await {
        Ok((PlatformResponse::Lease { lease, .. }, _)) if lease > 0 => lease,
        other => return Err(format!("could not get a lease: {other:?}")),
    };
    let items = notices.iter().map(encode_notice);
    let writes = items.map(|(key, value)| PlatformWrite::Put { key, value, lease });
    let request = PlatformRequest::Txn {
        compares: Vec::new(),
        writes: writes.collect(),
        reads: Vec::new(),
    };
    match store.request(request).await {
        Ok((
            PlatformResponse::Txn {
                succeeded: true, ..
            },
            _,
        )) => Ok(()),
        other => Err(format!(
            "could not write {} notices: {other:?}",
            notices.len()
        )),
    }
}

/// Follows the notices of other gateways, also of those that peer messages do not reach.
pub(super) async fn follow_notices(gateway: Arc<Gateway>, store: KvStore) {
    let mut status = StoreStatus::new("notices");
    let mut after: Option<StorePosition> = None;
    loop {
        let result = match after {
            None => read_notices(&gateway, &store).await.map(Some),
            Some(after) => watch_notices(&gateway, &store, after).await,
        };
        match result {
            Ok(next) => {
                status.recover();
                after = next;
            }
            Err(error) => status.back_off(gateway.clock.now(), &error).await,
        }
    }
}

async fn watch_notices(
    gateway: &Gateway,
    store: &KvStore,
    after: StorePosition,
) -> Result<Option<StorePosition>, String> {
    match store.watch(NOTICE_PREFIX, after, IDLE_WATCH_MS).await {
        Ok(WatchOutcome::Changes(changes, position)) => {
            let now = gateway.clock.now();
            for change in &changes {
                // What a notice forbids stays forbidden when the notice expires.
                if let StoreChange::Put(item) = change {
                    apply_notice(now, &mut gateway.state(), item);
                }
            }
            gateway.doubt_update.notify_one();
            Ok(Some(position))
        }
        Ok(WatchOutcome::Compacted | WatchOutcome::Restored) => Ok(None),
        Err(error) => Err(error.0),
    }
}

/// Applies a notice in the store.
fn apply_notice(now: ClockTime, state: &mut GatewayState, item: &PlatformItem) {
    let notice = match decode_notice(item) {
        Ok(notice) => notice,
        Err(error) => {
            spdlog::warn!(
                "event=notice_decode_failed key={} error=\"{error:#}\"",
                item.key
            );
            return;
        }
    };
    match &notice {
        KeptNotice::Leaving { id, born } => {
            if state.upstreams.bar_incarnation(id, *born) {
                spdlog::info!("event=upstream_leaving id={id} born={born} peer=store");
            }
        }
        KeptNotice::Quarantine(fingerprint) => {
            if state.crashes.quarantine(now, *fingerprint, QUARANTINE_MS) {
                spdlog::warn!("event=request_quarantined fingerprint={fingerprint} peer=store");
            }
        }
        KeptNotice::Released(_) => {}
        KeptNotice::PromptPart { part, certainty } => {
            if let Some(certainty) = certainty {
                if state.parts.quarantine(now, *part, *certainty) {
                    spdlog::warn!(
                        "event=prompt_part_quarantined part={part} certainty={certainty} peer=store"
                    );
                }
            }
        }
    }
    state.notices.record_stored(notice);
}

/// Applies the notices in the store. Returns the position that was read.
///
/// # Errors
///
/// If the notices cannot be read.
pub(super) async fn read_notices(
    gateway: &Gateway,
    store: &KvStore,
) -> Result<StorePosition, String> {
    let request = PlatformRequest::Range {
        key: NOTICE_PREFIX.to_owned(),
        range_end: prefix_end(NOTICE_PREFIX),
    };
    let (position, items) = match store.request(request).await {
        Ok((PlatformResponse::Range { revision, items }, era)) => {
            (StorePosition::new(era, revision), items)
        }
        Ok(other) => return Err(format!("unexpected response: {other:?}")),
        Err(error) => return Err(error.0),
    };
    let now = gateway.clock.now();
    let state = &mut *gateway.state();
    state.upstreams.forget_barred_incarnations();
    state.notices.forget_stored();
    for item in &items {
        apply_notice(now, state, item);
    }
    add_missing(now, state, true);
    gateway.notice_update.notify_one();
    gateway.doubt_update.notify_one();
    Ok(position)
}
