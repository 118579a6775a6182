//! Closes connections in order: what still arrives is read first, as data that is unread at the
//! close would reset the connection.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::socket::Socket;

/// How much is discarded with one read.
const DISCARD_BUFFER_BYTES: usize = 2 * 1024;

/// Closes this side of a connection and discards what still arrives, until the other side closes or
/// fails.
pub(crate) async fn shut_down_and_drain(stream: &RefCell<Socket>) {
    // Fails if the other side has reset the connection: then there is nothing to read either.
    let _ = poll_fn(|cx| Pin::new(&mut *stream.borrow_mut()).poll_shutdown(cx)).await;
    loop {
        match poll_fn(|cx| poll_discard(stream, cx)).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// Discards what has been received, without waiting for more.
pub(crate) async fn discard_received(stream: &RefCell<Socket>) {
    poll_fn(|cx| {
        while matches!(poll_discard(stream, cx), Poll::Ready(Ok(length)) if length > 0) {}
        Poll::Ready(())
    })
    .await;
}

/// Discards what one read returns: its length, 0 at the end.
fn poll_discard(stream: &RefCell<Socket>, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
    let mut buffer = [0; DISCARD_BUFFER_BYTES];
    let mut read = ReadBuf::new(&mut buffer);
    ready!(Pin::new(&mut *stream.borrow_mut()).poll_read(cx, &mut read))?;
    Poll::Ready(Ok(read.filled().len()))
}
