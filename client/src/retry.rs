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
        Retries { left: rules.saved, rules }
    }

    /// A call has succeeded.
    pub fn succeeded(&mut self) {
        self.left = (self.left + self.rules.share).min(self.rules.saved);
    }

    /// The pause after which to try again, or `None`: what came of the try is the end. `tries` counts those made,
    /// `left` is the time to the deadline, `chance` from 0 to 1 spreads the pauses of many clients.
    pub fn again(
        &mut self, tried: Tried, safety: Safety, tries: u32, left: Duration, chance: f64,
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
            Tried::Answered(_, Some(asked)) => asked + self.rules.pause.mul_f64(chance.clamp(0.0, 1.0)),
            _ => doubled.min(self.rules.pause_most).mul_f64(0.5 + chance.clamp(0.0, 1.0) / 2.0),
        };
        if pause >= left || self.left < 1.0 {
            return None;
        }
        self.left -= 1.0;
        Some(pause)
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    use super::*;

    const LONG: Duration = Duration::from_secs(60);

    fn again(tried: Tried, safety: Safety) -> Option<Duration> {
        Retries::new(Rules::default()).again(tried, safety, 1, LONG, 0.0)
    }

    #[test]
    fn what_may_have_run_is_repeated_only_if_that_is_safe() {
        for (tried, safe, other) in [
            (Tried::NotSent, true, true),
            (Tried::Lost, true, false),
            (Tried::Answered(503, None), true, true),
            (Tried::Answered(429, None), true, true),
            (Tried::Answered(502, None), true, false),
            (Tried::Answered(504, None), false, false),
            (Tried::Answered(400, None), false, false),
            (Tried::Answered(409, None), false, false),
            (Tried::Broken, false, false),
        ] {
            assert_eq!(again(tried, Safety::Safe).is_some(), safe, "{tried:?}");
            assert_eq!(again(tried, Safety::Unsafe).is_some(), other, "{tried:?}");
        }
    }

    #[test]
    fn the_services_pause_is_heeded_and_a_deadline_is_not_slept_over() {
        let asked = |pause| Tried::Answered(503, Some(pause));
        let (short, long) = (Duration::from_millis(700), Duration::from_secs(6));
        assert_eq!(again(asked(short), Safety::Unsafe), Some(short));
        assert_eq!(again(asked(long), Safety::Safe), None);
        let mut retries = Retries::new(Rules::default());
        assert_eq!(retries.again(asked(short), Safety::Safe, 1, short, 0.5), None);
        let chance = retries.again(asked(short), Safety::Safe, 1, LONG, 1.0).unwrap();
        assert!(chance > short);
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]
        #[test]
        fn repeats_stay_within_the_budget(steps in proptest::collection::vec(any::<bool>(), 0..400)) {
            let rules = Rules { share: 0.25, saved: 4.0, ..Rules::default() };
            let mut retries = Retries::new(rules);
            let (mut successes, mut repeats) = (0, 0);
            for success in steps {
                if success {
                    retries.succeeded();
                    successes += 1;
                } else if retries.again(Tried::NotSent, Safety::Safe, 1, LONG, 0.5).is_some() {
                    repeats += 1;
                }
                prop_assert!(f64::from(repeats) <= 4.0 + 0.25 * f64::from(successes));
            }
        }
    }
}
