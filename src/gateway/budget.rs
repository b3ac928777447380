//! Retry budget: a share of the requests and a small allowance. Each gateway keeps its own, so that
//! all gateways together stay within the deployment's budget without coordination.
//!
//! Invariant: the number of retries that a gateway sends to a service in a window is bounded. It is
//! at most `ratio` times the number of requests received in that window, plus the gateway's share
//! of the allowance. This holds for each window that ends at a retry.

use std::collections::VecDeque;

use crate::clock::ClockTime;

/// The deployment's retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRule {
    /// Retries permitted for each request received.
    pub ratio: f64,
    /// Length of the window, milliseconds.
    pub window_ms: u64,
    /// Retries that all gateways together may send in each window, in addition to `ratio` times the
    /// requests.
    pub allowance: f64,
    /// Lower bound of the number of gateways among which the allowance is divided.
    pub min_gateways: f64,
}

/// Part of the budget that is used. The rest covers restarted gateways, which forget their retries,
/// and differences between clocks.
const USABLE_PART: f64 = 0.8;
/// Span of one bucket of a count, milliseconds.
const BUCKET_MS: u64 = 100;

/// Events in a sliding window, counted in buckets of [`BUCKET_MS`].
#[derive(Clone, Debug, Default)]
struct WindowCount {
    buckets: VecDeque<(ClockTime, u32)>,
    sum: u32,
}

impl WindowCount {
    fn add(&mut self, now: ClockTime) {
        let bucket = ClockTime(now.0 - now.0 % BUCKET_MS);
        match self.buckets.back_mut() {
            Some((at, count)) if *at == bucket => *count += 1,
            _ => self.buckets.push_back((bucket, 1)),
        }
        self.sum += 1;
    }

    fn drop_before(&mut self, before: ClockTime) {
        while let Some((at, count)) = self.buckets.front().copied() {
            if at >= before {
                return;
            }
            self.sum -= count;
            self.buckets.pop_front();
        }
    }
}

/// Retries that this gateway may send to one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rule: BudgetRule,
    requests: WindowCount,
    retries: WindowCount,
}

impl RetryBudget {
    /// Creates a budget without any requests or retries.
    pub fn new(rule: BudgetRule) -> RetryBudget {
        RetryBudget {
            rule,
            requests: WindowCount::default(),
            retries: WindowCount::default(),
        }
    }

    /// Records a request from a caller for the service.
    pub fn record_request(&mut self, now: ClockTime) {
        self.requests.drop_before(now - self.rule.window_ms);
        self.requests.add(now);
    }

    /// Takes one retry out of the budget. Returns false if none is left. The allowance is divided
    /// among `gateways` gateways, this one included, or among `min_gateways` if that is larger.
    pub fn try_spend(&mut self, now: ClockTime, gateways: usize) -> bool {
        // A bucket that lies partly in the window counts fully for retries and not at all for
        // requests.
        self.retries
            .drop_before(now - (self.rule.window_ms + BUCKET_MS));
        self.requests
            .drop_before(now - (self.rule.window_ms - BUCKET_MS.min(self.rule.window_ms)));
        let share = self.rule.allowance / self.rule.min_gateways.max(gateways as f64).max(1.0);
        let allowed = self.rule.ratio * f64::from(self.requests.sum) + share;
        if f64::from(self.retries.sum) + 1.0 > allowed * USABLE_PART {
            return false;
        }
        self.retries.add(now);
        true
    }
}
