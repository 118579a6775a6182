//! What a [`crate::Policy`] tells the driver to do.

use crate::ids::{EndpointId, Micros, RequestId, TimerKey};

/// An action; the driver carries out all actions in their order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to an endpoint.
    Send {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// When to abandon the attempt.
        expires_at: Micros,
        /// By when a connection must be up and the request written: neither a KV lease nor the end
        /// of the window in which a repetition is discarded waits for a connection. 0 for no such
        /// limit.
        write_by: Micros,
    },
    /// Reserve a slot for the request at a decode endpoint.
    ReserveSlot {
        /// The request.
        id: RequestId,
        /// The decode endpoint.
        endpoint: EndpointId,
    },
    /// Release the KV state and the slot that are held for the request.
    ReleaseState(RequestId),
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Final response: rejected; it is harmless to try again.
    Reject {
        /// The request.
        id: RequestId,
        /// The client should not try again for this long (0 for no advice).
        retry_after: Micros,
    },
    /// Final response: failed.
    Fail(RequestId),
    /// Break off a running stream so that its client resumes it at another router.
    Migrate(RequestId),
    /// Deliver [`crate::Event::TimerFired`] with this key at or after `at`.
    SetTimer {
        /// When.
        at: Micros,
        /// The key to give back.
        key: TimerKey,
    },
    /// Send a health check to an endpoint.
    HealthCheck(EndpointId),
    /// Send gossip to one other router, or to all.
    Gossip {
        /// The other router, or all of them.
        to: Option<u32>,
        /// The message, at most 256 bytes.
        payload: Vec<u8>,
    },
    /// Subscribe to changes of the endpoint list from now on (or no longer).
    SubscribeEndpoints(bool),
}

/// The policy's view of an endpoint at one point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// It would be sent requests: it is active, warm enough, and neither ejected nor overloaded.
    pub accepts_work: bool,
    /// Its part of the lane score for a request of which nothing is cached, as a share of the
    /// highest possible.
    pub score: f64,
}
