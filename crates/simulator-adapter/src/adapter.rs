//! Handles batches of messages for the routers that are simulated in this process.

use std::collections::BTreeMap;

use cranetack_routing_policy::Micros;
use serde::Deserialize;
use serde_json::{json, Value};

use crate::decode::{decode_catalog, CatalogEntry};
use crate::error::WireError;
use crate::fields::Fields;
use crate::router_policy::RouterPolicy;

/// One line of input.
#[derive(Deserialize)]
struct Batch {
    #[serde(rename = "at_time_us")]
    now: Micros,
    parts: Vec<Part>,
}

/// The messages for one router.
#[derive(Deserialize)]
struct Part {
    #[serde(rename = "dispatcher_id")]
    router: u64,
    inbox: Vec<Vec<Value>>,
}

/// State of the adapter: the policies by router number, and the endpoint catalogs by number.
#[derive(Default)]
pub(crate) struct Adapter {
    policies: BTreeMap<u64, RouterPolicy>,
    catalogs: BTreeMap<u64, Vec<CatalogEntry>>,
}

impl Adapter {
    /// Handles one line of input and returns the line to reply with.
    pub(crate) fn handle_batch(&mut self, line: &[u8]) -> Result<String, WireError> {
        let batch: Batch = serde_json::from_slice(line).map_err(WireError::NotABatch)?;
        let mut replies = Vec::new();
        for part in batch.parts {
            let router = part.router;
            let mut decisions = Vec::new();
            for (index, message) in part.inbox.iter().enumerate() {
                self.handle_message(batch.now, router, message, &mut decisions)
                    .map_err(|error| WireError::InMessage {
                        router,
                        number: index + 1,
                        error: Box::new(error),
                    })?;
            }
            if !decisions.is_empty() {
                replies.push(json!({"dispatcher_id": router, "decisions": decisions}));
            }
        }
        Ok(format!("{}\n", json!({ "parts": replies })))
    }

    fn handle_message(
        &mut self,
        now: Micros,
        router: u64,
        message: &[Value],
        decisions: &mut Vec<Value>,
    ) -> Result<(), WireError> {
        let name = message.first().and_then(Value::as_str);
        let name = name.ok_or(WireError::MissingMessageName)?;
        let fields = Fields {
            name,
            values: &message[1..],
        };
        match name {
            "attach" => {
                let policy = RouterPolicy::attach(now, &fields)?;
                self.policies.insert(router, policy);
            }
            "killed" => {
                self.policies.remove(&router);
            }
            "catalog" => {
                let number = fields.unsigned(0)?;
                self.catalogs.insert(number, decode_catalog(&fields)?);
            }
            _ => {
                let policy = self
                    .policies
                    .get_mut(&router)
                    .ok_or_else(|| WireError::NotAttached(name.to_owned()))?;
                if let Some(event) = policy.decode_event(&fields, &self.catalogs)? {
                    policy.handle_event(now, event, decisions);
                }
            }
        }
        Ok(())
    }
}
