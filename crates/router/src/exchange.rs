//! The channels for responses between the frontends, the core and the upstream.
//!
//! An exchange carries the final response of one request: a frontend waits for the
//! [`FinalResponse`] at its [`ResponseHandle`], and the core sends it through the [`Responder`].
//! The body of a response that streams has its own channel: the upstream writes data to a
//! [`BodySender`], and the frontend reads it from a [`BodyStream`]. The frontends and the upstream
//! do not depend on each other.

mod body;
mod payload;

use std::fmt;
use std::time::Duration;

use http::HeaderMap;
use tokio::sync::oneshot;

pub use body::{body_channel, BodySender, BodyStream, IncompleteBody};
pub use payload::Payload;

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
    pub body: Payload,
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
    /// The request is not accepted, as another request with the same id is open, or may have been
    /// executed and must not be executed again.
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

#[cfg(test)]
mod tests;
