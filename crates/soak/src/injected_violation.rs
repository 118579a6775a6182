//! Violations that a run causes on purpose, to check that the oracle reports them.

use crate::oracle::Rule;

/// A violation that a run causes on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum InjectedViolation {
    /// Some responses are not reported to the oracle.
    #[value(name = "lost")]
    MissingAnswer,
    /// Some attempts are reported to the oracle twice.
    #[value(name = "duplicate")]
    DuplicateExecution,
    /// Some attempts are reported to the oracle twice, as for `duplicate`, but the oracle must
    /// report concurrent attempts.
    #[value(name = "second-copy")]
    ConcurrentAttempts,
    /// Some releases are dropped on their way to the endpoint.
    #[value(name = "held")]
    LeakedLease,
    /// Some attempts are delayed until after their clients have disconnected.
    #[value(name = "after-client-left")]
    AfterDisconnect,
    /// Some attempts are delayed, so that they state more time until the deadline than is left.
    #[value(name = "deadline")]
    Deadline,
    /// Drains are reported to the oracle as delivered to a router, though the router is not
    /// notified.
    #[value(name = "drain")]
    Drain,
    /// A router process is killed without a report to the oracle.
    #[value(name = "crash")]
    Crash,
}

impl InjectedViolation {
    /// Returns the rule that the violation breaks.
    pub fn rule(self) -> Rule {
        match self {
            InjectedViolation::MissingAnswer => Rule::MissingAnswer,
            InjectedViolation::DuplicateExecution => Rule::DuplicateExecution,
            InjectedViolation::ConcurrentAttempts => Rule::ConcurrentAttempts,
            InjectedViolation::LeakedLease => Rule::LeakedLease,
            InjectedViolation::AfterDisconnect => Rule::AfterDisconnect,
            InjectedViolation::Deadline => Rule::Deadline,
            InjectedViolation::Drain => Rule::Drain,
            InjectedViolation::Crash => Rule::Crash,
        }
    }
}
