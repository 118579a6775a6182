//! Lane selection: the choice of the prefill and the decode endpoint that serve a request together.
//!
//! `docs/design.md` describes the lane score. `candidates.rs` selects the endpoints that take part,
//! `score.rs` computes what each endpoint contributes to the score of a lane, and `lanes.rs` finds
//! the best pair. `affinity.rs` and `prefix_cache.rs` estimate which prompts are cached at which
//! endpoints.

pub(crate) mod affinity;
mod candidates;
mod fleet_view;
pub(crate) mod lanes;
pub(crate) mod prefix_cache;
pub(crate) mod score;

use rand_core::RngCore;

use crate::config::Role;
use crate::ids::{EndpointId, RequestId};
use crate::policy::Policy;
use crate::random::mix;
use crate::slow_start::SendKind;

pub(crate) use fleet_view::FleetView;
use lanes::{best_lane, Lane, PairingScope};
use score::LaneCandidate;

impl Policy {
    /// Returns the lane with the highest score. If all lanes are overloaded or have stale loads,
    /// returns the one with the fewest prefills of this router, and among those the fewest streams.
    /// Returns `None` if a total concurrency limit is reached or no lane is available.
    pub(crate) fn choose_lane(&mut self, id: RequestId) -> Option<Lane> {
        let spec = self.requests.get(&id)?.spec;
        let total = self.endpoints.total_in_flight();
        if !self.total_limits.allow(&total) {
            return None;
        }
        let fleet = self.fleet_view();
        let target = self.affinity_target(&spec, &fleet);
        let candidates = self.lane_candidates(id, target, &fleet);
        best_lane(
            &candidates.prefill,
            &candidates.decode,
            PairingScope::Narrowest,
        )
    }

    /// Returns the decode endpoint for KV state that waits at `prefill`: the planned one if it
    /// accepts the request, otherwise the best by the lane score.
    pub(crate) fn choose_decode_endpoint(
        &mut self,
        id: RequestId,
        prefill: EndpointId,
    ) -> Option<EndpointId> {
        let salt = self.rng.next_u64();
        let request = self.requests.get(&id)?;
        let prefill_endpoint = self.endpoints.get(prefill)?;
        let planned = request.planned_decode_endpoint;
        if let Some(planned) = planned.filter(|id| self.accepts(*id, request, SendKind::Any)) {
            return Some(planned);
        }
        let fleet = self.fleet_view();
        let no_contribution = score::Contribution::default();
        let prefill_side = LaneCandidate {
            is_fresh: true,
            serves_alone: false,
            ..self.candidate(prefill, prefill_endpoint, no_contribution, 0)
        };
        let mut decode_side = Vec::new();
        for (id, endpoint) in &self.endpoints.entries {
            if self.role_of(endpoint) == Role::Prefill || !self.accepts(*id, request, SendKind::Any)
            {
                continue;
            }
            decode_side.push(LaneCandidate {
                serves_alone: false,
                ..self.decode_candidate(*id, &fleet, tie_breaker(salt, *id))
            });
        }
        let lane = best_lane(&[prefill_side], &decode_side, PairingScope::Cell)?;
        Some(lane.decode)
    }
}

/// Returns a number that breaks ties between equal scores. It depends on a random number of this
/// router, so that routers that know little of the endpoints do not all choose the same ones.
fn tie_breaker(salt: u64, endpoint: EndpointId) -> u32 {
    mix(salt ^ endpoint.0) as u32
}
