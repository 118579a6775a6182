//! Arithmetic for the decisions: draws from a hash, and sums that fade. Decides nothing.

use crate::Micros;

/// A number above 0 and below 1, spread evenly over `x`.
pub fn uniform(x: u64) -> f64 {
    ((mix(x) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}

/// A number that hangs on each bit of `x`.
pub fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The span (us) that counts of one of `span` during which a sum faded over `over`: a rate is its part of that.
pub fn seen(span: Micros, over: Micros) -> f64 {
    over as f64 * (1.0 - left(span, over))
}

/// The part that is left after `span` of what fades over `over`, both in us.
fn left(span: Micros, over: Micros) -> f64 {
    (-(span as f64) / over as f64).exp()
}

/// A sum of which the earlier parts fade.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fading {
    sum: f64,
    at: Micros,
}

impl Fading {
    /// What it is at `now`, where it fades over `over` (us).
    pub fn at(&self, now: Micros, over: Micros) -> f64 {
        self.sum * left(now - self.at, over)
    }

    /// Adds to it at `now`, which only advances.
    pub fn add(&mut self, part: f64, now: Micros, over: Micros) {
        *self = Fading {
            sum: self.at(now, over) + part,
            at: now,
        };
    }
}
