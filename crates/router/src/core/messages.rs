//! The messages between the core and the other parts of the router.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cranetack_routing_policy::{
    ClassId, EndpointId, EndpointSpec, EndpointStatus, LoadReport, Outcome, RequestId,
};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::endpoint::{Endpoint, EndpointListUpdate};
use crate::exchange::{BodyStream, Message, Responder};

/// A request as a frontend has decoded it.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// Its id on the wire.
    pub request_id: Rc<str>,
    /// Its class.
    pub class: ClassId,
    /// Its session.
    pub session: Option<String>,
    /// The prompt prefix that it shares with other sessions.
    pub shared_prefix: Option<String>,
    /// How long the client waits for the first byte of the response body.
    pub time_to_first_byte: Duration,
    /// The rough duration of the response.
    pub expected_duration: Option<Duration>,
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// How many of these belong to the shared prefix.
    pub shared_prefix_tokens: u64,
    /// The most tokens of the response.
    pub max_tokens: u64,
    /// The client says that it is trying again.
    pub is_retry: bool,
    /// The client resumes a broken stream.
    pub is_resumed: bool,
    /// The kinds of endpoint that may serve it, a bit for each; absent for all kinds.
    pub allowed_kinds: Option<u64>,
    /// What endpoints are sent.
    pub message: Rc<Message>,
}

/// The outcome of a slot reservation at a decode endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotReservation {
    /// The slot is reserved.
    Granted,
    /// The slot is not reserved.
    Refused,
    /// The endpoint did not say whether the slot is reserved.
    Unknown,
}

/// Why an attempt ended, as seen at its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndReason {
    /// Its task failed.
    #[default]
    TaskFailed,
    /// No connection came up in time.
    NoConnection,
    /// This machine had no connection to give.
    NoLocalConnection,
    /// The endpoint takes no new requests, or the request needs no response any more: nothing was
    /// written.
    NotNeeded,
    /// The request could not be encoded.
    NotEncodable,
    /// The endpoint responded with this status.
    Responded(u16),
    /// The connection broke before the response's head, in its body, or before its first event.
    ConnectionBroken,
    /// A response that had begun did not go on.
    Stalled,
    /// It was cancelled.
    Cancelled,
    /// Its time was up.
    Expired,
    /// Its stream was passed on to the end.
    StreamCompleted,
    /// Its stream broke, or was broken off.
    StreamBroken,
}

/// The connection that an attempt used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsedConnection {
    /// Its number.
    pub number: u64,
    /// Whether it was taken from the pool.
    pub reused: bool,
}

/// What was written of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Written {
    /// The number of bytes.
    pub bytes: u64,
    /// Whether the last byte is among them.
    pub complete: bool,
}

/// What was seen on the wire of an attempt, to find the cause of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WireTrace {
    /// The connection, if there was one.
    pub connection: Option<UsedConnection>,
    /// What was written of the request.
    pub written: Written,
    /// The bytes that were read since the request began.
    pub read: u64,
    /// Why the attempt ended.
    pub reason: EndReason,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptReport {
    /// The outcome that is reported to the policy.
    pub outcome: Outcome,
    /// The prompt tokens that a served stream reports as cached; for the log.
    pub cached_tokens: u64,
    /// The endpoint's load report, if one came along.
    pub load: Option<LoadReport>,
    /// What was seen on the wire.
    pub wire: WireTrace,
}

impl AttemptReport {
    /// The same report with the reason of the end.
    pub fn because(mut self, reason: EndReason) -> AttemptReport {
        self.wire.reason = reason;
        self
    }
}

impl From<Outcome> for AttemptReport {
    fn from(outcome: Outcome) -> AttemptReport {
        AttemptReport {
            outcome,
            cached_tokens: 0,
            load: None,
            wire: WireTrace::default(),
        }
    }
}

/// An attempt at serving a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt, from 0.
    pub number: u32,
}

