//! The settings that the driver gives to a [`crate::Policy`] at its start. A value that the driver
//! does not know stays `None`; the defaults are in `parameters.rs`.

use crate::ids::{Micros, ZoneId};

/// What it means to execute a request more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// The request may be executed again and rejected freely.
    Idempotent,
    /// The request has an idempotency key: the endpoints in this scope discard repetitions, for as
    /// long as [`Class::dedup_window`] says.
    Keyed(KeyScope),
    /// The request may be sent again or rejected only when no earlier attempt can have been
    /// executed. The default, as it is the most careful one.
    #[default]
    NonIdempotent,
}

/// The endpoints that share their memory of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// All endpoints.
    All,
    /// The endpoints of the zone in which the request may have been executed.
    Zone,
    /// The endpoints of the cell in which it may have been executed.
    Cell,
}

/// The part that an endpoint takes in serving a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Processes prompts and keeps the KV state until a decode endpoint fetches it.
    Prefill,
    /// Fetches KV state and streams the response.
    Decode,
    /// Does both.
    Mixed,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Class {
    /// The first token should be sent within this span.
    pub latency_objective: Option<Micros>,
    /// The latency objective grows by this (us) for each 1,000 prompt tokens.
    pub latency_objective_per_1000_tokens: Option<f64>,
    /// The response should take no longer than this for each token.
    pub token_interval_objective: Option<Micros>,
    /// What it means to execute a request more than once.
    pub idempotency: Idempotency,
    /// For how long endpoints discard repetitions of a keyed request, from the first send that may
    /// have been executed.
    pub dedup_window: Option<Micros>,
    /// The weight of a request in the queue.
    pub priority_weight: Option<f64>,
}

/// A kind of endpoint.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Kind {
    /// Its role; absent counts as [`Role::Mixed`].
    pub role: Option<Role>,
    /// Its memory, in tokens.
    pub memory_tokens: Option<f64>,
}

/// How endpoints report their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LoadReporting {
    /// With the outcomes of attempts and of health checks.
    WithOutcomes,
    /// With the outcomes of health checks alone.
    OnHealthCheck,
    /// Not at all.
    #[default]
    Never,
}

/// What the driver knows at the start. All of it stays as it is for the life of the
/// [`crate::Policy`].
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// The number of routers that share the endpoints.
    pub router_count: Option<u32>,
    /// This router's number among them.
    pub router_index: Option<u32>,
    /// The zone of this router.
    pub zone: Option<ZoneId>,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The kinds of endpoints.
    pub kinds: Vec<Kind>,
    /// The least span between two deliveries of events.
    pub event_interval: Option<Micros>,
    /// A slot may be reserved at a decode endpoint while the prompt is processed.
    pub slot_reservations: bool,
    /// A decode endpoint that has no KV state to fetch processes the prompt itself.
    pub decode_can_prefill: bool,
    /// A broken stream goes on from its last token, and streams may be migrated.
    pub resumable_streams: bool,
    /// KV state that is held must be fetched or released within this span.
    pub kv_lease_timeout: Option<Micros>,
    /// How endpoints report their load.
    pub load_reporting: LoadReporting,
    /// Endpoints may be health-checked.
    pub health_checks: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Routers may send gossip to one another.
    pub gossip: bool,
    /// A request may have two attempts in flight at once.
    pub hedging: bool,
    /// The most attempts for a request.
    pub max_attempts: Option<u32>,
    /// Rejections may say when to retry.
    pub retry_after: bool,
    /// The longest such wait that clients heed.
    pub max_retry_after: Option<Micros>,
    /// Changes of the endpoint list must be polled for.
    pub endpoints_are_polled: bool,
    /// Without a subscription, the endpoint list must be polled at least this often.
    pub poll_interval: Option<Micros>,
    /// A final response is still in time this long after the client's deadline.
    pub response_slack: Option<Micros>,
    /// An endpoint in slow start is overloaded when it is sent this multiple of its present
    /// capacity ...
    pub overload_multiple: Option<f64>,
    /// ... for this span.
    pub overload_window: Option<Micros>,
    /// An endpoint that has started has this share of its capacity or more.
    pub cold_capacity: Option<f64>,
    /// An endpoint has its whole capacity no later than this after its start.
    pub warm_up: Option<Micros>,
}
