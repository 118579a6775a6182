//! How batches are scheduled, in the operator's file.

use std::time::Duration;

use cranetack_batch_scheduler::{Micros, SchedulerConfig};
use serde::Deserialize;

use crate::frontend::inference::batch_queue::to_micros;

const MICROS_PER_MILLI: Micros = 1_000;

/// How batches are scheduled: the table `batches`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BatchSetup {
    /// How long a slice may take.
    pub slice_target_ms: u32,
    /// The fewest tokens of a slice.
    pub least_tokens: u64,
    /// The most tokens of a slice.
    pub most_tokens: u64,
    /// The most slices in flight, of all batches.
    pub at_once: usize,
    /// The tokens that each class and tenant gets in a round.
    pub round_tokens: u64,
    /// Retries of slices, as a share of the slices that were served.
    pub repeat_share: f64,
    /// The most retries that may be saved for later.
    pub repeat_most: f64,
    /// The most attempts at one slice.
    pub tries: u32,
    /// The most open batches.
    pub open: usize,
}

impl Default for BatchSetup {
    fn default() -> Self {
        let config = SchedulerConfig::default();
        BatchSetup {
            slice_target_ms: u32::try_from(config.slice_target / MICROS_PER_MILLI)
                .unwrap_or(u32::MAX),
            least_tokens: config.min_slice_tokens,
            most_tokens: config.max_slice_tokens,
            at_once: config.max_in_flight,
            round_tokens: config.quantum,
            repeat_share: config.retry_ratio,
            repeat_most: config.max_saved_retries,
            tries: config.max_attempts,
            open: config.max_open_batches,
        }
    }
}

impl BatchSetup {
    /// The scheduler's configuration.
    pub fn scheduler_config(&self, max_retry_after: Duration) -> SchedulerConfig {
        SchedulerConfig {
            slice_target: i64::from(self.slice_target_ms) * MICROS_PER_MILLI,
            min_slice_tokens: self.least_tokens,
            max_slice_tokens: self.most_tokens,
            quantum: self.round_tokens,
            max_in_flight: self.at_once,
            retry_ratio: self.repeat_share,
            max_saved_retries: self.repeat_most,
            max_attempts: self.tries,
            max_open_batches: self.open,
            max_retry_after: to_micros(max_retry_after),
        }
    }

    /// What is wrong with the values, in one line that names the key.
    pub(super) fn check(&self) -> Result<(), String> {
        for (key, value) in [
            ("slice_target_ms", u64::from(self.slice_target_ms)),
            ("least_tokens", self.least_tokens),
            ("at_once", self.at_once as u64),
            ("round_tokens", self.round_tokens),
            ("tries", u64::from(self.tries)),
            ("open", self.open as u64),
        ] {
            if value == 0 {
                return Err(format!("batches.{key}: must be above 0"));
            }
        }
        if self.most_tokens < self.least_tokens {
            return Err(format!(
                "batches.most_tokens: must be at least least_tokens, {}",
                self.least_tokens
            ));
        }
        if !(0.0..=1.0).contains(&self.repeat_share) {
            return Err("batches.repeat_share: must be from 0 to 1".to_owned());
        }
        if !(0.0..=1e6).contains(&self.repeat_most) {
            return Err("batches.repeat_most: must be from 0 to 1000000".to_owned());
        }
        Ok(())
    }
}
