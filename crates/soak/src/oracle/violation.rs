//! The rules, and the violations that the oracle reports.

use std::fmt;
use std::time::Duration;

/// The rules of the protocol that a run checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Each request that a router has accepted gets exactly one final response, in time.
    MissingAnswer,
    /// A non-idempotent request that may have been executed is neither executed again nor rejected.
    DuplicateExecution,
    /// A request has at most one attempt in flight.
    ConcurrentAttempts,
    /// An endpoint that is draining or removed gets no new attempts.
    Drain,
    /// KV state and decode slots are used or released in time.
    LeakedLease,
    /// No attempt starts after the client of its request has disconnected.
    AfterDisconnect,
    /// An attempt does not state more time until the deadline than is left for its client.
    Deadline,
    /// An endpoint in slow start gets no more attempts than its budget.
    SlowStart,
    /// A router process ends only when it is signalled to, and logs no internal error.
    Crash,
}

/// One case in which a rule was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// When the violation was found, as the time since the start of the run.
    pub at: Duration,
    /// A description of what happened.
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
