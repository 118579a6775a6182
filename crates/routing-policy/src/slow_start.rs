//! Slow start: how much an endpoint may be sent after its start.
//!
//! An endpoint that has just started has a part of its capacity, and falls over when all routers
//! together send it more than a multiple of that. Each router therefore waits between its sends to
//! such an endpoint for a span that keeps the sum over all routers under the budget.

use crate::config::Role;
use crate::endpoints::Endpoint;
use crate::ids::{EndpointId, Micros};
use crate::policy::Policy;

/// The share of the budget of an endpoint in slow start that routers use, as their sends are
/// random.
const BUDGET_SHARE: f64 = 0.8;

/// Which sends take turns of their own at an endpoint in slow start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendKind {
    /// Any request.
    Any,
    /// Requests of sessions whose affinity target the endpoint is. They need not wait for a first
    /// turn: an endpoint draws as many as the part of its capacity that it has.
    Affinity,
}

/// The wait for the next send to an endpoint in slow start.
#[derive(Debug, Clone, Copy, Default)]
struct SendTurn {
    since: Micros,
    /// The part of a send interval that is waited for.
    fraction: f64,
}

/// The waits for the next sends of each kind.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SendTurns {
    any: SendTurn,
    affinity: SendTurn,
}

impl SendTurns {
    /// Right after the start the first wait is a random part of an interval, so that routers do not
    /// all send at once.
    pub(crate) fn after_start(now: Micros, first_turn: f64) -> SendTurns {
        SendTurns {
            any: SendTurn {
                since: now,
                fraction: first_turn,
            },
            affinity: SendTurn {
                since: now,
                fraction: 0.0,
            },
        }
    }

    /// After a send of such a part of the mean work.
    pub(crate) fn after_send(now: Micros, fraction: f64) -> SendTurns {
        let turn = SendTurn {
            since: now,
            fraction,
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
    /// Whether an endpoint takes requests, and this router's turn has come if it is in slow start.
    pub(crate) fn is_open(&self, id: EndpointId, kind: SendKind) -> bool {
        let Some(endpoint) = self.endpoints.get(id) else {
            return false;
        };
        endpoint.is_listed
            && (self.warm_fraction(endpoint) >= 1.0 || self.next_send(endpoint, kind) <= self.now)
    }

    fn next_send(&self, endpoint: &Endpoint, kind: SendKind) -> Micros {
        let turn = endpoint.send_turns.get(kind);
        turn.since + (self.send_interval(endpoint) * turn.fraction) as Micros
    }

    /// The part of its capacity that an endpoint has at least.
    pub(crate) fn warm_fraction(&self, endpoint: &Endpoint) -> f64 {
        let Some(started_at) = endpoint.spec.started_at.filter(|at| *at > 0) else {
            return 1.0;
        };
        let slow_start = &self.parameters.slow_start;
        let cold = slow_start.cold_capacity;
        let age = self.endpoints.start_clock.age(started_at, self.now) as f64;
        (cold + (1.0 - cold) * age / slow_start.warm_up).min(1.0)
    }

    /// The span between this router's sends to an endpoint in slow start (us).
    fn send_interval(&self, endpoint: &Endpoint) -> f64 {
        let role = self.role_of(endpoint);
        let slow_start = &self.parameters.slow_start;
        let rate = slow_start.overload_multiple
            * self.warm_fraction(endpoint)
            * BUDGET_SHARE
            * self.completed_work.rate(role);
        let longest = slow_start.overload_window * self.parameters.router_count;
        (self.work.overall(role, 1.0) / rate).min(longest)
    }

    /// Takes anew what each warm endpoint of a role completes of this router's work.
    pub(crate) fn update_completion_rate(&mut self, role: Role) {
        let is_warm = |endpoint: &&Endpoint| {
            endpoint.is_listed
                && self.role_of(endpoint) == role
                && self.warm_fraction(endpoint) >= 1.0
        };
        let warm = self.endpoints.entries.values().filter(is_warm).count();
        self.completed_work
            .update_rate(role, warm.max(1) as f64, self.now);
    }
}
