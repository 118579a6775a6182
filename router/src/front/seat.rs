//! The connections that clients hold. A [`Seat`] is one connection's place among the limit, given back when it
//! is dropped; [`Seats`] ends those that are due, and makes room where all are taken.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use crate::framing::Framing;

/// How long a client may take over the head of a request, from the connection's start or its first byte ...
pub const HEAD_WAIT: Duration = Duration::from_millis(2_000);
/// ... and over all of the request, unless the front says otherwise.
const REQUEST_WAIT: Duration = Duration::from_millis(2_500);
/// How long a connection is kept without a request, while there is room.
const KEPT_WAIT: Duration = Duration::from_secs(60);
/// How long a client may read nothing of an answer that waits for it, unless the front says otherwise.
const BLOCKED_WAIT: Duration = Duration::from_secs(30);
/// For how long a connection is safe from making room: its request may be on its way.
const SAFE_FOR: Duration = Duration::from_millis(50);
/// Between two tries to make room.
const AGAIN: Duration = Duration::from_millis(20);
/// By how much a client that has not asked counts as idle for longer than one whose request was answered.
const SILENT_BIAS: Duration = Duration::from_secs(5);

/// The most that is read of a connection while a request on it is being answered, to see whether its client leaves.
const AHEAD_MOST: usize = 16 * 1024;

/// How long a front's clients may take.
#[derive(Debug, Clone, Copy)]
pub struct Waits {
    /// Over all of a request, from its first byte.
    pub request: Duration,
    /// Over reading nothing of what waits for them.
    pub unread: Duration,
}

impl Default for Waits {
    fn default() -> Self {
        Waits { request: REQUEST_WAIT, unread: BLOCKED_WAIT }
    }
}

#[derive(Clone, Copy)]
enum State {
    /// A request is awaited or coming, since the connection's start or the request's first byte.
    Coming(Instant),
    /// A request is being answered.
    Open,
    /// All is answered.
    Kept(Instant),
}

/// What is known of a connection.
struct Known {
    waits: Waits,
    state: Cell<State>,
    /// Since when the client has read nothing of what waits for it.
    blocked: Cell<Option<Instant>>,
    framing: RefCell<Framing>,
    /// What has been read ahead.
    ahead: RefCell<BytesMut>,
    close: Notify,
}

impl Known {
    /// When the connection is to be closed; `None` while a request is being answered and what has come of the
    /// answer is read. Guards against a client that reads nothing and holds what waits for it.
    fn due(&self) -> Option<Instant> {
        match (self.state.get(), self.blocked.get()) {
            (_, Some(since)) => Some(since + self.waits.unread),
            (State::Open, None) => None,
            (State::Coming(since), _) => Some(since + HEAD_WAIT),
            (State::Kept(since), _) => Some(since + KEPT_WAIT),
        }
    }

    /// For how long it has been of no use, if it may be closed to make room.
    fn idle(&self, now: Instant) -> Option<Duration> {
        let (since, bias) = match self.state.get() {
            State::Open => return None,
            State::Coming(since) => (since, SILENT_BIAS),
            State::Kept(since) => (since, Duration::ZERO),
        };
        let idle = now.saturating_duration_since(since);
        (idle >= SAFE_FOR && self.blocked.get().is_none()).then_some(idle + bias)
    }
}

/// The places of a front's connections.
pub struct Seats {
    places: Arc<Semaphore>,
    waits: Waits,
    taken: RefCell<BTreeMap<u64, Rc<Known>>>,
    next: Cell<u64>,
}

impl Seats {
    /// So many places.
    pub fn new(most: usize, waits: Waits) -> Rc<Seats> {
        let places = Arc::new(Semaphore::new(most));
        Rc::new(Seats { places, waits, taken: RefCell::default(), next: Cell::default() })
    }

    /// A place, as soon as there is one. Guards against silent clients that take the places of those that ask:
    /// the connection that has been without a request for longest is closed where there is no room.
    pub async fn place(&self) -> Option<OwnedSemaphorePermit> {
        loop {
            if self.places.available_permits() == 0 {
                self.make_room();
            }
            if let Ok(place) = tokio::time::timeout(AGAIN, self.places.clone().acquire_owned()).await {
                return place.ok();
            }
        }
    }

    /// Takes the place for a connection that begins now.
    pub fn take(self: &Rc<Self>, place: Option<OwnedSemaphorePermit>) -> Seat {
        let number = self.next.replace(self.next.get() + 1);
        let known = Rc::new(Known {
            waits: self.waits,
            state: Cell::new(State::Coming(Instant::now())),
            blocked: Cell::default(),
            framing: RefCell::new(Framing::of_requests()),
            ahead: RefCell::default(),
            close: Notify::new(),
        });
        self.taken.borrow_mut().insert(number, known.clone());
        Seat { seats: self.clone(), number, known, _place: place }
    }

