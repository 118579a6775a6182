//! Adaptive concurrency limits (additive increase, multiplicative decrease).
//!
//! Each endpoint has a limit on what this router keeps in flight there, and each resource has one
//! for all endpoints together. The limits are learnt from how late responses are. Without them, a
//! short excess of load would become a queue at the endpoints in which every request is late.

use crate::actions::Action;
use crate::config::{Idempotency, Role};
use crate::endpoints::{Endpoint, EndpointLimits, InFlight};
use crate::estimators::{indicator, update_moving_average};
use crate::events::RequestSpec;
use crate::ids::{EndpointId, Micros, RequestId};
use crate::policy::Policy;
use crate::requests::{Attempt, Overdue, Request, RequestState};

/// Factor by which a limit is multiplied after a late response.
const DECREASE_FACTOR: f64 = 0.85;
/// Minimum increase of a limit after a response in time.
const MIN_INCREASE: f64 = 0.3;
/// Increase of a limit after a response in time as a share of the limit, where this is more than
/// [`MIN_INCREASE`].
const INCREASE_SHARE: f64 = 0.04;
/// Share of a limit that must be in use for the limit to be raised.
const MIN_UTILIZATION_FOR_INCREASE: f64 = 0.8;
const MIN_LIMIT: f64 = 1.0;
/// Initial and maximum limit of an endpoint on weighted prefills.
const MAX_PREFILL_LIMIT: f64 = 8.0;
/// Initial and maximum limit of an endpoint on streams.
const MAX_STREAM_LIMIT: f64 = 1_000.0;
/// Minimum of the total limit on weighted prefills, summed over all routers, for each endpoint that
/// takes prefills. Each router has an equal part of it.
const MIN_TOTAL_PREFILLS: f64 = 12.0;
/// Minimum of the total limit on streams, summed over all routers, for each endpoint that takes
/// streams. Each router has an equal part of it.
const MIN_TOTAL_STREAMS: f64 = 24.0;
/// Share of late responses above which a resource at all endpoints together counts as overloaded.
const OVERLOAD_LATE_SHARE: f64 = 0.3;
/// Smoothing factor of the moving averages of the share of late responses.
pub(crate) const LATE_SHARE_SMOOTHING: f64 = 0.1;
/// Share of the latency objective after which a prefill is late.
const PREFILL_OBJECTIVE_SHARE: f64 = 0.35;
/// Share of the latency objective after which the first token of a decode endpoint is late.
const DECODE_OBJECTIVE_SHARE: f64 = 0.2;
/// Share of the latency objective after which the first token of a mixed endpoint is late.
const MIXED_OBJECTIVE_SHARE: f64 = 0.35;
/// An attempt is lost if its endpoint has responded to another attempt that was sent more than this
/// duration later.
const OVERTAKEN_AFTER: Micros = 250_000;
/// An attempt is lost if its endpoint has responded neither to health checks nor to attempts for
/// longer than this duration.
const UNRESPONSIVE_AFTER: Micros = 1_500_000;

/// A resource whose concurrent use is limited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Resource {
    /// Prefills, weighted by their work.
    Prefill,
    /// Streams.
    Streams,
}

impl Resource {
    const ALL: [Resource; 2] = [Resource::Prefill, Resource::Streams];

    /// Returns the initial and maximum limit of an endpoint.
    pub(crate) fn max_endpoint_limit(self) -> f64 {
        match self {
            Resource::Prefill => MAX_PREFILL_LIMIT,
            Resource::Streams => MAX_STREAM_LIMIT,
        }
    }

    /// Returns the minimum of the total limit on the resource, summed over all routers, for each
    /// endpoint that uses the resource.
    fn min_total_per_endpoint(self) -> f64 {
        match self {
            Resource::Prefill => MIN_TOTAL_PREFILLS,
            Resource::Streams => MIN_TOTAL_STREAMS,
        }
    }

    /// Returns whether attempts at endpoints of a role use the resource.
    fn is_used_by(self, role: Role) -> bool {
        match self {
            Resource::Prefill => role != Role::Decode,
            Resource::Streams => role != Role::Prefill,
        }
    }

    fn limit_of_endpoint_mut(self, limits: &mut EndpointLimits) -> &mut ConcurrencyLimit {
        match self {
            Resource::Prefill => &mut limits.prefill,
            Resource::Streams => &mut limits.streams,
        }
    }

    fn total_in_flight_of(self, total: &InFlight) -> f64 {
        match self {
            Resource::Prefill => total.prefill_weight,
            Resource::Streams => total.streams,
        }
    }
}

/// A concurrency limit that is learnt from responses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    last_decrease: Micros,
}

/// The facts of a response from which a limit is adjusted.
#[derive(Debug, Clone, Copy)]
struct LimitSample {
    sent_at: Micros,
    in_flight: f64,
    is_late: bool,
}

