//! The rule on idempotency: whether a request may have been executed, and whether it may then be
//! sent again or rejected.
//!
//! No other module decides this. The policy applies the rule before each send and each final
//! response, and the driver applies it again when it carries them out.

use crate::config::{Class, Idempotency, KeyScope, Role};
use crate::events::{EndpointSpec, Outcome};
use crate::ids::{CellId, Micros, ZoneId};

/// The time from the latest write of a retry to the end of its deduplication window, in
/// microseconds: the request must arrive at the endpoint before the window ends.
const RETRY_MARGIN: Micros = 100_000;

/// The first attempt of a request that may have been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PossibleExecution {
    /// The zone of the endpoint that the attempt was sent to.
    pub zone: ZoneId,
    /// The cell of the endpoint that the attempt was sent to.
    pub cell: CellId,
    /// The time at which the attempt was sent.
    pub sent_at: Micros,
}

impl PossibleExecution {
    /// The record of an attempt that was sent to `endpoint` at `sent_at`.
    pub fn at(endpoint: &EndpointSpec, sent_at: Micros) -> PossibleExecution {
        PossibleExecution {
            zone: endpoint.zone,
            cell: endpoint.cell,
            sent_at,
        }
    }
}

/// Whether a request may have been executed by an attempt with this role and outcome. Prefills have
/// no effect and are not executions. Any other attempt counts as executed unless its outcome shows
/// that it was not; an outcome that the role does not allow shows nothing.
pub fn may_have_executed(role: Role, outcome: Outcome) -> bool {
    match outcome {
        Outcome::Rejected(_) | Outcome::ConnectFailed(_) | Outcome::NotSent => false,
        _ => role != Role::Prefill,
    }
}

/// The rule for requests of one class: whether they may be sent again or rejected once they may
/// have been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryRule {
    idempotency: Idempotency,
    dedup_window: Micros,
}

impl RetryRule {
    /// The rule for a class, or the safest one if the class is not known.
    pub fn of(class: Option<&Class>) -> RetryRule {
        RetryRule {
            idempotency: class.map(|class| class.idempotency).unwrap_or_default(),
            dedup_window: class.and_then(|class| class.dedup_window).unwrap_or(0),
        }
    }

    /// Whether a request of the class may be executed more than once.
    pub fn idempotency(&self) -> Idempotency {
        self.idempotency
    }

    /// The time by which the next attempt must be written so that the request is not executed
    /// twice; `Micros::MAX` if the request cannot have been executed yet or the class is
    /// idempotent, `None` if no attempt may be made. If `to` is given, whatever its role, the time
    /// is for an attempt at that endpoint, else for one at any endpoint.
    pub fn retry_deadline(
        &self,
        executed: Option<PossibleExecution>,
        to: Option<&EndpointSpec>,
    ) -> Option<Micros> {
        let Some(executed) = executed else {
            return Some(Micros::MAX);
        };
        let scope = match self.idempotency {
            Idempotency::Idempotent => return Some(Micros::MAX),
            Idempotency::NonIdempotent => return None,
            Idempotency::Keyed(scope) => scope,
        };
        let is_in_scope = |endpoint: &EndpointSpec| match scope {
            KeyScope::All => true,
            KeyScope::Zone => endpoint.zone == executed.zone,
            KeyScope::Cell => endpoint.cell == executed.cell,
        };
        if !to.is_none_or(is_in_scope) {
            return None;
        }
        Some(executed.sent_at.saturating_add(self.dedup_window) - RETRY_MARGIN)
    }

    /// Whether a request may be rejected. A rejection tells the client that it is harmless to try
    /// again.
    pub fn may_reject(&self, may_have_executed: bool) -> bool {
        let repetition_is_harmless = matches!(
            self.idempotency,
            Idempotency::Idempotent | Idempotency::Keyed(KeyScope::All)
        );
        !may_have_executed || repetition_is_harmless
    }
}
