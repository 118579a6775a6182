//! The run-time check of the rule on effects: the module decides by [`cranetack_routing_policy::effects`], and the core asks the same rule
//! again, by its own record of the request, at the moment in which it carries a decision out. A decision that would break
//! it is not carried out, is counted, and is written to the log with all that happened to the request.

use cranetack_routing_policy::effects::{may_have_run, EffectRule, PossibleRun};
use cranetack_routing_policy::{Member, Micros, Outcome, Stage};

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
    ran: Option<PossibleRun>,
}

impl EffectRecord {
    /// An attempt of this stage has ended; `run` is what it is if it may have had its effect.
    pub fn ended(&mut self, stage: Stage, outcome: Outcome, run: PossibleRun) {
        if may_have_run(stage, outcome) {
            self.ran.get_or_insert(run);
        }
    }

    /// Whether the request may be sent to this server now.
    pub fn check_send(&self, rule: EffectRule, to: &Member, now: Micros) -> Result<(), Breach> {
        match rule.repeat_until(self.ran, Some(to)) {
            Some(until) if now < until => Ok(()),
            _ => Err(Breach::Repeat),
        }
    }

    /// Whether it may be refused; `out` where an attempt is out that may have an effect.
    pub fn check_refusal(&self, rule: EffectRule, out: bool) -> Result<(), Breach> {
        match rule.may_refuse(self.ran.is_some() || out) {
            true => Ok(()),
            false => Err(Breach::Refusal),
        }
    }
}

#[cfg(test)]
mod tests;
