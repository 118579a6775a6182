//! The signals that the program handles.

use tokio::signal::unix::{signal, Signal, SignalKind};

/// Handlers of the signals. They are installed before anything else: until then a signal ends the
/// program at once, and one that arrives while the configuration is read must not be missed.
pub struct Signals {
    /// SIGHUP: the configuration is to be read again.
    pub hangup: Signal,
    /// SIGTERM or SIGINT: the program is to end.
    pub termination: Termination,
}

/// The signals that ask the program to end. After the first one, further ones change nothing.
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
