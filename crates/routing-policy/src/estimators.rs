//! Estimates that are learnt from this router's own traffic.

use std::collections::BTreeMap;

use crate::config::Role;
use crate::ids::{ClassId, Micros};

/// Smoothing factor of the moving averages that are updated with each request.
pub(crate) const REQUEST_SMOOTHING: f64 = 0.05;
/// Smoothing factor of the moving average of the interval between dequeued requests.
const DEQUEUE_SMOOTHING: f64 = 0.2;
/// Factor by which the mean time to first token is multiplied to get a time that about two in three
/// requests do not exceed.
const FIRST_TOKEN_MARGIN: f64 = 1.3;
/// Time constant with which the sums of completed work decay.
const COMPLETED_WORK_TIME_CONSTANT: Micros = 10_000_000;
/// Minimum duration in microseconds by which a sum of completed work is divided for a rate: a
/// single event soon after the start says nothing about the rate.
const MIN_EFFECTIVE_WINDOW: f64 = 2_000_000.0;

/// Updates an exponential moving average with a value.
pub(crate) fn update_moving_average(mean: &mut f64, value: f64, smoothing: f64) {
    *mean += (value - *mean) * smoothing;
}

/// Returns 1 for true and 0 for false.
pub(crate) fn indicator(condition: bool) -> f64 {
    if condition {
        1.0
    } else {
        0.0
    }
}

/// Returns the share that is left of a value after `elapsed` if it decays with `time_constant`.
fn remaining_share(elapsed: Micros, time_constant: Micros) -> f64 {
    (-(elapsed as f64) / time_constant as f64).exp()
}

/// Returns the duration in microseconds by which a decaying sum over the last `elapsed` is divided
/// for a rate.
fn effective_window(elapsed: Micros, time_constant: Micros) -> f64 {
    time_constant as f64 * (1.0 - remaining_share(elapsed, time_constant))
}

/// A sum that decays exponentially with time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    sum: f64,
    at: Micros,
}

impl DecayingSum {
    /// Returns the sum at `now` if it decays with `time_constant`.
    pub(crate) fn at(&self, now: Micros, time_constant: Micros) -> f64 {
        self.sum * remaining_share(now - self.at, time_constant)
    }

