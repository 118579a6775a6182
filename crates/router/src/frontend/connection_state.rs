//! The state of one client connection: its activity, the bytes that were read ahead, and when it
//! must be closed. The connection's stream, its requests and the connection limiter share it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::framing::Framing;

/// Maximum time until the head of a request has arrived, from the start of the connection for its
/// first request and from the request's first byte for later ones.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Default maximum time until the whole request has arrived.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for which an idle connection is kept open, unless it is evicted earlier.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Default maximum time for which a client may leave response data unread.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Default maximum size of a request body, in bytes.
pub(super) const REQUEST_BODY_LIMIT: usize = 256 * 1024;
/// Maximum size of the HTTP library's read buffer, in bytes, and therefore of a request head. The
/// buffer of an idle connection keeps the size that its last request body required: with a larger
/// limit, memory would grow with the number of clients that send one request and stay connected.
pub(super) const READ_BUFFER_LIMIT: usize = 16 * 1024;
/// Maximum number of bytes that all connections of a frontend together buffer by reading ahead.
const READ_AHEAD_TOTAL_LIMIT: usize = 8 * 1024 * 1024;
/// Minimum idle time before a connection may be evicted, because its request may be in transit.
const EVICTION_GRACE: Duration = Duration::from_millis(50);
/// Time that is added to the idle time of a connection without a complete request, so that it is
/// evicted rather than one that has been idle for a little longer since its last response.
const NO_REQUEST_IDLE_BIAS: Duration = Duration::from_secs(5);

/// Limits that a frontend sets for its clients.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimits {
    /// Maximum time until the whole request has arrived, from its first byte, or from the start of
    /// the connection for its first request.
    pub request_timeout: Duration,
    /// Maximum time for which a client may leave response data unread.
    pub unread_timeout: Duration,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            request_timeout: REQUEST_TIMEOUT,
            unread_timeout: UNREAD_TIMEOUT,
            max_body_bytes: REQUEST_BODY_LIMIT,
        }
    }
}

/// The current activity of a connection.
#[derive(Clone, Copy)]
pub(super) enum Activity {
    /// Since this instant, the connection waits for its first request, or receives a request head.
    Receiving(Instant),
    /// A request is being answered.
    Answering,
    /// All requests have been answered, the last one at this instant.
    Idle(Instant),
}

/// The state of a client connection.
pub(super) struct ConnectionState {
    limits: ClientLimits,
    /// Number of bytes that all connections of the frontend have buffered by reading ahead.
    read_ahead_total: Rc<Cell<usize>>,
    /// The current activity of the connection.
    pub(super) activity: Cell<Activity>,
    /// When writing to the client last became blocked; `None` if it is not blocked.
    pub(super) blocked_since: Cell<Option<Instant>>,
    /// The parser that finds where requests begin and end among the bytes that were read.
    pub(super) framing: RefCell<Framing>,
    /// Bytes that were read ahead and not yet read by the HTTP library.
    pub(super) read_ahead: RefCell<BytesMut>,
    /// Number of bytes that were read ahead and discarded. If there are any, the connection cannot
    /// serve another request after the current one.
    pub(super) discarded: Cell<usize>,
    close: Notify,
}

impl ConnectionState {
    /// Creates the state of a connection that has just been accepted.
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

    /// Returns the limits of the connection's frontend.
    pub(super) fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// Returns when the connection must be closed, or `None` while a request is being answered and
    /// the client reads the response. A client that does not read is timed out as well, because it
    /// would otherwise keep the response in memory for ever.
    pub(super) fn expires_at(&self) -> Option<Instant> {
        match (self.activity.get(), self.blocked_since.get()) {
            (_, Some(since)) => Some(since + self.limits.unread_timeout),
            (Activity::Answering, None) => None,
            (Activity::Receiving(since), None) => Some(since + HEAD_TIMEOUT),
            (Activity::Idle(since), None) => Some(since + IDLE_TIMEOUT),
        }
    }

    /// Reserves space for `length` more bytes that were read ahead. Returns whether this connection
    /// then buffers at most the size of a request, and all connections together at most their
    /// limit; otherwise, nothing is reserved.
    pub(super) fn reserve_read_ahead(&self, length: usize) -> bool {
        let connection_limit = self.limits.max_body_bytes + 2 * READ_BUFFER_LIMIT;
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

    /// Returns the idle time by which connections are ranked for eviction, or `None` if this one
    /// must not be evicted.
    pub(super) fn eviction_idle_time(&self, now: Instant) -> Option<Duration> {
        let (since, bias) = match self.activity.get() {
            Activity::Answering => return None,
            Activity::Receiving(since) => (since, NO_REQUEST_IDLE_BIAS),
            Activity::Idle(since) => (since, Duration::ZERO),
        };
        let idle = now.saturating_duration_since(since);
        if idle < EVICTION_GRACE || self.blocked_since.get().is_some() {
            return None;
        }
        Some(idle + bias)
    }

    /// Requests that the connection's task closes the connection.
    pub(super) fn request_close(&self) {
        self.close.notify_one();
    }

    /// Waits until closing the connection has been requested.
    pub(super) async fn close_requested(&self) {
        self.close.notified().await;
    }
}
