//! A retry budget: retries are a share of the successes, so that they add little load where much
//! fails.

/// The retries that may be made.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    max_saved: f64,
    available: f64,
}

impl RetryBudget {
    /// A budget of `ratio` retries for each success, of which at most `max_saved` are saved. It
    /// starts full: otherwise the first slice to fail would never be retried.
    pub fn new(ratio: f64, max_saved: f64) -> RetryBudget {
        RetryBudget {
            ratio,
            max_saved,
            available: max_saved,
        }
    }

    /// Notes a success.
    pub fn record_success(&mut self) {
        self.available = (self.available + self.ratio).min(self.max_saved);
    }

    /// Takes one retry; returns whether there was one.
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
