//! The limits and tolerances that the rules use.

use std::time::Duration;

/// Tolerance for the delay between an event and its report to the oracle: all fake clients and
/// servers share one busy thread.
pub(super) const OBSERVATION_SLACK: Duration = Duration::from_millis(120);

/// The limits from the routers' settings that the rules use.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum duration in which a router may start new attempts at an endpoint after it was
    /// notified that the endpoint is draining.
    pub drain_grace: Duration,
    /// Maximum duration until KV state and decode slots are used or released.
    pub kv_lease_timeout: Duration,
    /// Expected number of attempts at an endpoint within the slow start window.
    pub slow_start_attempts: f64,
    /// Duration of the slow start of an endpoint.
    pub slow_start_window: Duration,
}