    /// Closes the connections that are due.
    pub fn sweep(&self) {
        let now = Instant::now();
        let taken = self.taken.borrow();
        taken.values().filter(|k| k.due().is_some_and(|due| due <= now)).for_each(|k| k.close.notify_one());
    }

    fn make_room(&self) {
        let now = Instant::now();
        let taken = self.taken.borrow();
        let idle = taken.values().filter_map(|k| Some((k.idle(now)?, k)));
        if let Some((_, known)) = idle.max_by_key(|(idle, _)| *idle) {
            known.close.notify_one();
        }
    }
}

/// A connection's place, held for as long as it lasts.
pub struct Seat {
    seats: Rc<Seats>,
    number: u64,
    known: Rc<Known>,
    _place: Option<OwnedSemaphorePermit>,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.seats.taken.borrow_mut().remove(&self.number);
    }
}

impl Seat {
    /// The stream, watched, and through which its end is seen while nobody reads it.
    pub fn watch(&self, stream: TcpStream) -> (Watched, Ahead) {
        let stream = Rc::new(RefCell::new(stream));
        let ahead = Ahead { stream: stream.clone(), known: self.known.clone() };
        (Watched { stream, known: self.known.clone() }, ahead)
    }

    /// Through which requests on this connection are told of.
    pub fn desk(&self) -> Desk {
        Desk(self.known.clone())
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.known.close.notified().await;
    }
}

/// Where the requests of a connection are noted.
#[derive(Clone)]
pub struct Desk(Rc<Known>);

impl Desk {
    /// A request's head is here. It counts as being answered until the guard is dropped.
    pub fn open(&self) -> Open {
        let since = match self.0.state.replace(State::Open) {
            State::Coming(since) => since,
            State::Open | State::Kept(_) => Instant::now(),
        };
        Open { known: self.0.clone(), due: since + self.0.waits.request }
    }

    /// Whether where this request ends is in doubt.
    pub fn is_ambiguous(&self) -> bool {
        self.0.framing.borrow().is_ambiguous()
    }

    /// Whether the connection must end with this request.
    pub fn is_last(&self) -> bool {
        self.0.framing.borrow().is_last()
    }
}

/// A request that is being answered.
pub struct Open {
    known: Rc<Known>,
    due: Instant,
}

impl Open {
    /// When all of the request must be here.
    pub fn due(&self) -> Instant {
        self.due
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let now = Instant::now();
        let between = self.known.framing.borrow().is_between();
        self.known.state.set(if between { State::Kept(now) } else { State::Coming(now) });
    }
}

/// Reads ahead while a request is being answered, so that a client which leaves is seen to. Guards against a close that
/// stands behind bytes which nobody reads until the answer is out: the library stops reading once it has any.
pub struct Ahead {
    stream: Rc<RefCell<TcpStream>>,
    known: Rc<Known>,
}

impl Ahead {
    /// Waits until the client has left while a request of it is being answered. Must be polled in the task that reads
    /// the stream, and after that: whoever polls last is woken.
    pub async fn left(&self) {
        poll_fn(|cx| self.poll_left(cx)).await;
    }

    fn poll_left(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut piece = [0; 2 * 1024];
        while matches!(self.known.state.get(), State::Open) && self.known.ahead.borrow().len() < AHEAD_MOST {
            let mut read = ReadBuf::new(&mut piece);
            let ended = ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, &mut read)).is_err();
            if ended || read.filled().is_empty() {
                return Poll::Ready(());
            }
            self.known.ahead.borrow_mut().extend_from_slice(read.filled());
            cx.waker().wake_by_ref(); // whoever waits for it has been polled already
        }
        Poll::Pending
    }
}

/// A client's stream, with a look at what passes.
pub struct Watched {
    stream: Rc<RefCell<TcpStream>>,
    known: Rc<Known>,
}

impl AsyncRead for Watched {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let mut ahead = self.known.ahead.borrow_mut();
        let read = if ahead.is_empty() {
            Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf)
        } else {
            let here = ahead.len().min(buf.remaining());
            buf.put_slice(&ahead[..here]);
            ahead.advance(here);
            if ahead.is_empty() {
                *ahead = BytesMut::new(); // kept connections hold no buffer
            }
            Poll::Ready(Ok(()))
        };
        let mut framing = self.known.framing.borrow_mut();
        framing.take(&buf.filled()[before..]);
        if matches!(self.known.state.get(), State::Kept(_)) && !framing.is_between() {
            self.known.state.set(State::Coming(Instant::now()));
        }
        read
    }
}

impl AsyncWrite for Watched {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, buf);
        let blocked = self.known.blocked.get().unwrap_or_else(Instant::now);
        self.known.blocked.set(written.is_pending().then_some(blocked));
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}
