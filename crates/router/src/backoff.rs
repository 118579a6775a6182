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
        Backoff {
            first,
            most: most.max(first),
            failures: 0,
            rng: Pcg32::new(seed, 0x0a02_bdbf_7bb3_c0a7),
        }
    }

    /// Notes a failure, and says how long to wait before the next try.
    pub fn failed(&mut self) -> Duration {
        let bound = self
            .first
            .saturating_mul(1 << self.failures.min(20))
            .min(self.most);
        self.failures = self.failures.saturating_add(1);
        bound.mul_f64((f64::from(self.rng.next_u32()) + 0.5) / 2_f64.powi(32))
    }

    /// Notes a success: the next failure is a first one.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests;
