//! KV leases: state that an endpoint holds for a request for a limited span, and its release.

use crate::actions::Action;
use crate::ids::{EndpointId, Micros, RequestId};
use crate::policy::Policy;
use crate::requests::RequestState;

/// KV state that waits at a prefill endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct KvLease {
    /// The endpoint that holds it.
    pub(crate) endpoint: EndpointId,
    /// Since when no attempt to fetch it is in flight.
    pub(crate) since: Micros,
}

impl Policy {
    pub(crate) fn lease_has_ended(&self, since: Micros) -> bool {
        self.now >= since + self.parameters.kv_lease
    }

    /// A timer of a request has fired: what it holds may be due for release.
    pub(crate) fn check_lease(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match &request.state {
            RequestState::Prefilled(lease) if self.lease_has_ended(lease.since) => {
                self.release(id);
            }
            RequestState::Decoding { attempt, .. } if self.lease_has_ended(attempt.sent_at) => {
                self.release_unfetched(id);
            }
            _ => {}
        }
    }

    /// Releases the KV state and the slot that are held for a request without an attempt in flight.
    pub(crate) fn release(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !request.holds_state {
            return;
        }
        request.holds_state = false;
        request.reserved_slot = None;
        if matches!(request.state, RequestState::Prefilled(_)) {
            request.state = RequestState::Queued;
        }
        self.actions.push(Action::ReleaseState(id));
    }

    /// Releases KV state while an attempt to fetch it is in flight, which may not have arrived, as
    /// open connections can fall silent. If it has arrived nothing is lost: endpoints release only
    /// what no attempt waits for.
    fn release_unfetched(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !request.released_unfetched {
            request.released_unfetched = true;
            self.actions.push(Action::ReleaseState(id));
        }
    }
}
