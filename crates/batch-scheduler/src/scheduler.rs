//! The scheduler: open batches, and which slice is sent next.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::batch::{token_sum, Batch, BatchState, SliceInFlight};
use crate::{
    BatchId, BatchOutcome, BatchSpec, ConcurrencyWindow, DeficitRoundRobin, Load, Micros,
    Rejection, RetryBudget, SchedulerConfig, SliceBounds, SliceDispatch, SliceFailure,
    SliceTimeModel,
};

/// Served slices of a batch from which its own rate is used to predict its end.
const MIN_SLICES_FOR_OWN_RATE: u32 = 3;
/// The predicted time must exceed the time left by this factor before a batch is given up.
const PREDICTION_TOLERANCE: f64 = 1.25;
/// The shortest delay before a slice that was not executed is sent again.
const MIN_RETRY_DELAY: Micros = 5_000;

/// The scheduler.
pub struct BatchScheduler {
    config: SchedulerConfig,
    batches: HashMap<BatchId, Batch>,
    /// By class: batches of one class go to the same endpoints.
    time_models: HashMap<u32, SliceTimeModel>,
    round_robin: DeficitRoundRobin,
    window: ConcurrencyWindow,
    retry_budget: RetryBudget,
    slices_in_flight: usize,
    next_id: u64,
    /// The deadlines of batches and the ends of their delays.
    timers: BTreeSet<(Micros, BatchId)>,
    outcomes: VecDeque<(BatchId, BatchOutcome)>,
}

impl BatchScheduler {
    /// A scheduler with no open batch.
    pub fn new(config: SchedulerConfig) -> BatchScheduler {
        BatchScheduler {
            round_robin: DeficitRoundRobin::new(config.quantum),
            window: ConcurrencyWindow::new(config.max_in_flight),
            retry_budget: RetryBudget::new(config.retry_ratio, config.max_saved_retries),
            config,
            batches: HashMap::new(),
            time_models: HashMap::new(),
            slices_in_flight: 0,
            next_id: 0,
            timers: BTreeSet::new(),
            outcomes: VecDeque::new(),
        }
    }

    /// Opens a batch, unless there are too many or it cannot meet its deadline.
    pub fn open(&mut self, now: Micros, spec: BatchSpec) -> Result<BatchId, Rejection> {
        if self.batches.len() >= self.config.max_open_batches {
            return Err(self.rejection(self.config.slice_target));
        }
        if let Some(predicted) = self.predict_duration(&spec) {
            let available = spec.deadline - now;
            if predicted as f64 > available as f64 * PREDICTION_TOLERANCE {
                return Err(self.rejection(predicted - available));
            }
        }
        let id = BatchId(self.next_id);
        self.next_id += 1;
        self.timers.insert((spec.deadline, id));
        self.round_robin.push(spec.flow, id.0);
        self.batches.insert(id, Batch::new(spec, now));
        Ok(id)
    }

    /// How long a batch would take beside those that are open; `None` while too little is known.
    fn predict_duration(&self, spec: &BatchSpec) -> Option<Micros> {
        let model = self.time_models.get(&spec.flow.class)?;
        if !model.has_enough_samples() {
            return None;
        }
        let tokens = token_sum(&spec.item_tokens);
        let slice_tokens = self
            .slice_tokens(model, spec.initial_slice_tokens)
            .saturating_sub(spec.shared_tokens)
            .max(1);
        let slices = tokens.div_ceil(slice_tokens).max(1);
        let slice_time = model.predict(tokens.min(slice_tokens) + spec.shared_tokens)?;
        let alone = slice_time.saturating_mul(i64::try_from(slices).unwrap_or(i64::MAX));
        // A batch has one slice in flight at a time. If there are more batches than slices may be
        // in flight, they share the window.
        let running = self.batches.values().filter(|b| !b.has_ended()).count() + 1;
        let contention = (running as f64 / self.window.size() as f64).max(1.0);
        Some((alone as f64 * contention) as Micros)
    }

    /// The most tokens of a slice.
    fn slice_tokens(&self, model: &SliceTimeModel, initial: u64) -> u64 {
        model.slice_tokens(SliceBounds {
            target: self.config.slice_target,
            initial_tokens: initial,
            min_tokens: self.config.min_slice_tokens,
            max_tokens: self.config.max_slice_tokens,
        })
    }

