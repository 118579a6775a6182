//! Tests of `exchange`.

use std::cell::Cell;
use std::rc::Rc;

use super::*;

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
