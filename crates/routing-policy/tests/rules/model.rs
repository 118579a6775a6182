//! A model of all requests and endpoints of one router, which checks each action of the policy
//! against the rules.

use std::collections::{BTreeMap, BTreeSet};

use cranetack_routing_policy::*;

use crate::common::*;

/// The number of endpoints; their ids are 0 to 6.
pub(crate) const ENDPOINTS: u64 = 7;
/// The prefill endpoint that is in slow start during the whole run.
const COLD_ENDPOINT: u64 = 3;
/// The time after its deadline within which a request may get its final response, as in `settings`.
const RESPONSE_SLACK: Micros = 8_000;
/// The step by which the clock advances.
pub(crate) const TIME_STEP: Micros = 10_000;

/// A request that arrives.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) time_left: Micros,
    pub(crate) tokens: u64,
    pub(crate) session: u64,
}

/// A step of a run. `pick` chooses among the requests with an attempt in flight.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    Arrive(Arrival),
    Advance(Micros),
    Finish {
        pick: usize,
        outcome: Outcome,
        detail: u64,
    },
    StartStream {
        pick: usize,
    },
    Disconnect {
        pick: usize,
    },
    RespondToReservation {
        pick: usize,
        granted: bool,
    },
    UpdateEndpoint {
        endpoint: u64,
        state: EndpointState,
        restart: bool,
    },
}

/// The limits in the settings, with the policy's defaults for those that are missing.
#[derive(Debug, Clone)]
pub(crate) struct Bounds {
    pub(crate) max_attempts: u32,
    pub(crate) dedup_window: Micros,
    pub(crate) kv_lease_timeout: Micros,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds::of(&settings(Idempotency::Idempotent))
    }
}

impl Bounds {
    pub(crate) fn of(settings: &Settings) -> Bounds {
        Bounds {
            max_attempts: settings.max_attempts.unwrap_or(4),
            dedup_window: settings.classes[0].dedup_window.unwrap_or(0),
            kv_lease_timeout: settings.kv_lease_timeout.unwrap_or(SECOND / 2),
        }
    }
}

/// An open request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OpenRequest {
    pub(crate) deadline: Micros,
    /// The request has its final response, or its client has disconnected.
    pub(crate) client_done: bool,
}

/// An attempt in flight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) number: u32,
    pub(crate) endpoint: u64,
    pub(crate) sent_at: Micros,
    pub(crate) is_streaming: bool,
}

/// The first attempt that may have been executed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Execution {
    pub(crate) endpoint: u64,
    pub(crate) sent_at: Micros,
}

/// The state of all requests and endpoints, as the rules see it.
#[derive(Debug, Default, Clone)]
pub(crate) struct Model {
    pub(crate) bounds: Bounds,
    pub(crate) idempotency: Idempotency,
    pub(crate) requests: BTreeMap<u32, OpenRequest>,
    pub(crate) attempts_made: BTreeMap<u32, u32>,
    pub(crate) in_flight: BTreeMap<u32, Attempt>,
    /// For each request with no attempt in flight, since when KV state or a slot may be held for
    /// it.
    pub(crate) held_since: BTreeMap<u32, Micros>,
    pub(crate) executions: BTreeMap<u32, Execution>,
    pub(crate) draining: BTreeSet<u64>,
    /// The times of the sends to the cold endpoint.
    pub(crate) cold_sends: Vec<Micros>,
    /// The number of attempts that succeeded, at any endpoint.
    pub(crate) succeeded: usize,
}

pub(crate) fn kind_of(endpoint: u64) -> usize {
    (endpoint % 3) as usize
}

pub(crate) fn cell(endpoint: u64) -> i64 {
    (endpoint / 3) as i64
}

