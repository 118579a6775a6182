//! The body of a request to an endpoint, which the HTTP library gets in parts.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::write_window::{WriteWindow, MAX_PART_BYTES};

/// A request body that is passed to the HTTP library in parts. The library would copy a body that
/// it gets as a whole, and keep a buffer of this size for as long as the connection is open.
pub(super) struct RequestBody {
    remaining: Bytes,
    window: Rc<WriteWindow>,
}

impl RequestBody {
    /// Creates the body of a request on the connection with this window.
    pub(super) fn new(data: Bytes, window: Rc<WriteWindow>) -> RequestBody {
        RequestBody {
            remaining: data,
            window,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.remaining.is_empty() {
            return Poll::Ready(None);
        }
        ready!(self.window.poll_room(cx));
        let length = MAX_PART_BYTES.min(self.remaining.len());
        let part = self.remaining.split_to(length);
        self.window.add(length);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining.len() as u64)
    }
}
