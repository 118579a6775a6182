//! The handle by which the other parts of the router reach the core.

use std::cell::Cell;
use std::rc::Rc;

use cranetack_routing_policy::RequestId;
use tokio::sync::{mpsc, oneshot};

use super::messages::{CoreEvent, EndpointReport, IncomingRequest};
use crate::exchange::{self, ResponseHandle};

/// Sends events to the core. Clones are cheap and reach the same core.
#[derive(Clone)]
pub struct Handle {
    events: mpsc::UnboundedSender<CoreEvent>,
    next_request: Rc<Cell<u32>>,
}

impl Handle {
    /// Creates a handle, and the receiver for its events.
    pub fn new() -> (Handle, mpsc::UnboundedReceiver<CoreEvent>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let handle = Handle {
            events,
            next_request: Rc::new(Cell::new(0)),
        };
        (handle, receiver)
    }

    /// Sends the core an event. If the core has stopped, the event is dropped.
    pub fn send(&self, event: CoreEvent) {
        let _ = self.events.send(event);
    }

    /// Returns the policy's view of all endpoints, or `None` if the core has stopped.
    pub async fn endpoint_reports(&self) -> Option<Vec<EndpointReport>> {
        let (reply, reports) = oneshot::channel();
        self.send(CoreEvent::EndpointReportsRequested(reply));
        reports.await.ok()
    }

    /// Submits a request and returns the handle for its final response. When the handle, or the
    /// guard that it gives with the response, is dropped, the core receives
    /// [`CoreEvent::ClientDisconnected`].
    pub fn submit(&self, request: IncomingRequest) -> ResponseHandle {
        let id = RequestId(self.next_request.get());
        self.next_request.set(id.0.wrapping_add(1));
        let handle = self.clone();
        let (response, responder) = exchange::channel(move || {
            handle.send(CoreEvent::ClientDisconnected(id));
        });
        self.send(CoreEvent::RequestSubmitted {
            id,
            request,
            responder,
        });
        response
    }
}
