//! Replicas that crashed while they ran a request. A request that crashes replicas is resent by its
//! caller, to any gateway, so that all gateways count together and refuse it at the same number.
//!
//! Crashes merge as sets: each is told to the peers more than once, in any order, and counts once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::{Arc, Mutex};

use crate::clock::ClockTime;
use crate::fingerprint::RequestFingerprint;
use crate::gateway::part_ledger::ReplicaEnd;
use crate::wire::gen::{ReplicaCrash, RequestCrashes};

/// Number of crashes at which a request is quarantined.
pub const MAX_CRASHES: usize = 3;
/// Time from the last crash for which a quarantined request is refused, milliseconds.
pub const QUARANTINE_MS: u64 = 600_000;
/// Time from the last crash for which a request with fewer crashes is remembered, milliseconds.
const SUSPECT_RETENTION_MS: u64 = 60_000;
/// Time for which a completion is remembered, milliseconds: crashes that peers report late are from
/// before it.
const COMPLETION_RETENTION_MS: u64 = 5_000;
/// Crashes of one replica that gateways observe less than this apart are the same, milliseconds. A
/// replica takes longer to start again.
pub(super) const SAME_CRASH_MS: u64 = 1_000;
/// Crashes under one request that follow each other within this time are taken for one failure of
/// several replicas, milliseconds.
const SUCCESSION_MS: u64 = 1_000;
/// Number of times that each change is reported to the peers, since datagrams get lost.
const REPORT_REPEATS: u32 = 3;
/// Upper bound of the changes in one call of [`CrashLedger::take_reports`].
const MAX_REPORTS: usize = 64;
/// Number of quarantined requests in each call, in turn, for peers that missed the change.
const QUARANTINES_REPEATED: usize = 4;
/// Upper bound of the requests in the ledger. The loss of a busy replica adds hundreds, nearly all
/// of which complete in their next attempt.
const MAX_HISTORIES: usize = 8_192;

/// Crashes under one request as its caller sent it, over all its attempts and reroutes. A request
/// that meets a failure of several replicas at once loses attempts at them one after the other, so
/// that crashes in quick succession count once, unless the same request met crashes before it was
/// resent.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrashSeries {
    crashes: usize,
    counted: usize,
    counted_at: ClockTime,
}

impl CrashSeries {
    /// Whether the request has to be given up, whatever is known of others that are the same.
    pub fn is_exhausted(&self) -> bool {
        self.crashes >= MAX_CRASHES
    }

    /// Whether the request will have to be given up if as many more replicas crashed under it as
    /// `open_ends`.
    pub fn may_be_exhausted(&self, open_ends: usize) -> bool {
        self.crashes + open_ends >= MAX_CRASHES
    }
}

/// The series of one request, shared with what is remembered of its runs.
pub type SharedSeries = Arc<Mutex<CrashSeries>>;

/// A crash, in the time of this gateway's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Crash {
    replica: SocketAddr,
    at: ClockTime,
    /// Identifies the observation. A copy of a report may arrive much later than the first.
    observation: u64,
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
struct CrashHistory {
    /// Crashes since the last completion, at most [`MAX_CRASHES`].
    crashes: Vec<Crash>,
    /// Whether the request is refused. Its crashes may be unknown here.
    quarantined: bool,
    /// Whether this gateway observed any of the crashes itself.
    observed_here: bool,
    expires_at: ClockTime,
    reports_left: u32,
}

impl CrashHistory {
    fn completed(&self) -> bool {
        self.crashes.is_empty() && !self.quarantined
    }

    /// Adds a crash unless it is known. Returns whether it was added.
    fn add(&mut self, crash: Crash) -> bool {
        let is_same = |known: &Crash| {
            let apart = known.at.since(crash.at).max(crash.at.since(known.at));
            known.observation == crash.observation
                || known.replica == crash.replica && apart < SAME_CRASH_MS
        };
        if self.quarantined || self.crashes.iter().any(is_same) {
            return false;
        }
        self.crashes.push(crash);
        self.quarantined = self.crashes.len() >= MAX_CRASHES;
        let retention_ms = match self.quarantined {
            true => QUARANTINE_MS,
            false => SUSPECT_RETENTION_MS,
        };
        self.expires_at = self.expires_at.max(crash.at + retention_ms);
        true
    }

