//! Dispatch: sends the next attempt of a request and reserves slots for it.

use crate::actions::Action;
use crate::config::Role;
use crate::endpoints::Endpoint;
use crate::idempotency::PossibleExecution;
use crate::ids::{EndpointId, Micros, RequestId, TimerKey};
use crate::kv_lease::KvLease;
use crate::policy::Policy;
use crate::requests::{Attempt, Overdue, Request, RequestState};
use crate::slow_start::{SendKind, SendTurns};

/// The number of slot reservations for a request after which a refused one is not replaced.
const MAX_SLOT_RESERVATIONS: u32 = 3;

impl Policy {
    /// Makes the next attempt of a request if there is a lane for it, or gives the request its
    /// final response if no further attempt is possible.
    pub(crate) fn advance(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let must_respond = self.now >= self.parameters.respond_by(request.spec.deadline);
        if request.is_closed || self.must_wait(request, must_respond) {
            return;
        }
        if must_respond
            || !self.has_attempts_left(request)
            || self.retry_deadline(request, None).is_none()
        {
            self.reject_or_fail(id);
            return;
        }
        match request.state.lease() {
            Some(lease) => self.send_to_decode(id, lease),
            None => self.send_to_lane(id),
        }
    }

    /// Whether a request must wait for the outcome of an attempt or of a health check.
    fn must_wait(&self, request: &Request, must_respond: bool) -> bool {
        match &request.state {
            RequestState::Streaming(_) => true,
            RequestState::Prefilling(_) | RequestState::Decoding { .. } => !must_respond,
            RequestState::Checking { until, .. } => self.now < *until && !must_respond,
            RequestState::Queued | RequestState::Prefilled(_) => false,
        }
    }

    /// Whether a request has enough attempts left to be served. Without KV state it needs two, one
    /// for the prefill and one for the decode, unless one endpoint can do both.
    fn has_attempts_left(&self, request: &Request) -> bool {
        let max = self.parameters.max_attempts;
        if request.attempts >= max {
            return false;
        }
        let is_last = request.attempts + 1 == max;
        let needs_prefill = request.state.lease().is_none();
        !(needs_prefill && is_last) || self.some_endpoint_serves_alone()
    }

    fn some_endpoint_serves_alone(&self) -> bool {
        let serves_alone = |endpoint: &Endpoint| {
            endpoint.is_active
                && (self.parameters.decode_can_prefill || self.role_of(endpoint) == Role::Mixed)
        };
        self.endpoints.entries.values().any(serves_alone)
    }

    fn send_to_decode(&mut self, id: RequestId, lease: KvLease) {
        if let Some(decode) = self.choose_decode_endpoint(id, lease.endpoint) {
            self.send(id, decode, Role::Decode, None);
        }
    }

    fn send_to_lane(&mut self, id: RequestId) {
        let Some(lane) = self.choose_lane(id) else {
            return;
        };
        if self.check_before_send(id, lane.prefill) {
            return;
        }
        if lane.prefill == lane.decode {
            self.send(id, lane.prefill, Role::Mixed, None);
        } else if self.send(id, lane.prefill, Role::Prefill, Some(lane.decode)) {
            self.reserve_slot(id, lane.decode);
        }
    }

    /// Sends a request to an endpoint that takes this role for it. `decode_endpoint` is the decode
    /// endpoint of the lane if the attempt is a prefill at another endpoint. Returns false if the
    /// request may not be sent to `to`.
    fn send(
        &mut self,
        id: RequestId,
        to: EndpointId,
        role: Role,
        decode_endpoint: Option<EndpointId>,
    ) -> bool {
        let now = self.now;
        let (Some(request), Some(endpoint)) = (self.requests.get(&id), self.endpoints.get(to))
        else {
            return false;
        };
        let Some(retry_deadline) = self.retry_deadline(request, Some(endpoint)) else {
            return false;
        };
        let spec = request.spec;
        let lease = request.state.lease();
        let attempt = Attempt {
            number: request.attempts,
            endpoint: to,
            role,
            sent_at: now,
            prefill_weight: match role {
                Role::Decode => 0.0,
                Role::Prefill | Role::Mixed => self.prefill_weight(&spec, endpoint),
            },
            decode_endpoint,
            execution: PossibleExecution::at(&endpoint.spec, now),
            overdue: Overdue::No,
        };
        let relative_work = self.work_estimates.of_class(role, spec.class, 1.0)
            / self.work_estimates.overall(role, 1.0);
        self.add_to_in_flight(&attempt, relative_work);
        let write_by = match lease {
            Some(lease) => retry_deadline.min(self.midpoint_to_lease_end(lease)),
            None => retry_deadline,
        };
        if let Some(request) = self.requests.get_mut(&id) {
            request.state = match lease {
                Some(lease) => RequestState::Decoding { attempt, lease },
                None => RequestState::Prefilling(attempt),
            };
            request.attempts += 1;
            request.first_sent_at.get_or_insert(now);
            request.holds_state = true;
            request.released_while_fetching = false;
            // The lane's decode endpoint is kept even if no slot can be reserved there.
            request.planned_decode_endpoint = decode_endpoint.or(request.planned_decode_endpoint);
        }
        self.queue.remove(&id);
        if role == Role::Decode {
            self.set_timer(
                now + self.parameters.kv_lease_duration,
                TimerKey::Request(id),
            );
        } else {
            self.traffic_estimates.request_dequeued(now);
        }
        self.actions.push(Action::Send {
            id,
            endpoint: to,
            expires_at: spec.deadline,
            write_by,
        });
        true
    }

