//! The routing policy of a router for a language-model service with prefill and decode endpoints.
//!
//! The crate does no I/O and reads no clock. A driver delivers [`Event`]s with their times to a
//! [`Policy`] and carries out the [`Action`]s that the policy returns.
//!
//! ```
//! use cranetack_routing_policy::{
//!     Action, CellId, Class, EndpointId, EndpointSpec, EndpointState, EndpointUpdate, Event,
//!     Idempotency, Kind, KindId, Outcome, Policy, RequestId, RequestSpec, Role, Settings, ZoneId,
//! };
//!
//! let settings = Settings {
//!     classes: vec![Class { idempotency: Idempotency::Idempotent, ..Class::default() }],
//!     kinds: vec![
//!         Kind { role: Some(Role::Prefill), memory_tokens: None },
//!         Kind { role: Some(Role::Decode), memory_tokens: None },
//!     ],
//!     ..Settings::default()
//! };
//! let mut now = 1_000_000;
//! let mut policy = Policy::new(settings, 42, now);
//! let entry = |endpoint, kind| EndpointSpec {
//!     id: EndpointId(endpoint),
//!     started_at: None,
//!     kind: KindId(kind),
//!     state: EndpointState::Active,
//!     cell: CellId(0),
//!     weight: 1.0,
//!     zone: ZoneId(0),
//! };
//! let mut actions = Vec::new();
//!
//! // 1. The driver first delivers the endpoint list that the router had before its restart.
//! let entries = vec![entry(1, 0), entry(2, 1)];
//! let restored = Event::EndpointsUpdated(EndpointUpdate::Restored(entries));
//! policy.handle(now, restored, &mut actions);
//!
//! // 2. It then delivers each event with its time, and carries out all actions in order.
//! let request = RequestSpec {
//!     id: RequestId(7),
//!     deadline: now + 5_000_000,
//!     prompt_tokens: 900,
//!     ..RequestSpec::default()
//! };
//! policy.handle(now, Event::RequestArrived(request), &mut actions);
//! let sent_to = |endpoint| {
//!     move |action: &Action| match action {
//!         Action::Send { endpoint: to, .. } => *to == EndpointId(endpoint),
//!         _ => false,
//!     }
//! };
//! assert!(actions.iter().any(sent_to(1)), "the prompt goes to the prefill endpoint first");
//!
//! // 3. Each attempt ends once. This prefill leaves KV state that a decode endpoint fetches.
//! actions.clear();
//! now += 80_000;
//! let prefilled = Event::AttemptEnded {
//!     id: RequestId(7),
//!     attempt: 0,
//!     endpoint: EndpointId(1),
//!     outcome: Outcome::Prefilled { cached_tokens: 0 },
//!     client_done: false,
//!     elapsed: 80_000,
//!     load: None,
//! };
//! policy.handle(now, prefilled, &mut actions);
//! assert!(actions.iter().any(sent_to(2)));
//! ```

mod actions;
mod admission;
mod concurrency;
mod config;
mod dispatch;
mod endpoint_status;
mod endpoints;
mod estimators;
mod events;
mod gossip;
mod health_check;
pub mod idempotency;
mod ids;
mod kv_lease;
mod lane_selection;
mod load_report;
mod outlier;
mod parameters;
mod policy;
mod random;
mod requests;
mod shutdown;
mod slow_start;
mod start_clock;

pub use actions::{Action, EndpointStatus};
pub use config::{Class, Idempotency, KeyScope, Kind, LoadReporting, Role, Settings};
pub use events::{
    ConnectFailure, EndpointSpec, EndpointState, EndpointUpdate, Event, LoadReport, Outcome,
    RejectReason, RequestSpec, ResetCause,
};
pub use ids::{
    CellId, ClassId, EndpointId, KindId, Micros, PrefixId, RequestId, SessionId, TimerKey, ZoneId,
};
pub use policy::Policy;
