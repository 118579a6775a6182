//! Tests of accepting connections.

use std::cell::RefCell;

use super::*;

/// Guards against connections that are reset as a call to accept the one before them failed.
#[tokio::test(start_paused = true)]
async fn a_failed_call_does_not_end_the_reading_of_the_accept_queue() {
    let failures = [
        ErrorKind::ConnectionAborted,
        ErrorKind::Interrupted,
        ErrorKind::Other,
    ];
    let results = failures.map(|kind| Err(kind.into())).into_iter();
    let results = RefCell::new(results.chain([Ok("connection")]));
    let accept = || {
        let next = results.borrow_mut().next();
        next.unwrap_or(Err(ErrorKind::WouldBlock.into()))
    };
    assert_eq!(accept_queued(accept).await, Some("connection"));
    assert_eq!(accept_queued(accept).await, None);
}
