//! The settings that the driver passes to a new [`crate::Policy`]. A value that the driver does not
//! know is `None`; the defaults are in `parameters.rs`.

use crate::ids::{Micros, ZoneId};

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// The request may be executed any number of times, so that it may always be sent again or
    /// rejected.
    Idempotent,
    /// The request has an idempotency key: the endpoints in this scope discard repetitions for the
    /// duration of [`Class::dedup_window`].
    Keyed(KeyScope),
    /// The request may be sent again or rejected only when no earlier attempt can have been
    /// executed. This is the default because it is the safest rule.
    #[default]
    NonIdempotent,
}

/// The group of endpoints that share a record of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// All endpoints.
    All,
    /// The endpoints of the zone in which the request may have been executed.
    Zone,
    /// The endpoints of the cell in which the request may have been executed.
    Cell,
}

/// The phases of a request that an endpoint serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// The endpoint processes prompts and keeps the KV state until a decode endpoint fetches it.
    Prefill,
    /// The endpoint fetches KV state and streams the response.
    Decode,
    /// The endpoint processes the prompt and streams the response.
    Mixed,
}

/// A class of requests, with its objectives and its rule on idempotency.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Class {
    /// The time within which the first token of a response should be sent, for an empty prompt.
    pub latency_objective: Option<Micros>,
    /// The increase of the latency objective for each 1,000 prompt tokens, in microseconds.
    pub latency_objective_per_1000_tokens: Option<f64>,
    /// The time that the response should take at most for each token.
    pub token_interval_objective: Option<Micros>,
    /// Whether a request of the class may be executed more than once.
    pub idempotency: Idempotency,
    /// The time for which endpoints discard repetitions of a keyed request, counted from the first
    /// send that may have been executed.
    pub dedup_window: Option<Micros>,
    /// The priority weight of the class. In the queue, requests with KV state come first, then
    /// requests that are in time, whatever their weight. Within these groups, a higher weight comes
    /// first.
    pub priority_weight: Option<f64>,
}

/// A kind of endpoint, which determines the role and the memory of its endpoints.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Kind {
    /// The role of endpoints of the kind; [`Role::Mixed`] if absent.
    pub role: Option<Role>,
    /// The memory of an endpoint of the kind, in tokens.
    pub memory_tokens: Option<f64>,
}

/// How endpoints report their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LoadReporting {
    /// Load reports come with the outcomes of attempts and of health checks.
    WithOutcomes,
    /// Load reports come only with the outcomes of health checks.
    OnHealthCheck,
    /// Endpoints do not report their load.
    #[default]
    Never,
}

/// The settings of a [`crate::Policy`], which do not change during its life.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// The number of routers that share the endpoints.
    pub router_count: Option<u32>,
    /// The number of this router among those that share the endpoints, from 0.
    pub router_index: Option<u32>,
    /// The zone in which this router runs.
    pub zone: Option<ZoneId>,
    /// The classes of requests, indexed by [`crate::ClassId`].
    pub classes: Vec<Class>,
    /// The kinds of endpoints, indexed by [`crate::KindId`].
    pub kinds: Vec<Kind>,
    /// The minimum interval between two deliveries of events.
    pub event_interval: Option<Micros>,
    /// Whether a slot may be reserved at a decode endpoint while the prompt is processed.
    pub slot_reservations: bool,
    /// Whether a decode endpoint that has no KV state to fetch processes the prompt itself.
    pub decode_can_prefill: bool,
    /// Whether a broken stream can be resumed from its last token, so that streams may be migrated
    /// if their clients can request the rest of them.
    pub resumable_streams: bool,
    /// The time within which KV state that an endpoint holds must be fetched or released.
    pub kv_lease_timeout: Option<Micros>,
    /// The way in which endpoints report their load.
    pub load_reporting: LoadReporting,
    /// Whether endpoints may be health-checked.
    pub health_checks: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether routers may send gossip to one another.
    pub gossip: bool,
    /// Whether a request may have two attempts in flight at once.
    pub hedging: bool,
    /// The maximum number of attempts for a request.
    pub max_attempts: Option<u32>,
    /// Whether rejections may advise the client when to retry.
    pub retry_after: bool,
    /// The longest advised wait before a retry that clients observe.
    pub max_retry_after: Option<Micros>,
    /// Whether the router must poll for changes of the endpoint list.
    pub endpoints_are_polled: bool,
    /// The maximum interval between two polls of the endpoint list when there is no subscription.
    pub poll_interval: Option<Micros>,
    /// The time after the client's deadline within which a final response still counts as in time.
    pub response_slack: Option<Micros>,
    /// The multiple of its present capacity that overloads an endpoint in slow start, if the
    /// endpoint is sent that much throughout `overload_window`.
    pub overload_multiple: Option<f64>,
    /// The time for which an endpoint in slow start must be sent `overload_multiple` of its present
    /// capacity to be overloaded.
    pub overload_window: Option<Micros>,
    /// The minimum share of its capacity that an endpoint has right after its start.
    pub cold_capacity: Option<f64>,
    /// The maximum time from an endpoint's start until it has its whole capacity.
    pub warm_up: Option<Micros>,
}
