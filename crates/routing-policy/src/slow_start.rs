//! Slow start: limits how much is sent to an endpoint that has started recently.
//!
//! An endpoint that has just started has only a part of its capacity, and is overloaded if all
//! routers together send it more than a multiple of that part, here called its budget. Each router
//! therefore waits between its sends to such an endpoint for an interval that keeps the sum over
//! all routers within the budget.

use crate::config::Role;
use crate::endpoints::Endpoint;
use crate::ids::{EndpointId, Micros};
use crate::policy::Policy;

/// Share of the budget of an endpoint in slow start that routers use. The rest is a margin, because
/// the routers' sends vary at random.
const BUDGET_SHARE: f64 = 0.8;

/// The kinds of sends that wait for separate turns at an endpoint in slow start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendKind {
    /// A send of any request.
    Any,
    /// A send of a request of a session whose affinity target is the endpoint. There is no wait
    /// before the first one: the share of sessions for which an endpoint is the target is already
    /// in proportion to the part of its capacity that it has.
    Affinity,
}

/// The wait for the next send of one kind to an endpoint in slow start.
#[derive(Debug, Clone, Copy, Default)]
struct SendTurn {
    since: Micros,
    /// Length of the wait in send intervals.
    intervals: f64,
}

/// The waits for the next send of each kind to an endpoint in slow start.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SendTurns {
    any: SendTurn,
    affinity: SendTurn,
}

impl SendTurns {
    /// Returns the waits after the start of an endpoint. `first_fraction` is a random part of the
    /// send interval, so that the routers do not all send at the same time.
    pub(crate) fn after_start(now: Micros, first_fraction: f64) -> SendTurns {
        SendTurns {
            any: SendTurn {
                since: now,
                intervals: first_fraction,
            },
            affinity: SendTurn {
                since: now,
                intervals: 0.0,
            },
        }
    }

    /// Returns the waits after a send. `intervals` is the expected work of the request as a
    /// multiple of the mean work, because the send interval is the one for mean work.
    pub(crate) fn after_send(now: Micros, intervals: f64) -> SendTurns {
        let turn = SendTurn {
            since: now,
            intervals,
        };
        SendTurns {
            any: turn,
            affinity: turn,
        }
    }

    fn get(&self, kind: SendKind) -> SendTurn {
        match kind {
            SendKind::Any => self.any,
            SendKind::Affinity => self.affinity,
        }
    }
}

impl Policy {
    /// Returns whether an endpoint is open: it is active, and if it is in slow start, this router's
    /// turn to send to it has come.
    pub(crate) fn is_open(&self, id: EndpointId, kind: SendKind) -> bool {
        let Some(endpoint) = self.endpoints.get(id) else {
            return false;
        };
        endpoint.is_active
            && (self.warm_fraction(endpoint) >= 1.0 || self.next_send(endpoint, kind) <= self.now)
    }

    fn next_send(&self, endpoint: &Endpoint, kind: SendKind) -> Micros {
        let turn = endpoint.send_turns.get(kind);
        turn.since + (self.send_interval(endpoint) * turn.intervals) as Micros
    }

    /// Returns the share of its whole capacity that an endpoint has by now at least. It grows
    /// linearly from the cold capacity to 1 during the warm-up, and is 1 if the start time is not
    /// known.
    pub(crate) fn warm_fraction(&self, endpoint: &Endpoint) -> f64 {
        let Some(started_at) = endpoint.spec.started_at.filter(|at| *at > 0) else {
            return 1.0;
        };
        let slow_start = &self.parameters.slow_start;
        let cold = slow_start.cold_capacity;
        let age = self.endpoints.start_clock.age(started_at, self.now) as f64;
        (cold + (1.0 - cold) * age / slow_start.warm_up).min(1.0)
    }

    /// Returns the interval in microseconds between this router's sends to an endpoint in slow
    /// start.
    fn send_interval(&self, endpoint: &Endpoint) -> f64 {
        let role = self.role_of(endpoint);
        let slow_start = &self.parameters.slow_start;
        let rate = slow_start.overload_multiple
            * self.warm_fraction(endpoint)
            * BUDGET_SHARE
            * self.completed_work.rate(role);
        let max_interval = slow_start.overload_window * self.parameters.router_count;
        (self.work_estimates.overall(role, 1.0) / rate).min(max_interval)
    }

    /// Recalculates how much of this router's work each warm endpoint of a role completes.
    pub(crate) fn update_completion_rate(&mut self, role: Role) {
        let is_warm = |endpoint: &&Endpoint| {
            endpoint.is_active
                && self.role_of(endpoint) == role
                && self.warm_fraction(endpoint) >= 1.0
        };
        let warm = self.endpoints.entries.values().filter(is_warm).count();
        self.completed_work
            .update_rate(role, warm.max(1) as f64, self.now);
    }
}
