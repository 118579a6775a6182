//! Runs the batch scheduler: tickets wait for its decisions, and one task calls it when its timers
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

/// A decision on a batch.
#[derive(Debug)]
pub(super) enum BatchEvent {
    /// This slice is to be sent.
    Dispatch(SliceDispatch),
    /// The batch has ended. Nothing follows.
    Ended(BatchOutcome),
}

/// A duration in the scheduler's unit.
pub(super) fn to_micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

/// A duration from the scheduler's unit; zero if it is negative.
pub(super) fn from_micros(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}

/// All batches of the frontend. Cheap to clone.
#[derive(Clone)]
pub(super) struct BatchQueue(Rc<Shared>);

struct Shared {
    scheduler: RefCell<BatchScheduler>,
    /// The origin of the scheduler's clock.
    start: Instant,
    tickets: RefCell<HashMap<BatchId, mpsc::UnboundedSender<BatchEvent>>>,
    /// When the timer task wakes up.
    next_wake: Cell<Option<Micros>>,
    /// Wakes the timer task up earlier.
    wake_earlier: Notify,
}

impl BatchQueue {
    /// A queue with no open batch. Must be called within a `LocalSet`. Its timer task ends at its
    /// first wake-up after the last clone and ticket are dropped.
    pub(super) fn new(config: SchedulerConfig) -> BatchQueue {
        let shared = Rc::new(Shared {
            scheduler: RefCell::new(BatchScheduler::new(config)),
            start: Instant::now(),
            tickets: RefCell::default(),
            next_wake: Cell::default(),
            wake_earlier: Notify::new(),
        });
        let weak = Rc::downgrade(&shared);
        tokio::task::spawn_local(async move {
            while let Some(shared) = weak.upgrade() {
                shared.wait_for_timer().await;
                shared.step(|scheduler, now| scheduler.tick(now));
            }
        });
        BatchQueue(shared)
    }

    /// An instant on the scheduler's clock.
    pub(super) fn time_of(&self, instant: Instant) -> Micros {
        self.0.time_of(instant)
    }

    /// Opens a batch, unless the scheduler rejects it.
    pub(super) fn open(&self, spec: BatchSpec) -> Result<BatchTicket, Rejection> {
        let now = self.0.now();
        let id = self.0.scheduler.borrow_mut().open(now, spec)?;
        let (sender, events) = mpsc::unbounded_channel();
        self.0.tickets.borrow_mut().insert(id, sender);
        self.0.step(|_, _| ());
        Ok(BatchTicket {
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

    /// Lets the scheduler take a step, and passes its decisions on.
    fn step(&self, step: impl FnOnce(&mut BatchScheduler, Micros)) {
        let now = self.now();
        let mut scheduler = self.scheduler.borrow_mut();
        step(&mut scheduler, now);
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

    /// Passes an event to the batch's ticket; returns whether there still is one.
    fn notify(&self, id: BatchId, event: BatchEvent) -> bool {
        let tickets = self.tickets.borrow();
        match tickets.get(&id) {
            Some(ticket) => ticket.send(event).is_ok(),
            None => false,
        }
    }
}

/// An open batch, which is closed when this is dropped.
pub(super) struct BatchTicket {
    shared: Rc<Shared>,
    id: BatchId,
    events: mpsc::UnboundedReceiver<BatchEvent>,
}

impl BatchTicket {
    /// Waits for the next decision.
    pub(super) async fn next_event(&mut self) -> BatchEvent {
        // The queue drops its sender only with the ticket.
        let event = self.events.recv().await;
        event.unwrap_or(BatchEvent::Ended(BatchOutcome::Failed))
    }

    /// The slice in flight was served.
    pub(super) fn slice_succeeded(&self) {
        self.shared
            .step(|scheduler, now| scheduler.slice_succeeded(now, self.id));
    }

    /// The slice in flight failed.
    pub(super) fn slice_failed(&self, failure: SliceFailure) {
        self.shared
            .step(|scheduler, now| scheduler.slice_failed(now, self.id, failure));
    }
}

impl Drop for BatchTicket {
    fn drop(&mut self) {
        self.shared.tickets.borrow_mut().remove(&self.id);
        self.shared.step(|scheduler, _| scheduler.close(self.id));
    }
}
