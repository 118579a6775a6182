//! Establishes connections, and distinguishes failures of the endpoint from failures of this
//! machine, such as a lack of ports.

use std::future::Future;
use std::io::{self, ErrorKind};
use std::time::Duration;

use tokio::time::{sleep, timeout_at, Instant};

/// Delay before connecting is retried after a failure of this machine.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Why no connection was established in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ConnectError {
    /// The endpoint refused the connection, or could not be reached in time.
    #[error("the endpoint refused the connection or did not accept it in time")]
    Endpoint,
    /// This machine could not open a connection, which does not indicate a fault of the endpoint.
    #[error("this machine could not open a connection in time")]
    LocalResources,
}

/// Whether a failure to connect was caused by this machine and may be transient: a lack of file
/// descriptors, ports or memory, no route, or an interrupted call.
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

/// Connects by `deadline`, and retries failures of this machine until then. If these counted
/// against endpoints, a short failure would eject one endpoint after the other and use up the
/// attempts of requests.
pub(crate) async fn dial<T, C: Future<Output = io::Result<T>>>(
    deadline: Instant,
    connect: impl Fn() -> C,
) -> Result<T, ConnectError> {
    let mut failed_locally = false;
    loop {
        match timeout_at(deadline, connect()).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(error)) if is_local(&error) => {
                tracing::debug!(%error, "connecting failed because of this machine, retrying");
                failed_locally = true;
            }
            Ok(Err(error)) => {
                tracing::debug!(%error, "connecting failed because of the endpoint");
                return Err(ConnectError::Endpoint);
            }
            Err(_) if failed_locally => return Err(ConnectError::LocalResources),
            Err(_) => return Err(ConnectError::Endpoint),
        }
        if timeout_at(deadline, sleep(RETRY_DELAY)).await.is_err() {
            return Err(ConnectError::LocalResources);
        }
    }
}

#[cfg(test)]
mod tests;
