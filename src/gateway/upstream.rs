//! The upstreams that registered themselves: who lives, who leaves, who is suspect, and what this
//! entry has in flight at each.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::clock::ClockTime;

/// How long an upstream that failed is passed over, milliseconds; doubled at each failure in a
/// row up to [`SUSPECT_MOST_MS`].
const SUSPECT_MS: u64 = 1_000;
/// Age up to which a replica's word of its pace counts, milliseconds.
const PACE_MS: u64 = 6_000;
/// Highest pace that is told apart.
const PACE_MOST: f64 = 1_000.0;
/// Relative change of a pace that is worth a line in the log.
const PACE_CHANGE: f64 = 0.2;
/// Failed exchanges in a row that make an upstream a suspect.
const FAILURES_MOST: u32 = 3;
/// Weight of the newest exchange in the part that failed.
const TROUBLE_PART: f64 = 0.1;
/// Time for which a replica that refused for want of room gets nothing new, milliseconds.
const SHUN_MS: u64 = 250;
/// Longest time for which a failed upstream is passed over, milliseconds.
const SUSPECT_MOST_MS: u64 = 4_000;
/// Time for which a replica that an engine named as dead counts so without other word,
/// milliseconds: its entry lapses within three heartbeats.
const NAMED_MS: u64 = 4_500;
/// Time that a heartbeat may be on its way to a gateway, milliseconds.
const BEAT_DELAY_MS: u64 = 1_500;
/// Time for which a vanished entry is kept when the store was away just before, milliseconds:
/// entries of living upstreams are back within two seconds.
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

    /// Whether it has no layer.
    pub fn is_empty(self) -> bool {
        self.len() == 0
    }
}

impl std::fmt::Display for LayerRange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}-{}", self.from, self.to)
    }
}

/// What an upstream says of itself in the registry.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Its name.
    pub id: String,
    /// Start of its incarnation, Unix milliseconds; zero when unknown.
    pub born: u64,
    /// The service it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Kind of its accelerator; empty for a plain service.
    pub kind: String,
    /// Layers that it holds.
    pub layers: LayerRange,
    /// Store revision of this word.
    pub revision: u64,
}

/// Number of an upstream's incarnation in the [`UpstreamTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamKey(pub u32);

/// A replica's word of its pace: how many times as long as usual its work takes.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PaceWord {
    pace: f64,
    at: ClockTime,
    /// Whether this gateway asked it, and so tells the others.
    first_hand: bool,
}

/// An engine's word that a replica is dead or cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NamedDead {
    at: ClockTime,
    /// Whether this gateway was told by the engine itself, and so tells the others.
    first_hand: bool,
}

/// One incarnation of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRecord {
    /// Its own word.
    pub entry: UpstreamEntry,
    /// When it left the registry.
    pub gone: bool,
    /// When a vanished entry counts as gone.
    gone_at: Option<ClockTime>,
    /// Passed over until then.
    suspect_until: ClockTime,
    /// Gets nothing new until then: it had no room, or may be about to be found dead.
    shun_until: ClockTime,
    /// When an engine named it as dead, to this gateway or to another, unless it has been heard
    /// of since.
    named: Option<NamedDead>,
    /// When it was last heard of.
    heard: ClockTime,
    /// Times in a row that it became a suspect.
    failures: u32,
    /// Failed exchanges in a row.
    in_a_row: u32,
    /// Its own word of its pace.
    pace: Option<PaceWord>,
    /// Part of the exchanges that failed of late, 0 to 1.
    pub trouble: f64,
    /// Requests of this entry in flight there.
    pub in_flight: u32,
    /// Tokens times layers that these are expected to need.
    pub reserved: f64,
    /// What came to these since peers were last told, less what ended.
    pub untold: UntoldLoad,
}

/// Load of this entry that its peers do not know of yet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UntoldLoad {
    /// Requests.
    pub in_flight: f64,
    /// Tokens times layers.
    pub reserved: f64,
}

impl UpstreamRecord {
    /// Whether new work may go there.
    pub fn usable(&self, now: ClockTime) -> bool {
        self.listed() && !self.suspected(now) && now >= self.shun_until
    }

    /// Whether an engine named it as dead and nothing was heard of it since.
    pub fn named_dead(&self, now: ClockTime) -> bool {
        self.named
            .is_some_and(|named| now.since(named.at) < NAMED_MS)
    }

