//! Handling of the signals that reload the configuration or end the program.

use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals that the program handles. Their handlers must be installed before anything else is
/// done: until then a signal ends the program at once, and a signal that arrives while the
/// configuration is being read must not be missed.
pub struct Signals {
    /// The stream of SIGHUP, which asks the program to read its configuration again.
    pub hangup: Signal,
    /// The stream of SIGTERM and SIGINT, which ask the program to end.
    pub termination: Termination,
}

/// The signals that ask the program to end. After the first one, further ones have no effect.
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
