//! A TCP stream that tolerates short and interrupted reads and writes.

use std::future::Future;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::{pin, Pin};
use std::task::{ready, Context, Poll, Waker};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// A TCP stream that waits for a readiness event only after the system has reported that a call
/// would block.
///
/// The runtime's own stream takes a short read or write as a sign that the system's buffer is empty
/// or full, and waits for a readiness event. If the call was short for another reason, no such
/// event follows, and the connection would hang.
#[derive(Debug)]
pub(crate) struct Socket(TcpStream);

impl From<TcpStream> for Socket {
    fn from(stream: TcpStream) -> Socket {
        Socket(stream)
    }
}

impl Socket {
    /// Returns whether the system has received data that has not been read yet.
    pub(crate) fn has_received(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(self)
            .peek(&mut byte)
            .is_ok_and(|length| length > 0)
    }

    /// Returns whether the system has been told that the other side has closed the connection. There
    /// may be unread data before the close.
    pub(crate) fn is_closed_by_peer(&self) -> bool {
        let ready = pin!(self.0.ready(Interest::READABLE));
        let mut cx = Context::from_waker(Waker::noop());
        matches!(ready.poll(&mut cx), Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Makes the system reset the connection when it is closed, and drop what it has not sent yet.
    pub(crate) fn reset_on_close(&self) {
        // This fails only if the connection has ended already.
        let _ = self.0.set_zero_linger();
    }
}

impl AsFd for Socket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}

/// Returns whether a failed call must be repeated once the socket is ready.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read_buf(buf) {
                Err(error) if is_transient(&error) => {}
                read => return Poll::Ready(read.map(|_| ())),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(buf) {
                Err(error) if is_transient(&error) => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
