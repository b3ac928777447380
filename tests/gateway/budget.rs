//! The budget of repeats: no window sees more than the deployment allows, whatever the load.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::budget::{BudgetRule, RetryBudget};
use proptest::prelude::*;

const RULE: BudgetRule = BudgetRule {
    ratio: 0.2,
    window_ms: 10_000,
    extra: 202.0,
    entries: 4.0,
};

#[test]
fn a_lost_chain_of_fifty_requests_is_run_again_at_once() {
    let mut budget = RetryBudget::new(RULE);
    // A gateway that takes 25 requests a second, as on the users' days.
    for at in 0..250 {
        budget.record_request(ClockTime(at * 40));
    }
    let granted = (0..50)
        .filter(|_| budget.try_spend(ClockTime(10_000), 4))
        .count();
    assert_eq!(granted, 50);
}

proptest! {
    /// Four gateways under clients that repeat at once, each trying a repeat for each request.
    #[test]
    fn all_gateways_together_stay_within_the_budget_in_every_window(
        gaps in proptest::collection::vec((0_u64..200, 0_usize..4, 0_u32..4), 1..2_000)
    ) {
        let mut budgets = vec![RetryBudget::new(RULE); 4];
        let (mut now, mut requests, mut repeats) = (0, Vec::new(), Vec::new());
        for (gap, gateway, tries) in gaps {
            now += gap;
            budgets[gateway].record_request(ClockTime(now));
            requests.push(now);
            for _ in 0..tries {
                if budgets[gateway].try_spend(ClockTime(now), 4) {
                    repeats.push(now);
                }
            }
        }
        for end in &repeats {
            let within = |at: &&u64| **at + RULE.window_ms >= *end && **at <= *end;
            let spent = repeats.iter().filter(within).count() as f64;
            let came = requests.iter().filter(within).count() as f64;
            prop_assert!(spent <= RULE.ratio * came + RULE.extra, "{spent} repeats, {came} requests");
        }
    }
}
