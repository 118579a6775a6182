//! The states of a request, and their changes when an attempt starts to stream or ends and when a
//! client disconnects.

use crate::actions::Action;
use crate::config::Role;
use crate::events::{ConnectFailure, Outcome, RejectReason, RequestSpec, ResetCause};
use crate::idempotency::{may_have_executed, PossibleExecution};
use crate::ids::{EndpointId, Micros, RequestId, TimerKey};
use crate::kv_lease::KvLease;
use crate::policy::Policy;

/// Whether an attempt takes longer than its latency objective allows, and what has been done about
/// it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Overdue {
    /// The attempt has not been found to be overdue.
    No,
    /// The attempt is overdue and has been recorded as late.
    Recorded,
    /// The attempt is overdue and has been cancelled.
    Cancelled,
}

/// An attempt in flight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) number: u32,
    pub(crate) endpoint: EndpointId,
    /// The role that the endpoint takes for the request.
    pub(crate) role: Role,
    pub(crate) sent_at: Micros,
    /// The weight of the prefill in the sum of those in flight at the endpoint; 0 for a decode.
    pub(crate) prefill_weight: f64,
    /// The decode endpoint of the lane, if the attempt is a prefill.
    pub(crate) decode_endpoint: Option<EndpointId>,
    /// The record that the request keeps of the attempt if it may have been executed.
    pub(crate) execution: PossibleExecution,
    pub(crate) overdue: Overdue,
}

/// The state of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RequestState {
    /// The request waits for a lane.
    Queued,
    /// The request waits for a health check of the endpoint to which it would be sent.
    Checking { endpoint: EndpointId, until: Micros },
    /// An attempt that processes the prompt is in flight. At a mixed endpoint, the same attempt
    /// also streams the response.
    Prefilling(Attempt),
    /// The KV state of the request waits at its prefill endpoint to be fetched.
    Prefilled(KvLease),
    /// An attempt that fetches the KV state is in flight.
    Decoding { attempt: Attempt, lease: KvLease },
    /// The response is being streamed.
    Streaming(Attempt),
}

impl RequestState {
    /// The attempt that is in flight.
    pub(crate) fn attempt(&self) -> Option<&Attempt> {
        match self {
            RequestState::Prefilling(attempt)
            | RequestState::Decoding { attempt, .. }
            | RequestState::Streaming(attempt) => Some(attempt),
            RequestState::Queued | RequestState::Checking { .. } | RequestState::Prefilled(_) => {
                None
            }
        }
    }

    pub(crate) fn attempt_mut(&mut self) -> Option<&mut Attempt> {
        match self {
            RequestState::Prefilling(attempt)
            | RequestState::Decoding { attempt, .. }
            | RequestState::Streaming(attempt) => Some(attempt),
            RequestState::Queued | RequestState::Checking { .. } | RequestState::Prefilled(_) => {
                None
            }
        }
    }

    /// The attempt that is in flight, if its response has not begun.
    pub(crate) fn waiting_attempt(&self) -> Option<&Attempt> {
        match self {
            RequestState::Prefilling(attempt) | RequestState::Decoding { attempt, .. } => {
                Some(attempt)
            }
            _ => None,
        }
    }

    /// The lease of the request's KV state, until the response begins.
    pub(crate) fn lease(&self) -> Option<KvLease> {
        match self {
            RequestState::Prefilled(lease) | RequestState::Decoding { lease, .. } => Some(*lease),
            _ => None,
        }
    }

    pub(crate) fn is_streaming(&self) -> bool {
        matches!(self, RequestState::Streaming(_))
    }
}

/// A request that has no final response yet, or still has an attempt in flight.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) spec: RequestSpec,
    pub(crate) arrived_at: Micros,
    pub(crate) state: RequestState,
    /// Whether the request has its final response or needs none. It remains until its attempt in
    /// flight ends.
    pub(crate) is_closed: bool,
    pub(crate) first_sent_at: Option<Micros>,
    pub(crate) attempts: u32,
    /// The decode endpoint at which a slot is reserved, or that of the lane if none is.
    pub(crate) planned_decode_endpoint: Option<EndpointId>,
    pub(crate) slot_reservations: u32,
    pub(crate) health_checks: u32,
    /// Whether endpoints may hold KV state or a slot for the request.
    pub(crate) holds_state: bool,
    /// Whether the KV state has been released while the present attempt to fetch it is in flight.
    pub(crate) released_while_fetching: bool,
    /// The first attempt of the request that may have been executed.
    pub(crate) execution: Option<PossibleExecution>,
}

