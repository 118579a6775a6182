//! Outlier detection: failures eject an endpoint for a while, longer each time.

use std::collections::BTreeMap;

use crate::events::Outcome;
use crate::ids::{ClassId, EndpointId, Micros};
use crate::policy::Policy;

/// The span of the first ejection (us), doubled with each further failure ...
const FIRST_EJECTION: Micros = 500_000;
/// ... up to this span (us).
const MAX_EJECTION: Micros = 8_000_000;
/// The most doublings, which keeps the shift in range.
const MAX_DOUBLINGS: u32 = 8;

/// Failures in a row, and the ejection that they led to.
#[derive(Debug, Clone, Copy, Default)]
struct Ejection {
    failures: u32,
    until: Micros,
}

impl Ejection {
    fn record_failure(&mut self, min_span: Micros, now: Micros) {
        let span = FIRST_EJECTION << self.failures.min(MAX_DOUBLINGS);
        self.until = now + span.max(min_span).min(MAX_EJECTION);
        self.failures += 1;
    }

    fn is_over(&self, now: Micros) -> bool {
        now >= self.until
    }
}

/// The ejections of an endpoint: for all classes, and for single ones.
#[derive(Debug, Default)]
pub(crate) struct Ejections {
    all_classes: Option<Ejection>,
    by_class: BTreeMap<ClassId, Ejection>,
}

impl Ejections {
    /// Whether the endpoint is ejected for requests of a class.
    pub(crate) fn apply_to(&self, class: ClassId, now: Micros) -> bool {
        let of_class = self.by_class.get(&class);
        [self.all_classes.as_ref(), of_class]
            .into_iter()
            .flatten()
            .any(|ejection| !ejection.is_over(now))
    }

    /// One success is no recovery for its class: an endpoint that fails at once looks idle and
    /// draws all that is queued.
    fn record_success(&mut self, class: Option<ClassId>) {
        self.all_classes = None;
        let of_class = class.and_then(|class| self.by_class.get_mut(&class));
        if let Some(ejection) = of_class {
            ejection.failures /= 2;
        }
    }

    fn of(&mut self, class: Option<ClassId>) -> &mut Ejection {
        match class {
            Some(class) => self.by_class.entry(class).or_default(),
            None => self.all_classes.get_or_insert_default(),
        }
    }
}

impl Policy {
    /// Records the outcome of an attempt of a class, or of a health check. Errors and timeouts
    /// eject the endpoint for their class alone, lost connections and rejections for all. The fewer
    /// requests this router has, the longer, else an ejection would be over before the next
    /// request.
    pub(crate) fn record_outcome(
        &mut self,
        id: EndpointId,
        class: Option<ClassId>,
        outcome: Outcome,
    ) {
        let now = self.now;
        let round =
            self.traffic.arrival_interval() as Micros * self.endpoints.entries.len() as Micros;
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let ejections = &mut endpoint.ejections;
        match outcome {
            Outcome::Completed | Outcome::Prefilled { .. } => {
                endpoint.unresponsive_since = Micros::MAX;
                ejections.record_success(class);
            }
            Outcome::ServerError | Outcome::TimedOut => {
                ejections.of(class).record_failure(round, now);
            }
            Outcome::ConnectFailed(_) | Outcome::ConnectionReset(_) => {
                ejections.of(None).record_failure(round, now);
            }
            Outcome::Rejected(_) => ejections.of(None).record_failure(0, now),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }
}
