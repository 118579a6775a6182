//! Scheduling of batches. A batch is a request with many items; it is served in slices, each of
//! which contains consecutive items of the batch.
//!
//! The scheduler decides how large a slice is, which batch may send its next slice, whether a
//! failed slice is retried, and when a batch can no longer meet its deadline. It does no I/O: the
//! caller passes in the time and the results of slices, and takes dispatches and outcomes. The
//! scheduler does not choose the endpoint that serves a slice.
//!
//! [`BatchScheduler`] combines the other parts: [`SliceTimeModel`] estimates the duration of a
//! slice from its tokens, [`DeficitRoundRobin`] shares the capacity among flows,
//! [`ConcurrencyWindow`] limits the slices in flight, and [`RetryBudget`] limits the retries.

mod batch;
mod concurrency_window;
mod config;
mod deficit_round_robin;
mod interface;
mod retry_budget;
mod scheduler;
mod slice_time_model;

pub use concurrency_window::ConcurrencyWindow;
pub use config::SchedulerConfig;
pub use deficit_round_robin::{DeficitRoundRobin, Flow};
pub use interface::{
    BatchId, BatchOutcome, BatchSpec, Rejection, SchedulerLoad, SliceDispatch, SliceFailure,
};
pub use retry_budget::RetryBudget;
pub use scheduler::BatchScheduler;
pub use slice_time_model::{SliceBounds, SliceTimeModel};

/// An instant or a duration in microseconds of a monotonic clock.
pub type Micros = i64;
