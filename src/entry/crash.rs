//! Requests that were on upstreams when those died.
//!
//! A request is known by the hash of its team, model and prompt, so that a resend is known again
//! at any entry, and another team's request with the same text is not.

use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::wire::gen::{CrashNotice, CrashRecord};

/// Upstreams that may die of one request.
pub const CRASH_LIMIT: u32 = 2;
/// Time for which a request that reached the limit is refused, milliseconds.
pub const QUARANTINE_MS: u64 = 600_000;
/// Time for which a request below the limit is remembered, milliseconds.
const SUSPICION_MS: u64 = 60_000;
/// Time for which a resend waits after another entry saw an upstream die, milliseconds.
const HOLD_MS: u64 = 5_000;
/// Time for which a cleared request is kept, to tell peers, milliseconds.
const CLEARED_MS: u64 = 1_000;
/// Requests remembered.
const RECORD_LIMIT: usize = 4_096;
/// Records told to a peer at a time.
const NOTICE_RECORDS: usize = 64;

/// Hash of a request's team, model and prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashFingerprint(pub [u8; 16]);

impl CrashFingerprint {
    /// The fingerprint of a request.
    pub fn of(team: &str, model: &str, prompt: &str) -> CrashFingerprint {
        let mut hasher = blake3::Hasher::new_derive_key("lynxcart 2026-12 crash fingerprint");
        for part in [team, model, prompt] {
            hasher.update(&u64::try_from(part.len()).unwrap_or(u64::MAX).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut hash = [0; 16];
        hasher.finalize_xof().fill(&mut hash);
        CrashFingerprint(hash)
    }
}

#[derive(Clone, Copy, Debug)]
struct CrashEntry {
    crashes: u32,
    until: ClockTime,
    /// Another entry may be trying it, up to this time.
    held_until: ClockTime,
    /// Not yet told to every peer.
    fresh: bool,
}

/// What an entry knows of requests that upstreams died of.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    entries: BTreeMap<CrashFingerprint, CrashEntry>,
}

impl CrashTable {
    /// Counts one more upstream that died with the request. Returns the count.
    pub fn blame(&mut self, now: ClockTime, fingerprint: CrashFingerprint) -> u32 {
        let crashes = self.crashes(now, fingerprint) + 1;
        self.insert(now, fingerprint, crashes, remember_ms(crashes), true);
        crashes
    }

    /// Upstreams that died with the request, as far as is remembered.
    pub fn crashes(&self, now: ClockTime, fingerprint: CrashFingerprint) -> u32 {
        let entry = self.entries.get(&fingerprint);
        entry
            .filter(|entry| entry.until > now)
            .map_or(0, |entry| entry.crashes)
    }

    /// Time for which the request is still refused, milliseconds.
    pub fn quarantine_ms(&self, now: ClockTime, fingerprint: CrashFingerprint) -> Option<u64> {
        let entry = self.entries.get(&fingerprint)?;
        let refused = entry.crashes >= CRASH_LIMIT && entry.until > now;
        refused.then(|| entry.until.since(now))
    }

    /// Time for which a resend must wait, since another entry has just seen an upstream die with
    /// the request and may be trying it again, milliseconds.
    pub fn held_ms(&self, now: ClockTime, fingerprint: CrashFingerprint) -> Option<u64> {
        let entry = self.entries.get(&fingerprint)?;
        (entry.held_until > now).then(|| entry.held_until.since(now))
    }

    /// The request gave its whole answer: no upstream died of it. Peers are told.
    pub fn clear(&mut self, now: ClockTime, fingerprint: CrashFingerprint) {
        if self.entries.contains_key(&fingerprint) {
            self.insert(now, fingerprint, 0, CLEARED_MS, true);
        }
    }

    /// Takes in what a peer knows.
    pub fn hear(&mut self, now: ClockTime, notice: CrashNotice) {
        for record in notice.records {
            let Ok(hash) = <[u8; 16]>::try_from(record.fingerprint) else {
                continue;
            };
            let fingerprint = CrashFingerprint(hash);
            if record.crashes == 0 {
                self.entries.remove(&fingerprint);
            } else if record.crashes > self.crashes(now, fingerprint) {
                let remaining = record.remaining_ms.min(QUARANTINE_MS);
                // Whoever saw it tells all: one who heard of it only gossips.
                self.insert(now, fingerprint, record.crashes, remaining, false);
                if let Some(entry) = self.entries.get_mut(&fingerprint) {
                    entry.held_until = now + HOLD_MS;
                }
            }
        }
    }

    /// What peers have not been told yet, if there is something.
    pub fn news(&mut self, now: ClockTime) -> Option<CrashNotice> {
        let fresh = self.entries.iter_mut().filter(|(_, entry)| entry.fresh);
        let records: Vec<CrashRecord> = fresh
            .take(NOTICE_RECORDS)
            .map(|(fingerprint, entry)| {
                entry.fresh = false;
                crash_record(now, *fingerprint, entry)
            })
            .collect();
        (!records.is_empty()).then_some(CrashNotice { records })
    }

    /// The requests that are refused now, for a peer that may not have heard.
    pub fn quarantined(&mut self, now: ClockTime) -> Option<CrashNotice> {
        self.entries.retain(|_, entry| entry.until > now);
        let refused = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.crashes >= CRASH_LIMIT);
        let records: Vec<CrashRecord> = refused
            .take(NOTICE_RECORDS)
            .map(|(fingerprint, entry)| crash_record(now, *fingerprint, entry))
            .collect();
        (!records.is_empty()).then_some(CrashNotice { records })
    }

    fn insert(
        &mut self,
        now: ClockTime,
        fingerprint: CrashFingerprint,
        crashes: u32,
        remaining_ms: u64,
        fresh: bool,
    ) {
        if self.entries.len() >= RECORD_LIMIT {
            let first = self.entries.iter().min_by_key(|(_, entry)| entry.until);
            if let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) {
                self.entries.remove(&fingerprint);
            }
        }
        let entry = CrashEntry {
            crashes,
            until: now + remaining_ms,
            held_until: ClockTime::default(),
            fresh,
        };
        self.entries.insert(fingerprint, entry);
    }
}

fn remember_ms(crashes: u32) -> u64 {
    if crashes >= CRASH_LIMIT {
        QUARANTINE_MS
    } else {
        SUSPICION_MS
    }
}

fn crash_record(now: ClockTime, fingerprint: CrashFingerprint, entry: &CrashEntry) -> CrashRecord {
    CrashRecord {
        fingerprint: fingerprint.0.to_vec(),
        crashes: entry.crashes,
        remaining_ms: entry.until.since(now),
    }
}
