//! Registered upstreams: which are alive, draining or suspect, and what this gateway has in flight
//! at each.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::clock::ClockTime;

/// Time for which an upstream that failed gets no new requests, milliseconds. It doubles with each
/// suspicion in a row up to [`MAX_SUSPECT_MS`].
const SUSPECT_MS: u64 = 1_000;
/// Age up to which a reported slowdown counts, milliseconds.
const SLOWDOWN_TTL_MS: u64 = 6_000;
/// Upper bound of a slowdown, also assumed for an invalid report.
const MAX_SLOWDOWN: f64 = 1_000.0;
/// Relative change of a slowdown that is logged.
const SLOWDOWN_CHANGE: f64 = 0.2;
/// Consecutive failed exchanges after which an upstream becomes suspect.
const FAILURES_TO_SUSPECT: u32 = 3;
/// Weight of the newest exchange in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.1;
/// Time for which a replica that refused a request for lack of capacity gets no new ones,
/// milliseconds.
const REFUSAL_PAUSE_MS: u64 = 250;
/// Longest time for which a failed upstream gets no new requests, milliseconds.
const MAX_SUSPECT_MS: u64 = 4_000;
/// Time for which a replica that an engine reported dead counts as dead without another report,
/// milliseconds. Its registry entry lapses within three heartbeats.
const REPORTED_DEAD_MS: u64 = 4_500;
/// Longest time that a heartbeat takes to reach a gateway, milliseconds.
const MAX_HEARTBEAT_DELAY_MS: u64 = 1_500;
/// Time for which a vanished registry entry is kept if the store was unavailable just before,
/// milliseconds. Live upstreams register again within two seconds.
const LAPSE_GRACE_MS: u64 = 2_500;

/// Layers that a replica holds: `from` up to but not including `to`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LayerRange {
    /// First layer.
    pub from: u32,
    /// The layer after the last.
    pub to: u32,
}

impl LayerRange {
    /// Number of layers.
    pub fn len(self) -> u32 {
        self.to.saturating_sub(self.from)
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

/// An upstream's registry entry.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Unique name of the upstream.
    pub id: String,
    /// Start of its incarnation, Unix milliseconds; zero if unknown.
    pub born: u64,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Failure domain of its VM.
    pub domain: String,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is shutting down gracefully and takes no new requests.
    pub draining: bool,
    /// Kind of its accelerator; empty for a plain service.
    pub kind: String,
    /// Layers that it holds; empty for a plain service.
    pub layers: LayerRange,
    /// Store revision at which the entry was written.
    pub revision: u64,
}

/// Index of an upstream's incarnation in the [`UpstreamTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamKey(pub u32);

/// A report of a replica's slowdown.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SlowdownReport {
    slowdown: f64,
    at: ClockTime,
    /// Whether the replica reported to this gateway itself. Only then does this gateway pass the
    /// report on to its peers.
    direct: bool,
}

/// An engine's report that a replica is dead or cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DeathReport {
    at: ClockTime,
    /// Whether the engine reported to this gateway itself. Only then does this gateway pass the
    /// report on to its peers.
    direct: bool,
}

/// One incarnation of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRecord {
    /// Its newest registry entry.
    pub entry: UpstreamEntry,
    /// Whether it has left the registry.
    pub gone: bool,
    /// When a vanished entry counts as gone. `None` while the entry is in the registry.
    gone_at: Option<ClockTime>,
    /// No new requests until then, because work failed there.
    suspect_until: ClockTime,
    /// No new requests until then: it had no capacity, or may be about to be found dead.
    paused_until: ClockTime,
    /// When an engine reported it dead, to this gateway or to a peer. `None` if a heartbeat has
    /// arrived since.
    death_report: Option<DeathReport>,
    /// When its last heartbeat was observed.
    last_heartbeat: ClockTime,
    /// Suspicions in a row without a success between them.
    suspicions: u32,
    /// Failed exchanges in a row.
    consecutive_failures: u32,
    /// Newest report of its slowdown, from the replica itself or from a peer.
    slowdown: Option<SlowdownReport>,
    /// Moving average of the part of exchanges that failed, 0 to 1.
    pub failure_rate: f64,
    /// Number of requests of this gateway in flight there.
    pub in_flight: u32,
    /// Tokens times layers that these requests are expected to need.
    pub reserved: f64,
    /// Change of this gateway's load there since its last report to the peers.
    pub unreported: UnreportedLoad,
}

/// Load of this gateway at an upstream that its peers do not know of yet. Negative if more ended
/// than began.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UnreportedLoad {
    /// Number of requests.
    pub in_flight: f64,
    /// Tokens times layers.
    pub reserved: f64,
}

impl UpstreamRecord {
    /// Whether new requests may go there.
    pub fn usable(&self, now: ClockTime) -> bool {
        self.registered() && !self.suspected(now) && now >= self.paused_until
    }