    /// Whether work failed there of late in a way that speaks against it.
    pub fn suspected(&self, now: ClockTime) -> bool {
        now < self.suspect_until || self.named_dead(now)
    }

    /// How long ago an engine named it as dead to this gateway, milliseconds.
    pub fn named_ago(&self, now: ClockTime) -> Option<u64> {
        let named = self.named.filter(|named| named.first_hand);
        named
            .map(|named| now.since(named.at))
            .filter(|ago| *ago < NAMED_MS)
    }

    /// How many times as long as usual its work takes; one when that is not known.
    pub fn pace(&self, now: ClockTime) -> f64 {
        let word = self.pace.filter(|word| now.since(word.at) < PACE_MS);
        word.map_or(1.0, |word| word.pace)
    }

    /// Its pace, if this gateway was told it by the replica itself of late.
    pub fn own_pace(&self, now: ClockTime) -> Option<f64> {
        let word = self
            .pace
            .filter(|word| word.first_hand && now.since(word.at) < PACE_MS);
        word.map(|word| word.pace)
    }

    /// Whether a request that is silent may be waiting for it.
    pub fn doubtful(&self, now: ClockTime) -> bool {
        !self.listed() || self.suspected(now) || now < self.shun_until
    }

    /// Whether it is alive as far as the registry knows, whatever this entry suspects.
    pub fn listed(&self) -> bool {
        !self.gone && !self.entry.draining && self.gone_at.is_none()
    }
}

/// All incarnations of upstreams that this process has heard of.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    records: Vec<UpstreamRecord>,
    ids: HashMap<String, UpstreamKey>,
    version: u64,
}

impl UpstreamTable {
    /// Grows with each change of who holds what or may be used.
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

    /// The living upstream at an address.
    pub fn at(&self, address: SocketAddr) -> Option<UpstreamKey> {
        let mut found = self.iter();
        found
            .find(|(_, record)| record.entry.address == address)
            .map(|(key, _)| key)
    }

    /// Takes an upstream's word. Returns whether something changed that others build on.
    pub fn hear(&mut self, now: ClockTime, entry: UpstreamEntry) -> bool {
        if let Some(key) = self.ids.get(&entry.id).copied() {
            let record = &mut self.records[key.0 as usize];
            if entry.revision < record.entry.revision {
                return false;
            }
            if record.entry.born == entry.born && !record.gone {
                if entry.revision > record.entry.revision {
                    record.heard = now;
                    // A heartbeat that was on its way when the replica died proves nothing.
                    if record
                        .named
                        .is_some_and(|named| now >= named.at + BEAT_DELAY_MS)
                    {
                        record.named = None;
                    }
                }
                let changed = record.gone_at.take().is_some()
                    || record.entry.draining != entry.draining
                    || record.entry.layers != entry.layers
                    || record.entry.address != entry.address;
                // A leaving upstream does not come back in the same incarnation.
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
            shun_until: now,
            named: None,
            heard: now,
            failures: 0,
            in_a_row: 0,
            trouble: 0.0,
            pace: None,
            in_flight: 0,
            reserved: 0.0,
            untold: UntoldLoad::default(),
        });
        self.version += 1;
        true
    }

    /// The entry of `id` was removed at `revision`. When the store was away just before, the
    /// upstream is kept for a while, since entries lapse then whose upstreams live.
    pub fn removed(&mut self, now: ClockTime, id: &str, revision: u64, store_was_away: bool) {
        let Some(key) = self.ids.get(id).copied() else {
            return;
        };
        let record = &mut self.records[key.0 as usize];
        if revision <= record.entry.revision || record.gone || record.gone_at.is_some() {
            return;
        }
        let wait = if store_was_away { LAPSE_GRACE_MS } else { 0 };
        record.gone_at = Some(now + wait);
        self.version += 1;
        self.settle(now);
    }

    /// Ends what has been missing long enough.
    pub fn settle(&mut self, now: ClockTime) {
        for record in &mut self.records {
            if record.gone_at.is_some_and(|at| now >= at) && !record.gone {
                record.gone = true;
                self.version += 1;
            }
        }
    }

    /// The ids that are known and not gone, for comparison with a whole read of the registry.
    pub fn ids(&self) -> Vec<(String, u64)> {
        let living = self.iter();
        living
            .map(|(_, record)| (record.entry.id.clone(), record.entry.revision))
            .collect()
    }

