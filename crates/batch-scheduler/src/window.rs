//! How many slices may be out at once: fewer when they are turned away, more again while they are served.

use crate::Micros;

/// Refusals within so long of one another count once: they speak of the same crowd.
const SAME: Micros = 100_000;
/// What is left of the window after a refusal.
const SHRINK: f64 = 0.7;

/// A window that shrinks by a factor and grows by one for each window of successes.
#[derive(Debug, Clone)]
pub struct Window {
    most: f64,
    size: f64,
    shrunk: Option<Micros>,
}

impl Window {
    /// A window that starts at its most, which is at least 1.
    pub fn new(most: usize) -> Window {
        let most = most.max(1) as f64;
        Window {
            most,
            size: most,
            shrunk: None,
        }
    }

    /// Slices that may be out at once.
    pub fn size(&self) -> usize {
        self.size as usize
    }

    /// A slice was served.
    pub fn served(&mut self) {
        self.size = (self.size + 1.0 / self.size).min(self.most);
    }

    /// A slice was turned away.
    pub fn refused(&mut self, now: Micros) {
        if self.shrunk.is_none_or(|at| now - at >= SAME) {
            self.size = (self.size * SHRINK).max(1.0);
            self.shrunk = Some(now);
        }
    }
}

#[cfg(test)]
mod tests;