impl Request {
    pub(crate) fn new(spec: RequestSpec, now: Micros) -> Request {
        Request {
            spec,
            arrived_at: now,
            state: RequestState::Queued,
            is_closed: false,
            first_sent_at: None,
            attempts: 0,
            planned_decode_endpoint: None,
            slot_reservations: 0,
            health_checks: 0,
            holds_state: false,
            released_while_fetching: false,
            execution: None,
        }
    }
}

/// The state of a request after the end of an attempt; `before` is its state during the attempt.
fn state_after_attempt(
    before: &RequestState,
    attempt: &Attempt,
    outcome: Outcome,
    now: Micros,
) -> RequestState {
    if let Outcome::Prefilled { .. } = outcome {
        return RequestState::Prefilled(KvLease {
            endpoint: attempt.endpoint,
            since: now,
        });
    }
    let kv_state_is_missing = outcome == Outcome::Rejected(RejectReason::NoKvState);
    let lease = before.lease().filter(|_| !kv_state_is_missing);
    match (lease, outcome) {
        (None, _) => RequestState::Queued,
        // Without a connection, the KV state has been waiting since the lease began.
        (Some(lease), Outcome::Completed | Outcome::ConnectFailed(_)) => {
            RequestState::Prefilled(lease)
        }
        (Some(lease), _) => RequestState::Prefilled(KvLease {
            since: now,
            ..lease
        }),
    }
}

