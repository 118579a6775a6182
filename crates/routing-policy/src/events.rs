//! The events that the driver delivers to a [`crate::Policy`].

use crate::ids::{
    CellId, ClassId, EndpointId, KindId, Micros, PrefixId, RequestId, SessionId, TimerKey, ZoneId,
};

/// The state of an endpoint on the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint takes requests.
    Active,
    /// The endpoint completes the requests that it has and takes no new ones.
    Draining,
    /// The endpoint has been removed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointSpec {
    /// The endpoint that the entry describes.
    pub id: EndpointId,
    /// The time at which the endpoint's present process started; `None` if that was long ago.
    pub started_at: Option<Micros>,
    /// The kind of the endpoint.
    pub kind: KindId,
    /// Whether the endpoint takes requests.
    pub state: EndpointState,
    /// The cell that the endpoint belongs to.
    pub cell: CellId,
    /// The size of the endpoint relative to others of its role.
    pub weight: f64,
    /// The zone that the endpoint runs in.
    pub zone: ZoneId,
}

/// An update of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// The changed entries.
    Delta(Vec<EndpointSpec>),
    /// All entries. An endpoint without an entry has been removed.
    Snapshot(Vec<EndpointSpec>),
    /// All entries as this router had them before its restart; they may be out of date.
    Restored(Vec<EndpointSpec>),
    /// A failed poll. The entries that are known stay valid.
    PollFailed,
}

/// A request as it arrived.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RequestSpec {
    /// The number of the request.
    pub id: RequestId,
    /// The class of the request.
    pub class: ClassId,
    /// The session that the request belongs to, if any.
    pub session: Option<SessionId>,
    /// The prefix that the prompt shares with those of other sessions, if any.
    pub shared_prefix: Option<PrefixId>,
    /// The time at which the client stops waiting.
    pub deadline: Micros,
    /// The approximate duration of the response at the class's token interval.
    pub expected_duration: Option<Micros>,
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// The number of prompt tokens that belong to the shared prefix.
    pub shared_prefix_tokens: u64,
    /// The maximum number of tokens in the response.
    pub max_tokens: u64,
    /// Whether the client says that it is trying again.
    pub is_retry: bool,
    /// Whether the client resumes a stream that broke or was migrated.
    pub is_resumed: bool,
    /// Whether the client has a way to request the rest of a broken stream.
    pub client_can_resume: bool,
    /// The kinds of endpoint that may serve the request, as a bit mask of the first 64; `None` for
    /// all kinds.
    pub allowed_kinds: Option<u64>,
}

impl RequestSpec {
    /// Whether the stream of the request may be broken off, because its client requests the rest of
    /// it from another router. `resumable_streams` is the setting of
    /// [`Settings`](crate::Settings::resumable_streams).
    pub fn is_resumable(&self, resumable_streams: bool) -> bool {
        resumable_streams && self.client_can_resume
    }

    /// Whether an endpoint of a kind may serve the request.
    pub fn allows(&self, kind: KindId) -> bool {
        self.allowed_kinds
            .is_none_or(|kinds| kind.0 < 64 && kinds >> kind.0 & 1 == 1)
    }
}

/// The load report of an endpoint. Values that the report does not contain are `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// The number of requests in flight at the endpoint, including those whose KV state waits
    /// there.
    pub in_flight: Option<f64>,
    /// The number of requests that are queued at the endpoint.
    pub queued: Option<f64>,
    /// The share of the endpoint's slots that is in use.
    pub slot_utilization: Option<f64>,
    /// The share of the endpoint's memory that is in use.
    pub memory_utilization: Option<f64>,
    /// The prompt tokens that wait to be processed or fetched, in thousands.
    pub pending_kilotokens: Option<f64>,
}

/// The outcome of an attempt or of a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served, or the health check succeeded.
    Completed,
    /// The endpoint responded with an error; the request may have been executed.
    ServerError,
    /// The endpoint responded that the request is invalid. That is no fault of the endpoint, and it
    /// does not change if the request is sent again; the request may have been executed.
    InvalidRequest,
    /// The endpoint rejected the request, which was not executed.
    Rejected(RejectReason),
    /// There was no response in time; the request may have been executed.
    TimedOut,
    /// No connection was established; the request was not executed.
    ConnectFailed(ConnectFailure),
    /// The connection was closed or reset before the end of the response; the request may have been
    /// executed.
    ConnectionReset(ResetCause),
    /// The attempt was cancelled; the request may have been executed.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The prompt was processed, and its KV state waits at the endpoint.
    Prefilled {
        /// The number of prompt tokens that were found in the endpoint's prefix cache.
        cached_tokens: u64,
    },
}

/// The reason why an endpoint rejected an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The endpoint's slots and queue are full.
    Overloaded,
    /// There was no KV state for the endpoint to fetch.
    NoKvState,
}

/// The reason why no connection was established.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The endpoint could not be reached.
    Unreachable,
    /// This router had no resources for another connection, which says nothing about the endpoint.
    LocalResources,
}

/// The kind of connection that was reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResetCause {
    /// A connection that was known to work.
    InUse,
    /// A connection that had been idle and was closed without the router noticing, which says
    /// nothing about the endpoint.
    StaleIdle,
}

/// An event, which is delivered with the time at which it happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// An update of the endpoint list has arrived, or a poll of the list has failed.
    EndpointsUpdated(EndpointUpdate),
    /// A request has arrived.
    RequestArrived(RequestSpec),
    /// The response to an attempt has begun to stream.
    StreamStarted {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt among those of the request, from 0.
        attempt: u32,
        /// The endpoint that the attempt was sent to.
        endpoint: EndpointId,
        /// The time since the attempt was sent.
        elapsed: Micros,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt among those of the request, from 0.
        attempt: u32,
        /// The endpoint that the attempt was sent to.
        endpoint: EndpointId,
        /// The outcome of the attempt.
        outcome: Outcome,
        /// Whether the client has its final response or has disconnected.
        client_done: bool,
        /// The time since the attempt was sent.
        elapsed: Micros,
        /// The endpoint's load report, if one came with the outcome.
        load: Option<LoadReport>,
    },
    /// An endpoint has responded to a slot reservation.
    SlotReservationCompleted {
        /// The request that the slot is for.
        id: RequestId,
        /// The prefill or the decode endpoint of the lane, depending on the driver. The policy does
        /// not use it.
        endpoint: EndpointId,
        /// Whether the slot is reserved.
        granted: bool,
    },
    /// The client of a request has disconnected, or its response was too late.
    ClientDisconnected(RequestId),
    /// A timer has fired.
    TimerFired(TimerKey),
    /// A health check has ended.
    HealthChecked {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// The outcome of the health check.
        outcome: Outcome,
        /// The time since the health check was sent.
        elapsed: Micros,
        /// The load report in the response, if any.
        load: Option<LoadReport>,
    },
    /// This router is shutting down, and takes no new requests from now on or soon after.
    ShutdownStarted {
        /// The time from which clients that connect again reach another router, if there is one.
        migrate_from: Micros,
        /// The time by which all requests must have their final response.
        respond_by: Micros,
    },
    /// A gossip message from another router has arrived.
    GossipReceived {
        /// The number of the router that sent the message.
        from: u32,
        /// The message.
        payload: Vec<u8>,
    },
}
