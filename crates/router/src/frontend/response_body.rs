//! The bodies of responses to clients.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;

use super::connections::RequestGuard;
use crate::exchange::{BodyStream, DisconnectGuard, IncompleteBody};

/// The body of a response.
pub enum ResponseBody {
    /// A complete body that the router made.
    Full(Full<Bytes>),
    /// The response of an endpoint, passed on as it arrives.
    Stream(StreamBody),
    /// A body type of a frontend's own.
    Boxed(Pin<Box<dyn Body<Data = Bytes, Error = IncompleteBody>>>),
}

impl ResponseBody {
    /// A complete body.
    pub fn full(data: impl Into<Bytes>) -> ResponseBody {
        ResponseBody::Full(Full::new(data.into()))
    }

    /// A body type of a frontend's own.
    pub fn boxed(body: impl Body<Data = Bytes, Error = IncompleteBody> + 'static) -> ResponseBody {
        ResponseBody::Boxed(Box::pin(body))
    }

    /// The response of an endpoint. `disconnect` is dropped with the body.
    pub fn stream(stream: BodyStream, disconnect: DisconnectGuard) -> ResponseBody {
        ResponseBody::Stream(StreamBody {
            stream,
            _disconnect: disconnect,
            is_broken: false,
        })
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        match self.get_mut() {
            ResponseBody::Full(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|infallible| match infallible {}),
            ResponseBody::Stream(body) => body.poll_next(cx).map_ok(Frame::data),
            ResponseBody::Boxed(body) => body.as_mut().poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Full(body) => body.is_end_stream(),
            ResponseBody::Stream(_) => false,
            ResponseBody::Boxed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(body) => body.size_hint(),
            ResponseBody::Stream(_) => SizeHint::default(),
            ResponseBody::Boxed(body) => body.size_hint(),
        }
    }
}

/// An endpoint's response on its way to a client.
pub struct StreamBody {
    stream: BodyStream,
    /// Reports the client's disconnect to the core when the body is dropped.
    _disconnect: DisconnectGuard,
    /// The stream has broken off, and the error has not been returned yet.
    is_broken: bool,
}

impl StreamBody {
    /// On an error, hyper closes the connection without the last chunk, and without the data that
    /// it has not written yet. So the error is held back for one poll: the client gets what arrived
    /// before it.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        if self.is_broken {
            return Poll::Ready(Some(Err(IncompleteBody)));
        }
        let next = self.stream.poll_next(cx);
        if let Poll::Ready(Some(Err(IncompleteBody))) = next {
            self.is_broken = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        next
    }
}

/// A response body that keeps its request noted as being answered until it is dropped.
pub(crate) struct GuardedBody {
    body: ResponseBody,
    _guard: RequestGuard,
}

impl GuardedBody {
    /// A body that holds `guard`.
    pub(crate) fn new(body: ResponseBody, guard: RequestGuard) -> GuardedBody {
        GuardedBody {
            body,
            _guard: guard,
        }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
