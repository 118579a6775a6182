//! How many slices may be in flight: fewer after rejections, more again while slices succeed.

use crate::Micros;

/// Rejections within this span of the last decrease count as one: they report the same overload.
const REJECTION_SPAN: Micros = 100_000;
/// The factor by which a rejection decreases the window.
const DECREASE_FACTOR: f64 = 0.7;

/// A window with additive increase, one for each window of successes, and multiplicative decrease.
#[derive(Debug, Clone)]
pub struct ConcurrencyWindow {
    max: f64,
    size: f64,
    decreased_at: Option<Micros>,
}

impl ConcurrencyWindow {
    /// A window that starts at `max`, which is taken as at least 1.
    pub fn new(max: usize) -> ConcurrencyWindow {
        let max = max.max(1) as f64;
        ConcurrencyWindow {
            max,
            size: max,
            decreased_at: None,
        }
    }

    /// How many slices may be in flight.
    pub fn size(&self) -> usize {
        self.size as usize
    }

    /// Notes that a slice was served.
    pub fn record_success(&mut self) {
        self.size = (self.size + 1.0 / self.size).min(self.max);
    }

    /// Notes that a slice was rejected.
    pub fn record_rejection(&mut self, now: Micros) {
        if self
            .decreased_at
            .is_none_or(|at| now - at >= REJECTION_SPAN)
        {
            self.size = (self.size * DECREASE_FACTOR).max(1.0);
            self.decreased_at = Some(now);
        }
    }
}

#[cfg(test)]
mod tests;