impl Policy {
    pub(crate) fn on_stream_started(&mut self, id: RequestId, number: u32, endpoint: EndpointId) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let waiting = request.state.waiting_attempt();
        let Some(attempt) = waiting.filter(|attempt| attempt.number == number).copied() else {
            return;
        };
        request.state = RequestState::Streaming(attempt);
        request.holds_state = false;
        let class = request.spec.class;
        let since_first_send = now - request.first_sent_at.unwrap_or(now);
        self.traffic_estimates.stream_started(since_first_send);
        if attempt.role == Role::Mixed {
            self.subtract_prefill_weight(endpoint, attempt.prefill_weight);
        }
        self.record_outcome(endpoint, Some(class), Outcome::Completed);
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.mark_responsive(attempt.sent_at);
        }
        self.record_response(id, &attempt, false);
    }

    pub(crate) fn on_attempt_ended(
        &mut self,
        id: RequestId,
        number: u32,
        outcome: Outcome,
        client_done: bool,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let before = request.state;
        let Some(attempt) = before.attempt().filter(|attempt| attempt.number == number) else {
            return;
        };
        // Only prefill endpoints leave KV state. From another endpoint, this outcome does not show
        // what happened, so it counts as an error.
        let outcome = match outcome {
            Outcome::Prefilled { .. } if attempt.role != Role::Prefill => Outcome::ServerError,
            outcome => outcome,
        };
        request.state = RequestState::Queued;
        request.is_closed |= client_done || outcome == Outcome::Completed;
        self.remove_from_in_flight(attempt, before.is_streaming());
        self.record_attempt_end(id, attempt, outcome);
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.state = state_after_attempt(&before, attempt, outcome, now);
        if may_have_executed(attempt.role, outcome) && request.execution.is_none() {
            request.execution = Some(attempt.execution);
        }
        if outcome == Outcome::InvalidRequest && !request.is_closed {
            self.actions.push(Action::Fail(id));
            request.is_closed = true;
        }
        self.continue_after_attempt(id);
    }

    /// Records what the end of an attempt shows about its endpoint and about the work of requests.
    fn record_attempt_end(&mut self, id: RequestId, attempt: &Attempt, outcome: Outcome) {
        let Some(spec) = self.requests.get(&id).map(|request| request.spec) else {
            return;
        };
        let is_unrelated_to_endpoint = matches!(
            outcome,
            Outcome::Rejected(RejectReason::NoKvState)
                | Outcome::ConnectionReset(ResetCause::StaleIdle)
                | Outcome::ConnectFailed(ConnectFailure::LocalResources)
        );
        if !is_unrelated_to_endpoint && !self.was_short_of_time(&spec, attempt, outcome) {
            self.record_outcome(attempt.endpoint, Some(spec.class), outcome);
        }
        let has_responded = matches!(
            outcome,
            Outcome::Prefilled { .. }
                | Outcome::Rejected(_)
                | Outcome::ServerError
                | Outcome::InvalidRequest
        );
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            if has_responded {
                endpoint.mark_responsive(attempt.sent_at);
            }
        }
        match outcome {
            Outcome::Prefilled { .. } => self.record_response(id, attempt, false),
            Outcome::Rejected(RejectReason::Overloaded) => self.record_response(id, attempt, true),
            _ => {}
        }
        self.record_work(&spec, attempt, outcome);
        self.record_cached_prompt(&spec, attempt, outcome);
    }

    /// Returns whether an attempt ended without a response because the client's deadline is shorter
    /// than responses usually take. That shows nothing about the endpoint.
    fn was_short_of_time(&self, spec: &RequestSpec, attempt: &Attempt, outcome: Outcome) -> bool {
        let has_expired = self.now >= self.parameters.respond_by(spec.deadline);
        let is_unanswered = matches!(outcome, Outcome::TimedOut | Outcome::ConnectFailed(_));
        is_unanswered && has_expired && !self.is_overdue(spec, attempt)
    }

    /// Records the work of a successful attempt: uncached prompt tokens for a prefill, else the
    /// duration of the attempt in microseconds.
    fn record_work(&mut self, spec: &RequestSpec, attempt: &Attempt, outcome: Outcome) {
        let work = match outcome {
            Outcome::Prefilled { cached_tokens } => {
                spec.prompt_tokens.saturating_sub(cached_tokens) as f64 + 1.0
            }
            Outcome::Completed => (self.now - attempt.sent_at).max(1) as f64,
            _ => return,
        };
        let endpoint = self.endpoints.get(attempt.endpoint);
        let role = endpoint.map_or(attempt.role, |endpoint| self.role_of(endpoint));
        let is_warm = endpoint.is_some_and(|endpoint| self.warm_fraction(endpoint) >= 1.0);
        self.work_estimates.record(role, spec.class, work);
        if is_warm {
            let mean = self.work_estimates.of_class(role, spec.class, work);
            self.completed_work.record(role, mean, self.now);
        }
    }

    /// Queues a request whose attempt has ended for its next attempt, or closes the request if it
    /// has its final response.
    fn continue_after_attempt(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_closed = request.is_closed;
        let lease_end = request
            .state
            .lease()
            .map(|lease| lease.since + self.parameters.kv_lease_duration)
            .filter(|end| self.now < *end);
        if lease_end.is_none() {
            self.release_state(id);
        }
        if is_closed {
            self.close_request(id);
            return;
        }
        self.queue.insert(id);
        if let Some(at) = lease_end {
            self.set_timer(at, TimerKey::Request(id));
        }
        self.advance(id);
    }

    /// Subtracts the weight of a prefill from the work in flight at an endpoint.
    fn subtract_prefill_weight(&mut self, id: EndpointId, weight: f64) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let in_flight = &mut endpoint.in_flight;
            in_flight.prefill_weight = (in_flight.prefill_weight - weight).max(0.0);
        }
    }

    fn remove_from_in_flight(&mut self, attempt: &Attempt, was_streaming: bool) {
        let decode_endpoint = attempt.decode_endpoint;
        if let Some(endpoint) = decode_endpoint.and_then(|id| self.endpoints.get_mut(id)) {
            endpoint.in_flight.expected_decodes -= 1.0;
        }
        let weight = if was_streaming {
            0.0
        } else {
            attempt.prefill_weight
        };
        self.subtract_prefill_weight(attempt.endpoint, weight);
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            if attempt.role != Role::Prefill {
                endpoint.in_flight.streams -= 1.0;
            }
        }
    }

    /// Closes a request whose client no longer waits for the response. An attempt whose response
    /// has not begun is cancelled, and what endpoints hold is released when the attempt ends.
    pub(crate) fn on_client_disconnected(&mut self, id: RequestId) {
        self.cancel_waiting_attempt(id);
        self.close_request(id);
    }

    pub(crate) fn cancel_waiting_attempt(&mut self, id: RequestId) {
        if !self.parameters.cancellation {
            return;
        }
        let request = self.requests.get(&id);
        let waiting = request.and_then(|request| request.state.waiting_attempt());
        if let Some(attempt) = waiting {
            self.actions.push(Action::CancelAttempt {
                id,
                attempt: attempt.number,
            });
        }
    }

    /// Closes a request that has its final response or needs none, and forgets it unless an attempt
    /// is in flight.
    pub(crate) fn close_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.is_closed = true;
        let has_attempt = request.state.attempt().is_some();
        self.queue.remove(&id);
        if !has_attempt {
            self.release_state(id);
            self.requests.remove(&id);
        }
    }
}
