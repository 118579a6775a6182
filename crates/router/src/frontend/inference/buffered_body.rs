//! A response body that is sent to a client from memory.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::collect::CollectedBody;
use crate::exchange::IncompleteBody;
use crate::frontend::byte_budget::ByteReservation;

/// Maximum size in bytes of a frame that is passed to the connection.
const FRAME_SIZE: usize = 16 * 1024;

/// A response body that is held in memory as a whole. It is passed to the connection in frames of
/// limited size, so that the router notices a client that reads slowly. The bytes that have not
/// been passed on stay reserved, and so do those of one more frame, which the connection may still
/// hold.
pub(super) struct BufferedBody {
    remaining: Bytes,
    reservation: ByteReservation,
}

impl BufferedBody {
    /// Creates a response body from a collected one.
    pub(super) fn new(body: CollectedBody) -> BufferedBody {
        BufferedBody {
            remaining: body.data,
            reservation: body.reservation,
        }
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        if self.remaining.is_empty() {
            return Poll::Ready(None);
        }
        let length = FRAME_SIZE.min(self.remaining.len());
        let frame = self.remaining.split_to(length);
        let remaining = self.remaining.len();
        self.reservation.shrink_to(remaining + FRAME_SIZE);
        Poll::Ready(Some(Ok(Frame::data(frame))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining.len() as u64)
    }
}
