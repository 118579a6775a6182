//! The pool of connections to endpoints. It limits their number and reuses idle connections.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cranetack_routing_policy::EndpointId;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout_at, Instant};

use super::connection::{ConnectionResources, PooledConnection};
use super::dial::{dial, ConnectError};
use crate::core::Endpoint;
use crate::memory::{MemoryLedger, MemoryReservation, Purpose};

/// Maximum number of idle connections per endpoint. Each holds a file descriptor and buffers.
const MAX_IDLE_PER_ENDPOINT: usize = 4;
/// Minimum idle time before a connection is reused. A faulty endpoint may send a second response
/// some milliseconds after the first, and it would be taken for the response to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(30);

/// Memory of a connection, in bytes: the buffers of the HTTP library, and the tasks of the connection
/// and its attempt.
pub(crate) const CONNECTION_BYTES: usize = 25 * 1024;
/// Delay before memory for a connection is asked for again.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(5);

struct IdleConnection {
    connection: PooledConnection,
    /// When the connection was returned to the pool.
    since: Instant,
}

/// The connections to all endpoints.
pub(crate) struct ConnectionPool {
    /// Idle connections by endpoint; those that have been idle longest come first.
    idle: RefCell<HashMap<EndpointId, Vec<IdleConnection>>>,
    /// Number of the next connection; numbers identify connections in the log.
    next_number: Cell<u64>,
    /// Holds a permit for each connection that may still be opened.
    permits: Arc<Semaphore>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    memory: MemoryLedger,
}

impl ConnectionPool {
    /// Creates a pool of at most `limit` connections. An idle connection is closed after half of
    /// the idle time after which endpoints close it.
    pub(crate) fn new(
        limit: usize,
        connect_timeout: Duration,
        endpoint_idle_timeout: Duration,
        memory: MemoryLedger,
    ) -> ConnectionPool {
        ConnectionPool {
            idle: RefCell::default(),
            next_number: Cell::default(),
            permits: Arc::new(Semaphore::new(limit)),
            connect_timeout,
            idle_timeout: endpoint_idle_timeout / 2,
            memory,
        }
    }

    /// Returns a connection to the endpoint that is ready for a request: an idle one if possible,
    /// otherwise a new one that is established by `deadline`.
    pub(crate) async fn acquire(
        &self,
        endpoint: &Endpoint,
        deadline: Instant,
    ) -> Result<PooledConnection, ConnectError> {
        match self.acquire_idle(endpoint) {
            Some(connection) => Ok(connection),
            None => self.connect(endpoint, deadline).await,
        }
    }

    /// Takes the most recently used of the idle connections that may be reused. Connections to a
    /// former address of the endpoint are closed: the machine there may have vanished without
    /// closing them.
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

    /// Opens a new connection to the endpoint. It must be established by `deadline` and within the
    /// connect timeout.
    pub(crate) async fn connect(
        &self,
        endpoint: &Endpoint,
        deadline: Instant,
    ) -> Result<PooledConnection, ConnectError> {
        let deadline = deadline.min(Instant::now() + self.connect_timeout);
        let resources = timeout_at(deadline, self.acquire_resources())
            .await
            .map_err(|_| ConnectError::LocalResources)?;
        let address = endpoint.address();
        let stream = dial(deadline, || TcpStream::connect(address)).await?;
        // The result is ignored: without TCP_NODELAY small requests are delayed, but still arrive.
        let _ = stream.set_nodelay(true);
        let number = self.next_number.replace(self.next_number.get() + 1);
        PooledConnection::start(number, endpoint, address, stream, resources)
            .await
            .map_err(|_| ConnectError::Endpoint)
    }

    /// Waits for what a new connection needs. Idle connections are closed if they hold it.
    async fn acquire_resources(&self) -> ConnectionResources {
        loop {
            if self.permits.available_permits() == 0 {
                self.evict_longest_idle();
            }
            let memory = self.acquire_memory().await;
            // The semaphore is never closed.
            if let Ok(permit) = self.permits.clone().acquire_owned().await {
                return ConnectionResources::new(permit, memory);
            }
        }
    }

    async fn acquire_memory(&self) -> MemoryReservation {
        loop {
            // A failed reservation closes an idle connection.
            for _ in 0..2 {
                if let Some(memory) = self.memory.reserve(Purpose::Fixed, CONNECTION_BYTES) {
                    return memory;
                }
            }
            sleep(MEMORY_RETRY_DELAY).await;
        }
    }

    /// Returns a connection to the pool after a complete response. The connection is closed if it
    /// cannot take another request.
    pub(crate) async fn release(&self, mut connection: PooledConnection) {
        if !connection.wait_ready().await {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.endpoint()).or_default();
        // The most recently used connection is reused first, so the one that has been idle longest
        // is the least useful.
        if connections.len() == MAX_IDLE_PER_ENDPOINT {
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
        // Entries without an idle connection are removed, or those of removed endpoints would
        // accumulate.
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(usable);
            !connections.is_empty()
        });
    }

    /// Closes the connection that has been idle longest.
    pub(super) fn evict_longest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .values_mut()
            .filter(|connections| !connections.is_empty())
            .min_by_key(|connections| connections[0].since);
        if let Some(connections) = oldest {
            connections.remove(0);
        }
    }

    /// Returns the number of endpoints that have an entry.
    #[cfg(test)]
    pub(crate) fn known_endpoints(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Returns how many more connections the limit allows.
    #[cfg(test)]
    pub(crate) fn available_permits(&self) -> usize {
        self.permits.available_permits()
    }
}

#[cfg(test)]
mod tests;
