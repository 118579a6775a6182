//! Where the server side and the client side of the router meet.
//!
//! A frontend opens an exchange for a request and waits for its [`FinalResponse`]; the core holds
//! the other half and gives that response. A response that streams is a pair too: the upstream
//! pushes data into a [`BodySender`], the frontend reads it from a [`BodyStream`]. Neither side
//! knows the other.

use std::fmt;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use tokio::sync::{mpsc, oneshot};

/// Chunks that may wait between the two sides: a client that reads slowly slows its endpoint.
const CHUNKS_IN_FLIGHT: usize = 32;

/// What an endpoint is to be sent, as it arrived.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Message {
    /// The target of the request: its path and query.
    pub target: String,
    /// The media type of the body.
    pub media_type: String,
    /// Further headers that are meant for the endpoint, as the client sent them.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The one final response to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// Served: the response of one endpoint.
    Streaming {
        /// The media type that the endpoint gave.
        media_type: String,
        /// The body, as it arrives.
        body: BodyStream,
    },
    /// Rejected: it is harmless to try again, best after this span.
    Rejected(Duration),
    /// Failed: the request may have been executed.
    Failed,
    /// Not accepted: another request with its id is open.
    DuplicateId,
}

impl FinalResponse {
    /// A word for it, for the log.
    pub fn name(&self) -> &'static str {
        match self {
            FinalResponse::Streaming { .. } => "streaming",
            FinalResponse::Rejected(_) => "rejected",
            FinalResponse::Failed => "failed",
            FinalResponse::DuplicateId => "duplicate id",
        }
    }
}

/// A response body that broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the response body is incomplete")]
pub struct IncompleteBody;

enum Chunk {
    Data(Bytes),
    End,
}

/// The frontend's half of an exchange. Dropping it before the response has ended means that the
/// client has disconnected.
pub struct ResponseHandle {
    response: oneshot::Receiver<FinalResponse>,
    disconnect: DisconnectGuard,
}

/// The core's half of an exchange.
pub struct Responder(oneshot::Sender<FinalResponse>);

/// Reports, when it is dropped, that the client has disconnected: the one place that does.
pub struct DisconnectGuard(Option<Box<dyn FnOnce()>>);

/// Opens an exchange; `on_disconnect` runs when the frontend's half ends.
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
    /// Waits for the response. The guard must live as long as the client is being answered. A core
    /// that has failed drops its half, which counts as a failure: the request may have been
    /// executed.
    pub async fn response(self) -> (FinalResponse, DisconnectGuard) {
        let response = self.response.await.unwrap_or(FinalResponse::Failed);
        (response, self.disconnect)
    }
}

impl Responder {
    /// Gives the final response. Consumes the half, so there is no second one.
    pub fn respond(self, response: FinalResponse) {
        // A frontend that has gone needs no response; its guard has notified the core.
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

/// Where an upstream puts the data of a response body.
pub struct BodySender(mpsc::Sender<Chunk>);

/// The data of a response body, in order.
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

/// Opens a response body.
pub fn body_channel() -> (BodySender, BodyStream) {
    let (sender, chunks) = mpsc::channel(CHUNKS_IN_FLIGHT);
    let stream = BodyStream {
        chunks,
        ended: false,
    };
    (BodySender(sender), stream)
}

impl BodySender {
    /// Passes data on; an error means that nobody reads any more.
    pub async fn send(&self, data: Bytes) -> Result<(), IncompleteBody> {
        let chunk = Chunk::Data(data);
        self.0.send(chunk).await.map_err(|_| IncompleteBody)
    }

    /// Marks the body as complete. A sender that is dropped without this leaves an incomplete one.
    pub async fn finish(self) -> Result<(), IncompleteBody> {
        self.0.send(Chunk::End).await.map_err(|_| IncompleteBody)
    }

    /// Waits until nobody reads any more.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

impl BodyStream {
    /// The next chunk, `None` at the end of a complete body, an error where it broke off.
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
