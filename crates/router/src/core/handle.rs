//! The other parts' way to the core.

use std::cell::Cell;
use std::rc::Rc;

use cranetack_routing_policy::RequestId;
use tokio::sync::{mpsc, oneshot};

use super::messages::{CoreEvent, EndpointStatus, IncomingRequest};
use crate::exchange::{self, Caller};

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
    pub async fn endpoint_statuses(&self) -> Option<Vec<EndpointStatus>> {
        let (tx, rx) = oneshot::channel();
        self.send(CoreEvent::StatusRequested(tx));
        rx.await.ok()
    }

    /// Hands a request in.
    pub fn submit(&self, incoming: IncomingRequest) -> Caller {
        let id = RequestId(self.next.get());
        self.next.set(id.0.wrapping_add(1));
        let handle = self.clone();
        let (caller, carrier) = exchange::open(move || handle.send(CoreEvent::ClientGone(id)));
        self.send(CoreEvent::Submitted(id, incoming, carrier));
        caller
    }
}
