//! Scheduling of batches: requests that carry many items and are served slice by slice.
//!
//! The scheduler decides how large a slice is, which batch sends next, whether a failed slice is
//! retried, and when a batch can no longer meet its deadline. It does no I/O: time is passed in,
//! and dispatches and outcomes come out. Which endpoint serves a slice is not decided here.
//!
//! [`BatchScheduler`] puts the parts together: [`SliceTimeModel`] learns how long slices take by
//! their tokens, [`DeficitRoundRobin`] shares the capacity among flows, [`ConcurrencyWindow`]
//! bounds the slices in flight, and [`RetryBudget`] bounds the retries.

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
    BatchId, BatchOutcome, BatchSpec, Load, Rejection, SliceDispatch, SliceFailure,
};
pub use retry_budget::RetryBudget;
pub use scheduler::BatchScheduler;
pub use slice_time_model::{SliceBounds, SliceTimeModel};

/// A point in time or a duration, in microseconds of a monotonic clock.
pub type Micros = i64;
