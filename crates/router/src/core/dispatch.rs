//! Checks the policy's decisions on attempts, slots and rejections, and carries them out.

use std::rc::Rc;
use std::time::Duration;

use cranetack_routing_policy::idempotency::{PossibleExecution, RetryRule};
use cranetack_routing_policy::{EndpointId, Event, Idempotency, Micros, Outcome, RequestId, Role};

use super::guard::Violation;
use super::messages::{AttemptId, AttemptSpec, Outbound, SlotReservation};
use super::recorder::{NotSentReason, Step};
use super::requests::{AttemptInFlight, Request};
use super::Core;
use crate::exchange::FinalResponse;

/// The value of a time limit in the policy's actions that means that there is no limit.
const NO_LIMIT: Micros = 0;

impl<O: Outbound> Core<O> {
    /// Starts an attempt if the request still needs one and no rule forbids it.
    pub(super) fn send(
        &mut self,
        id: RequestId,
        to: EndpointId,
        expires_at: Micros,
        write_by: Micros,
    ) {
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let number = request.attempts;
        request.attempts += 1;
        let refusal = reason_not_to_send(request, number, self.settings.max_attempts, now);
        let (endpoint, spec) = match (refusal, self.endpoints.get(to)) {
            (None, Some(target)) => target,
            (refusal, _) => {
                let reason = refusal.unwrap_or(NotSentReason::UnknownEndpoint);
                let step = Step::NotSent {
                    attempt: number,
                    endpoint: to,
                    reason,
                };
                request.trace.record(now, step);
                return self.attempt_not_sent(id, number, to);
            }
        };
        request.is_state_released = false;
        let rule = RetryRule::of(self.settings.classes.get(request.incoming.class.0));
        if let Err(violation) = request.executions.check_send(rule, spec, now) {
            self.record_violation(id, violation);
            return self.attempt_not_sent(id, number, to);
        }
        let kind = self.settings.kinds.get(spec.kind.0);
        let attempt = AttemptInFlight {
            number,
            role: kind.and_then(|kind| kind.role).unwrap_or(Role::Mixed),
            endpoint: to,
            sent_at: now,
            execution: PossibleExecution::at(spec, now),
            is_streaming: false,
        };
        request.record_send(&attempt, &endpoint.name, rule);
        let prefill_only = attempt.role == Role::Prefill;
        request.in_flight = Some(attempt);
        let deadline = request.deadline;
        let is_resumable = request
            .spec(id)
            .is_resumable(self.settings.resumable_streams);
        let is_non_idempotent = rule.idempotency() == Idempotency::NonIdempotent;
        self.outbound.send(AttemptSpec {
            attempt: AttemptId {
                request: id,
                number,
            },
            request_id: request.incoming.request_id.clone(),
            endpoint: endpoint.clone(),
            expires_at: self
                .clock
                .instant_of(limit_or_deadline(expires_at, deadline)),
            write_by: self.clock.instant_of(limit_or_deadline(write_by, deadline)),
            needs_response: request.needs_response.clone(),
            prefill_only,
            non_idempotent: is_non_idempotent && !prefill_only,
            is_resumable,
            message: request.incoming.message.clone(),
        });
    }

    /// Reports to the policy that an attempt was not made.
    fn attempt_not_sent(&mut self, id: RequestId, attempt: u32, endpoint: EndpointId) {
        let request = self.requests.get(&id);
        let client_done = request.is_none_or(|request| request.is_finished);
        self.pending_events.push_back(Event::AttemptEnded {
            id,
            attempt,
            endpoint,
            outcome: Outcome::NotSent,
            client_done,
            elapsed: 0,
            load: None,
        });
    }

    pub(super) fn cancel(&mut self, id: RequestId, attempt: u32) {
        self.record_step(id, Step::Cancelled { attempt });
        let attempt = AttemptId {
            request: id,
            number: attempt,
        };
        self.outbound.cancel(attempt, false);
    }

    /// Cancels the attempt in flight unless its response has begun to stream.
    pub(super) fn cancel_unless_streaming(&mut self, id: RequestId) {
        let request = self.requests.get(&id);
        if let Some(attempt) = request.and_then(Request::waiting_attempt) {
            let attempt = AttemptId {
                request: id,
                number: attempt.number,
            };
            self.outbound.cancel(attempt, false);
        }
    }

    /// Breaks off a stream, so that its client resumes it at another router.
    pub(super) fn migrate(&mut self, id: RequestId) {
        let request = self.requests.get(&id);
        if let Some(attempt) = request.and_then(Request::streaming_attempt) {
            let attempt = AttemptId {
                request: id,
                number: attempt.number,
            };
            self.outbound.cancel(attempt, true);
        }
    }

    /// Rejects a request. If an attempt is in flight, it is cancelled now and the rejection is sent
    /// once it has ended. The client may try again as soon as it is rejected, and the endpoint must
    /// not be working on the earlier attempt then.
    pub(super) fn reject(&mut self, id: RequestId, retry_after: Duration) {
        if let Err(violation) = self.check_rejection(id) {
            self.record_violation(id, violation);
            return self.finish(id, Some(FinalResponse::Failed));
        }
        let rejection = FinalResponse::Rejected(retry_after);
        let now = self.clock.now();
        let request = self
            .requests
            .get_mut(&id)
            .filter(|request| !request.is_finished);
        let Some(request) = request else {
            return self.finish(id, Some(rejection));
        };
        let Some(attempt) = request.in_flight.as_ref().map(|attempt| attempt.number) else {
            return self.finish(id, Some(rejection));
        };
        request.pending_rejection = Some(rejection);
        request.needs_response.set(false);
        request.trace.record(now, Step::Cancelled { attempt });
        let attempt = AttemptId {
            request: id,
            number: attempt,
        };
        self.outbound.cancel(attempt, false);
    }

