//! The rule on effects: what an outcome proves, and whether a request may then be sent again or refused. This is the one
//! place that decides it. The module asks before each send and each final answer, the endpoint once more when it carries
//! them out.

use crate::{CellId, Class, EndpointSpec, Idempotency, KeyScope, Micros, Outcome, Role, ZoneId};

/// From a repeat's latest write to its window's end (us): it must arrive in time.
const REPEAT_MARGIN: Micros = 100_000;

/// The first attempt of a request that may have had its effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PossibleExecution {
    /// The zone of its server.
    pub zone: ZoneId,
    /// The cell of its server.
    pub cell: CellId,
    /// When it was sent.
    pub sent: Micros,
}

impl PossibleExecution {
    /// An attempt that was sent then to a server with this line of the list.
    pub fn at(member: &EndpointSpec, sent: Micros) -> PossibleExecution {
        PossibleExecution {
            zone: member.zone,
            cell: member.cell,
            sent,
        }
    }
}

/// Whether an outcome leaves it open that the request has run. A read has no effect. Anything that a server may not say
/// at this stage proves nothing: it counts as having run.
pub fn may_have_executed(stage: Role, outcome: Outcome) -> bool {
    match outcome {
        Outcome::Rejected(_) | Outcome::ConnectFailed(_) | Outcome::NotSent => false,
        _ => stage != Role::Prefill,
    }
}

/// What may be done with a request of one class once it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryRule {
    idempotency: Idempotency,
    window: Micros,
}

impl RetryRule {
    /// The rule for a class; the most careful one where the class is not known.
    pub fn of(class: Option<&Class>) -> RetryRule {
        let idempotency = class.map(|c| c.idempotency).unwrap_or_default();
        let window = class.and_then(|c| c.dedup_window).unwrap_or(0);
        RetryRule {
            idempotency,
            window,
        }
    }

    /// By when another attempt must be written so that it cannot repeat an effect; `None` if none may be. At `to`, a
    /// reader too, or anywhere if that is not given.
    pub fn retry_deadline(
        &self,
        ran: Option<PossibleExecution>,
        to: Option<&EndpointSpec>,
    ) -> Option<Micros> {
        let Some(ran) = ran else {
            return Some(Micros::MAX);
        };
        let scope = match self.idempotency {
            Idempotency::Idempotent => return Some(Micros::MAX),
            Idempotency::NonIdempotent => return None,
            Idempotency::Keyed(scope) => scope,
        };
        let in_reach = |member: &EndpointSpec| match scope {
            KeyScope::All => true,
            KeyScope::Zone => member.zone == ran.zone,
            KeyScope::Cell => member.cell == ran.cell,
        };
        let until = ran.sent.saturating_add(self.window) - REPEAT_MARGIN;
        Some(until).filter(|_| to.is_none_or(in_reach))
    }

    /// Whether it is true that trying again is harmless, which is what a refusal says.
    pub fn may_reject(&self, may_have_executed: bool) -> bool {
        !may_have_executed
            || matches!(
                self.idempotency,
                Idempotency::Idempotent | Idempotency::Keyed(KeyScope::All)
            )
    }
}
