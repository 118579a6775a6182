//! Whether and when a call is retried.

use std::time::Duration;

/// The largest power of two by which the backoff grows.
const MAX_BACKOFF_EXPONENT: u32 = 16;

/// Whether a request may be executed twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// It may: reading, embedding and scoring change nothing.
    #[default]
    Idempotent,
    /// It must not: an order, for example.
    NonIdempotent,
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No connection was established, or it ended before the last byte was written: the request has
    /// not been executed.
    NotSent,
    /// The connection ended after the last byte was written and before a response: the request may
    /// have been executed.
    ConnectionLost,
    /// The service responded.
    Responded {
        /// The status.
        status: u16,
        /// The delay that the service asks for.
        retry_after: Option<Duration>,
    },
    /// A retry is not possible or of no use, as when a part of the response has been seen.
    NotRetryable,
}

/// How calls are retried.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryPolicy {
    /// The most attempts at one call.
    pub max_attempts: u32,
    /// The first delay if the service asks for none; it doubles with each attempt.
    pub initial_delay: Duration,
    /// The longest delay. If the service asks for a longer one, the call is not retried.
    pub max_delay: Duration,
    /// Retries as a share of the successes of all calls.
    pub budget_ratio: f64,
    /// The most retries that may be saved.
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

/// The retries that all calls of a client share, so that they add little load to an outage.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    policy: RetryPolicy,
    available: f64,
}

impl RetryBudget {
    /// A budget that starts full.
    pub fn new(policy: RetryPolicy) -> RetryBudget {
        RetryBudget {
            available: policy.max_saved,
            policy,
        }
    }

    /// Notes that a call succeeded.
    pub fn record_success(&mut self) {
        self.available = (self.available + self.policy.budget_ratio).min(self.policy.max_saved);
    }

    /// The delay before the next attempt, which is taken from the budget, or `None` if there is to
    /// be none. `attempts` counts those made, `remaining` is the time to the deadline, and `jitter`
    /// from 0 to 1 spreads the retries of many clients.
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
            // Never earlier than the service asks for: the jitter is added.
            return Some(retry_after + initial_delay.mul_f64(jitter));
        }
        let exponent = attempts.saturating_sub(1).min(MAX_BACKOFF_EXPONENT);
        let backoff = initial_delay * 2_u32.saturating_pow(exponent);
        Some(backoff.min(max_delay).mul_f64(0.5 + jitter / 2.0))
    }
}

/// Whether a retry cannot execute a request twice that must not be.
fn is_retryable(outcome: AttemptOutcome, idempotency: Idempotency) -> bool {
    match outcome {
        AttemptOutcome::NotSent => true,
        AttemptOutcome::Responded { status, .. } => match status {
            // The request was not executed.
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
