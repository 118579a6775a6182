//! Streamed responses of a fake server.

use std::time::Duration;

use bytes::Bytes;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::response::{event_stream, FakeResponse};

/// The first event of a chat stream.
pub const CHAT_EVENT: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"}}]}\n\n";
/// The event of a chat stream that carries the finish reason, before the last event.
pub const FINISH_EVENT: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n";
/// The last event of a chat stream.
pub const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Length in bytes of the text of each event in an endless stream.
const LARGE_EVENT_LENGTH: usize = 8_000;

/// Streams events with a pause of `event_interval` before each. An error closes the connection.
pub(super) fn stream_events(
    event_interval: Duration,
    events: Vec<Result<Bytes, std::io::Error>>,
) -> FakeResponse {
    let (sender, frames) = mpsc::channel(1);
    spawn_local(async move {
        for event in events {
            if !event_interval.is_zero() {
                sleep(event_interval).await;
            }
            if sender.send(event.map(Frame::data)).await.is_err() {
                return;
            }
        }
    });
    event_stream(frames)
}

/// Streams large events until the connection is closed, then drops `guard`.
pub(super) fn stream_endlessly<Guard: 'static>(guard: Guard) -> FakeResponse {
    let (sender, frames) = mpsc::channel(1);
    spawn_local(async move {
        let _guard = guard;
        let content = "x".repeat(LARGE_EVENT_LENGTH);
        let event =
            format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{content}\"}}}}]}}\n\n");
        let event = Bytes::from(event);
        while sender.send(Ok(Frame::data(event.clone()))).await.is_ok() {}
    });
    event_stream(frames)
}
