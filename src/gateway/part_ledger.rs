//! Parts of prompts that crash the replicas that begin to answer them. The requests that have such a
//! part differ in all else, and sound ones share all else with them, so that crashes are counted for
//! each shared part of a prompt, at all gateways together.
//!
//! A replica that crashes takes all its requests down. What tells the cause from the bystanders is
//! that answers on a sound part go on elsewhere: such an answer is a proof of its parts, and clears
//! them of the crashes before it began. Of the parts that remain, the one that has gone longest
//! without a proof is quarantined first, and explains its crashes for all others. A quarantine is
//! short at first; after it one request is let through, whose answer clears the part or confirms it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use eyre::{eyre, WrapErr};
use strum::{Display, EnumString};

use crate::clock::ClockTime;
use crate::fingerprint::RequestFingerprint;
use crate::gateway::crash_ledger::SAME_CRASH_MS;
use crate::wire::gen::{PartCrash, PartCrashes};

/// Number of crashes at which a part may be quarantined.
pub const MIN_CRASHES: usize = 3;
/// Time for which an answer has to go on to prove the parts of its prompt, milliseconds. A replica
/// that crashes on a part does so when it begins to write.
pub const PROOF_MS: u64 = 500;
/// Length of a quarantine before it is confirmed, milliseconds.
pub const PROBATION_MS: u64 = 4_000;
/// Length of a confirmed quarantine, milliseconds.
pub const CONFIRMED_MS: u64 = 600_000;
/// Age from which a crash is judged, milliseconds: by then all gateways have told which parts the
/// replica was running.
const SETTLE_MS: u64 = 200;
/// Age up to which a proof speaks for a part that is in all crashes, milliseconds. Such a part is
/// quarantined only after crashes on [`MIN_CRASHES`] occasions.
const RECENT_PROOF_MS: u64 = 60_000;
/// Crashes that follow each other within this time are one occasion, milliseconds.
const OCCASION_MS: u64 = 1_000;
/// Time from the first request in which a gateway lacks proofs of parts that are sound,
/// milliseconds.
const WARM_UP_MS: u64 = 5_000;
/// Time between two judgements from which a gateway was paused, milliseconds.
const MAX_JUDGE_GAP_MS: u64 = 1_000;
/// Time for which no second request is let through after one was, milliseconds.
const PROBE_MS: u64 = 5_000;
/// Time by which a request with several parts in quarantine is let through later than one with a
/// single one, milliseconds: only the latter's end tells which part is to blame.
pub const TRY_APART_MS: u64 = 2_000;
/// Time by which each gateway lets a request through later than the one before it, milliseconds.
const PROBE_STAGGER_MS: u64 = 2_000;
/// Upper bound of the gateways that let requests through one after the other; later ones do so
/// together.
const MAX_PROBE_RANK: usize = 30;
/// Time from the last crash for which a part that is not quarantined is remembered, milliseconds.
const SUSPECT_RETENTION_MS: u64 = 60_000;
/// Time for which a cleared part is remembered to tell the peers, milliseconds.
const CLEARED_RETENTION_MS: u64 = 5_000;
/// Number of times that each change is reported to the peers, since datagrams get lost.
const REPORT_REPEATS: u32 = 3;
/// Upper bound of the changes in one call of [`PartLedger::take_reports`].
const MAX_REPORTS: usize = 64;
/// Upper bound of the parts with crashes: the crash of one replica may add those of hundreds of
/// requests.
const MAX_HISTORIES: usize = 16_384;
/// Upper bound of the parts with a proof. Without room, only known parts are proved again.
const MAX_PROOFS: usize = 8_192;
/// Upper bound of the crashes of one part, of which the newest are kept.
const MAX_CRASHES_KEPT: usize = 16;
/// Upper bound of the requests told apart in one crash of a part.
const MAX_REQUESTS_KEPT: usize = 4;

/// A part of a prompt that requests share, as one service reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PromptPart {
    service: u64,
    id: u128,
}

