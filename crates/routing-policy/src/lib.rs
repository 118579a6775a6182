//! The decisions of a front for a model service in which prompts are read and answers written by different
//! servers. The module does no I/O and owns no clock: the host feeds it [`Event`]s and carries out [`Action`]s.
//!
//! ```
//! use cranetack_routing_policy::{Action, Ask, CellId, Class, ClassId, Effect, Event, HostId, Kind, KindId, ListForm, Member};
//! use cranetack_routing_policy::{Outcome, Policy, Readiness, RequestId, Settings, Stage, ZoneId};
//!
//! let settings = Settings {
//!     classes: vec![Class { effect: Effect::Safe, ..Class::default() }],
//!     kinds: vec![
//!         Kind { stage: Some(Stage::Read), memory_tokens: None },
//!         Kind { stage: Some(Stage::Write), memory_tokens: None },
//!     ],
//!     ..Settings::default()
//! };
//! let mut now = 1_000_000;
//! let mut policy = Policy::new(settings, 42, now);
//! let line = |host, kind| Member {
//!     host: HostId(host),
//!     last_start: None,
//!     kind: KindId(kind),
//!     readiness: Readiness::Up,
//!     cell: CellId(0),
//!     weight: 1.0,
//!     zone: ZoneId(0),
//! };
//! let mut actions = Vec::new();
//! // 1. The last list that this dispatcher held comes first.
//! let members = vec![line(1, 0), line(2, 1)];
//! policy.handle(now, Event::Members { form: ListForm::Stale, members }, &mut actions);
//! // 2. Then whatever happens, with the time at which it did; all actions are carried out in their order.
//! let ask = Ask { id: RequestId(7), valid_until: now + 5_000_000, prompt_tokens: 900, ..Ask::default() };
//! policy.handle(now, Event::Ask(ask), &mut actions);
//! let sent = actions.iter().any(|a| matches!(a, Action::Route { id: RequestId(7), host: HostId(1), .. }));
//! assert!(sent, "the prompt goes to the reader first");
//! // 3. Each attempt ends with one result: here the prompt has been read and waits for a writer.
//! actions.clear();
//! now += 80_000;
//! let read = Event::Result {
//!     id: RequestId(7),
//!     attempt: 0,
//!     host: HostId(1),
//!     outcome: Outcome::HalfDone,
//!     info: 0,
//!     no_more: false,
//!     spent: 80_000,
//!     load: None,
//! };
//! policy.handle(now, read, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Route { host: HostId(2), .. })));
//! ```

mod interface;
mod policy;

pub use interface::*;
pub use policy::{effects, Policy};
