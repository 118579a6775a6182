//! The table `batches` of the operator's file: how batches are scheduled.

use std::time::Duration;

use cranetack_batch_scheduler::{Micros, SchedulerConfig};
use serde::Deserialize;

use crate::frontend::inference::batch_queue::to_micros;

const MICROS_PER_MILLI: Micros = 1_000;

/// The table `batches`: how batches are scheduled.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BatchSetup {
    /// Target duration of a slice in milliseconds.
    pub slice_target_ms: u32,
    /// Minimum of the token limit of a slice, once a slice of its class has been served or has
    /// failed. A slice may hold fewer tokens: it ends before the first item that would exceed the
    /// limit.
    #[serde(rename = "least_tokens")]
    pub min_slice_tokens: u64,
    /// Maximum of the token limit of a slice, once a slice of its class has been served or has
    /// failed. A slice of a single item may be larger.
    #[serde(rename = "most_tokens")]
    pub max_slice_tokens: u64,
    /// Maximum number of slices in flight, over all batches.
    #[serde(rename = "at_once")]
    pub max_in_flight: usize,
    /// Tokens that each pair of class and tenant gets in a round of deficit round robin.
    #[serde(rename = "round_tokens")]
    pub quantum: u64,
    /// Number of retries of slices that each served slice adds to the retry budget.
    #[serde(rename = "repeat_share")]
    pub retry_ratio: f64,
    /// Maximum number of retries that the retry budget saves.
    #[serde(rename = "repeat_most")]
    pub max_saved_retries: f64,
    /// Maximum number of attempts at one slice.
    #[serde(rename = "tries")]
    pub max_attempts: u32,
    /// Maximum number of open batches.
    #[serde(rename = "open")]
    pub max_open_batches: usize,
}

impl Default for BatchSetup {
    fn default() -> Self {
        let config = SchedulerConfig::default();
        BatchSetup {
            slice_target_ms: u32::try_from(config.slice_target / MICROS_PER_MILLI)
                .unwrap_or(u32::MAX),
            min_slice_tokens: config.min_slice_tokens,
            max_slice_tokens: config.max_slice_tokens,
            max_in_flight: config.max_in_flight,
            quantum: config.quantum,
            retry_ratio: config.retry_ratio,
            max_saved_retries: config.max_saved_retries,
            max_attempts: config.max_attempts,
            max_open_batches: config.max_open_batches,
        }
    }
}

impl BatchSetup {
    /// Returns the configuration of the batch scheduler.
    pub fn scheduler_config(&self, max_retry_after: Duration) -> SchedulerConfig {
        SchedulerConfig {
            slice_target: i64::from(self.slice_target_ms) * MICROS_PER_MILLI,
            min_slice_tokens: self.min_slice_tokens,
            max_slice_tokens: self.max_slice_tokens,
            quantum: self.quantum,
            max_in_flight: self.max_in_flight,
            retry_ratio: self.retry_ratio,
            max_saved_retries: self.max_saved_retries,
            max_attempts: self.max_attempts,
            max_open_batches: self.max_open_batches,
            max_retry_after: to_micros(max_retry_after),
        }
    }

    /// Checks the values. An error is one line that names the key.
    pub(super) fn check(&self) -> Result<(), String> {
        for (key, value) in [
            ("slice_target_ms", u64::from(self.slice_target_ms)),
            ("least_tokens", self.min_slice_tokens),
            ("at_once", self.max_in_flight as u64),
            ("round_tokens", self.quantum),
            ("tries", u64::from(self.max_attempts)),
            ("open", self.max_open_batches as u64),
        ] {
            if value == 0 {
                return Err(format!("batches.{key}: must be above 0"));
            }
        }
        if self.max_slice_tokens < self.min_slice_tokens {
            return Err(format!(
                "batches.most_tokens: must be at least least_tokens, {}",
                self.min_slice_tokens
            ));
        }
        if !(0.0..=1.0).contains(&self.retry_ratio) {
            return Err("batches.repeat_share: must be from 0 to 1".to_owned());
        }
        if !(0.0..=1e6).contains(&self.max_saved_retries) {
            return Err("batches.repeat_most: must be from 0 to 1000000".to_owned());
        }
        Ok(())
    }
}
