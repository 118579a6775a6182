//! A retry budget. It limits retries to a share of the successes, so that retries add little load
//! when many requests fail.

/// Number of retries that may still be made.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    max_saved: f64,
    available: f64,
}

impl RetryBudget {
    /// Creates a budget to which each success adds `ratio` retries, up to `max_saved` unused
    /// retries. It starts full: otherwise a slice that fails before any slice has succeeded would
    /// never be retried.
    pub fn new(ratio: f64, max_saved: f64) -> RetryBudget {
        RetryBudget {
            ratio,
            max_saved,
            available: max_saved,
        }
    }

    /// Records a success.
    pub fn record_success(&mut self) {
        self.available = (self.available + self.ratio).min(self.max_saved);
    }

    /// Takes one retry from the budget if there is one, and returns whether it did.
    pub fn try_take(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests;
