//! Runs the batch scheduler: passes its decisions on to open batches, and calls it when its timers
//! are due.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use cranetack_batch_scheduler::{
    BatchId, BatchOutcome, BatchScheduler, BatchSpec, Micros, Rejection, SchedulerConfig,
    SliceDispatch, SliceFailure,
};
use tokio::sync::{mpsc, Notify};
use tokio::time::Instant;

/// How long the timer task sleeps when no timer is set.
const IDLE_SLEEP: Duration = Duration::from_secs(1);

/// A decision of the scheduler on a batch.
#[derive(Debug)]
pub(super) enum BatchEvent {
    /// The scheduler has released this slice for sending.
    Dispatch(SliceDispatch),
    /// The batch has ended. This is its last event.
    Ended(BatchOutcome),
}

/// Converts a duration to the scheduler's unit, microseconds.
pub(super) fn to_micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

/// Converts microseconds of the scheduler to a duration. A negative value becomes zero.
pub(super) fn from_micros(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}

/// The open batches of the frontend, and the scheduler that decides on them. Cheap to clone.
#[derive(Clone)]
pub(super) struct BatchQueue(Rc<Shared>);

struct Shared {
    scheduler: RefCell<BatchScheduler>,
    /// The origin of the scheduler's clock.
    start: Instant,
    /// The sender of events for each open batch.
    event_senders: RefCell<HashMap<BatchId, mpsc::UnboundedSender<BatchEvent>>>,
    /// When the timer task will wake up, on the scheduler's clock; `None` if no timer is set.
    next_wake: Cell<Option<Micros>>,
    /// Wakes the timer task before `next_wake`.
    wake_earlier: Notify,
}

impl BatchQueue {
    /// Creates a queue with no open batch. Must be called within a `LocalSet`. Its timer task ends
    /// at the first wake-up after the last clone and the last [`OpenBatch`] are dropped.
    pub(super) fn new(config: SchedulerConfig) -> BatchQueue {
        let shared = Rc::new(Shared {
            scheduler: RefCell::new(BatchScheduler::new(config)),
            start: Instant::now(),
            event_senders: RefCell::default(),
            next_wake: Cell::default(),
            wake_earlier: Notify::new(),
        });
        let weak = Rc::downgrade(&shared);
        tokio::task::spawn_local(async move {
            while let Some(shared) = weak.upgrade() {
                shared.wait_for_timer().await;
                shared.update_scheduler(|scheduler, now| scheduler.tick(now));
            }
        });
        BatchQueue(shared)
    }

    /// Converts an instant to the scheduler's clock.
    pub(super) fn time_of(&self, instant: Instant) -> Micros {
        self.0.time_of(instant)
    }

    /// Opens a batch, unless the scheduler rejects it.
    pub(super) fn open(&self, spec: BatchSpec) -> Result<OpenBatch, Rejection> {
        let now = self.0.now();
        let id = self.0.scheduler.borrow_mut().open(now, spec)?;
        let (sender, events) = mpsc::unbounded_channel();
        self.0.event_senders.borrow_mut().insert(id, sender);
        self.0.update_scheduler(|_, _| ());
        Ok(OpenBatch {
            shared: self.0.clone(),
            id,
            events,
        })
    }
}

impl Shared {
    fn time_of(&self, instant: Instant) -> Micros {
        to_micros(instant.saturating_duration_since(self.start))
    }

    fn now(&self) -> Micros {
        self.time_of(Instant::now())
    }

    /// Waits until the scheduler's next timer is due.
    async fn wait_for_timer(&self) {
        let next_wake = self.scheduler.borrow().next_wake();
        self.next_wake.set(next_wake);
        let delay = match next_wake {
            Some(at) => from_micros(at - self.now()),
            None => IDLE_SLEEP,
        };
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = self.wake_earlier.notified() => {}
        }
    }

    /// Calls the scheduler with the current time, then passes its decisions on to the batches.
    fn update_scheduler(&self, update: impl FnOnce(&mut BatchScheduler, Micros)) {
        let now = self.now();
        let mut scheduler = self.scheduler.borrow_mut();
        update(&mut scheduler, now);
        while let Some((id, outcome)) = scheduler.next_outcome() {
            self.notify(id, BatchEvent::Ended(outcome));
        }
        while let Some(dispatch) = scheduler.next_dispatch(now) {
            let id = dispatch.batch;
            if !self.notify(id, BatchEvent::Dispatch(dispatch)) {
                scheduler.close(id);
            }
        }
        let next_wake = scheduler.next_wake();
        if next_wake.is_some_and(|at| self.next_wake.get().is_none_or(|set| at < set)) {
            self.wake_earlier.notify_one();
        }
    }

    /// Sends an event to an open batch. Returns whether the batch could still receive it.
    fn notify(&self, id: BatchId, event: BatchEvent) -> bool {
        let senders = self.event_senders.borrow();
        match senders.get(&id) {
            Some(sender) => sender.send(event).is_ok(),
            None => false,
        }
    }
}

/// An open batch. Dropping it closes the batch in the scheduler.
pub(super) struct OpenBatch {
    shared: Rc<Shared>,
    id: BatchId,
    events: mpsc::UnboundedReceiver<BatchEvent>,
}

impl OpenBatch {
    /// Waits for the scheduler's next decision on the batch.
    pub(super) async fn next_event(&mut self) -> BatchEvent {
        // The sender lives until this value is dropped, so `recv` does not return `None`.
        let event = self.events.recv().await;
        event.unwrap_or(BatchEvent::Ended(BatchOutcome::Failed))
    }

    /// Tells the scheduler that the slice in flight was served.
    pub(super) fn slice_succeeded(&self) {
        self.shared
            .update_scheduler(|scheduler, now| scheduler.slice_succeeded(now, self.id));
    }

    /// Tells the scheduler that the slice in flight failed.
    pub(super) fn slice_failed(&self, failure: SliceFailure) {
        self.shared
            .update_scheduler(|scheduler, now| scheduler.slice_failed(now, self.id, failure));
    }
}

impl Drop for OpenBatch {
    fn drop(&mut self) {
        self.shared.event_senders.borrow_mut().remove(&self.id);
        self.shared
            .update_scheduler(|scheduler, _| scheduler.close(self.id));
    }
}