impl ConcurrencyLimit {
    pub(crate) fn starting_at(limit: f64) -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit,
            last_decrease: Micros::MIN,
        }
    }

    pub(crate) fn value(&self) -> f64 {
        self.limit
    }

    /// Increases the limit after a response in time if most of the limit is in use. Decreases it
    /// after a late response if the attempt was sent after the last decrease.
    fn record(&mut self, sample: LimitSample, max: f64, now: Micros) {
        let LimitSample {
            sent_at,
            in_flight,
            is_late,
        } = sample;
        if !is_late && in_flight + 1.0 >= self.limit * MIN_UTILIZATION_FOR_INCREASE {
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
            limit: ConcurrencyLimit::starting_at(f64::MAX),
            late_share: 0.0,
        }
    }

    /// Adjusts the limit. Late responses decrease it only while the share of late responses is
    /// above [`OVERLOAD_LATE_SHARE`].
    fn record(&mut self, sample: LimitSample, min: f64, now: Micros) {
        let late = indicator(sample.is_late);
        update_moving_average(&mut self.late_share, late, LATE_SHARE_SMOOTHING);
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

    /// Returns whether this router's total in flight is below the limits on both resources.
    pub(crate) fn allow(&self, total: &InFlight) -> bool {
        total.prefill_weight < self.prefill.limit.value()
            && total.streams < self.streams.limit.value()
    }
}

impl Policy {
    /// Adjusts the concurrency limits after a response. A late one decreases the limits of the
    /// endpoint, and the total limits if the share of late responses is high. One in time increases
    /// the limits that are nearly in full use. `counts_as_late` marks an attempt as late whatever
    /// its duration: the endpoint rejected it as overloaded, or it is overdue without a response.
    pub(crate) fn record_response(
        &mut self,
        id: RequestId,
        attempt: &Attempt,
        counts_as_late: bool,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_late = counts_as_late || self.is_overdue(&request.spec, attempt);
        let total = self.endpoints.total_in_flight();
        let queued_at_endpoint = if is_late {
            self.not_started_streams(attempt)
        } else {
            0.0
        };
        // An overdue attempt was already recorded as late when it became overdue.
        let is_first_record = attempt.overdue == Overdue::No;
        if attempt.role != Role::Decode && is_first_record {
            self.record_late_share(attempt.endpoint, is_late);
        }
        for resource in Resource::ALL {
            if !resource.is_used_by(attempt.role) {
                continue;
            }
            let endpoint_count = self.count_active_endpoints(resource);
            let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) else {
                continue;
            };
            let in_flight = match resource {
                Resource::Prefill => endpoint.in_flight.prefill_weight + attempt.prefill_weight,
                Resource::Streams => (endpoint.in_flight.streams - queued_at_endpoint).max(0.0),
            };
            let sample = LimitSample {
                sent_at: attempt.sent_at,
                in_flight,
                is_late,
            };
            resource.limit_of_endpoint_mut(&mut endpoint.limits).record(
                sample,
                resource.max_endpoint_limit(),
                self.now,
            );
            if is_first_record {
                let min = resource.min_total_per_endpoint() * endpoint_count
                    / self.parameters.router_count;
                let in_flight = resource.total_in_flight_of(&total);
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

    /// Counts the attempts at the decode endpoint of `attempt` that have no stream yet and wait for
    /// a slot there. The result is 0 at a mixed endpoint, where attempts without a stream are being
    /// prefilled.
    fn not_started_streams(&self, attempt: &Attempt) -> f64 {
        if attempt.role != Role::Decode {
            return 0.0;
        }
        let waits_at_endpoint = |request: &&Request| match &request.state {
            RequestState::Prefilling(other) | RequestState::Decoding { attempt: other, .. } => {
                other.endpoint == attempt.endpoint
            }
            _ => false,
        };
        self.requests.values().filter(waits_at_endpoint).count() as f64
    }

    /// Counts the active endpoints that use a resource.
    fn count_active_endpoints(&self, resource: Resource) -> f64 {
        let uses = |endpoint: &&Endpoint| {
            endpoint.is_active && resource.is_used_by(self.role_of(endpoint))
        };
        self.endpoints.entries.values().filter(uses).count() as f64
    }

    /// Records attempts as late as soon as they are overdue, so that the limit of an endpoint that
    /// does not respond at all decreases too. Cancels the attempts that are lost.
    pub(crate) fn check_overdue_attempts(&mut self) {
        for (id, attempt) in self.overdue_attempts() {
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

    /// Returns the overdue attempts that have not been cancelled.
    fn overdue_attempts(&self) -> Vec<(RequestId, Attempt)> {
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

    /// Returns whether an attempt is lost and its request may be sent again. Open connections can
    /// fall silent without an error: an attempt counts as lost if its endpoint has responded to an
    /// attempt that was sent well after it, or to nothing for a long time.
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

    /// Returns whether an endpoint has lost an attempt that was sent to it at `sent_at`.
    fn has_lost(&self, endpoint: EndpointId, sent_at: Micros) -> bool {
        self.endpoints.get(endpoint).is_some_and(|endpoint| {
            endpoint.latest_responded_send > sent_at + OVERTAKEN_AFTER
                || self.now - UNRESPONSIVE_AFTER > endpoint.unresponsive_since
        })
    }

    /// Returns whether an attempt has taken longer than its role's share of the latency objective.
    pub(crate) fn is_overdue(&self, spec: &RequestSpec, attempt: &Attempt) -> bool {
        let objective_share = match attempt.role {
            Role::Prefill => PREFILL_OBJECTIVE_SHARE,
            Role::Decode => DECODE_OBJECTIVE_SHARE,
            Role::Mixed => MIXED_OBJECTIVE_SHARE,
        };
        let objective = self
            .parameters
            .class(spec.class)
            .latency_objective(spec.prompt_tokens);
        (self.now - attempt.sent_at) as f64 > objective as f64 * objective_share
    }
}