    /// Work failed there in a way that speaks against the upstream.
    pub fn suspect(&mut self, now: ClockTime, key: UpstreamKey) {
        let record = &mut self.records[key.0 as usize];
        if now >= record.suspect_until {
            let wait = SUSPECT_MS << record.failures.min(4);
            record.suspect_until = now + wait.min(SUSPECT_MOST_MS);
            record.failures += 1;
            self.version += 1;
        }
    }

    /// An engine named the replica as dead or cut off.
    pub fn name_dead(&mut self, now: ClockTime, key: UpstreamKey) {
        self.take_name(
            key,
            NamedDead {
                at: now,
                first_hand: true,
            },
        );
    }

    /// Another gateway was told so by an engine, some milliseconds ago. Returns whether that is
    /// news.
    pub fn hear_named(&mut self, now: ClockTime, key: UpstreamKey, ago_ms: u64) -> bool {
        let record = &self.records[key.0 as usize];
        let at = now - ago_ms;
        let heard = record.heard >= at + BEAT_DELAY_MS;
        let news = !heard && !record.named_dead(now);
        if news {
            self.take_name(
                key,
                NamedDead {
                    at,
                    first_hand: false,
                },
            );
        }
        news
    }

    fn take_name(&mut self, key: UpstreamKey, named: NamedDead) {
        self.records[key.0 as usize].named = Some(named);
        self.version += 1;
    }

    /// A replica told its pace, to this gateway or to another. Returns whether it changed much.
    pub fn hear_pace(
        &mut self,
        now: ClockTime,
        key: UpstreamKey,
        pace: f64,
        first_hand: bool,
    ) -> bool {
        let record = &mut self.records[key.0 as usize];
        let before = record.pace(now);
        // An unbelievable pace must not make a replica attractive.
        let pace = if pace.is_finite() {
            pace.clamp(1.0, PACE_MOST)
        } else {
            PACE_MOST
        };
        record.pace = Some(PaceWord {
            pace,
            at: now,
            first_hand,
        });
        (pace - before).abs() > before * PACE_CHANGE
    }

    /// A replica of a chain refused: it had no room, or it is about to be found dead.
    pub fn shun(&mut self, now: ClockTime, key: UpstreamKey) {
        let record = &mut self.records[key.0 as usize];
        record.shun_until = record.shun_until.max(now + SHUN_MS);
    }

    /// An exchange failed there. Some fail at an upstream that does well otherwise, so that only
    /// several in a row make it a suspect.
    pub fn fail(&mut self, now: ClockTime, key: UpstreamKey) {
        let record = &mut self.records[key.0 as usize];
        record.in_a_row += 1;
        record.trouble += (1.0 - record.trouble) * TROUBLE_PART;
        if record.in_a_row >= FAILURES_MOST {
            self.suspect(now, key);
        }
    }

    /// Work went well there.
    pub fn praise(&mut self, key: UpstreamKey) {
        let record = &mut self.records[key.0 as usize];
        record.failures = 0;
        record.in_a_row = 0;
        record.trouble -= record.trouble * TROUBLE_PART;
    }

    /// The upstream at this address is another one, or leaving by its own word.
    pub fn misplaced(&mut self, key: UpstreamKey) {
        let record = &mut self.records[key.0 as usize];
        if !record.entry.draining {
            record.entry.draining = true;
            self.version += 1;
        }
    }

    /// A request goes there.
    pub fn begin(&mut self, key: UpstreamKey, reserved: f64) {
        let record = &mut self.records[key.0 as usize];
        record.in_flight += 1;
        record.reserved += reserved;
        record.untold.in_flight += 1.0;
        record.untold.reserved += reserved;
    }

    /// A request ended there.
    pub fn end(&mut self, key: UpstreamKey, reserved: f64) {
        let record = &mut self.records[key.0 as usize];
        assert!(record.in_flight > 0, "a request ended that never began");
        record.in_flight -= 1;
        record.reserved = (record.reserved - reserved).max(0.0);
        record.untold.in_flight -= 1.0;
        record.untold.reserved -= reserved;
    }

    /// Peers were told what this entry has in flight.
    pub fn told(&mut self) {
        for record in &mut self.records {
            record.untold = UntoldLoad::default();
        }
    }
}
