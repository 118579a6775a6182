//! The channels for responses between the frontends, the core and the upstream.
//!
//! An exchange carries the final response of one request: a frontend waits for the
//! [`FinalResponse`] at its [`ResponseHandle`], and the core sends it through the [`Responder`].
//! The body of a response that streams has its own channel: the upstream writes data to a
//! [`BodySender`], and the frontend reads it from a [`BodyStream`]. The frontends and the upstream
//! do not depend on each other.

use std::fmt;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use tokio::sync::{mpsc, oneshot};

/// The maximum number of body chunks that are buffered for the frontend. The limit creates
/// backpressure: an endpoint is slowed down by a client that reads slowly.
const MAX_BUFFERED_CHUNKS: usize = 32;

/// A request as it is forwarded to an endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ForwardedRequest {
    /// The target of the request: its path and query.
    pub target: String,
    /// The media type of the body.
    pub media_type: String,
    /// The client's further headers that are meant for the endpoint, unchanged.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The one final response to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// The request is served by an endpoint, whose response streams.
    Streaming {
        /// The media type that the endpoint gave.
        media_type: String,
        /// The body of the response.
        body: BodyStream,
    },
    /// The request is rejected. It is harmless to try again, best after this delay.
    Rejected(Duration),
    /// The request failed; it may have been executed.
    Failed,
    /// The request is not accepted, as another request with the same id is open.
    DuplicateId,
}

impl FinalResponse {
    /// The name of the response for the log.
    pub fn name(&self) -> &'static str {
        match self {
            FinalResponse::Streaming { .. } => "streaming",
            FinalResponse::Rejected(_) => "rejected",
            FinalResponse::Failed => "failed",
            FinalResponse::DuplicateId => "duplicate id",
        }
    }
}

/// The error for a response body that ended before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the response body is incomplete")]
pub struct IncompleteBody;

enum Chunk {
    Data(Bytes),
    End,
}

/// The frontend's half of an exchange. If it is dropped, the client has disconnected.
pub struct ResponseHandle {
    response: oneshot::Receiver<FinalResponse>,
    disconnect: DisconnectGuard,
}

/// The core's half of an exchange.
pub struct Responder(oneshot::Sender<FinalResponse>);

/// A guard that reports on its drop that the client has disconnected or has received its whole
/// response. Nothing else reports that.
pub struct DisconnectGuard(Option<Box<dyn FnOnce()>>);

/// Opens an exchange. `on_disconnect` runs when the frontend's [`DisconnectGuard`] is dropped.
pub fn channel(on_disconnect: impl FnOnce() + 'static) -> (ResponseHandle, Responder) {
    let (sender, response) = oneshot::channel();
    let disconnect = DisconnectGuard(Some(Box::new(on_disconnect)));
    let handle = ResponseHandle {
        response,
        disconnect,
    };
    (handle, Responder(sender))
}

impl ResponseHandle {
    /// Waits for the response. The caller must keep the guard until the client has the whole
    /// response. If the core drops its half without a response, the request has failed, as it may
    /// have been executed.
    pub async fn response(self) -> (FinalResponse, DisconnectGuard) {
        let response = self.response.await.unwrap_or(FinalResponse::Failed);
        (response, self.disconnect)
    }
}

impl Responder {
    /// Sends the final response. This consumes the responder, so there can be only one response.
    pub fn respond(self, response: FinalResponse) {
        // The frontend may have dropped its half, which has reported the disconnect to the core.
        let _ = self.0.send(response);
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(on_disconnect) = self.0.take() {
            on_disconnect();
        }
    }
}

impl fmt::Debug for DisconnectGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DisconnectGuard")
    }
}

/// The upstream's half of a response body.
pub struct BodySender(mpsc::Sender<Chunk>);

/// The frontend's half of a response body: its data in order.
#[derive(Debug)]
pub struct BodyStream {
    chunks: mpsc::Receiver<Chunk>,
    ended: bool,
}

impl fmt::Debug for Chunk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Chunk::Data(data) => write!(f, "{} bytes", data.len()),
            Chunk::End => f.write_str("end"),
        }
    }
}

/// Opens the channel for a response body.
pub fn body_channel() -> (BodySender, BodyStream) {
    let (sender, chunks) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let stream = BodyStream {
        chunks,
        ended: false,
    };
    (BodySender(sender), stream)
}

impl BodySender {
    /// Sends data to the frontend. An error means that the [`BodyStream`] has been dropped.
    pub async fn send(&self, data: Bytes) -> Result<(), IncompleteBody> {
        let chunk = Chunk::Data(data);
        self.0.send(chunk).await.map_err(|_| IncompleteBody)
    }

    /// Marks the body as complete. If a sender is dropped without this call, its body is
    /// incomplete.
    pub async fn finish(self) -> Result<(), IncompleteBody> {
        self.0.send(Chunk::End).await.map_err(|_| IncompleteBody)
    }

    /// Waits until the [`BodyStream`] has been dropped.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

impl BodyStream {
    /// Polls for the next chunk: `None` at the end of a complete body, and an error once at the end
    /// of an incomplete one.
    pub fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        self.chunks.poll_recv(cx).map(|chunk| match chunk {
            Some(Chunk::Data(data)) => Some(Ok(data)),
            Some(Chunk::End) => {
                self.ended = true;
                None
            }
            None => {
                self.ended = true;
                Some(Err(IncompleteBody))
            }
        })
    }
}

#[cfg(test)]
mod tests;
