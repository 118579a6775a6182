//! A client's stream, with what passes noted, and read on while its request is being answered.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use super::connections::{Activity, ConnectionState};
use crate::socket::Socket;

/// The most that is thrown away of what is read ahead, so that a client which sends much and goes is noticed.
const DISCARD_LIMIT: usize = 4 * 1024 * 1024;
/// What is read at once of what is read ahead or thrown away.
const PIECE: usize = 2 * 1024;

/// Reads ahead while a request is being answered, so that a client which leaves is noticed. Guards against a close that
/// stands behind bytes which nobody reads until the answer is out: the library stops reading once it has any.
pub struct ReadAhead {
    stream: Rc<RefCell<Socket>>,
    state: Rc<ConnectionState>,
}

impl ReadAhead {
    pub(super) fn new(stream: Rc<RefCell<Socket>>, state: Rc<ConnectionState>) -> ReadAhead {
        ReadAhead { stream, state }
    }

    /// Waits until the client has left while a request of it is being answered. Must be polled in the task that reads
    /// the stream, and after that: whoever polls last is woken.
    pub async fn client_left(&self) {
        poll_fn(|cx| self.poll_client_left(cx)).await;
    }

    fn poll_client_left(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut piece = [0; PIECE];
        while self.may_read_on() {
            let mut read = ReadBuf::new(&mut piece);
            let failed =
                ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, &mut read)).is_err();
            if failed || read.filled().is_empty() {
                return Poll::Ready(());
            }
            self.keep_or_discard(read.filled());
            cx.waker().wake_by_ref(); // whoever waits for it has been polled already
        }
        Poll::Pending
    }

    fn may_read_on(&self) -> bool {
        let answering = matches!(self.state.activity.get(), Activity::Answering);
        answering && self.state.discarded.get() < DISCARD_LIMIT
    }

    /// Keeps the next request, which a client may send as soon as it has the last event of an answer. What is more than
    /// a request can hold is discarded; then nothing further is kept, and the connection ends there.
    fn keep_or_discard(&self, bytes: &[u8]) {
        let discarded = &self.state.discarded;
        if discarded.get() == 0 && self.state.reserve_read_ahead(bytes.len()) {
            self.state.read_ahead.borrow_mut().extend_from_slice(bytes);
        } else {
            discarded.set(discarded.get() + bytes.len());
        }
    }
}

/// A client's stream, with a look at what passes.
pub struct TrackedStream {
    stream: Rc<RefCell<Socket>>,
    state: Rc<ConnectionState>,
}

impl TrackedStream {
    pub(super) fn new(stream: Rc<RefCell<Socket>>, state: Rc<ConnectionState>) -> TrackedStream {
        TrackedStream { stream, state }
    }

    /// Gives what was read ahead first, then what the stream has, or its end where the rest has been discarded.
    fn poll_next_bytes(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut read_ahead = self.state.read_ahead.borrow_mut();
        if read_ahead.is_empty() && self.state.discarded.get() > 0 {
            return Poll::Ready(Ok(()));
        }
        if read_ahead.is_empty() {
            return Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf);
        }
        let length = read_ahead.len().min(buf.remaining());
        buf.put_slice(&read_ahead[..length]);
        read_ahead.advance(length);
        self.state.release_read_ahead(length);
        if read_ahead.is_empty() {
            *read_ahead = BytesMut::new(); // idle connections hold no buffer
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = self.poll_next_bytes(cx, buf);
        let mut framing = self.state.framing.borrow_mut();
        framing.push(&buf.filled()[before..]);
        if matches!(self.state.activity.get(), Activity::Idle(_)) && !framing.is_between() {
            self.state.activity.set(Activity::Receiving(Instant::now()));
        }
        read
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, buf);
        let blocked_since = self.state.blocked_since.get().unwrap_or_else(Instant::now);
        self.state
            .blocked_since
            .set(written.is_pending().then_some(blocked_since));
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}
