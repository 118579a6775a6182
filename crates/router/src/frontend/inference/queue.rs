//! Batches on the runtime: the scheduler decides, tickets wait for its turns, and one task keeps its time.

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

/// What a batch is told.
#[derive(Debug)]
pub enum Turn {
    /// Send this slice.
    Send(SliceDispatch),
    /// It has ended like this. Nothing further comes.
    Ended(BatchOutcome),
}

struct Shared {
    scheduler: RefCell<BatchScheduler>,
    start: Instant,
    tickets: RefCell<HashMap<BatchId, mpsc::UnboundedSender<Turn>>>,
    /// When the task that keeps the time wakes, and how it is told that this is too late.
    wakes: Cell<Option<Micros>>,
    sooner: Notify,
}

/// All batches of a front. Cheap to clone.
#[derive(Clone)]
pub struct Queue(Rc<Shared>);

impl Queue {
    /// A queue with nothing open. Must be called within a `LocalSet`.
    pub fn new(settings: SchedulerConfig) -> Queue {
        let shared = Rc::new(Shared {
            scheduler: RefCell::new(BatchScheduler::new(settings)),
            start: Instant::now(),
            tickets: RefCell::default(),
            wakes: Cell::default(),
            sooner: Notify::new(),
        });
        let weak = Rc::downgrade(&shared);
        tokio::task::spawn_local(async move {
            while let Some(shared) = weak.upgrade() {
                let wake = shared.scheduler.borrow().next_wake();
                shared.wakes.set(wake);
                let at = wake.map_or(Duration::from_secs(1), |at| {
                    Duration::from_micros(u64::try_from(at - shared.now()).unwrap_or(0))
                });
                let timer = tokio::time::sleep(at);
                tokio::select! {
                    () = timer => {}
                    () = shared.sooner.notified() => {}
                }
                shared.step(|scheduler, now| scheduler.tick(now));
            }
        });
        Queue(shared)
    }

    /// Takes a batch whose client gives up at this instant, unless it has no hope.
    pub fn open(&self, due: Instant, spec: BatchSpec) -> Result<Ticket, Rejection> {
        let due = self.0.at(due);
        let opened = self.0.scheduler.borrow_mut().open(
            self.0.now(),
            BatchSpec {
                deadline: due,
                ..spec
            },
        );
        let id = opened?;
        let (tx, turns) = mpsc::unbounded_channel();
        self.0.tickets.borrow_mut().insert(id, tx);
        self.0.step(|_, _| ());
        Ok(Ticket {
            shared: self.0.clone(),
            id,
            turns,
        })
    }
}

impl Shared {
    fn at(&self, instant: Instant) -> Micros {
        let span = instant.saturating_duration_since(self.start);
        Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
    }

    fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// Takes a step and passes on what comes of it.
    fn step(&self, step: impl FnOnce(&mut BatchScheduler, Micros)) {
        let now = self.now();
        let mut scheduler = self.scheduler.borrow_mut();
        step(&mut scheduler, now);
        let tickets = self.tickets.borrow();
        let tell = |id: BatchId, turn: Turn| tickets.get(&id).is_some_and(|t| t.send(turn).is_ok());
        while let Some((id, outcome)) = scheduler.next_outcome() {
            tell(id, Turn::Ended(outcome));
        }
        while let Some(dispatch) = scheduler.next_dispatch(now) {
            let id = dispatch.batch;
            if !tell(id, Turn::Send(dispatch)) {
                scheduler.close(id);
            }
        }
        let wake = scheduler.next_wake();
        if wake.is_some_and(|at| self.wakes.get().is_none_or(|set| at < set)) {
            self.sooner.notify_one();
        }
    }
}

/// A batch that is open; closed where it is dropped.
pub struct Ticket {
    shared: Rc<Shared>,
    id: BatchId,
    turns: mpsc::UnboundedReceiver<Turn>,
}

impl Ticket {
    /// Waits for what comes next.
    pub async fn turn(&mut self) -> Turn {
        // The queue drops its half only with the ticket.
        self.turns
            .recv()
            .await
            .unwrap_or(Turn::Ended(BatchOutcome::Failed))
    }

    /// The slice that is out has been served.
    pub fn served(&self) {
        self.shared
            .step(|scheduler, now| scheduler.slice_succeeded(now, self.id));
    }

    /// The slice that is out has failed.
    pub fn failed(&self, failure: SliceFailure) {
        self.shared
            .step(|scheduler, now| scheduler.slice_failed(now, self.id, failure));
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.shared.tickets.borrow_mut().remove(&self.id);
        self.shared.step(|scheduler, _| scheduler.close(self.id));
    }
}
