//! Tests of the queue of a response body.

use std::time::Duration;

use tokio::time::timeout;

use super::*;

/// Time after which a send that waits is taken to wait until the body is read.
const SHORT: Duration = Duration::from_millis(5);

#[tokio::test]
async fn a_sender_dropped_before_the_end_leaves_an_incomplete_body() {
    let (sender, mut body) = body_channel(&MemoryLedger::unlimited());
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
    let (sender, mut body) = body_channel(&MemoryLedger::unlimited());
    sender.send(Bytes::from_static(b"a")).await.unwrap();
    sender.finish();
    assert_eq!(
        poll_fn(|cx| body.poll_next(cx)).await,
        Some(Ok(Bytes::from_static(b"a")))
    );
    assert_eq!(poll_fn(|cx| body.poll_next(cx)).await, None);
}

/// Guards against a router that exceeds its memory as many clients read long responses slowly.
#[tokio::test]
async fn the_bytes_that_wait_for_a_slow_client_are_limited_and_reserved() {
    let memory = MemoryLedger::unlimited();
    let (sender, mut body) = body_channel(&memory);
    let chunk = Bytes::from(vec![b'x'; MAX_QUEUED_BYTES / 2 - CHUNK_OVERHEAD_BYTES]);
    for _ in 0..2 {
        sender.send(chunk.clone()).await.unwrap();
    }
    assert!(timeout(SHORT, sender.send(chunk.clone())).await.is_err());
    assert_eq!(memory.reserved(), 2 * MAX_QUEUED_BYTES);
    poll_fn(|cx| body.poll_next(cx)).await.unwrap().unwrap();
    timeout(SHORT, sender.send(chunk)).await.unwrap().unwrap();
    drop(body);
    assert_eq!(memory.reserved(), 0);
}

/// Guards against a stream that stops although its client reads: without free memory, one chunk at a
/// time still passes.
#[tokio::test]
async fn without_free_memory_one_chunk_at_a_time_is_passed_on() {
    let memory = MemoryLedger::new(100);
    let (sender, mut body) = body_channel(&memory);
    let chunk = Bytes::from(vec![b'x'; 1_000 - CHUNK_OVERHEAD_BYTES]);
    for _ in 0..3 {
        sender.send(chunk.clone()).await.unwrap();
        assert!(timeout(SHORT, sender.send(chunk.clone())).await.is_err());
        assert_eq!(memory.reserved(), 2_000);
        poll_fn(|cx| body.poll_next(cx)).await.unwrap().unwrap();
    }
    assert_eq!(memory.reserved(), 0);
}

/// Guards against small events that each hold the whole buffer that they were read into.
#[tokio::test]
async fn a_queued_chunk_does_not_hold_the_buffer_that_it_was_read_into() {
    let (sender, mut body) = body_channel(&MemoryLedger::unlimited());
    let buffer = Bytes::from(vec![b'x'; 8_192]);
    sender.send(buffer.slice(..10)).await.unwrap();
    assert!(buffer.is_unique());
    poll_fn(|cx| body.poll_next(cx)).await.unwrap().unwrap();
}

#[tokio::test]
async fn a_sender_is_told_that_the_stream_has_been_dropped() {
    let (sender, body) = body_channel(&MemoryLedger::unlimited());
    assert!(timeout(SHORT, sender.closed()).await.is_err());
    drop(body);
    sender.closed().await;
    assert!(sender.send(Bytes::from_static(b"a")).await.is_err());
}
