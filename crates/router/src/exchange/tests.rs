//! Tests of `exchange`.

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;

use super::*;

#[tokio::test]
async fn a_sender_dropped_before_the_end_leaves_an_incomplete_body() {
    let (sender, mut body) = body_channel();
    sender.send(Bytes::from_static(b"a")).await.unwrap();
    drop(sender);
    assert_eq!(
        poll_fn(|cx| body.poll_next(cx)).await,
        Some(Ok(Bytes::from_static(b"a")))
    );
    assert_eq!(
        poll_fn(|cx| body.poll_next(cx)).await,
        Some(Err(IncompleteBody))
    );
    assert_eq!(poll_fn(|cx| body.poll_next(cx)).await, None);
}

#[tokio::test]
async fn a_finished_body_is_complete_and_can_be_read_after_its_sender_is_gone() {
    let (sender, mut body) = body_channel();
    sender.send(Bytes::from_static(b"a")).await.unwrap();
    sender.finish().await.unwrap();
    assert_eq!(
        poll_fn(|cx| body.poll_next(cx)).await,
        Some(Ok(Bytes::from_static(b"a")))
    );
    assert_eq!(poll_fn(|cx| body.poll_next(cx)).await, None);
}

#[tokio::test]
async fn a_dropped_handle_is_reported_once_and_a_dropped_responder_counts_as_a_failure() {
    let reported = Rc::new(Cell::new(0));
    let count = reported.clone();
    let (handle, responder) = channel(move || count.set(count.get() + 1));
    drop(handle);
    assert_eq!(reported.get(), 1);
    responder.respond(FinalResponse::Rejected(Duration::ZERO));
    let (handle, responder) = channel(|| ());
    drop(responder);
    assert!(matches!(handle.response().await.0, FinalResponse::Failed));
}
