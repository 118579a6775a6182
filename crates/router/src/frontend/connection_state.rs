//! The state of one client connection, shared by all that handle it: what it is doing, what has
//! been read ahead of the current request, and when it must be closed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::framing::Framing;

/// How long a client may take over the head of a request, from the connection's start or its first
/// byte.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long it may take over the whole request, unless the frontend says otherwise.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long an idle connection is kept open, while there are permits for others.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a client may leave response data unread, unless the frontend says otherwise.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);
/// The most bytes of a request body, unless the frontend says otherwise.
pub(super) const REQUEST_BODY_LIMIT: usize = 256 * 1024;
/// The size limit of the HTTP library's read buffer, and so of a request head. A kept connection
/// goes on holding as much as its last body made it read at once: a larger limit would let memory
/// grow with the number of clients that send one request and stay connected.
pub(super) const READ_BUFFER_LIMIT: usize = 16 * 1024;
/// The most bytes that all connections of a frontend together keep of what was read ahead.
const READ_AHEAD_TOTAL_LIMIT: usize = 8 * 1024 * 1024;
/// How long a connection is safe from eviction: its request may be on its way.
const EVICTION_GRACE: Duration = Duration::from_millis(50);
/// By how much a client that has sent no request counts as idle for longer than one whose request
/// was answered.
const SILENT_BIAS: Duration = Duration::from_secs(5);

/// The limits that a frontend sets for its clients.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimits {
    /// The time for the whole request, from its first byte.
    pub request_timeout: Duration,
    /// The time for which a client may leave response data unread.
    pub unread_timeout: Duration,
    /// The most bytes of a request body.
    pub body_bytes: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            request_timeout: REQUEST_TIMEOUT,
            unread_timeout: UNREAD_TIMEOUT,
            body_bytes: REQUEST_BODY_LIMIT,
        }
    }
}

/// What a connection is doing.
#[derive(Clone, Copy)]
pub(super) enum Activity {
    /// Waiting for a request or receiving its head, since the connection's start or the request's
    /// first byte.
    Receiving(Instant),
    /// Answering a request.
    Answering,
    /// All requests are answered, since this instant.
    Idle(Instant),
}

/// The state of a connection.
pub(super) struct ConnectionState {
    limits: ClientLimits,
    /// What all connections of the frontend have read ahead.
    read_ahead_total: Rc<Cell<usize>>,
    /// What the connection is doing.
    pub(super) activity: Cell<Activity>,
    /// Since when the client has left response data unread.
    pub(super) blocked_since: Cell<Option<Instant>>,
    /// Where requests begin and end in the bytes read.
    pub(super) framing: RefCell<Framing>,
    /// The bytes that were read ahead and not yet given to the HTTP library.
    pub(super) read_ahead: RefCell<BytesMut>,
    /// How many bytes were read ahead and not kept. If there are any, the connection cannot serve
    /// another request after the current one.
    pub(super) discarded: Cell<usize>,
    close: Notify,
}

impl ConnectionState {
    /// The state of a connection that begins now.
    pub(super) fn new(limits: ClientLimits, read_ahead_total: Rc<Cell<usize>>) -> ConnectionState {
        ConnectionState {
            limits,
            read_ahead_total,
            activity: Cell::new(Activity::Receiving(Instant::now())),
            blocked_since: Cell::default(),
            framing: RefCell::new(Framing::of_requests()),
            read_ahead: RefCell::default(),
            discarded: Cell::default(),
            close: Notify::new(),
        }
    }

    /// The limits of the connection's frontend.
    pub(super) fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// When the connection is to be closed; `None` while a request is being answered and the client
    /// reads the response. A client that reads nothing would otherwise hold the response for ever.
    pub(super) fn expires_at(&self) -> Option<Instant> {
        match (self.activity.get(), self.blocked_since.get()) {
            (_, Some(since)) => Some(since + self.limits.unread_timeout),
            (Activity::Answering, None) => None,
            (Activity::Receiving(since), None) => Some(since + HEAD_TIMEOUT),
            (Activity::Idle(since), None) => Some(since + IDLE_TIMEOUT),
        }
    }

    /// Reserves space for `length` more bytes read ahead, if neither this connection nor all of them
    /// together then hold too much: on one connection, no more than a request holds.
    pub(super) fn reserve_read_ahead(&self, length: usize) -> bool {
        let connection_limit = self.limits.body_bytes + 2 * READ_BUFFER_LIMIT;
        let connection_bytes = self.read_ahead.borrow().len() + length;
        let total_bytes = self.read_ahead_total.get() + length;
        let fits = connection_bytes <= connection_limit && total_bytes <= READ_AHEAD_TOTAL_LIMIT;
        if fits {
            self.read_ahead_total.set(total_bytes);
        }
        fits
    }

    /// Releases the space of `length` bytes that were read ahead.
    pub(super) fn release_read_ahead(&self, length: usize) {
        self.read_ahead_total
            .set(self.read_ahead_total.get() - length);
    }

    /// How long the connection has been idle, if it may be evicted.
    pub(super) fn evictable_for(&self, now: Instant) -> Option<Duration> {
        let (since, bias) = match self.activity.get() {
            Activity::Answering => return None,
            Activity::Receiving(since) => (since, SILENT_BIAS),
            Activity::Idle(since) => (since, Duration::ZERO),
        };
        let idle = now.saturating_duration_since(since);
        if idle < EVICTION_GRACE || self.blocked_since.get().is_some() {
            return None;
        }
        Some(idle + bias)
    }

    /// Asks the connection's task to close it.
    pub(super) fn request_close(&self) {
        self.close.notify_one();
    }

    /// Waits until the connection is asked to close.
    pub(super) async fn close_requested(&self) {
        self.close.notified().await;
    }
}
