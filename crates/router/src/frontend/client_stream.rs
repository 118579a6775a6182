//! A client's byte stream: it keeps the connection state up to date, and is read ahead while a
//! request is being answered.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use super::connection_state::{Activity, ConnectionState};
use crate::socket::Socket;

/// Maximum number of bytes that are read ahead and discarded. Without discarding, the disconnect of
/// a client that has sent more than can be buffered would not be detected.
const DISCARD_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of bytes that one read takes from the stream while reading ahead.
const READ_AHEAD_CHUNK_BYTES: usize = 2 * 1024;

/// A reader that reads ahead while a request is being answered, to detect a client's disconnect.
/// The HTTP library stops reading once it has received bytes of a further request, and would see
/// the end of the stream only after the response is complete.
pub(crate) struct ReadAhead {
    stream: Rc<RefCell<Socket>>,
    state: Rc<ConnectionState>,
}

impl ReadAhead {
    /// Creates a reader that reads ahead on `stream`.
    pub(super) fn new(stream: Rc<RefCell<Socket>>, state: Rc<ConnectionState>) -> ReadAhead {
        ReadAhead { stream, state }
    }

    /// Waits until the client disconnects while one of its requests is being answered. Must be
    /// polled in the same task as the [`TrackedStream`] and after it, because the socket wakes only
    /// the waker of the last poll.
    pub(crate) async fn client_disconnected(&self) {
        poll_fn(|cx| self.poll_disconnected(cx)).await;
    }

    fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut chunk = [0; READ_AHEAD_CHUNK_BYTES];
        while self.may_read_ahead() {
            let mut read = ReadBuf::new(&mut chunk);
            let has_failed =
                ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, &mut read)).is_err();
            if has_failed || read.filled().is_empty() {
                return Poll::Ready(());
            }
            self.buffer_or_discard(read.filled());
            // The HTTP library was polled before these bytes were buffered, so it is polled again.
            cx.waker().wake_by_ref();
        }
        Poll::Pending
    }

    fn may_read_ahead(&self) -> bool {
        let is_answering = matches!(self.state.activity.get(), Activity::Answering);
        is_answering && self.state.discarded.get() < DISCARD_LIMIT_BYTES
    }

    /// Buffers bytes of the next request, which a client may send as soon as it has received the
    /// last event of a response. Bytes that exceed the limits are discarded; from then on nothing
    /// more is buffered, and the connection is closed after the current request.
    fn buffer_or_discard(&self, bytes: &[u8]) {
        let discarded = &self.state.discarded;
        if discarded.get() == 0 && self.state.reserve_read_ahead(bytes.len()) {
            self.state.read_ahead.borrow_mut().extend_from_slice(bytes);
        } else {
            discarded.set(discarded.get() + bytes.len());
        }
    }
}

/// A client's stream that keeps the connection's state up to date.
pub(crate) struct TrackedStream {
    stream: Rc<RefCell<Socket>>,
    state: Rc<ConnectionState>,
}

impl TrackedStream {
    /// Creates a stream that records in `state` what is read from and written to `stream`.
    pub(super) fn new(stream: Rc<RefCell<Socket>>, state: Rc<ConnectionState>) -> TrackedStream {
        TrackedStream { stream, state }
    }

    /// Reads the bytes that were read ahead, then from the stream. If bytes were discarded, reports
    /// the end of the stream in their place.
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
            // Frees the buffer, so that an idle connection holds none.
            *read_ahead = BytesMut::new();
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
        if matches!(self.state.activity.get(), Activity::Idle(_)) && !framing.is_between_messages()
        {
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
