//! Forwards the events of a chat stream to a client.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use cranetack_inference_api::{ApiError, EventSplitter};
use http_body::{Body, Frame};

use crate::exchange::{BodyStream, DisconnectGuard, IncompleteBody};
use crate::frontend::byte_budget::ByteReservation;

#[derive(Clone, Copy)]
enum State {
    /// Events are being forwarded.
    Streaming,
    /// The error event has been returned. The next poll returns `Pending`, so that the connection
    /// writes the event before it is closed.
    ErrorReturned,
    /// The next poll returns an error, which breaks off the connection, so that the client does not
    /// take the response for complete.
    Aborting,
    Ended,
}

/// A response body that forwards only complete events. If the endpoint's stream breaks off, the
/// client gets an error event as the last one, and then its connection is broken off.
pub(super) struct EventStreamBody {
    stream: BodyStream,
    /// Reports the client's disconnect to the core when the body is dropped.
    _disconnect: DisconnectGuard,
    /// The bytes reserved for chunks that the client has not read yet.
    _reservation: ByteReservation,
    events: EventSplitter,
    state: State,
}

impl EventStreamBody {
    /// Creates a body that forwards the events of an endpoint's response.
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
                self.state = State::Aborting;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            State::Aborting => {
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
                // The final event has been forwarded, so it does not matter how the body ends.
                if self.events.is_done() {
                    self.state = State::Ended;
                    return Poll::Ready(None);
                }
                return Poll::Ready(Some(Ok(self.abort())));
            };
            match self.events.push(&data) {
                Ok(Some(events)) => return Poll::Ready(Some(Ok(events))),
                Ok(None) => {}
                Err(_) => return Poll::Ready(Some(Ok(self.abort()))),
            }
        }
    }

    /// Begins to abort the response, and returns the error event.
    fn abort(&mut self) -> Bytes {
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
