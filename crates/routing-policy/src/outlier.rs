//! Outlier detection: an endpoint that fails is ejected for a limited time, which grows with each
//! further failure.

use std::collections::BTreeMap;

use crate::events::Outcome;
use crate::ids::{ClassId, EndpointId, Micros};
use crate::policy::Policy;

/// Duration of the first ejection. It doubles with each further failure, up to
/// [`MAX_EJECTION_DURATION`].
const FIRST_EJECTION_DURATION: Micros = 500_000;
/// Maximum duration of an ejection.
const MAX_EJECTION_DURATION: Micros = 8_000_000;
/// Maximum number of doublings, which keeps the shift within the range of the integer.
const MAX_DOUBLINGS: u32 = 8;

/// The number of failures that still count, and the end of the ejection that they led to.
#[derive(Debug, Clone, Copy, Default)]
struct Ejection {
    failures: u32,
    until: Micros,
}

impl Ejection {
    fn record_failure(&mut self, min_duration: Micros, now: Micros) {
        let duration = FIRST_EJECTION_DURATION << self.failures.min(MAX_DOUBLINGS);
        self.until = now + duration.max(min_duration).min(MAX_EJECTION_DURATION);
        self.failures += 1;
    }

    fn is_over(&self, now: Micros) -> bool {
        now >= self.until
    }
}

/// The ejections of an endpoint, for all classes together and for each class.
#[derive(Debug, Default)]
pub(crate) struct Ejections {
    all_classes: Option<Ejection>,
    by_class: BTreeMap<ClassId, Ejection>,
}

impl Ejections {
    /// Returns whether the endpoint is ejected for requests of a class.
    pub(crate) fn apply_to(&self, class: ClassId, now: Micros) -> bool {
        let class_ejection = self.by_class.get(&class);
        [self.all_classes.as_ref(), class_ejection]
            .into_iter()
            .flatten()
            .any(|ejection| !ejection.is_over(now))
    }

    /// Ends the ejection for all classes and halves the failures of the class. A single success
    /// does not end the ejection for its class, because an endpoint that fails requests immediately
    /// looks idle and would attract everything that is queued.
    fn record_success(&mut self, class: Option<ClassId>) {
        self.all_classes = None;
        let class_ejection = class.and_then(|class| self.by_class.get_mut(&class));
        if let Some(ejection) = class_ejection {
            ejection.failures /= 2;
        }
    }

    fn entry_for(&mut self, class: Option<ClassId>) -> &mut Ejection {
        match class {
            Some(class) => self.by_class.entry(class).or_default(),
            None => self.all_classes.get_or_insert_default(),
        }
    }
}

impl Policy {
    /// Records the outcome of an attempt of a class, or of a health check, which counts for all
    /// classes. Errors and timeouts eject the endpoint for the class alone, lost connections and
    /// rejections for all classes. Except after rejections, an ejection lasts at least for the mean
    /// interval between this router's requests times the number of endpoints, but no longer than
    /// [`MAX_EJECTION_DURATION`]. If the router has few requests, the ejection would otherwise be
    /// over before the next one.
    pub(crate) fn record_outcome(
        &mut self,
        id: EndpointId,
        class: Option<ClassId>,
        outcome: Outcome,
    ) {
        let now = self.now;
        let interval_per_endpoint = self.traffic_estimates.arrival_interval() as Micros
            * self.endpoints.entries.len() as Micros;
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
                ejections
                    .entry_for(class)
                    .record_failure(interval_per_endpoint, now);
            }
            Outcome::ConnectFailed(_) | Outcome::ConnectionReset(_) => {
                ejections
                    .entry_for(None)
                    .record_failure(interval_per_endpoint, now);
            }
            Outcome::Rejected(_) => ejections.entry_for(None).record_failure(0, now),
            Outcome::InvalidRequest | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }
}
