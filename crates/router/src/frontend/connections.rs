//! The connections of clients: how many there may be, how long each may take, and which is closed to make room.
//!
//! A [`ClientConnection`] holds one permit of the [`ConnectionLimiter`] until it is dropped. A [`RequestTracker`] notes
//! the requests on it, each for as long as its [`RequestGuard`] lives.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, Instant};

use super::client_stream::{ReadAhead, TrackedStream};
use crate::closing::{discard_received, shut_down_and_drain};
use crate::framing::Framing;
use crate::socket::Socket;

/// How long a client may take over the head of a request, from the connection's start or its first byte.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long it may take over all of the request, unless the front says otherwise.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a connection is kept without a request, while there is room.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a client may read nothing of an answer that waits for it, unless the front says otherwise.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);
/// The most that a request's body may hold, unless the front says otherwise.
pub(super) const BODY_LIMIT: usize = 256 * 1024;
/// The most that is kept of what all connections of a front have sent ahead.
const READ_AHEAD_TOTAL: usize = 8 * 1024 * 1024;
/// For how long a connection is safe from eviction: its request may be on its way.
const EVICTION_GRACE: Duration = Duration::from_millis(50);
/// The interval between two evictions while a new connection waits for a permit.
const EVICTION_INTERVAL: Duration = Duration::from_millis(20);
/// How long a client may take to close its side once the router has closed its own.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// By how much a client that has not asked counts as idle for longer than one whose request was answered.
const SILENT_BIAS: Duration = Duration::from_secs(5);

/// What a front's clients may take.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimits {
    /// The time for all of a request, from its first byte.
    pub request_timeout: Duration,
    /// The time for which they may read nothing of what waits for them.
    pub unread_timeout: Duration,
    /// The bytes of a request's body.
    pub body_bytes: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            request_timeout: REQUEST_TIMEOUT,
            unread_timeout: UNREAD_TIMEOUT,
            body_bytes: BODY_LIMIT,
        }
    }
}

/// What a connection does.
#[derive(Clone, Copy)]
pub(super) enum Activity {
    /// A request is awaited or coming, since the connection's start or the request's first byte.
    Receiving(Instant),
    /// A request is being answered.
    Answering,
    /// All requests are answered, since this instant.
    Idle(Instant),
}

/// What is known of a connection, shared by all that handle it.
pub(super) struct ConnectionState {
    limits: ClientLimits,
    read_ahead_total: Rc<Cell<usize>>,
    pub(super) activity: Cell<Activity>,
    /// Since when the client has read nothing of what waits for it.
    pub(super) blocked_since: Cell<Option<Instant>>,
    pub(super) framing: RefCell<Framing>,
    /// What has been read ahead.
    pub(super) read_ahead: RefCell<BytesMut>,
    /// How much was read ahead and not kept: the connection is of no use after the current request.
    pub(super) discarded: Cell<usize>,
    close: Notify,
}

impl ConnectionState {
    /// When the connection is to be closed; `None` while a request is being answered and what has come of the
    /// answer is read. Guards against a client that reads nothing and holds what waits for it.
    fn expires_at(&self) -> Option<Instant> {
        match (self.activity.get(), self.blocked_since.get()) {
            (_, Some(since)) => Some(since + self.limits.unread_timeout),
            (Activity::Answering, None) => None,
            (Activity::Receiving(since), _) => Some(since + HEAD_TIMEOUT),
            (Activity::Idle(since), _) => Some(since + IDLE_TIMEOUT),
        }
    }

    /// Whether so many bytes more may be kept of what was read ahead: no more than a request holds, and all of them.
    pub(super) fn reserve_read_ahead(&self, length: usize) -> bool {
        let own = self.read_ahead.borrow().len() + length;
        let total = self.read_ahead_total.get() + length;
        let fits =
            own <= self.limits.body_bytes + 2 * super::BUFFER_MOST && total <= READ_AHEAD_TOTAL;
        if fits {
            self.read_ahead_total.set(total);
        }
        fits
    }

    /// So many bytes of what was read ahead are kept no longer.
    pub(super) fn release_read_ahead(&self, length: usize) {
        self.read_ahead_total
            .set(self.read_ahead_total.get() - length);
    }

    /// For how long the connection has been idle, if it may be evicted.
    fn evictable_for(&self, now: Instant) -> Option<Duration> {
        let (since, bias) = match self.activity.get() {
            Activity::Answering => return None,
            Activity::Receiving(since) => (since, SILENT_BIAS),
            Activity::Idle(since) => (since, Duration::ZERO),
        };
        let idle = now.saturating_duration_since(since);
        (idle >= EVICTION_GRACE && self.blocked_since.get().is_none()).then_some(idle + bias)
    }
}

/// Bounds the connections of a front.
pub struct ConnectionLimiter {
    permits: Arc<Semaphore>,
    limits: ClientLimits,
    read_ahead_total: Rc<Cell<usize>>,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    next_number: Cell<u64>,
}

impl ConnectionLimiter {
    /// At most so many connections.
    pub fn new(most: usize, limits: ClientLimits) -> Rc<ConnectionLimiter> {
        Rc::new(ConnectionLimiter {
            permits: Arc::new(Semaphore::new(most)),
            limits,
            read_ahead_total: Rc::default(),
            connections: RefCell::default(),
            next_number: Cell::default(),
        })
    }

