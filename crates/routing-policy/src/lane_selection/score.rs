//! The lane score: S = 0.4 C + 0.1 (1 - M) + 0.3 (1 - Q) + 0.2 (1 - L), and its bound on overload.
//!
//! From StreamServe's FlowGuard, section 3.3. The parts of C and Q are the prefill endpoint's,
//! those of M and L the decode endpoint's.

use super::lanes::PairingGroup;
use super::FleetView;
use crate::endpoints::Endpoint;
use crate::events::RequestSpec;
use crate::health_check::CHECK_TIMEOUT;
use crate::ids::{CellId, EndpointId, Micros};
use crate::load_report::STALE_AFTER;
use crate::policy::Policy;

/// The weight of C, the share of the prompt that is cached.
const CACHE_WEIGHT: f64 = 0.4;
/// The weight of 1 - M, the free share of memory.
pub(crate) const MEMORY_WEIGHT: f64 = 0.1;
/// The weight of 1 - Q, the free share of the queue.
pub(crate) const QUEUE_WEIGHT: f64 = 0.3;
/// The weight of 1 - L, the free share of slots.
pub(crate) const SLOT_WEIGHT: f64 = 0.2;
/// The bound on M/100 + 2 Q above which a lane is overloaded.
pub(crate) const OVERLOAD_BOUND: f64 = 0.85;
const QUEUE_LOAD_FACTOR: f64 = 2.0;
const MEMORY_LOAD_DIVISOR: f64 = 100.0;

/// This router's prefills in flight at which an endpoint's queue counts as full.
const FULL_QUEUE: f64 = 8.0;
/// What a prefill of nothing new weighs beside the mean prefill: its step and the hand-over.
const MIN_PREFILL_WEIGHT: f64 = 0.2;
/// The span for which a decode endpoint that refused a slot counts as full (us).
const SLOT_REFUSAL_SPAN: Micros = 1_000_000;
/// Loads are stale after so many of this router's turns with an endpoint, if that is longer than
/// [`STALE_AFTER`].
const STALE_TURNS: f64 = 2.0;
/// Where the fewest requests decide, prefills come before streams by this factor.
const PREFILLS_FIRST: f64 = 1e6;

/// One endpoint as the prefill or the decode side of a lane.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LaneCandidate {
    pub(crate) endpoint: EndpointId,
    /// It serves the request without a partner.
    pub(crate) serves_alone: bool,
    /// The endpoints that it may be paired with.
    pub(crate) group: PairingGroup,
    pub(crate) cell: CellId,
    /// Its part of the score.
    pub(crate) score: f64,
    /// Its part of what is bounded.
    pub(crate) load: f64,
    /// The higher, the fewer requests of this router are there.
    pub(crate) spare: f64,
    /// Its load is known well enough.
    pub(crate) is_fresh: bool,
    pub(crate) tie_breaker: u32,
}

/// What an endpoint contributes to a lane.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Contribution {
    pub(crate) score: f64,
    pub(crate) load: f64,
    /// The requests of this router there.
    pub(crate) requests: f64,
}

impl Policy {
    /// The prefill side: 0.4 C + 0.3 (1 - Q), and 2 Q of the bound. What the mean of others says
    /// does not make an endpoint overloaded.
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
        let own_share = in_flight / FULL_QUEUE;
        let mean = *fleet.mean_queue.get(self.role_of(endpoint));
        let reported = self.reported_load(endpoint).queue;
        let with_mean = self.faded_load(endpoint, reported, mean);
        let without_mean = self.faded_load(endpoint, reported, Some(0.0));
        let queue = with_mean.unwrap_or(0.0).max(own_share);
        let bounded_queue = without_mean.unwrap_or(0.0).max(own_share);
        let cached = self.cached_share(spec, endpoint, affinity_target == Some(id));
        let contribution = Contribution {
            score: CACHE_WEIGHT * cached + QUEUE_WEIGHT * (1.0 - queue.min(1.0)),
            load: QUEUE_LOAD_FACTOR * bounded_queue,
            requests: in_flight * PREFILLS_FIRST,
        };
        self.candidate(id, endpoint, contribution, tie_breaker)
    }

    /// The decode side: 0.1 (1 - M) + 0.2 (1 - L), and M/100 of the bound. Where nothing is
    /// reported, this router's streams there over the most at any endpoint.
    pub(crate) fn decode_candidate(
        &self,
        id: EndpointId,
        fleet: &FleetView,
        tie_breaker: u32,
    ) -> LaneCandidate {
        let endpoint = &self.endpoints.entries[&id];
        let role = self.role_of(endpoint);
        let streams = endpoint.in_flight.streams;
        let own_share = streams / fleet.most_streams;
        let reported = self.reported_load(endpoint);
        let memory = self
            .faded_load(endpoint, reported.memory, *fleet.mean_memory.get(role))
            .unwrap_or(own_share);
        let slots = self
            .faded_load(endpoint, reported.slots, *fleet.mean_slots.get(role))
            .unwrap_or(own_share);
        let is_full = self.now < endpoint.slot_refused_at + SLOT_REFUSAL_SPAN;
        let full = if is_full { 1.0 } else { 0.0 };
        let contribution = Contribution {
            score: MEMORY_WEIGHT * (1.0 - memory) + SLOT_WEIGHT * (1.0 - slots),
            load: memory / MEMORY_LOAD_DIVISOR + full,
            requests: streams,
        };
        self.candidate(id, endpoint, contribution, tie_breaker)
    }

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
            spare: -contribution.requests,
            is_fresh: self.is_fresh(endpoint),
            tie_breaker,
        }
    }

    /// Whether the load report is recent enough, and no health check has waited for its response
    /// too long.
    fn is_fresh(&self, endpoint: &Endpoint) -> bool {
        let turns = STALE_TURNS * self.traffic.arrival_interval();
        let stale_after = STALE_AFTER.max(turns * self.endpoints.entries.len() as f64);
        let is_recent = endpoint
            .load
            .is_none_or(|load| ((self.now - load.at) as f64) < stale_after);
        self.now - CHECK_TIMEOUT < endpoint.unresponsive_since && is_recent
    }

    /// The weight of a prefill beside the mean one, by its uncached tokens: a huge prompt is not
    /// one of many.
    pub(crate) fn prefill_weight(&self, spec: &RequestSpec, endpoint: &Endpoint) -> f64 {
        let cached = self.cached_share(spec, endpoint, false);
        let uncached = spec.prompt_tokens as f64 * (1.0 - cached);
        let mean = self
            .work
            .overall(crate::config::Role::Prefill, uncached)
            .max(1.0);
        MIN_PREFILL_WEIGHT + (1.0 - MIN_PREFILL_WEIGHT) * uncached / mean
    }
}
