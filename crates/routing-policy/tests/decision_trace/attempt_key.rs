//! The key by which an attempt is identified.

use cranetack_routing_policy::*;

/// The request, the number and the endpoint of an attempt.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct AttemptKey {
    pub(crate) id: RequestId,
    pub(crate) number: u32,
    pub(crate) endpoint: EndpointId,
}

impl AttemptKey {
    /// Returns the key of the attempt that an event belongs to, or `None` if it belongs to none.
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
