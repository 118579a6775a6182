//! Relays a streaming response from an endpoint to the frontend.

use std::time::Duration;

use bytes::Bytes;
use cranetack_routing_policy::{Outcome, ResetCause};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::exchange::BodySender;
use crate::upstream::progress::{wait_silent, WireProgress};
use crate::upstream::stream_tail::StreamTail;
use crate::write_window::MAX_PART_BYTES;

/// Maximum time that a client may leave data unread before the router cancels its stream.
const CLIENT_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Relays a response body unchanged, chunk by chunk, to its end; `first_chunk` is what has been
/// read from the body already. Returns the end of the stream for the attempt's report, or as an
/// error the outcome of the attempt if the stream breaks, is cancelled, or if nothing arrives for
/// `idle_timeout`. An endpoint that writes slowly is waited for, also within an event.
pub(super) async fn relay(
    body: &mut Incoming,
    first_chunk: Bytes,
    sender: BodySender,
    idle_timeout: Duration,
    progress: Option<&WireProgress>,
) -> Result<StreamTail, Outcome> {
    const BROKEN: Outcome = Outcome::ConnectionReset(ResetCause::InUse);
    let mut tail = StreamTail::default();
    let mut chunk = Some(first_chunk);
    loop {
        if let Some(chunk) = chunk.take() {
            tail.push(&chunk);
            send_in_parts(&sender, chunk).await?;
        }
        tokio::select! {
            frame = body.frame() => match frame {
                Some(Ok(frame)) => chunk = frame.into_data().ok(),
                None => break,
                Some(Err(_)) => return Err(BROKEN),
            },
            () = sender.closed() => return Err(Outcome::Cancelled),
            () = wait_silent(progress, idle_timeout) => return Err(BROKEN),
        }
    }
    sender.finish();
    Ok(tail)
}

/// Sends a chunk to the frontend in parts, so that little of it waits for a slow client twice.
async fn send_in_parts(sender: &BodySender, mut chunk: Bytes) -> Result<(), Outcome> {
    while !chunk.is_empty() {
        let part = chunk.split_to(MAX_PART_BYTES.min(chunk.len()));
        send_to_client(sender, part).await?;
    }
    Ok(())
}

/// Sends a chunk to the frontend. The attempt is cancelled if the client has disconnected or reads
/// nothing for [`CLIENT_READ_TIMEOUT`].
async fn send_to_client(sender: &BodySender, chunk: Bytes) -> Result<(), Outcome> {
    match timeout(CLIENT_READ_TIMEOUT, sender.send(chunk)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(Outcome::Cancelled),
    }
}
