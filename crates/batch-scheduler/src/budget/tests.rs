//! Tests of `budget`.

use super::*;

#[test]
fn repeats_stay_a_share_of_the_successes() {
    let mut budget = Budget::new(0.2, 3.0);
    assert_eq!((0..9).filter(|_| budget.take()).count(), 3);
    let mut repeats = 0;
    for _ in 0..100 {
        budget.succeeded();
        repeats += usize::from(budget.take());
    }
    assert!((19..=20).contains(&repeats), "{repeats}");
    (0..1_000).for_each(|_| budget.succeeded());
    assert_eq!((0..9).filter(|_| budget.take()).count(), 3);
}
