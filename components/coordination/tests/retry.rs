//! Retry budget.

use bergamottrack_coordination::retry::RetryBudget;

/// Guards against unbounded load when every request fails and is to be retried.
#[test]
fn retries_are_limited_to_a_share_of_the_requests() {
    let mut budget = RetryBudget::new(0.1, 10.0);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        while budget.withdraw() {
            retries += 1;
        }
    }
    assert!(retries <= 1_010, "{retries} retries for 10,000 requests");
    assert!(retries >= 990, "{retries} retries for 10,000 requests");
}
