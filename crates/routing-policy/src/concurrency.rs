//! Adaptive concurrency limits (additive increase, multiplicative decrease).
//!
//! Each endpoint and each resource as a whole has a limit on what this router keeps in flight
//! there, learnt from how late responses are. Without them a short excess of load would become a
//! queue at the endpoints in which every request is late.

use crate::actions::Action;
use crate::config::{Idempotency, Role};
use crate::endpoints::{Endpoint, EndpointLimits, InFlight};
use crate::estimators::{indicator, move_toward};
use crate::events::RequestSpec;
use crate::ids::{EndpointId, Micros, RequestId};
use crate::policy::Policy;
use crate::requests::{Attempt, Overdue, Request, RequestState};

/// The factor of a limit's decrease after a late response.
const DECREASE_FACTOR: f64 = 0.85;
/// A limit's least increase after a quick response ...
const MIN_INCREASE: f64 = 0.3;
/// ... and its increase as a share of itself, if that is more.
const INCREASE_SHARE: f64 = 0.04;
/// A limit is raised only while so large a share of it is in use.
const UTILIZATION_FOR_INCREASE: f64 = 0.8;
const MIN_LIMIT: f64 = 1.0;
/// The limits of an endpoint at first and at most: weighted prefills, and streams.
const MAX_PREFILL_LIMIT: f64 = 8.0;
const MAX_STREAM_LIMIT: f64 = 1_000.0;
/// The least limits for all endpoints together, for each endpoint and over all routers.
const MIN_TOTAL_PREFILLS: f64 = 12.0;
const MIN_TOTAL_STREAMS: f64 = 24.0;
/// The share of late responses above which a resource as a whole counts as overloaded.
const OVERLOAD_LATE_SHARE: f64 = 0.3;
/// The share by which late shares move with each response.
pub(crate) const LATE_SHARE_STEP: f64 = 0.1;
/// The shares of the latency objective after which a prefill, the first token of a decode, and the
/// first token of a mixed endpoint are late.
const LATE_PREFILL: f64 = 0.35;
const LATE_DECODE: f64 = 0.2;
const LATE_MIXED: f64 = 0.35;
/// An attempt is lost if one that was sent so much later has had its response (us) ...
const OVERTAKEN_AFTER: Micros = 250_000;
/// ... or if its endpoint has responded to neither health checks nor attempts for so long (us).
const UNRESPONSIVE_AFTER: Micros = 1_500_000;

/// What concurrency is limited of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Resource {
    /// Prefills, weighted by their work.
    Prefill,
    /// Streams.
    Streams,
}

impl Resource {
    const ALL: [Resource; 2] = [Resource::Prefill, Resource::Streams];

    /// The limit of an endpoint at first and at most.
    pub(crate) fn max_endpoint_limit(self) -> f64 {
        match self {
            Resource::Prefill => MAX_PREFILL_LIMIT,
            Resource::Streams => MAX_STREAM_LIMIT,
        }
    }

    fn min_total_for_each_endpoint(self) -> f64 {
        match self {
            Resource::Prefill => MIN_TOTAL_PREFILLS,
            Resource::Streams => MIN_TOTAL_STREAMS,
        }
    }

    /// Whether endpoints of a role, and attempts at them, take part of it.
    fn is_used_by(self, role: Role) -> bool {
        match self {
            Resource::Prefill => role != Role::Decode,
            Resource::Streams => role != Role::Prefill,
        }
    }

    fn of_endpoint(self, limits: &mut EndpointLimits) -> &mut ConcurrencyLimit {
        match self {
            Resource::Prefill => &mut limits.prefill,
            Resource::Streams => &mut limits.streams,
        }
    }

    fn of_total(self, total: &InFlight) -> f64 {
        match self {
            Resource::Prefill => total.prefill_weight,
            Resource::Streams => total.streams,
        }
    }
}

/// A limit that is learnt from responses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    last_decrease: Micros,
}

/// What a response tells a limit.
#[derive(Debug, Clone, Copy)]
struct LimitSample {
    sent_at: Micros,
    in_flight: f64,
    is_late: bool,
}

