//! Tracking of requests that were running on upstreams when those crashed.
//!
//! A request is identified by a hash of its team, model and prompt, so that every entry recognises
//! a resent request, while the same prompt from another team is a different request.

use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::fingerprint::RequestFingerprint;
use crate::wire::gen::{CrashNotice, CrashRecord};

/// Number of crashed upstreams at or above which a request is quarantined.
pub const MAX_CRASHES: u32 = 2;
/// Time for which a quarantined request is refused, in milliseconds.
pub const QUARANTINE_MS: u64 = 600_000;
/// Time for which a request with fewer than [`MAX_CRASHES`] crashes is remembered, in milliseconds.
const SUSPECT_RETENTION_MS: u64 = 60_000;
/// Time for which a resent request is refused after another entry reported that an upstream crashed
/// while running it, in milliseconds.
const HOLD_MS: u64 = 5_000;
/// Time for which a completed request is kept so that peers can be notified, in milliseconds.
const COMPLETED_RETENTION_MS: u64 = 1_000;
/// Maximum number of requests in the table; the one that expires first is evicted.
const MAX_RECORDS: usize = 4_096;
/// Maximum number of records in one [`CrashNotice`].
const MAX_NOTICE_RECORDS: usize = 64;

/// Crashes of upstreams counted against one request.
#[derive(Clone, Copy, Debug)]
struct CrashHistory {
    /// Number of crashed upstreams; zero for a request that has completed since.
    crashes: u32,
    expires_at: ClockTime,
    /// Until this time another entry may be running the request.
    hold_until: ClockTime,
    /// Whether the record still has to be sent to the peers.
    unsent: bool,
}

/// Requests that were running on upstreams when those crashed, as known to one entry.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    histories: BTreeMap<RequestFingerprint, CrashHistory>,
}

impl CrashTable {
    /// Counts one more crashed upstream against a request. Returns the new count.
    pub fn add_crash(&mut self, now: ClockTime, fingerprint: RequestFingerprint) -> u32 {
        let crashes = self.crash_count(now, fingerprint) + 1;
        self.insert(now, fingerprint, crashes, retention_ms(crashes), true);
        crashes
    }

    /// Number of upstreams that crashed while running the request; zero once the record has
    /// expired.
    pub fn crash_count(&self, now: ClockTime, fingerprint: RequestFingerprint) -> u32 {
        let history = self.histories.get(&fingerprint);
        history
            .filter(|history| history.expires_at > now)
            .map_or(0, |history| history.crashes)
    }

    /// Remaining time of the quarantine, in milliseconds; `None` when the request is not
    /// quarantined.
    pub fn quarantine_ms(&self, now: ClockTime, fingerprint: RequestFingerprint) -> Option<u64> {
        let history = self.histories.get(&fingerprint)?;
        let quarantined = history.crashes >= MAX_CRASHES && history.expires_at > now;
        quarantined.then(|| history.expires_at.since(now))
    }

    /// Remaining time for which a resent request is held back, in milliseconds: another entry has
    /// just reported a crash and may be running the request again. `None` when it is not held back.
    pub fn hold_ms(&self, now: ClockTime, fingerprint: RequestFingerprint) -> Option<u64> {
        let history = self.histories.get(&fingerprint)?;
        (history.hold_until > now).then(|| history.hold_until.since(now))
    }

    /// Sets the crashes of a request that has completed to zero, and schedules a notice to the
    /// peers.
    pub fn record_completion(&mut self, now: ClockTime, fingerprint: RequestFingerprint) {
        if self.histories.contains_key(&fingerprint) {
            self.insert(now, fingerprint, 0, COMPLETED_RETENTION_MS, true);
        }
    }

    /// Merges the records of a peer. A record without crashes removes the request; another one is
    /// applied only if it counts more crashes than this table, and the request is held for a time.
    pub fn apply_notice(&mut self, now: ClockTime, notice: CrashNotice) {
        for record in notice.records {
            let Ok(hash) = <[u8; 16]>::try_from(record.fingerprint) else {
                continue;
            };
            let fingerprint = RequestFingerprint(hash);
            if record.crashes == 0 {
                self.histories.remove(&fingerprint);
            } else if record.crashes > self.crash_count(now, fingerprint) {
                let remaining_ms = record.remaining_ms.min(QUARANTINE_MS);
                // Not forwarded: the entry that observed the crash sends the notice to its known
                // peers.
                self.insert(now, fingerprint, record.crashes, remaining_ms, false);
                if let Some(history) = self.histories.get_mut(&fingerprint) {
                    history.hold_until = now + HOLD_MS;
                }
            }
        }
    }

    /// Returns the records that have not been sent to the peers, and marks them as sent; `None`
    /// when there are none.
    pub fn take_unsent(&mut self, now: ClockTime) -> Option<CrashNotice> {
        let unsent = self
            .histories
            .iter_mut()
            .filter(|(_, history)| history.unsent);
        let records: Vec<CrashRecord> = unsent
            .take(MAX_NOTICE_RECORDS)
            .map(|(fingerprint, history)| {
                history.unsent = false;
                crash_record(now, *fingerprint, history)
            })
            .collect();
        (!records.is_empty()).then_some(CrashNotice { records })
    }

    /// Removes expired records and returns up to `MAX_NOTICE_RECORDS` quarantined requests, lowest
    /// fingerprints first, for a peer that may have missed a notice; `None` when there are none.
    pub fn quarantine_notice(&mut self, now: ClockTime) -> Option<CrashNotice> {
        self.histories.retain(|_, history| history.expires_at > now);
        let quarantined = self
            .histories
            .iter()
            .filter(|(_, history)| history.crashes >= MAX_CRASHES);
        let records: Vec<CrashRecord> = quarantined
            .take(MAX_NOTICE_RECORDS)
            .map(|(fingerprint, history)| crash_record(now, *fingerprint, history))
            .collect();
        (!records.is_empty()).then_some(CrashNotice { records })
    }

    fn insert(
        &mut self,
        now: ClockTime,
        fingerprint: RequestFingerprint,
        crashes: u32,
        remaining_ms: u64,
        unsent: bool,
    ) {
        if self.histories.len() >= MAX_RECORDS {
            let earliest = self
                .histories
                .iter()
                .min_by_key(|(_, history)| history.expires_at);
            if let Some(fingerprint) = earliest.map(|(fingerprint, _)| *fingerprint) {
                self.histories.remove(&fingerprint);
            }
        }
        let history = CrashHistory {
            crashes,
            expires_at: now + remaining_ms,
            hold_until: ClockTime::default(),
            unsent,
        };
        self.histories.insert(fingerprint, history);
    }
}

fn retention_ms(crashes: u32) -> u64 {
    if crashes >= MAX_CRASHES {
        QUARANTINE_MS
    } else {
        SUSPECT_RETENTION_MS
    }
}

fn crash_record(
    now: ClockTime,
    fingerprint: RequestFingerprint,
    history: &CrashHistory,
) -> CrashRecord {
    CrashRecord {
        fingerprint: fingerprint.0.to_vec(),
        crashes: history.crashes,
        remaining_ms: history.expires_at.since(now),
    }
}
