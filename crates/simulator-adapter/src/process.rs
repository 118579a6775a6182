//! The instances of this process, and the batches of messages for them.

use std::collections::BTreeMap;

use cranetack_routing_policy::Micros;
use serde::Deserialize;
use serde_json::{json, Value};

use crate::decode::{decode_catalog, CatalogEntry};
use crate::error::WireError;
use crate::fields::Fields;
use crate::instance::Instance;

#[derive(Deserialize)]
struct Batch {
    #[serde(rename = "at_time_us")]
    at: Micros,
    parts: Vec<Part>,
}

#[derive(Deserialize)]
struct Part {
    #[serde(rename = "dispatcher_id")]
    router: u64,
    inbox: Vec<Vec<Value>>,
}

/// Everything that lives in this process.
#[derive(Default)]
pub(crate) struct Process {
    instances: BTreeMap<u64, Instance>,
    catalogs: BTreeMap<u64, Vec<CatalogEntry>>,
}

impl Process {
    /// Answers one line with one line.
    pub(crate) fn batch(&mut self, line: &[u8]) -> Result<String, WireError> {
        let batch: Batch = serde_json::from_slice(line).map_err(WireError::NotABatch)?;
        let mut replies = Vec::new();
        for part in batch.parts {
            let router = part.router;
            let mut decisions = Vec::new();
            for (index, message) in part.inbox.iter().enumerate() {
                self.message(batch.at, router, message, &mut decisions)
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

    fn message(
        &mut self,
        now: Micros,
        router: u64,
        message: &[Value],
        decisions: &mut Vec<Value>,
    ) -> Result<(), WireError> {
        let name = message.first().and_then(Value::as_str);
        let name = name.ok_or(WireError::Unnamed)?;
        let fields = Fields {
            name,
            values: &message[1..],
        };
        match name {
            "attach" => {
                let instance = Instance::attach(now, &fields)?;
                self.instances.insert(router, instance);
            }
            "killed" => {
                self.instances.remove(&router);
            }
            "catalog" => {
                let number = fields.count(0)?;
                self.catalogs.insert(number, decode_catalog(&fields)?);
            }
            _ => {
                let instance = self
                    .instances
                    .get_mut(&router)
                    .ok_or_else(|| WireError::NotAttached(name.to_owned()))?;
                if let Some(event) = instance.decode_event(&fields, &self.catalogs)? {
                    instance.decide(now, event, decisions);
                }
            }
        }
        Ok(())
    }
}
