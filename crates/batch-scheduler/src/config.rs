//! The configuration of the scheduler.

use crate::Micros;

/// What an operator sets.
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulerConfig {
    /// How long a slice may take.
    pub slice_target: Micros,
    /// The fewest tokens of a slice, except for the last one of its batch.
    pub min_slice_tokens: u64,
    /// The most tokens of a slice, except for a slice of a single item.
    pub max_slice_tokens: u64,
    /// The tokens that a flow gets in a round.
    pub quantum: u64,
    /// The most slices in flight.
    pub max_in_flight: usize,
    /// Retries as a share of the slices that succeeded.
    pub retry_ratio: f64,
    /// The most retries that may be saved.
    pub max_saved_retries: f64,
    /// The most attempts at one slice.
    pub max_attempts: u32,
    /// The most open batches.
    pub max_open_batches: usize,
    /// The longest retry delay that a rejection advises.
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
