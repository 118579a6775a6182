//! The run-time check of the rule on idempotency.
//!
//! The policy's decisions follow the rule in [`cranetack_routing_policy::idempotency`]. The core
//! applies the same rule to its own record of the request right before it carries a decision out. A
//! decision that would violate the rule is not carried out. It is counted, and it is logged with
//! the trace of the request.

use cranetack_routing_policy::idempotency::{may_have_executed, PossibleExecution, RetryRule};
use cranetack_routing_policy::{EndpointSpec, Micros, Outcome, Role};

/// How a decision of the policy would have violated the rule on idempotency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// A retry of a request that may have been executed, where its class does not permit that.
    Retry,
    /// A rejection of a request that may have been executed: a rejection tells the client that it
    /// is harmless to try again.
    Rejection,
}

/// The core's record of whether a request may have been executed.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExecutionRecord {
    /// The first attempt that may have been executed.
    first_execution: Option<PossibleExecution>,
}

impl ExecutionRecord {
    /// Records the end of an attempt at an endpoint of this role. `execution` is stored if the
    /// outcome says that the attempt may have been executed.
    pub fn attempt_ended(&mut self, role: Role, outcome: Outcome, execution: PossibleExecution) {
        if may_have_executed(role, outcome) {
            self.first_execution.get_or_insert(execution);
        }
    }

    /// Returns whether an attempt that has ended may have been executed.
    pub fn may_have_executed(&self) -> bool {
        self.first_execution.is_some()
    }

    /// Checks whether the request may be sent to this endpoint now.
    pub fn check_send(
        &self,
        rule: RetryRule,
        to: &EndpointSpec,
        now: Micros,
    ) -> Result<(), Violation> {
        match rule.retry_deadline(self.first_execution, Some(to)) {
            Some(deadline) if now < deadline => Ok(()),
            _ => Err(Violation::Retry),
        }
    }

    /// Checks whether the request may be rejected. `may_be_executing` says that an attempt is in
    /// flight that can have an effect.
    pub fn check_rejection(
        &self,
        rule: RetryRule,
        may_be_executing: bool,
    ) -> Result<(), Violation> {
        if rule.may_reject(self.first_execution.is_some() || may_be_executing) {
            Ok(())
        } else {
            Err(Violation::Rejection)
        }
    }
}

#[cfg(test)]
mod tests;