    fn report(&self, now: ClockTime, fingerprint: RequestFingerprint) -> RequestCrashes {
        let crashes = self.crashes.iter().map(|crash| ReplicaCrash {
            address: crash.replica.to_string(),
            ago_ms: u32::try_from(now.since(crash.at)).unwrap_or(u32::MAX),
            observation: crash.observation,
        });
        RequestCrashes {
            fingerprint: fingerprint.0.to_vec(),
            crashes: crashes.collect(),
            quarantine_ms: match self.quarantined {
                true => u32::try_from(self.expires_at.since(now)).unwrap_or(u32::MAX),
                false => 0,
            },
        }
    }
}

/// Crashes under requests, as known to one gateway.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    histories: BTreeMap<RequestFingerprint, CrashHistory>,
    /// The quarantined request that was repeated last.
    repeated: Option<RequestFingerprint>,
    swept_at: ClockTime,
}

impl CrashLedger {
    /// Records that a replica crashed while it ran a request of this gateway. `observation` is a
    /// random number. Returns the number of crashes counted so far if this one counts.
    pub fn record_crash(
        &mut self,
        now: ClockTime,
        fingerprint: RequestFingerprint,
        series: &mut CrashSeries,
        replica: SocketAddr,
        observation: u64,
    ) -> Option<usize> {
        series.crashes += 1;
        let history = self.history(now, fingerprint)?;
        let is_first = history.crashes.len() <= series.counted;
        if is_first && series.counted > 0 && now.since(series.counted_at) < SUCCESSION_MS {
            return None;
        }
        let crash = Crash {
            replica,
            at: now,
            observation,
        };
        if !history.add(crash) {
            return None;
        }
        series.counted += 1;
        series.counted_at = now;
        history.reports_left = REPORT_REPEATS;
        history.observed_here = true;
        Some(history.crashes.len())
    }

    /// Records that a request completed, so that it did not cause the crashes known so far.
    pub fn record_completion(&mut self, now: ClockTime, fingerprint: RequestFingerprint) {
        if let Some(history) = self.histories.get_mut(&fingerprint) {
            if !history.completed() {
                *history = CrashHistory {
                    expires_at: now + COMPLETION_RETENTION_MS,
                    reports_left: REPORT_REPEATS,
                    ..CrashHistory::default()
                };
            }
        }
    }

    /// Forgets crashes whose cause was found in the prompts of other requests. What was quarantined
    /// for them counts as completed, and is returned.
    pub fn forgive(&mut self, now: ClockTime, ends: &[ReplicaEnd]) -> Vec<RequestFingerprint> {
        let mut released = Vec::new();
        for (fingerprint, history) in &mut self.histories {
            let before = history.crashes.len();
            history.crashes.retain(|crash| {
                let (replica, at) = (crash.replica, crash.at);
                !ends
                    .iter()
                    .any(|end| end.is_same(ReplicaEnd { replica, at }))
            });
            let is_changed = history.crashes.len() < before;
            if is_changed && (history.quarantined || history.crashes.is_empty()) {
                if history.quarantined {
                    released.push(*fingerprint);
                }
                *history = CrashHistory {
                    expires_at: now + COMPLETION_RETENTION_MS,
                    reports_left: REPORT_REPEATS,
                    ..CrashHistory::default()
                };
            }
        }
        released
    }

    /// Remaining time for which a request is refused, milliseconds; `None` if it may be sent.
    pub fn quarantine_ms(&self, now: ClockTime, fingerprint: RequestFingerprint) -> Option<u64> {
        let history = self.histories.get(&fingerprint)?;
        let is_in_force = history.quarantined && now < history.expires_at;
        is_in_force.then(|| history.expires_at.since(now))
    }

    /// Quarantines a request that was quarantined by another gateway, or before a restart, for
    /// `remaining_ms` milliseconds, unless it has just completed. Returns whether it was not
    /// quarantined before.
    pub fn quarantine(
        &mut self,
        now: ClockTime,
        fingerprint: RequestFingerprint,
        remaining_ms: u64,
    ) -> bool {
        let Some(history) = self.history(now, fingerprint) else {
            return false;
        };
        if history.completed() && now < history.expires_at {
            return false;
        }
        let until = now + remaining_ms.min(QUARANTINE_MS);
        history.expires_at = history.expires_at.max(until);
        !std::mem::replace(&mut history.quarantined, true)
    }

