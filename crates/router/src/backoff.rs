//! Exponential backoff with jitter. It performs no I/O and reads no clock.
//!
//! Many routers call one service, and when it fails, it fails for all of them at the same moment.
//! So that they do not retry together, each router draws random delays. Their bound grows with each
//! consecutive failure.

use std::time::Duration;

use rand_core::RngCore;
use rand_pcg::Pcg32;

/// Maximum number of times that the bound doubles. It keeps the factor within a `u32`.
const MAX_DOUBLINGS: u32 = 20;

/// Computes the delays before retries. A delay is drawn uniformly between zero and a bound that
/// doubles with each consecutive failure.
#[derive(Debug, Clone)]
pub(crate) struct Backoff {
    first_bound: Duration,
    max_bound: Duration,
    failures: u32,
    rng: Pcg32,
}

impl Backoff {
    /// Creates a backoff whose delays are at most `first_bound` after the first failure, and at
    /// most `max_bound` after many. The routers' seeds must differ.
    pub(crate) fn new(first_bound: Duration, max_bound: Duration, seed: u64) -> Backoff {
        Backoff {
            first_bound,
            max_bound: max_bound.max(first_bound),
            failures: 0,
            rng: Pcg32::new(seed, 0x0a02_bdbf_7bb3_c0a7),
        }
    }

    /// Records a failure and returns the delay before the retry.
    pub(crate) fn record_failure(&mut self) -> Duration {
        let factor = 1 << self.failures.min(MAX_DOUBLINGS);
        let bound = self.first_bound.saturating_mul(factor).min(self.max_bound);
        self.failures = self.failures.saturating_add(1);
        bound.mul_f64((f64::from(self.rng.next_u32()) + 0.5) / 2_f64.powi(32))
    }

    /// Records a success: the next failure counts as the first one again.
    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests;