impl Model {
    pub(crate) fn check(&mut self, now: Micros, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send {
                    id,
                    endpoint,
                    expires_at,
                    write_by,
                } => self.check_send(now, id.0, endpoint.0, *expires_at, *write_by),
                Action::ReserveSlot { endpoint, .. } => {
                    let is_draining = self.draining.contains(&endpoint.0);
                    assert!(
                        !is_draining,
                        "slot reserved at draining endpoint {endpoint:?}"
                    );
                }
                Action::ReleaseState(id) => {
                    self.held_since.remove(&id.0);
                }
                Action::Reject { id, .. } => {
                    self.check_rejection(id.0);
                    self.record_final_response(now, id.0);
                }
                Action::Fail(id) => self.record_final_response(now, id.0),
                _ => {}
            }
        }
        self.check_time(now);
    }

    fn check_send(
        &mut self,
        now: Micros,
        id: u32,
        endpoint: u64,
        expires_at: Micros,
        write_by: Micros,
    ) {
        let request = self.requests[&id];
        let is_open = !request.client_done && now <= request.deadline;
        assert!(
            is_open,
            "request {id} was sent after its response or its deadline"
        );
        assert!(expires_at == 0 || expires_at <= request.deadline);
        assert!(
            !self.in_flight.contains_key(&id),
            "request {id} has two attempts in flight"
        );
        let is_draining = self.draining.contains(&endpoint);
        assert!(
            !is_draining,
            "request {id} was sent to draining endpoint {endpoint}"
        );
        let number = *self.attempts_made.entry(id).or_default();
        assert!(
            number < self.bounds.max_attempts,
            "request {id} had {number} attempts already, the most allowed"
        );
        if let Some(execution) = self.executions.get(&id) {
            self.check_retry(*execution, endpoint, write_by);
        }
        let attempt = Attempt {
            number,
            endpoint,
            sent_at: now,
            is_streaming: false,
        };
        self.in_flight.insert(id, attempt);
        self.attempts_made.insert(id, number + 1);
        self.held_since.remove(&id);
        if endpoint == COLD_ENDPOINT {
            self.cold_sends.push(now);
        }
    }

    /// Checks a retry of a request that may have been executed, prefills included: it must go to
    /// the group of the endpoint where that may have happened, and in time.
    fn check_retry(&self, execution: Execution, endpoint: u64, write_by: Micros) {
        let may_repeat = self.idempotency != Idempotency::NonIdempotent;
        assert!(may_repeat, "a non-idempotent request may be executed twice");
        let Idempotency::Keyed(scope) = self.idempotency else {
            return;
        };
        let is_in_group = cell(execution.endpoint) == cell(endpoint);
        assert!(
            scope == KeyScope::All || is_in_group,
            "a retry was sent to endpoint {endpoint}, which is in another group"
        );
        // The retry is written once a connection is up, at `write_by` at the latest, and then takes
        // some time to reach the endpoint.
        let write_by = if write_by == 0 { Micros::MAX } else { write_by };
        let window_end = execution.sent_at + self.bounds.dedup_window;
        assert!(
            write_by + SECOND / 20 < window_end,
            "a retry may reach the endpoint after the deduplication window"
        );
    }

    fn check_rejection(&self, id: u32) {
        let has_executed = self.executions.contains_key(&id);
        let attempt = self.in_flight.get(&id);
        let may_be_running = attempt.is_some_and(|attempt| kind_of(attempt.endpoint) != 0);
        let repetition_is_harmless = matches!(
            self.idempotency,
            Idempotency::Idempotent | Idempotency::Keyed(KeyScope::All)
        );
        assert!(
            repetition_is_harmless || !(has_executed || may_be_running),
            "request {id} was rejected though it may have been executed"
        );
    }

    fn is_streaming(&self, id: u32) -> bool {
        let attempt = self.in_flight.get(&id);
        attempt.is_some_and(|attempt| attempt.is_streaming)
    }

    fn record_final_response(&mut self, now: Micros, id: u32) {
        assert!(
            !self.is_streaming(id),
            "request {id} got a final response while its stream runs"
        );
        let request = self.requests.get_mut(&id).unwrap();
        assert!(!request.client_done, "request {id} got two final responses");
        assert!(
            now <= request.deadline + RESPONSE_SLACK,
            "request {id} got its final response too late"
        );
        request.client_done = true;
    }

    pub(crate) fn check_time(&self, now: Micros) {
        for (id, request) in &self.requests {
            let is_in_time = now <= request.deadline + RESPONSE_SLACK;
            let is_served = request.client_done || self.is_streaming(*id);
            assert!(
                is_served || is_in_time,
                "request {id} got no response in time"
            );
        }
        for (id, since) in &self.held_since {
            let is_in_time = now <= since + self.bounds.kv_lease_timeout;
            assert!(
                is_in_time,
                "the KV state of request {id} was not released in time"
            );
        }
        let is_recent = |at: &&Micros| **at > now - 2 * SECOND;
        let recent = self.cold_sends.iter().filter(is_recent).count();
        assert!(
            recent <= 1 + self.succeeded,
            "the cold endpoint got {recent} sends within 2 s after {} attempts succeeded",
            self.succeeded
        );
    }

    /// Ends the attempt in flight of a request. If its endpoint may not report `outcome`, the
    /// attempt ends with a similar outcome that the endpoint may report.
    pub(crate) fn finish(&mut self, now: Micros, id: u32, outcome: Outcome, detail: u64) -> Event {
        let attempt = self.in_flight.remove(&id).unwrap();
        let is_prefill = kind_of(attempt.endpoint) == 0;
        let outcome = match outcome {
            Outcome::Completed if is_prefill => PREFILLED,
            PREFILLED if !is_prefill => Outcome::Completed,
            OVERLOADED | UNREACHABLE | Outcome::NotSent if attempt.is_streaming => CONNECTION_RESET,
            other => other,
        };
        let request = self.requests.get_mut(&id).unwrap();
        let client_done =
            request.client_done || outcome == Outcome::Completed || attempt.is_streaming;
        request.client_done = client_done;
        let was_not_executed = matches!(outcome, OVERLOADED | UNREACHABLE | Outcome::NotSent);
        if !was_not_executed && !is_prefill {
            self.executions.entry(id).or_insert(Execution {
                endpoint: attempt.endpoint,
                sent_at: attempt.sent_at,
            });
        }
        if !attempt.is_streaming && outcome != Outcome::Completed {
            self.held_since.insert(id, now);
        }
        self.succeeded += usize::from(matches!(outcome, Outcome::Completed | PREFILLED));
        let detail = if outcome == OVERLOADED {
            detail % 2
        } else {
            detail
        };
        Event::AttemptEnded {
            id: RequestId(id),
            attempt: attempt.number,
            endpoint: EndpointId(attempt.endpoint),
            outcome: with_detail(outcome, detail),
            client_done,
            elapsed: now - attempt.sent_at,
            load: None,
        }
    }

    /// Returns one of the requests with an attempt in flight, chosen by `pick`, or `None` if there
    /// is none.
    pub(crate) fn pick(&self, pick: usize, include_streaming: bool) -> Option<u32> {
        let is_included = |attempt: &Attempt| include_streaming || !attempt.is_streaming;
        let in_flight = self.in_flight.iter();
        let ids: Vec<u32> = in_flight
            .filter(|(_, attempt)| is_included(attempt))
            .map(|(id, _)| *id)
            .collect();
        if ids.is_empty() {
            return None;
        }
        Some(ids[pick % ids.len()])
    }

    pub(crate) fn arrive(&mut self, id: u32, now: Micros, arrival: Arrival) -> Event {
        let request = OpenRequest {
            deadline: now + arrival.time_left,
            client_done: false,
        };
        self.requests.insert(id, request);
        Event::RequestArrived(RequestSpec {
            deadline: request.deadline,
            prompt_tokens: arrival.tokens,
            session: Some(SessionId(arrival.session)),
            ..request_spec(id, now)
        })
    }

    pub(crate) fn start_stream(&mut self, id: u32) -> Option<Event> {
        let client_done = self.requests[&id].client_done;
        let attempt = self.in_flight.get_mut(&id)?;
        if kind_of(attempt.endpoint) == 0 || client_done {
            return None;
        }
        attempt.is_streaming = true;
        Some(Event::StreamStarted {
            id: RequestId(id),
            attempt: attempt.number,
            endpoint: EndpointId(attempt.endpoint),
            elapsed: 1,
        })
    }

    pub(crate) fn disconnect(&mut self, id: u32) -> Event {
        if let Some(request) = self.requests.get_mut(&id) {
            request.client_done = true;
        }
        Event::ClientDisconnected(RequestId(id))
    }

    pub(crate) fn respond_to_reservation(&self, id: u32, granted: bool) -> Event {
        Event::SlotReservationCompleted {
            id: RequestId(id),
            endpoint: EndpointId(self.in_flight[&id].endpoint),
            granted,
        }
    }

    pub(crate) fn update_endpoint(
        &mut self,
        endpoint: u64,
        state: EndpointState,
        restart: bool,
        now: Micros,
    ) -> Event {
        let mut spec = EndpointSpec {
            state,
            ..list_entry(endpoint)
        };
        if restart && endpoint != COLD_ENDPOINT {
            spec.started_at = Some(now - 60 * SECOND);
        }
        if state == EndpointState::Active {
            self.draining.remove(&endpoint);
        } else {
            self.draining.insert(endpoint);
        }
        Event::EndpointsUpdated(EndpointUpdate::Delta(vec![spec]))
    }
}

/// Returns the list entry of an endpoint. The cold endpoint starts an hour after the run begins, so
/// that it stays cold.
pub(crate) fn list_entry(endpoint: u64) -> EndpointSpec {
    let spec = endpoint_spec(endpoint, kind_of(endpoint), cell(endpoint));
    if endpoint != COLD_ENDPOINT {
        return spec;
    }
    EndpointSpec {
        started_at: Some(START + 3_600 * SECOND),
        ..spec
    }
}
