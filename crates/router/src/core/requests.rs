//! The handling of a request from its arrival to its final response.

use std::cell::Cell;
use std::collections::hash_map::Entry;
use std::rc::Rc;

use cranetack_routing_policy::idempotency::{PossibleExecution, RetryRule};
use cranetack_routing_policy::{
    EndpointId, Event, Idempotency, Micros, Outcome, PrefixId, RequestId, RequestSpec, Role,
    SessionId,
};

use super::clock::micros;
use super::endpoint::stable_hash;
use super::guard::ExecutionRecord;
use super::messages::{AttemptId, AttemptReport, IncomingRequest, Outbound};
use super::recorder::{Step, Trace};
use super::Core;
use crate::exchange::{BodyStream, FinalResponse, Responder};

/// A request that has no final response yet or still has an attempt in flight.
pub(super) struct Request {
    pub(super) incoming: IncomingRequest,
    arrived_at: Micros,
    pub(super) deadline: Micros,
    /// Present until the final response has been given.
    responder: Option<Responder>,
    /// The rejection that is given once the attempt in flight has ended.
    pub(super) pending_rejection: Option<FinalResponse>,
    pub(super) attempts: u32,
    pub(super) in_flight: Option<AttemptInFlight>,
    /// Whether the policy has released the state held for the request, and no attempt has been sent
    /// since.
    pub(super) is_state_released: bool,
    pub(super) is_finished: bool,
    /// Whether the request still needs a response. The attempt in flight shares it, as it may have
    /// to be abandoned before it is written.
    pub(super) needs_response: Rc<Cell<bool>>,
    pub(super) executions: ExecutionRecord,
    pub(super) trace: Trace,
}

/// An attempt that has been handed to the upstream and has not ended.
pub(super) struct AttemptInFlight {
    pub(super) number: u32,
    pub(super) role: Role,
    pub(super) endpoint: EndpointId,
    pub(super) sent_at: Micros,
    /// The record of a possible execution, which counts if the outcome says that the attempt may
    /// have been executed.
    pub(super) execution: PossibleExecution,
    pub(super) is_streaming: bool,
}

impl Request {
    fn new(incoming: IncomingRequest, responder: Responder, now: Micros) -> Request {
        let deadline = now.saturating_add(micros(incoming.time_to_first_byte));
        Request {
            incoming,
            arrived_at: now,
            deadline,
            responder: Some(responder),
            pending_rejection: None,
            attempts: 0,
            in_flight: None,
            is_state_released: false,
            is_finished: false,
            needs_response: Rc::new(Cell::new(true)),
            executions: ExecutionRecord::default(),
            trace: Trace::default(),
        }
    }

    /// The description of the request for the policy.
    pub(super) fn spec(&self, id: RequestId) -> RequestSpec {
        let incoming = &self.incoming;
        let session = incoming.session.as_deref();
        let shared_prefix = incoming.shared_prefix.as_deref();
        RequestSpec {
            id,
            class: incoming.class,
            session: session.map(|session| SessionId(stable_hash(session))),
            shared_prefix: shared_prefix.map(|prefix| PrefixId(stable_hash(prefix))),
            deadline: self.deadline,
            expected_duration: incoming.expected_duration.map(micros),
            prompt_tokens: incoming.prompt_tokens,
            shared_prefix_tokens: incoming.shared_prefix_tokens,
            max_tokens: incoming.max_tokens,
            is_retry: incoming.is_retry,
            is_resumed: incoming.is_resumed,
            client_can_resume: incoming.client_can_resume,
            allowed_kinds: incoming.allowed_kinds,
        }
    }

    /// The attempt in flight, if its response has not begun to stream.
    pub(super) fn waiting_attempt(&self) -> Option<&AttemptInFlight> {
        self.in_flight
            .as_ref()
            .filter(|attempt| !attempt.is_streaming)
    }

    pub(super) fn streaming_attempt(&self) -> Option<&AttemptInFlight> {
        self.in_flight
            .as_ref()
            .filter(|attempt| attempt.is_streaming)
    }

