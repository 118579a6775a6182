//! The endpoints that take part in the choice of a lane.

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

/// The candidates for both sides of a lane.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    pub(crate) prefill: Vec<LaneCandidate>,
    pub(crate) decode: Vec<LaneCandidate>,
}

impl Policy {
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
            self.let_decode_serve_alone(&mut candidates, &request.spec, affinity_target, fleet);
        }
        candidates
    }

    /// Where cells have more endpoints of one role than of the other, the rest of these are paired
    /// across cells: else few partners would fill up and others stand idle.
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

    /// No prefill endpoint is left: decode endpoints that can process prompts serve requests alone.
    fn let_decode_serve_alone(
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

/// Whether there is capacity for a further request of this router.
fn has_capacity(endpoint: &Endpoint) -> bool {
    let in_flight = &endpoint.in_flight;
    in_flight.prefill_weight < endpoint.limits.prefill.value()
        && in_flight.all_streams() < endpoint.limits.streams.value()
}
