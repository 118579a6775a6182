//! Responses of the fake servers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

/// A response of a fake server.
pub type FakeResponse = Response<UnsyncBoxBody<Bytes, std::io::Error>>;

/// A frame of a streamed body, or an error that closes the connection.
pub(crate) type FrameResult = Result<Frame<Bytes>, std::io::Error>;

/// Builds a JSON response with a body of known length.
pub(crate) fn complete(status: StatusCode, body: Bytes) -> FakeResponse {
    let body = Full::new(body)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync();
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(body)
        .unwrap()
}

/// Builds an event stream whose frames are received from a channel. It ends when the sender of the
/// channel is dropped.
pub(crate) fn event_stream(frames: mpsc::Receiver<FrameResult>) -> FakeResponse {
    Response::builder()
        .header("content-type", "text/event-stream")
        .body(ChannelBody(frames).boxed_unsync())
        .unwrap()
}

/// A body whose frames are received from a channel.
struct ChannelBody(mpsc::Receiver<FrameResult>);

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<FrameResult>> {
        self.0.poll_recv(context)
    }
}
