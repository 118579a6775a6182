//! Whether a call is tried again, and when. No I/O: what came of a try goes in, what to do comes out.

use std::time::Duration;

/// Whether a request may run twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Safety {
    /// It may: reading, embedding and scoring change nothing.
    #[default]
    Safe,
    /// It must not: an order, say.
    Unsafe,
}

/// What came of a try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tried {
    /// No connection came up, or it ended before the last byte was written: it has not run.
    NotSent,
    /// The connection ended after the last byte was written and before an answer: it may have run.
    Lost,
    /// Answered with this status, and the pause that the service asks for.
    Answered(u16, Option<Duration>),
    /// The answer broke off after it had begun. Part of it has been seen.
    Broken,
}

/// How calls are tried again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// Tries of one call.
    pub tries: u32,
    /// The first pause where the service asks for none; it doubles with each try.
    pub pause: Duration,
    /// The longest pause, the service's too: one that asks for more is not asked again.
    pub pause_most: Duration,
    /// Repeats for each success, of all calls together ...
    pub share: f64,
    /// ... and how many may be saved.
    pub saved: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            tries: 3,
            pause: Duration::from_millis(50),
            pause_most: Duration::from_secs(5),
            share: 0.1,
            saved: 10.0,
        }
    }
}

/// Repeats that all calls share.
#[derive(Debug, Clone)]
pub struct Retries {
    rules: Rules,
    left: f64,
}

impl Retries {
    /// A budget that starts full.
    pub fn new(rules: Rules) -> Retries {
        Retries {
            left: rules.saved,
            rules,
        }
    }

    /// A call has succeeded.
    pub fn succeeded(&mut self) {
        self.left = (self.left + self.rules.share).min(self.rules.saved);
    }

    /// The pause after which to try again, or `None`: what came of the try is the end. `tries` counts those made,
    /// `left` is the time to the deadline, `chance` from 0 to 1 spreads the pauses of many clients.
    pub fn again(
        &mut self,
        tried: Tried,
        safety: Safety,
        tries: u32,
        left: Duration,
        chance: f64,
    ) -> Option<Duration> {
        let harmless = match tried {
            Tried::NotSent => true,
            // Refused: the service says that trying again is harmless, for this class.
            Tried::Answered(429 | 503, _) => true,
            Tried::Answered(408, _) => true,
            Tried::Lost | Tried::Answered(502, _) => safety == Safety::Safe,
            // What was seen of a broken answer may have been used; and all else is the caller's to mend.
            Tried::Broken | Tried::Answered(..) => false,
        };
        if !harmless || tries >= self.rules.tries {
            return None;
        }
        let doubled = self.rules.pause * 2_u32.saturating_pow(tries.saturating_sub(1).min(16));
        let pause = match tried {
            // Not before the service asks for; the spread comes on top.
            Tried::Answered(_, Some(asked)) if asked > self.rules.pause_most => return None,
            Tried::Answered(_, Some(asked)) => {
                asked + self.rules.pause.mul_f64(chance.clamp(0.0, 1.0))
            }
            _ => doubled
                .min(self.rules.pause_most)
                .mul_f64(0.5 + chance.clamp(0.0, 1.0) / 2.0),
        };
        if pause >= left || self.left < 1.0 {
            return None;
        }
        self.left -= 1.0;
        Some(pause)
    }
}

#[cfg(test)]
mod tests;
