//! Load reports, and what they are worth with age.

use crate::config::Role;
use crate::endpoints::Endpoint;
use crate::ids::Micros;
use crate::policy::Policy;

/// The age at which a load report is stale (us).
pub(crate) const STALE_AFTER: f64 = 4_000_000.0;
/// The mean prefills whose tokens, waiting at an endpoint, make its queue count as full.
const FULL_QUEUE_PREFILLS: f64 = 24.0;
/// The tokens of a prefill where none has been seen.
const DEFAULT_PREFILL_TOKENS: f64 = 1000.0;
const TOKENS_IN_KILOTOKEN: f64 = 1000.0;

/// The shares in use that an endpoint reports.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ReportedLoad {
    pub(crate) memory: Option<f64>,
    pub(crate) slots: Option<f64>,
    /// May be over 1.
    pub(crate) queue: Option<f64>,
}

/// A figure within its range; `None` if it is no number.
fn sane(figure: Option<f64>, max: f64) -> Option<f64> {
    figure
        .filter(|figure| figure.is_finite())
        .map(|figure| figure.clamp(0.0, max))
}

impl Policy {
    pub(crate) fn reported_load(&self, endpoint: &Endpoint) -> ReportedLoad {
        let Some(load) = endpoint.load else {
            return ReportedLoad::default();
        };
        let mean_prefill = self.work.overall(Role::Prefill, DEFAULT_PREFILL_TOKENS);
        let full_queue = mean_prefill / TOKENS_IN_KILOTOKEN * FULL_QUEUE_PREFILLS;
        ReportedLoad {
            memory: sane(load.report.memory_utilization, 1.0),
            slots: sane(load.report.slot_utilization, 1.0),
            queue: sane(load.report.pending_kilotokens, f64::MAX)
                .map(|pending| pending / full_queue),
        }
    }

    /// A reported figure; with age it says little of one endpoint and fades to the mean.
    pub(crate) fn faded_load(
        &self,
        endpoint: &Endpoint,
        reported: Option<f64>,
        mean: Option<f64>,
    ) -> Option<f64> {
        let (Some(reported), Some(mean), Some(load)) = (reported, mean, endpoint.load) else {
            return mean;
        };
        let age: Micros = self.now - load.at;
        let fade = (age as f64 / STALE_AFTER).min(1.0);
        Some(reported + (mean - reported) * fade)
    }
}