    /// Whether an engine reported it dead and no heartbeat has arrived since.
    pub fn reported_dead(&self, now: ClockTime) -> bool {
        self.death_report
            .is_some_and(|report| now.since(report.at) < REPORTED_DEAD_MS)
    }

    /// Whether a recent failure or a report says that it may be dead.
    pub fn suspected(&self, now: ClockTime) -> bool {
        now < self.suspect_until || self.reported_dead(now)
    }

    /// Time since an engine reported it dead to this gateway itself, milliseconds. `None` if no
    /// such report is in force.
    pub fn reported_dead_ago(&self, now: ClockTime) -> Option<u64> {
        let report = self.death_report.filter(|report| report.direct);
        report
            .map(|report| now.since(report.at))
            .filter(|ago| *ago < REPORTED_DEAD_MS)
    }

    /// Factor by which its work takes longer than nominal; one if no recent report is known.
    pub fn slowdown(&self, now: ClockTime) -> f64 {
        let report = self
            .slowdown
            .filter(|report| now.since(report.at) < SLOWDOWN_TTL_MS);
        report.map_or(1.0, |report| report.slowdown)
    }

    /// Its slowdown, if the replica reported it to this gateway itself recently.
    pub fn direct_slowdown(&self, now: ClockTime) -> Option<f64> {
        let report = self
            .slowdown
            .filter(|report| report.direct && now.since(report.at) < SLOWDOWN_TTL_MS);
        report.map(|report| report.slowdown)
    }

    /// Whether a request that makes no progress may be waiting for it.
    pub fn may_block_requests(&self, now: ClockTime) -> bool {
        !self.registered() || self.suspected(now) || now < self.paused_until
    }

    /// Whether the registry lists it as alive and not draining, whatever this gateway suspects.
    pub fn registered(&self) -> bool {
        !self.gone && !self.entry.draining && self.gone_at.is_none()
    }
}

/// All incarnations of upstreams that this process has observed.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    records: Vec<UpstreamRecord>,
    ids: HashMap<String, UpstreamKey>,
    version: u64,
}

impl UpstreamTable {
    /// Increases with each change of the registered upstreams, their layers or their availability.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The record of a key.
    pub fn get(&self, key: UpstreamKey) -> &UpstreamRecord {
        &self.records[key.0 as usize]
    }

