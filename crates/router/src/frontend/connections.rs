//! The client connections of a frontend: how many there may be, and which is closed when a new one
//! needs its permit.
//!
//! A [`ClientConnection`] holds one permit of the [`ConnectionLimiter`] until it is dropped. A
//! [`RequestTracker`] notes the requests on it, each for as long as its [`RequestGuard`] lives.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, Instant};

use super::client_stream::{ReadAhead, TrackedStream};
use super::connection_state::{Activity, ClientLimits, ConnectionState};
use crate::closing::{discard_received, shut_down_and_drain};
use crate::socket::Socket;

/// The interval between two evictions while a new connection waits for a permit.
const EVICTION_INTERVAL: Duration = Duration::from_millis(20);
/// How long a client may take to close its side once the router has closed its own.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// Bounds the number of connections of a frontend.
pub(crate) struct ConnectionLimiter {
    permits: Arc<Semaphore>,
    limits: ClientLimits,
    read_ahead_total: Rc<Cell<usize>>,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    next_number: Cell<u64>,
}

impl ConnectionLimiter {
    /// A limiter of at most `connection_limit` connections.
    pub(crate) fn new(connection_limit: usize, limits: ClientLimits) -> Rc<ConnectionLimiter> {
        Rc::new(ConnectionLimiter {
            permits: Arc::new(Semaphore::new(connection_limit)),
            limits,
            read_ahead_total: Rc::default(),
            connections: RefCell::default(),
            next_number: Cell::default(),
        })
    }

    /// Waits for a permit. While there is none, connections that have been idle for longest are
    /// evicted, so that silent clients cannot hold the permits that others need.
    pub(crate) async fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        loop {
            if self.permits.available_permits() == 0 {
                self.evict_longest_idle();
            }
            let permit = self.permits.clone().acquire_owned();
            if let Ok(permit) = timeout(EVICTION_INTERVAL, permit).await {
                return permit.ok();
            }
        }
    }

    /// Registers a connection that begins now.
    pub(crate) fn register(
        self: &Rc<Self>,
        permit: Option<OwnedSemaphorePermit>,
    ) -> ClientConnection {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let state = ConnectionState::new(self.limits, self.read_ahead_total.clone());
        let state = Rc::new(state);
        self.connections.borrow_mut().insert(number, state.clone());
        ClientConnection {
            limiter: self.clone(),
            number,
            state,
            _permit: permit,
        }
    }

    /// Closes the connections that have exceeded a timeout.
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
            .filter_map(|state| Some((state.evictable_for(now)?, state)));
        if let Some((_, state)) = idle.max_by_key(|(idle, _)| *idle) {
            state.request_close();
        }
    }
}

/// A connection's permit and state, held for as long as the connection lasts.
pub(crate) struct ClientConnection {
    limiter: Rc<ConnectionLimiter>,
    number: u64,
    state: Rc<ConnectionState>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.limiter.connections.borrow_mut().remove(&self.number);
        let kept = self.state.read_ahead.borrow().len();
        self.state.release_read_ahead(kept);
    }
}

impl ClientConnection {
    /// Wraps the connection's stream: the first half is for the HTTP library, the second notices a
    /// client's disconnect while the library does not read.
    pub(crate) fn track(&self, stream: Rc<RefCell<Socket>>) -> (TrackedStream, ReadAhead) {
        let read_ahead = ReadAhead::new(stream.clone(), self.state.clone());
        (TrackedStream::new(stream, self.state.clone()), read_ahead)
    }

    /// Ends the connection after reading what the client has sent: the system answers a close over
    /// unread bytes with a reset, and the client would lose what it has not read yet. While there
    /// are permits, the router's side is closed first, and the rest is read until the client closes
    /// its own.
    pub(crate) async fn close_gracefully(&self, stream: Rc<RefCell<Socket>>) {
        if self.limiter.permits.available_permits() == 0 {
            return discard_received(&stream).await;
        }
        tokio::select! {
            biased;
            _ = timeout(LINGER_TIMEOUT, shut_down_and_drain(&stream)) => {}
            () = self.close_requested() => {}
        }
    }

    /// Whether a request head is awaited, and all earlier responses have been written.
    pub(crate) fn is_receiving(&self) -> bool {
        matches!(self.state.activity.get(), Activity::Receiving(_))
            && self.state.blocked_since.get().is_none()
    }

    /// Whether a request has arrived of which nothing has been read yet.
    pub(crate) fn has_unread_request(&self, stream: &RefCell<Socket>) -> bool {
        let between_requests =
            self.state.framing.borrow().is_between() && self.state.read_ahead.borrow().is_empty();
        let blocked = self.state.blocked_since.get().is_some();
        between_requests && !blocked && stream.borrow().has_received()
    }

    /// The tracker of the requests on this connection.
    pub(crate) fn requests(&self) -> RequestTracker {
        RequestTracker(self.state.clone())
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn close_requested(&self) {
        self.state.close_requested().await;
    }
}

/// Notes the requests of a connection.
#[derive(Clone)]
pub(crate) struct RequestTracker(Rc<ConnectionState>);

impl RequestTracker {
    /// Notes that the head of a request has arrived. The request counts as being answered until the
    /// guard is dropped.
    pub(crate) fn begin(&self) -> RequestGuard {
        let since = match self.0.activity.replace(Activity::Answering) {
            Activity::Receiving(since) => since,
            Activity::Answering | Activity::Idle(_) => Instant::now(),
        };
        RequestGuard {
            state: self.0.clone(),
            body_deadline: since + self.0.limits().request_timeout,
        }
    }

    /// Whether the end of the current request is ambiguous.
    pub(crate) fn is_ambiguous(&self) -> bool {
        self.0.framing.borrow().is_ambiguous()
    }

    /// Whether the connection must end with the current request.
    pub(crate) fn is_last(&self) -> bool {
        self.0.framing.borrow().is_last() || self.0.discarded.get() > 0
    }
}

/// A request that is being answered, until this is dropped.
pub(crate) struct RequestGuard {
    state: Rc<ConnectionState>,
    body_deadline: Instant,
}

impl RequestGuard {
    /// When the whole request must have arrived.
    pub(crate) fn body_deadline(&self) -> Instant {
        self.body_deadline
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now = Instant::now();
        let between_requests = self.state.framing.borrow().is_between();
        let activity = if between_requests {
            Activity::Idle(now)
        } else {
            Activity::Receiving(now)
        };
        self.state.activity.set(activity);
    }
}
