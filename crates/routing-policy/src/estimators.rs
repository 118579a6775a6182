//! Estimates that are learnt from this router's own traffic.

use std::collections::BTreeMap;

use crate::config::Role;
use crate::ids::{ClassId, Micros};

/// The share by which a mean moves with each request.
pub(crate) const REQUEST_STEP: f64 = 0.05;
/// The share by which the interval between dequeued requests moves with each.
const DEQUEUE_STEP: f64 = 0.2;
/// Over the mean time to first token: two in three requests make it.
const FIRST_TOKEN_SAFETY: f64 = 1.3;
/// The span over which completed work fades (us) ...
const COMPLETED_WORK_FADE: Micros = 10_000_000;
/// ... and the least span that it is divided by: one event is no rate (us).
const MIN_EFFECTIVE_WINDOW: f64 = 2_000_000.0;

/// Moves a mean toward a value.
pub(crate) fn move_toward(mean: &mut f64, value: f64, step: f64) {
    *mean += (value - *mean) * step;
}

/// 1 for true and 0 for false.
pub(crate) fn indicator(condition: bool) -> f64 {
    if condition {
        1.0
    } else {
        0.0
    }
}

/// The part that is left after `span` of what fades over `fade` (both us).
fn remaining(span: Micros, fade: Micros) -> f64 {
    (-(span as f64) / fade as f64).exp()
}

/// The part of a span that counts for a sum that fades over `fade` (us): a rate is the sum divided
/// by it.
fn effective_window(span: Micros, fade: Micros) -> f64 {
    fade as f64 * (1.0 - remaining(span, fade))
}

/// A sum whose earlier parts fade.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    sum: f64,
    at: Micros,
}

impl DecayingSum {
    /// The sum at `now`, where it fades over `fade` (us).
    pub(crate) fn at(&self, now: Micros, fade: Micros) -> f64 {
        self.sum * remaining(now - self.at, fade)
    }

    /// Adds to the sum at `now`, which only advances.
    pub(crate) fn add(&mut self, part: f64, now: Micros, fade: Micros) {
        self.sum = self.at(now, fade) + part;
        self.at = now;
    }
}

/// One value for each role.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PerRole<T> {
    prefill: T,
    decode: T,
    mixed: T,
}

impl<T> PerRole<T> {
    pub(crate) fn get(&self, role: Role) -> &T {
        match role {
            Role::Prefill => &self.prefill,
            Role::Decode => &self.decode,
            Role::Mixed => &self.mixed,
        }
    }

    pub(crate) fn get_mut(&mut self, role: Role) -> &mut T {
        match role {
            Role::Prefill => &mut self.prefill,
            Role::Decode => &mut self.decode,
            Role::Mixed => &mut self.mixed,
        }
    }

    pub(crate) fn map<U>(self, f: impl Fn(T) -> U) -> PerRole<U> {
        PerRole {
            prefill: f(self.prefill),
            decode: f(self.decode),
            mixed: f(self.mixed),
        }
    }
}

/// The mean work of a request at endpoints of each role: uncached tokens for a prefill, else the
/// time of the whole response (us).
#[derive(Debug, Default)]
pub(crate) struct WorkEstimates {
    overall: PerRole<Option<f64>>,
    by_class: BTreeMap<(Role, ClassId), f64>,
}

impl WorkEstimates {
    pub(crate) fn record(&mut self, role: Role, class: ClassId, work: f64) {
        let overall = self.overall.get_mut(role).get_or_insert(work);
        move_toward(overall, work, REQUEST_STEP);
        let of_class = self.by_class.entry((role, class)).or_insert(work);
        move_toward(of_class, work, REQUEST_STEP);
    }

    /// The mean over all classes.
    pub(crate) fn overall(&self, role: Role, default: f64) -> f64 {
        self.overall.get(role).unwrap_or(default)
    }

