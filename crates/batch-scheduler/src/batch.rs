//! The state of one open batch.

use std::ops::Range;

use crate::{BatchSpec, Flow, Micros};

/// A slice that has been dispatched and neither served nor failed.
#[derive(Debug)]
pub(crate) struct SliceInFlight {
    pub(crate) items: Range<usize>,
    pub(crate) tokens: u64,
    pub(crate) sent_at: Micros,
    /// Number of attempts at the slice, this one included.
    pub(crate) attempts: u32,
}

/// State of an open batch.
#[derive(Debug)]
pub(crate) enum BatchState {
    /// The batch waits for its turn in the round robin.
    Ready,
    /// The batch waits for the result of its slice in flight.
    InFlight(SliceInFlight),
    /// The batch becomes ready again at `until`.
    Delayed { until: Micros },
    /// The outcome is decided and the batch has not been closed.
    Ended,
}

/// A failed slice that has to be sent again.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SliceRetry {
    /// Index after the slice's last item. The slice begins with the first item that has not been
    /// served.
    pub(crate) end: usize,
    /// Number of attempts at the slice so far.
    pub(crate) attempts: u32,
}

/// An open batch.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) flow: Flow,
    pub(crate) item_tokens: Vec<u32>,
    pub(crate) shared_tokens: u64,
    pub(crate) initial_slice_tokens: u64,
    pub(crate) opened_at: Micros,
    pub(crate) deadline: Micros,
    pub(crate) is_idempotent: bool,
    /// Number of served items; items are served in order.
    pub(crate) served_items: usize,
    pub(crate) served_tokens: u64,
    pub(crate) remaining_tokens: u64,
    pub(crate) served_slices: u32,
    /// Number of dispatched slices, retries included.
    pub(crate) dispatches: u32,
    pub(crate) retry: Option<SliceRetry>,
    pub(crate) state: BatchState,
}

/// The slice that a batch would send next.
pub(crate) struct SliceCandidate {
    pub(crate) items: Range<usize>,
    /// Number of tokens of the slice: those of its items and the shared tokens.
    pub(crate) tokens: u64,
}

impl Batch {
    pub(crate) fn new(spec: BatchSpec, opened_at: Micros) -> Batch {
        let remaining_tokens = token_sum(&spec.item_tokens);
        Batch {
            flow: spec.flow,
            item_tokens: spec.item_tokens,
            shared_tokens: spec.shared_tokens,
            initial_slice_tokens: spec.initial_slice_tokens,
            opened_at,
            deadline: spec.deadline,
            is_idempotent: spec.is_idempotent,
            served_items: 0,
            served_tokens: 0,
            remaining_tokens,
            served_slices: 0,
            dispatches: 0,
            retry: None,
            state: BatchState::Ready,
        }
    }

    /// Returns the next slice, which begins with the first item that has not been served. It has at
    /// most `max_tokens` tokens unless its only item and the shared tokens exceed that. A retried
    /// slice may contain fewer items than the failed one, but never items beyond it.
    pub(crate) fn next_slice(&self, max_tokens: u64) -> SliceCandidate {
        let start = self.served_items;
        let limit = match self.retry {
            Some(retry) => retry.end,
            None => self.item_tokens.len(),
        };
        let mut tokens = self.shared_tokens;
        let mut end = start;
        while end < limit {
            let item = u64::from(self.item_tokens[end]);
            if end > start && tokens + item > max_tokens {
                break;
            }
            tokens += item;
            end += 1;
        }
        SliceCandidate {
            items: start..end,
            tokens,
        }
    }

    /// Records that these items were served.
    pub(crate) fn record_served(&mut self, items: &Range<usize>) {
        let tokens = token_sum(&self.item_tokens[items.clone()]);
        self.served_items = items.end;
        self.served_tokens += tokens;
        self.remaining_tokens -= tokens;
        self.served_slices += 1;
        self.retry = self.retry.filter(|retry| retry.end > items.end);
    }

    /// Records a failed slice, which is sent again unless the batch ends.
    pub(crate) fn record_failed(&mut self, slice: &SliceInFlight) {
        let end = match self.retry {
            Some(retry) => retry.end.min(slice.items.end),
            None => slice.items.end,
        };
        self.retry = Some(SliceRetry {
            end,
            attempts: slice.attempts,
        });
    }

    /// Returns whether all items have been served.
    pub(crate) fn is_complete(&self) -> bool {
        self.served_items == self.item_tokens.len()
    }

    /// Returns whether the client must not send the batch again, because it is not idempotent and
    /// some of its items have been served.
    pub(crate) fn is_unsafe_to_retry(&self) -> bool {
        !self.is_idempotent && self.served_items > 0
    }

    pub(crate) fn has_ended(&self) -> bool {
        matches!(self.state, BatchState::Ended)
    }
}

pub(crate) fn token_sum(item_tokens: &[u32]) -> u64 {
    item_tokens.iter().map(|tokens| u64::from(*tokens)).sum()
}
