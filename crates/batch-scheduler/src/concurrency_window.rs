//! Limit on the slices in flight. It decreases after rejections and increases again while slices
//! succeed.

use crate::Micros;

/// Minimum time between two decreases, in microseconds. Rejections that follow a decrease sooner
/// report the same overload and are ignored.
const MIN_DECREASE_INTERVAL: Micros = 100_000;
/// Factor by which the window is multiplied after a rejection.
const DECREASE_FACTOR: f64 = 0.7;

/// A concurrency window with additive increase and multiplicative decrease (AIMD). It grows by one
/// when as many slices have succeeded as it allows in flight.
#[derive(Debug, Clone)]
pub struct ConcurrencyWindow {
    max: f64,
    size: f64,
    last_decrease_at: Option<Micros>,
}

impl ConcurrencyWindow {
    /// Creates a window of size `max`, which is also its maximum. A `max` of 0 is raised to 1.
    pub fn new(max: usize) -> ConcurrencyWindow {
        let max = max.max(1) as f64;
        ConcurrencyWindow {
            max,
            size: max,
            last_decrease_at: None,
        }
    }

    /// Returns the maximum number of slices in flight.
    pub fn size(&self) -> usize {
        self.size as usize
    }

    /// Records that a slice was served.
    pub fn record_success(&mut self) {
        self.size = (self.size + 1.0 / self.size).min(self.max);
    }

    /// Records that a slice was rejected.
    pub fn record_rejection(&mut self, now: Micros) {
        if self
            .last_decrease_at
            .is_none_or(|at| now - at >= MIN_DECREASE_INTERVAL)
        {
            self.size = (self.size * DECREASE_FACTOR).max(1.0);
            self.last_decrease_at = Some(now);
        }
    }
}

#[cfg(test)]
mod tests;
