//! The limits that the rules use.

use std::time::Duration;

/// How far apart two observations of the same event may be reported, as all fake clients and
/// servers share one busy thread.
pub(super) const OBSERVATION_SLACK: Duration = Duration::from_millis(120);

/// The limits of the routers' settings that the rules use.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// New attempts must stop within this after a router was notified of a drain.
    pub drain_grace: Duration,
    /// KV state and decode slots must be used or released within this.
    pub kv_lease_timeout: Duration,
    /// Attempts that a server in slow start accepts within the window.
    pub slow_start_calls: f64,
    /// How long slow start lasts.
    pub slow_start_window: Duration,
}
