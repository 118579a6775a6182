//! Graceful shutdown: the router accepts connections for a short time after the signal, then closes
//! idle connections, and ends once all accepted requests have their final response.

use std::future::Future;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::tasks::TaskGroup;

/// Time for which connections and requests are accepted after the router has noticed the signal.
/// Whoever directs clients to this router needs that time to notice the shutdown.
pub const ACCEPT_WINDOW: Duration = LATEST_ACCEPT.saturating_sub(MAX_SIGNAL_DELAY);
/// Latest time after the signal at which a request may be accepted. Whoever ends the program waits
/// for its response to begin from then on.
const LATEST_ACCEPT: Duration = Duration::from_millis(700);
/// Longest time after which a router that the system holds up notices the signal.
const MAX_SIGNAL_DELAY: Duration = Duration::from_millis(150);
/// Longest time to the beginning of a response that the schedule allows for. Whoever ends the
/// program does not wait for a response that may take longer to begin.
const MAX_RESPONSE_WAIT: Duration = Duration::from_millis(3_000);
/// Time by which all responses are due before the client of the last accepted request stops
/// waiting, if that client waits for as long as the schedule allows for.
const SAFETY_MARGIN: Duration = Duration::from_millis(400);
/// Time, before the last response is due, during which streams are migrated, a few at a time.
const MIGRATION_DURATION: Duration = Duration::from_millis(1_000);

/// The phases of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No shutdown has started.
    Serving,
    /// The signal has arrived. Connections and requests are still accepted, and each response asks
    /// the client to close the connection.
    Draining {
        /// The end of the accept window.
        accept_until: Instant,
    },
    /// No connections or requests are accepted any more, and accepted requests are finished.
    Finishing,
}

impl Phase {
    /// Returns whether the shutdown has started.
    pub fn is_shutting_down(self) -> bool {
        self > Phase::Serving
    }

    /// Returns whether a request is accepted whose last byte the router reads at `now`.
    fn accepts_requests(self, now: Instant) -> bool {
        match self {
            Phase::Serving => true,
            // The tasks that became ready while the router was held up run in any order, so the
            // window may have ended although the phase has not changed yet.
            Phase::Draining { accept_until } => now < accept_until,
            Phase::Finishing => false,
        }
    }
}

/// The times of a shutdown's steps, counted from the signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Time after which streams may be migrated. Most streams end by themselves before that, which
    /// avoids processing their prompts again.
    pub migrate_after: Duration,
    /// Time within which all requests must have their response.
    pub respond_within: Duration,
}

impl ShutdownSchedule {
    /// Creates a schedule for requests with these deadlines. A class without a deadline, and no
    /// class at all, count as one with the longest deadline that the schedule allows for.
    pub fn for_deadlines(deadlines: impl Iterator<Item = Option<Duration>>) -> ShutdownSchedule {
        let response_wait = deadlines
            .map(|deadline| deadline.unwrap_or(MAX_RESPONSE_WAIT))
            .max()
            .unwrap_or(MAX_RESPONSE_WAIT)
            .min(MAX_RESPONSE_WAIT);
        let respond_within = response_wait + LATEST_ACCEPT - SAFETY_MARGIN;
        ShutdownSchedule {
            migrate_after: respond_within
                .saturating_sub(MIGRATION_DURATION)
                .max(ACCEPT_WINDOW),
            respond_within,
        }
    }
}

/// Starts a task of the group that goes through the phases once `signal` completes. Returns a
/// receiver of the current phase.
pub fn start_phases(
    signal: impl Future<Output = ()> + 'static,
    tasks: &TaskGroup,
) -> watch::Receiver<Phase> {
    let (sender, receiver) = watch::channel(Phase::Serving);
    tasks.spawn(async move {
        signal.await;
        tracing::info!("shutdown started, finishing accepted requests");
        let accept_until = Instant::now() + ACCEPT_WINDOW;
        sender.send_replace(Phase::Draining { accept_until });
        tokio::time::sleep_until(accept_until).await;
        sender.send_replace(Phase::Finishing);
        // The sender is kept until the last receiver is dropped, so that the phase stays
        // observable.
        sender.closed().await;
    });
    receiver
}

/// Waits until the shutdown has started.
pub async fn started(mut phase: watch::Receiver<Phase>) {
    let _ = phase.wait_for(|current| current.is_shutting_down()).await;
}

/// Waits until the accept window of the shutdown has ended.
pub async fn accept_window_ended(mut phase: watch::Receiver<Phase>) {
    let _ = phase.wait_for(|current| *current == Phase::Finishing).await;
}

/// Receives the rest of a request. Returns `None` if the accept window of the shutdown ends before
/// the request is complete: it must not be accepted then, as its response might take longer than
/// whoever ends the program waits.
pub async fn receive_in_accept_window<T>(
    phase: watch::Receiver<Phase>,
    receiving: impl Future<Output = T>,
) -> Option<T> {
    let received = tokio::select! {
        biased;
        () = accept_window_ended(phase.clone()) => return None,
        received = receiving => received,
    };
    let is_accepted = phase.borrow().accepts_requests(Instant::now());
    is_accepted.then_some(received)
}
