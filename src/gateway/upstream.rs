//! Registered upstreams: which are alive, draining or suspect, and what this gateway has in flight
//! at each.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::clock::ClockTime;
use crate::gateway::exchange_record::{ExchangeEnd, ExchangeRecord};
use crate::gateway::leaving::{LeavingTable, Standing};
use crate::store::position::StorePosition;

/// Age up to which a reported slowdown counts, milliseconds.
const SLOWDOWN_TTL_MS: u64 = 6_000;
/// Upper bound of a slowdown, also assumed for an invalid report.
const MAX_SLOWDOWN: f64 = 1_000.0;
/// Part of the previous slowdown by which a new one must differ to be logged.
const SLOWDOWN_CHANGE: f64 = 0.2;
/// Time for which a replica is paused after it refused a request or an order, or was named as the
/// cause, milliseconds. It doubles with each further time while no heartbeat of the replica
/// arrives, up to [`MAX_REFUSAL_PAUSE_MS`]: without heartbeats it is most likely dead, and each
/// request over it costs its caller an attempt.
const REFUSAL_PAUSE_MS: u64 = 250;
/// Longest pause after a refusal, milliseconds.
const MAX_REFUSAL_PAUSE_MS: u64 = 2_000;
/// Time after which work is moved away from a replica that answered none of the gateway's queries,
/// milliseconds. One late answer is not enough: the work would be started again elsewhere.
const UNRESPONSIVE_MS: u64 = 450;
/// Time for which a report that a replica is dead stays in force, milliseconds. The registry entry
/// of a dead replica lapses within three heartbeats.
const REPORTED_DEAD_MS: u64 = 4_500;
/// Longest time that a heartbeat takes to reach a gateway, milliseconds.
const MAX_HEARTBEAT_DELAY_MS: u64 = 1_500;
/// Time for which a vanished registry entry is kept if the store was unavailable just before,
/// milliseconds. Live upstreams register again within two seconds.
const LAPSE_GRACE_MS: u64 = 2_500;

/// Layers that a replica holds: `from` up to but not including `to`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LayerRange {
    /// First layer of the range.
    pub from: u32,
    /// End of the range, exclusive.
    pub to: u32,
}

impl LayerRange {
    /// Number of layers in the range; zero if `to` is below `from`.
    pub fn len(self) -> u32 {
        self.to.saturating_sub(self.from)
    }

    /// Whether the range is one of a model with this many layers.
    pub fn lies_within(self, layers: u32) -> bool {
        self.from <= self.to && self.to <= layers
    }

    /// Whether the range contains all layers of another one.
    pub fn contains(self, other: LayerRange) -> bool {
        other.is_empty() || (self.from <= other.from && other.to <= self.to)
    }

    /// Whether the range contains no layer.
    pub fn is_empty(self) -> bool {
        self.len() == 0
    }
}

impl std::fmt::Display for LayerRange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}-{}", self.from, self.to)
    }
}

/// An upstream's entry in the registry, which each of its heartbeats writes again.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Id of the upstream, unique in the registry.
    pub id: String,
    /// Start of the upstream's incarnation, Unix milliseconds; zero if unknown.
    pub born: u64,
    /// Name of the service that the upstream belongs to.
    pub service: String,
    /// Address at which the upstream receives requests.
    pub address: SocketAddr,
    /// Failure domain of the upstream's VM.
    pub domain: String,
    /// Upper bound of the requests that the upstream runs at once.
    pub slots: u32,
    /// Whether the upstream is shutting down gracefully and takes no new requests.
    pub draining: bool,
    /// Kind of the upstream's accelerator; empty for a plain service.
    pub kind: String,
    /// Layers that the upstream holds; empty for a plain service.
    pub layers: LayerRange,
    /// Number of heartbeats that the incarnation had sent with this one; zero if unknown.
    pub sequence: u64,
    /// Position in the store's history at which the entry was written.
    pub position: StorePosition,
}

impl UpstreamEntry {
    /// Tells the upstream's incarnation from others, at all gateways alike.
    pub fn incarnation_digest(&self) -> u64 {
        let name = format!("{}/{}", self.address, self.born);
        let mut start = [0; 8];
        start.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
        u64::from_be_bytes(start)
    }
}

