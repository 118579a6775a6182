//! How long a slice takes by its tokens, learnt from slices that were served: a line through the measured points,
//! of which the older ones count less and less.

use crate::Micros;

/// What is left of an older point's weight when a new one comes.
const KEEP: f64 = 0.95;
/// Points after which the line is believed.
const ENOUGH: u32 = 6;
/// By how many mean deviations a slice is sized below its target, so that most stay under it.
const MARGIN: f64 = 2.0;
/// A slice is at most so many times as large as the largest of late: the line is not known beyond.
const STEP: f64 = 2.0;

/// A weighted line of time by tokens.
#[derive(Debug, Clone)]
pub struct Pace {
    points: u32,
    weight: f64,
    tokens: f64,
    time: f64,
    tokens2: f64,
    cross: f64,
    /// Mean deviation from the line.
    deviation: f64,
    /// The largest slice of late.
    reach: f64,
    /// Shrinks at failures, for a slice may have been too large to be served in time.
    caution: f64,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            points: 0,
            weight: 0.0,
            tokens: 0.0,
            time: 0.0,
            tokens2: 0.0,
            cross: 0.0,
            deviation: 0.0,
            reach: 0.0,
            caution: 1.0,
        }
    }
}

impl Pace {
    /// Nothing is known.
    pub fn new() -> Pace {
        Pace::default()
    }

    /// A slice of so many tokens was served in this time.
    pub fn served(&mut self, tokens: u64, time: Micros) {
        let (tokens, time) = (tokens as f64, time.max(0) as f64);
        if let Some(expected) = self.expected(tokens) {
            let off = (time - expected).abs();
            self.deviation += 0.1 * (off - self.deviation);
        }
        self.weight = self.weight * KEEP + 1.0;
        let blend = 1.0 / self.weight;
        self.tokens += blend * (tokens - self.tokens);
        self.time += blend * (time - self.time);
        self.tokens2 += blend * (tokens * tokens - self.tokens2);
        self.cross += blend * (tokens * time - self.cross);
        self.reach = tokens.max(self.reach * KEEP);
        self.points = self.points.saturating_add(1);
        self.caution = (self.caution * 1.05).min(1.0);
    }

    /// A slice failed, or was too late.
    pub fn failed(&mut self) {
        self.caution = (self.caution * 0.8).max(0.1);
    }

    /// Whether enough is known to forecast.
    pub fn is_known(&self) -> bool {
        self.points >= ENOUGH
    }

    /// Fixed time and time by token. Neither is below zero: time never falls as tokens grow.
    fn line(&self) -> Option<(f64, f64)> {
        if self.points == 0 {
            return None;
        }
        let spread = self.tokens2 - self.tokens * self.tokens;
        let through_zero = self.time / self.tokens.max(1.0);
        // Points of one size say nothing about the slope: then all time is taken to be the tokens'.
        if spread <= 1e-6 * self.tokens2.max(1.0) {
            return Some((0.0, through_zero));
        }
        let slope = (self.cross - self.tokens * self.time) / spread;
        let slope = slope.clamp(0.0, through_zero);
        Some((self.time - slope * self.tokens, slope))
    }

    fn expected(&self, tokens: f64) -> Option<f64> {
        self.line().map(|(fixed, slope)| fixed + slope * tokens)
    }

    /// How long a slice of so many tokens takes; `None` while too little is known.
    pub fn forecast(&self, tokens: u64) -> Option<Micros> {
        self.expected(tokens as f64)
            .filter(|_| self.is_known())
            .map(|time| time as Micros)
    }

    /// Tokens of a slice that stays under `target`, within these bounds; `first` while too little is known.
    pub fn slice(&self, target: Micros, first: u64, least: u64, most: u64) -> u64 {
        let size = match self.line().filter(|_| self.is_known()) {
            None => first as f64,
            Some((fixed, slope)) => {
                let room = target as f64 - fixed - MARGIN * self.deviation;
                let size = if slope > 0.0 { room / slope } else { f64::MAX };
                size.min(self.reach * STEP)
            }
        };
        ((size * self.caution) as u64).clamp(least, most.max(least))
    }
}

#[cfg(test)]
mod tests;
