//! Requests whose callers left while replicas ran them. A replica may crash under such a request when
//! this gateway no longer waits for its answer.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::clock::ClockTime;
use crate::gateway::part_ledger::{ReplicaEnd, SuspectRun};

/// Time for which an abandoned request is remembered, milliseconds.
const RETENTION_MS: u64 = 2_000;
/// Time by which a crash may be seen before the caller's leaving, milliseconds.
const CRASH_DELAY_MS: u64 = 300;
/// Upper bound of the requests, of which the newest are kept.
const MAX_RUNS: usize = 1_024;

#[derive(Clone, Debug)]
struct AbandonedRun {
    replica: SocketAddr,
    left_at: ClockTime,
    run: SuspectRun,
}

/// The requests that were abandoned at this gateway last, oldest first.
#[derive(Clone, Debug, Default)]
pub struct AbandonedRuns(VecDeque<AbandonedRun>);

impl AbandonedRuns {
    /// Records that a caller left while a replica may have been running its request.
    pub fn record(&mut self, now: ClockTime, replica: SocketAddr, run: SuspectRun) {
        while let Some(oldest) = self.0.front() {
            let is_expired = now.since(oldest.left_at) >= RETENTION_MS;
            if !is_expired && self.0.len() < MAX_RUNS {
                break;
            }
            self.0.pop_front();
        }
        self.0.push_back(AbandonedRun {
            replica,
            left_at: now,
            run,
        });
    }

    /// Removes and returns the requests that a replica may have been running when it crashed.
    pub fn take(&mut self, end: ReplicaEnd) -> Vec<SuspectRun> {
        let (taken, others): (VecDeque<_>, VecDeque<_>) = self.0.drain(..).partition(|abandoned| {
            abandoned.replica == end.replica
                && abandoned.left_at <= end.at + CRASH_DELAY_MS
                && end.at.since(abandoned.left_at) < RETENTION_MS
        });
        self.0 = others;
        taken.into_iter().map(|abandoned| abandoned.run).collect()
    }
}
