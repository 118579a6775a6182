//! The client connections of a frontend: their number is limited, and idle ones are closed when new
//! connections need their permits.
//!
//! A [`ClientConnection`] holds one permit of the [`ConnectionLimiter`] until it is dropped. Its
//! [`RequestTracker`] records that a request is being answered, until the [`RequestGuard`] of the
//! request is dropped.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::pending;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep_until, timeout, Instant};

use super::client_stream::{ReadAhead, TrackedStream};
use super::connection_state::{Activity, ClientLimits, ConnectionState, CONNECTION_BYTES};
use super::pipeline::{Admission, Pipeline};
use crate::closing::{discard_received, shut_down_and_discard};
use crate::memory::{MemoryLedger, MemoryReservation, Purpose, Reclaim};
use crate::socket::Socket;
use crate::write_window::WriteWindow;

/// Interval between two evictions while a new connection waits for a permit.
const EVICTION_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time for which the router waits for a client to close its side of a connection, after
/// the router has closed its own.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a new connection waits for a permit while all others are answering requests. Its
/// request, if there is one, has not been read meanwhile, and its deadline is running.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(100);
/// Maximum number of connections that are accepted without a permit, to reject their requests. They
/// use file descriptors that are reserved for other purposes.
const MAX_REJECTING_CONNECTIONS: usize = 8;

/// Memory of a request beside its head and body, in bytes: its tasks, and its records in the core and
/// the policy.
const REQUEST_BYTES: usize = 4 * 1024;

/// The registry of the client connections of all frontends, which limits their number.
pub struct ConnectionLimiter {
    permits: Arc<Semaphore>,
    rejecting_permits: Arc<Semaphore>,
    /// Since when new connections have waited for a permit in vain.
    exhausted_since: Cell<Option<Instant>>,
    memory: MemoryLedger,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    next_connection_id: Cell<u64>,
}

impl ConnectionLimiter {
    /// Memory of a connection with a request whose head and body are small, in bytes.
    pub(crate) const BYTES_PER_REQUEST: usize = CONNECTION_BYTES + REQUEST_BYTES;

    /// Creates a limiter that permits at most `connection_limit` connections, whose memory is
    /// reserved in `memory`.
    pub fn new(connection_limit: usize, memory: MemoryLedger) -> Rc<ConnectionLimiter> {
        let limiter = Rc::new(ConnectionLimiter {
            permits: Arc::new(Semaphore::new(connection_limit)),
            rejecting_permits: Arc::new(Semaphore::new(MAX_REJECTING_CONNECTIONS)),
            exhausted_since: Cell::default(),
            memory,
            connections: RefCell::default(),
            next_connection_id: Cell::default(),
        });
        let reclaimer = Rc::downgrade(&(limiter.clone() as Rc<dyn Reclaim>));
        limiter.memory.add_reclaimer(reclaimer);
        limiter
    }

    /// Waits for a permit for a new connection. If none has become available for
    /// [`MAX_PERMIT_WAIT`], the connection may get a permit to reject its requests.
    pub(crate) async fn acquire(&self) -> ConnectionPermit {
        tokio::select! {
            biased;
            permit = self.acquire_serving() => permit,
            permit = self.acquire_rejecting() => permit,
        }
    }

    /// Waits for a permit to serve requests. While none is available, the connection that has been
    /// idle for longest is evicted at each [`EVICTION_INTERVAL`], so that clients that send nothing
    /// cannot hold the permits that others need.
    pub(crate) async fn acquire_serving(&self) -> ConnectionPermit {
        loop {
            if self.permits.available_permits() == 0 {
                self.evict_longest_idle();
            }
            let permit = self.permits.clone().acquire_owned();
            if let Ok(Ok(permit)) = timeout(EVICTION_INTERVAL, permit).await {
                self.exhausted_since.set(None);
                return ConnectionPermit {
                    _permit: permit,
                    is_rejecting: false,
                };
            }
        }
    }