    /// The requests that are quarantined for `remaining_ms` milliseconds more at least.
    pub fn quarantined(
        &self,
        now: ClockTime,
        remaining_ms: u64,
    ) -> impl Iterator<Item = RequestFingerprint> + '_ {
        let histories = self.histories.iter();
        let quarantined = histories.filter(move |(_, history)| {
            history.quarantined && history.expires_at >= now + remaining_ms
        });
        quarantined.map(|(fingerprint, _)| *fingerprint)
    }

    /// Whether this gateway observed any of the crashes under a request itself.
    pub fn observed_here(&self, fingerprint: RequestFingerprint) -> bool {
        let history = self.histories.get(&fingerprint);
        history.is_some_and(|history| history.observed_here)
    }

    /// Merges a peer's report. Returns the request if it is quarantined because of this report.
    pub fn apply_report(
        &mut self,
        now: ClockTime,
        report: &RequestCrashes,
    ) -> Option<RequestFingerprint> {
        let hash = <[u8; 16]>::try_from(&report.fingerprint[..]).ok()?;
        let fingerprint = RequestFingerprint(hash);
        if report.crashes.is_empty() && report.quarantine_ms == 0 {
            let history = self.histories.get_mut(&fingerprint)?;
            *history = CrashHistory {
                expires_at: now + COMPLETION_RETENTION_MS,
                ..CrashHistory::default()
            };
            return None;
        }
        let history = self.history(now, fingerprint)?;
        if history.quarantined || (history.completed() && now < history.expires_at) {
            return None;
        }
        for crash in &report.crashes {
            let ago_ms = u64::from(crash.ago_ms);
            if let (Ok(replica), true) = (crash.address.parse(), ago_ms < QUARANTINE_MS) {
                let at = now - ago_ms;
                let observation = crash.observation;
                history.add(Crash {
                    replica,
                    at,
                    observation,
                });
            }
        }
        let is_new = history.quarantined
            || report.quarantine_ms > 0
                && self.quarantine(now, fingerprint, report.quarantine_ms.into());
        is_new.then_some(fingerprint)
    }

    /// Returns the changes to report to the peers now, those of requests with most crashes first,
    /// and some of the quarantined requests again.
    pub fn take_reports(&mut self, now: ClockTime) -> Vec<RequestCrashes> {
        self.sweep(now);
        let mut reports: Vec<RequestCrashes> = Vec::new();
        for _ in 0..QUARANTINES_REPEATED {
            let after = self.repeated.map_or(Bound::Unbounded, Bound::Excluded);
            let mut later = self.histories.range((after, Bound::Unbounded));
            let next = later.find(|(_, history)| history.quarantined);
            self.repeated = next.map(|(fingerprint, _)| *fingerprint);
            let Some((fingerprint, history)) = next else {
                break;
            };
            reports.push(history.report(now, *fingerprint));
        }
        for crash_count in (0..=MAX_CRASHES).rev() {
            for (fingerprint, history) in &mut self.histories {
                if reports.len() >= MAX_REPORTS {
                    return reports;
                }
                if history.reports_left > 0 && history.crashes.len() == crash_count {
                    history.reports_left -= 1;
                    reports.push(history.report(now, *fingerprint));
                }
            }
        }
        reports
    }

    /// The history of a request, which is created if there is room.
    fn history(
        &mut self,
        now: ClockTime,
        fingerprint: RequestFingerprint,
    ) -> Option<&mut CrashHistory> {
        if self.histories.len() >= MAX_HISTORIES && !self.histories.contains_key(&fingerprint) {
            self.sweep(now);
            if self.histories.len() >= MAX_HISTORIES {
                spdlog::debug!("event=crash_not_recorded fingerprint={fingerprint} reason=full");
                return None;
            }
        }
        let history = self.histories.entry(fingerprint).or_default();
        if now >= history.expires_at {
            *history = CrashHistory::default();
        }
        Some(history)
    }

    /// Drops what has expired, at most once in each interval of reports.
    fn sweep(&mut self, now: ClockTime) {
        if now.since(self.swept_at) >= crate::gateway::peer::LOAD_INTERVAL_MS {
            self.swept_at = now;
            self.histories.retain(|_, history| now < history.expires_at);
        }
    }
}
