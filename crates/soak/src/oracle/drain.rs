//! The rule that a server which is draining or removed gets no new attempts.

use std::collections::HashMap;
use std::time::Duration;

use super::limits::Limits;
use super::violation::{Rule, Violation};

/// Each limit of the settings is this much longer on real sockets.
const SOCKET_DELAY: Duration = Duration::from_millis(50);

/// Identifies what one router knows of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct RouterView {
    router: usize,
    server: usize,
}

/// When each router was notified that a server accepts no new work. Holds nothing for a server
/// that accepts work.
#[derive(Debug, Default)]
pub(super) struct DrainNotifications(HashMap<RouterView, Duration>);

impl DrainNotifications {
    pub(super) fn notify(
        &mut self,
        router: usize,
        server: usize,
        accepts_work: bool,
        at: Duration,
    ) {
        let view = RouterView { router, server };
        if accepts_work {
            self.0.remove(&view);
        } else {
            self.0.entry(view).or_insert(at);
        }
    }

    pub(super) fn forget_router(&mut self, router: usize) {
        self.0.retain(|view, _| view.router != router);
    }

    /// The attempt must start within the grace period after the notification.
    pub(super) fn check(
        &self,
        limits: &Limits,
        router: usize,
        server: usize,
        at: Duration,
    ) -> Option<Violation> {
        let notified_at = *self.0.get(&RouterView { router, server })?;
        if at <= notified_at + limits.drain_grace + SOCKET_DELAY {
            return None;
        }
        let late_ms = (at - notified_at).as_millis();
        Some(Violation {
            rule: Rule::Drain,
            at,
            detail: format!(
                "router {router} started an attempt at server {server} {late_ms} ms after it was \
                 notified of its drain"
            ),
        })
    }
}