    async fn acquire_rejecting(&self) -> ConnectionPermit {
        let exhausted_since = self.exhausted_since.get().unwrap_or_else(Instant::now);
        self.exhausted_since.set(Some(exhausted_since));
        sleep_until(exhausted_since + MAX_PERMIT_WAIT).await;
        match self.rejecting_permits.clone().acquire_owned().await {
            Ok(permit) => ConnectionPermit {
                _permit: permit,
                is_rejecting: true,
            },
            Err(_) => pending().await,
        }
    }

    /// Registers a connection that has just been accepted.
    pub(crate) fn register(
        self: &Rc<Self>,
        permit: Option<ConnectionPermit>,
        limits: ClientLimits,
    ) -> ClientConnection {
        let connection_id = self
            .next_connection_id
            .replace(self.next_connection_id.get() + 1);
        let state = ConnectionState::new(limits, &self.memory);
        let has_memory = state.reserve_connection();
        let is_rejecting = !has_memory || permit.as_ref().is_some_and(|permit| permit.is_rejecting);
        let state = Rc::new(state);
        self.connections
            .borrow_mut()
            .insert(connection_id, state.clone());
        ClientConnection {
            limiter: self.clone(),
            connection_id,
            state,
            is_rejecting,
            _permit: permit,
        }
    }

    /// Requests the close of all connections that have exceeded a timeout.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        for state in self.connections.borrow().values() {
            if state.expires_at().is_some_and(|at| at <= now) {
                state.request_close();
            }
        }
    }

    fn evict_longest_idle(&self) {
        let now = Instant::now();
        let connections = self.connections.borrow();
        let idle = connections
            .values()
            .filter_map(|state| Some((state.eviction_idle_time(now)?, state)));
        if let Some((_, state)) = idle.max_by_key(|(idle, _)| *idle) {
            state.request_close();
        }
    }
}

impl Reclaim for ConnectionLimiter {
    fn reclaim(&self) {
        self.evict_longest_idle();
    }
}

/// The permit of a client connection, which is returned when this is dropped.
pub(crate) struct ConnectionPermit {
    _permit: OwnedSemaphorePermit,
    /// Whether the connection's requests are rejected, as all permits to serve requests are in use.
    pub(crate) is_rejecting: bool,
}

/// The permit and the state of a client connection. Dropping it releases both.
pub(crate) struct ClientConnection {
    limiter: Rc<ConnectionLimiter>,
    connection_id: u64,
    state: Rc<ConnectionState>,
    /// Whether the connection's requests are rejected, as too many connections are in use.
    is_rejecting: bool,
    _permit: Option<ConnectionPermit>,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.limiter
            .connections
            .borrow_mut()
            .remove(&self.connection_id);
    }
}

impl ClientConnection {
    /// Wraps the connection's stream. The HTTP library uses the [`TrackedStream`], and the
    /// [`ReadAhead`] detects a client's disconnect while the library does not read.
    pub(crate) fn track(&self, stream: Rc<RefCell<Socket>>) -> (TrackedStream, ReadAhead) {
        let read_ahead = ReadAhead::new(stream.clone(), self.state.clone());
        (TrackedStream::new(stream, self.state.clone()), read_ahead)
    }

    /// Closes the connection after reading what the client has sent. If unread bytes were left, the
    /// operating system would reset the connection, and the client would lose response data that it
    /// has not read yet. If permits are available, the router closes its own side first, and reads
    /// until the client closes the other side, for at most [`LINGER_TIMEOUT`].
    pub(crate) async fn close_gracefully(&self, stream: Rc<RefCell<Socket>>) {
        if self.limiter.permits.available_permits() == 0 {
            return discard_received(&stream).await;
        }
        tokio::select! {
            biased;
            _ = timeout(LINGER_TIMEOUT, shut_down_and_discard(&stream)) => {}
            () = self.close_requested() => {}
        }
    }

    /// Returns whether the connection waits for a first request or the rest of a request head, and
    /// all earlier responses have been written.
    pub(crate) fn is_receiving_head(&self) -> bool {
        matches!(self.state.activity.get(), Activity::Receiving(_))
            && self.state.pipeline().expects_head()
            && self.state.blocked_since.get().is_none()
    }

