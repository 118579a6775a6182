//! The other parts' way to the core.

use std::cell::Cell;
use std::rc::Rc;

use cranetack_routing_policy::RequestId;
use tokio::sync::{mpsc, oneshot};

use super::messages::{CoreEvent, EndpointReport, IncomingRequest};
use crate::exchange::{self, ResponseHandle};

/// Through which the other parts tell the core what has happened. Cheap to clone.
#[derive(Clone)]
pub struct Handle {
    events: mpsc::UnboundedSender<CoreEvent>,
    next: Rc<Cell<u32>>,
}

impl Handle {
    /// A handle, and where its events come out.
    pub fn new() -> (Handle, mpsc::UnboundedReceiver<CoreEvent>) {
        let (events, rx) = mpsc::unbounded_channel();
        (
            Handle {
                events,
                next: Rc::new(Cell::new(0)),
            },
            rx,
        )
    }

    /// Sends the core an event. Once it has stopped, nobody needs to know.
    pub fn send(&self, event: CoreEvent) {
        let _ = self.events.send(event);
    }

    /// Asks how the module stands towards the servers; `None` once the core has stopped.
    pub async fn endpoint_reports(&self) -> Option<Vec<EndpointReport>> {
        let (tx, rx) = oneshot::channel();
        self.send(CoreEvent::EndpointReportsRequested(tx));
        rx.await.ok()
    }

    /// Hands a request in.
    pub fn submit(&self, request: IncomingRequest) -> ResponseHandle {
        let id = RequestId(self.next.get());
        self.next.set(id.0.wrapping_add(1));
        let handle = self.clone();
        let (response, responder) =
            exchange::channel(move || handle.send(CoreEvent::ClientDisconnected(id)));
        self.send(CoreEvent::RequestSubmitted {
            id,
            request,
            responder,
        });
        response
    }
}
