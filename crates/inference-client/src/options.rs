//! The options of a client.

use std::time::Duration;

use crate::retry::{Idempotency, RetryPolicy};

/// How a client makes its calls.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The deadline of a call over all its attempts; for a stream, of its first event.
    pub deadline: Duration,
    /// How long a stream may pause once it has begun.
    pub idle_timeout: Duration,
    /// Whether requests may be executed twice.
    pub idempotency: Idempotency,
    /// The tenant's API key.
    pub api_key: Option<String>,
    /// The session, whose prompts extend one another.
    pub session: Option<String>,
    /// How calls are retried.
    pub retry_policy: RetryPolicy,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            deadline: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(30),
            idempotency: Idempotency::Idempotent,
            api_key: None,
            session: None,
            retry_policy: RetryPolicy::default(),
        }
    }
}
