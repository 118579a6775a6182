//! Closes connections without a reset: closing a connection with unread data would reset it, so the
//! data is read and discarded first.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::socket::Socket;

/// Maximum number of bytes that are discarded with one read.
const DISCARD_BUFFER_BYTES: usize = 2 * 1024;

/// Shuts down the sending side of a connection and discards the data that still arrives, until the
/// other side closes the connection or reading fails.
pub(crate) async fn shut_down_and_discard(stream: &RefCell<Socket>) {
    // This fails if the other side has reset the connection. Then there is nothing to read either.
    let _ = poll_fn(|cx| Pin::new(&mut *stream.borrow_mut()).poll_shutdown(cx)).await;
    loop {
        match poll_fn(|cx| poll_discard(stream, cx)).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// Discards the data that has been received, without waiting for more.
pub(crate) async fn discard_received(stream: &RefCell<Socket>) {
    poll_fn(|cx| {
        while matches!(poll_discard(stream, cx), Poll::Ready(Ok(length)) if length > 0) {}
        Poll::Ready(())
    })
    .await;
}

/// Reads once, discards the data and returns its length, which is 0 at the end of the stream.
fn poll_discard(stream: &RefCell<Socket>, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
    let mut buffer = [0; DISCARD_BUFFER_BYTES];
    let mut read = ReadBuf::new(&mut buffer);
    ready!(Pin::new(&mut *stream.borrow_mut()).poll_read(cx, &mut read))?;
    Poll::Ready(Ok(read.filled().len()))
}