/// What has happened outside the core.
pub enum CoreEvent {
    /// A request has arrived.
    RequestSubmitted {
        /// Its number.
        id: RequestId,
        /// What it says.
        request: IncomingRequest,
        /// Where its final response goes.
        responder: Responder,
    },
    /// The client has disconnected, or has its whole response.
    ClientDisconnected(RequestId),
    /// The response to an attempt has begun to stream.
    StreamStarted {
        /// The attempt.
        attempt: AttemptId,
        /// The media type of the response.
        media_type: String,
        /// Its body.
        body: BodyStream,
    },
    /// An attempt has ended, and its connection no longer carries it.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        report: AttemptReport,
    },
    /// A slot reservation was answered, or may have been received.
    SlotReservationAnswered {
        /// The prefill attempt for which the slot was asked for.
        prefill_attempt: AttemptId,
        /// The request's id on the wire.
        request_id: Rc<str>,
        /// The decode endpoint.
        endpoint: EndpointId,
        /// The outcome.
        reservation: SlotReservation,
    },
    /// A health check has ended.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        elapsed: Duration,
        /// The endpoint's load report.
        load: Option<LoadReport>,
    },
    /// The endpoint list has changed.
    EndpointsUpdated(EndpointListUpdate),
    /// The endpoints of these names take no new requests; the rest of their entries could not be
    /// read.
    EndpointsDraining(Vec<String>),
    /// Gossip from another router.
    GossipReceived {
        /// The other router's number.
        from: u32,
        /// The message.
        payload: Vec<u8>,
    },
    /// The router shuts down.
    ShutdownStarted {
        /// From then on clients that ask again reach another router.
        migrate_from: Instant,
        /// All requests must have their final response by then.
        answer_by: Instant,
    },
    /// A request for the policy's view of all endpoints.
    EndpointReportsRequested(oneshot::Sender<Vec<EndpointReport>>),
}

/// An endpoint, and the policy's view of it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointReport {
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its entry of the list.
    pub spec: EndpointSpec,
    /// The policy's view of it.
    pub status: EndpointStatus,
}

/// An attempt to be made.
#[derive(Clone)]
pub struct AttemptSpec {
    /// The attempt.
    pub attempt: AttemptId,
    /// The request's id on the wire.
    pub request_id: Rc<str>,
    /// The endpoint.
    pub endpoint: Rc<Endpoint>,
    /// When to abandon it, unless its response has begun.
    pub expires_at: Instant,
    /// When to abandon it, unless it has a connection.
    pub write_by: Instant,
    /// Whether the request still needs a response.
    pub is_live: Rc<Cell<bool>>,
    /// The endpoint processes the prompt and keeps the KV state; else it responds.
    pub prefill_only: bool,
    /// It must not be executed twice, so a connection that may break under it is best avoided.
    pub non_idempotent: bool,
    /// What to send.
    pub message: Rc<Message>,
}

/// What the core has done outside. No method may wait: they start work and report as events.
pub trait Outbound {
    /// Makes an attempt.
    fn send(&mut self, spec: AttemptSpec);
    /// Cancels an attempt; one that streams only if `streaming`, which breaks its response off.
    fn cancel(&mut self, attempt: AttemptId, streaming: bool);
    /// Asks a decode endpoint for a slot, once the prefill request has been written.
    fn reserve_slot(
        &mut self,
        prefill_attempt: AttemptId,
        request_id: Rc<str>,
        decode: Rc<Endpoint>,
    );
    /// Releases all that is held for a request, through the first of these endpoints that can be
    /// reached.
    fn release_state(
        &mut self,
        request: RequestId,
        request_id: Rc<str>,
        endpoints: Vec<Rc<Endpoint>>,
    );
    /// Sends a health check to an endpoint.
    fn health_check(&mut self, endpoint: Rc<Endpoint>);
    /// Closes the idle connections to an endpoint.
    fn close_idle(&mut self, endpoint: EndpointId);
    /// Sends gossip to one router or to all.
    fn gossip(&mut self, to: Option<u32>, payload: Vec<u8>);
}
