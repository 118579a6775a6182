//! What the driver tells a [`crate::Policy`].

use crate::ids::{
    CellId, ClassId, EndpointId, KindId, Micros, PrefixId, RequestId, SessionId, TimerKey, ZoneId,
};

/// Whether an endpoint takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Active,
    /// It completes the requests that it has and takes no new ones.
    Draining,
    /// It has been removed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointSpec {
    /// The endpoint.
    pub id: EndpointId,
    /// When its present process started; absent for long ago.
    pub started_at: Option<Micros>,
    /// Its kind.
    pub kind: KindId,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Its cell.
    pub cell: CellId,
    /// Its size relative to other endpoints of its role.
    pub weight: f64,
    /// Its zone.
    pub zone: ZoneId,
}

/// An update of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// The entries that have changed.
    Delta(Vec<EndpointSpec>),
    /// All entries; an endpoint that is missing has been removed.
    Snapshot(Vec<EndpointSpec>),
    /// All entries as this router last had them before its restart; they may be out of date.
    Restored(Vec<EndpointSpec>),
    /// A poll has failed; what was known stays valid.
    PollFailed,
}

/// A request as it arrived.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RequestSpec {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its session, if it has one.
    pub session: Option<SessionId>,
    /// The prompt prefix that it shares with other sessions.
    pub shared_prefix: Option<PrefixId>,
    /// The client stops waiting at this point in time.
    pub deadline: Micros,
    /// The rough duration of the response at the class's token interval.
    pub expected_duration: Option<Micros>,
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// How many of these belong to the shared prefix.
    pub shared_prefix_tokens: u64,
    /// The most tokens of the response.
    pub max_tokens: u64,
    /// The client says that it is trying again.
    pub is_retry: bool,
    /// The client resumes a stream that broke or was migrated.
    pub is_resumed: bool,
    /// The kinds of endpoint that may serve it, a bit for each of the first 64; absent for all
    /// kinds.
    pub allowed_kinds: Option<u64>,
}

impl RequestSpec {
    /// Whether an endpoint of this kind may serve the request.
    pub fn allows(&self, kind: KindId) -> bool {
        self.allowed_kinds
            .is_none_or(|kinds| kind.0 < 64 && kinds >> kind.0 & 1 == 1)
    }
}

/// An endpoint's load report. What it does not contain is `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// The requests in flight there, KV state that waits included.
    pub in_flight: Option<f64>,
    /// The requests that are queued there.
    pub queued: Option<f64>,
    /// The share of its slots in use.
    pub slot_utilization: Option<f64>,
    /// The share of its memory in use.
    pub memory_utilization: Option<f64>,
    /// Thousands of prompt tokens that wait to be processed or fetched.
    pub pending_kilotokens: Option<f64>,
}

/// How an attempt or a health check ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Completed,
    /// The endpoint responded with an error; the request may have been executed.
    ServerError,
    /// The endpoint rejected it; it was not executed.
    Rejected(RejectReason),
    /// No response in time; the request may have been executed.
    TimedOut,
    /// No connection came up; it was not executed.
    ConnectFailed(ConnectFailure),
    /// The connection broke; the request may have been executed.
    ConnectionReset(ResetCause),
    /// Cancelled; the request may have been executed.
    Cancelled,
    /// Never sent.
    NotSent,
    /// The prompt has been processed and its KV state waits at the endpoint.
    Prefilled {
        /// The prompt tokens that were found in the endpoint's prefix cache.
        cached_tokens: u64,
    },
}

/// Why an endpoint rejected an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// Its slots and its queue are full.
    Overloaded,
    /// There was no KV state to fetch.
    NoKvState,
}

/// Why no connection came up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The endpoint could not be reached.
    Unreachable,
    /// This machine had no connection to give, which says nothing of the endpoint.
    LocalResources,
}

/// Which connection was reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResetCause {
    /// One that was known to work.
    InUse,
    /// One that had been idle and was dropped unseen, which says nothing of the endpoint.
    StaleIdle,
}

/// An event, delivered with the point in time at which it happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list has changed.
    EndpointsUpdated(EndpointUpdate),
    /// A request has arrived.
    RequestArrived(RequestSpec),
    /// The response to an attempt has begun to stream.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// The endpoint.
        endpoint: EndpointId,
        /// Time since the attempt was sent.
        elapsed: Micros,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The client has its final response or is gone.
        client_done: bool,
        /// Time since the attempt was sent.
        elapsed: Micros,
        /// The endpoint's load report, if one came along.
        load: Option<LoadReport>,
    },
    /// The response to a slot reservation.
    SlotReservationAnswered {
        /// The request.
        id: RequestId,
        /// The endpoint of the prefill attempt for which the slot was asked for.
        endpoint: EndpointId,
        /// The slot is reserved.
        granted: bool,
    },
    /// The client has disconnected or was answered too late.
    ClientDisconnected(RequestId),
    /// A timer has fired.
    TimerFired(TimerKey),
    /// A health check has ended.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Micros,
        /// The endpoint's load report.
        load: Option<LoadReport>,
    },
    /// This router shuts down, and takes no new requests from now on or soon.
    ShutdownStarted {
        /// From then on clients that ask again reach another router, if there is one.
        migrate_from: Micros,
        /// All requests must have their final response by then.
        answer_by: Micros,
    },
    /// Gossip from another router.
    GossipReceived {
        /// Its number.
        from: u32,
        /// The message.
        payload: Vec<u8>,
    },
}
