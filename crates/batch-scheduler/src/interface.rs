//! What goes into the scheduler and what comes out of it.

use std::ops::Range;

use crate::{Flow, Micros};

/// Identifies an open batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BatchId(pub u64);

/// A batch that arrives.
#[derive(Debug, Clone, PartialEq)]
pub struct BatchSpec {
    /// The flow that it is scheduled in.
    pub flow: Flow,
    /// The tokens of each of its items.
    pub item_tokens: Vec<u32>,
    /// The tokens that are sent with every slice.
    pub shared_tokens: u64,
    /// The tokens of a slice while too little is known of its class.
    pub initial_slice_tokens: u64,
    /// When its client gives up.
    pub deadline: Micros,
    /// Whether a slice that may have been executed may be sent again.
    pub is_idempotent: bool,
}

/// A slice to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SliceDispatch {
    /// Its batch.
    pub batch: BatchId,
    /// The items.
    pub items: Range<usize>,
    /// Their tokens, and the shared ones.
    pub tokens: u64,
    /// How many dispatches of the batch came before it, retries included: unique within the batch.
    pub sequence: u32,
}

/// How a slice failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SliceFailure {
    /// It was rejected and not executed. The routing policy has already given it up, so its batch
    /// is rejected at once.
    Rejected {
        /// After which delay a retry is worthwhile.
        retry_after: Micros,
    },
    /// It was not sent for lack of memory in the router.
    OutOfMemory {
        /// After which delay there may be memory.
        retry_after: Micros,
    },
    /// It may have been executed, or its response cannot be used.
    Failed,
}

/// A batch is rejected: none of it was executed that must not be executed again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// After which delay a retry is worthwhile.
    pub retry_after: Micros,
}

/// How a batch ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchOutcome {
    /// All its slices have been served.
    Completed,
    /// It is rejected: it cannot meet its deadline, or there is no capacity.
    Rejected(Rejection),
    /// A slice failed and is not retried.
    Failed,
    /// Its deadline has passed.
    DeadlineExceeded,
}

/// The load of the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Open batches.
    pub open_batches: usize,
    /// Slices in flight.
    pub slices_in_flight: usize,
}