    /// A permit, as soon as there is one. Guards against silent clients that hold the permits that others need: where
    /// there is none, the connection that has been idle for longest is evicted.
    pub async fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        loop {
            if self.permits.available_permits() == 0 {
                self.evict_longest_idle();
            }
            if let Ok(permit) =
                timeout(EVICTION_INTERVAL, self.permits.clone().acquire_owned()).await
            {
                return permit.ok();
            }
        }
    }

    /// Registers a connection that begins now.
    pub fn register(self: &Rc<Self>, permit: Option<OwnedSemaphorePermit>) -> ClientConnection {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let state = Rc::new(ConnectionState {
            limits: self.limits,
            read_ahead_total: self.read_ahead_total.clone(),
            activity: Cell::new(Activity::Receiving(Instant::now())),
            blocked_since: Cell::default(),
            framing: RefCell::new(Framing::of_requests()),
            read_ahead: RefCell::default(),
            discarded: Cell::default(),
            close: Notify::new(),
        });
        self.connections.borrow_mut().insert(number, state.clone());
        ClientConnection {
            limiter: self.clone(),
            number,
            state,
            _permit: permit,
        }
    }

    /// Closes the connections whose time is up.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let connections = self.connections.borrow();
        let expired = connections
            .values()
            .filter(|state| state.expires_at().is_some_and(|at| at <= now));
        expired.for_each(|state| state.close.notify_one());
    }

    fn evict_longest_idle(&self) {
        let now = Instant::now();
        let connections = self.connections.borrow();
        let idle = connections
            .values()
            .filter_map(|state| Some((state.evictable_for(now)?, state)));
        if let Some((_, state)) = idle.max_by_key(|(idle, _)| *idle) {
            state.close.notify_one();
        }
    }
}

/// A connection's permit and state, held for as long as the connection lasts.
pub struct ClientConnection {
    limiter: Rc<ConnectionLimiter>,
    number: u64,
    state: Rc<ConnectionState>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.limiter.connections.borrow_mut().remove(&self.number);
        self.state
            .release_read_ahead(self.state.read_ahead.borrow().len());
    }
}

impl ClientConnection {
    /// The stream with what passes noted, and what sees its end while nobody reads it.
    pub fn track(&self, stream: Rc<RefCell<Socket>>) -> (TrackedStream, ReadAhead) {
        let read_ahead = ReadAhead::new(stream.clone(), self.state.clone());
        (TrackedStream::new(stream, self.state.clone()), read_ahead)
    }

    /// Ends the connection, after reading what the client has sent. Guards against a close over unread bytes, by which
    /// the system resets the connection: the client would lose what it has not read yet. While there are permits, the
    /// router's side is closed first, and what comes is read until the client closes its own.
    pub async fn close_gracefully(&self, stream: Rc<RefCell<Socket>>) {
        if self.limiter.permits.available_permits() == 0 {
            return discard_received(&stream).await;
        }
        tokio::select! {
            biased;
            _ = timeout(LINGER_TIMEOUT, shut_down_and_drain(&stream)) => {}
            () = self.close_requested() => {}
        }
    }

    /// Whether a head is awaited, and all that was answered before is out.
    pub fn is_receiving(&self) -> bool {
        matches!(self.state.activity.get(), Activity::Receiving(_))
            && self.state.blocked_since.get().is_none()
    }

    /// Whether a request has arrived of which nothing has been read yet.
    pub fn has_unread_request(&self, stream: &RefCell<Socket>) -> bool {
        let between =
            self.state.framing.borrow().is_between() && self.state.read_ahead.borrow().is_empty();
        let blocked = self.state.blocked_since.get().is_some();
        between && !blocked && stream.borrow().has_received()
    }

    /// Where requests on this connection are noted.
    pub fn requests(&self) -> RequestTracker {
        RequestTracker(self.state.clone())
    }

    /// Waits until the connection is to be closed.
    pub async fn close_requested(&self) {
        self.state.close.notified().await;
    }
}

/// Where the requests of a connection are noted.
#[derive(Clone)]
pub struct RequestTracker(Rc<ConnectionState>);

impl RequestTracker {
    /// A request's head is here. It counts as being answered until the guard is dropped.
    pub fn begin(&self) -> RequestGuard {
        let since = match self.0.activity.replace(Activity::Answering) {
            Activity::Receiving(since) => since,
            Activity::Answering | Activity::Idle(_) => Instant::now(),
        };
        RequestGuard {
            state: self.0.clone(),
            body_deadline: since + self.0.limits.request_timeout,
        }
    }

    /// Whether where this request ends is in doubt.
    pub fn is_ambiguous(&self) -> bool {
        self.0.framing.borrow().is_ambiguous()
    }

    /// Whether the connection must end with this request.
    pub fn is_last(&self) -> bool {
        self.0.framing.borrow().is_last() || self.0.discarded.get() > 0
    }
}

/// A request that is being answered.
pub struct RequestGuard {
    state: Rc<ConnectionState>,
    body_deadline: Instant,
}

impl RequestGuard {
    /// When all of the request must be here.
    pub fn body_deadline(&self) -> Instant {
        self.body_deadline
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now = Instant::now();
        let between = self.state.framing.borrow().is_between();
        self.state.activity.set(if between {
            Activity::Idle(now)
        } else {
            Activity::Receiving(now)
        });
    }
}
