//! Load reports and what they are worth with age.

use crate::policy::*;
use crate::*;

const QUEUE_ALL: f64 = 24.0; // reads waiting at a reader, by its report, at which it counts as full

impl Policy {
    pub(crate) fn hear(&mut self, id: EndpointId, load: Option<LoadReport>) {
        if let (Some(endpoint), Some(load)) =
            (self.endpoints.get_mut(&id).filter(|h| h.listed), load)
        {
            endpoint.load = Some((self.now, load));
        }
    }

    /// A reported figure. With age it says little of one server and fades to the mean.
    pub(crate) fn told(&self, endpoint: &Endpoint, of: usize, mean: Option<f64>) -> Option<f64> {
        let fade = endpoint.load.map_or(1.0, |(at, _)| {
            ((self.now - at) as f64 / STALE_AFTER).min(1.0)
        });
        self.figures(endpoint)[of]
            .zip(mean)
            .map(|(own, mean)| own + (mean - own) * fade)
            .or(mean)
    }

    /// The shares of its memory, of its slots and of a full queue that a server reports.
    pub(crate) fn figures(&self, endpoint: &Endpoint) -> [Option<f64>; 3] {
        let full = self.class_work(Role::Prefill, ANY_CLASS, 1000.0) / 1000.0 * QUEUE_ALL;
        let sane = |v: Option<f64>, most| v.filter(|v| v.is_finite()).map(|v| v.clamp(0.0, most));
        let queue = |l: LoadReport| sane(l.pending_kilotokens, f64::MAX).map(|p| p / full);
        endpoint.load.map_or([None; 3], |(_, l)| {
            [
                sane(l.memory_utilization, 1.0),
                sane(l.slot_utilization, 1.0),
                queue(l),
            ]
        })
    }
}
