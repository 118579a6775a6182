//! Collects the events of a chat stream into a single response, for a client that did not request a
//! stream.

use bytes::Bytes;
use serde_json::{json, Map, Value};

use crate::events::{event_data, EventSplitter, InvalidEventStream};

/// Maximum number of choices of a response and of tool calls of a choice.
const MAX_LIST_LENGTH: usize = 128;

/// Collects the events of a chat stream.
#[derive(Debug, Default)]
pub struct ChatCollector {
    events: EventSplitter,
    /// Fields of the first chunk, without its choices and usage.
    envelope: Option<Map<String, Value>>,
    choices: Vec<Choice>,
    usage: Option<Value>,
    /// Whether a chunk contained an error.
    has_error: bool,
    collected_bytes: usize,
}

#[derive(Debug, Default)]
struct Choice {
    message: Map<String, Value>,
    tool_calls: Vec<Map<String, Value>>,
    finish_reason: Value,
    logprobs: Option<Value>,
}

impl ChatCollector {
    /// Adds received data of the stream.
    pub fn push(&mut self, data: &[u8]) -> Result<(), InvalidEventStream> {
        let Some(events) = self.events.push(data)? else {
            return Ok(());
        };
        for data in event_data(&events)? {
            let chunk = serde_json::from_str(&data).map_err(|_| InvalidEventStream)?;
            self.push_chunk(chunk)?;
        }
        self.collected_bytes += events.len();
        Ok(())
    }

    /// Returns the number of bytes of the events so far, as an upper bound of the size of what is
    /// kept of them.
    pub fn collected_bytes(&self) -> usize {
        self.collected_bytes
    }

    fn push_chunk(&mut self, mut chunk: Map<String, Value>) -> Result<(), InvalidEventStream> {
        self.has_error |= chunk.contains_key("error");
        if let Some(usage) = remove_non_null(&mut chunk, "usage") {
            self.usage = Some(usage);
        }
        let choices = chunk.remove("choices");
        self.envelope.get_or_insert(chunk);
        let Some(Value::Array(choices)) = choices else {
            return Ok(());
        };
        for choice in choices {
            let Value::Object(choice) = choice else {
                return Err(InvalidEventStream);
            };
            self.push_choice(choice)?;
        }
        Ok(())
    }

    fn push_choice(&mut self, mut choice: Map<String, Value>) -> Result<(), InvalidEventStream> {
        let index = choice.get("index").and_then(Value::as_u64).unwrap_or(0);
        let target = get_or_extend(&mut self.choices, index)?;
        if let Some(reason) = remove_non_null(&mut choice, "finish_reason") {
            target.finish_reason = reason;
        }
        if let Some(logprobs) = remove_non_null(&mut choice, "logprobs") {
            merge(target.logprobs.get_or_insert(json!({})), logprobs);
        }
        if let Some(Value::Object(delta)) = choice.remove("delta") {
            target.push_delta(delta)?;
        }
        Ok(())
    }

    /// Returns the response to the request with this id, or `None` if the stream is not complete or
    /// contained an error.
    pub fn finish(self, request_id: &str, model: &str) -> Option<Bytes> {
        let has_finished =
            !self.choices.is_empty() && self.choices.iter().all(|c| !c.finish_reason.is_null());
        if self.has_error || !(self.events.is_done() || has_finished) {
            return None;
        }
        let mut response = self.envelope?;
        response.entry("id").or_insert_with(|| json!(request_id));
        response.entry("created").or_insert_with(|| json!(0));
        response.insert("model".to_owned(), json!(model));
        response.insert("object".to_owned(), json!("chat.completion"));
        let choices = self.choices.into_iter().enumerate();
        let choices = choices.map(|(index, choice)| choice.into_json(index));
        response.insert("choices".to_owned(), choices.collect());
        if let Some(usage) = self.usage {
            response.insert("usage".to_owned(), usage);
        }
        Some(Value::Object(response).to_string().into())
    }
}

impl Choice {
    fn push_delta(&mut self, delta: Map<String, Value>) -> Result<(), InvalidEventStream> {
        for (name, value) in delta {
            match (name.as_str(), value) {
                (_, Value::Null) => {}
                ("role", role) => {
                    self.message.insert(name, role);
                }
                ("tool_calls", Value::Array(calls)) => {
                    for call in calls {
                        self.push_tool_call(call)?;
                    }
                }
                (_, value) => merge_field(&mut self.message, name, value),
            }
        }
        Ok(())
    }

    fn push_tool_call(&mut self, call: Value) -> Result<(), InvalidEventStream> {
        let Value::Object(mut call) = call else {
            return Err(InvalidEventStream);
        };
        let index = call.remove("index").and_then(|index| index.as_u64());
        let target = get_or_extend(&mut self.tool_calls, index.unwrap_or(0))?;
        for (name, value) in call {
            merge_field(target, name, value);
        }
        Ok(())
    }

    fn into_json(mut self, index: usize) -> Value {
        self.message
            .entry("role")
            .or_insert_with(|| json!("assistant"));
        self.message.entry("content").or_insert(Value::Null);
        if !self.tool_calls.is_empty() {
            let calls = self.tool_calls.into_iter().map(Value::Object).collect();
            self.message.insert("tool_calls".to_owned(), calls);
        }
        json!({
            "index": index,
            "message": self.message,
            "finish_reason": self.finish_reason,
            "logprobs": self.logprobs.unwrap_or(Value::Null),
        })
    }
}

fn remove_non_null(object: &mut Map<String, Value>, name: &str) -> Option<Value> {
    object.remove(name).filter(|value| !value.is_null())
}

/// Returns the element at this index, and extends the list with default elements if it is too
/// short.
fn get_or_extend<T: Default>(list: &mut Vec<T>, index: u64) -> Result<&mut T, InvalidEventStream> {
    let index = usize::try_from(index).map_err(|_| InvalidEventStream)?;
    if index >= MAX_LIST_LENGTH {
        return Err(InvalidEventStream);
    }
    if list.len() <= index {
        list.resize_with(index + 1, T::default);
    }
    Ok(&mut list[index])
}

/// Merges a field of a delta into an object. Keeps the first values of `id` and `type`, which
/// identify a tool call and may be repeated.
fn merge_field(object: &mut Map<String, Value>, name: String, delta: Value) {
    match object.get_mut(&name) {
        Some(_) if matches!(name.as_str(), "id" | "type") => {}
        Some(value) => merge(value, delta),
        None => {
            object.insert(name, delta);
        }
    }
}

/// Appends strings and lists, merges objects field by field, and replaces all other values.
fn merge(value: &mut Value, delta: Value) {
    match (value, delta) {
        (Value::String(text), Value::String(more)) => text.push_str(&more),
        (Value::Array(items), Value::Array(more)) => items.extend(more),
        (Value::Object(object), Value::Object(more)) => {
            for (name, delta) in more {
                merge_field(object, name, delta);
            }
        }
        (_, Value::Null) => {}
        (value, delta) => *value = delta,
    }
}

#[cfg(test)]
mod tests;
