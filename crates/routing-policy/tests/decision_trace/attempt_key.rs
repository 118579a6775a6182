//! What attempts are known by.

use cranetack_routing_policy::*;

/// An attempt at an endpoint.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct AttemptKey {
    pub(crate) id: RequestId,
    pub(crate) number: u32,
    pub(crate) endpoint: EndpointId,
}

impl AttemptKey {
    /// The attempt that an event is of.
    pub(crate) fn of(event: &Event) -> Option<AttemptKey> {
        match event {
            Event::AttemptEnded {
                id,
                attempt,
                endpoint,
                ..
            }
            | Event::StreamStarted {
                id,
                attempt,
                endpoint,
                ..
            } => Some(AttemptKey {
                id: *id,
                number: *attempt,
                endpoint: *endpoint,
            }),
            _ => None,
        }
    }
}