impl PromptPart {
    /// The part `id` of prompts for a service.
    pub fn new(service: &str, id: u128) -> PromptPart {
        let hash = blake3::hash(service.as_bytes());
        let mut start = [0; 8];
        start.copy_from_slice(&hash.as_bytes()[..8]);
        PromptPart {
            service: u64::from_be_bytes(start),
            id,
        }
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.service, self.id)
    }
}

impl FromStr for PromptPart {
    type Err = eyre::Report;

    /// Parses the form that [`fmt::Display`] writes.
    fn from_str(text: &str) -> eyre::Result<PromptPart> {
        let halves = text.split_once('-');
        let (service, id) = halves.ok_or_else(|| eyre!("\"{text}\" has no \"-\""))?;
        let parse_error = || format!("\"{text}\" is not a part of a prompt");
        Ok(PromptPart {
            service: u64::from_str_radix(service, 16).wrap_err_with(parse_error)?,
            id: u128::from_str_radix(id, 16).wrap_err_with(parse_error)?,
        })
    }
}

/// A crash of a replica, in the time of this gateway's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaEnd {
    /// Address on which the replica listened.
    pub replica: SocketAddr,
    /// When the first gateway saw it.
    pub at: ClockTime,
}

impl ReplicaEnd {
    /// Whether two observations are of the same crash: a replica takes longer to start again.
    pub fn is_same(self, other: ReplicaEnd) -> bool {
        let apart = self.at.since(other.at).max(other.at.since(self.at));
        self.replica == other.replica && apart < SAME_CRASH_MS
    }
}

/// A request at a replica, as far as it may have crashed it.
#[derive(Clone, Debug)]
pub struct SuspectRun {
    /// Identifies the request when its caller sends it again.
    pub fingerprint: RequestFingerprint,
    /// Shared parts of its prompt.
    pub parts: Vec<PromptPart>,
}

impl SuspectRun {
    /// Tells the request from the few others in a crash of one part.
    fn digest(&self) -> u64 {
        let mut start = [0; 8];
        start.copy_from_slice(&self.fingerprint.0[..8]);
        u64::from_be_bytes(start)
    }
}

/// Whether a request may be sent, by the shared parts of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartVerdict {
    /// It may.
    Open,
    /// It may if it is the one that tries its parts again, see [`PartLedger::begin_probe`].
    Probe,
    /// It may not for this time, milliseconds.
    Barred(u64),
}

/// How sure it is that a part crashes replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum PartCertainty {
    /// It was in the crashes, and may have been beside their cause.
    Suspected,
    /// Replicas crashed on it again after its first quarantine.
    Confirmed,
}

impl PartCertainty {
    /// Length of the quarantine, milliseconds.
    pub fn quarantine_ms(self) -> u64 {
        match self {
            PartCertainty::Suspected => PROBATION_MS,
            PartCertainty::Confirmed => CONFIRMED_MS,
        }
    }
}

/// A part that is quarantined now, or for longer than before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartRuling {
    /// The part.
    pub part: PromptPart,
    /// How sure it is.
    pub certainty: PartCertainty,
    /// The crashes that it explains, as far as known here.
    pub crashes: Vec<ReplicaEnd>,
}

#[derive(Clone, Copy, Debug)]
struct PartQuarantine {
    /// When it was ruled last.
    since: ClockTime,
    /// Until when no request is let through.
    until: ClockTime,
    certainty: PartCertainty,
}

impl PartQuarantine {
    fn new(since: ClockTime, certainty: PartCertainty) -> PartQuarantine {
        PartQuarantine {
            since,
            until: since + certainty.quarantine_ms(),
            certainty,
        }
    }

    /// When the first request is let through. Crashes from then on are of requests that tried the
    /// part again.
    fn released_at(&self) -> ClockTime {
        self.since + self.certainty.quarantine_ms()
    }

