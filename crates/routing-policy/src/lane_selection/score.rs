//! The lane score, S = 0.4 C + 0.1 (1 - M) + 0.3 (1 - Q) + 0.2 (1 - L), and the bound above which
//! a lane is overloaded, which applies to M/100 + 2 Q.
//!
//! Both are from StreamServe's FlowGuard, section 3.3. C is the cached share of the prompt and Q
//! the share of the queue in use at the prefill endpoint. M is the share of memory and L the share
//! of slots in use at the decode endpoint.

use super::lanes::PairingGroup;
use super::FleetView;
use crate::endpoints::Endpoint;
use crate::events::RequestSpec;
use crate::health_check::CHECK_TIMEOUT;
use crate::ids::{CellId, EndpointId, Micros};
use crate::load_report::STALE_AFTER;
use crate::policy::Policy;

/// Weight of C, the share of the prompt that is cached.
const CACHE_WEIGHT: f64 = 0.4;
/// Weight of 1 - M, the free share of memory.
pub(crate) const MEMORY_WEIGHT: f64 = 0.1;
/// Weight of 1 - Q, the free share of the queue.
pub(crate) const QUEUE_WEIGHT: f64 = 0.3;
/// Weight of 1 - L, the free share of slots.
pub(crate) const SLOT_WEIGHT: f64 = 0.2;
/// Bound on M/100 + 2 Q above which a lane is overloaded.
pub(crate) const OVERLOAD_BOUND: f64 = 0.85;
/// Factor of Q in the bounded load.
const QUEUE_LOAD_FACTOR: f64 = 2.0;
/// Divisor of M in the bounded load.
const MEMORY_LOAD_DIVISOR: f64 = 100.0;

/// Weight of this router's prefills in flight at which an endpoint's queue counts as full.
const FULL_QUEUE_PREFILL_WEIGHT: f64 = 8.0;
/// Weight, relative to the mean prefill, of a prefill whose prompt is wholly cached: the endpoint
/// still runs a scheduling step for it and hands over its KV state.
const MIN_PREFILL_WEIGHT: f64 = 0.2;
/// Time for which a decode endpoint counts as full after it has refused a slot reservation.
const SLOT_REFUSAL_DURATION: Micros = 1_000_000;
/// Age at which loads are stale, as a multiple of the mean interval between this router's requests
/// to one endpoint. It applies where it is longer than [`STALE_AFTER`].
const STALE_SEND_INTERVALS: f64 = 2.0;
/// Factor by which prefills count more than streams when lanes are compared by the fewest requests.
const PREFILL_COUNT_FACTOR: f64 = 1e6;

/// One endpoint as the prefill or the decode side of a lane.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LaneCandidate {
    pub(crate) endpoint: EndpointId,
    /// Whether the endpoint serves the request without a partner.
    pub(crate) serves_alone: bool,
    /// Group of endpoints with which the endpoint may be paired.
    pub(crate) group: PairingGroup,
    pub(crate) cell: CellId,
    /// Contribution to the lane score.
    pub(crate) score: f64,
    /// Contribution to the load that [`OVERLOAD_BOUND`] limits.
    pub(crate) load: f64,
    /// Negative of [`Contribution::requests`], so that the highest value has the fewest requests.
    pub(crate) negated_requests: f64,
    /// Whether the endpoint's load is known well enough for the lane score.
    pub(crate) is_fresh: bool,
    pub(crate) tie_breaker: u32,
}

/// What an endpoint contributes to a lane as its prefill or its decode side.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Contribution {
    pub(crate) score: f64,
    pub(crate) load: f64,
    /// This router's requests at the endpoint, weighted so that prefills count more than streams.
    pub(crate) requests: f64,
}

