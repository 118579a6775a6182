//! The timers that the policy has set.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cranetack_routing_policy::{Micros, TimerKey};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Micros,
    key: TimerKey,
}

/// The pending timers, ordered by their times and then by their keys.
#[derive(Debug, Default)]
pub(super) struct TimerQueue(BinaryHeap<Reverse<Timer>>);

impl TimerQueue {
    pub(super) fn push(&mut self, at: Micros, key: TimerKey) {
        self.0.push(Reverse(Timer { at, key }));
    }

    /// The time at which the next timer is due.
    pub(super) fn next(&self) -> Option<Micros> {
        self.0.peek().map(|Reverse(timer)| timer.at)
    }

    /// Removes the next timer and returns its key, if it is due.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<TimerKey> {
        if self.next()? > now {
            return None;
        }
        self.0.pop().map(|Reverse(timer)| timer.key)
    }

    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}
