//! The configuration of the scheduler.

use crate::Micros;

/// Settings of the scheduler, which the operator may change.
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulerConfig {
    /// Target duration of a slice in microseconds.
    pub slice_target: Micros,
    /// Minimum for the token limit of a slice; the last slice of a batch may be smaller.
    pub min_slice_tokens: u64,
    /// Maximum number of tokens of a slice; a slice of a single item may be larger.
    pub max_slice_tokens: u64,
    /// Number of tokens that a flow may send per round of the round robin.
    pub quantum: u64,
    /// Maximum number of slices in flight.
    pub max_in_flight: usize,
    /// Number of retries that each successful slice adds to the retry budget.
    pub retry_ratio: f64,
    /// Maximum number of unused retries in the retry budget.
    pub max_saved_retries: f64,
    /// Maximum number of attempts per slice, the first one included.
    pub max_attempts: u32,
    /// Maximum number of open batches.
    pub max_open_batches: usize,
    /// Maximum retry delay of a rejection, in microseconds.
    pub max_retry_after: Micros,
}

impl Default for SchedulerConfig {
    fn default() -> Self {
        SchedulerConfig {
            slice_target: 50_000,
            min_slice_tokens: 16,
            max_slice_tokens: 65_536,
            quantum: 1_024,
            max_in_flight: 8,
            retry_ratio: 0.2,
            max_saved_retries: 10.0,
            max_attempts: 4,
            max_open_batches: 4_096,
            max_retry_after: 10_000_000,
        }
    }
}
