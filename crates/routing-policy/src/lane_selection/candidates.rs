//! The endpoints that are candidates for a lane.

use rand_core::RngCore;

use super::lanes::PairingGroup;
use super::score::LaneCandidate;
use super::{tie_breaker, FleetView};
use crate::config::Role;
use crate::endpoints::Endpoint;
use crate::events::RequestSpec;
use crate::ids::{EndpointId, RequestId};
use crate::policy::Policy;
use crate::random::uniform;
use crate::slow_start::SendKind;

/// The candidates for the prefill and the decode side of a lane.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    pub(crate) prefill: Vec<LaneCandidate>,
    pub(crate) decode: Vec<LaneCandidate>,
}

impl Policy {
    /// Returns the endpoints that have capacity for a request and accept it.
    pub(crate) fn lane_candidates(
        &mut self,
        id: RequestId,
        affinity_target: Option<EndpointId>,
        fleet: &FleetView,
    ) -> Candidates {
        let salt = self.rng.next_u64();
        let request = &self.requests[&id];
        let mut candidates = Candidates::default();
        for (id, endpoint) in &self.endpoints.entries {
            let kind = if affinity_target == Some(*id) {
                SendKind::Affinity
            } else {
                SendKind::Any
            };
            if !has_capacity(endpoint) || !self.accepts(*id, request, kind) {
                continue;
            }
            let role = self.role_of(endpoint);
            let group = self.pairing_group(endpoint, salt, fleet);
            let tie_breaker = tie_breaker(salt, *id);
            if role != Role::Decode {
                let spec = &request.spec;
                let candidate =
                    self.prefill_candidate(spec, *id, affinity_target, tie_breaker, fleet);
                candidates
                    .prefill
                    .push(LaneCandidate { group, ..candidate });
            }
            if role != Role::Prefill {
                let candidate = self.decode_candidate(*id, fleet, tie_breaker);
                candidates.decode.push(LaneCandidate { group, ..candidate });
            }
        }
        if candidates.prefill.is_empty() && self.parameters.decode_can_prefill {
            self.let_decode_endpoints_serve_alone(
                &mut candidates,
                &request.spec,
                affinity_target,
                fleet,
            );
        }
        candidates
    }

    /// Returns the group within which an endpoint is paired, usually its cell. If a cell has more
    /// endpoints of one role than partners for them, the rest of them is paired across the cells of
    /// the zone. Otherwise the few partners in the cell would fill up while others are idle.
    fn pairing_group(&self, endpoint: &Endpoint, salt: u64, fleet: &FleetView) -> PairingGroup {
        let role = self.role_of(endpoint);
        let spec = &endpoint.spec;
        let draw = uniform(salt ^ !spec.id.0);
        if role != Role::Mixed && draw >= fleet.paired_share(spec, role) {
            PairingGroup::Zone(spec.zone)
        } else {
            PairingGroup::Cell(spec.cell)
        }
    }

    /// Lets the decode endpoints, which can process prompts themselves, serve the request alone,
    /// because there is no candidate for the prefill.
    fn let_decode_endpoints_serve_alone(
        &self,
        candidates: &mut Candidates,
        spec: &RequestSpec,
        affinity_target: Option<EndpointId>,
        fleet: &FleetView,
    ) {
        for decode in &mut candidates.decode {
            decode.serves_alone = true;
            let prefill = self.prefill_candidate(
                spec,
                decode.endpoint,
                affinity_target,
                decode.tie_breaker,
                fleet,
            );
            candidates.prefill.push(LaneCandidate {
                serves_alone: true,
                ..prefill
            });
        }
    }
}

/// Returns whether an endpoint's concurrency limits allow another request of this router.
fn has_capacity(endpoint: &Endpoint) -> bool {
    let in_flight = &endpoint.in_flight;
    in_flight.prefill_weight < endpoint.limits.prefill.value()
        && in_flight.current_and_expected_streams() < endpoint.limits.streams.value()
}
