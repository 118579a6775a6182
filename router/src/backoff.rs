//! How long to wait before a failed call is made again. Free of I/O and time.
//!
//! Many routers call one service. What fails for one fails for all at the same moment, so each waits a span of
//! its own drawing, and the spans grow with each failure in a row until all of them together are few.

use std::time::Duration;

use rand_core::RngCore;
use rand_pcg::Pcg32;

/// Spans before further tries: drawn evenly from nothing to a bound that doubles with each failure in a row.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    most: Duration,
    failures: u32,
    rng: Pcg32,
}

impl Backoff {
    /// Spans of up to `first` after the first failure and up to `most` after many. Routers' seeds must differ.
    pub fn new(first: Duration, most: Duration, seed: u64) -> Backoff {
        Backoff { first, most: most.max(first), failures: 0, rng: Pcg32::new(seed, 0x0a02_bdbf_7bb3_c0a7) }
    }

    /// Notes a failure, and says how long to wait before the next try.
    pub fn failed(&mut self) -> Duration {
        let bound = self.first.saturating_mul(1 << self.failures.min(20)).min(self.most);
        self.failures = self.failures.saturating_add(1);
        bound.mul_f64((f64::from(self.rng.next_u32()) + 0.5) / 2_f64.powi(32))
    }

    /// Notes a success: the next failure is a first one.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bounds_double_up_to_the_most_and_begin_anew_after_a_success() {
        let (first, most) = (Duration::from_millis(100), Duration::from_millis(450));
        let mut longest = [Duration::ZERO; 5];
        let mut backoffs: Vec<_> = (0..400).map(|seed| Backoff::new(first, most, seed)).collect();
        for backoff in &mut backoffs {
            for longest in &mut longest {
                *longest = backoff.failed().max(*longest);
            }
            backoff.succeeded();
            assert!(backoff.failed() <= first);
        }
        for (longest, bound) in longest.iter().zip([100, 200, 400, 450, 450]) {
            let bound = Duration::from_millis(bound);
            assert!(*longest <= bound && *longest > bound.mul_f64(0.95), "{longest:?} of {bound:?}");
        }
    }

    #[test]
    fn routers_with_seeds_of_their_own_do_not_come_back_together() {
        let first = |seed| Backoff::new(Duration::from_secs(1), Duration::from_secs(1), seed).failed();
        let mut spans: Vec<_> = (0..100).map(first).collect();
        spans.sort();
        let tenths = |n: u32| spans.iter().filter(|s| s.as_millis() / 100 == u128::from(n)).count();
        assert!((0..10).all(|n| (3..=20).contains(&tenths(n))), "{spans:?}");
    }

    #[test]
    fn any_bounds_and_any_number_of_failures_are_borne() {
        let mut backoff = Backoff::new(Duration::MAX / 8, Duration::ZERO, 1);
        backoff.failures = u32::MAX;
        assert!(backoff.failed() <= Duration::MAX / 8);
    }
}
