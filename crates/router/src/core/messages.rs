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
use crate::exchange::{BodyStream, ForwardedRequest, Responder};

/// A request as a frontend has decoded it.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// The request's id on the wire.
    pub request_id: Rc<str>,
    /// The request's class.
    pub class: ClassId,
    /// The session to which the request belongs.
    pub session: Option<String>,
    /// The name of the prompt prefix that the request shares with other sessions.
    pub shared_prefix: Option<String>,
    /// How long the client waits for the first byte of the response body.
    pub time_to_first_byte: Duration,
    /// The approximate duration of the response.
    pub expected_duration: Option<Duration>,
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// The number of prompt tokens that belong to the shared prefix.
    pub shared_prefix_tokens: u64,
    /// The maximum number of tokens in the response; 0 if the request gives none.
    pub max_tokens: u64,
    /// Whether the client says that it is trying again.
    pub is_retry: bool,
    /// Whether the client resumes a broken stream.
    pub is_resumed: bool,
    /// Whether the API of the client has a way to request the rest of a broken stream. Clients
    /// use it where the settings say that streams are resumable.
    pub client_can_resume: bool,
    /// The kinds of endpoint that may serve the request, one bit per kind; absent for all kinds.
    pub allowed_kinds: Option<u64>,
    /// The request that is forwarded to endpoints.
    pub message: Rc<ForwardedRequest>,
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

/// Why an attempt ended, as observed on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndReason {
    /// The task that carried out the attempt failed.
    #[default]
    TaskFailed,
    /// No connection to the endpoint was established in time.
    NoConnection,
    /// This machine lacked the resources to open a connection.
    NoLocalConnection,
    /// The endpoint accepts no new requests, or the request needs no response any more; nothing was
    /// written.
    NotNeeded,
    /// The request could not be encoded.
    NotEncodable,
    /// The endpoint responded with this status.
    Responded(u16),
    /// The connection broke before the response's head arrived, within the body of a response that
    /// does not stream, or before the first event of a stream.
    ConnectionBroken,
    /// A response began, but no more of it arrived.
    Stalled,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt's time limit was reached.
    Expired,
    /// The whole stream was passed on.
    StreamCompleted,
    /// The stream broke, or the router broke it off.
    StreamBroken,
}

/// The connection that an attempt used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsedConnection {
    /// The connection's number.
    pub number: u64,
    /// Whether the connection was taken from the pool.
    pub reused: bool,
}

/// How much of a request was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Written {
    /// The number of bytes that were written.
    pub bytes: u64,
    /// Whether the whole request was written.
    pub complete: bool,
}

/// What was observed on an attempt's connection, logged for the diagnosis of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct WireTrace {
    /// The connection, if the attempt had one.
    pub connection: Option<UsedConnection>,
    /// How much of the request was written.
    pub written: Written,
    /// The number of bytes that were read since the request began.
    pub read: u64,
    /// Why the attempt ended.
    pub reason: EndReason,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptReport {
    /// The outcome that is reported to the policy.
    pub outcome: Outcome,
    /// The number of prompt tokens that a served stream reports as cached, for the log.
    pub cached_tokens: u64,
    /// The endpoint's load report, if it sent one.
    pub load: Option<LoadReport>,
    /// What was observed on the attempt's connection.
    pub wire: WireTrace,
}

