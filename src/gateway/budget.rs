//! The budget of repeats: a share of the requests and a small allowance, kept by each gateway for
//! itself, so that all together stay within the deployment's budget without asking each other.
//!
//! Invariant: in each window that ends at a repeat, this gateway sent no more repeats than
//! `ratio` times the requests that came to it in that window, and its share of the allowance.

use std::collections::VecDeque;

use crate::clock::ClockTime;

/// Bounds of the deployment that the budget keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRule {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Length of the window, milliseconds.
    pub window_ms: u64,
    /// Repeats allowed in each window whatever the requests, over all gateways.
    pub extra: f64,
    /// Gateways that there are at least.
    pub entries: f64,
}

/// Part of the budget that is spent: restarted gateways forget what they spent, and clocks differ.
const SPENT_PART: f64 = 0.8;
/// Time that is counted together, milliseconds.
const STEP_MS: u64 = 100;

/// Counts by time, over one window.
#[derive(Clone, Debug, Default)]
struct WindowCount {
    steps: VecDeque<(ClockTime, u32)>,
    sum: u32,
}

impl WindowCount {
    fn add(&mut self, now: ClockTime) {
        let step = ClockTime(now.0 - now.0 % STEP_MS);
        match self.steps.back_mut() {
            Some((at, count)) if *at == step => *count += 1,
            _ => self.steps.push_back((step, 1)),
        }
        self.sum += 1;
    }

    fn forget(&mut self, before: ClockTime) {
        while let Some((at, count)) = self.steps.front().copied() {
            if at >= before {
                return;
            }
            self.sum -= count;
            self.steps.pop_front();
        }
    }
}

/// Repeats that this gateway may send to one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rule: BudgetRule,
    requests: WindowCount,
    repeats: WindowCount,
}

impl RetryBudget {
    /// A budget of which nothing is spent.
    pub fn new(rule: BudgetRule) -> RetryBudget {
        RetryBudget {
            rule,
            requests: WindowCount::default(),
            repeats: WindowCount::default(),
        }
    }

    /// A caller's request for the service came.
    pub fn earn(&mut self, now: ClockTime) {
        self.requests.forget(now - self.rule.window_ms);
        self.requests.add(now);
    }

    /// Takes one repeat, if there is one, where `gateways` are known to share the allowance.
    pub fn spend(&mut self, now: ClockTime, gateways: usize) -> bool {
        // A step that is half in the window counts whole for repeats and not for requests.
        self.repeats.forget(now - (self.rule.window_ms + STEP_MS));
        self.requests
            .forget(now - (self.rule.window_ms - STEP_MS.min(self.rule.window_ms)));
        let share = self.rule.extra / self.rule.entries.max(gateways as f64).max(1.0);
        let allowed = self.rule.ratio * f64::from(self.requests.sum) + share;
        if f64::from(self.repeats.sum) + 1.0 > allowed * SPENT_PART {
            return false;
        }
        self.repeats.add(now);
        true
    }
}
