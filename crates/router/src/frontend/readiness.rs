//! The readiness of the router for new clients.

use tokio::sync::watch;

use crate::shutdown::Phase;

/// The condition for load balancers to send clients to this router: the first response of discovery
/// has arrived or has been waited for long enough, and the graceful shutdown has not begun.
#[derive(Clone)]
pub struct Readiness {
    discovery_done: watch::Receiver<bool>,
    phase: watch::Receiver<Phase>,
}

impl Readiness {
    /// Creates a readiness that holds from when `discovery_done` becomes true until `phase` is no
    /// longer [`Phase::Serving`].
    pub fn new(discovery_done: watch::Receiver<bool>, phase: watch::Receiver<Phase>) -> Readiness {
        Readiness {
            discovery_done,
            phase,
        }
    }

    /// Returns whether the router is ready now.
    pub fn is_ready(&self) -> bool {
        *self.discovery_done.borrow() && !self.phase.borrow().is_shutting_down()
    }
}
