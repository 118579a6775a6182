//! The turns of client connections on the router's thread.
//!
//! A connection whose client sends at full speed always has something to do. Its task would run again
//! and again before the runtime looks for other events, and many of them would keep all other tasks
//! waiting. After each turn such a connection lets the runtime process other events first, and after
//! a long turn it waits in a queue from which a few connections are taken in each round.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::task::yield_now;

/// Duration of a turn from which it counts as long.
const LONG_TURN: Duration = Duration::from_micros(200);
/// Number of connections that may continue after a long turn in each round of the runtime.
const LONG_TURNS_PER_ROUND: usize = 4;

/// A connection that waits to continue after a long turn.
struct WaitingTurn {
    is_granted: Cell<bool>,
    waker: Waker,
}

/// The queue of the connections that wait to continue after a long turn.
pub(super) struct Turns {
    waiting: RefCell<VecDeque<Rc<WaitingTurn>>>,
    added: Notify,
}

impl Turns {
    /// Creates an empty queue.
    pub(super) fn new() -> Turns {
        Turns {
            waiting: RefCell::default(),
            added: Notify::new(),
        }
    }

    /// Lets the connections in the queue continue, a few in each round. Does not return.
    pub(super) async fn grant(&self) {
        loop {
            if self.grant_round() {
                yield_now().await;
            } else {
                self.added.notified().await;
            }
        }
    }

    fn wait(&self, waker: &Waker) -> Rc<WaitingTurn> {
        let turn = Rc::new(WaitingTurn {
            is_granted: Cell::default(),
            waker: waker.clone(),
        });
        self.waiting.borrow_mut().push_back(turn.clone());
        self.added.notify_one();
        turn
    }

    /// Lets the connections continue that have waited longest. Returns whether others wait.
    fn grant_round(&self) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let count = LONG_TURNS_PER_ROUND.min(waiting.len());
        for turn in waiting.drain(..count) {
            turn.is_granted.set(true);
            turn.waker.wake_by_ref();
        }
        !waiting.is_empty()
    }

    /// Runs the task of a connection turn by turn.
    pub(super) async fn run<Connection: Future + Unpin>(
        &self,
        mut connection: Connection,
    ) -> Connection::Output {
        let turn_waker = Arc::new(TurnWaker::default());
        let waker = Waker::from(turn_waker.clone());
        let mut waiting: Option<Rc<WaitingTurn>> = None;
        poll_fn(|cx| {
            if waiting.as_ref().is_some_and(|turn| !turn.is_granted.get()) {
                return Poll::Pending;
            }
            waiting = None;
            turn_waker.begin(cx.waker());
            let started = Instant::now();
            let polled = Pin::new(&mut connection).poll(&mut Context::from_waker(&waker));
            if turn_waker.end() && polled.is_pending() {
                if started.elapsed() >= LONG_TURN {
                    waiting = Some(self.wait(cx.waker()));
                } else {
                    wake_in_next_round(cx);
                }
            }
            polled
        })
        .await
    }
}

/// Makes the runtime wake the current task after it has processed other events.
fn wake_in_next_round(cx: &mut Context<'_>) {
    // The first poll registers the task's waker, and is always pending.
    let _ = pin!(yield_now()).poll(cx);
}

/// A waker that notices when the future that it belongs to is woken while it is being polled.
#[derive(Default)]
struct TurnWaker {
    is_polling: AtomicBool,
    was_woken: AtomicBool,
    task: Mutex<Option<Waker>>,
}

impl TurnWaker {
    fn begin(&self, task: &Waker) {
        let mut current = self.task.lock().unwrap_or_else(PoisonError::into_inner);
        if !current.as_ref().is_some_and(|waker| waker.will_wake(task)) {
            *current = Some(task.clone());
        }
        self.was_woken.store(false, SeqCst);
        self.is_polling.store(true, SeqCst);
    }

    /// Ends a poll. Returns whether the future was woken during it.
    fn end(&self) -> bool {
        self.is_polling.store(false, SeqCst);
        self.was_woken.swap(false, SeqCst)
    }
}

impl Wake for TurnWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        // Another thread may do this while a poll ends, so the order of these two steps matters.
        self.was_woken.store(true, SeqCst);
        if self.is_polling.load(SeqCst) {
            return;
        }
        let task = self.task.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(task) = task.as_ref() {
            task.wake_by_ref();
        }
    }
}

#[cfg(test)]
mod tests;