impl Policy {
    /// Returns an endpoint as the prefill side of a lane, with 0.4 C + 0.3 (1 - Q) of the score and
    /// 2 Q of the bounded load. The mean of other endpoints, which stands in for an absent or old
    /// report, counts for the score only, so that it cannot make an endpoint overloaded.
    pub(crate) fn prefill_candidate(
        &self,
        spec: &RequestSpec,
        id: EndpointId,
        affinity_target: Option<EndpointId>,
        tie_breaker: u32,
        fleet: &FleetView,
    ) -> LaneCandidate {
        let endpoint = &self.endpoints.entries[&id];
        let in_flight = endpoint.in_flight.prefill_weight;
        let own_share = in_flight / FULL_QUEUE_PREFILL_WEIGHT;
        let mean = *fleet.mean_queue.get(self.role_of(endpoint));
        let reported = self.reported_load(endpoint).queue;
        let with_mean = self.age_adjusted_load(endpoint, reported, mean);
        let without_mean = self.age_adjusted_load(endpoint, reported, Some(0.0));
        let queue = with_mean.unwrap_or(0.0).max(own_share);
        let bounded_queue = without_mean.unwrap_or(0.0).max(own_share);
        let cached = self.cached_share(spec, endpoint, affinity_target == Some(id));
        let contribution = Contribution {
            score: CACHE_WEIGHT * cached + QUEUE_WEIGHT * (1.0 - queue.min(1.0)),
            load: QUEUE_LOAD_FACTOR * bounded_queue,
            requests: in_flight * PREFILL_COUNT_FACTOR,
        };
        self.candidate(id, endpoint, contribution, tie_breaker)
    }

    /// Returns an endpoint as the decode side of a lane, with 0.1 (1 - M) + 0.2 (1 - L) of the
    /// score and M/100 of the bounded load. If no endpoint of its role has reported M or L, this
    /// router's streams at the endpoint, divided by its most streams at any endpoint, stand in for
    /// it.
    pub(crate) fn decode_candidate(
        &self,
        id: EndpointId,
        fleet: &FleetView,
        tie_breaker: u32,
    ) -> LaneCandidate {
        let endpoint = &self.endpoints.entries[&id];
        let role = self.role_of(endpoint);
        let streams = endpoint.in_flight.streams;
        let own_share = streams / fleet.max_streams;
        let reported = self.reported_load(endpoint);
        let memory = self
            .age_adjusted_load(endpoint, reported.memory, *fleet.mean_memory.get(role))
            .unwrap_or(own_share);
        let slots = self
            .age_adjusted_load(endpoint, reported.slots, *fleet.mean_slots.get(role))
            .unwrap_or(own_share);
        let is_full = self.now < endpoint.slot_refused_at + SLOT_REFUSAL_DURATION;
        let full = if is_full { 1.0 } else { 0.0 };
        let contribution = Contribution {
            score: MEMORY_WEIGHT * (1.0 - memory) + SLOT_WEIGHT * (1.0 - slots),
            load: memory / MEMORY_LOAD_DIVISOR + full,
            requests: streams,
        };
        self.candidate(id, endpoint, contribution, tie_breaker)
    }

    /// Returns an endpoint as one side of a lane within its cell.
    pub(crate) fn candidate(
        &self,
        id: EndpointId,
        endpoint: &Endpoint,
        contribution: Contribution,
        tie_breaker: u32,
    ) -> LaneCandidate {
        let cell = endpoint.spec.cell;
        LaneCandidate {
            endpoint: id,
            serves_alone: self.role_of(endpoint) == crate::config::Role::Mixed,
            group: PairingGroup::Cell(cell),
            cell,
            score: contribution.score,
            load: contribution.load,
            negated_requests: -contribution.requests,
            is_fresh: self.is_fresh(endpoint),
            tie_breaker,
        }
    }

    /// Returns whether the load report of an endpoint, if it has one, is recent enough, and less
    /// than [`CHECK_TIMEOUT`] has passed since [`Endpoint::unresponsive_since`].
    fn is_fresh(&self, endpoint: &Endpoint) -> bool {
        let stale_intervals = STALE_SEND_INTERVALS * self.traffic_estimates.arrival_interval();
        let stale_after = STALE_AFTER.max(stale_intervals * self.endpoints.entries.len() as f64);
        let is_recent = endpoint
            .load
            .is_none_or(|load| ((self.now - load.at) as f64) < stale_after);
        self.now - CHECK_TIMEOUT < endpoint.unresponsive_since && is_recent
    }

    /// Returns the weight of a prefill relative to the mean one, by its uncached tokens, so that a
    /// very long prompt counts as more than one prefill.
    pub(crate) fn prefill_weight(&self, spec: &RequestSpec, endpoint: &Endpoint) -> f64 {
        let cached = self.cached_share(spec, endpoint, false);
        let uncached = spec.prompt_tokens as f64 * (1.0 - cached);
        let mean = self
            .work_estimates
            .overall(crate::config::Role::Prefill, uncached)
            .max(1.0);
        MIN_PREFILL_WEIGHT + (1.0 - MIN_PREFILL_WEIGHT) * uncached / mean
    }
}
