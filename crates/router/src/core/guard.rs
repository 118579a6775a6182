//! The run-time check of the rule on effects: the module decides by [`cranetack_routing_policy::idempotency`], and the core asks the same rule
//! again, by its own record of the request, at the moment in which it carries a decision out. A decision that would break
//! it is not carried out, is counted, and is written to the log with all that happened to the request.

use cranetack_routing_policy::idempotency::{may_have_executed, PossibleExecution, RetryRule};
use cranetack_routing_policy::{EndpointSpec, Micros, Outcome, Role};

/// A decision that would have broken a rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breach {
    /// A repeat of what may have run, where its class does not permit it.
    Repeat,
    /// A refusal, which says that trying again is harmless, after what may have run.
    Refusal,
}

/// What may have run of one request, as the core has seen it.
#[derive(Debug, Clone, Copy, Default)]
pub struct EffectRecord {
    ran: Option<PossibleExecution>,
}

impl EffectRecord {
    /// An attempt of this stage has ended; `run` is what it is if it may have had its effect.
    pub fn ended(&mut self, stage: Role, outcome: Outcome, run: PossibleExecution) {
        if may_have_executed(stage, outcome) {
            self.ran.get_or_insert(run);
        }
    }

    /// Whether the request may be sent to this server now.
    pub fn check_send(
        &self,
        rule: RetryRule,
        to: &EndpointSpec,
        now: Micros,
    ) -> Result<(), Breach> {
        match rule.retry_deadline(self.ran, Some(to)) {
            Some(until) if now < until => Ok(()),
            _ => Err(Breach::Repeat),
        }
    }

    /// Whether it may be refused; `out` where an attempt is out that may have an effect.
    pub fn check_refusal(&self, rule: RetryRule, out: bool) -> Result<(), Breach> {
        match rule.may_reject(self.ran.is_some() || out) {
            true => Ok(()),
            false => Err(Breach::Refusal),
        }
    }
}

#[cfg(test)]
mod tests;
