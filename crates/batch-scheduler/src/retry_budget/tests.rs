//! Tests of the retry budget.

use super::*;

#[test]
fn retries_are_limited_to_a_share_of_the_successes() {
    let mut budget = RetryBudget::new(0.2, 3.0);
    assert_eq!((0..9).filter(|_| budget.try_take()).count(), 3);
    let mut retries = 0;
    for _ in 0..100 {
        budget.record_success();
        retries += usize::from(budget.try_take());
    }
    assert!((19..=20).contains(&retries), "{retries}");
    for _ in 0..1_000 {
        budget.record_success();
    }
    assert_eq!((0..9).filter(|_| budget.try_take()).count(), 3);
}
