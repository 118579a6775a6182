//! Tests of `backoff`.

use super::*;

#[test]
fn bounds_double_up_to_the_most_and_begin_anew_after_a_success() {
    let (first, most) = (Duration::from_millis(100), Duration::from_millis(450));
    let mut longest = [Duration::ZERO; 5];
    let mut backoffs: Vec<_> = (0..400)
        .map(|seed| Backoff::new(first, most, seed))
        .collect();
    for backoff in &mut backoffs {
        for longest in &mut longest {
            *longest = backoff.failed().max(*longest);
        }
        backoff.succeeded();
        assert!(backoff.failed() <= first);
    }
    for (longest, bound) in longest.iter().zip([100, 200, 400, 450, 450]) {
        let bound = Duration::from_millis(bound);
        assert!(
            *longest <= bound && *longest > bound.mul_f64(0.95),
            "{longest:?} of {bound:?}"
        );
    }
}

#[test]
fn routers_with_seeds_of_their_own_do_not_come_back_together() {
    let first = |seed| Backoff::new(Duration::from_secs(1), Duration::from_secs(1), seed).failed();
    let mut spans: Vec<_> = (0..100).map(first).collect();
    spans.sort();
    let tenths = |n: u32| {
        spans
            .iter()
            .filter(|s| s.as_millis() / 100 == u128::from(n))
            .count()
    };
    assert!((0..10).all(|n| (3..=20).contains(&tenths(n))), "{spans:?}");
}

#[test]
fn any_bounds_and_any_number_of_failures_are_borne() {
    let mut backoff = Backoff::new(Duration::MAX / 8, Duration::ZERO, 1);
    backoff.failures = u32::MAX;
    assert!(backoff.failed() <= Duration::MAX / 8);
}
