//! The scheduler, which keeps the open batches and selects the next slice to be sent.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::batch::{token_sum, Batch, BatchState, SliceInFlight};
use crate::{
    BatchId, BatchOutcome, BatchSpec, ConcurrencyWindow, DeficitRoundRobin, Micros, Rejection,
    RetryBudget, SchedulerConfig, SchedulerLoad, SliceBounds, SliceDispatch, SliceFailure,
    SliceTimeModel,
};

/// Number of served slices of a batch from which its measured rate is used to predict its end.
const MIN_SLICES_FOR_RATE_PREDICTION: u32 = 3;
/// A batch is rejected if the predicted time exceeds this factor times the time left before its
/// deadline.
const PREDICTION_TOLERANCE: f64 = 1.25;
/// Minimum delay in microseconds before a slice that was not executed is sent again.
const MIN_RETRY_DELAY: Micros = 5_000;

/// Scheduler of batches. The caller opens batches, sends the slices of
/// [`BatchScheduler::next_dispatch`], reports their results, takes the outcomes and closes the
/// batches.
pub struct BatchScheduler {
    config: SchedulerConfig,
    batches: HashMap<BatchId, Batch>,
    /// Models of slice durations by class: batches of the same class are served by the same
    /// endpoints.
    time_models: HashMap<u32, SliceTimeModel>,
    round_robin: DeficitRoundRobin,
    window: ConcurrencyWindow,
    retry_budget: RetryBudget,
    slices_in_flight: usize,
    next_id: u64,
    /// Deadlines of the open batches and ends of their retry delays.
    timers: BTreeSet<(Micros, BatchId)>,
    /// Outcomes that the caller has not taken.
    outcomes: VecDeque<(BatchId, BatchOutcome)>,
}

impl BatchScheduler {
    /// Creates a scheduler without open batches.
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

    /// Opens a batch. Rejects it if there are too many open batches or if it is predicted to miss
    /// its deadline.
    pub fn open(&mut self, now: Micros, spec: BatchSpec) -> Result<BatchId, Rejection> {
        if self.batches.len() >= self.config.max_open_batches {
            return Err(self.rejection(self.config.slice_target));
        }
        if let Some(predicted) = self.predict_duration(&spec) {
            let time_left = spec.deadline - now;
            if predicted as f64 > time_left as f64 * PREDICTION_TOLERANCE {
                return Err(self.rejection(predicted - time_left));
            }
        }
        let id = BatchId(self.next_id);
        self.next_id += 1;
        self.timers.insert((spec.deadline, id));
        self.round_robin.push(spec.flow, id.0);
        self.batches.insert(id, Batch::new(spec, now));
        Ok(id)
    }

    /// Predicts how long a batch would take if it were opened now. Returns `None` while there are
    /// too few samples for its class.
    fn predict_duration(&self, spec: &BatchSpec) -> Option<Micros> {
        let model = self.time_models.get(&spec.flow.class)?;
        if !model.has_enough_samples() {
            return None;
        }
        let tokens = token_sum(&spec.item_tokens);
        let token_limit = self
            .token_limit(model, spec.initial_slice_tokens)
            .saturating_sub(spec.shared_tokens)
            .max(1);
        let slices = tokens.div_ceil(token_limit).max(1);
        let slice_time = model.predict(tokens.min(token_limit) + spec.shared_tokens)?;
        let uncontended_time = slice_time.saturating_mul(i64::try_from(slices).unwrap_or(i64::MAX));
        // Each batch has at most one slice in flight. If more batches are open than the window
        // allows slices in flight, they share the window.
        let open_batch_count = self.batches.values().filter(|b| !b.has_ended()).count() + 1;
        let contention = (open_batch_count as f64 / self.window.size() as f64).max(1.0);
        Some((uncontended_time as f64 * contention) as Micros)
    }

    /// Returns the maximum number of tokens of a slice.
    fn token_limit(&self, model: &SliceTimeModel, initial: u64) -> u64 {
        model.token_limit(SliceBounds {
            target: self.config.slice_target,
            initial_tokens: initial,
            min_tokens: self.config.min_slice_tokens,
            max_tokens: self.config.max_slice_tokens,
        })
    }

    /// Returns the maximum number of tokens of a batch's next slice.
    fn token_limit_of(&self, batch: &Batch) -> u64 {
        match self.time_models.get(&batch.flow.class) {
            Some(model) => self.token_limit(model, batch.initial_slice_tokens),
            None => batch.initial_slice_tokens,
        }
    }

    /// Returns a rejection whose retry delay is `delay`, limited to the range between the target
    /// duration of a slice and the configured maximum.
    fn rejection(&self, delay: Micros) -> Rejection {
        let max = self.config.max_retry_after;
        let min = self.config.slice_target.min(max);
        Rejection {
            retry_after: delay.clamp(min, max),
        }
    }