impl ConcurrencyLimit {
    pub(crate) fn at_most(limit: f64) -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit,
            last_decrease: Micros::MIN,
        }
    }

    pub(crate) fn value(&self) -> f64 {
        self.limit
    }

    /// Decreases after a late response to something that was sent since the last decrease;
    /// increases after a quick one near the limit.
    fn record(&mut self, sample: LimitSample, max: f64, now: Micros) {
        let LimitSample {
            sent_at,
            in_flight,
            is_late,
        } = sample;
        if !is_late && in_flight + 1.0 >= self.limit * UTILIZATION_FOR_INCREASE {
            let increase = MIN_INCREASE.max(self.limit * INCREASE_SHARE);
            self.limit = (self.limit + increase).min(max);
        } else if is_late && sent_at > self.last_decrease {
            self.limit = (self.limit.min(in_flight) * DECREASE_FACTOR).max(MIN_LIMIT);
            self.last_decrease = now;
        }
    }
}

/// The limit on a resource at all endpoints together.
#[derive(Debug)]
pub(crate) struct TotalLimit {
    limit: ConcurrencyLimit,
    late_share: f64,
}

impl TotalLimit {
    fn unlimited() -> TotalLimit {
        TotalLimit {
            limit: ConcurrencyLimit::at_most(f64::MAX),
            late_share: 0.0,
        }
    }

    fn record(&mut self, sample: LimitSample, min: f64, now: Micros) {
        let late = indicator(sample.is_late);
        move_toward(&mut self.late_share, late, LATE_SHARE_STEP);
        if !sample.is_late || self.late_share > OVERLOAD_LATE_SHARE {
            self.limit.record(sample, f64::MAX, now);
            self.limit.limit = self.limit.limit.max(min);
        }
    }
}

/// The limits on both resources at all endpoints together.
#[derive(Debug)]
pub(crate) struct TotalLimits {
    prefill: TotalLimit,
    streams: TotalLimit,
}

impl TotalLimits {
    pub(crate) fn new() -> TotalLimits {
        TotalLimits {
            prefill: TotalLimit::unlimited(),
            streams: TotalLimit::unlimited(),
        }
    }

    fn get_mut(&mut self, resource: Resource) -> &mut TotalLimit {
        match resource {
            Resource::Prefill => &mut self.prefill,
            Resource::Streams => &mut self.streams,
        }
    }

    /// Whether there is capacity left of both resources.
    pub(crate) fn allow(&self, total: &InFlight) -> bool {
        total.prefill_weight < self.prefill.limit.value()
            && total.streams < self.streams.limit.value()
    }
}

