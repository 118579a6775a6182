//! The body of a request to an endpoint, which the HTTP library gets in parts.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::exchange::Payload;
use crate::write_window::{WriteWindow, MAX_PART_BYTES};

/// A request body that is passed to the HTTP library in parts. The library would copy a body that
/// it gets as a whole, and keep a buffer of this size for as long as the connection is open.
pub(super) struct RequestBody {
    payload: Payload,
    /// The rest of the segment that is being passed on.
    segment: Bytes,
    next_segment: usize,
    remaining_bytes: usize,
    window: Rc<WriteWindow>,
}

impl RequestBody {
    /// Creates the body of a request on the connection with this window.
    pub(super) fn new(payload: Payload, window: Rc<WriteWindow>) -> RequestBody {
        RequestBody {
            remaining_bytes: payload.len(),
            payload,
            segment: Bytes::new(),
            next_segment: 0,
            window,
        }
    }

    /// Returns the next part; `None` at the end of the body.
    fn next_part(&mut self) -> Option<Bytes> {
        while self.segment.is_empty() {
            self.segment = self.payload.segments().get(self.next_segment)?.clone();
            self.next_segment += 1;
        }
        let length = MAX_PART_BYTES.min(self.segment.len());
        Some(self.segment.split_to(length))
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.is_end_stream() {
            return Poll::Ready(None);
        }
        ready!(self.window.poll_room(cx));
        let Some(part) = self.next_part() else {
            return Poll::Ready(None);
        };
        self.remaining_bytes -= part.len();
        self.window.add(part.len());
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining_bytes as u64)
    }
}
