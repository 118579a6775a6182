//! A whole answer on its way to a client. Its bytes stay claimed until they have gone to the connection, and go
//! there in pieces: a client that reads slowly is seen, and is charged for what waits.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::exchange::IncompleteBody;
use crate::frontend::byte_budget::ByteReservation;

/// Bytes that are given at once.
const PIECE: usize = 16 * 1024;

/// The body of an answer that is here whole.
pub struct Held {
    left: Bytes,
    reservation: ByteReservation,
}

impl Held {
    /// An answer, and what it reservations.
    pub fn new(whole: Bytes, reservation: ByteReservation) -> Held {
        Held {
            left: whole,
            reservation,
        }
    }
}

impl Body for Held {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        if self.left.is_empty() {
            return Poll::Ready(None);
        }
        let piece = PIECE.min(self.left.len());
        let piece = self.left.split_to(piece);
        let left = self.left.len();
        self.reservation.shrink_to(left + PIECE);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.left.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left.len() as u64)
    }
}
