//! KV leases: KV state that an endpoint holds for a request for a limited time, and its release.

use crate::actions::Action;
use crate::ids::{EndpointId, Micros, RequestId};
use crate::policy::Policy;
use crate::requests::RequestState;

/// KV state that waits at a prefill endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct KvLease {
    /// The endpoint that holds the KV state.
    pub(crate) endpoint: EndpointId,
    /// The time at which the lease began: the end of the prefill, or of the last attempt to fetch
    /// the KV state that ended otherwise than with a connect failure.
    pub(crate) since: Micros,
}

impl Policy {
    /// Whether KV state that has waited since `since` is due for release.
    pub(crate) fn is_lease_over(&self, since: Micros) -> bool {
        self.now >= since + self.parameters.kv_lease_duration
    }

    /// Releases the KV state of a request if its lease has ended.
    pub(crate) fn release_if_lease_ended(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match &request.state {
            RequestState::Prefilled(lease) if self.is_lease_over(lease.since) => {
                self.release_state(id);
            }
            RequestState::Decoding { attempt, .. } if self.is_lease_over(attempt.sent_at) => {
                self.release_while_fetching(id);
            }
            _ => {}
        }
    }

    /// Releases the KV state and the slot that are held for a request without an attempt in flight.
    pub(crate) fn release_state(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !request.holds_state {
            return;
        }
        request.holds_state = false;
        request.planned_decode_endpoint = None;
        if matches!(request.state, RequestState::Prefilled(_)) {
            request.state = RequestState::Queued;
        }
        self.actions.push(Action::ReleaseState(id));
    }

    /// Releases the KV state of a request while an attempt to fetch it is in flight. Open
    /// connections can stop carrying data without an error, so the attempt may not have reached its
    /// endpoint. If it has, the release is harmless: endpoints keep KV state that an attempt waits
    /// for.
    fn release_while_fetching(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !request.released_while_fetching {
            request.released_while_fetching = true;
            self.actions.push(Action::ReleaseState(id));
        }
    }
}
