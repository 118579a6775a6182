//! A chat stream on its way to a client.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use cranetack_inference_api::{ApiError, EventSplitter};
use http_body::{Body, Frame};

use crate::exchange::{BodyStream, DisconnectGuard, IncompleteBody};
use crate::frontend::byte_budget::ByteReservation;

#[derive(Clone, Copy)]
enum State {
    /// EventSplitter are passed on.
    Streaming,
    /// The error event has been returned, and gets one poll to be written.
    ErrorReturned,
    /// The connection is to be broken off, so that the client does not take what it got as
    /// complete.
    BreakingOff,
    Ended,
}

/// A response body that passes on complete events only. If the endpoint's stream breaks off, an
/// error event is the last one, and then the client's connection is broken off as well.
pub(super) struct EventStreamBody {
    stream: BodyStream,
    /// Reports the client's disconnect to the core when the body is dropped.
    _disconnect: DisconnectGuard,
    /// Covers the chunks that wait for the client.
    _reservation: ByteReservation,
    events: EventSplitter,
    state: State,
}

impl EventStreamBody {
    /// The events of an endpoint's response.
    pub(super) fn new(
        stream: BodyStream,
        disconnect: DisconnectGuard,
        reservation: ByteReservation,
    ) -> EventStreamBody {
        EventStreamBody {
            stream,
            _disconnect: disconnect,
            _reservation: reservation,
            events: EventSplitter::default(),
            state: State::Streaming,
        }
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        match self.state {
            State::Streaming => self.poll_events(cx),
            State::ErrorReturned => {
                self.state = State::BreakingOff;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            State::BreakingOff => {
                self.state = State::Ended;
                Poll::Ready(Some(Err(IncompleteBody)))
            }
            State::Ended => Poll::Ready(None),
        }
    }

    fn poll_events(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        loop {
            let Poll::Ready(chunk) = self.stream.poll_next(cx) else {
                return Poll::Pending;
            };
            let Some(Ok(data)) = chunk else {
                // What follows the end of the response is of no use to the client.
                if self.events.is_done() {
                    self.state = State::Ended;
                    return Poll::Ready(None);
                }
                return Poll::Ready(Some(Ok(self.break_off())));
            };
            match self.events.push(&data) {
                Ok(Some(events)) => return Poll::Ready(Some(Ok(events))),
                Ok(None) => {}
                Err(_) => return Poll::Ready(Some(Ok(self.break_off()))),
            }
        }
    }

    /// Begins to break the stream off, and returns the error event.
    fn break_off(&mut self) -> Bytes {
        self.state = State::ErrorReturned;
        let error = ApiError::server(502, "upstream_failed", "the answer broke off");
        error.to_event().into()
    }
}

impl Body for EventStreamBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        self.poll_next(cx).map_ok(Frame::data)
    }
}
