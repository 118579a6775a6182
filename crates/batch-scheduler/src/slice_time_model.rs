//! How long a slice takes by its tokens: a line fitted to the slices that were served, of which
//! older ones weigh less.

use crate::Micros;

/// The factor by which each new sample lowers the weight of the older ones.
const SAMPLE_DECAY: f64 = 0.95;
/// The samples from which the model is used.
const MIN_SAMPLES: u32 = 6;
/// By how many mean deviations a slice is sized below its target, so that most slices meet it.
const DEVIATION_MARGIN: f64 = 2.0;
/// The weight of a new sample in the mean deviation.
const DEVIATION_GAIN: f64 = 0.1;
/// The most by which a slice may exceed the largest of the recent ones: the line is not known
/// beyond.
const MAX_GROWTH: f64 = 2.0;
/// The factors of the slice size after a failure and a success, and its least value.
const SIZE_DECREASE: f64 = 0.8;
const SIZE_INCREASE: f64 = 1.05;
const MIN_SIZE_FACTOR: f64 = 0.1;
/// The variance of the tokens, relative to their mean square, up to which all samples count as of
/// one size.
const MIN_RELATIVE_VARIANCE: f64 = 1e-6;

/// What the size of a slice has to keep to.
#[derive(Debug, Clone, Copy)]
pub struct SliceBounds {
    /// How long it may take.
    pub target: Micros,
    /// Its tokens while too little is known.
    pub initial_tokens: u64,
    /// Its fewest tokens.
    pub min_tokens: u64,
    /// Its most tokens.
    pub max_tokens: u64,
}

/// The time of a slice as a linear function of its tokens.
struct Line {
    fixed: f64,
    per_token: f64,
}

/// A weighted linear regression of time over tokens.
#[derive(Debug, Clone)]
pub struct SliceTimeModel {
    samples: u32,
    weight: f64,
    mean_tokens: f64,
    mean_time: f64,
    mean_tokens_squared: f64,
    mean_tokens_time: f64,
    /// The mean deviation from the line.
    deviation: f64,
    /// The largest of the recent slices.
    recent_max_tokens: f64,
    /// Decreases at failures: the slice may have been too large to be served in time.
    size_factor: f64,
}

impl Default for SliceTimeModel {
    fn default() -> SliceTimeModel {
        SliceTimeModel {
            samples: 0,
            weight: 0.0,
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
    /// A model without samples.
    pub fn new() -> SliceTimeModel {
        SliceTimeModel::default()
    }

    /// Notes that a slice of so many tokens was served in this time.
    pub fn record_success(&mut self, tokens: u64, time: Micros) {
        let tokens = tokens as f64;
        let time = time.max(0) as f64;
        if let Some(expected) = self.expected_time(tokens) {
            let error = (time - expected).abs();
            self.deviation += DEVIATION_GAIN * (error - self.deviation);
        }
        self.weight = self.weight * SAMPLE_DECAY + 1.0;
        let gain = 1.0 / self.weight;
        self.mean_tokens += gain * (tokens - self.mean_tokens);
        self.mean_time += gain * (time - self.mean_time);
        self.mean_tokens_squared += gain * (tokens * tokens - self.mean_tokens_squared);
        self.mean_tokens_time += gain * (tokens * time - self.mean_tokens_time);
        self.recent_max_tokens = tokens.max(self.recent_max_tokens * SAMPLE_DECAY);
        self.samples = self.samples.saturating_add(1);
        self.size_factor = (self.size_factor * SIZE_INCREASE).min(1.0);
    }

    /// Notes that a slice failed.
    pub fn record_failure(&mut self) {
        self.size_factor = (self.size_factor * SIZE_DECREASE).max(MIN_SIZE_FACTOR);
    }

    /// Whether there are enough samples for a prediction.
    pub fn has_enough_samples(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// The fitted line. Neither of its terms is below zero: time never falls as tokens grow.
    fn fit(&self) -> Option<Line> {
        if self.samples == 0 {
            return None;
        }
        let variance = self.mean_tokens_squared - self.mean_tokens * self.mean_tokens;
        let through_zero = self.mean_time / self.mean_tokens.max(1.0);
        // Samples of one size say nothing about the slope: all time is attributed to the tokens.
        if variance <= MIN_RELATIVE_VARIANCE * self.mean_tokens_squared.max(1.0) {
            return Some(Line {
                fixed: 0.0,
                per_token: through_zero,
            });
        }
        let slope = (self.mean_tokens_time - self.mean_tokens * self.mean_time) / variance;
        let slope = slope.clamp(0.0, through_zero);
        Some(Line {
            fixed: self.mean_time - slope * self.mean_tokens,
            per_token: slope,
        })
    }

    fn expected_time(&self, tokens: f64) -> Option<f64> {
        let line = self.fit()?;
        Some(line.fixed + line.per_token * tokens)
    }

    /// How long a slice of so many tokens takes; `None` while too little is known.
    pub fn predict(&self, tokens: u64) -> Option<Micros> {
        if !self.has_enough_samples() {
            return None;
        }
        let time = self.expected_time(tokens as f64)?;
        Some(time as Micros)
    }

    /// The most tokens of a slice that is expected to stay within its bounds.
    pub fn slice_tokens(&self, bounds: SliceBounds) -> u64 {
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
                tokens.min(self.recent_max_tokens * MAX_GROWTH)
            }
        };
        let max_tokens = bounds.max_tokens.max(bounds.min_tokens);
        ((tokens * self.size_factor) as u64).clamp(bounds.min_tokens, max_tokens)
    }
}

#[cfg(test)]
mod tests;