    /// The most tokens of the next slice of a batch.
    fn slice_tokens_of(&self, batch: &Batch) -> u64 {
        match self.time_models.get(&batch.flow.class) {
            Some(model) => self.slice_tokens(model, batch.initial_slice_tokens),
            None => batch.initial_slice_tokens,
        }
    }

    fn rejection(&self, delay: Micros) -> Rejection {
        let max = self.config.max_retry_after;
        let min = self.config.slice_target.min(max);
        Rejection {
            retry_after: delay.clamp(min, max),
        }
    }

    /// The next slice to be sent, if one may be.
    pub fn next_dispatch(&mut self, now: Micros) -> Option<SliceDispatch> {
        if self.slices_in_flight >= self.window.size() {
            return None;
        }
        let id = self.next_ready_batch()?;
        let batch = self.batches.get(&id)?;
        let slice = batch.next_slice(self.slice_tokens_of(batch));
        let batch = self.batches.get_mut(&id)?;
        let earlier_attempts = batch.retry.map_or(0, |retry| retry.attempts);
        batch.state = BatchState::InFlight(SliceInFlight {
            items: slice.items.clone(),
            tokens: slice.tokens,
            sent_at: now,
            attempts: earlier_attempts + 1,
        });
        let sequence = batch.dispatches;
        batch.dispatches += 1;
        self.slices_in_flight += 1;
        Some(SliceDispatch {
            batch: id,
            items: slice.items,
            tokens: slice.tokens,
            sequence,
        })
    }

    /// Takes the batch whose turn it is out of the round robin.
    fn next_ready_batch(&mut self) -> Option<BatchId> {
        // The round robin asks for sizes, which need the rest of the scheduler.
        let mut round_robin = std::mem::replace(&mut self.round_robin, DeficitRoundRobin::new(1));
        let next = round_robin.next(|id| {
            let batch = self.batches.get(&BatchId(id))?;
            match batch.state {
                BatchState::Ready => Some(batch.next_slice(self.slice_tokens_of(batch)).tokens),
                _ => None,
            }
        });
        self.round_robin = round_robin;
        next.map(BatchId)
    }

    /// Ends the slice in flight of a batch and makes the batch ready; `None` if it has none.
    fn take_in_flight(&mut self, id: BatchId) -> Option<SliceInFlight> {
        let batch = self.batches.get_mut(&id)?;
        match std::mem::replace(&mut batch.state, BatchState::Ready) {
            BatchState::InFlight(slice) => {
                self.slices_in_flight -= 1;
                Some(slice)
            }
            other => {
                batch.state = other;
                None
            }
        }
    }

    /// The slice in flight of a batch was served.
    pub fn slice_succeeded(&mut self, now: Micros, id: BatchId) {
        let Some(slice) = self.take_in_flight(id) else {
            return;
        };
        let Some(batch) = self.batches.get_mut(&id) else {
            return;
        };
        batch.record_served(&slice.items);
        let is_complete = batch.is_complete();
        let model = self.time_models.entry(batch.flow.class).or_default();
        model.record_success(slice.tokens, now - slice.sent_at);
        self.window.record_success();
        self.retry_budget.record_success();
        if is_complete {
            self.end(id, BatchOutcome::Completed);
        } else if let Some(rejection) = self.reject_if_too_slow(now, id) {
            self.end(id, BatchOutcome::Rejected(rejection));
        } else {
            self.make_ready(id);
        }
    }

    /// Whether a batch cannot meet its deadline at its own rate so far, which includes the waits
    /// between its slices.
    fn reject_if_too_slow(&self, now: Micros, id: BatchId) -> Option<Rejection> {
        let batch = self.batches.get(&id)?;
        if batch.served_slices < MIN_SLICES_FOR_OWN_RATE {
            return None;
        }
        let time_per_token = (now - batch.opened_at) as f64 / batch.served_tokens.max(1) as f64;
        let predicted = time_per_token * batch.remaining_tokens as f64;
        let available = (batch.deadline - now) as f64;
        if predicted > available * PREDICTION_TOLERANCE {
            Some(self.rejection((predicted - available) as Micros))
        } else {
            None
        }
    }

    fn make_ready(&mut self, id: BatchId) {
        if let Some(batch) = self.batches.get_mut(&id) {
            batch.state = BatchState::Ready;
            self.round_robin.push(batch.flow, id.0);
        }
    }

    fn delay(&mut self, id: BatchId, until: Micros) {
        if let Some(batch) = self.batches.get_mut(&id) {
            batch.state = BatchState::Delayed { until };
            self.timers.insert((until, id));
        }
    }

