//! Replicas that are silent under requests. A sound replica may fall silent for a second or so and go
//! on, so that its silence is no evidence of a crash: the requests that it was running are remembered,
//! and blamed only once it is known to have ended or is silent for longer.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};

use crate::clock::ClockTime;
use crate::fingerprint::RequestFingerprint;
use crate::gateway::crash_ledger::{SharedSeries, SAME_CRASH_MS};
use crate::gateway::part_ledger::{ReplicaEnd, SuspectRun};
use crate::gateway::state::GatewayState;
use crate::gateway::upstream::UpstreamKey;

/// Silence from which a replica is taken for dead, milliseconds.
pub const MAX_SOUND_SILENCE_MS: u64 = 2_000;
/// Longest time for which the answer to one query of a silent replica is awaited, milliseconds.
pub const ASK_TIMEOUT_MS: u64 = 650;
/// Shortest such time, milliseconds.
const MIN_ASK_TIMEOUT_MS: u64 = 250;
/// Upper bound of the requests remembered for one replica.
const MAX_RUNS: usize = 1_024;

/// Whether a crash was recorded for the replicas that a run is at, shared by all who may record it.
#[derive(Clone, Debug, Default)]
pub struct CrashMark(Arc<AtomicBool>);

impl CrashMark {
    /// Sets the mark. Returns whether it was not set before.
    pub fn set(&self) -> bool {
        !self.0.swap(true, Ordering::Relaxed)
    }

    /// Whether a crash was recorded.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A request that a replica was running when it fell silent.
#[derive(Clone, Debug)]
pub struct SilentRun {
    /// What the request is to a replica that crashes under it.
    pub suspect: SuspectRun,
    /// Crashes under the request over all its attempts.
    pub series: SharedSeries,
    /// Whether the crash was recorded otherwise.
    pub mark: CrashMark,
    /// Whether the parts of the prompt may be to blame.
    pub may_be_cause: bool,
    /// Identifies the observation, at random.
    pub observation: u64,
}

/// A silent replica, and the requests that it was running.
#[derive(Clone, Debug)]
pub struct Silence {
    /// Start of the silence.
    pub since: ClockTime,
    /// The requests, in the order in which they were given up.
    pub runs: Vec<SilentRun>,
}

/// What came of a query to a silent replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskOutcome {
    /// The replica answered.
    Answered,
    /// The connection was refused, or another incarnation answered.
    Ended,
    /// Nothing came in time.
    Silent,
    /// It was not sent, since the replica takes no more requests now, or the connection was reset, as by
    /// a replica that has as many as it takes.
    Unclear,
}

/// What is to be done about a silent replica after a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceVerdict {
    /// It is asked again.
    Open,
    /// It goes on.
    Sound,
    /// Nothing shows whether it goes on or crashed.
    Unclear,
    /// It crashed, or has been cut off for long.
    Ended,
}

/// The silent replicas of one gateway.
#[derive(Clone, Debug, Default)]
pub struct SilenceLedger(BTreeMap<UpstreamKey, Silence>);

impl SilenceLedger {
    /// Records that a replica has been silent under requests since `since`. Returns whether its
    /// silence was not known, so that the replica is to be asked.
    pub fn record(
        &mut self,
        since: ClockTime,
        key: UpstreamKey,
        runs: impl IntoIterator<Item = SilentRun>,
    ) -> bool {
        let mut runs = runs.into_iter().peekable();
        if runs.peek().is_none() {
            return false;
        }
        let is_new = !self.0.contains_key(&key);
        let silence = self.0.entry(key).or_insert(Silence {
            since,
            runs: Vec::new(),
        });
        let room = MAX_RUNS - silence.runs.len();
        silence.runs.extend(runs.take(room));
        assert!(silence.runs.len() <= MAX_RUNS, "more runs than the bound");
        is_new
    }

    /// Removes and returns the silence of a replica.
    pub fn take(&mut self, key: UpstreamKey) -> Option<Silence> {
        self.0.remove(&key)
    }

    /// Start of the silence of a replica. `None` if it is not silent or no request can be blamed.
    pub fn since(&self, key: UpstreamKey) -> Option<ClockTime> {
        let silence = self.0.get(&key).filter(|silence| !silence.runs.is_empty());
        silence.map(|silence| silence.since)
    }

    /// Forgets a request that has completed, so that it did not cause what is still open.
    pub fn forget_request(&mut self, fingerprint: RequestFingerprint) {
        for silence in self.0.values_mut() {
            silence
                .runs
                .retain(|run| run.suspect.fingerprint != fingerprint);
        }
    }