/// Index of an upstream's incarnation in the [`UpstreamTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamKey(pub u32);

/// A report of a replica's slowdown, and when this gateway received it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SlowdownReport {
    slowdown: f64,
    at: ClockTime,
    /// Whether the replica reported to this gateway itself. Only then does this gateway pass the
    /// report on to its peers.
    direct: bool,
}

/// A report by a replica that another replica is dead or cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DeathReport {
    at: ClockTime,
    /// Whether the death was reported to this gateway itself. Only then does this gateway pass the
    /// report on to its peers.
    direct: bool,
}

/// What this gateway knows of one incarnation of an upstream, and its load there.
#[derive(Clone, Debug)]
pub struct UpstreamRecord {
    /// Newest registry entry of the incarnation.
    pub entry: UpstreamEntry,
    /// Whether this incarnation has ended: its registry entry was removed and any grace period has
    /// passed, or another incarnation registered.
    pub gone: bool,
    /// Time from which an upstream whose registry entry was removed counts as gone. `None` while
    /// the entry is in the registry.
    gone_at: Option<ClockTime>,
    /// End of the time for which the upstream is suspect because work failed there.
    suspect_until: ClockTime,
    /// End of the time for which the upstream is paused: it refused a request or an order, or a
    /// refusal named it as the cause.
    paused_until: ClockTime,
    /// Time of the refusal that began the last pause.
    last_refusal: ClockTime,
    /// Number of pauses in a row before the last one without a heartbeat in between.
    refusals: u32,
    /// Whether the upstream has said in an answer to this gateway that it is leaving.
    pub said_leaving: bool,
    /// Whether a peer has told that the upstream said so to the peer.
    pub told_leaving: bool,
    /// Whether words of another incarnation may be those of this one.
    standing: Standing,
    /// End of the time for which the upstream itself asked to be left alone.
    rest_until: ClockTime,
    /// Newest report to this gateway or to a peer that the upstream is dead. `None` if there was
    /// none or a later heartbeat showed that it is alive.
    death_report: Option<DeathReport>,
    /// When the first of the queries was sent that the replica left unanswered since its last
    /// answer. `None` if it answered the last one.
    unanswered_since: Option<ClockTime>,
    /// Time of the replica's last answer to this gateway.
    answered_at: ClockTime,
    /// Time at which this gateway observed the last heartbeat.
    last_heartbeat: ClockTime,
    /// Outcomes of this gateway's exchanges with the upstream.
    exchanges: ExchangeRecord,
    /// Newest report of the upstream's slowdown, from itself or from a peer.
    slowdown: Option<SlowdownReport>,
    /// Requests a second that the upstream says it takes from all gateways together; `None` if it
    /// names no limit.
    pub limit: Option<f64>,
    /// Number of this gateway's requests in flight at the upstream.
    pub in_flight: u32,
    /// KV memory that this gateway's requests in flight are expected to need at the upstream, in
    /// tokens times layers.
    pub reserved_kv: f64,
    /// Change of this gateway's load at the upstream since the last report to the peers.
    pub unreported: UnreportedLoad,
}

/// Load of this gateway at an upstream that its peers do not know of yet. Negative if more ended
/// than began.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UnreportedLoad {
    /// Change of the number of requests in flight.
    pub in_flight: f64,
    /// Change of the KV memory that they are expected to need, in tokens times layers.
    pub reserved_kv: f64,
}

impl UpstreamRecord {
    /// Whether the upstream is registered, not suspect, not paused and did not ask to be left
    /// alone. New chains use only usable replicas; a plain service falls back on other registered
    /// ones that did not ask for it if it has none.
    pub fn usable(&self, now: ClockTime) -> bool {
        let paused = now < self.paused_until || self.resting(now);
        self.registered() && !self.suspected(now) && !paused
    }

    /// Whether the upstream asked to be left alone for a time that is not over.
    pub fn resting(&self, now: ClockTime) -> bool {
        now < self.rest_until
    }

