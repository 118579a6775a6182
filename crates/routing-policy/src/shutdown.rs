//! Graceful shutdown: what becomes of open requests when this router is about to end.

use crate::actions::Action;
use crate::ids::{Micros, RequestId};
use crate::policy::Policy;

/// Streams that are migrated at one tick: each is prefilled anew elsewhere.
const MIGRATIONS_AT_ONCE: usize = 4;

/// A shutdown that has begun.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shutdown {
    /// From then on clients that ask again reach another router.
    migrate_from: Micros,
    /// All requests must have their final response by then.
    answer_by: Micros,
    /// How often the other routers are still to be notified.
    announcements_left: u32,
}

impl Shutdown {
    pub(crate) fn new(migrate_from: Micros, answer_by: Micros, announcements: u32) -> Shutdown {
        Shutdown {
            migrate_from,
            answer_by,
            announcements_left: announcements,
        }
    }
}

impl Policy {
    /// While this router shuts down: announces it to others and migrates streams, the newest first,
    /// unless all routers that would have notified this one are shutting down themselves. At the
    /// end all streams are migrated, and what has no response gets its final one.
    pub(crate) fn continue_shutdown(&mut self) {
        let Some(shutdown) = self.shutdown.as_mut() else {
            return;
        };
        let must_announce = self.parameters.gossip && shutdown.announcements_left > 0;
        if must_announce {
            shutdown.announcements_left -= 1;
        }
        let shutdown = *shutdown;
        if must_announce {
            self.announce_shutdown();
        }
        let is_over = self.now >= shutdown.answer_by;
        let others_serve = self.now >= shutdown.migrate_from && self.some_peer_serves();
        let may_migrate = self.parameters.resumable_streams && (is_over || others_serve);
        let mut migrations_left = match (is_over, may_migrate) {
            (true, _) => usize::MAX,
            (false, true) => MIGRATIONS_AT_ONCE,
            (false, false) => 0,
        };
        for id in self.open_requests_newest_first() {
            let is_streaming = self.requests[&id].state.is_streaming();
            if is_streaming {
                if may_migrate && migrations_left > 0 {
                    self.actions.push(Action::Migrate(id));
                }
                migrations_left = migrations_left.saturating_sub(1);
            } else if is_over {
                self.cancel_waiting_attempt(id);
                self.give_up(id);
            }
        }
    }

    fn open_requests_newest_first(&self) -> Vec<RequestId> {
        let open = self
            .requests
            .iter()
            .filter(|(_, request)| !request.is_closed);
        open.rev().map(|(id, _)| *id).collect()
    }
}
