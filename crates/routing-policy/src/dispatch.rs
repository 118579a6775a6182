//! Dispatch: the next attempt of a request, and slot reservations for it.

use crate::actions::Action;
use crate::config::Role;
use crate::endpoints::Endpoint;
use crate::idempotency::PossibleExecution;
use crate::ids::{EndpointId, Micros, RequestId, TimerKey};
use crate::kv_lease::KvLease;
use crate::policy::Policy;
use crate::requests::{Attempt, Overdue, Request, RequestState};
use crate::slow_start::{SendKind, SendTurns};

/// Slot reservations during a prefill, at most.
const MAX_SLOT_RESERVATIONS: u32 = 3;

impl Policy {
    /// Makes the next attempt of a request if there is a lane for it, or gives its final response
    /// if there can be no further attempt.
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
            self.give_up(id);
            return;
        }
        match request.state.lease() {
            Some(lease) => self.send_to_decode(id, lease),
            None => self.send_to_lane(id),
        }
    }

    /// Whether an attempt or a health check is to be waited for.
    fn must_wait(&self, request: &Request, must_respond: bool) -> bool {
        match &request.state {
            RequestState::Streaming(_) => true,
            RequestState::Prefilling(_) | RequestState::Decoding { .. } => !must_respond,
            RequestState::Checking { until, .. } => self.now < *until && !must_respond,
            RequestState::Queued | RequestState::Prefilled(_) => false,
        }
    }

    /// Without KV state a request needs two attempts, unless one endpoint does both.
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
            endpoint.is_listed
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

    /// Sends a request to an endpoint that takes this role for it. Fails if it may not be sent
    /// there.
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
        let work_share = self.work.of_class(role, spec.class, 1.0) / self.work.overall(role, 1.0);
        self.add_to_in_flight(&attempt, work_share);
        let write_by = match lease {
            Some(lease) => retry_deadline.min(self.half_of_lease_left(lease)),
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
            request.released_unfetched = false;
            // The lane's decode endpoint, also where no slot can be reserved.
            request.reserved_slot = decode_endpoint.or(request.reserved_slot);
        }
        self.queue.remove(&id);
        if role == Role::Decode {
            self.set_timer(now + self.parameters.kv_lease, TimerKey::Request(id));
        } else {
            self.traffic.request_dequeued(now);
        }
        self.actions.push(Action::Send {
            id,
            endpoint: to,
            expires_at: spec.deadline,
            write_by,
        });
        true
    }

    /// Half of what is left of a lease, so that another endpoint can be tried.
    fn half_of_lease_left(&self, lease: KvLease) -> Micros {
        self.now + (lease.since + self.parameters.kv_lease - self.now) / 2
    }

    fn add_to_in_flight(&mut self, attempt: &Attempt, work_share: f64) {
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            endpoint.send_turns = SendTurns::after_send(attempt.sent_at, work_share);
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
        request.reserved_slot = Some(decode);
        request.slot_reservations += 1;
        request.holds_state = true;
        self.actions.push(Action::ReserveSlot {
            id,
            endpoint: decode,
        });
    }

    /// A decode endpoint that refused a slot counts as full; another one is asked while the prompt
    /// is processed.
    pub(crate) fn on_slot_reservation_answered(&mut self, id: RequestId, granted: bool) {
        if granted {
            return;
        }
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let refused = request.reserved_slot.take();
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

    /// Whether an endpoint is open, of a kind that the request may go to, not ejected, and in reach
    /// of a retry.
    pub(crate) fn accepts(&self, id: EndpointId, request: &Request, kind: SendKind) -> bool {
        // One that was chosen before may have left the list since.
        let Some(endpoint) = self.endpoints.get(id) else {
            return false;
        };
        request.spec.allows(endpoint.spec.kind)
            && self.retry_deadline(request, Some(endpoint)).is_some()
            && self.is_open(id, kind)
            && !endpoint.ejections.apply_to(request.spec.class, self.now)
    }

    /// By when another attempt at endpoint `to`, a prefill endpoint too, must be written so that it
    /// cannot repeat an effect; `None` if none may be made.
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