    /// Time for which the upstream still asks to be left alone, milliseconds.
    pub fn rest_ms(&self, now: ClockTime) -> u64 {
        self.rest_until.since(now)
    }

    /// Whether a report that the upstream is dead is in force.
    pub fn reported_dead(&self, now: ClockTime) -> bool {
        self.death_report
            .is_some_and(|report| now.since(report.at) < REPORTED_DEAD_MS)
    }

    /// Whether the upstream may be dead: a recent failure made it suspect, or a death report is in
    /// force.
    pub fn suspected(&self, now: ClockTime) -> bool {
        now < self.suspect_until || self.reported_dead(now)
    }

    /// Moving average of the part of exchanges that brought no whole answer, 0 to 1.
    pub fn failure_rate(&self, now: ClockTime) -> f64 {
        self.exchanges.failure_rate(now)
    }

    /// Whether several answers of the upstream in a row had a fault, and a request that may show
    /// whether it serves again is under way there.
    pub fn is_on_trial(&self) -> bool {
        self.exchanges.is_failing() && self.in_flight > 0
    }

    /// Whether the replica left the last query of this gateway unanswered.
    pub fn owes_answer(&self) -> bool {
        self.unanswered_since.is_some()
    }

    /// When the first of the queries was sent that the replica left unanswered since its last
    /// answer. `None` if it answered the last one.
    pub fn unanswered_since(&self) -> Option<ClockTime> {
        self.unanswered_since
    }

    /// Whether the replica answered none of this gateway's queries for so long that work there is
    /// moved elsewhere where it may be.
    pub fn unresponsive(&self, now: ClockTime) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.since(since) >= UNRESPONSIVE_MS)
    }

    /// Time since a replica reported the upstream dead to this gateway, milliseconds. `None` if no
    /// such report is in force.
    pub fn reported_dead_ago(&self, now: ClockTime) -> Option<u64> {
        let report = self.death_report.filter(|report| report.direct);
        report
            .map(|report| now.since(report.at))
            .filter(|ago| *ago < REPORTED_DEAD_MS)
    }

    /// Factor by which the upstream's work takes longer than nominal; one if there is no recent
    /// report.
    pub fn slowdown(&self, now: ClockTime) -> f64 {
        let report = self
            .slowdown
            .filter(|report| now.since(report.at) < SLOWDOWN_TTL_MS);
        report.map_or(1.0, |report| report.slowdown)
    }

    /// Slowdown that the upstream reported to this gateway itself. `None` if it did not recently.
    pub fn direct_slowdown(&self, now: ClockTime) -> Option<f64> {
        let report = self
            .slowdown
            .filter(|report| report.direct && now.since(report.at) < SLOWDOWN_TTL_MS);
        report.map(|report| report.slowdown)
    }

    /// Whether the upstream may hold up a request that makes no progress: it is suspect, paused or
    /// no longer registered.
    pub fn may_block_requests(&self, now: ClockTime) -> bool {
        !self.registered() || self.suspected(now) || now < self.paused_until
    }

    /// Whether the registry has the upstream, it is not draining, and no word of another incarnation is
    /// in doubt. It may be suspect or paused.
    pub fn registered(&self) -> bool {
        !self.gone && !self.entry.draining && self.gone_at.is_none() && !self.doubted()
    }

    /// Whether a request that runs there on these layers should move to another replica: this one is no
    /// longer registered, or it gives the layers up, which it cannot finish while requests run on
    /// them.
    pub fn sheds(&self, layers: LayerRange) -> bool {
        !self.registered() || !self.entry.layers.contains(layers)
    }

    /// Whether it is in doubt whether words of another incarnation are those of this one.
    pub fn doubted(&self) -> bool {
        matches!(self.standing, Standing::Doubted { .. })
    }

    /// Whether anything was heard of this incarnation that may have been said by the next one.
    fn leaves_doubt(&self, now: ClockTime) -> bool {
        let is_limited = self.limit.is_some() || self.resting(now);
        self.said_leaving || self.told_leaving || is_limited || self.doubted()
    }
}

