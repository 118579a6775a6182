//! The policy's view of the endpoints, for observers: the control service passes it to
//! other proxies. Decides nothing.

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

/// A request of no class, of which nothing is cached.
const NO_CLASS: ClassId = ClassId(usize::MAX);

impl Policy {
    /// The policy's view of each endpoint that it knows.
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
        let mut parts: Vec<LaneCandidate> = Vec::new();
        let mut highest = 0.0;
        if role != Role::Decode {
            parts.push(self.prefill_candidate(&request.spec, id, None, 0, fleet));
            highest += score::QUEUE_WEIGHT;
        }
        if role != Role::Prefill {
            parts.push(self.decode_candidate(id, fleet, 0));
            highest += score::MEMORY_WEIGHT + score::SLOT_WEIGHT;
        }
        let is_fresh = parts.iter().all(|part| part.is_fresh);
        let load: f64 = parts.iter().map(|part| part.load).sum();
        let score: f64 = parts.iter().map(|part| part.score).sum();
        EndpointStatus {
            endpoint: id,
            accepts_work: self.accepts(id, request, SendKind::Any)
                && is_fresh
                && load <= score::OVERLOAD_BOUND,
            score: (score / highest).clamp(0.0, 1.0),
        }
    }
}
