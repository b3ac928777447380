//! Tests of the retry budget: no window exceeds what the deployment permits, whatever the load.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::budget::{BudgetRule, RetryBudget};
use proptest::prelude::*;

const RULE: BudgetRule = BudgetRule {
    ratio: 0.2,
    window_ms: 10_000,
    allowance: 202.0,
    min_gateways: 4.0,
};

#[test]
fn all_fifty_requests_of_a_lost_chain_are_retried_at_once() {
    let mut budget = RetryBudget::new(RULE);
    // A gateway that gets 25 requests each second, as in the users' traffic.
    for at in 0..250 {
        budget.record_request(ClockTime(at * 40));
    }
    let granted = (0..50)
        .filter(|_| budget.try_spend(ClockTime(10_000), 4))
        .count();
    assert_eq!(granted, 50);
}

proptest! {
    /// Four gateways whose callers retry at once; each gateway attempts several retries for each
    /// request.
    #[test]
    fn all_gateways_together_stay_within_the_budget_in_every_window(
        gaps in proptest::collection::vec((0_u64..200, 0_usize..4, 0_u32..4), 1..2_000)
    ) {
        let mut budgets = vec![RetryBudget::new(RULE); 4];
        let (mut now, mut requests, mut retries) = (0, Vec::new(), Vec::new());
        for (gap, gateway, attempts) in gaps {
            now += gap;
            budgets[gateway].record_request(ClockTime(now));
            requests.push(now);
            for _ in 0..attempts {
                if budgets[gateway].try_spend(ClockTime(now), 4) {
                    retries.push(now);
                }
            }
        }
        for end in &retries {
            let within = |at: &&u64| **at + RULE.window_ms >= *end && **at <= *end;
            let spent = retries.iter().filter(within).count() as f64;
            let received = requests.iter().filter(within).count() as f64;
            prop_assert!(spent <= RULE.ratio * received + RULE.allowance, "{spent} retries, {received} requests");
        }
    }
}