    /// Returns whether all requests on the connection have been answered, and nothing of a further
    /// one has been read.
    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.state.activity.get(), Activity::Idle(_)) && self.state.pipeline().is_idle()
    }

    /// Returns whether bytes of a new request have arrived and none of them has been read yet.
    pub(crate) fn has_unread_request(&self, stream: &RefCell<Socket>) -> bool {
        let between_requests = self.state.pipeline().is_idle();
        let is_write_blocked = self.state.blocked_since.get().is_some();
        between_requests && !is_write_blocked && stream.borrow().has_received()
    }

    /// Returns whether the requests on this connection are rejected, as too many connections are in
    /// use.
    pub(crate) fn is_rejecting(&self) -> bool {
        self.is_rejecting
    }

    /// Returns the tracker of the requests on this connection.
    pub(crate) fn request_tracker(&self) -> RequestTracker {
        RequestTracker {
            state: self.state.clone(),
            memory: self.limiter.memory.clone(),
        }
    }

    /// Waits until closing the connection has been requested.
    pub(crate) async fn close_requested(&self) {
        self.state.close_requested().await;
    }
}

/// A handle that records when requests on a connection begin and end.
#[derive(Clone)]
pub(crate) struct RequestTracker {
    state: Rc<ConnectionState>,
    memory: MemoryLedger,
}

impl RequestTracker {
    /// Records that the head of a request has arrived, of `head_bytes`. The request counts as being
    /// answered until the guard is dropped.
    pub(crate) fn begin(&self, head_bytes: usize) -> RequestGuard {
        let since = match self.state.activity.replace(Activity::ReceivingBody) {
            Activity::Receiving(since) => since,
            Activity::ReceivingBody | Activity::Answering | Activity::Idle(_) => Instant::now(),
        };
        let admission = self.state.update_pipeline(Pipeline::begin_request);
        let waited = self.state.pipeline().completed_at().map(|at| at.elapsed());
        let request_bytes = REQUEST_BYTES + head_bytes;
        RequestGuard {
            memory: self.memory.reserve(Purpose::Fixed, request_bytes),
            admission,
            waited: waited.unwrap_or_default(),
            state: self.state.clone(),
            body_deadline: since + self.state.limits().request_timeout,
        }
    }

    /// Records that the HTTP library has read the whole body of the current request. Returns
    /// whether the body is as the client sent it: a part of it may have been discarded.
    pub(crate) fn finish_body(&self) -> bool {
        self.state.activity.set(Activity::Answering);
        !self.state.pipeline().is_body_incomplete()
    }

    /// Returns whether the connection has received a request with an ambiguous end, with both
    /// `Content-Length` and `Transfer-Encoding`.
    pub(crate) fn has_ambiguous_length(&self) -> bool {
        self.state.pipeline().has_ambiguous_length()
    }

    /// Returns whether requests have been read behind the current one.
    pub(crate) fn owes_responses(&self) -> bool {
        self.state.pipeline().owes_responses()
    }

    /// Returns whether the connection must be closed after the current request.
    pub(crate) fn is_last_request(&self) -> bool {
        self.state.pipeline().is_last_request()
    }
}

/// A guard for a request that is being answered. Dropping it records that the request has ended.
pub(crate) struct RequestGuard {
    state: Rc<ConnectionState>,
    admission: Admission,
    waited: Duration,
    body_deadline: Instant,
    /// The memory of the request beside its body; `None` if there was no room for it.
    memory: Option<MemoryReservation>,
}

impl RequestGuard {
    /// Returns the window of the response data that the HTTP library holds.
    pub(crate) fn write_window(&self) -> &WriteWindow {
        &self.state.write_window
    }

    /// Returns whether there is memory for the request.
    pub(crate) fn has_memory(&self) -> bool {
        self.memory.is_some()
    }

    /// Returns how the request is answered.
    pub(crate) fn admission(&self) -> Admission {
        self.admission
    }

    /// Returns for how long the complete request has waited for the responses to the requests before
    /// it. A request that is still arriving has not waited.
    pub(crate) fn waited(&self) -> Duration {
        self.waited
    }

    /// Returns when the whole request must have arrived.
    pub(crate) fn body_deadline(&self) -> Instant {
        self.body_deadline
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.finish_response();
    }
}