impl AttemptReport {
    /// Returns the report with this reason for the end of the attempt.
    pub fn with_reason(mut self, reason: EndReason) -> AttemptReport {
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
    /// The number of the attempt, counted from 0 within its request.
    pub number: u32,
}

/// What has happened outside the core.
pub enum CoreEvent {
    /// A request has arrived.
    RequestSubmitted {
        /// The request's number at this router.
        id: RequestId,
        /// The decoded request.
        request: IncomingRequest,
        /// The responder for the request's final response.
        responder: Responder,
    },
    /// The client has disconnected, or has received its whole response.
    ClientDisconnected(RequestId),
    /// The response to an attempt has begun to stream.
    StreamStarted {
        /// The attempt.
        attempt: AttemptId,
        /// The media type of the response.
        media_type: String,
        /// The body of the response.
        body: BodyStream,
    },
    /// An attempt has ended and no longer uses its connection.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How the attempt ended.
        report: AttemptReport,
    },
    /// A slot reservation has ended: the decode endpoint responded, or it did not respond but may
    /// have received the reservation.
    SlotReservationCompleted {
        /// The prefill attempt during which the slot was requested.
        prefill_attempt: AttemptId,
        /// The request's id on the wire.
        request_id: Rc<str>,
        /// The decode endpoint.
        endpoint: EndpointId,
        /// The outcome of the reservation.
        reservation: SlotReservation,
    },
    /// A health check has ended.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// The outcome of the health check.
        outcome: Outcome,
        /// How long the health check took.
        elapsed: Duration,
        /// The endpoint's load report, if it sent one.
        load: Option<LoadReport>,
    },
    /// An update of the endpoint list has arrived. It may contain no changes.
    EndpointsUpdated(EndpointListUpdate),
    /// The endpoints with these names accept no new requests; the rest of their entries could not
    /// be read.
    EndpointsDraining(Vec<String>),
    /// Gossip from another router.
    GossipReceived {
        /// The other router's number.
        from: u32,
        /// The bytes of the gossip message.
        payload: Vec<u8>,
    },
    /// The router has begun to shut down.
    ShutdownStarted {
        /// The time from which a client that sends a request again reaches another router.
        migrate_from: Instant,
        /// The time by which all requests must have their final response.
        respond_by: Instant,
    },
    /// A request for the policy's view of all endpoints.
    EndpointReportsRequested(oneshot::Sender<Vec<EndpointReport>>),
}

/// An endpoint and the policy's view of it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointReport {
    /// The address at which the endpoint listens.
    pub address: SocketAddr,
    /// The endpoint's entry in the endpoint list.
    pub spec: EndpointSpec,
    /// The policy's view of the endpoint.
    pub status: EndpointStatus,
}

/// An attempt that the upstream makes.
#[derive(Clone)]
pub struct AttemptSpec {
    /// The attempt.
    pub attempt: AttemptId,
    /// The request's id on the wire.
    pub request_id: Rc<str>,
    /// The endpoint to which the request is sent.
    pub endpoint: Rc<Endpoint>,
    /// The time at which the attempt is abandoned unless its response has begun.
    pub expires_at: Instant,
    /// The time at which the attempt is abandoned unless it has a connection.
    pub write_by: Instant,
    /// Whether the request still needs a response.
    pub needs_response: Rc<Cell<bool>>,
    /// Whether the endpoint only processes the prompt and keeps the KV state. Otherwise it serves
    /// the response.
    pub prefill_only: bool,
    /// Whether the request must not be executed twice. The upstream then opens a new connection, as
    /// an idle one may break when it is used.
    pub non_idempotent: bool,
    /// Whether the client can resume the response's stream at another router.
    pub is_resumable: bool,
    /// The request that is forwarded to the endpoint.
    pub message: Rc<ForwardedRequest>,
}

/// The operations that other parts of the router carry out for the core. No method may block: each
/// starts its operation, and the result is reported as an event.
pub trait Outbound {
    /// Starts an attempt.
    fn send(&mut self, spec: AttemptSpec);
    /// Cancels an attempt. An attempt whose response streams is cancelled only if `streaming` is
    /// true; its response is then broken off.
    fn cancel(&mut self, attempt: AttemptId, streaming: bool);
    /// Reserves a slot at a decode endpoint once the request of the prefill attempt has been
    /// written.
    fn reserve_slot(
        &mut self,
        prefill_attempt: AttemptId,
        request_id: Rc<str>,
        decode: Rc<Endpoint>,
    );
    /// Releases all state that is held for a request, through the first of these endpoints that can
    /// be reached. `request` is the request's number at this router, `request_id` its id on the
    /// wire.
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
