//! The age of an endpoint's start.
//!
//! Starts are given on a clock that all machines share. The router's own clock may have been
//! stepped, by seconds or by an hour, before its process began. A start that the previous list did
//! not contain is recent, so the smallest age that such a start ever had bounds the difference
//! between the two clocks.

use crate::ids::Micros;

/// A start that was not known counts as recent if the list was received so shortly before (us):
/// watches are answered every two seconds or so.
const RECENT_LIST: Micros = 5_000_000;

/// What is known of the clock on which starts are given.
#[derive(Debug, Default)]
pub(crate) struct StartClock {
    /// How far the own clock is ahead of the other, as far as recent starts tell.
    ahead: Option<Micros>,
    /// When the list was received last, with or without changes.
    list_received_at: Option<Micros>,
}

impl StartClock {
    /// A list, or the message that there are no changes, has been received.
    pub(crate) fn list_received(&mut self, now: Micros) {
        self.list_received_at = Some(now);
    }

    /// A start has been received that was not known. It is recent if a list without it was received
    /// shortly before; else it may be old, and shows only that the own clock is behind where the
    /// start lies in the future.
    pub(crate) fn observe(&mut self, started_at: Micros, now: Micros) {
        let is_recent = self
            .list_received_at
            .is_some_and(|at| now <= at + RECENT_LIST);
        let age = now.saturating_sub(started_at);
        if is_recent || age < self.ahead.unwrap_or(0) {
            self.ahead = Some(self.ahead.map_or(age, |ahead| ahead.min(age)));
        }
    }

    /// How long ago a start was.
    pub(crate) fn age(&self, started_at: Micros, now: Micros) -> Micros {
        now.saturating_sub(started_at)
            .saturating_sub(self.ahead.unwrap_or(0))
            .max(0)
    }
}