/// All incarnations of upstreams that this process has observed.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    records: Vec<UpstreamRecord>,
    ids: HashMap<String, UpstreamKey>,
    /// The incarnation that registered last at each address.
    addresses: HashMap<SocketAddr, UpstreamKey>,
    /// Incarnations that are known to be leaving, for entries that are read later.
    leaving: LeavingTable,
    version: u64,
}

impl UpstreamTable {
    /// Counter that increases when upstreams, their layers or addresses change, or when one becomes
    /// draining, suspect or reported dead.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns an upstream's record. Panics if the key is not from this table.
    pub fn get(&self, key: UpstreamKey) -> &UpstreamRecord {
        &self.records[key.0 as usize]
    }

    /// Iterates over the incarnations that are not gone.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &UpstreamRecord)> {
        let numbered = (0..).map(UpstreamKey).zip(&self.records);
        numbered.filter(|(_, record)| !record.gone)
    }

    /// Returns the upstream at an address, leaving out those that are gone. If several are
    /// registered there, the one whose entry was written last. Peers name upstreams by address,
    /// thousands of times a second in a large fleet.
    pub fn by_address(&self, address: SocketAddr) -> Option<UpstreamKey> {
        let latest = *self.addresses.get(&address)?;
        let is_there = |record: &UpstreamRecord| record.entry.address == address && !record.gone;
        if is_there(self.get(latest)) {
            return Some(latest);
        }
        let mut found = self.iter();
        found
            .find(|(_, record)| is_there(record))
            .map(|(key, _)| key)
    }

    /// Applies a registry entry. Returns whether an upstream, its layers, its address or its
    /// availability changed.
    pub fn apply_entry(&mut self, now: ClockTime, entry: UpstreamEntry) -> bool {
        if let Some(key) = self.ids.get(&entry.id).copied() {
            let record = &mut self.records[key.0 as usize];
            if entry.position < record.entry.position {
                return false;
            }
            // The entry of an upstream that still runs may lapse and return: what is known of its
            // incarnation holds on. Zero is an unknown start, which may be a new one.
            let is_known = !record.gone || entry.born != 0;
            if record.entry.born == entry.born && is_known {
                if entry.position > record.entry.position {
                    record.last_heartbeat = now;
                    // A heartbeat that was under way when the replica died is no evidence that it
                    // lives.
                    if record
                        .death_report
                        .is_some_and(|report| now >= report.at + MAX_HEARTBEAT_DELAY_MS)
                    {
                        record.death_report = None;
                    }
                }
                // Whoever was asking it has stopped.
                if std::mem::take(&mut record.gone) && record.doubted() {
                    record.standing = Standing::Doubted { asked: false };
                }
                // A draining upstream does not become available again in the same incarnation.
                let draining = record.entry.draining || entry.draining;
                let changed = record.gone_at.take().is_some()
                    || record.entry.draining != draining
                    || record.entry.layers != entry.layers
                    || record.entry.address != entry.address;
                self.addresses.insert(entry.address, key);
                record.entry = UpstreamEntry { draining, ..entry };
                self.version += u64::from(changed);
                return changed;
            }
            record.gone = true;
        }
        let draining = entry.draining || self.leaving.names(&entry);
        let standing = match self.may_have_spoken(now, &entry) {
            true => Standing::Doubted { asked: false },
            false => Standing::Clear,
        };
        let key = UpstreamKey(u32::try_from(self.records.len()).unwrap_or(u32::MAX));
        self.ids.insert(entry.id.clone(), key);
        self.addresses.insert(entry.address, key);
        self.records.push(UpstreamRecord {
            entry: UpstreamEntry { draining, ..entry },
            gone: false,
            gone_at: None,
            suspect_until: now,
            paused_until: now,
            last_refusal: ClockTime::default(),
            refusals: 0,
            said_leaving: false,
            told_leaving: false,
            standing,
            rest_until: now,
            death_report: None,
            unanswered_since: None,
            answered_at: now,
            last_heartbeat: now,
            exchanges: ExchangeRecord::default(),
            slowdown: None,
            limit: None,
            in_flight: 0,
            reserved_kv: 0.0,
            unreported: UnreportedLoad::default(),
        });
        self.version += 1;
        true
    }

    /// Whether the incarnation of a new entry may have said what is filed under another one.
    fn may_have_spoken(&self, now: ClockTime, entry: &UpstreamEntry) -> bool {
        let previous = self.ids.get(&entry.id).map(|key| self.get(*key));
        previous.is_some_and(|previous| previous.leaves_doubt(now))
            || self.leaving.names_another(entry)
    }

    /// Applies an entry of a full read. After a restore of the store the read may return what the
    /// upstream wrote long ago: an entry that is no newer than what is known of its incarnation, or
    /// that is of an earlier one, is ignored until the upstream writes again. Otherwise as
    /// [`Self::apply_entry`].
    pub fn apply_read_entry(&mut self, now: ClockTime, entry: UpstreamEntry) -> bool {
        let known = self.ids.get(&entry.id);
        let known = known.map(|key| &self.records[key.0 as usize].entry);
        let stale = known.is_some_and(|known| {
            known.position.era < entry.position.era
                && (entry.born, entry.sequence) <= (known.born, known.sequence)
        });
        !stale && self.apply_entry(now, entry)
    }

    /// Applies the removal of the entry of `id` at `position`. If the store was unavailable or
    /// restored just before, the upstream is kept for `LAPSE_GRACE_MS`, since the entries of live
    /// upstreams lapse during an outage and are missing in an older copy.
    pub fn remove_entry(
        &mut self,
        now: ClockTime,
        id: &str,
        position: StorePosition,
        store_was_down: bool,
    ) {
        let Some(key) = self.ids.get(id).copied() else {
            return;
        };
        let record = &mut self.records[key.0 as usize];
        if position <= record.entry.position || record.gone || record.gone_at.is_some() {
            return;
        }
        let grace_ms = if store_was_down { LAPSE_GRACE_MS } else { 0 };
        record.gone_at = Some(now + grace_ms);
        self.version += 1;
        self.expire_missing(now);
    }

    /// Marks each upstream as gone whose registry entry was removed and whose grace period has
    /// passed.
    pub fn expire_missing(&mut self, now: ClockTime) {
        for record in &mut self.records {
            if record.gone_at.is_some_and(|at| now >= at) && !record.gone {
                record.gone = true;
                self.version += 1;
            }
        }
    }

    /// Ids and positions of the entries of the upstreams that are not gone, for comparison with a
    /// full read of the registry.
    pub fn known_positions(&self) -> Vec<(String, StorePosition)> {
        let records = self.iter();
        records
            .map(|(_, record)| (record.entry.id.clone(), record.entry.position))
            .collect()
    }

    /// Makes an upstream suspect after a failure that may mean that it is dead. Has no effect if it
    /// is suspect already because of a failure.
    pub fn suspect(&mut self, now: ClockTime, key: UpstreamKey) {
        let record = &mut self.records[key.0 as usize];
        if now >= record.suspect_until {
            record.suspect_until = now + record.exchanges.begin_suspicion();
            self.version += 1;
        }
    }

    /// Ends the suspicion of an upstream that answers again. A report that it is dead stays in force: it
    /// may be cut off from others. So does a suspicion for faulty answers.
    pub fn lift_suspicion(&mut self, now: ClockTime, key: UpstreamKey) {
        let record = &mut self.records[key.0 as usize];
        if record.exchanges.is_failing() {
            return;
        }
        record.exchanges.forget_suspicions();
        if now < record.suspect_until {
            record.suspect_until = now;
            self.version += 1;
        }
    }

    /// Records a replica's report to this gateway that another replica is dead or cut off.
    pub fn report_dead(&mut self, now: ClockTime, key: UpstreamKey) {
        self.record_death(
            key,
            DeathReport {
                at: now,
                direct: true,
            },
        );
    }

    /// Records a peer's message that a replica was reported dead to the peer `ago_ms` milliseconds
    /// ago. Returns false if a report is in force already or a later heartbeat refutes this one.
    pub fn apply_peer_death(&mut self, now: ClockTime, key: UpstreamKey, ago_ms: u64) -> bool {
        let record = &self.records[key.0 as usize];
        let at = now - ago_ms;
        let refuted = record.last_heartbeat >= at + MAX_HEARTBEAT_DELAY_MS;
        let is_new = !refuted && !record.reported_dead(now);
        if is_new {
            self.record_death(key, DeathReport { at, direct: false });
        }
        is_new
    }

    fn record_death(&mut self, key: UpstreamKey, report: DeathReport) {
        self.records[key.0 as usize].death_report = Some(report);
        self.version += 1;
    }

    /// Records a replica's slowdown. `direct` tells whether the replica reported it to this gateway
    /// or to a peer. Returns whether it differs from the previous slowdown by more than
    /// `SLOWDOWN_CHANGE` times that.
    pub fn apply_slowdown(
        &mut self,
        now: ClockTime,
        key: UpstreamKey,
        slowdown: f64,
        direct: bool,
    ) -> bool {
        let record = &mut self.records[key.0 as usize];
        let previous = record.slowdown(now);
        // An invalid or implausibly small value must not make a replica look fast and so be chosen.
        let slowdown = if slowdown.is_finite() {
            slowdown.clamp(1.0, MAX_SLOWDOWN)
        } else {
            MAX_SLOWDOWN
        };
        record.slowdown = Some(SlowdownReport {
            slowdown,
            at: now,
            direct,
        });
        (slowdown - previous).abs() > previous * SLOWDOWN_CHANGE
    }

    /// Makes a replica unusable for a while after it refused a request or an order, or a refusal
    /// named it as the cause: it has no capacity, or may turn out to be dead. Refusals that arrive
    /// during the pause were under way when it began, and do not lengthen it.
    pub fn pause(&mut self, now: ClockTime, key: UpstreamKey) {
        let record = &mut self.records[key.0 as usize];
        if now < record.paused_until {
            return;
        }
        let alive = record.last_heartbeat > record.last_refusal;
        record.refusals = if alive { 0 } else { record.refusals + 1 };
        record.last_refusal = now;
        let pause_ms = REFUSAL_PAUSE_MS << record.refusals.min(8);
        record.paused_until = now + pause_ms.min(MAX_REFUSAL_PAUSE_MS);
    }

    /// Records a sign of life of a replica: an answer to a query, or an event of a stream.
    pub fn record_answer(&mut self, now: ClockTime, key: UpstreamKey) {
        let record = &mut self.records[key.0 as usize];
        record.answered_at = now;
        record.unanswered_since = None;
    }

    /// Records that a replica left a query of this gateway unanswered that was sent at `sent_at`.
    pub fn record_unanswered(&mut self, key: UpstreamKey, sent_at: ClockTime) {
        let record = &mut self.records[key.0 as usize];
        // A query that was overtaken by a sign of life was awaited for too short a time after it.
        if sent_at >= record.answered_at {
            record.unanswered_since.get_or_insert(sent_at);
        }
    }

    /// Sets the limit that an upstream names.
    pub fn set_limit(&mut self, key: UpstreamKey, limit: Option<f64>) {
        self.records[key.0 as usize].limit = limit;
    }

    /// Leaves an upstream alone for `rest_ms` milliseconds, since it asked for it. A shorter time
    /// than one asked for before does not end that one.
    pub fn rest(&mut self, now: ClockTime, key: UpstreamKey, rest_ms: u64) {
        let record = &mut self.records[key.0 as usize];
        record.rest_until = record.rest_until.max(now + rest_ms);
    }

    /// Records how an exchange with an upstream ended. Returns whether the upstream became suspect. A
    /// success does not end a suspicion early.
    pub fn record_exchange(&mut self, now: ClockTime, key: UpstreamKey, end: ExchangeEnd) -> bool {
        let record = &mut self.records[key.0 as usize];
        let is_new = record.exchanges.record(now, end) && now >= record.suspect_until;
        if is_new {
            self.suspect(now, key);
        }
        is_new
    }

    /// Marks the upstream as draining: another one answers at its address, or it says itself that
    /// it is leaving. Returns whether it was not draining before.
    pub fn mark_draining(&mut self, key: UpstreamKey) -> bool {
        let record = &mut self.records[key.0 as usize];
        let changed = !record.entry.draining;
        record.entry.draining = true;
        self.version += u64::from(changed);
        changed
    }

    /// Marks the upstream as draining because it said in an answer that it is leaving, and so that
    /// the peers are told. Returns whether it was not draining before.
    pub fn mark_leaving(&mut self, key: UpstreamKey) -> bool {
        self.records[key.0 as usize].said_leaving = true;
        self.mark_draining(key)
    }

    /// Marks the upstream as draining because a peer told that it is leaving. Returns whether it was
    /// not draining before.
    pub fn mark_told_leaving(&mut self, key: UpstreamKey) -> bool {
        self.records[key.0 as usize].told_leaving = true;
        self.mark_draining(key)
    }

    /// Bars the incarnation of an upstream that started at `born`, since it is leaving, whether or
    /// not its registry entry is known yet. Returns whether it was known and not draining before.
    pub fn bar_incarnation(&mut self, id: &str, born: u64) -> bool {
        self.leaving.insert_id(id, born);
        let Some(key) = self.ids.get(id).copied() else {
            return false;
        };
        match self.get(key).entry.born == born {
            true => self.mark_draining(key),
            false => {
                self.doubt(key);
                false
            }
        }
    }

    /// Records that a peer knows an incarnation to be leaving that started at `born`, and that this
    /// gateway does not know at this address.
    pub fn apply_told_elsewhere(&mut self, address: SocketAddr, born: u64) {
        self.leaving.insert_address(address, born);
        if let Some(key) = self.by_address(address) {
            self.doubt(key);
        }
    }

    /// Forgets the incarnations that the store names as leaving, before all notices are read again.
    pub fn forget_barred_incarnations(&mut self) {
        self.leaving.forget_ids();
    }

    /// Puts an upstream in doubt unless it has answered before.
    fn doubt(&mut self, key: UpstreamKey) {
        let record = &mut self.records[key.0 as usize];
        if record.standing == Standing::Clear {
            record.standing = Standing::Doubted { asked: false };
            self.version += 1;
        }
    }

    /// Returns the upstreams in doubt that no query is under way for, and records that one is.
    pub fn take_doubted(&mut self) -> Vec<UpstreamKey> {
        let mut taken = Vec::new();
        for (key, record) in (0..).map(UpstreamKey).zip(&mut self.records) {
            let is_unasked = record.standing == Standing::Doubted { asked: false };
            if is_unasked && !record.gone && !record.entry.draining {
                record.standing = Standing::Doubted { asked: true };
                taken.push(key);
            }
        }
        taken
    }

    /// Records that an upstream has answered a query that was sent since it came into doubt, and
    /// did not say that it is leaving.
    pub fn settle(&mut self, key: UpstreamKey) {
        self.records[key.0 as usize].standing = Standing::Settled;
        self.version += 1;
    }

    /// Adds a request of this gateway that is expected to need `reserved_kv` of KV memory, in
    /// tokens times layers.
    pub fn add_request(&mut self, key: UpstreamKey, reserved_kv: f64) {
        let record = &mut self.records[key.0 as usize];
        record.in_flight += 1;
        record.reserved_kv += reserved_kv;
        record.unreported.in_flight += 1.0;
        record.unreported.reserved_kv += reserved_kv;
    }

    /// Removes a request of this gateway that was added with the same `reserved_kv`. Panics if no
    /// request is in flight there.
    pub fn remove_request(&mut self, key: UpstreamKey, reserved_kv: f64) {
        let record = &mut self.records[key.0 as usize];
        assert!(record.in_flight > 0, "no request in flight to remove");
        record.in_flight -= 1;
        record.reserved_kv = (record.reserved_kv - reserved_kv).max(0.0);
        record.unreported.in_flight -= 1.0;
        record.unreported.reserved_kv -= reserved_kv;
    }

    /// Resets the unreported load of all upstreams after a load report to the peers.
    pub fn reset_unreported(&mut self) {
        for record in &mut self.records {
            record.unreported = UnreportedLoad::default();
        }
    }
}
