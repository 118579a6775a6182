//! The time since the start of an endpoint.
//!
//! The endpoint list gives start times on a clock that all machines share. The router's own clock
//! may have been stepped, by seconds or by an hour, before the router's process started. A start
//! that the previous endpoint list did not contain is recent. The smallest age of such a start is
//! therefore an upper bound on how far the router's clock is ahead of the shared clock, and serves
//! as the estimate.

use crate::ids::Micros;

/// Maximum age of the previous endpoint list at which a start that it did not contain counts as
/// recent. Watches of the endpoint list get a response about every two seconds.
const MAX_RECENT_LIST_AGE: Micros = 5_000_000;

/// An estimate of the difference between the router's clock and the clock of start times.
#[derive(Debug, Default)]
pub(crate) struct StartClock {
    /// How far the router's clock is ahead of the shared clock, as estimated from starts; negative
    /// if it is behind.
    router_clock_lead: Option<Micros>,
    /// When the endpoint list, or the message that it has no changes, was last received.
    list_received_at: Option<Micros>,
}

impl StartClock {
    /// Records that the endpoint list, or the message that it has no changes, has been received.
    pub(crate) fn list_received(&mut self, now: Micros) {
        self.list_received_at = Some(now);
    }

    /// Records a start that was not known before. It is recent if an endpoint list without it was
    /// received shortly before. Otherwise it may be old, and it changes the estimate only if it
    /// would be in the future by the present estimate: the router's clock is then further behind.
    pub(crate) fn observe(&mut self, started_at: Micros, now: Micros) {
        let is_recent = self
            .list_received_at
            .is_some_and(|at| now <= at + MAX_RECENT_LIST_AGE);
        let age = now.saturating_sub(started_at);
        if is_recent || age < self.router_clock_lead.unwrap_or(0) {
            self.router_clock_lead = Some(self.router_clock_lead.map_or(age, |lead| lead.min(age)));
        }
    }

    /// Returns how long ago a start was, and 0 for a start in the future.
    pub(crate) fn age(&self, started_at: Micros, now: Micros) -> Micros {
        now.saturating_sub(started_at)
            .saturating_sub(self.router_clock_lead.unwrap_or(0))
            .max(0)
    }
}
