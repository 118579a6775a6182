//! Exponential backoff with jitter. Free of I/O and time.
//!
//! Many routers call one service, and what fails for one fails for all at the same moment. So each
//! draws a delay of its own, and the delays grow with each failure in a row.

use std::time::Duration;

use rand_core::RngCore;
use rand_pcg::Pcg32;

/// The bound doubles no more often than this.
const DOUBLINGS_MAX: u32 = 20;

/// Delays before retries, drawn evenly between nothing and a bound that doubles with each failure
/// in a row.
#[derive(Debug, Clone)]
pub(crate) struct Backoff {
    first_bound: Duration,
    max_bound: Duration,
    failures: u32,
    rng: Pcg32,
}

impl Backoff {
    /// Delays of up to `first_bound` after the first failure, and up to `max_bound` after many. The
    /// routers' seeds must differ.
    pub(crate) fn new(first_bound: Duration, max_bound: Duration, seed: u64) -> Backoff {
        Backoff {
            first_bound,
            max_bound: max_bound.max(first_bound),
            failures: 0,
            rng: Pcg32::new(seed, 0x0a02_bdbf_7bb3_c0a7),
        }
    }

    /// Notes a failure: the delay before the retry.
    pub(crate) fn record_failure(&mut self) -> Duration {
        let factor = 1 << self.failures.min(DOUBLINGS_MAX);
        let bound = self.first_bound.saturating_mul(factor).min(self.max_bound);
        self.failures = self.failures.saturating_add(1);
        bound.mul_f64((f64::from(self.rng.next_u32()) + 0.5) / 2_f64.powi(32))
    }

    /// Notes a success: the next failure is a first one.
    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests;
