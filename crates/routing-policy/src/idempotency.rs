//! The rule on idempotency: what an outcome proves, and whether a request may then be sent again or
//! rejected.
//!
//! This is the one place that decides it. The policy asks before each send and each final response,
//! the driver once more when it carries them out.

use crate::config::{Class, Idempotency, KeyScope, Role};
use crate::events::{EndpointSpec, Outcome};
use crate::ids::{CellId, Micros, ZoneId};

/// The span between the latest write of a retry and the end of its deduplication window (us): the
/// request must arrive in time.
const RETRY_MARGIN: Micros = 100_000;

/// The first attempt of a request that may have been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PossibleExecution {
    /// The zone of its endpoint.
    pub zone: ZoneId,
    /// The cell of its endpoint.
    pub cell: CellId,
    /// When it was sent.
    pub sent_at: Micros,
}

impl PossibleExecution {
    /// An attempt that was sent at that time to an endpoint with this entry of the list.
    pub fn at(endpoint: &EndpointSpec, sent_at: Micros) -> PossibleExecution {
        PossibleExecution {
            zone: endpoint.zone,
            cell: endpoint.cell,
            sent_at,
        }
    }
}

/// Whether an outcome leaves it open that the request has been executed. A prefill has no effect.
/// Anything that an endpoint may not say in its role proves nothing: it counts as executed.
pub fn may_have_executed(role: Role, outcome: Outcome) -> bool {
    match outcome {
        Outcome::Rejected(_) | Outcome::ConnectFailed(_) | Outcome::NotSent => false,
        _ => role != Role::Prefill,
    }
}

/// What may be done with a request of one class once it may have been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryRule {
    idempotency: Idempotency,
    dedup_window: Micros,
}

impl RetryRule {
    /// The rule for a class; the most careful one where the class is not known.
    pub fn of(class: Option<&Class>) -> RetryRule {
        RetryRule {
            idempotency: class.map(|class| class.idempotency).unwrap_or_default(),
            dedup_window: class.and_then(|class| class.dedup_window).unwrap_or(0),
        }
    }

    /// What it means to execute a request of the class more than once.
    pub fn idempotency(&self) -> Idempotency {
        self.idempotency
    }

    /// By when another attempt must be written so that it cannot be executed twice; `None` if none
    /// may be made. At endpoint `to`, a prefill endpoint too, or anywhere if that is not given.
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

    /// Whether it is true that trying again is harmless, which is what a rejection says.
    pub fn may_reject(&self, may_have_executed: bool) -> bool {
        let repetition_is_harmless = matches!(
            self.idempotency,
            Idempotency::Idempotent | Idempotency::Keyed(KeyScope::All)
        );
        !may_have_executed || repetition_is_harmless
    }
}