    /// Adds a value to the sum at `now`, which must not be earlier than at the previous call.
    pub(crate) fn add(&mut self, value: f64, now: Micros, time_constant: Micros) {
        self.sum = self.at(now, time_constant) + value;
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

/// The mean work of a request at endpoints of each role: the uncached tokens at prefill endpoints,
/// the duration of the whole response in microseconds at others.
#[derive(Debug, Default)]
pub(crate) struct WorkEstimates {
    overall: PerRole<Option<f64>>,
    by_class: BTreeMap<(Role, ClassId), f64>,
}

impl WorkEstimates {
    pub(crate) fn record(&mut self, role: Role, class: ClassId, work: f64) {
        let overall = self.overall.get_mut(role).get_or_insert(work);
        update_moving_average(overall, work, REQUEST_SMOOTHING);
        let class_mean = self.by_class.entry((role, class)).or_insert(work);
        update_moving_average(class_mean, work, REQUEST_SMOOTHING);
    }

    /// Returns the mean over all classes, or `default` if no request has been recorded.
    pub(crate) fn overall(&self, role: Role, default: f64) -> f64 {
        self.overall.get(role).unwrap_or(default)
    }

    /// Returns the mean of a class, or the mean over all classes if no request of this class has
    /// been recorded.
    pub(crate) fn of_class(&self, role: Role, class: ClassId, default: f64) -> f64 {
        match self.by_class.get(&(role, class)) {
            Some(mean) => *mean,
            None => self.overall(role, default),
        }
    }
}

/// The work that the warm endpoints of each role have recently completed for this router.
#[derive(Debug)]
pub(crate) struct CompletedWork {
    sums: PerRole<DecayingSum>,
    rates: PerRole<f64>,
    created_at: Micros,
}

impl CompletedWork {
    pub(crate) fn new(now: Micros) -> CompletedWork {
        CompletedWork {
            sums: PerRole::default(),
            rates: PerRole::default(),
            created_at: now,
        }
    }

    pub(crate) fn record(&mut self, role: Role, work: f64, now: Micros) {
        self.sums
            .get_mut(role)
            .add(work, now, COMPLETED_WORK_TIME_CONSTANT);
    }

    /// Recalculates the rate. Soon after this router's start the sum is divided by the shorter time
    /// that it covers: otherwise the rate would be too low, and routers that have all just started
    /// would take their endpoints for idle.
    pub(crate) fn update_rate(&mut self, role: Role, warm_endpoints: f64, now: Micros) {
        let window = effective_window(now - self.created_at, COMPLETED_WORK_TIME_CONSTANT)
            .max(MIN_EFFECTIVE_WINDOW);
        let completed = self.sums.get(role).at(now, COMPLETED_WORK_TIME_CONSTANT);
        *self.rates.get_mut(role) = completed / window / warm_endpoints;
    }

    /// Returns the work that one warm endpoint of a role completes for this router in a
    /// microsecond.
    pub(crate) fn rate(&self, role: Role) -> f64 {
        *self.rates.get(role)
    }
}

/// Estimates of arrivals, of the queue and of the time to first token. Durations are in
/// microseconds.
#[derive(Debug)]
pub(crate) struct TrafficEstimates {
    arrival_interval: f64,
    last_arrival: Micros,
    dequeue_interval: f64,
    last_dequeue: Micros,
    time_to_first_token_with_margin: f64,
}

impl TrafficEstimates {
    pub(crate) fn new(now: Micros) -> TrafficEstimates {
        TrafficEstimates {
            arrival_interval: 0.0,
            last_arrival: now,
            dequeue_interval: 0.0,
            last_dequeue: now,
            time_to_first_token_with_margin: 0.0,
        }
    }

    pub(crate) fn request_arrived(&mut self, now: Micros) {
        let interval = (now - self.last_arrival) as f64;
        update_moving_average(&mut self.arrival_interval, interval, REQUEST_SMOOTHING);
        self.last_arrival = now;
    }

    /// Records that the queue was empty until now: the time to the next dequeued request starts.
    pub(crate) fn queue_became_nonempty(&mut self, now: Micros) {
        self.last_dequeue = now;
    }

    pub(crate) fn request_dequeued(&mut self, now: Micros) {
        let interval = (now - self.last_dequeue) as f64;
        update_moving_average(&mut self.dequeue_interval, interval, DEQUEUE_SMOOTHING);
        self.last_dequeue = now;
    }

    pub(crate) fn stream_started(&mut self, since_first_send: Micros) {
        let with_margin = since_first_send as f64 * FIRST_TOKEN_MARGIN;
        update_moving_average(
            &mut self.time_to_first_token_with_margin,
            with_margin,
            REQUEST_SMOOTHING,
        );
    }

    /// Returns the mean interval between arrivals in microseconds.
    pub(crate) fn arrival_interval(&self) -> f64 {
        self.arrival_interval
    }

    /// Returns the expected time until this number of requests has left the queue. The interval
    /// between dequeued requests counts as longer if the next one is overdue.
    pub(crate) fn queue_wait(&self, requests: usize, now: Micros) -> Micros {
        let waited = (now - self.last_dequeue) as f64;
        let overdue = (waited - self.dequeue_interval).max(0.0);
        ((self.dequeue_interval + overdue * DEQUEUE_SMOOTHING) * requests as f64) as Micros
    }

    /// Returns the mean time from the first send to the first token times [`FIRST_TOKEN_MARGIN`],
    /// which about two in three requests do not exceed. The moving average starts at 0, so the
    /// result is too low until some streams have started.
    pub(crate) fn likely_time_to_first_token(&self) -> Micros {
        self.time_to_first_token_with_margin as Micros
    }

    /// Returns the mean time from the first send to the first token in microseconds.
    pub(crate) fn mean_time_to_first_token(&self) -> f64 {
        self.time_to_first_token_with_margin / FIRST_TOKEN_MARGIN
    }
}