    /// Returns the next slice to be sent, or `None` if no slice can be sent now.
    pub fn next_dispatch(&mut self, now: Micros) -> Option<SliceDispatch> {
        if self.slices_in_flight >= self.window.size() {
            return None;
        }
        let id = self.next_ready_batch()?;
        let batch = self.batches.get(&id)?;
        let slice = batch.next_slice(self.token_limit_of(batch));
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

    /// Removes the batch whose turn it is from the round robin and returns it.
    fn next_ready_batch(&mut self) -> Option<BatchId> {
        // The closure borrows the scheduler, so the round robin is moved out of it for this call.
        let mut round_robin = std::mem::replace(&mut self.round_robin, DeficitRoundRobin::new(1));
        let next = round_robin.next(|id| {
            let batch = self.batches.get(&BatchId(id))?;
            match batch.state {
                BatchState::Ready => Some(batch.next_slice(self.token_limit_of(batch)).tokens),
                _ => None,
            }
        });
        self.round_robin = round_robin;
        next.map(BatchId)
    }

    /// Removes the slice in flight of a batch and sets the batch's state to ready. Returns `None`
    /// if the batch has no slice in flight.
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

    /// Records that the slice in flight of a batch was served. Has no effect if the batch has none.
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
        } else if let Some(rejection) = self.rejection_if_too_slow(now, id) {
            self.end(id, BatchOutcome::Rejected(rejection));
        } else {
            self.make_ready(id);
        }
    }

    /// Returns a rejection if the batch would miss its deadline at the rate at which it has been
    /// served so far, which includes the waits between its slices.
    fn rejection_if_too_slow(&self, now: Micros, id: BatchId) -> Option<Rejection> {
        let batch = self.batches.get(&id)?;
        if batch.served_slices < MIN_SLICES_FOR_RATE_PREDICTION {
            return None;
        }
        let time_per_token = (now - batch.opened_at) as f64 / batch.served_tokens.max(1) as f64;
        let predicted = time_per_token * batch.remaining_tokens as f64;
        let time_left = (batch.deadline - now) as f64;
        if predicted > time_left * PREDICTION_TOLERANCE {
            Some(self.rejection((predicted - time_left) as Micros))
        } else {
            None
        }
    }

    /// Sets the state of a batch to ready and adds the batch to the round robin.
    fn make_ready(&mut self, id: BatchId) {
        if let Some(batch) = self.batches.get_mut(&id) {
            batch.state = BatchState::Ready;
            self.round_robin.push(batch.flow, id.0);
        }
    }

    /// Makes a batch wait until the given instant before its failed slice is sent again.
    fn delay(&mut self, id: BatchId, until: Micros) {
        if let Some(batch) = self.batches.get_mut(&id) {
            batch.state = BatchState::Delayed { until };
            self.timers.insert((until, id));
        }
    }

    /// Records that the slice in flight of a batch failed, and retries it or ends the batch. Has no
    /// effect if the batch has none.
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
        // The budget is checked last, so that a retry is taken from it only if all other conditions
        // are met.
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

    /// Updates the concurrency window after a rejection, and the model of slice durations after
    /// [`SliceFailure::Failed`]. Returns whether the failure permits a retry of the slice.
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

    /// Ends a batch with this outcome. Has no effect on a batch that has already ended.
    fn end(&mut self, id: BatchId, outcome: BatchOutcome) {
        let Some(batch) = self.batches.get_mut(&id) else {
            return;
        };
        remove_timers(&mut self.timers, id, batch);
        if batch.has_ended() {
            return;
        }
        // A rejection tells the client that it can safely retry. That is not so if items were
        // executed that must not be executed again.
        let outcome = match outcome {
            BatchOutcome::Rejected(_) if batch.is_unsafe_to_retry() => BatchOutcome::Failed,
            outcome => outcome,
        };
        batch.state = BatchState::Ended;
        self.outcomes.push_back((id, outcome));
    }

    /// Removes a batch whose client has received the whole response or has disconnected. The caller
    /// must have cancelled the batch's slice in flight, if there is one.
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

    /// Removes and returns the oldest outcome that the caller has not taken.
    pub fn next_outcome(&mut self) -> Option<(BatchId, BatchOutcome)> {
        self.outcomes.pop_front()
    }

    /// Returns the instant at which the caller must call [`BatchScheduler::tick`] next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Ends the batches whose deadline has passed, and makes the batches ready whose retry delay
    /// has passed.
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

    /// Returns the number of open batches and of slices in flight.
    pub fn load(&self) -> SchedulerLoad {
        SchedulerLoad {
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
