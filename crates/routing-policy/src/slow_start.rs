//! Slow start: how much an endpoint may be sent after its start.

use crate::policy::*;
use crate::*;

const COLD_SHARE: f64 = 0.8; // share of a cold server's budget that dispatchers use: chance takes the rest
const CARRIED_LEAST: f64 = 2_000_000.0; // ... and the least life that counts: one event is no rate
const BALANCERS: u32 = 16; // dispatchers where the settings do not tell: as many as to be careful
const FALL_MULTIPLE: f64 = 2.0;
const FALL_WINDOW: Micros = 2_000_000;
const START_CAPACITY: f64 = 0.15;
const WARM_UP: Micros = 20_000_000;

impl Policy {
    /// Whether it takes work, and our turn has come if it is cold. Homes need not wait for a first turn: a
    /// server draws as many as the part of its capacity that it has (see `home`).
    pub(crate) fn open(&self, id: EndpointId, home: bool) -> bool {
        let turn = |h: &Endpoint| h.cold_turn[usize::from(home)];
        let due = |h: &Endpoint| self.now >= turn(h).0 + (self.cold_span(h) * turn(h).1) as Micros;
        self.endpoints
            .get(&id)
            .is_some_and(|h| h.listed && (self.warmth(h) >= 1.0 || due(h)))
    }

    /// The part of its capacity that a server has at least, as the rules tell it.
    pub(crate) fn warmth(&self, endpoint: &Endpoint) -> f64 {
        let warm_up = self.settings.warm_up.unwrap_or(WARM_UP).max(1) as f64;
        let start = self
            .settings
            .cold_capacity
            .unwrap_or(START_CAPACITY)
            .clamp(0.01, 1.0);
        let started = endpoint.spec.started_at.filter(|at| *at > 0);
        let age = |at| self.starts.age(at, self.now) as f64;
        started
            .map_or(1.0, |at| start + (1.0 - start) * age(at) / warm_up)
            .min(1.0)
    }

    /// The span between our sends to a cold server, the first drawn. Guards against many pushing it over.
    pub(crate) fn cold_span(&self, endpoint: &Endpoint) -> f64 {
        let (stage, multiple) = (
            self.stage(endpoint),
            self.settings.overload_multiple.unwrap_or(FALL_MULTIPLE),
        );
        let rate = multiple * self.warmth(endpoint) * COLD_SHARE * self.rates[stage as usize];
        let most =
            self.settings.overload_window.unwrap_or(FALL_WINDOW) as f64 * self.router_count();
        (self.class_work(stage, ANY_CLASS, 1.0) / rate).min(most)
    }

    /// What each warm server of a stage carries of ours. A short life counts for what it is: guards against a
    /// fleet that restarts and takes its servers for idle until the whole span has passed.
    pub(crate) fn learn_rate(&mut self, stage: Role) {
        let is_warm = |h: &&Endpoint| h.listed && self.stage(h) == stage && self.warmth(h) >= 1.0;
        let warm = self.endpoints.values().filter(is_warm).count().max(1) as f64;
        let seen = seen(self.now - self.began, CARRIED_FOR).max(CARRIED_LEAST);
        self.rates[stage as usize] =
            self.carried[stage as usize].at(self.now, CARRIED_FOR) / seen / warm;
    }

    pub(crate) fn router_count(&self) -> f64 {
        f64::from(
            self.settings
                .router_count
                .filter(|b| *b > 0)
                .unwrap_or(BALANCERS),
        )
    }
}
