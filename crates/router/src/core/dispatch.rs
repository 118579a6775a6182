//! Dispatch: the policy's decisions on attempts, slots and rejections, checked and carried out.

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

/// Stands for "no such limit" in an action of the policy.
const NO_LIMIT: Micros = 0;

impl<O: Outbound> Core<O> {
    /// Makes an attempt, if the request still needs one and no rule forbids it.
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
                request.trace.note(now, step);
                return self.attempt_not_sent(id, number, to);
            }
        };
        request.is_released = false;
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
        let is_non_idempotent = rule.idempotency() == Idempotency::NonIdempotent;
        self.outbound.send(AttemptSpec {
            attempt: AttemptId {
                request: id,
                number,
            },
            request_id: request.incoming.request_id.clone(),
            endpoint: endpoint.clone(),
            expires_at: self.clock.instant(limit_or_deadline(expires_at, deadline)),
            write_by: self.clock.instant(limit_or_deadline(write_by, deadline)),
            is_live: request.is_live.clone(),
            prefill_only,
            non_idempotent: is_non_idempotent && !prefill_only,
            message: request.incoming.message.clone(),
        });
    }

    /// Tells the policy of an attempt that was not made.
    fn attempt_not_sent(&mut self, id: RequestId, attempt: u32, endpoint: EndpointId) {
        let request = self.requests.get(&id);
        let client_done = request.is_none_or(|request| request.is_over);
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
        self.note(id, Step::Cancelled { attempt });
        let attempt = AttemptId {
            request: id,
            number: attempt,
        };
        self.outbound.cancel(attempt, false);
    }

    /// Cancels the attempt in flight while its response has not begun.
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

    /// Breaks off a stream, so that its client resumes it elsewhere.
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

    /// Rejects a request, once the attempt in flight has been cancelled, which takes no wait: a
    /// rejection must not overtake its attempt, as the client may try again while the endpoint
    /// still works for it.
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
            .filter(|request| !request.is_over);
        let Some(request) = request else {
            return self.finish(id, Some(rejection));
        };
        let Some(attempt) = request.in_flight.as_ref().map(|attempt| attempt.number) else {
            return self.finish(id, Some(rejection));
        };
        request.pending_rejection = Some(rejection);
        request.is_live.set(false);
        request.trace.note(now, Step::Cancelled { attempt });
        let attempt = AttemptId {
            request: id,
            number: attempt,
        };
        self.outbound.cancel(attempt, false);
    }

    fn check_rejection(&self, id: RequestId) -> Result<(), Violation> {
        let request = self.requests.get(&id).filter(|request| !request.is_over);
        let Some(request) = request else {
            return Ok(());
        };
        let rule = RetryRule::of(self.settings.classes.get(request.incoming.class.0));
        let in_flight = request.in_flight.as_ref();
        let may_be_executing = in_flight.is_some_and(|attempt| attempt.role != Role::Prefill);
        request.executions.check_rejection(rule, may_be_executing)
    }

    /// Counts a decision that is not carried out, and logs it with all that happened to the
    /// request.
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
        self.note(id, Step::SlotReservationSent { endpoint });
    }

    /// A slot that may be reserved for a request that no longer needs one is released: the response
    /// may have crossed the policy's own release. So is one of which the decode endpoint is not
    /// sure while the prefill is still waited for: it saw no attempt in flight, so the prefill may
    /// be under way on a connection that has fallen silent, and the slot would be held for nobody.
    pub(super) fn slot_reservation_answered(
        &mut self,
        prefill_attempt: AttemptId,
        request_id: Rc<str>,
        endpoint: EndpointId,
        reservation: SlotReservation,
    ) {
        let id = prefill_attempt.request;
        self.note(id, Step::SlotReservationAnswered { reservation });
        if reservation != SlotReservation::Unknown {
            self.endpoint_responded(endpoint);
        }
        let request = self.requests.get(&id);
        let needs_slot = request.is_some_and(|request| {
            !request.is_over && !request.is_released && request.streaming_attempt().is_none()
        });
        tracing::debug!(%request_id, ?reservation, needs_slot, "slot reservation answered");
        let in_flight = request.and_then(|request| request.in_flight.as_ref());
        let is_prefilling =
            in_flight.is_some_and(|attempt| attempt.number == prefill_attempt.number);
        let has_attempt = in_flight.is_some();
        let is_stray = !needs_slot && reservation != SlotReservation::Refused;
        let is_unseen = reservation == SlotReservation::Unknown && is_prefilling;
        if is_stray || is_unseen {
            let endpoints = self.endpoints_for_release();
            self.outbound.release_state(id, request_id, endpoints);
        } else if needs_slot && reservation != SlotReservation::Unknown && has_attempt {
            self.decide(Event::SlotReservationAnswered {
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
        request.is_released = true;
        request.trace.note(now, Step::StateReleased);
        let request_id = request.incoming.request_id.clone();
        let endpoints = self.endpoints_for_release();
        self.outbound.release_state(id, request_id, endpoints);
    }
}

/// Why a request must not be sent, whatever the endpoint.
fn reason_not_to_send(
    request: &Request,
    number: u32,
    max_attempts: Option<u32>,
    now: Micros,
) -> Option<NotSentReason> {
    if request.is_over {
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
