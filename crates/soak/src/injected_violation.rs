//! Violations that a run causes on purpose, to check that the oracle reports them.

use crate::oracle::Rule;

/// A violation that a run causes on purpose. The names of the values are those of the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum InjectedViolation {
    /// Some answers are not reported to the oracle.
    #[value(name = "lost")]
    MissingAnswer,
    /// Some attempts are reported to the oracle twice.
    #[value(name = "duplicate")]
    DuplicateExecution,
    /// The same, expected to be reported as concurrent attempts.
    #[value(name = "second-copy")]
    ConcurrentAttempts,
    /// Some releases are dropped on their way to the server.
    #[value(name = "held")]
    LeakedLease,
    /// Some attempts are delayed until after their clients have disconnected.
    #[value(name = "after-client-left")]
    AfterDisconnect,
    /// Some attempts are delayed, so that they state more time than is left.
    #[value(name = "deadline")]
    Deadline,
    /// Drains are reported to the oracle of which no router is notified.
    #[value(name = "drain")]
    Drain,
    /// A router process is killed, which is not reported to the oracle.
    #[value(name = "crash")]
    Crash,
}

impl InjectedViolation {
    /// The rule that it breaks.
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
