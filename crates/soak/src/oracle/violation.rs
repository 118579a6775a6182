//! The rules, and what the oracle reports when one is broken.

use std::fmt;
use std::time::Duration;

/// The rules of the protocol that a run checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Each request that a router has taken gets exactly one final answer, in time.
    MissingAnswer,
    /// A request that may have run is neither run again nor rejected, unless it is idempotent.
    DuplicateExecution,
    /// A request has at most one attempt in flight.
    ConcurrentAttempts,
    /// A server that is draining or removed gets no new attempts.
    Drain,
    /// KV state and decode slots are used or released in time.
    LeakedLease,
    /// No attempt starts after its client has disconnected.
    AfterDisconnect,
    /// The time left that a server is given is no longer than the client will wait.
    Deadline,
    /// A server in slow start gets no more attempts than its budget.
    SlowStart,
    /// A process ends only when it is asked to, and logs no internal fault.
    Crash,
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The time since the start of the run.
    pub at: Duration,
    /// What happened.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} at {:.2} s: {}",
            self.rule,
            self.at.as_secs_f64(),
            self.detail
        )
    }
}
