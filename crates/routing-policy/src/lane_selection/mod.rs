//! Lane selection: which prefill and decode endpoint serve a request together.
//!
//! Lanes are scored as `docs/design.md` says: `score.rs` has the parts of an endpoint,
//! `candidates.rs` who takes part, `lanes.rs` the best pair, `affinity.rs` and `prefix_cache.rs`
//! what is likely to be cached where.

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
    /// The best lane by score; if all are overloaded or stale, the fewest prefills and then the
    /// fewest streams.
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

    /// The decode endpoint for KV state that waits at `prefill`: the one with the reserved slot,
    /// else the best by the lane score.
    pub(crate) fn choose_decode_endpoint(
        &mut self,
        id: RequestId,
        prefill: EndpointId,
    ) -> Option<EndpointId> {
        let salt = self.rng.next_u64();
        let request = self.requests.get(&id)?;
        let prefill_endpoint = self.endpoints.get(prefill)?;
        let reserved = request.reserved_slot;
        if let Some(reserved) = reserved.filter(|id| self.accepts(*id, request, SendKind::Any)) {
            return Some(reserved);
        }
        let fleet = self.fleet_view();
        let neutral = score::Contribution::default();
        let prefill_side = LaneCandidate {
            is_fresh: true,
            serves_alone: false,
            ..self.candidate(prefill, prefill_endpoint, neutral, 0)
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

/// Breaks ties by this router's own random number, so that routers that know little do not herd.
fn tie_breaker(salt: u64, endpoint: EndpointId) -> u32 {
    mix(salt ^ endpoint.0) as u32
}
