//! The policy of one router, and the wire names of its requests and endpoints.

use std::collections::HashMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use cranetack_routing_policy::{EndpointId, Event, Micros, Policy, RequestId};
use cranetack_settings::SiteSettings;
use serde_json::{json, Value};

use crate::error::WireError;
use crate::fields::Fields;
use crate::names::{stable_hash, RequestNames};

/// The policy of one router, with the tables between wire names and the ids in the policy.
pub(crate) struct RouterPolicy {
    policy: Policy,
    pub(crate) site: SiteSettings,
    pub(crate) endpoints: HashMap<EndpointId, String>,
    pub(crate) requests: RequestNames,
}

impl RouterPolicy {
    /// Creates the policy with the seed and the settings of an "attach" message.
    pub(crate) fn attach(now: Micros, fields: &Fields) -> Result<RouterPolicy, WireError> {
        let seed = fields.optional(0).and_then(parse_seed);
        let seed = seed.ok_or_else(|| fields.unexpected_value(0, "a whole number"))?;
        let site = fields.optional(1).cloned();
        let site = site.ok_or_else(|| fields.unexpected_value(1, "the settings"))?;
        let mut site: SiteSettings =
            serde_json::from_value(site).map_err(WireError::MalformedSettings)?;
        site.resolve_report_columns();
        Ok(RouterPolicy {
            policy: Policy::new(site.policy_settings()?, seed, now),
            site,
            endpoints: HashMap::new(),
            requests: RequestNames::default(),
        })
    }

    /// Passes an event to the policy and appends its actions to `decisions`. A panic of the policy
    /// is appended as a "die" decision with the panic message.
    pub(crate) fn handle_event(&mut self, now: Micros, event: Event, decisions: &mut Vec<Value>) {
        let mut actions = Vec::new();
        let handled = catch_unwind(AssertUnwindSafe(|| {
            self.policy.handle(now, event, &mut actions);
        }));
        for action in &actions {
            decisions.push(self.encode_action(action));
        }
        if let Err(panic) = handled {
            let panic_string = panic.downcast_ref::<String>().map(String::as_str);
            let panic_message = panic_string.or_else(|| panic.downcast_ref::<&str>().copied());
            decisions.push(json!(["die", panic_message.unwrap_or("panic")]));
        }
    }

    pub(crate) fn request_id(&mut self, name: &str) -> RequestId {
        RequestId(self.requests.id(name))
    }

    pub(crate) fn endpoint_id(&mut self, name: &str) -> EndpointId {
        let id = EndpointId(stable_hash(name));
        self.endpoints.entry(id).or_insert_with(|| name.to_owned());
        id
    }
}

/// Decodes a signed or unsigned whole number as the 64 bits of a seed.
fn parse_seed(value: &Value) -> Option<u64> {
    value
        .as_u64()
        .or_else(|| value.as_i64().map(|number| number as u64))
}
