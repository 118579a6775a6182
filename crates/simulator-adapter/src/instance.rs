//! One instance: a policy with the names that its wire uses.

use std::collections::HashMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use cranetack_routing_policy::{EndpointId, Event, Micros, Policy, RequestId};
use cranetack_settings::SiteSettings;
use serde_json::{json, Value};

use crate::error::WireError;
use crate::fields::Fields;
use crate::names::{stable_hash, Names};

/// A policy, and what its wire values stand for.
pub(crate) struct Instance {
    policy: Policy,
    pub(crate) site: SiteSettings,
    pub(crate) endpoints: HashMap<EndpointId, String>,
    pub(crate) requests: Names,
}

impl Instance {
    /// An instance with the seed and the settings of its first message.
    pub(crate) fn attach(now: Micros, fields: &Fields) -> Result<Instance, WireError> {
        let seed = fields.opt(0).and_then(any_64_bits);
        let seed = seed.ok_or_else(|| fields.wrong(0, "a whole number"))?;
        let site = fields.opt(1).cloned();
        let site = site.ok_or_else(|| fields.wrong(1, "the settings"))?;
        let mut site: SiteSettings =
            serde_json::from_value(site).map_err(WireError::SettingsForm)?;
        site.resolve_report_columns();
        Ok(Instance {
            policy: Policy::new(site.policy_settings()?, seed, now),
            site,
            endpoints: HashMap::new(),
            requests: Names::default(),
        })
    }

    /// Delivers an event to the policy; a panic there is reported on the wire.
    pub(crate) fn decide(&mut self, now: Micros, event: Event, decisions: &mut Vec<Value>) {
        let mut actions = Vec::new();
        let handled = catch_unwind(AssertUnwindSafe(|| {
            self.policy.handle(now, event, &mut actions);
        }));
        for action in &actions {
            decisions.push(self.encode_action(action));
        }
        if let Err(panic) = handled {
            let owned = panic.downcast_ref::<String>().map(String::as_str);
            let text = owned.or_else(|| panic.downcast_ref::<&str>().copied());
            decisions.push(json!(["die", text.unwrap_or("panic")]));
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

/// A whole number with or without a sign, as 64 bits.
fn any_64_bits(value: &Value) -> Option<u64> {
    value
        .as_u64()
        .or_else(|| value.as_i64().map(|number| number as u64))
}
