//! Graceful shutdown: connections are accepted for a span after the signal, then idle ones are
//! closed, and the router ends once all accepted requests have their final response.

use std::future::Future;
use std::time::Duration;

use tokio::sync::watch;

use crate::tasks::TaskGroup;

/// For how long connections are accepted after the signal: whoever directs clients to this router
/// needs to notice that it shuts down.
pub const ACCEPT_SPAN: Duration = Duration::from_millis(700);
/// A request whose response may take longer than this to begin is not waited for by whoever ends
/// the program.
const RESPONSE_WAIT_MAX: Duration = Duration::from_millis(3_000);
/// By how much sooner all requests must have their response.
const SAFETY_MARGIN: Duration = Duration::from_millis(400);
/// For how long before that streams are migrated, a few at a time.
const MIGRATION_SPAN: Duration = Duration::from_millis(1_000);

/// How far the shutdown has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// There is no shutdown.
    Serving,
    /// The signal has arrived: connections are still accepted, and each response asks its client to
    /// close the connection.
    Draining,
    /// No connections are accepted; requests that have been accepted are finished.
    Finishing,
}

/// When things happen after the signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// After this span streams may be migrated. Most end by themselves before that, which avoids
    /// processing their prompts again.
    pub migrate_after: Duration,
    /// Within this span all requests must have their response.
    pub answer_within: Duration,
}

impl ShutdownSchedule {
    /// The schedule where a client waits for this long at the most.
    pub fn for_longest_deadline(longest_deadline: Duration) -> ShutdownSchedule {
        let answer_within = longest_deadline.min(RESPONSE_WAIT_MAX) + ACCEPT_SPAN - SAFETY_MARGIN;
        ShutdownSchedule {
            migrate_after: answer_within
                .saturating_sub(MIGRATION_SPAN)
                .max(ACCEPT_SPAN),
            answer_within,
        }
    }
}

/// Runs through the phases in a task of the group, from when `signal` completes; returns where the
/// phase can be observed.
pub fn start_phases(
    signal: impl Future<Output = ()> + 'static,
    tasks: &TaskGroup,
) -> watch::Receiver<Phase> {
    let (sender, receiver) = watch::channel(Phase::Serving);
    tasks.spawn(async move {
        signal.await;
        tracing::info!("shutdown started, finishing accepted requests");
        sender.send_replace(Phase::Draining);
        tokio::time::sleep(ACCEPT_SPAN).await;
        sender.send_replace(Phase::Finishing);
        // Observers see the last phase for as long as they look.
        sender.closed().await;
    });
    receiver
}

/// Waits until a phase has been reached.
pub async fn reached(mut phase: watch::Receiver<Phase>, wanted: Phase) {
    let _ = phase.wait_for(|current| *current >= wanted).await;
}
