//! A client's byte stream: it keeps the connection state up to date, and is read ahead while a
//! request is being answered.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Instant};

use super::connection_state::{Activity, ConnectionState};
use super::pipeline::Delivery;
use crate::socket::Socket;

/// Maximum number of bytes that one read takes from the stream while reading ahead.
const READ_AHEAD_CHUNK_BYTES: usize = 16 * 1024;
/// Number of bytes after which reading ahead lets other tasks run.
const TURN_BYTES: usize = 64 * 1024;
/// Maximum number of bytes that are discarded between two pauses. With [`DISCARD_PAUSE`], it bounds
/// the processor time that a client can take by sending without end. What the systems of both sides
/// can buffer, about 10 MiB, is discarded in less than 50 ms, and a disconnect behind it is
/// detected then.
const DISCARD_BURST_BYTES: usize = 1024 * 1024;
/// Pause between two bursts of discarded bytes.
const DISCARD_PAUSE: Duration = Duration::from_millis(2);

/// A reader that reads ahead while a request is being answered, to detect a client's disconnect.
/// The HTTP library stops reading once it has received bytes of a further request, and would see
/// the end of the stream only after the response is complete. While a request's body arrives, the
/// library reads itself.
pub(crate) struct ReadAhead {
    stream: Rc<RefCell<Socket>>,
    state: Rc<ConnectionState>,
}

/// The reason why reading ahead stopped.
enum ReadAheadEnd {
    /// The client has disconnected.
    Disconnected,
    /// Reading ahead pauses after a burst of discarded bytes.
    BurstDiscarded,
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
        loop {
            let mut burst_bytes = 0;
            match poll_fn(|cx| self.poll_read_ahead(cx, &mut burst_bytes)).await {
                ReadAheadEnd::Disconnected => return,
                ReadAheadEnd::BurstDiscarded => sleep(DISCARD_PAUSE).await,
            }
        }
    }

    /// Reads ahead. `burst_bytes` counts the bytes that are discarded.
    fn poll_read_ahead(&self, cx: &mut Context<'_>, burst_bytes: &mut usize) -> Poll<ReadAheadEnd> {
        let mut chunk = [0; READ_AHEAD_CHUNK_BYTES];
        let mut turn_bytes = 0;
        while matches!(self.state.activity.get(), Activity::Answering) {
            if turn_bytes >= TURN_BYTES {
                cx.waker().wake_by_ref();
                break;
            }
            // The close may be behind more data than can be read soon.
            if self.stream.borrow().is_closed_by_peer() {
                return Poll::Ready(ReadAheadEnd::Disconnected);
            }
            let mut read = ReadBuf::new(&mut chunk);
            let has_failed =
                ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, &mut read)).is_err();
            if has_failed || read.filled().is_empty() {
                return Poll::Ready(ReadAheadEnd::Disconnected);
            }
            turn_bytes += read.filled().len();
            self.state.read_ahead(read.filled());
            if !self.state.pipeline().has_overflowed() {
                // The HTTP library was polled before these bytes were buffered, so it is polled
                // again.
                cx.waker().wake_by_ref();
                continue;
            }
            *burst_bytes += read.filled().len();
            if *burst_bytes >= DISCARD_BURST_BYTES {
                return Poll::Ready(ReadAheadEnd::BurstDiscarded);
            }
        }
        Poll::Pending
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

    /// Reads the bytes that were read ahead, then from the stream.
    fn poll_next_bytes(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            match self.state.deliver(cx, buf) {
                Delivery::Copied | Delivery::End => return Poll::Ready(Ok(())),
                Delivery::AfterResponse => return Poll::Pending,
                Delivery::Socket => return self.poll_read_directly(cx, buf),
                Delivery::DiscardFromSocket => {
                    if ready!(self.poll_discard(cx))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                }
            }
        }
    }

    fn poll_read_directly(
        &self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf))?;
        let bytes = &buf.filled()[before..];
        self.state
            .update_pipeline(|pipeline| pipeline.read_directly(bytes, Instant::now()));
        Poll::Ready(Ok(()))
    }

    /// Reads once and discards the bytes. Returns their number, which is 0 at the end of the
    /// stream.
    fn poll_discard(&self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut chunk = [0; READ_AHEAD_CHUNK_BYTES];
        let mut read = ReadBuf::new(&mut chunk);
        ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, &mut read))?;
        self.state.read_ahead(read.filled());
        Poll::Ready(Ok(read.filled().len()))
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = self.poll_next_bytes(cx, buf);
        if buf.remaining() == 0 {
            self.state.read_buffer_filled();
        }
        if matches!(self.state.activity.get(), Activity::Idle(_))
            && self.state.pipeline().is_receiving()
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
        if let Poll::Ready(Ok(length)) = &written {
            self.state.write_window.on_written(*length);
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}
