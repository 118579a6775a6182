//! The policy's view of the endpoints, which the control service passes to other proxies. Nothing
//! here affects a decision.

use crate::actions::EndpointStatus;
use crate::config::Role;
use crate::endpoints::Endpoint;
use crate::events::RequestSpec;
use crate::ids::{ClassId, EndpointId, Micros};
use crate::lane_selection::score::{self, LaneCandidate};
use crate::lane_selection::FleetView;
use crate::policy::Policy;
use crate::requests::Request;
use crate::slow_start::SendKind;

/// Class of the placeholder request with which endpoints are scored. It is not a class of the
/// settings. The request has no session and no shared prefix, so that nothing of it is cached.
const NO_CLASS: ClassId = ClassId(usize::MAX);

impl Policy {
    /// Returns the policy's view of each endpoint that it knows.
    pub fn endpoint_statuses(&mut self, now: Micros) -> Vec<EndpointStatus> {
        self.now = now;
        let fleet = self.fleet_view();
        let spec = RequestSpec {
            class: NO_CLASS,
            ..RequestSpec::default()
        };
        let request = Request::new(spec, now);
        let status = |(id, endpoint): (&EndpointId, &Endpoint)| {
            self.endpoint_status(*id, endpoint, &request, &fleet)
        };
        self.endpoints.entries.iter().map(status).collect()
    }

    fn endpoint_status(
        &self,
        id: EndpointId,
        endpoint: &Endpoint,
        request: &Request,
        fleet: &FleetView,
    ) -> EndpointStatus {
        let role = self.role_of(endpoint);
        let mut sides: Vec<LaneCandidate> = Vec::new();
        let mut max_score = 0.0;
        if role != Role::Decode {
            sides.push(self.prefill_candidate(&request.spec, id, None, 0, fleet));
            max_score += score::QUEUE_WEIGHT;
        }
        if role != Role::Prefill {
            sides.push(self.decode_candidate(id, fleet, 0));
            max_score += score::MEMORY_WEIGHT + score::SLOT_WEIGHT;
        }
        let is_fresh = sides.iter().all(|side| side.is_fresh);
        let load: f64 = sides.iter().map(|side| side.load).sum();
        let score: f64 = sides.iter().map(|side| side.score).sum();
        EndpointStatus {
            endpoint: id,
            accepts_work: self.accepts(id, request, SendKind::Any)
                && is_fresh
                && load <= score::OVERLOAD_BOUND,
            score: (score / max_score).clamp(0.0, 1.0),
        }
    }
}