    /// The mean of a class, or over all classes where there was no request of it.
    pub(crate) fn of_class(&self, role: Role, class: ClassId, default: f64) -> f64 {
        match self.by_class.get(&(role, class)) {
            Some(mean) => *mean,
            None => self.overall(role, default),
        }
    }
}

/// How much work of this router the warm endpoints of each role completed lately.
#[derive(Debug)]
pub(crate) struct CompletedWork {
    sums: PerRole<DecayingSum>,
    rates: PerRole<f64>,
    since: Micros,
}

impl CompletedWork {
    pub(crate) fn new(now: Micros) -> CompletedWork {
        CompletedWork {
            sums: PerRole::default(),
            rates: PerRole::default(),
            since: now,
        }
    }

    pub(crate) fn record(&mut self, role: Role, work: f64, now: Micros) {
        self.sums.get_mut(role).add(work, now, COMPLETED_WORK_FADE);
    }

    /// Takes the rate anew. A short life counts for what it is, so that routers that have all just
    /// started do not take their endpoints for idle.
    pub(crate) fn update_rate(&mut self, role: Role, warm_endpoints: f64, now: Micros) {
        let window =
            effective_window(now - self.since, COMPLETED_WORK_FADE).max(MIN_EFFECTIVE_WINDOW);
        let completed = self.sums.get(role).at(now, COMPLETED_WORK_FADE);
        *self.rates.get_mut(role) = completed / window / warm_endpoints;
    }

    /// The work that one warm endpoint of a role completes for this router in a microsecond.
    pub(crate) fn rate(&self, role: Role) -> f64 {
        *self.rates.get(role)
    }
}

/// What is learnt of arrivals and of the queue. Spans are in microseconds.
#[derive(Debug)]
pub(crate) struct TrafficEstimates {
    arrival_interval: f64,
    last_arrival: Micros,
    dequeue_interval: f64,
    last_dequeue: Micros,
    time_to_first_token: f64,
}

impl TrafficEstimates {
    pub(crate) fn new(now: Micros) -> TrafficEstimates {
        TrafficEstimates {
            arrival_interval: 0.0,
            last_arrival: now,
            dequeue_interval: 0.0,
            last_dequeue: now,
            time_to_first_token: 0.0,
        }
    }

    pub(crate) fn request_arrived(&mut self, now: Micros) {
        let interval = (now - self.last_arrival) as f64;
        move_toward(&mut self.arrival_interval, interval, REQUEST_STEP);
        self.last_arrival = now;
    }

    /// The queue was empty until now: the wait for the next dequeued request begins.
    pub(crate) fn queue_begins(&mut self, now: Micros) {
        self.last_dequeue = now;
    }

    pub(crate) fn request_dequeued(&mut self, now: Micros) {
        let interval = (now - self.last_dequeue) as f64;
        move_toward(&mut self.dequeue_interval, interval, DEQUEUE_STEP);
        self.last_dequeue = now;
    }

    pub(crate) fn stream_started(&mut self, since_first_send: Micros) {
        let with_margin = since_first_send as f64 * FIRST_TOKEN_SAFETY;
        move_toward(&mut self.time_to_first_token, with_margin, REQUEST_STEP);
    }

    /// The mean interval between arrivals.
    pub(crate) fn arrival_interval(&self) -> f64 {
        self.arrival_interval
    }

    /// How long it takes until so many requests have left the queue.
    pub(crate) fn queue_wait(&self, requests: usize, now: Micros) -> Micros {
        let waited = (now - self.last_dequeue) as f64;
        let overdue = (waited - self.dequeue_interval).max(0.0);
        ((self.dequeue_interval + overdue * DEQUEUE_STEP) * requests as f64) as Micros
    }

    /// The time from the first send to the first token that two in three requests make.
    pub(crate) fn likely_time_to_first_token(&self) -> Micros {
        self.time_to_first_token as Micros
    }

    /// The mean time from the first send to the first token.
    pub(crate) fn mean_time_to_first_token(&self) -> f64 {
        self.time_to_first_token / FIRST_TOKEN_SAFETY
    }
}