    /// Merges what two gateways ruled: the surer one, then the first one unless it was confirmed again
    /// since.
    fn merge(self, other: PartQuarantine) -> PartQuarantine {
        let (first, second) = match self.since <= other.since {
            true => (self, other),
            false => (other, self),
        };
        let is_again = second.since >= first.released_at();
        let ruled = match (first.certainty, second.certainty) {
            (PartCertainty::Suspected, PartCertainty::Confirmed) => second,
            (PartCertainty::Confirmed, PartCertainty::Confirmed) if is_again => second,
            _ => first,
        };
        PartQuarantine {
            until: self.until.max(other.until),
            ..ruled
        }
    }
}

#[derive(Clone, Debug)]
struct SuspectCrash {
    end: ReplicaEnd,
    requests: Vec<u64>,
}

/// What speaks against one part.
#[derive(Clone, Debug, Default)]
struct PartHistory {
    /// Crashes since the last proof, oldest first.
    crashes: Vec<SuspectCrash>,
    quarantine: Option<PartQuarantine>,
    /// Whether this gateway observed any of the crashes itself.
    observed_here: bool,
    expires_at: ClockTime,
    reports_left: u32,
}

impl PartHistory {
    /// Adds a crash, or requests to one that is known. Returns whether anything is new.
    fn add(&mut self, end: ReplicaEnd, requests: &[u64]) -> bool {
        let known = self.crashes.iter().position(|known| known.end.is_same(end));
        let index = known.unwrap_or_else(|| {
            let place = self.crashes.partition_point(|known| known.end.at <= end.at);
            self.crashes.insert(
                place,
                SuspectCrash {
                    end,
                    requests: Vec::new(),
                },
            );
            place
        });
        let mut changed = known.is_none();
        let seen = &mut self.crashes[index].requests;
        for request in requests {
            if seen.len() < MAX_REQUESTS_KEPT && !seen.contains(request) {
                seen.push(*request);
                changed = true;
            }
        }
        if self.crashes.len() > MAX_CRASHES_KEPT {
            self.crashes.remove(0);
        }
        self.expires_at = self.expires_at.max(end.at + SUSPECT_RETENTION_MS);
        changed
    }

    fn has(&self, end: ReplicaEnd) -> bool {
        self.crashes.iter().any(|known| known.end.is_same(end))
    }

    /// The crashes after the quarantine: those of the requests that were let through.
    fn ends_after_release(&self) -> impl Iterator<Item = ReplicaEnd> + '_ {
        let released_at = self
            .quarantine
            .map_or(ClockTime::NEVER, |quarantine| quarantine.released_at());
        let ends = self.crashes.iter().map(|crash| crash.end);
        ends.filter(move |end| end.at >= released_at)
    }
}

/// A part that is to be quarantined, with the crashes that nothing else explains.
#[derive(Debug)]
struct Candidate {
    part: PromptPart,
    proved_at: Option<ClockTime>,
    unexplained: Vec<ReplicaEnd>,
}

/// Parts of prompts under which replicas crashed, as known to one gateway.
#[derive(Clone, Debug, Default)]
pub struct PartLedger {
    histories: BTreeMap<PromptPart, PartHistory>,
    /// When the last answer began that proves the part.
    proofs: BTreeMap<PromptPart, ClockTime>,
    /// Parts that were released since [`Self::take_released`] was last called.
    released: Vec<PromptPart>,
    /// When this gateway first had anything to record.
    started_at: Option<ClockTime>,
    /// When the crashes were last judged.
    judged_at: Option<ClockTime>,
    /// Number of gateways that let a request through before this one.
    probe_rank: usize,
    swept_at: ClockTime,
}

