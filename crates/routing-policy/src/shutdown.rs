//! Graceful shutdown: migrates streams and gives open requests their final response.

use crate::actions::Action;
use crate::ids::{Micros, RequestId};
use crate::policy::Policy;

/// The maximum number of streams that are migrated in one tick, as each needs another prefill at
/// its new router.
const MAX_MIGRATIONS_PER_TICK: usize = 4;

/// The state of a shutdown that has begun.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shutdown {
    /// The time from which clients that connect again reach another router.
    migrate_from: Micros,
    /// The time by which all requests must have their final response.
    respond_by: Micros,
    /// The number of times that peers will still be notified.
    announcements_left: u32,
}

impl Shutdown {
    pub(crate) fn new(migrate_from: Micros, respond_by: Micros, announcements: u32) -> Shutdown {
        Shutdown {
            migrate_from,
            respond_by,
            announcements_left: announcements,
        }
    }
}

impl Policy {
    /// Advances a shutdown of this router at a tick. If gossip is enabled and streams are
    /// resumable, notifies peers in the first `ANNOUNCEMENT_COUNT` ticks. Migrates up to
    /// [`MAX_MIGRATIONS_PER_TICK`] resumable streams in each tick from `migrate_from` on, the
    /// newest first, unless all peers that notify this router of their shutdown are shutting down
    /// too. From `respond_by` on, migrates all resumable streams at once and gives all requests
    /// without a stream their final response. Streams that are not resumable go on to their end.
    pub(crate) fn continue_shutdown(&mut self) {
        let Some(shutdown) = self.shutdown.as_mut() else {
            return;
        };
        // Peers use the announcement only to decide whether they migrate their own streams.
        let must_announce = self.parameters.gossip
            && self.parameters.resumable_streams
            && shutdown.announcements_left > 0;
        if must_announce {
            shutdown.announcements_left -= 1;
        }
        let shutdown = *shutdown;
        if must_announce {
            self.announce_shutdown();
        }
        let deadline_reached = self.now >= shutdown.respond_by;
        let peers_are_available = self.now >= shutdown.migrate_from && self.has_available_peer();
        let mut migrations_left = match (deadline_reached, peers_are_available) {
            (true, _) => usize::MAX,
            (false, true) => MAX_MIGRATIONS_PER_TICK,
            (false, false) => 0,
        };
        for id in self.open_requests_newest_first() {
            let request = &self.requests[&id];
            if request.state.is_streaming() {
                let resumable_streams = self.parameters.resumable_streams;
                if request.spec.is_resumable(resumable_streams) && migrations_left > 0 {
                    migrations_left -= 1;
                    self.actions.push(Action::Migrate(id));
                }
            } else if deadline_reached {
                self.cancel_waiting_attempt(id);
                self.reject_or_fail(id);
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
