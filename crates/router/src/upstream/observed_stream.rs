//! A wrapper of a connection's stream that records what is read and written.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::progress::WireProgress;
use crate::socket::Socket;
use crate::write_window::WriteWindow;

/// A stream that records in a [`WireProgress`] what is read and written, and in a [`WriteWindow`]
/// what is written.
pub(crate) struct ObservedStream {
    stream: Rc<RefCell<Socket>>,
    progress: Rc<WireProgress>,
    window: Rc<WriteWindow>,
}

impl ObservedStream {
    /// Wraps `stream` and records in `progress` and `window` what is read and written.
    pub(crate) fn new(
        stream: Rc<RefCell<Socket>>,
        progress: Rc<WireProgress>,
        window: Rc<WriteWindow>,
    ) -> ObservedStream {
        ObservedStream {
            stream,
            progress,
            window,
        }
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
            self.window.on_written(*length);
        }
        written
    }

    // Vectored writes are not supported, so that hyper joins head and body in one buffer and
    // `poll_write` sees all bytes in order.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}
