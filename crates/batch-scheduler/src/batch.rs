//! The state of one open batch.

use std::ops::Range;

use crate::{BatchSpec, Flow, Micros};

/// A slice that has been dispatched and has not ended.
#[derive(Debug)]
pub(crate) struct SliceInFlight {
    pub(crate) items: Range<usize>,
    pub(crate) tokens: u64,
    pub(crate) sent_at: Micros,
    /// Attempts at it, this one included.
    pub(crate) attempts: u32,
}

/// What a batch waits for.
#[derive(Debug)]
pub(crate) enum BatchState {
    /// Its turn in the round robin.
    Ready,
    /// The end of its slice in flight.
    InFlight(SliceInFlight),
    /// The end of a delay before it is ready again.
    Delayed { until: Micros },
    /// To be closed: its outcome is decided.
    Ended,
}

/// A failed slice that is to be sent again.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SliceRetry {
    /// The end of its items. It begins with the first item that has not been served.
    pub(crate) end: usize,
    /// Attempts at it so far.
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
    /// Items before this one have been served.
    pub(crate) served_items: usize,
    pub(crate) served_tokens: u64,
    pub(crate) remaining_tokens: u64,
    pub(crate) served_slices: u32,
    /// How many slices have been dispatched, retries included.
    pub(crate) dispatches: u32,
    pub(crate) retry: Option<SliceRetry>,
    pub(crate) state: BatchState,
}

/// A slice that a batch could send.
pub(crate) struct SliceCandidate {
    pub(crate) items: Range<usize>,
    /// The tokens of its items, and the shared ones.
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

    /// The next slice of at most `max_tokens`, or of one item: it begins with the first item that
    /// has not been served. A failed slice is sent again as it was, or shorter, never with other
    /// items.
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

    /// Notes that these items have been served.
    pub(crate) fn record_served(&mut self, items: &Range<usize>) {
        let tokens = token_sum(&self.item_tokens[items.clone()]);
        self.served_items = items.end;
        self.served_tokens += tokens;
        self.remaining_tokens -= tokens;
        self.served_slices += 1;
        self.retry = self.retry.filter(|retry| retry.end > items.end);
    }

    /// Notes that a slice failed, which is sent again if the batch goes on.
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

    /// Whether all items have been served.
    pub(crate) fn is_complete(&self) -> bool {
        self.served_items == self.item_tokens.len()
    }

    /// Whether some of it was executed that must not be executed again.
    pub(crate) fn has_lasting_effects(&self) -> bool {
        !self.is_idempotent && self.served_items > 0
    }

    pub(crate) fn has_ended(&self) -> bool {
        matches!(self.state, BatchState::Ended)
    }
}

pub(crate) fn token_sum(item_tokens: &[u32]) -> u64 {
    item_tokens.iter().map(|tokens| u64::from(*tokens)).sum()
}
