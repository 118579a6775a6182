//! Making a connection: which failures are the server's, and which this machine's for a moment.

use std::future::Future;
use std::io::{self, ErrorKind};
use std::time::Duration;

use tokio::time::{sleep, timeout_at, Instant};

/// After a failure of this machine, the system is asked again so much later.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// No connection could be had in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// The server refused it, or could not be reached in time.
    #[error("the server gives no connection")]
    Server,
    /// This machine had none to give, which says nothing of the server.
    #[error("there is no connection to be had here")]
    Local,
}

/// Whether a failure to connect is this machine's own, and may be over in a moment: descriptors, ports, memory or a route
/// are short, or the call was interrupted.
fn is_local(error: &io::Error) -> bool {
    let out_of_descriptors = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS];
    matches!(
        error.kind(),
        ErrorKind::AddrNotAvailable
            | ErrorKind::AddrInUse
            | ErrorKind::NetworkUnreachable
            | ErrorKind::NetworkDown
            | ErrorKind::OutOfMemory
            | ErrorKind::Interrupted
            | ErrorKind::WouldBlock
    ) || error
        .raw_os_error()
        .is_some_and(|code| out_of_descriptors.contains(&code))
}

/// Connects by `until`. What fails here is tried again until then: guards against failures of a moment that set one
/// server after the other aside, and use up the attempts of a request.
pub async fn dial<T, C: Future<Output = io::Result<T>>>(
    until: Instant,
    connect: impl Fn() -> C,
) -> Result<T, ConnectError> {
    let mut failed_here = false;
    loop {
        match timeout_at(until, connect()).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(error)) if is_local(&error) => {
                tracing::debug!(%error, "this machine has no connection to give: it is asked again");
                failed_here = true;
            }
            Ok(Err(error)) => {
                tracing::debug!(%error, "a server gives no connection");
                return Err(ConnectError::Server);
            }
            Err(_) if failed_here => return Err(ConnectError::Local),
            Err(_) => return Err(ConnectError::Server),
        }
        if timeout_at(until, sleep(RETRY_DELAY)).await.is_err() {
            return Err(ConnectError::Local);
        }
    }
}

#[cfg(test)]
mod tests;