    /// The slice in flight of a batch failed.
    pub fn slice_failed(&mut self, now: Micros, id: BatchId, failure: SliceFailure) {
        let Some(slice) = self.take_in_flight(id) else {
            return;
        };
        let Some(batch) = self.batches.get_mut(&id) else {
            return;
        };
        batch.record_failed(&slice);
        let deadline = batch.deadline;
        let retry_at = match failure {
            SliceFailure::Rejected { retry_after } | SliceFailure::OutOfMemory { retry_after } => {
                now + retry_after.max(MIN_RETRY_DELAY)
            }
            SliceFailure::Failed => now,
        };
        let is_retryable = self.record_failure(now, id, failure);
        // The budget comes last: a retry is only taken from it if all else permits it.
        let may_retry = is_retryable
            && slice.attempts < self.config.max_attempts
            && retry_at < deadline
            && self.retry_budget.try_take();
        if now >= deadline {
            return self.end(id, BatchOutcome::DeadlineExceeded);
        }
        match failure {
            SliceFailure::OutOfMemory { .. } if may_retry => self.delay(id, retry_at),
            SliceFailure::Failed if may_retry => self.make_ready(id),
            SliceFailure::Rejected { .. } | SliceFailure::OutOfMemory { .. } => {
                let rejection = self.rejection(retry_at - now);
                self.end(id, BatchOutcome::Rejected(rejection));
            }
            SliceFailure::Failed => self.end(id, BatchOutcome::Failed),
        }
    }

    /// Notes a failure where it changes later decisions, and returns whether a slice that fails so
    /// may be sent again.
    fn record_failure(&mut self, now: Micros, id: BatchId, failure: SliceFailure) -> bool {
        match failure {
            SliceFailure::Rejected { .. } => {
                self.window.record_rejection(now);
                false
            }
            SliceFailure::OutOfMemory { .. } => true,
            SliceFailure::Failed => {
                let Some(batch) = self.batches.get(&id) else {
                    return false;
                };
                let model = self.time_models.entry(batch.flow.class).or_default();
                model.record_failure();
                batch.is_idempotent
            }
        }
    }

    /// Ends a batch with its one outcome.
    fn end(&mut self, id: BatchId, outcome: BatchOutcome) {
        let Some(batch) = self.batches.get_mut(&id) else {
            return;
        };
        remove_timers(&mut self.timers, id, batch);
        if batch.has_ended() {
            return;
        }
        // A rejection says that a retry is harmless, which it is not for a batch with effects.
        let outcome = match outcome {
            BatchOutcome::Rejected(_) if batch.has_lasting_effects() => BatchOutcome::Failed,
            outcome => outcome,
        };
        batch.state = BatchState::Ended;
        self.outcomes.push_back((id, outcome));
    }

    /// Closes a batch: its client has the whole response, or has disconnected. Its slice in flight,
    /// if there is one, has been cancelled.
    pub fn close(&mut self, id: BatchId) {
        self.take_in_flight(id);
        if let Some(batch) = self.batches.remove(&id) {
            remove_timers(&mut self.timers, id, &batch);
        }
        self.outcomes.retain(|(ended, _)| *ended != id);
        if self.batches.is_empty() {
            self.round_robin.remove_idle_flows();
        }
    }

    /// The next outcome that has not been taken.
    pub fn next_outcome(&mut self) -> Option<(BatchId, BatchOutcome)> {
        self.outcomes.pop_front()
    }

    /// When [`BatchScheduler::tick`] is to be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Ends batches whose deadline has passed, and makes those ready whose delay has.
    pub fn tick(&mut self, now: Micros) {
        while let Some(&(at, id)) = self.timers.first() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            let Some(batch) = self.batches.get(&id) else {
                continue;
            };
            if at >= batch.deadline {
                self.take_in_flight(id);
                self.end(id, BatchOutcome::DeadlineExceeded);
            } else if let BatchState::Delayed { .. } = batch.state {
                self.make_ready(id);
            }
        }
    }

    /// The open batches and slices in flight.
    pub fn load(&self) -> Load {
        Load {
            open_batches: self.batches.len(),
            slices_in_flight: self.slices_in_flight,
        }
    }
}

fn remove_timers(timers: &mut BTreeSet<(Micros, BatchId)>, id: BatchId, batch: &Batch) {
    timers.remove(&(batch.deadline, id));
    if let BatchState::Delayed { until } = batch.state {
        timers.remove(&(until, id));
    }
}
