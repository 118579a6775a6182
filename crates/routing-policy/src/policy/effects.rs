//! The rule on effects: what an outcome proves, and whether a request may then be sent again or refused. This is the one
//! place that decides it. The module asks before each send and each final answer, the host once more when it carries
//! them out.

use crate::interface::{CellId, Class, Effect, KeyScope, Member, Micros, Outcome, Stage, ZoneId};

/// From a repeat's latest write to its window's end (us): it must arrive in time.
const REPEAT_MARGIN: Micros = 100_000;

/// The first attempt of a request that may have had its effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PossibleRun {
    /// The zone of its server.
    pub zone: ZoneId,
    /// The cell of its server.
    pub cell: CellId,
    /// When it was sent.
    pub sent: Micros,
}

impl PossibleRun {
    /// An attempt that was sent then to a server with this line of the list.
    pub fn at(member: &Member, sent: Micros) -> PossibleRun {
        PossibleRun {
            zone: member.zone,
            cell: member.cell,
            sent,
        }
    }
}

/// Whether an outcome leaves it open that the request has run. A read has no effect. Anything that a server may not say
/// at this stage proves nothing: it counts as having run.
pub fn may_have_run(stage: Stage, outcome: Outcome) -> bool {
    match outcome {
        Outcome::Full | Outcome::NoConn | Outcome::Nop => false,
        _ => stage != Stage::Read,
    }
}

/// What may be done with a request of one class once it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EffectRule {
    effect: Effect,
    window: Micros,
}

impl EffectRule {
    /// The rule for a class; the most careful one where the class is not known.
    pub fn of(class: Option<&Class>) -> EffectRule {
        let effect = class.map(|c| c.effect).unwrap_or_default();
        let window = class.and_then(|c| c.dedup_window).unwrap_or(0);
        EffectRule { effect, window }
    }

    /// By when another attempt must be written so that it cannot repeat an effect; `None` if none may be. At `to`, a
    /// reader too, or anywhere if that is not given.
    pub fn repeat_until(&self, ran: Option<PossibleRun>, to: Option<&Member>) -> Option<Micros> {
        let Some(ran) = ran else {
            return Some(Micros::MAX);
        };
        let scope = match self.effect {
            Effect::Safe => return Some(Micros::MAX),
            Effect::Unsafe => return None,
            Effect::Keyed(scope) => scope,
        };
        let in_reach = |member: &Member| match scope {
            KeyScope::All => true,
            KeyScope::Zone => member.zone == ran.zone,
            KeyScope::Cell => member.cell == ran.cell,
        };
        let until = ran.sent.saturating_add(self.window) - REPEAT_MARGIN;
        Some(until).filter(|_| to.is_none_or(in_reach))
    }

    /// Whether it is true that trying again is harmless, which is what a refusal says.
    pub fn may_refuse(&self, may_have_run: bool) -> bool {
        !may_have_run || matches!(self.effect, Effect::Safe | Effect::Keyed(KeyScope::All))
    }
}
