//! The state of one client connection: its activity, the requests that were read from it, and when
//! it must be closed. The connection's stream, its requests and the connection limiter share it.

use std::cell::{Cell, Ref, RefCell};
use std::task::{Context, Waker};
use std::time::Duration;

use tokio::io::ReadBuf;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::pipeline::{Delivery, Pipeline, Progress};
use crate::memory::{MemoryLedger, MemoryReservation, Purpose};
use crate::write_window::WriteWindow;

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
/// Memory of a connection, in bytes: the first buffers of the HTTP library, and the connection's task.
pub(super) const CONNECTION_BYTES: usize = 19 * 1024;
/// Memory by which the library's read buffer grows once a read has filled it, in bytes.
const READ_BUFFER_GROWTH_BYTES: usize = 8 * 1024;
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
    /// The head of a request has arrived, and the HTTP library reads its body.
    ReceivingBody,
    /// A request has arrived and is being answered.
    Answering,
    /// All requests have been answered, the last one at this instant.
    Idle(Instant),
}

/// The state of a client connection.
pub(super) struct ConnectionState {
    limits: ClientLimits,
    /// The memory of the connection itself.
    memory: RefCell<MemoryReservation>,
    /// The memory of the bytes that were read ahead.
    read_ahead_memory: RefCell<MemoryReservation>,
    /// The current activity of the connection.
    pub(super) activity: Cell<Activity>,
    /// When writing to the client last became blocked; `None` if it is not blocked.
    pub(super) blocked_since: Cell<Option<Instant>>,
    pipeline: RefCell<Pipeline>,
    /// The waker of the connection's task, if the HTTP library waits for the end of a response
    /// before it reads on.
    read_waker: Cell<Option<Waker>>,
    /// The response data that the HTTP library holds.
    pub(super) write_window: WriteWindow,
    close: Notify,
}

impl ConnectionState {
    /// Creates the state of a connection that has just been accepted.
    pub(super) fn new(limits: ClientLimits, memory: &MemoryLedger) -> ConnectionState {
        ConnectionState {
            limits,
            memory: RefCell::new(memory.empty_reservation(Purpose::Fixed)),
            read_ahead_memory: RefCell::new(memory.empty_reservation(Purpose::Backlog)),
            activity: Cell::new(Activity::Receiving(Instant::now())),
            blocked_since: Cell::default(),
            pipeline: RefCell::default(),
            read_waker: Cell::default(),
            write_window: WriteWindow::default(),
            close: Notify::new(),
        }
    }

    /// Reserves the memory of the connection. It has been accepted already, so it counts even if
    /// there is no room for it. Returns whether there is.
    pub(super) fn reserve_connection(&self) -> bool {
        let mut memory = self.memory.borrow_mut();
        let has_room = memory.try_grow_to(CONNECTION_BYTES);
        memory.grow_to(CONNECTION_BYTES);
        has_room
    }

    /// Records that a read has filled the HTTP library's buffer, which grows then and stays so.
    pub(super) fn read_buffer_filled(&self) {
        let bytes = CONNECTION_BYTES + READ_BUFFER_GROWTH_BYTES;
        self.memory.borrow_mut().grow_to(bytes);
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
            (Activity::ReceivingBody | Activity::Answering, None) => None,
            (Activity::Receiving(since), None) => Some(since + HEAD_TIMEOUT),
            (Activity::Idle(since), None) => Some(since + IDLE_TIMEOUT),
        }
    }

    /// Returns the requests that were read from the connection.
    pub(super) fn pipeline(&self) -> Ref<'_, Pipeline> {
        self.pipeline.borrow()
    }

    /// Changes the pipeline, and keeps the memory up to date that is reserved for what it buffers.
    pub(super) fn update_pipeline<T>(&self, update: impl FnOnce(&mut Pipeline) -> T) -> T {
        let mut pipeline = self.pipeline.borrow_mut();
        let result = update(&mut pipeline);
        let mut memory = self.read_ahead_memory.borrow_mut();
        memory.grow_to(pipeline.buffered_bytes());
        memory.shrink_to(pipeline.buffered_bytes());
        result
    }

    /// Records bytes that were read ahead: buffers them, or discards them if they exceed a limit or
    /// bytes were discarded before.
    pub(super) fn read_ahead(&self, bytes: &[u8]) {
        let fits = self.fits_read_ahead(bytes.len());
        self.update_pipeline(|pipeline| {
            if fits && !pipeline.has_overflowed() {
                pipeline.buffer(bytes, Instant::now());
            } else {
                pipeline.discard(bytes);
            }
        });
    }

    /// Returns whether `length` more bytes can be buffered. A request head always can, as the HTTP
    /// library may have read a part of it and then has to read the rest.
    fn fits_read_ahead(&self, length: usize) -> bool {
        let connection_limit = self.limits.max_body_bytes + 2 * READ_BUFFER_LIMIT;
        let connection_bytes = self.pipeline().buffered_bytes() + length;
        let mut memory = self.read_ahead_memory.borrow_mut();
        connection_bytes <= READ_BUFFER_LIMIT
            || (connection_bytes <= connection_limit && memory.try_grow_to(connection_bytes))
    }

    /// Delivers the next bytes to the HTTP library. If it has to wait for the end of the current
    /// response, its task is woken then.
    pub(super) fn deliver(&self, cx: &Context<'_>, buf: &mut ReadBuf<'_>) -> Delivery {
        let progress = match self.activity.get() {
            Activity::Receiving(_) | Activity::Idle(_) => Progress::NotBegun,
            Activity::ReceivingBody => Progress::ReceivingBody,
            Activity::Answering => Progress::Answering,
        };
        let delivery = self.update_pipeline(|pipeline| pipeline.deliver(buf, progress));
        if delivery == Delivery::AfterResponse {
            self.read_waker.set(Some(cx.waker().clone()));
        }
        delivery
    }

    /// Records that a response is complete or its request was given up.
    pub(super) fn finish_response(&self) {
        let now = Instant::now();
        let activity = if self.pipeline().is_receiving() {
            Activity::Receiving(now)
        } else {
            Activity::Idle(now)
        };
        self.activity.set(activity);
        if let Some(waker) = self.read_waker.take() {
            waker.wake();
        }
    }

    /// Returns the idle time by which connections are ranked for eviction, or `None` if this one
    /// must not be evicted.
    pub(super) fn eviction_idle_time(&self, now: Instant) -> Option<Duration> {
        let (since, bias) = match self.activity.get() {
            Activity::ReceivingBody | Activity::Answering => return None,
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
