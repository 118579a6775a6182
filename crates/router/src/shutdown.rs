//! Signals, and the end of the program: on SIGTERM new connections are taken for a span, then kept ones are closed
//! between requests, and the program ends when all that it has taken is answered.

use std::time::Duration;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;

/// For how long connections are accepted after the signal: those that send them here need to notice.
pub const ACCEPT_FOR: Duration = Duration::from_millis(700);
/// What takes longer than this to begin is not waited for by those who end the program ...
const WAITED_FOR: Duration = Duration::from_millis(3_000);
/// ... and by so much sooner all must be answered.
const MARGIN: Duration = Duration::from_millis(400);
/// For how long before that streams are moved, a few at a time.
const MOVING: Duration = Duration::from_millis(1_000);

/// How far the end has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// All is served.
    Serving,
    /// The signal has come: still accepting, and each answer asks for its connection to be closed.
    Leaving,
    /// Nothing new is accepted; what has been taken is finished.
    Finishing,
}

/// When streams may be moved from after the signal, and by when all must be answered, where a client waits for so
/// long at the most. Most streams end by themselves before they need to be moved, which costs a read of all again.
pub fn moved_and_answered(longest: Duration) -> (Duration, Duration) {
    let answered = longest.min(WAITED_FOR) + ACCEPT_FOR - MARGIN;
    (answered.saturating_sub(MOVING).max(ACCEPT_FOR), answered)
}

/// Starts the phases and returns where they can be seen. `signal` completes when the end is wanted.
pub fn phases(signal: impl std::future::Future<Output = ()> + 'static) -> watch::Receiver<Phase> {
    let (tx, rx) = watch::channel(Phase::Serving);
    tokio::task::spawn_local(async move {
        signal.await;
        tracing::info!("leaving: what has been taken is finished");
        tx.send_replace(Phase::Leaving);
        tokio::time::sleep(ACCEPT_FOR).await;
        tx.send_replace(Phase::Finishing);
        tx.closed().await;
    });
    rx
}

/// Waits until a phase has been reached.
pub async fn reached(mut phase: watch::Receiver<Phase>, wanted: Phase) {
    let _ = phase.wait_for(|p| *p >= wanted).await;
}

/// The signals that the program heeds. To be installed before anything else: until then a signal ends the program at
/// once, as the system does by default, and one that comes while the files are read must not be missed.
pub struct Signals {
    /// SIGHUP: the configuration is to be read again.
    pub hangup: Signal,
    /// SIGTERM or SIGINT: the program is to end.
    pub termination: Termination,
}

/// The signals by which the program is asked to end. Once it has been, further ones change nothing.
pub struct Termination {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers. Must be called within a runtime.
    pub fn install() -> std::io::Result<Signals> {
        let termination = Termination {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        };
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            termination,
        })
    }
}

impl Termination {
    /// Waits until the program is asked to end.
    pub async fn requested(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
