//! Decisions about whether and when a call is retried.

use std::time::Duration;

/// Exponent of the largest power of two by which the backoff is multiplied.
const MAX_BACKOFF_EXPONENT: u32 = 16;

/// Whether a request may be executed twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// The request may be executed twice: reading, embedding and scoring change nothing.
    #[default]
    Idempotent,
    /// The request must not be executed twice, such as an order.
    NonIdempotent,
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No connection was established, or it was closed before the last byte of the request was
    /// written. The request has not been executed.
    NotSent,
    /// The connection was closed after the last byte of the request was written and before the
    /// response was received. The request may have been executed.
    ConnectionLost,
    /// The service responded with an error.
    Responded {
        /// The HTTP status code.
        status: u16,
        /// The delay that the service asks for before a retry.
        retry_after: Option<Duration>,
    },
    /// A retry is impossible or useless, for example because the caller has seen a part of the
    /// response.
    NotRetryable,
}

/// Limits and delays of retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryPolicy {
    /// Maximum number of attempts at a call, including the first one.
    pub max_attempts: u32,
    /// Backoff after the first attempt if the service asks for no delay. It doubles with each
    /// further attempt.
    pub initial_delay: Duration,
    /// Maximum delay. If the service asks for a longer one, the call is not retried.
    pub max_delay: Duration,
    /// Number of retries that each successful call adds to the budget.
    pub budget_ratio: f64,
    /// Maximum number of retries in the budget.
    pub max_saved: f64,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        RetryPolicy {
            max_attempts: 3,
            initial_delay: Duration::from_millis(50),
            max_delay: Duration::from_secs(5),
            budget_ratio: 0.1,
            max_saved: 10.0,
        }
    }
}

/// The retry budget that all calls of a client share. It limits the load that retries add during an
/// outage.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    policy: RetryPolicy,
    /// Number of retries that may be made now.
    available: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(policy: RetryPolicy) -> RetryBudget {
        RetryBudget {
            available: policy.max_saved,
            policy,
        }
    }

    /// Adds to the budget for a successful call.
    pub fn record_success(&mut self) {
        self.available = (self.available + self.policy.budget_ratio).min(self.policy.max_saved);
    }

    /// Returns the delay before the next attempt, or `None` if the call is not retried. A retry is
    /// taken from the budget. `attempts` is the number of attempts made so far, `remaining` is the
    /// time until the deadline, and `jitter` from 0 to 1 spreads the retries of many clients.
    pub fn next_delay(
        &mut self,
        outcome: AttemptOutcome,
        idempotency: Idempotency,
        attempts: u32,
        remaining: Duration,
        jitter: f64,
    ) -> Option<Duration> {
        if !is_retryable(outcome, idempotency) || attempts >= self.policy.max_attempts {
            return None;
        }
        let delay = self.delay(outcome, attempts, jitter.clamp(0.0, 1.0))?;
        if delay >= remaining || self.available < 1.0 {
            return None;
        }
        self.available -= 1.0;
        Some(delay)
    }

    fn delay(&self, outcome: AttemptOutcome, attempts: u32, jitter: f64) -> Option<Duration> {
        let RetryPolicy {
            initial_delay,
            max_delay,
            ..
        } = self.policy;
        if let AttemptOutcome::Responded {
            retry_after: Some(retry_after),
            ..
        } = outcome
        {
            if retry_after > max_delay {
                return None;
            }
            // The jitter is added, so that no retry is earlier than the service asks for.
            return Some(retry_after + initial_delay.mul_f64(jitter));
        }
        let exponent = attempts.saturating_sub(1).min(MAX_BACKOFF_EXPONENT);
        let backoff = initial_delay * 2_u32.saturating_pow(exponent);
        Some(backoff.min(max_delay).mul_f64(0.5 + jitter / 2.0))
    }
}

/// Returns whether a retry is useful and cannot execute a non-idempotent request twice.
fn is_retryable(outcome: AttemptOutcome, idempotency: Idempotency) -> bool {
    match outcome {
        AttemptOutcome::NotSent => true,
        AttemptOutcome::Responded { status, .. } => match status {
            // These statuses mean that the request was not executed.
            408 | 429 | 503 => true,
            502 => idempotency == Idempotency::Idempotent,
            _ => false,
        },
        AttemptOutcome::ConnectionLost => idempotency == Idempotency::Idempotent,
        AttemptOutcome::NotRetryable => false,
    }
}

#[cfg(test)]
mod tests;