    fn check_rejection(&self, id: RequestId) -> Result<(), Violation> {
        let request = self
            .requests
            .get(&id)
            .filter(|request| !request.is_finished);
        let Some(request) = request else {
            return Ok(());
        };
        let rule = RetryRule::of(self.settings.classes.get(request.incoming.class.0));
        let in_flight = request.in_flight.as_ref();
        let may_be_executing = in_flight.is_some_and(|attempt| attempt.role != Role::Prefill);
        request.executions.check_rejection(rule, may_be_executing)
    }

    /// Counts a decision that is not carried out, and logs it with the trace of the request.
    fn record_violation(&mut self, id: RequestId, violation: Violation) {
        self.violations += 1;
        if let Some(request) = self.requests.get(&id) {
            tracing::error!(
                request_id = %request.incoming.request_id,
                ?violation,
                trace = %request.trace,
                count = self.violations,
                "a rule is broken: the decision is not carried out"
            );
        }
    }

    pub(super) fn reserve_slot(&mut self, id: RequestId, decode: EndpointId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let in_flight = request.in_flight.as_ref();
        let (Some(attempt), Some(decode)) = (in_flight, self.endpoints.handle(decode)) else {
            return;
        };
        let prefill_attempt = AttemptId {
            request: id,
            number: attempt.number,
        };
        let request_id = request.incoming.request_id.clone();
        tracing::debug!(%request_id, endpoint = decode.name, "slot reservation sent");
        let endpoint = decode.name.as_str().into();
        self.outbound
            .reserve_slot(prefill_attempt, request_id, decode.clone());
        self.record_step(id, Step::SlotReservationSent { endpoint });
    }

    /// Handles the outcome of a slot reservation. The slot is released in two cases:
    /// - The slot may be reserved, but the request no longer needs one. The policy's own release
    ///   may have been sent before the decode endpoint responded.
    /// - The outcome is unknown while the prefill is in flight. The decode endpoint saw no attempt
    ///   in flight, so the prefill may have been written to an unresponsive connection, and the
    ///   slot would stay reserved without being used.
    pub(super) fn slot_reservation_completed(
        &mut self,
        prefill_attempt: AttemptId,
        request_id: Rc<str>,
        endpoint: EndpointId,
        reservation: SlotReservation,
    ) {
        let id = prefill_attempt.request;
        self.record_step(id, Step::SlotReservationAnswered { reservation });
        if reservation != SlotReservation::Unknown {
            self.endpoint_responded(endpoint);
        }
        let request = self.requests.get(&id);
        let needs_slot = request.is_some_and(|request| {
            !request.is_finished
                && !request.is_state_released
                && request.streaming_attempt().is_none()
        });
        tracing::debug!(%request_id, ?reservation, needs_slot, "slot reservation answered");
        let in_flight = request.and_then(|request| request.in_flight.as_ref());
        let is_prefilling =
            in_flight.is_some_and(|attempt| attempt.number == prefill_attempt.number);
        let has_attempt = in_flight.is_some();
        let is_unneeded = !needs_slot && reservation != SlotReservation::Refused;
        let is_unconfirmed = reservation == SlotReservation::Unknown && is_prefilling;
        if is_unneeded || is_unconfirmed {
            let endpoints = self.endpoints_for_release();
            self.outbound.release_state(id, request_id, endpoints);
        } else if needs_slot && reservation != SlotReservation::Unknown && has_attempt {
            self.handle_policy_event(Event::SlotReservationCompleted {
                id,
                endpoint,
                granted: reservation == SlotReservation::Granted,
            });
        }
    }

    pub(super) fn release_state(&mut self, id: RequestId) {
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.is_state_released = true;
        request.trace.record(now, Step::StateReleased);
        let request_id = request.incoming.request_id.clone();
        let endpoints = self.endpoints_for_release();
        self.outbound.release_state(id, request_id, endpoints);
    }
}

/// Returns why a request must not be sent to any endpoint, or `None` if it may be sent.
fn reason_not_to_send(
    request: &Request,
    number: u32,
    max_attempts: Option<u32>,
    now: Micros,
) -> Option<NotSentReason> {
    if request.is_finished {
        Some(NotSentReason::RequestOver)
    } else if request.in_flight.is_some() {
        Some(NotSentReason::AttemptInFlight)
    } else if max_attempts.is_some_and(|max| number >= max) {
        Some(NotSentReason::TooManyAttempts)
    } else if now >= request.deadline {
        Some(NotSentReason::PastDeadline)
    } else {
        None
    }
}

fn limit_or_deadline(limit: Micros, deadline: Micros) -> Micros {
    if limit == NO_LIMIT {
        deadline
    } else {
        limit.min(deadline)
    }
}
