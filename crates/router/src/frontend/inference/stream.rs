//! A chat stream on its way to a client: whole events only, and where it breaks, the error as the last one.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use cranetack_inference_api::{ApiError, Events};
use http_body::{Body, Frame};

use crate::exchange::{BodyStream, DisconnectGuard, IncompleteBody};
use crate::frontend::byte_budget::ByteReservation;

enum State {
    Passing,
    /// The error has been given, and has its turn to be written.
    Told,
    /// ... and now the connection ends: the client must not take what came for all.
    Breaking,
    Over,
}

/// The body of a stream's answer.
pub struct EventStream {
    parts: BodyStream,
    /// Tells when the client is done.
    _gone: DisconnectGuard,
    /// What its parts count for.
    _reservation: ByteReservation,
    events: Events,
    state: State,
}

impl EventStream {
    /// The events of a server's answer.
    pub fn new(
        parts: BodyStream,
        gone: DisconnectGuard,
        reservation: ByteReservation,
    ) -> EventStream {
        EventStream {
            parts,
            _gone: gone,
            _reservation: reservation,
            events: Events::default(),
            state: State::Passing,
        }
    }

    fn next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        loop {
            match self.state {
                State::Passing => {}
                State::Told => {
                    self.state = State::Breaking;
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
                State::Breaking => {
                    self.state = State::Over;
                    return Poll::Ready(Some(Err(IncompleteBody)));
                }
                State::Over => return Poll::Ready(None),
            }
            let Poll::Ready(part) = self.parts.poll_next(cx) else {
                return Poll::Pending;
            };
            let passed = match part {
                Some(Ok(data)) => self.events.push(&data).ok(),
                // What follows the end of the answer is of no use to the client.
                Some(Err(IncompleteBody)) | None if self.events.is_done() => {
                    self.state = State::Over;
                    continue;
                }
                Some(Err(IncompleteBody)) | None => None,
            };
            match passed {
                Some(Some(whole)) => return Poll::Ready(Some(Ok(whole))),
                Some(None) => {}
                None => {
                    self.state = State::Told;
                    let error = ApiError::server(502, "upstream_failed", "the answer broke off");
                    return Poll::Ready(Some(Ok(error.to_event().into())));
                }
            }
        }
    }
}

impl Body for EventStream {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        self.next(cx).map_ok(Frame::data)
    }
}