    /// The point in time halfway from now to the end of a lease. An attempt that is not written by
    /// then leaves the other half for an attempt at another endpoint.
    fn midpoint_to_lease_end(&self, lease: KvLease) -> Micros {
        self.now + (lease.since + self.parameters.kv_lease_duration - self.now) / 2
    }

    fn add_to_in_flight(&mut self, attempt: &Attempt, relative_work: f64) {
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            endpoint.send_turns = SendTurns::after_send(attempt.sent_at, relative_work);
            endpoint.in_flight.prefill_weight += attempt.prefill_weight;
            if attempt.role != Role::Prefill {
                endpoint.in_flight.streams += 1.0;
            }
        }
        let decode_endpoint = attempt.decode_endpoint;
        if let Some(endpoint) = decode_endpoint.and_then(|id| self.endpoints.get_mut(id)) {
            endpoint.in_flight.expected_decodes += 1.0;
        }
    }

    fn reserve_slot(&mut self, id: RequestId, decode: EndpointId) {
        if !self.parameters.slot_reservations || !self.is_open(decode, SendKind::Any) {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.planned_decode_endpoint = Some(decode);
        request.slot_reservations += 1;
        request.holds_state = true;
        self.actions.push(Action::ReserveSlot {
            id,
            endpoint: decode,
        });
    }

    /// Records a decode endpoint that has refused a slot as full, and asks another one for a slot
    /// if the prompt is still being processed.
    pub(crate) fn on_slot_reservation_completed(&mut self, id: RequestId, granted: bool) {
        if granted {
            return;
        }
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let refused = request.planned_decode_endpoint.take();
        if let Some(endpoint) = refused.and_then(|id| self.endpoints.get_mut(id)) {
            endpoint.slot_refused_at = now;
        }
        let prefill = request
            .state
            .attempt()
            .filter(|attempt| attempt.role == Role::Prefill)
            .map(|attempt| attempt.endpoint);
        let Some(prefill) = prefill else {
            return;
        };
        if request.is_closed || request.slot_reservations >= MAX_SLOT_RESERVATIONS {
            return;
        }
        if let Some(decode) = self.choose_decode_endpoint(id, prefill) {
            self.reserve_slot(id, decode);
        }
    }

    /// Whether a request may be sent to an endpoint: the endpoint takes requests now, is not
    /// ejected, is of an allowed kind, and may be sent a retry if the request needs one.
    pub(crate) fn accepts(&self, id: EndpointId, request: &Request, kind: SendKind) -> bool {
        // An endpoint that was chosen earlier may have left the endpoint list since.
        let Some(endpoint) = self.endpoints.get(id) else {
            return false;
        };
        request.spec.allows(endpoint.spec.kind)
            && self.retry_deadline(request, Some(endpoint)).is_some()
            && self.is_open(id, kind)
            && !endpoint.ejections.apply_to(request.spec.class, self.now)
    }

    /// The time by which the next attempt of the request, which may be its first, must be written
    /// so that it cannot repeat an effect; `None` if no attempt may be made now. If `to` is given,
    /// whatever its role, the time is for an attempt at that endpoint, else for one at any
    /// endpoint.
    pub(crate) fn retry_deadline(
        &self,
        request: &Request,
        to: Option<&Endpoint>,
    ) -> Option<Micros> {
        let class = self.parameters.class(request.spec.class);
        class
            .retry_rule
            .retry_deadline(request.execution, to.map(|endpoint| &endpoint.spec))
            .filter(|deadline| self.now < *deadline)
    }
}
