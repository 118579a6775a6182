//! The core's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cranetack_routing_policy::Micros;
use tokio::time::Instant;

/// A clock in microseconds of Unix time. It reads the system's clock once and then advances
/// monotonically: its times can be compared with the start times in the endpoint list, and a step
/// of the system's clock moves no deadline.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_unix: Micros,
}

impl Clock {
    /// Creates a clock that starts at the system's time.
    pub fn system() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            start_unix: micros(unix),
        }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.start_unix.saturating_add(micros(self.start.elapsed()))
    }

    /// Converts an instant into a time of this clock. An instant in the past gives the current
    /// time.
    pub fn time_of(&self, instant: Instant) -> Micros {
        let remaining = instant.saturating_duration_since(Instant::now());
        self.now().saturating_add(micros(remaining))
    }

    /// Converts a time of this clock into an instant. A time in the past gives the current instant.
    pub fn instant_of(&self, time: Micros) -> Instant {
        let remaining = u64::try_from(time.saturating_sub(self.now())).unwrap_or(0);
        Instant::now() + Duration::from_micros(remaining)
    }
}

/// Converts a duration into microseconds, the policy's unit.
pub(super) fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}
