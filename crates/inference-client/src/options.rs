//! Options of a client.

use std::time::Duration;

use crate::retry::{Idempotency, RetryPolicy};

/// Options of the calls of a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Time within which a call must be complete, including all its attempts. For a stream, the
    /// time within which the response must begin.
    pub deadline: Duration,
    /// Maximum time between two parts of a stream.
    pub idle_timeout: Duration,
    /// Whether requests may be executed twice.
    pub idempotency: Idempotency,
    /// API key of the tenant.
    pub api_key: Option<String>,
    /// Id of the session: a series of requests in which each prompt begins with the previous one.
    pub session: Option<String>,
    /// When and how often calls are retried.
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