impl PartLedger {
    /// Records that a replica crashed while it was to begin the answer of a request. Returns whether
    /// anything is new for the peers.
    pub fn record_crash(&mut self, now: ClockTime, replica: SocketAddr, run: &SuspectRun) -> bool {
        self.started_at.get_or_insert(now);
        let end = ReplicaEnd { replica, at: now };
        let mut changed = false;
        for part in &run.parts {
            if let Some(history) = self.history(now, *part) {
                if history.add(end, &[run.digest()]) {
                    history.reports_left = REPORT_REPEATS;
                    history.observed_here = true;
                    changed = true;
                }
            }
        }
        changed
    }

    /// Records that an answer which began at `began_at` has gone on for [`PROOF_MS`] or completed.
    pub fn record_proof(&mut self, now: ClockTime, parts: &[PromptPart], began_at: ClockTime) {
        self.started_at.get_or_insert(now);
        for part in parts {
            self.prove(now, *part, began_at);
        }
    }

    /// Returns the parts that were released since the last call.
    pub fn take_released(&mut self) -> Vec<PromptPart> {
        std::mem::take(&mut self.released)
    }

    /// Number of parts in the ledger, some of them twice: with crashes and with a proof.
    pub fn len(&self) -> usize {
        self.histories.len() + self.proofs.len()
    }

    /// Whether the ledger has no parts.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Sets how many gateways let a request through before this one.
    pub fn set_probe_rank(&mut self, rank: usize) {
        self.probe_rank = rank.min(MAX_PROBE_RANK);
    }

    /// Whether a request with these shared parts may be sent.
    pub fn verdict(&self, now: ClockTime, parts: &[PromptPart]) -> PartVerdict {
        let histories = parts.iter().filter_map(|part| self.histories.get(part));
        let quarantined: Vec<&PartHistory> = histories
            .filter(|history| history.quarantine.is_some())
            .collect();
        let Some(first) = quarantined.first() else {
            return PartVerdict::Open;
        };
        let apart_ms = match quarantined.len() {
            1 => 0,
            _ => TRY_APART_MS,
        };
        let stagger_ms = PROBE_STAGGER_MS * self.probe_rank as u64 + apart_ms;
        let quarantines = quarantined.iter().filter_map(|history| history.quarantine);
        let until = quarantines.map(|quarantine| quarantine.until).max();
        let released_at = until.unwrap_or_default() + stagger_ms;
        if now < released_at {
            return PartVerdict::Barred(released_at.since(now));
        }
        // Parts that were tried together in vain have to be tried apart.
        let mut ends = first.ends_after_release();
        let is_tried = ends.any(|end| quarantined.iter().all(|history| history.has(end)));
        match is_tried && quarantined.len() > 1 {
            true => PartVerdict::Barred(PROBE_MS),
            false => PartVerdict::Probe,
        }
    }

    /// Lets one request through that has quarantined ones among its shared parts, and no other for
    /// five seconds.
    pub fn begin_probe(&mut self, now: ClockTime, parts: &[PromptPart]) {
        for part in parts {
            let Some(history) = self.histories.get_mut(part) else {
                continue;
            };
            if let Some(quarantine) = &mut history.quarantine {
                quarantine.until = quarantine.until.max(now + PROBE_MS);
                history.expires_at = history.expires_at.max(quarantine.until + CONFIRMED_MS);
                history.reports_left = REPORT_REPEATS;
            }
        }
    }

    /// Quarantines a part of which the store says so. Returns whether it was not quarantined
    /// before.
    pub fn quarantine(
        &mut self,
        now: ClockTime,
        part: PromptPart,
        certainty: PartCertainty,
    ) -> bool {
        if certainty == PartCertainty::Suspected && self.is_proved_recently(now, part) {
            return false;
        }
        self.apply_quarantine(now, part, PartQuarantine::new(now, certainty))
    }

