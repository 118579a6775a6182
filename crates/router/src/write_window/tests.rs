//! Tests of the write window.

use std::future::poll_fn;
use std::time::Duration;

use tokio::time::timeout;

use super::*;

#[tokio::test]
async fn a_body_waits_while_too_much_of_it_is_unwritten_and_is_woken_once_it_is_written() {
    let window = WriteWindow::default();
    let room = || poll_fn(|cx| window.poll_room(cx));
    room().await;
    window.add(MAX_PART_BYTES);
    assert!(timeout(Duration::from_millis(5), room()).await.is_err());
    let writing = async { window.on_written(MAX_PART_BYTES) };
    tokio::join!(room(), writing);
}

#[tokio::test]
async fn what_was_not_written_of_an_earlier_body_is_forgotten() {
    let window = WriteWindow::default();
    window.add(MAX_PART_BYTES);
    window.reset();
    poll_fn(|cx| window.poll_room(cx)).await;
}
