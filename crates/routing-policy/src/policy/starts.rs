//! The age of a server's start. Starts are told on a clock that all machines share; the dispatcher's own may have been
//! stepped, by seconds or by an hour, before its process began. News of a start that the list before did not have is
//! recent by itself, so the smallest age that such news ever had bounds by how much the two clocks differ.

use crate::Micros;

/// News count as such if the list was heard so shortly before (us): watches are answered every two seconds or so.
const CONFIRMED_WITHIN: Micros = 5_000_000;

/// What is known of the clock on which starts are told.
#[derive(Debug, Default)]
pub struct StartClock {
    /// How far the own clock is ahead of the other, as far as news of starts tell.
    ahead: Option<Micros>,
    /// When the list was heard last, with or without news.
    confirmed: Option<Micros>,
}

impl StartClock {
    /// A list, or the word that there are no changes, has been heard.
    pub fn confirm(&mut self, now: Micros) {
        self.confirmed = Some(now);
    }

    /// A start has been told that was not known. It is news if the list was heard a moment before without it; else it
    /// may be old, and says only that the own clock is behind where it lies in the future.
    pub fn observe(&mut self, started: Micros, now: Micros) {
        let news = self
            .confirmed
            .is_some_and(|at| now <= at + CONFIRMED_WITHIN);
        let age = now.saturating_sub(started);
        if news || age < self.ahead.unwrap_or(0) {
            self.ahead = Some(self.ahead.map_or(age, |ahead| ahead.min(age)));
        }
    }

    /// How long ago a start was.
    pub fn age(&self, started: Micros, now: Micros) -> Micros {
        now.saturating_sub(started)
            .saturating_sub(self.ahead.unwrap_or(0))
            .max(0)
    }
}
