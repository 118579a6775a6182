//! The pool of connections to endpoints: their number is bounded, and idle ones are used again.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cranetack_routing_policy::EndpointId;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{timeout_at, Instant};

use super::connection::PooledConnection;
use super::dial::{dial, ConnectError};
use crate::core::Endpoint;

/// The most idle connections to an endpoint: each holds a descriptor and buffers.
const IDLE_LIMIT: usize = 4;
/// For how long a connection is idle before it is used again: a faulty endpoint may send a second
/// response some milliseconds after the first, which the next request would be given.
const REUSE_DELAY: Duration = Duration::from_millis(30);

struct IdleConnection {
    connection: PooledConnection,
    since: Instant,
}

/// The connections to all endpoints.
pub(crate) struct ConnectionPool {
    /// Idle connections, those that have been idle for longest first.
    idle: RefCell<HashMap<EndpointId, Vec<IdleConnection>>>,
    next_number: Cell<u64>,
    permits: Arc<Semaphore>,
    connect_timeout: Duration,
    idle_timeout: Duration,
}

impl ConnectionPool {
    /// A pool of at most `limit` connections. An idle one is closed after a part of the span after
    /// which endpoints close it.
    pub(crate) fn new(
        limit: usize,
        connect_timeout: Duration,
        server_idle_timeout: Duration,
    ) -> ConnectionPool {
        ConnectionPool {
            idle: RefCell::default(),
            next_number: Cell::default(),
            permits: Arc::new(Semaphore::new(limit)),
            connect_timeout,
            idle_timeout: server_idle_timeout / 2,
        }
    }

    /// A connection to the endpoint that is ready for a request, by this instant: an idle one if
    /// there is one.
    pub(crate) async fn acquire(
        &self,
        endpoint: &Endpoint,
        until: Instant,
    ) -> Result<PooledConnection, ConnectError> {
        match self.acquire_idle(endpoint) {
            Some(connection) => Ok(connection),
            None => self.connect(endpoint, until).await,
        }
    }

    /// An idle connection, of those that may be used again the one last used. Connections to a
    /// former address of the endpoint are closed: the machine there may have vanished unnoticed.
    fn acquire_idle(&self, endpoint: &Endpoint) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let candidates = idle.get_mut(&endpoint.id)?;
        candidates.retain(|idle| idle.connection.address() == endpoint.address());
        while let Some(last_used) = candidates
            .iter()
            .rposition(|idle| idle.since.elapsed() >= REUSE_DELAY)
        {
            let IdleConnection {
                mut connection,
                since,
            } = candidates.remove(last_used);
            if since.elapsed() < self.idle_timeout && connection.is_reusable() {
                connection.mark_reused(since.elapsed());
                return Some(connection);
            }
        }
        None
    }

    /// A new connection to the endpoint, by this instant.
    pub(crate) async fn connect(
        &self,
        endpoint: &Endpoint,
        until: Instant,
    ) -> Result<PooledConnection, ConnectError> {
        let until = until.min(Instant::now() + self.connect_timeout);
        if self.permits.available_permits() == 0 {
            self.evict_longest_idle();
        }
        let permit = timeout_at(until, self.permits.clone().acquire_owned())
            .await
            .ok()
            .and_then(Result::ok)
            .ok_or(ConnectError::LocalResources)?;
        let address = endpoint.address();
        let stream = dial(until, || TcpStream::connect(address)).await?;
        // Without it small requests are delayed, but they arrive.
        let _ = stream.set_nodelay(true);
        let number = self.next_number.replace(self.next_number.get() + 1);
        PooledConnection::start(number, endpoint, address, stream, permit)
            .await
            .map_err(|_| ConnectError::Endpoint)
    }

    /// Takes a connection back whose request has been answered completely. It is closed unless
    /// another request can follow on it.
    pub(crate) async fn release(&self, mut connection: PooledConnection) {
        if !connection.settle().await {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.endpoint()).or_default();
        // The one last used is taken first, so those that have been idle for longest are of no use.
        if connections.len() == IDLE_LIMIT {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            since: Instant::now(),
        });
    }

    /// Closes the idle connections to an endpoint.
    pub(crate) fn close_idle(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
    }

    /// Closes idle connections that have expired or have been closed by their endpoints.
    pub(crate) fn close_expired(&self) {
        let usable = |idle: &IdleConnection| {
            idle.since.elapsed() < self.idle_timeout && !idle.connection.is_closed()
        };
        // Endpoints come and go: one without an idle connection has no entry.
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(usable);
            !connections.is_empty()
        });
    }

    /// Closes the connection that has been idle for longest.
    fn evict_longest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .values_mut()
            .filter(|connections| !connections.is_empty())
            .min_by_key(|connections| connections[0].since);
        if let Some(connections) = oldest {
            connections.remove(0);
        }
    }

    /// The number of endpoints that have an entry.
    #[cfg(test)]
    pub(crate) fn known_endpoints(&self) -> usize {
        self.idle.borrow().len()
    }

    /// How many more connections there may be.
    #[cfg(test)]
    pub(crate) fn available_permits(&self) -> usize {
        self.permits.available_permits()
    }
}

#[cfg(test)]
mod tests;
