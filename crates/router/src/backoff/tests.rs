use super::*;

#[test]
fn bounds_double_up_to_the_maximum_and_start_again_after_a_success() {
    let first_bound = Duration::from_millis(100);
    let max_bound = Duration::from_millis(450);
    let mut longest_delays = [Duration::ZERO; 5];
    let mut backoffs: Vec<_> = (0..400)
        .map(|seed| Backoff::new(first_bound, max_bound, seed))
        .collect();
    for backoff in &mut backoffs {
        for longest in &mut longest_delays {
            *longest = backoff.record_failure().max(*longest);
        }
        backoff.record_success();
        assert!(backoff.record_failure() <= first_bound);
    }
    for (longest, bound) in longest_delays.iter().zip([100, 200, 400, 450, 450]) {
        let bound = Duration::from_millis(bound);
        assert!(
            *longest <= bound && *longest > bound.mul_f64(0.95),
            "the longest delay is {longest:?} with a bound of {bound:?}"
        );
    }
}

#[test]
fn routers_with_different_seeds_do_not_retry_together() {
    let first_delay =
        |seed| Backoff::new(Duration::from_secs(1), Duration::from_secs(1), seed).record_failure();
    let mut delays: Vec<_> = (0..100).map(first_delay).collect();
    delays.sort();
    let count_in_tenth = |tenth: u32| {
        delays
            .iter()
            .filter(|delay| delay.as_millis() / 100 == u128::from(tenth))
            .count()
    };
    assert!(
        (0..10).all(|tenth| (3..=20).contains(&count_in_tenth(tenth))),
        "the delays are not spread evenly: {delays:?}"
    );
}

#[test]
fn large_bounds_and_failure_counts_do_not_overflow() {
    let mut backoff = Backoff::new(Duration::MAX / 8, Duration::ZERO, 1);
    backoff.failures = u32::MAX;
    assert!(backoff.record_failure() <= Duration::MAX / 8);
}