impl Policy {
    /// An endpoint that was late or full is given less, a quick one at its limit more; so is a
    /// resource as a whole with its share of late responses.
    pub(crate) fn record_response(&mut self, id: RequestId, attempt: &Attempt, is_full: bool) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_late = is_full || self.is_overdue(&request.spec, attempt);
        let total = self.endpoints.total_in_flight();
        let queued_there = if is_late {
            self.not_started_streams(attempt)
        } else {
            0.0
        };
        // What was overdue has been recorded as late when it became so.
        let is_first_record = attempt.overdue == Overdue::No;
        if attempt.role != Role::Decode && is_first_record {
            self.record_late_share(attempt.endpoint, is_late);
        }
        for resource in Resource::ALL {
            if !resource.is_used_by(attempt.role) {
                continue;
            }
            let endpoints = self.listed_endpoints_with(resource);
            let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) else {
                continue;
            };
            let in_flight = match resource {
                Resource::Prefill => endpoint.in_flight.prefill_weight + attempt.prefill_weight,
                Resource::Streams => (endpoint.in_flight.streams - queued_there).max(0.0),
            };
            let sample = LimitSample {
                sent_at: attempt.sent_at,
                in_flight,
                is_late,
            };
            resource.of_endpoint(&mut endpoint.limits).record(
                sample,
                resource.max_endpoint_limit(),
                self.now,
            );
            if is_first_record {
                let min = resource.min_total_for_each_endpoint() * endpoints
                    / self.parameters.router_count;
                let in_flight = resource.of_total(&total);
                let sample = LimitSample {
                    in_flight,
                    ..sample
                };
                self.total_limits
                    .get_mut(resource)
                    .record(sample, min, self.now);
            }
        }
    }

    /// Attempts at a decode endpoint without a stream wait for a slot there. At a mixed endpoint
    /// they are being prefilled.
    fn not_started_streams(&self, attempt: &Attempt) -> f64 {
        if attempt.role != Role::Decode {
            return 0.0;
        }
        let waits_there = |request: &&Request| match &request.state {
            RequestState::Prefilling(other) | RequestState::Decoding { attempt: other, .. } => {
                other.endpoint == attempt.endpoint
            }
            _ => false,
        };
        self.requests.values().filter(waits_there).count() as f64
    }

    fn listed_endpoints_with(&self, resource: Resource) -> f64 {
        let uses = |endpoint: &&Endpoint| {
            endpoint.is_listed && resource.is_used_by(self.role_of(endpoint))
        };
        self.endpoints.entries.values().filter(uses).count() as f64
    }

    /// Attempts that are overdue tell of an endpoint's limit before they end, so that the limit of
    /// a silent endpoint falls too. Those that are lost are cancelled.
    pub(crate) fn check_overdue_attempts(&mut self) {
        for (id, attempt) in self.newly_overdue_attempts() {
            if attempt.overdue == Overdue::No {
                self.record_response(id, &attempt, true);
            }
            let is_lost = self.is_lost(id, &attempt);
            if is_lost {
                self.actions.push(Action::CancelAttempt {
                    id,
                    attempt: attempt.number,
                });
            }
            let request = self.requests.get_mut(&id);
            if let Some(attempt) = request.and_then(|request| request.state.attempt_mut()) {
                attempt.overdue = if is_lost {
                    Overdue::Cancelled
                } else {
                    Overdue::Recorded
                };
            }
        }
    }

    fn newly_overdue_attempts(&self) -> Vec<(RequestId, Attempt)> {
        let mut overdue = Vec::new();
        for (id, request) in &self.requests {
            let Some(attempt) = request.state.waiting_attempt() else {
                continue;
            };
            if attempt.overdue != Overdue::Cancelled && self.is_overdue(&request.spec, attempt) {
                overdue.push((*id, *attempt));
            }
        }
        overdue
    }

    /// Whether an attempt waits in vain, as open connections can fall silent, and its request may
    /// be sent again: its endpoint responded to what was sent well after it, or to nothing for
    /// long.
    fn is_lost(&self, id: RequestId, attempt: &Attempt) -> bool {
        let request = &self.requests[&id];
        let class = self.parameters.class(request.spec.class);
        let may_repeat = attempt.role == Role::Prefill
            || class.retry_rule.idempotency() == Idempotency::Idempotent;
        let has_attempts_left = request.attempts + 1 < self.parameters.max_attempts;
        self.parameters.cancellation
            && may_repeat
            && has_attempts_left
            && self.has_lost(attempt.endpoint, attempt.sent_at)
    }

    fn has_lost(&self, endpoint: EndpointId, sent_at: Micros) -> bool {
        self.endpoints.get(endpoint).is_some_and(|endpoint| {
            endpoint.last_answered_send > sent_at + OVERTAKEN_AFTER
                || self.now - UNRESPONSIVE_AFTER > endpoint.unresponsive_since
        })
    }

    fn is_overdue(&self, spec: &RequestSpec, attempt: &Attempt) -> bool {
        let late_share = match attempt.role {
            Role::Prefill => LATE_PREFILL,
            Role::Decode => LATE_DECODE,
            Role::Mixed => LATE_MIXED,
        };
        let objective = self
            .parameters
            .class(spec.class)
            .latency_objective(spec.prompt_tokens);
        (self.now - attempt.sent_at) as f64 > objective as f64 * late_share
    }
}