    /// Records and logs an attempt that is being sent.
    pub(super) fn record_send(
        &mut self,
        attempt: &AttemptInFlight,
        endpoint: &str,
        rule: RetryRule,
    ) {
        let number = attempt.number;
        let prefill_only = attempt.role == Role::Prefill;
        let request_id = &self.incoming.request_id;
        tracing::debug!(%request_id, attempt = number, endpoint, "attempt sent");
        let step = Step::Sent {
            attempt: number,
            endpoint: endpoint.into(),
            prefill_only,
        };
        self.trace.record(attempt.sent_at, step);
        let is_idempotent = rule.idempotency() == Idempotency::Idempotent;
        if !is_idempotent && !prefill_only && self.trace.has_other_effective_attempt(number) {
            tracing::info!(%request_id, trace = %self.trace, "request retried");
        }
    }

    /// Whether a stream may be passed to the client: the request has no final response, and no
    /// rejection is pending.
    fn accepts_stream(&self) -> bool {
        !self.is_finished && self.pending_rejection.is_none()
    }
}

impl<O: Outbound> Core<O> {
    pub(super) fn request_submitted(
        &mut self,
        id: RequestId,
        incoming: IncomingRequest,
        responder: Responder,
    ) {
        // Endpoints hold state under the request id on the wire, so two open requests must not have
        // the same one.
        let is_duplicate = self
            .requests
            .values()
            .any(|open| open.incoming.request_id == incoming.request_id);
        let may_have_executed = self.executed_ids.contains(&incoming.request_id);
        if is_duplicate || may_have_executed {
            tracing::debug!(
                request_id = %incoming.request_id,
                is_open = is_duplicate,
                may_have_executed,
                "request not accepted: its id was used before"
            );
            responder.respond(FinalResponse::DuplicateId);
            return;
        }
        let now = self.clock.now();
        let request = Request::new(incoming, responder, now);
        let spec = request.spec(id);
        let time_to_first_byte = spec.deadline - now;
        tracing::debug!(
            request_id = %request.incoming.request_id,
            class = spec.class.0,
            prompt_tokens = spec.prompt_tokens,
            shared_prefix_tokens = spec.shared_prefix_tokens,
            time_to_first_byte_us = time_to_first_byte,
            is_retry = spec.is_retry,
            is_resumed = spec.is_resumed,
            session = request.incoming.session,
            shared_prefix = request.incoming.shared_prefix,
            "request arrived"
        );
        self.requests.insert(id, request);
        self.record_step(id, Step::Arrived { time_to_first_byte });
        self.handle_policy_event(Event::RequestArrived(spec));
    }

