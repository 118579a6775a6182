//! A model of the duration of a slice as a function of its tokens: a line that is fitted to the
//! served slices, with less weight for older ones.

use crate::Micros;

/// Factor by which each new sample multiplies the weight of the older ones.
const SAMPLE_DECAY: f64 = 0.95;
/// Number of samples that the model needs before it is used.
const MIN_SAMPLES: u32 = 6;
/// Safety margin below the target duration, in mean deviations, so that most slices meet the
/// target.
const DEVIATION_MARGIN: f64 = 2.0;
/// Weight of a new sample in the mean deviation.
const DEVIATION_GAIN: f64 = 0.1;
/// Maximum size of a slice relative to the largest recent one. The line may be wrong far beyond the
/// sampled sizes.
const MAX_GROWTH_FACTOR: f64 = 2.0;
/// Factor by which a failure multiplies the size factor.
const SIZE_DECREASE_FACTOR: f64 = 0.8;
/// Factor by which a success multiplies the size factor, up to 1.
const SIZE_INCREASE_FACTOR: f64 = 1.05;
/// Minimum of the size factor.
const MIN_SIZE_FACTOR: f64 = 0.1;
/// Variance of the tokens relative to their mean square, up to which all samples are treated as
/// having the same size.
const MIN_RELATIVE_VARIANCE: f64 = 1e-6;

/// Bounds of the size of a slice.
#[derive(Debug, Clone, Copy)]
pub struct SliceBounds {
    /// Target duration in microseconds.
    pub target: Micros,
    /// Maximum number of tokens while there are too few samples.
    pub initial_tokens: u64,
    /// Minimum of the token limit. It takes precedence over the other bounds.
    pub min_tokens: u64,
    /// Maximum of the token limit.
    pub max_tokens: u64,
}

/// Duration of a slice in microseconds as a linear function of its tokens.
struct Line {
    fixed: f64,
    per_token: f64,
}

/// A weighted linear regression of the duration of slices over their tokens.
#[derive(Debug, Clone)]
pub struct SliceTimeModel {
    samples: u32,
    total_weight: f64,
    mean_tokens: f64,
    mean_time: f64,
    mean_tokens_squared: f64,
    mean_tokens_time: f64,
    /// Weighted mean of the absolute deviations from the line, in microseconds.
    deviation: f64,
    /// Largest number of tokens of the recent slices; earlier maxima decay.
    recent_max_tokens: f64,
    /// Factor of the token limit. It decreases after failures, because the slice may have been too
    /// large to be served in time.
    size_factor: f64,
}

impl Default for SliceTimeModel {
    fn default() -> SliceTimeModel {
        SliceTimeModel {
            samples: 0,
            total_weight: 0.0,
            mean_tokens: 0.0,
            mean_time: 0.0,
            mean_tokens_squared: 0.0,
            mean_tokens_time: 0.0,
            deviation: 0.0,
            recent_max_tokens: 0.0,
            size_factor: 1.0,
        }
    }
}

impl SliceTimeModel {
    /// Creates a model without samples.
    pub fn new() -> SliceTimeModel {
        SliceTimeModel::default()
    }

    /// Records that a slice with this number of tokens was served in `time`.
    pub fn record_success(&mut self, tokens: u64, time: Micros) {
        let tokens = tokens as f64;
        let time = time.max(0) as f64;
        if let Some(expected) = self.expected_time(tokens) {
            let error = (time - expected).abs();
            self.deviation += DEVIATION_GAIN * (error - self.deviation);
        }
        self.total_weight = self.total_weight * SAMPLE_DECAY + 1.0;
        let gain = 1.0 / self.total_weight;
        self.mean_tokens += gain * (tokens - self.mean_tokens);
        self.mean_time += gain * (time - self.mean_time);
        self.mean_tokens_squared += gain * (tokens * tokens - self.mean_tokens_squared);
        self.mean_tokens_time += gain * (tokens * time - self.mean_tokens_time);
        self.recent_max_tokens = tokens.max(self.recent_max_tokens * SAMPLE_DECAY);
        self.samples = self.samples.saturating_add(1);
        self.size_factor = (self.size_factor * SIZE_INCREASE_FACTOR).min(1.0);
    }

    /// Records that a slice failed.
    pub fn record_failure(&mut self) {
        self.size_factor = (self.size_factor * SIZE_DECREASE_FACTOR).max(MIN_SIZE_FACTOR);
    }

    /// Returns whether there are enough samples for a prediction.
    pub fn has_enough_samples(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Returns the fitted line, or `None` without samples. Neither of its terms is negative, so
    /// that the duration never falls as tokens increase.
    fn fit(&self) -> Option<Line> {
        if self.samples == 0 {
            return None;
        }
        let variance = self.mean_tokens_squared - self.mean_tokens * self.mean_tokens;
        let slope_through_origin = self.mean_time / self.mean_tokens.max(1.0);
        // Samples of a single size do not determine the slope, so the whole duration is attributed
        // to the tokens.
        if variance <= MIN_RELATIVE_VARIANCE * self.mean_tokens_squared.max(1.0) {
            return Some(Line {
                fixed: 0.0,
                per_token: slope_through_origin,
            });
        }
        let slope = (self.mean_tokens_time - self.mean_tokens * self.mean_time) / variance;
        let slope = slope.clamp(0.0, slope_through_origin);
        Some(Line {
            fixed: self.mean_time - slope * self.mean_tokens,
            per_token: slope,
        })
    }

    fn expected_time(&self, tokens: f64) -> Option<f64> {
        let line = self.fit()?;
        Some(line.fixed + line.per_token * tokens)
    }

    /// Predicts the duration of a slice with this number of tokens. Returns `None` while there are
    /// too few samples.
    pub fn predict(&self, tokens: u64) -> Option<Micros> {
        if !self.has_enough_samples() {
            return None;
        }
        let time = self.expected_time(tokens as f64)?;
        Some(time as Micros)
    }

    /// Returns the maximum number of tokens with which a slice is expected to stay within `bounds`.
    pub fn token_limit(&self, bounds: SliceBounds) -> u64 {
        let line = self.fit().filter(|_| self.has_enough_samples());
        let tokens = match line {
            None => bounds.initial_tokens as f64,
            Some(Line { fixed, per_token }) => {
                let available = bounds.target as f64 - fixed - DEVIATION_MARGIN * self.deviation;
                let tokens = if per_token > 0.0 {
                    available / per_token
                } else {
                    f64::MAX
                };
                tokens.min(self.recent_max_tokens * MAX_GROWTH_FACTOR)
            }
        };
        let max_tokens = bounds.max_tokens.max(bounds.min_tokens);
        ((tokens * self.size_factor) as u64).clamp(bounds.min_tokens, max_tokens)
    }
}

#[cfg(test)]
mod tests;
