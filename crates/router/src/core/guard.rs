//! The run-time check of the rule on idempotency.
//!
//! The policy decides by [`cranetack_routing_policy::idempotency`], and the core asks the same rule
//! again, by its own record of the request, at the moment in which it carries a decision out. A
//! decision that would break the rule is not carried out, is counted, and is logged with all that
//! happened to the request.

use cranetack_routing_policy::idempotency::{may_have_executed, PossibleExecution, RetryRule};
use cranetack_routing_policy::{EndpointSpec, Micros, Outcome, Role};

/// A decision that would have broken a rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// A retry of what may have been executed, where its class does not permit it.
    Retry,
    /// A rejection, which says that trying again is harmless, after what may have been executed.
    Rejection,
}

/// What may have been executed of one request, as the core has seen it.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExecutionRecord {
    first: Option<PossibleExecution>,
}

impl ExecutionRecord {
    /// An attempt in this role has ended; `execution` is what it is if it may have been executed.
    pub fn attempt_ended(&mut self, role: Role, outcome: Outcome, execution: PossibleExecution) {
        if may_have_executed(role, outcome) {
            self.first.get_or_insert(execution);
        }
    }

    /// Whether the request may be sent to this endpoint now.
    pub fn check_send(
        &self,
        rule: RetryRule,
        to: &EndpointSpec,
        now: Micros,
    ) -> Result<(), Violation> {
        match rule.retry_deadline(self.first, Some(to)) {
            Some(deadline) if now < deadline => Ok(()),
            _ => Err(Violation::Retry),
        }
    }

    /// Whether it may be rejected; `may_be_executing` where an attempt in flight may have an
    /// effect.
    pub fn check_rejection(
        &self,
        rule: RetryRule,
        may_be_executing: bool,
    ) -> Result<(), Violation> {
        if rule.may_reject(self.first.is_some() || may_be_executing) {
            Ok(())
        } else {
            Err(Violation::Rejection)
        }
    }
}

#[cfg(test)]
mod tests;