    pub(super) fn client_disconnected(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|request| !request.is_finished)
        {
            self.record_step(id, Step::ClientDisconnected);
            self.finish(id, None);
            self.handle_policy_event(Event::ClientDisconnected(id));
        }
        self.remove_if_done(id);
    }

    pub(super) fn stream_started(
        &mut self,
        attempt: AttemptId,
        media_type: String,
        body: BodyStream,
    ) {
        let now = self.clock.now();
        let (id, number) = (attempt.request, attempt.number);
        let request = self.requests.get_mut(&id);
        let Some(request) = request.filter(|request| request.accepts_stream()) else {
            return;
        };
        let in_flight = request.in_flight.as_mut();
        let Some(attempt) = in_flight.filter(|attempt| attempt.number == number) else {
            return;
        };
        attempt.is_streaming = true;
        let endpoint = attempt.endpoint;
        let elapsed = now - attempt.sent_at;
        request
            .trace
            .record(now, Step::StreamStarted { attempt: number });
        // The request is not sent again, so its body need not be kept while the response streams.
        request.incoming.message = Rc::default();
        let request_id = &request.incoming.request_id;
        tracing::debug!(%request_id, attempt = number, elapsed_us = elapsed, "stream started");
        if let Some(responder) = request.responder.take() {
            responder.respond(FinalResponse::Streaming { media_type, body });
        }
        self.handle_policy_event(Event::StreamStarted {
            id,
            attempt: number,
            endpoint,
            elapsed,
        });
    }

    pub(super) fn attempt_ended(&mut self, attempt: AttemptId, report: AttemptReport) {
        let (id, number) = (attempt.request, attempt.number);
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let in_flight = &mut request.in_flight;
        let Some(attempt) = in_flight.take_if(|attempt| attempt.number == number) else {
            return;
        };
        let AttemptReport {
            outcome,
            cached_tokens,
            load,
            wire,
        } = report;
        request.trace.record(
            now,
            Step::AttemptEnded {
                attempt: number,
                outcome,
                wire,
            },
        );
        request
            .executions
            .attempt_ended(attempt.role, outcome, attempt.execution);
        if attempt.is_streaming {
            self.finish(id, None);
        } else if let Some(rejection) = request.pending_rejection.take() {
            self.finish(id, Some(rejection));
        }
        if has_responded(outcome) {
            self.endpoint_responded(attempt.endpoint);
        }
        let elapsed = self.clock.now() - attempt.sent_at;
        let request = self.requests.get(&id);
        let endpoint = self.endpoints.handle(attempt.endpoint);
        if let (Some(request), Some(endpoint)) = (request, endpoint) {
            tracing::debug!(
                request_id = %request.incoming.request_id,
                attempt = number,
                endpoint = endpoint.name,
                ?outcome,
                cached_tokens,
                elapsed_us = elapsed,
                "attempt ended"
            );
        }
        let client_done = request.is_none_or(|request| request.is_finished);
        self.handle_policy_event(Event::AttemptEnded {
            id,
            attempt: number,
            endpoint: attempt.endpoint,
            outcome,
            client_done,
            elapsed,
            load,
        });
    }

    /// Ends a request; no other function does. The response is `None` if the client already has its
    /// response or has disconnected.
    pub(super) fn finish(&mut self, id: RequestId, response: Option<FinalResponse>) {
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.is_finished = true;
        request.needs_response.set(false);
        let name = response.as_ref().map_or("none", FinalResponse::name);
        request
            .trace
            .record(now, Step::Responded { response: name });
        let request_id = &request.incoming.request_id;
        let elapsed = now - request.arrived_at;
        tracing::debug!(%request_id, ?response, elapsed_us = elapsed, "request ended");
        let rule = RetryRule::of(self.settings.classes.get(request.incoming.class.0));
        let is_rejected = matches!(response, Some(FinalResponse::Rejected(_)));
        if is_rejected
            && rule.idempotency() != Idempotency::Idempotent
            && request.trace.has_effective_attempt()
        {
            tracing::info!(%request_id, trace = %request.trace, "request rejected after an attempt");
        }
        if let (Some(responder), Some(response)) = (request.responder.take(), response) {
            responder.respond(response);
        }
    }

    /// Removes the record of a request that has ended and has no attempt in flight. If the request
    /// may have been executed and must not be executed twice, its id is remembered: its client may
    /// have left and send it again.
    pub(super) fn remove_if_done(&mut self, id: RequestId) {
        let Entry::Occupied(entry) = self.requests.entry(id) else {
            return;
        };
        if !entry.get().is_finished || entry.get().in_flight.is_some() {
            return;
        }
        let request = entry.remove();
        let rule = RetryRule::of(self.settings.classes.get(request.incoming.class.0));
        let is_idempotent = rule.idempotency() == Idempotency::Idempotent;
        if !is_idempotent && request.executions.may_have_executed() {
            self.executed_ids.insert(&request.incoming.request_id);
        }
    }
}

/// Whether an outcome means that the endpoint responded, so that it can be reached.
fn has_responded(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Completed
            | Outcome::Prefilled { .. }
            | Outcome::Rejected(_)
            | Outcome::ServerError
            | Outcome::InvalidRequest
    )
}
