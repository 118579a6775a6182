//! Whether the router is ready for new clients.

use tokio::sync::watch;

use crate::shutdown::Phase;

/// Whether load balancers should send clients here: the endpoint list has arrived, and the graceful
/// shutdown has not begun.
#[derive(Clone)]
pub struct Readiness {
    endpoints_known: watch::Receiver<bool>,
    phase: watch::Receiver<Phase>,
}

impl Readiness {
    /// Ready once `endpoints_known` is true, until `phase` changes.
    pub fn new(endpoints_known: watch::Receiver<bool>, phase: watch::Receiver<Phase>) -> Readiness {
        Readiness {
            endpoints_known,
            phase,
        }
    }

    /// Whether the router is ready now.
    pub fn is_ready(&self) -> bool {
        *self.endpoints_known.borrow() && *self.phase.borrow() == Phase::Serving
    }
}
