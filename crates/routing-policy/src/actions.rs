//! The actions that a [`crate::Policy`] returns to its driver, and its view of the endpoints.

use crate::ids::{EndpointId, Micros, RequestId, TimerKey};

/// An instruction to the driver, which carries out all actions in the order in which they are
/// returned.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to an endpoint.
    Send {
        /// The request to send.
        id: RequestId,
        /// The endpoint that the request is sent to.
        endpoint: EndpointId,
        /// The time at which the driver abandons the attempt.
        expires_at: Micros,
        /// The time by which a connection must be established and the request written; 0 for no
        /// limit. It keeps a KV lease, or the window in which endpoints discard repetitions, from
        /// ending while the driver waits for a connection.
        write_by: Micros,
    },
    /// Reserve a slot for the request at a decode endpoint.
    ReserveSlot {
        /// The request that the slot is reserved for.
        id: RequestId,
        /// The decode endpoint at which the slot is reserved.
        endpoint: EndpointId,
    },
    /// Release the KV state and the slot that are held for the request.
    ReleaseState(RequestId),
    /// Cancel an attempt that is in flight.
    CancelAttempt {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt among those of the request, from 0.
        attempt: u32,
    },
    /// Reject the request as its final response, which tells the client that it is harmless to try
    /// again.
    Reject {
        /// The request to reject.
        id: RequestId,
        /// The time that the client should wait before it tries again; 0 for no advice.
        retry_after: Micros,
    },
    /// Fail the request as its final response; it may have been executed.
    Fail(RequestId),
    /// Break off a running stream so that its client resumes it at another router.
    Migrate(RequestId),
    /// Deliver [`crate::Event::TimerFired`] with this key at or after `at`.
    SetTimer {
        /// The earliest time at which the event is delivered.
        at: Micros,
        /// The key that the event contains.
        key: TimerKey,
    },
    /// Send a health check to an endpoint.
    HealthCheck(EndpointId),
    /// Send a gossip message to one other router, or to all of them.
    Gossip {
        /// The number of the router that the message is sent to; `None` for all other routers.
        to: Option<u32>,
        /// The message, of at most 256 bytes.
        payload: Vec<u8>,
    },
    /// Subscribe to changes of the endpoint list (`true`), or end the subscription (`false`).
    SubscribeEndpoints(bool),
}

/// The policy's view of an endpoint at one point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointStatus {
    /// The endpoint that the status describes.
    pub endpoint: EndpointId,
    /// Whether the policy would send requests to the endpoint: it is active, warm enough, and
    /// neither ejected nor overloaded.
    pub accepts_work: bool,
    /// The endpoint's part of the lane score for a request without cached tokens, as a share of the
    /// highest possible value.
    pub score: f64,
}
