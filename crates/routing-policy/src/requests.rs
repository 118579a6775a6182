//! The life of a request: its state, attempts that begin and end, and clients that disconnect.

use crate::actions::Action;
use crate::config::Role;
use crate::events::{ConnectFailure, Outcome, RejectReason, RequestSpec, ResetCause};
use crate::idempotency::{may_have_executed, PossibleExecution};
use crate::ids::{EndpointId, Micros, RequestId, TimerKey};
use crate::kv_lease::KvLease;
use crate::policy::Policy;

/// Whether an attempt is later than its latency objective allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Overdue {
    /// It is not, as far as is known.
    No,
    /// It is, and its endpoint's limit has been decreased for it.
    Recorded,
    /// It is, and it has been cancelled.
    Cancelled,
}

/// An attempt in flight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) number: u32,
    pub(crate) endpoint: EndpointId,
    /// What the endpoint does for the request.
    pub(crate) role: Role,
    pub(crate) sent_at: Micros,
    /// The weight of the prefill among those in flight at the endpoint.
    pub(crate) prefill_weight: f64,
    /// The decode endpoint of the lane, for a prefill.
    pub(crate) decode_endpoint: Option<EndpointId>,
    /// What it is if it may have been executed.
    pub(crate) execution: PossibleExecution,
    pub(crate) overdue: Overdue,
}

/// Where a request is on its way.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RequestState {
    /// It waits for a lane.
    Queued,
    /// It waits for the health check of the endpoint that it would go to.
    Checking { endpoint: EndpointId, until: Micros },
    /// An attempt that processes the prompt is in flight; at a mixed endpoint it responds too.
    Prefilling(Attempt),
    /// Its KV state waits for a decode endpoint.
    Prefilled(KvLease),
    /// An attempt that fetches the KV state is in flight.
    Decoding { attempt: Attempt, lease: KvLease },
    /// Its response streams.
    Streaming(Attempt),
}

impl RequestState {
    /// The attempt in flight.
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

    /// The attempt in flight whose response has not begun.
    pub(crate) fn waiting_attempt(&self) -> Option<&Attempt> {
        match self {
            RequestState::Prefilling(attempt) | RequestState::Decoding { attempt, .. } => {
                Some(attempt)
            }
            _ => None,
        }
    }

    /// The KV state of the request.
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

/// A request that has no final response yet, or an attempt in flight.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) spec: RequestSpec,
    pub(crate) arrived_at: Micros,
    pub(crate) state: RequestState,
    /// It has its final response, and only waits for its attempt to end.
    pub(crate) is_closed: bool,
    pub(crate) first_sent_at: Option<Micros>,
    pub(crate) attempts: u32,
    /// The decode endpoint at which a slot is reserved, or to which its lane leads.
    pub(crate) reserved_slot: Option<EndpointId>,
    pub(crate) slot_reservations: u32,
    pub(crate) health_checks: u32,
    /// Endpoints may hold KV state or a slot for it.
    pub(crate) holds_state: bool,
    /// Its KV state has been released while an attempt to fetch it is in flight.
    pub(crate) released_unfetched: bool,
    /// The first attempt that may have been executed.
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
            reserved_slot: None,
            slot_reservations: 0,
            health_checks: 0,
            holds_state: false,
            released_unfetched: false,
            execution: None,
        }
    }
}

/// The state of a request after an attempt without a stream to the end.
fn state_after(
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
    let is_gone = outcome == Outcome::Rejected(RejectReason::NoKvState);
    let lease = before.lease().filter(|_| !is_gone);
    match (lease, outcome) {
        (None, _) => RequestState::Queued,
        // Without a connection the KV state has waited all the while.
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
        self.traffic.stream_started(since_first_send);
        if attempt.role == Role::Mixed {
            self.prefill_ended(endpoint, attempt.prefill_weight);
        }
        self.record_outcome(endpoint, Some(class), Outcome::Completed);
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.responded(attempt.sent_at);
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
        // Only prefill endpoints leave KV state: from another endpoint it proves nothing.
        let outcome = match outcome {
            Outcome::Prefilled { .. } if attempt.role != Role::Prefill => Outcome::ServerError,
            outcome => outcome,
        };
        request.state = RequestState::Queued;
        request.is_closed |= client_done || outcome == Outcome::Completed;
        self.remove_from_in_flight(attempt, before.is_streaming());
        self.learn_from(id, attempt, outcome);
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.state = state_after(&before, attempt, outcome, now);
        if may_have_executed(attempt.role, outcome) && request.execution.is_none() {
            request.execution = Some(attempt.execution);
        }
        self.continue_after_attempt(id);
    }

    /// What the end of an attempt tells of its endpoint and of the work of requests.
    fn learn_from(&mut self, id: RequestId, attempt: &Attempt, outcome: Outcome) {
        let Some(spec) = self.requests.get(&id).map(|request| request.spec) else {
            return;
        };
        let says_nothing_of_the_endpoint = matches!(
            outcome,
            Outcome::Rejected(RejectReason::NoKvState)
                | Outcome::ConnectionReset(ResetCause::StaleIdle)
                | Outcome::ConnectFailed(ConnectFailure::LocalResources)
        );
        if !says_nothing_of_the_endpoint {
            self.record_outcome(attempt.endpoint, Some(spec.class), outcome);
        }
        let has_responded = matches!(
            outcome,
            Outcome::Prefilled { .. } | Outcome::Rejected(_) | Outcome::ServerError
        );
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            if has_responded {
                endpoint.responded(attempt.sent_at);
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

    /// The work that a served request was, in the unit of its endpoint's role.
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
        self.work.record(role, spec.class, work);
        if is_warm {
            let mean = self.work.of_class(role, spec.class, work);
            self.completed_work.record(role, mean, self.now);
        }
    }

    /// A request whose attempt has ended waits for the next one, unless it has its final response.
    fn continue_after_attempt(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_closed = request.is_closed;
        let lease_end = request
            .state
            .lease()
            .map(|lease| lease.since + self.parameters.kv_lease)
            .filter(|end| self.now < *end);
        if lease_end.is_none() {
            self.release(id);
        }
        if is_closed {
            self.close(id);
            return;
        }
        self.queue.insert(id);
        if let Some(at) = lease_end {
            self.set_timer(at, TimerKey::Request(id));
        }
        self.advance(id);
    }

    fn prefill_ended(&mut self, id: EndpointId, weight: f64) {
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
        self.prefill_ended(attempt.endpoint, weight);
        if let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) {
            if attempt.role != Role::Prefill {
                endpoint.in_flight.streams -= 1.0;
            }
        }
    }

    /// Nobody waits for the response any more: an attempt without a stream is cancelled, and what
    /// is held is released when it ends.
    pub(crate) fn on_client_disconnected(&mut self, id: RequestId) {
        self.cancel_waiting_attempt(id);
        self.close(id);
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

    /// The request has its final response, or needs none.
    pub(crate) fn close(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.is_closed = true;
        let has_attempt = request.state.attempt().is_some();
        self.queue.remove(&id);
        if !has_attempt {
            self.release(id);
            self.requests.remove(&id);
        }
    }
}