    /// Whether it is open whether replicas crashed under the run with this mark.
    pub fn is_open(&self, mark: &CrashMark) -> bool {
        self.runs().any(|run| Arc::ptr_eq(&run.mark.0, &mark.0))
    }

    /// Number of replicas of which it is open whether they crashed under a request.
    pub fn open_ends(&self, series: &SharedSeries) -> usize {
        let runs = self.runs();
        runs.filter(|run| Arc::ptr_eq(&run.series, series)).count()
    }

    fn runs(&self) -> impl Iterator<Item = &SilentRun> {
        self.0.values().flat_map(|silence| &silence.runs)
    }
}

/// How long the answer to a query is awaited that is sent at `asked_at`, milliseconds.
pub fn ask_timeout_ms(since: ClockTime, asked_at: ClockTime) -> u64 {
    let left_ms = (since + MAX_SOUND_SILENCE_MS).since(asked_at);
    left_ms.clamp(MIN_ASK_TIMEOUT_MS, ASK_TIMEOUT_MS)
}

/// Judges a silence that began at `since` by a query sent at `asked_at`. Only a query whose whole
/// wait lies late in the silence shows one: this VM may have been suspended during any other.
pub fn judge_silence(
    since: ClockTime,
    asked_at: ClockTime,
    now: ClockTime,
    outcome: AskOutcome,
) -> SilenceVerdict {
    let due = since + MAX_SOUND_SILENCE_MS;
    match outcome {
        AskOutcome::Answered => SilenceVerdict::Sound,
        AskOutcome::Ended => SilenceVerdict::Ended,
        AskOutcome::Silent if now >= due && asked_at + ASK_TIMEOUT_MS >= due => {
            SilenceVerdict::Ended
        }
        AskOutcome::Unclear if now >= due => SilenceVerdict::Unclear,
        AskOutcome::Silent | AskOutcome::Unclear => SilenceVerdict::Open,
    }
}

/// A request that was blamed for the end of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlamedRun {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Number of crashes counted under it so far; `None` if this one does not count.
    pub crashes: Option<usize>,
}

impl GatewayState {
    /// Records that a replica is silent, under `run` if any, and under the requests whose callers left
    /// shortly before. Returns whether the replica is to be asked.
    pub fn record_silence(
        &mut self,
        now: ClockTime,
        key: UpstreamKey,
        run: Option<SilentRun>,
        mut observation: impl FnMut() -> u64,
    ) -> bool {
        let record = self.upstreams.get(key);
        let since = record.unanswered_since().unwrap_or(now);
        let replica = record.entry.address;
        let left = self.abandoned.take(ReplicaEnd { replica, at: now });
        let left = left.into_iter().map(|suspect| SilentRun {
            suspect,
            series: SharedSeries::default(),
            mark: CrashMark::default(),
            may_be_cause: true,
            observation: observation(),
        });
        self.silences
            .record(since, key, run.into_iter().chain(left))
    }

    /// Records a sign of life of a replica. Returns the silence that it ends, if any, for which no
    /// request is to blame, and after which the replica is used again at once.
    pub fn record_answer(&mut self, now: ClockTime, key: UpstreamKey) -> Option<Silence> {
        self.upstreams.record_answer(now, key);
        let silence = self.silences.take(key)?;
        self.upstreams.lift_suspicion(now, key);
        Some(silence)
    }

    /// Records that a replica ended at `at`, and blames the requests that it was running when it fell
    /// silent. A silence that began after that is not due to it.
    pub fn blame_silent(&mut self, key: UpstreamKey, at: ClockTime) -> Vec<BlamedRun> {
        let since = self.silences.since(key);
        if since.is_none_or(|since| at + SAME_CRASH_MS < since) {
            return Vec::new();
        }
        let replica = self.upstreams.get(key).entry.address;
        let runs = self.silences.take(key).map_or(Vec::new(), |it| it.runs);
        let mut blamed = Vec::new();
        for run in runs.into_iter().filter(|run| run.mark.set()) {
            let fingerprint = run.suspect.fingerprint;
            let mut series = run.series.lock().unwrap_or_else(PoisonError::into_inner);
            let crashes = &mut self.crashes;
            let crashes =
                crashes.record_crash(at, fingerprint, &mut series, replica, run.observation);
            drop(series);
            if run.may_be_cause {
                self.parts.record_crash(at, replica, &run.suspect);
            }
            blamed.push(BlamedRun {
                fingerprint,
                crashes,
            });
        }
        blamed
    }
}