    /// The parts whose quarantine is confirmed and lasts for `remaining_ms` milliseconds more at
    /// least.
    pub fn confirmed(
        &self,
        now: ClockTime,
        remaining_ms: u64,
    ) -> impl Iterator<Item = PromptPart> + '_ {
        let histories = self.histories.iter();
        let confirmed = histories.filter(move |(_, history)| {
            history.quarantine.is_some_and(|quarantine| {
                quarantine.certainty == PartCertainty::Confirmed
                    && quarantine.until >= now + remaining_ms
            })
        });
        confirmed.map(|(part, _)| *part)
    }

    /// Whether this gateway observed any of the crashes under a part itself.
    pub fn observed_here(&self, part: PromptPart) -> bool {
        let history = self.histories.get(&part);
        history.is_some_and(|history| history.observed_here)
    }

    /// Judges the crashes that are old enough. Returns the parts that are to be quarantined.
    pub fn judge(&mut self, now: ClockTime) -> Vec<PartRuling> {
        self.sweep(now);
        self.begin_anew_after_pause(now);
        let mut rulings = self.confirm(now);
        while let Some(chosen) = self.choose(now) {
            // What was in the same crashes cannot be told apart yet, and is tried apart.
            let mut together = self.candidates(now);
            together.retain(|other| {
                let mut ends = other.unexplained.iter();
                other.proved_at == chosen.proved_at
                    && ends.all(|end| chosen.unexplained.iter().any(|known| known.is_same(*end)))
            });
            for candidate in together {
                let ruling = PartRuling {
                    part: candidate.part,
                    certainty: PartCertainty::Suspected,
                    crashes: candidate.unexplained,
                };
                self.apply_ruling(now, &ruling);
                rulings.push(ruling);
            }
        }
        rulings
    }

    /// Forgets the crashes under parts that are not quarantined if this gateway was paused: it does not
    /// know what was proved meanwhile.
    fn begin_anew_after_pause(&mut self, now: ClockTime) {
        let judged_at = self.judged_at.replace(now).unwrap_or(now);
        if now.since(judged_at) > MAX_JUDGE_GAP_MS {
            self.started_at = Some(now);
            self.histories
                .retain(|_, history| history.quarantine.is_some());
        }
    }

    /// Confirms the parts under which a replica crashed after their quarantine, unless it was to
    /// answer another part in quarantine as well.
    fn confirm(&mut self, now: ClockTime) -> Vec<PartRuling> {
        let quarantined = self.quarantined();
        let is_alone = |part: PromptPart, end: ReplicaEnd| {
            let mut others = quarantined.iter().filter(|(other, _)| *other != part);
            !others.any(|(_, other)| other.has(end))
        };
        let confirmed = quarantined.iter().filter(|(part, history)| {
            let mut ends = history.ends_after_release();
            ends.any(|end| now.since(end.at) >= SETTLE_MS && is_alone(*part, end))
        });
        let certainty = PartCertainty::Confirmed;
        let rulings: Vec<PartRuling> = confirmed
            .map(|(part, history)| PartRuling {
                part: *part,
                certainty,
                crashes: history.crashes.iter().map(|crash| crash.end).collect(),
            })
            .collect();
        for ruling in &rulings {
            self.apply_ruling(now, ruling);
        }
        rulings
    }

    fn quarantined(&self) -> Vec<(PromptPart, &PartHistory)> {
        let histories = self.histories.iter();
        histories
            .filter(|(_, history)| history.quarantine.is_some())
            .map(|(part, history)| (*part, history))
            .collect()
    }

    fn apply_ruling(&mut self, now: ClockTime, ruling: &PartRuling) {
        let quarantine = PartQuarantine::new(now, ruling.certainty);
        self.apply_quarantine(now, ruling.part, quarantine);
        let history = self.histories.get_mut(&ruling.part);
        let history = history.filter(|history| history.quarantine.is_some());
        let history = history.expect("a part that is ruled on is quarantined");
        history.reports_left = REPORT_REPEATS;
    }

    /// The candidate to quarantine first.
    fn choose(&self, now: ClockTime) -> Option<Candidate> {
        let candidates = self.candidates(now).into_iter();
        candidates.min_by_key(|candidate| {
            let crashes = Reverse(candidate.unexplained.len());
            (candidate.proved_at, crashes, candidate.part)
        })
    }

    fn candidates(&self, now: ClockTime) -> Vec<Candidate> {
        let quarantined = self.quarantined();
        // What one request alone brings about is counted against that request.
        let lone_requests: Vec<(Option<ClockTime>, &PartHistory)> = self
            .histories
            .iter()
            .filter(|(_, history)| history.crashes.len() >= MIN_CRASHES)
            .filter(|(_, history)| {
                let crashes: Vec<&SuspectCrash> = history.crashes.iter().collect();
                is_of_one_request(&crashes)
            })
            .map(|(part, history)| (self.proofs.get(part).copied(), history))
            .collect();
        let mut candidates = Vec::new();
        for (part, history) in &self.histories {
            if history.quarantine.is_some() || history.crashes.len() < MIN_CRASHES {
                continue;
            }
            let proved_at = self.proofs.get(part).copied();
            let is_explained = |end: ReplicaEnd| {
                let mut lone = lone_requests.iter();
                quarantined.iter().any(|(_, guilty)| guilty.has(end))
                    || lone.any(|(proof, lone)| *proof < proved_at && lone.has(end))
            };
            let crashes = history.crashes.iter();
            let crashes: Vec<&SuspectCrash> = crashes
                .filter(|crash| now.since(crash.end.at) >= SETTLE_MS && !is_explained(crash.end))
                .collect();
            if crashes.len() < MIN_CRASHES || is_of_one_request(&crashes) {
                continue;
            }
            let unexplained: Vec<ReplicaEnd> = crashes.iter().map(|crash| crash.end).collect();
            if self.needs_occasions(now, *part) && count_occasions(&unexplained) < MIN_CRASHES {
                continue;
            }
            candidates.push(Candidate {
                part: *part,
                proved_at,
                unexplained,
            });
        }
        candidates
    }

    /// Whether crashes of several replicas at once do not suffice against a part: it is known to be
    /// sound shortly before, or this gateway has just started and knows no part to be sound.
    fn needs_occasions(&self, now: ClockTime, part: PromptPart) -> bool {
        let is_warm = self
            .started_at
            .is_some_and(|started_at| now.since(started_at) >= WARM_UP_MS);
        !is_warm || self.is_proved_recently(now, part)
    }

    fn is_proved_recently(&self, now: ClockTime, part: PromptPart) -> bool {
        let proof = self.proofs.get(&part);
        proof.is_some_and(|proved_at| now.since(*proved_at) < RECENT_PROOF_MS)
    }

    fn prove(&mut self, now: ClockTime, part: PromptPart, began_at: ClockTime) {
        let has_room = self.proofs.len() < MAX_PROOFS;
        match self.proofs.get_mut(&part) {
            Some(proved_at) => *proved_at = began_at.max(*proved_at),
            None if has_room => {
                self.proofs.insert(part, began_at);
            }
            None => {}
        }
        let Some(history) = self.histories.get_mut(&part) else {
            return;
        };
        let had_crashes = !history.crashes.is_empty();
        history.crashes.retain(|crash| crash.end.at > began_at);
        let is_cleared = history.crashes.is_empty();
        let is_released = history.quarantine.is_some_and(|quarantine| {
            // A suspicion rests on its crashes alone, which the answer refutes.
            let is_refuted = had_crashes && quarantine.certainty == PartCertainty::Suspected;
            is_cleared && (is_refuted || quarantine.since <= began_at)
        });
        if is_released {
            spdlog::info!("event=prompt_part_released part={part}");
            history.quarantine = None;
            self.released.push(part);
        }
        if is_released || (is_cleared && had_crashes && history.quarantine.is_none()) {
            history.expires_at = now + CLEARED_RETENTION_MS;
            history.reports_left = REPORT_REPEATS;
        }
    }

    /// Applies a quarantine unless a later proof speaks against it. Returns whether the part was
    /// not quarantined before, or is confirmed now.
    fn apply_quarantine(
        &mut self,
        now: ClockTime,
        part: PromptPart,
        quarantine: PartQuarantine,
    ) -> bool {
        let proof = self.proofs.get(&part);
        if proof.is_some_and(|proved_at| *proved_at >= quarantine.since) {
            return false;
        }
        let Some(history) = self.history(now, part) else {
            return false;
        };
        let known = history.quarantine;
        let merged = known.map_or(quarantine, |known| known.merge(quarantine));
        history.quarantine = Some(merged);
        history.expires_at = history.expires_at.max(merged.until + CONFIRMED_MS);
        known.is_none_or(|known| known.certainty != merged.certainty)
    }

    /// Merges a peer's report. Returns the part if it is quarantined, or confirmed, because of this
    /// report.
    pub fn apply_report(
        &mut self,
        now: ClockTime,
        report: &PartCrashes,
    ) -> Option<(PromptPart, PartCertainty)> {
        let part: PromptPart = report.part.parse().ok()?;
        self.started_at.get_or_insert(now);
        if report.proved_ago > 0 {
            self.prove(now, part, now - u64::from(report.proved_ago - 1));
        }
        let proved_at = self.proofs.get(&part).copied();
        for crash in &report.crashes {
            let at = now - u64::from(crash.ago_ms);
            let Ok(replica) = crash.address.parse() else {
                continue;
            };
            let end = ReplicaEnd { replica, at };
            let is_past = now.since(at) >= SUSPECT_RETENTION_MS;
            if is_past || proved_at.is_some_and(|proved_at| at <= proved_at) {
                continue;
            }
            if let Some(history) = self.history(now, part) {
                history.add(end, &crash.requests);
            }
        }
        if report.quarantine_ms == 0 {
            return None;
        }
        if self.is_refuted(now, part, report) {
            // The peer is told of the answer.
            if let Some(history) = self.history(now, part) {
                history.reports_left = REPORT_REPEATS;
                history.expires_at = history.expires_at.max(now + CLEARED_RETENTION_MS);
            }
            return None;
        }
        let certainty = match report.confirmed {
            true => PartCertainty::Confirmed,
            false => PartCertainty::Suspected,
        };
        let remaining_ms = u64::from(report.quarantine_ms).min(CONFIRMED_MS + PROBE_MS);
        let quarantine = PartQuarantine {
            since: now - u64::from(report.quarantined_ago_ms),
            until: now + remaining_ms,
            certainty,
        };
        let is_new = self.apply_quarantine(now, part, quarantine);
        is_new.then_some((part, certainty))
    }

    /// Whether an answer that began after all crashes on which a peer's suspicion rests shows that the
    /// part is sound.
    fn is_refuted(&self, now: ClockTime, part: PromptPart, report: &PartCrashes) -> bool {
        let Some(proved_at) = self.proofs.get(&part) else {
            return false;
        };
        let mut crashes = report.crashes.iter();
        let is_later = crashes.all(|crash| now - u64::from(crash.ago_ms) <= *proved_at);
        is_later && !report.crashes.is_empty() && !report.confirmed
    }

    /// Returns the changes to report to the peers now: of parts in quarantine first, then of those
    /// with most crashes and the oldest proofs.
    pub fn take_reports(&mut self, now: ClockTime) -> Vec<PartCrashes> {
        let histories = self.histories.iter();
        let changed = histories.filter(|(_, history)| history.reports_left > 0);
        let mut ranked: Vec<_> = changed
            .map(|(part, history)| {
                let crashes = Reverse(history.crashes.len());
                let proved_at = self.proofs.get(part).copied();
                (history.quarantine.is_none(), crashes, proved_at, *part)
            })
            .collect();
        if ranked.len() > MAX_REPORTS {
            ranked.select_nth_unstable(MAX_REPORTS);
            ranked.truncate(MAX_REPORTS);
        }
        ranked.sort_unstable();
        let parts = ranked.into_iter().map(|(.., part)| part);
        parts.filter_map(|part| self.report(now, part)).collect()
    }

    fn report(&mut self, now: ClockTime, part: PromptPart) -> Option<PartCrashes> {
        let ago = |at: ClockTime| u32::try_from(now.since(at)).unwrap_or(u32::MAX - 1);
        let proved_at = self.proofs.get(&part).copied();
        let history = self.histories.get_mut(&part)?;
        history.reports_left -= 1;
        let crashes = history.crashes.iter().map(|crash| PartCrash {
            address: crash.end.replica.to_string(),
            ago_ms: ago(crash.end.at),
            requests: crash.requests.clone(),
        });
        let quarantine = history.quarantine;
        Some(PartCrashes {
            part: part.to_string(),
            crashes: crashes.collect(),
            proved_ago: proved_at.map_or(0, |proved_at| ago(proved_at) + 1),
            quarantine_ms: quarantine.map_or(0, |quarantine| {
                u32::try_from(quarantine.until.since(now)).unwrap_or(u32::MAX)
            }),
            quarantined_ago_ms: quarantine.map_or(0, |quarantine| ago(quarantine.since)),
            confirmed: quarantine
                .is_some_and(|quarantine| quarantine.certainty == PartCertainty::Confirmed),
        })
    }

    /// The history of a part, which is created if there is room or room can be made.
    fn history(&mut self, now: ClockTime, part: PromptPart) -> Option<&mut PartHistory> {
        if self.histories.len() >= MAX_HISTORIES && !self.histories.contains_key(&part) {
            self.sweep(now);
        }
        if self.histories.len() >= MAX_HISTORIES && !self.histories.contains_key(&part) {
            self.make_room();
            if self.histories.len() >= MAX_HISTORIES {
                spdlog::debug!("event=crash_not_recorded part={part} reason=full");
                return None;
            }
        }
        let history = self.histories.entry(part).or_default();
        if now >= history.expires_at && history.expires_at > ClockTime(0) {
            *history = PartHistory::default();
        }
        Some(history)
    }

    /// Drops a quarter of the parts, those with fewest crashes and of these the oldest.
    fn make_room(&mut self) {
        let histories = self.histories.iter();
        let droppable = histories.filter(|(_, history)| history.quarantine.is_none());
        let mut ranked: Vec<_> = droppable
            .map(|(part, history)| (history.crashes.len(), history.expires_at, *part))
            .collect();
        let dropped = MAX_HISTORIES / 4;
        if ranked.len() > dropped {
            ranked.select_nth_unstable(dropped);
            ranked.truncate(dropped);
        }
        for (.., part) in ranked {
            self.histories.remove(&part);
        }
    }

    /// Drops what has expired, at most once in each interval of reports.
    fn sweep(&mut self, now: ClockTime) {
        if now.since(self.swept_at) < crate::gateway::peer::LOAD_INTERVAL_MS {
            return;
        }
        self.swept_at = now;
        self.histories.retain(|_, history| now < history.expires_at);
        self.proofs
            .retain(|_, proved_at| now.since(*proved_at) < RECENT_PROOF_MS);
    }
}

/// Whether one request was at a replica in all of the crashes.
fn is_of_one_request(crashes: &[&SuspectCrash]) -> bool {
    let first = crashes.first().map_or(&[][..], |first| &first.requests);
    first.iter().any(|request| {
        let mut crashes = crashes.iter();
        crashes.all(|crash| crash.requests.contains(request))
    })
}

/// Number of occasions on which replicas crashed. `ends` are in order of time.
fn count_occasions(ends: &[ReplicaEnd]) -> usize {
    let mut occasions = 0;
    let mut began_at = None;
    for end in ends {
        if began_at.is_none_or(|began_at| end.at.since(began_at) >= OCCASION_MS) {
            occasions += 1;
            began_at = Some(end.at);
        }
    }
    occasions
}
