//! Estimates of the work of a request.

use crate::policy::*;
use crate::*;

/// The span (us) that counts of one of `span` during which a sum faded over `over`: a rate is its part of that.
pub(crate) fn seen(span: Micros, over: Micros) -> f64 {
    over as f64 * (1.0 - left(span, over))
}

/// The part that is left after `span` of what fades over `over`, both in us.
fn left(span: Micros, over: Micros) -> f64 {
    (-(span as f64) / over as f64).exp()
}

/// A sum of which the earlier parts fade.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Fading {
    sum: f64,
    at: Micros,
}

impl Fading {
    /// What it is at `now`, where it fades over `over` (us).
    pub(crate) fn at(&self, now: Micros, over: Micros) -> f64 {
        self.sum * left(now - self.at, over)
    }

    /// Adds to it at `now`, which only advances.
    pub(crate) fn add(&mut self, part: f64, now: Micros, over: Micros) {
        *self = Fading {
            sum: self.at(now, over) + part,
            at: now,
        };
    }
}

impl Policy {
    pub(crate) fn class_work(&self, stage: Role, class: ClassId, unknown: f64) -> f64 {
        let mean = |class| self.work.get(&(stage, class)).copied();
        mean(class).or(mean(ANY_CLASS)).unwrap_or(unknown)
    }

    pub(crate) fn learn_work(&mut self, id: RequestId, sent: Out, outcome: Outcome) {
        let Some(ask) = self.requests.get(&id).map(|r| r.ask) else {
            return;
        };
        let work = match outcome {
            Outcome::Prefilled { cached_tokens } => {
                ask.prompt_tokens.saturating_sub(cached_tokens) as f64 + 1.0
            }
            Outcome::Completed => (self.now - sent.sent).max(1) as f64,
            _ => return,
        };
        let stage = self
            .endpoints
            .get(&sent.endpoint)
            .map_or(sent.stage, |h| self.stage(h));
        for class in [ANY_CLASS, ask.class] {
            let mean = self.work.entry((stage, class)).or_insert(work);
            *mean += (work - *mean) * WORK_STEP;
        }
        let work = self.class_work(stage, ask.class, work);
        if self
            .endpoints
            .get(&sent.endpoint)
            .is_some_and(|h| self.warmth(h) >= 1.0)
        {
            self.carried[stage as usize].add(work, self.now, CARRIED_FOR);
        }
    }
}
