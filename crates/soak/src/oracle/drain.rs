//! The rule that an endpoint that is draining or removed gets no new attempts.

use std::collections::HashMap;
use std::time::Duration;

use super::limits::Limits;
use super::violation::{Rule, Violation};

/// Tolerance for the delay of real sockets, added to the drain grace of the settings.
const DRAIN_GRACE_TOLERANCE: Duration = Duration::from_millis(50);

/// A pair of a router and an endpoint, by their indices.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct RouterEndpointPair {
    router: usize,
    endpoint: usize,
}

/// When each router was notified that an endpoint accepts no new work. There is no entry for an
/// endpoint that accepts work.
#[derive(Debug, Default)]
pub(super) struct DrainNotifications(HashMap<RouterEndpointPair, Duration>);

impl DrainNotifications {
    pub(super) fn notify(
        &mut self,
        router: usize,
        endpoint: usize,
        accepts_work: bool,
        at: Duration,
    ) {
        let pair = RouterEndpointPair { router, endpoint };
        if accepts_work {
            self.0.remove(&pair);
        } else {
            self.0.entry(pair).or_insert(at);
        }
    }

    pub(super) fn remove_router(&mut self, router: usize) {
        self.0.retain(|pair, _| pair.router != router);
    }

    /// Returns a violation if an attempt starts later than the drain grace after the router was
    /// notified.
    pub(super) fn check(
        &self,
        limits: &Limits,
        router: usize,
        endpoint: usize,
        at: Duration,
    ) -> Option<Violation> {
        let notified_at = *self.0.get(&RouterEndpointPair { router, endpoint })?;
        if at <= notified_at + limits.drain_grace + DRAIN_GRACE_TOLERANCE {
            return None;
        }
        let late_ms = (at - notified_at).as_millis();
        Some(Violation {
            rule: Rule::Drain,
            at,
            detail: format!(
                "router {router} started an attempt at endpoint {endpoint} {late_ms} ms after it was \
                 notified that the endpoint is draining or removed"
            ),
        })
    }
}
