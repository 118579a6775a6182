//! The core's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cranetack_routing_policy::Micros;
use tokio::time::Instant;

/// A clock in microseconds of Unix time, read once from the system and then advanced monotonically,
/// so that start times in the endpoint list can be compared and a step of the system's clock moves
/// no deadline.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    /// A clock that starts from the system's time.
    pub fn system() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix: micros(unix),
        }
    }

    /// The present point in time.
    pub fn now(&self) -> Micros {
        self.unix.saturating_add(micros(self.start.elapsed()))
    }

    /// The point in time of an instant; one that has passed is now.
    pub fn at(&self, instant: Instant) -> Micros {
        let ahead = instant.saturating_duration_since(Instant::now());
        self.now().saturating_add(micros(ahead))
    }

    /// The instant of a point in time; one that has passed is now.
    pub fn instant(&self, at: Micros) -> Instant {
        let ahead = u64::try_from(at.saturating_sub(self.now())).unwrap_or(0);
        Instant::now() + Duration::from_micros(ahead)
    }
}

/// A span in the policy's unit.
pub(super) fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}
