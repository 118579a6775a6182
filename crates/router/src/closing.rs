//! How connections are closed: in order, after what still comes has been read.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::socket::Socket;

/// What is thrown away at once.
const PIECE: usize = 2 * 1024;

/// Closes our side of a connection and throws away what still comes, until the other side closes or fails.
pub async fn shut_down_and_drain(stream: &RefCell<Socket>) {
    // Fails where the client has reset the connection: then there is nothing to read either.
    let _ = poll_fn(|cx| Pin::new(&mut *stream.borrow_mut()).poll_shutdown(cx)).await;
    while poll_fn(|cx| poll_discard(stream, cx))
        .await
        .is_ok_and(|length| length > 0)
    {}
}

/// Throws away what has been received, without waiting for more.
pub async fn discard_received(stream: &RefCell<Socket>) {
    poll_fn(|cx| {
        while matches!(poll_discard(stream, cx), Poll::Ready(Ok(length)) if length > 0) {}
        Poll::Ready(())
    })
    .await;
}

fn poll_discard(stream: &RefCell<Socket>, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
    let mut piece = [0; PIECE];
    let mut read = ReadBuf::new(&mut piece);
    ready!(Pin::new(&mut *stream.borrow_mut()).poll_read(cx, &mut read))?;
    Poll::Ready(Ok(read.filled().len()))
}
