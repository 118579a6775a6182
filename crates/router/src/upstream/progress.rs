//! What has passed over a connection to a server: how much of a request has been written, and how far its answer has
//! come. Both decide what a lost connection means for the request.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

use crate::framing::Framing;
use crate::socket::Socket;

/// How long a server may take to go on with the head or the part of an answer that it has begun.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The blank line that ends a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Looks at the bytes that pass. Among those written it finds the last one of each request: whether it is out
/// settles if the request may have run, which guards against calling a lost connection harmless, or a harmless
/// one lost. Among those read it follows the answers, to their ends.
pub struct WireProgress {
    written: Cell<Written>,
    written_all: Notify,
    /// Bytes written and read since the current request began.
    bytes: Cell<(u64, u64)>,
    answers: RefCell<Framing>,
    /// Since when a head that comes has not ended, or a part has not gone on.
    partial_since: Cell<Option<Instant>>,
}

impl Default for WireProgress {
    fn default() -> WireProgress {
        WireProgress {
            written: Cell::default(),
            written_all: Notify::new(),
            bytes: Cell::default(),
            answers: RefCell::new(Framing::of_responses()),
            partial_since: Cell::default(),
        }
    }
}

/// How much of the current request has been written.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
enum Written {
    /// No request is under way, or none of it is out.
    #[default]
    Nothing,
    /// Part of the head: so many bytes of the blank line that ends it came last, and the body's length.
    Head {
        ending: usize,
        body: usize,
        begun: bool,
    },
    /// All of the head; so many bytes of the body are to come.
    Body(usize),
    /// The last byte.
    All,
}

impl WireProgress {
    /// A request with a body of this length begins.
    pub fn begin_request(&self, body: usize) {
        self.written.set(Written::Head {
            ending: 0,
            body,
            begun: false,
        });
        self.bytes.set((0, 0));
    }

    /// No request is under way.
    pub fn reset(&self) {
        self.written.set(Written::Nothing);
    }

    /// Takes what has been written.
    pub fn on_written(&self, bytes: &[u8]) {
        let (sent, received) = self.bytes.get();
        self.bytes.set((sent + bytes.len() as u64, received));
        let mut written = self.written.get();
        let mut rest = bytes;
        while let Written::Head { ending, body, .. } = written {
            let Some((byte, more)) = rest.split_first() else {
                break;
            };
            rest = more;
            let ending = match (*byte, ending) {
                (byte, matched) if byte == HEAD_END[matched] => matched + 1,
                (b'\r', _) => 1,
                _ => 0,
            };
            written = match ending {
                4 => Written::Body(body),
                _ => Written::Head {
                    ending,
                    body,
                    begun: true,
                },
            };
        }
        if let Written::Body(left) = written {
            let left = left.saturating_sub(rest.len());
            written = if left == 0 {
                Written::All
            } else {
                Written::Body(left)
            };
        }
        self.written.set(written);
        if written == Written::All {
            self.written_all.notify_waiters();
        }
    }

    /// Takes what a server has said; an error where nobody can have asked for it, or it cannot be right. Guards
    /// against an answer to a request that was never sent, which the next one would be given.
    fn on_read(&self, bytes: &[u8]) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let (sent, received) = self.bytes.get();
        self.bytes.set((sent, received + bytes.len() as u64));
        let mut answers = self.answers.borrow_mut();
        let unasked = answers.is_between() && self.nothing_written();
        answers.push(bytes);
        self.partial_since.set(match self.partial_since.get() {
            since @ Some(_) if answers.is_in_head() => since,
            _ if answers.is_in_head() || answers.is_in_chunk() => Some(Instant::now()),
            _ => None,
        });
        if unasked || answers.is_invalid() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    /// Waits until an answer that has begun does not go on, though somebody has waited for it since `waiting_since`: it
    /// is spoilt. While nobody waits, nothing is read, which says nothing of the server.
    pub async fn stalled(&self, waiting_since: Instant) {
        loop {
            let now = Instant::now();
            match self
                .partial_since
                .get()
                .map(|since| since.max(waiting_since) + STALL_TIMEOUT)
            {
                Some(due) if now >= due => return,
                Some(due) => sleep_until(due).await,
                None => sleep_until(now + STALL_TIMEOUT).await,
            }
        }
    }

    /// Whether no part of an answer is here that has not ended.
    pub fn is_between_answers(&self) -> bool {
        self.answers.borrow().is_between()
    }

    /// Whether the request's last byte has been written.
    pub fn all_written(&self) -> bool {
        self.written.get() == Written::All
    }

    /// Bytes written and read since the current request began.
    pub fn bytes(&self) -> (u64, u64) {
        self.bytes.get()
    }

    /// Whether nothing of the request has been written.
    pub fn nothing_written(&self) -> bool {
        matches!(
            self.written.get(),
            Written::Nothing | Written::Head { begun: false, .. }
        )
    }

    /// Waits until the request's last byte has been written.
    pub async fn wait_all_written(&self) {
        loop {
            let woken = self.written_all.notified();
            if self.all_written() {
                return;
            }
            woken.await;
        }
    }
}

/// A connection's stream whose progress is noted.
pub struct ObservedStream {
    stream: Rc<RefCell<Socket>>,
    progress: Rc<WireProgress>,
}

impl ObservedStream {
    /// Notes what passes over `stream`.
    pub fn new(stream: Rc<RefCell<Socket>>, progress: Rc<WireProgress>) -> ObservedStream {
        ObservedStream { stream, progress }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf));
        Poll::Ready(read.and_then(|()| self.progress.on_read(&buf.filled()[before..])))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, buf);
        if let Poll::Ready(Ok(length)) = &written {
            self.progress.on_written(&buf[..*length]);
        }
        written
    }

    // Vectored writing is left off: hyper then joins head and body, and one count serves both.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
