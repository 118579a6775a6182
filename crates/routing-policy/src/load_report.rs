//! Load reports of endpoints, and how much they count as they age.

use crate::config::Role;
use crate::endpoints::Endpoint;
use crate::ids::Micros;
use crate::policy::Policy;

/// Age in microseconds at which a load report is stale.
pub(crate) const STALE_AFTER: f64 = 4_000_000.0;
/// Number of mean prefills whose tokens make an endpoint's queue count as full if they wait there.
const FULL_QUEUE_PREFILLS: f64 = 24.0;
/// Assumed number of tokens of a prefill before any prefill has been recorded.
const DEFAULT_PREFILL_TOKENS: f64 = 1000.0;
const TOKENS_PER_KILOTOKEN: f64 = 1000.0;

/// The shares of its memory, slots and queue that an endpoint reports as in use. `None` stands for
/// a share that it does not report.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ReportedLoad {
    pub(crate) memory: Option<f64>,
    pub(crate) slots: Option<f64>,
    /// Pending tokens as a share of a full queue, which may exceed 1.
    pub(crate) queue: Option<f64>,
}

/// Clamps a reported value to the range from 0 to `max`. Returns `None` if it is not finite.
fn clamp_reported(value: Option<f64>, max: f64) -> Option<f64> {
    value
        .filter(|value| value.is_finite())
        .map(|value| value.clamp(0.0, max))
}

impl Policy {
    pub(crate) fn reported_load(&self, endpoint: &Endpoint) -> ReportedLoad {
        let Some(load) = endpoint.load else {
            return ReportedLoad::default();
        };
        let mean_prefill = self
            .work_estimates
            .overall(Role::Prefill, DEFAULT_PREFILL_TOKENS);
        let full_queue = mean_prefill / TOKENS_PER_KILOTOKEN * FULL_QUEUE_PREFILLS;
        ReportedLoad {
            memory: clamp_reported(load.report.memory_utilization, 1.0),
            slots: clamp_reported(load.report.slot_utilization, 1.0),
            queue: clamp_reported(load.report.pending_kilotokens, f64::MAX)
                .map(|pending| pending / full_queue),
        }
    }

    /// Returns a value between the reported one and `mean`, or `mean` if nothing is reported. The
    /// older the report is, the less it says about its endpoint and the closer the result is to
    /// `mean`.
    pub(crate) fn age_adjusted_load(
        &self,
        endpoint: &Endpoint,
        reported: Option<f64>,
        mean: Option<f64>,
    ) -> Option<f64> {
        let (Some(reported), Some(mean), Some(load)) = (reported, mean, endpoint.load) else {
            return mean;
        };
        let age: Micros = self.now - load.at;
        let mean_share = (age as f64 / STALE_AFTER).min(1.0);
        Some(reported + (mean - reported) * mean_share)
    }
}
