//! Accepts the connections of a listener, and serves a [`Frontend`] on each of them.

use std::future::Future;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::connection_server::serve_connection;
use super::connections::{ClientConnection, ConnectionLimiter};
use super::turns::Turns;
use super::{ClientLimits, Frontend};
use crate::shutdown::{self, Phase};

/// Interval between two checks for connections that have exceeded a timeout.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before the next attempt to accept a connection after a failure, such as a temporary lack
/// of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of connections without a permit that are served at once after the accept window.
/// Each uses one of the file descriptors that are reserved for other purposes.
const MAX_CONNECTIONS_WITHOUT_PERMIT: usize = 4;
/// Maximum time for which connections are taken from the accept queue after the accept window.
const ACCEPT_QUEUE_TIMEOUT: Duration = Duration::from_millis(500);

/// Accepts connections until `phase` is [`Phase::Finishing`], and returns when all requests that
/// arrived on them have been answered.
pub async fn serve<F: Frontend>(
    listener: TcpListener,
    frontend: F,
    limiter: &Rc<ConnectionLimiter>,
    phase: watch::Receiver<Phase>,
) {
    let turns = Rc::new(Turns::new());
    tokio::select! {
        () = accept_until_finishing(listener, frontend, limiter, phase, &turns) => {}
        () = close_expired_connections(limiter) => {}
        () = turns.grant() => {}
    }
}

async fn accept_until_finishing<F: Frontend>(
    listener: TcpListener,
    frontend: F,
    limiter: &Rc<ConnectionLimiter>,
    phase: watch::Receiver<Phase>,
    turns: &Rc<Turns>,
) {
    let serve = |stream, connection| {
        let serving = serve_connection(stream, connection, frontend.clone(), phase.clone());
        // Boxed, as the task would hold it twice.
        let serving = Box::pin(serving);
        let turns = turns.clone();
        async move { turns.run(serving).await }
    };
    let limits = frontend.limits();
    let mut connections = JoinSet::new();
    loop {
        let (stream, connection) = tokio::select! {
            biased;
            () = shutdown::accept_window_ended(phase.clone()) => break,
            accepted = accept(&listener, limiter, limits) => accepted,
        };
        while connections.try_join_next().is_some() {}
        connections.spawn_local(serve(stream, connection));
    }
    reject_queued(listener, |stream| {
        serve(stream, limiter.register(None, limits))
    })
    .await;
    while connections.join_next().await.is_some() {}
}

/// Serves the connections that are in the operating system's accept queue at the end of the accept
/// window, and closes the listener. If the listener were closed before, they would be reset,
/// although requests may have arrived on them. They have no permits: those of a router whose
/// connections are all in use become free too late.
async fn reject_queued<Serving: Future<Output = ()> + 'static>(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> Serving,
) {
    // The runtime's listener may not have been told yet that connections are in the queue.
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            tracing::warn!(%error, "could not read the accept queue, connections in it are reset");
            return;
        }
    };
    let mut connections = JoinSet::new();
    let accepting = async {
        while let Some(stream) = accept_queued(|| accept_now(&listener)).await {
            if connections.len() >= MAX_CONNECTIONS_WITHOUT_PERMIT {
                connections.join_next().await;
            }
            connections.spawn_local(serve(stream));
        }
    };
    // New connections that arrive all the time must not keep the listener open.
    let _ = timeout(ACCEPT_QUEUE_TIMEOUT, accepting).await;
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Accepts a connection that is in the accept queue, without waiting for one.
fn accept_now(listener: &std::net::TcpListener) -> io::Result<TcpStream> {
    let (stream, _) = listener.accept()?;
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

/// Calls `accept` until it returns a connection. Returns `None` if the accept queue is empty.
async fn accept_queued<Stream>(accept: impl Fn() -> io::Result<Stream>) -> Option<Stream> {
    loop {
        match accept() {
            Ok(stream) => return Some(stream),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
            Err(error) => wait_before_retry(error).await,
        }
    }
}

async fn close_expired_connections(limiter: &ConnectionLimiter) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        limiter.close_expired();
    }
}

/// Waits for a permit and accepts the next connection. Until there is a permit, clients wait in the
/// operating system's accept queue. A permit to serve requests replaces one to reject them if it
/// becomes available before a connection arrives. No failure stops the listener, not even a lack of
/// file descriptors.
async fn accept(
    listener: &TcpListener,
    limiter: &Rc<ConnectionLimiter>,
    limits: ClientLimits,
) -> (TcpStream, ClientConnection) {
    let mut permit = limiter.acquire().await;
    if permit.is_rejecting {
        tokio::select! {
            biased;
            stream = accept_next(listener) => return (stream, limiter.register(Some(permit), limits)),
            serving = limiter.acquire_serving() => permit = serving,
        }
    }
    let stream = accept_next(listener).await;
    (stream, limiter.register(Some(permit), limits))
}

async fn accept_next(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => wait_before_retry(error).await,
        }
    }
}

/// Logs why a connection could not be accepted, and waits until the next attempt is worthwhile.
async fn wait_before_retry(error: io::Error) {
    match error.kind() {
        // The client has already closed this connection. The next one may be waiting, so it is
        // accepted without a delay.
        ErrorKind::ConnectionAborted | ErrorKind::Interrupted => {
            tracing::debug!(%error, "client connection closed before it was accepted");
        }
        _ => {
            tracing::warn!(%error, "could not accept a client connection, will retry");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
        }
    }
}

#[cfg(test)]
mod tests;
