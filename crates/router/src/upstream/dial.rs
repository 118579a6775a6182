//! Establishes connections, and tells failures of the endpoint from a shortage on this machine.

use std::future::Future;
use std::io::{self, ErrorKind};
use std::time::Duration;

use tokio::time::{sleep, timeout_at, Instant};

/// The delay before another attempt to connect after a failure of this machine.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Why there was no connection in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ConnectError {
    /// The endpoint refused it, or could not be reached in time.
    #[error("the endpoint accepted no connection")]
    Endpoint,
    /// This machine could not open one, which is no sign of a fault of the endpoint.
    #[error("this machine could not open a connection")]
    LocalResources,
}

/// Whether a failure to connect is this machine's own, and may be over in a moment: descriptors,
/// ports, memory or a route are missing, or the call was interrupted.
fn is_local(error: &io::Error) -> bool {
    const OUT_OF_DESCRIPTORS_OR_BUFFERS: [i32; 3] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS];
    let is_local_kind = matches!(
        error.kind(),
        ErrorKind::AddrNotAvailable
            | ErrorKind::AddrInUse
            | ErrorKind::NetworkUnreachable
            | ErrorKind::NetworkDown
            | ErrorKind::OutOfMemory
            | ErrorKind::Interrupted
            | ErrorKind::WouldBlock
    );
    is_local_kind
        || error
            .raw_os_error()
            .is_some_and(|code| OUT_OF_DESCRIPTORS_OR_BUFFERS.contains(&code))
}

/// Connects by `until`. Failures of this machine are retried until then: counted against endpoints,
/// a short one would eject them one after the other and use up the attempts of requests.
pub(crate) async fn dial<T, C: Future<Output = io::Result<T>>>(
    until: Instant,
    connect: impl Fn() -> C,
) -> Result<T, ConnectError> {
    let mut failed_locally = false;
    loop {
        match timeout_at(until, connect()).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(error)) if is_local(&error) => {
                tracing::debug!(%error, "connect failed on this machine, retrying");
                failed_locally = true;
            }
            Ok(Err(error)) => {
                tracing::debug!(%error, "connect failed at the endpoint");
                return Err(ConnectError::Endpoint);
            }
            Err(_) if failed_locally => return Err(ConnectError::LocalResources),
            Err(_) => return Err(ConnectError::Endpoint),
        }
        if timeout_at(until, sleep(RETRY_DELAY)).await.is_err() {
            return Err(ConnectError::LocalResources);
        }
    }
}

#[cfg(test)]
mod tests;
