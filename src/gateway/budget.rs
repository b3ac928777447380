//! The budget of repeats: a share of the requests and a small allowance, kept by each entry for
//! itself, so that all entries together stay within the installation's budget without asking
//! each other.

use crate::clock::ClockTime;

/// Bounds of the deployment that the budget keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRule {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Length of the window, milliseconds.
    pub window_ms: u64,
    /// Repeats allowed in each window whatever the requests, over all entries.
    pub extra: f64,
    /// Entries that there may be.
    pub entries: f64,
}

/// Part of the ratio that is spent: windows slide, and requests are counted where they began.
const RATIO_PART: f64 = 0.7;
/// Part of an entry's equal share of the allowance that is spent.
const EXTRA_PART: f64 = 0.8;

/// Repeats that this entry may send to one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rule: BudgetRule,
    tokens: f64,
    refilled: ClockTime,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(rule: BudgetRule) -> RetryBudget {
        RetryBudget {
            rule,
            tokens: most(&rule),
            refilled: ClockTime::default(),
        }
    }

    /// A caller's request for the service came.
    pub fn earn(&mut self) {
        let more = self.tokens + self.rule.ratio * RATIO_PART;
        self.tokens = more.min(most(&self.rule));
    }

    /// Takes one repeat, if there is one.
    pub fn spend(&mut self, now: ClockTime) -> bool {
        let passed = now.since(self.refilled);
        self.refilled = now;
        // Half of the allowance may be spent at once and half in the course of a window.
        let rate = most(&self.rule) / self.rule.window_ms.max(1) as f64;
        self.tokens = (self.tokens + passed as f64 * rate).min(most(&self.rule));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

fn most(rule: &BudgetRule) -> f64 {
    rule.extra / rule.entries.max(1.0) * EXTRA_PART / 2.0
}