    /// All incarnations that are not gone.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &UpstreamRecord)> {
        let numbered = (0..).map(UpstreamKey).zip(&self.records);
        numbered.filter(|(_, record)| !record.gone)
    }

    /// The upstream at an address that is not gone.
    pub fn by_address(&self, address: SocketAddr) -> Option<UpstreamKey> {
        let mut found = self.iter();
        found
            .find(|(_, record)| record.entry.address == address)
            .map(|(key, _)| key)
    }

    /// Applies a registry entry. Returns whether an upstream, its layers, its address or its
    /// availability changed.
    pub fn apply_entry(&mut self, now: ClockTime, entry: UpstreamEntry) -> bool {
        if let Some(key) = self.ids.get(&entry.id).copied() {
            let record = &mut self.records[key.0 as usize];
            if entry.revision < record.entry.revision {
                return false;
            }
            if record.entry.born == entry.born && !record.gone {
                if entry.revision > record.entry.revision {
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
                let changed = record.gone_at.take().is_some()
                    || record.entry.draining != entry.draining
                    || record.entry.layers != entry.layers
                    || record.entry.address != entry.address;
                // A draining upstream does not become available again in the same incarnation.
                let draining = record.entry.draining || entry.draining;
                record.entry = UpstreamEntry { draining, ..entry };
                self.version += u64::from(changed);
                return changed;
            }
            record.gone = true;
        }
        let key = UpstreamKey(u32::try_from(self.records.len()).unwrap_or(u32::MAX));
        self.ids.insert(entry.id.clone(), key);
        self.records.push(UpstreamRecord {
            entry,
            gone: false,
            gone_at: None,
            suspect_until: now,
            paused_until: now,
            death_report: None,
            last_heartbeat: now,
            suspicions: 0,
            consecutive_failures: 0,
            failure_rate: 0.0,
            slowdown: None,
            in_flight: 0,
            reserved: 0.0,
            unreported: UnreportedLoad::default(),
        });
        self.version += 1;
        true
    }

    /// Applies the removal of the entry of `id` at `revision`. If the store was unavailable just
    /// before, the upstream is kept for `LAPSE_GRACE_MS`, since the entries of live upstreams
    /// lapse during an outage.
    pub fn remove_entry(&mut self, now: ClockTime, id: &str, revision: u64, store_was_down: bool) {
        let Some(key) = self.ids.get(id).copied() else {
            return;
        };
        let record = &mut self.records[key.0 as usize];
        if revision <= record.entry.revision || record.gone || record.gone_at.is_some() {
            return;
        }
        let grace_ms = if store_was_down { LAPSE_GRACE_MS } else { 0 };
        record.gone_at = Some(now + grace_ms);
        self.version += 1;
        self.expire_missing(now);
    }

    /// Marks upstreams as gone whose entries have been missing for long enough.
    pub fn expire_missing(&mut self, now: ClockTime) {
        for record in &mut self.records {
            if record.gone_at.is_some_and(|at| now >= at) && !record.gone {
                record.gone = true;
                self.version += 1;
            }
        }
    }

    /// Ids and revisions of the upstreams that are not gone, for comparison with a full read of the
    /// registry.
    pub fn known_revisions(&self) -> Vec<(String, u64)> {
        let records = self.iter();
        records
            .map(|(_, record)| (record.entry.id.clone(), record.entry.revision))
            .collect()
    }

    /// Makes the upstream suspect after a failure that may mean that it is dead.
    pub fn suspect(&mut self, now: ClockTime, key: UpstreamKey) {
        let record = &mut self.records[key.0 as usize];
        if now >= record.suspect_until {
            let suspect_ms = SUSPECT_MS << record.suspicions.min(4);
            record.suspect_until = now + suspect_ms.min(MAX_SUSPECT_MS);
            record.suspicions += 1;
            self.version += 1;
        }
    }

    /// Records an engine's report to this gateway that the replica is dead or cut off.
    pub fn report_dead(&mut self, now: ClockTime, key: UpstreamKey) {
        self.record_death(
            key,
            DeathReport {
                at: now,
                direct: true,
            },
        );
    }

    /// Records a peer's message that an engine reported the replica dead `ago_ms` milliseconds ago.
    /// Returns whether the report is new and not refuted by a later heartbeat.
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

    /// Records a replica's slowdown. `direct` says that the replica reported it to this gateway and
    /// not to a peer. Returns whether the slowdown changed by more than `SLOWDOWN_CHANGE`.
    pub fn apply_slowdown(
        &mut self,
        now: ClockTime,
        key: UpstreamKey,
        slowdown: f64,
        direct: bool,
    ) -> bool {
        let record = &mut self.records[key.0 as usize];
        let previous = record.slowdown(now);
        // An invalid or implausibly small value must not make a replica attractive.
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

    /// Pauses new requests to a replica that refused one: it has no capacity, or is about to be
    /// found dead.
    pub fn pause(&mut self, now: ClockTime, key: UpstreamKey) {
        let record = &mut self.records[key.0 as usize];
        record.paused_until = record.paused_until.max(now + REFUSAL_PAUSE_MS);
    }

    /// Records a failed exchange. Single failures also occur at healthy upstreams, so only several
    /// in a row make it suspect.
    pub fn record_failure(&mut self, now: ClockTime, key: UpstreamKey) {
        let record = &mut self.records[key.0 as usize];
        record.consecutive_failures += 1;
        record.failure_rate += (1.0 - record.failure_rate) * FAILURE_WEIGHT;
        if record.consecutive_failures >= FAILURES_TO_SUSPECT {
            self.suspect(now, key);
        }
    }

    /// Records a successful exchange.
    pub fn record_success(&mut self, key: UpstreamKey) {
        let record = &mut self.records[key.0 as usize];
        record.suspicions = 0;
        record.consecutive_failures = 0;
        record.failure_rate -= record.failure_rate * FAILURE_WEIGHT;
    }

    /// Marks the upstream as draining: another one answers at its address, or it says itself that
    /// it is shutting down.
    pub fn mark_draining(&mut self, key: UpstreamKey) {
        let record = &mut self.records[key.0 as usize];
        if !record.entry.draining {
            record.entry.draining = true;
            self.version += 1;
        }
    }

    /// Adds a request of this gateway that needs `reserved` tokens times layers.
    pub fn add_request(&mut self, key: UpstreamKey, reserved: f64) {
        let record = &mut self.records[key.0 as usize];
        record.in_flight += 1;
        record.reserved += reserved;
        record.unreported.in_flight += 1.0;
        record.unreported.reserved += reserved;
    }

    /// Removes a request of this gateway that was added with the same `reserved`.
    pub fn remove_request(&mut self, key: UpstreamKey, reserved: f64) {
        let record = &mut self.records[key.0 as usize];
        assert!(record.in_flight > 0, "no request in flight to remove");
        record.in_flight -= 1;
        record.reserved = (record.reserved - reserved).max(0.0);
        record.unreported.in_flight -= 1.0;
        record.unreported.reserved -= reserved;
    }

    /// Resets the unreported load after a load report to the peers.
    pub fn reset_unreported(&mut self) {
        for record in &mut self.records {
            record.unreported = UnreportedLoad::default();
        }
    }
}
