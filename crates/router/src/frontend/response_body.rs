//! The bodies of responses to clients.

use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;

use super::connections::RequestGuard;
use crate::exchange::{BodyStream, DisconnectGuard, IncompleteBody};
use crate::write_window::MAX_PART_BYTES;

/// The body of a response to a client.
pub enum ResponseBody {
    /// A complete body that the router generated.
    Full(Full<Bytes>),
    /// The response body of an endpoint, forwarded as it arrives.
    Stream(StreamBody),
    /// A body of a type that a frontend defines.
    Boxed(Pin<Box<dyn Body<Data = Bytes, Error = IncompleteBody>>>),
}

impl ResponseBody {
    /// Returns a body with the complete `data`.
    pub fn full(data: impl Into<Bytes>) -> ResponseBody {
        ResponseBody::Full(Full::new(data.into()))
    }

    /// Returns a body of a type that a frontend defines.
    pub fn boxed(body: impl Body<Data = Bytes, Error = IncompleteBody> + 'static) -> ResponseBody {
        ResponseBody::Boxed(Box::pin(body))
    }

    /// Returns a body that forwards the response body of an endpoint. The guard is dropped with the
    /// returned body.
    pub fn stream(stream: BodyStream, disconnect_guard: DisconnectGuard) -> ResponseBody {
        ResponseBody::Stream(StreamBody {
            stream,
            _disconnect_guard: disconnect_guard,
            error_pending: false,
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

/// An endpoint's response body that is being forwarded to a client.
pub struct StreamBody {
    stream: BodyStream,
    /// Reports the client's disconnect to the core when the body is dropped.
    _disconnect_guard: DisconnectGuard,
    /// Whether the stream has ended early, and the error has not been returned yet.
    error_pending: bool,
}

impl StreamBody {
    /// Polls for the next data. An error is returned one poll later than it occurs: on an error,
    /// hyper closes the connection without the last chunk and without the data that it has not
    /// written yet, and the delay lets it write the data that arrived before the error.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        if self.error_pending {
            return Poll::Ready(Some(Err(IncompleteBody)));
        }
        let next = self.stream.poll_next(cx);
        if let Poll::Ready(Some(Err(IncompleteBody))) = next {
            self.error_pending = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        next
    }
}

/// A response body whose request counts as being answered until the body is dropped. It is passed to
/// the HTTP library as its client reads it.
pub(crate) struct GuardedBody {
    body: ResponseBody,
    /// The rest of the data that the body has returned last.
    rest: Bytes,
    guard: RequestGuard,
}

impl GuardedBody {
    /// Creates a body that keeps `guard` until it is dropped.
    pub(crate) fn new(body: ResponseBody, guard: RequestGuard) -> GuardedBody {
        GuardedBody {
            body,
            rest: Bytes::new(),
            guard,
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
        ready!(self.guard.write_window().poll_room(cx));
        if self.rest.is_empty() {
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => self.rest = data,
                    Err(frame) => return Poll::Ready(Some(Ok(frame))),
                },
                end => return Poll::Ready(end),
            }
        }
        let length = MAX_PART_BYTES.min(self.rest.len());
        let part = self.rest.split_to(length);
        self.guard.write_window().add(length);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.len() as u64;
        let hint = self.body.size_hint();
        let mut total = SizeHint::new();
        total.set_lower(hint.lower() + rest);
        if let Some(upper) = hint.upper() {
            total.set_upper(upper + rest);
        }
        total
    }
}
