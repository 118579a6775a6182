//! The inputs and outputs of the scheduler.

use std::ops::Range;

use crate::{Flow, Micros};

/// Identifier of an open batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BatchId(pub u64);

/// A new batch, as the caller passes it to [`crate::BatchScheduler::open`].
#[derive(Debug, Clone, PartialEq)]
pub struct BatchSpec {
    /// Flow in which the batch is scheduled.
    pub flow: Flow,
    /// Number of tokens of each item of the batch.
    pub item_tokens: Vec<u32>,
    /// Number of tokens that are sent with every slice in addition to its items.
    pub shared_tokens: u64,
    /// Maximum number of tokens per slice while there are too few samples for the batch's class.
    pub initial_slice_tokens: u64,
    /// Instant at which the client stops waiting for the batch.
    pub deadline: Micros,
    /// Whether a slice that may have been executed may be retried.
    pub is_idempotent: bool,
}

/// A slice that the caller must send to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SliceDispatch {
    /// Batch that the slice belongs to.
    pub batch: BatchId,
    /// Indices of the slice's items within the batch.
    pub items: Range<usize>,
    /// Number of tokens of the slice: those of its items and the shared tokens.
    pub tokens: u64,
    /// Number of earlier dispatches of the batch, retries included. It is unique within the batch.
    pub sequence: u32,
}

/// Reason why a slice failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SliceFailure {
    /// The slice was rejected and not executed. The routing policy makes no further attempt at it,
    /// so the scheduler rejects the batch immediately.
    Rejected {
        /// Delay in microseconds after which a retry may succeed.
        retry_after: Micros,
    },
    /// The slice was not sent because the router had too little memory for it.
    OutOfMemory {
        /// Delay in microseconds after which enough memory may be available.
        retry_after: Micros,
    },
    /// The slice may have been executed, or its response cannot be used.
    Failed,
}

/// Rejection of a batch. The client can safely send the batch again: no item was executed that must
/// not be executed twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Delay in microseconds after which a retry may succeed.
    pub retry_after: Micros,
}

/// Outcome of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchOutcome {
    /// All slices of the batch were served.
    Completed,
    /// The batch was rejected because it cannot meet its deadline or because capacity is lacking.
    Rejected(Rejection),
    /// A slice failed and is not retried.
    Failed,
    /// The deadline passed before the batch was complete.
    DeadlineExceeded,
}

/// Current load of the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SchedulerLoad {
    /// Number of open batches.
    pub open_batches: usize,
    /// Number of slices in flight.
    pub slices_in_flight: usize,
}
