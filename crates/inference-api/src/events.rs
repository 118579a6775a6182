//! Streams of events: cut into whole events, and folded into the answer of a client that wants it whole.

use bytes::{Bytes, BytesMut};
use serde_json::{json, Map, Value};

/// The most that one event may hold.
const EVENT_MOST: usize = 1024 * 1024;
/// Choices of one answer, and calls of one choice.
const CHOICES_MOST: usize = 128;

/// The stream cannot be what it says it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stream is not one of events")]
pub struct NotEvents;

/// Cuts a stream into runs of whole events, so that what breaks never leaves half of one.
#[derive(Debug, Default)]
pub struct Events {
    held: BytesMut,
    /// How much of what is held has been looked at.
    seen: usize,
    done: bool,
}

impl Events {
    /// Adds what has come; gives all whole events that have not been given yet, if there are any.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<Bytes>, NotEvents> {
        self.held.extend_from_slice(data);
        let mut end = 0;
        let mut at = self.seen.saturating_sub(3);
        while at < self.held.len() {
            let rest = &self.held[at..];
            let blank = [&b"\n\n"[..], b"\r\n\r\n", b"\r\r"]
                .into_iter()
                .find(|blank| rest.starts_with(blank));
            match blank {
                Some(blank) => {
                    at += blank.len();
                    self.done |= is_done(&self.held[end..at]);
                    end = at;
                }
                None => at += 1,
            }
        }
        self.seen = self.held.len() - end;
        if self.seen > EVENT_MOST {
            return Err(NotEvents);
        }
        Ok((end > 0).then(|| self.held.split_to(end).freeze()))
    }

    /// Whether the event that ends an answer has come.
    pub fn is_done(&self) -> bool {
        self.done
    }
}

/// The data of whole events, as [`Events::push`] gives them, but for the one that ends an answer.
pub fn data(whole: &[u8]) -> Result<Vec<String>, NotEvents> {
    let text = std::str::from_utf8(whole)
        .map_err(|_| NotEvents)?
        .replace("\r\n", "\n")
        .replace('\r', "\n");
    let of = |event: &str| data_of(event.as_bytes()).filter(|data| data != "[DONE]");
    Ok(text.split("\n\n").filter_map(of).collect())
}

fn is_done(event: &[u8]) -> bool {
    data_of(event).is_some_and(|data| data == "[DONE]")
}

/// The data of an event.
fn data_of(event: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(event).ok()?;
    let of = |line: &str| {
        line.strip_prefix("data:")
            .map(|data| data.strip_prefix(' ').unwrap_or(data).to_owned())
    };
    let lines: Vec<String> = text.lines().filter_map(of).collect();
    (!lines.is_empty()).then(|| lines.join("\n"))
}

/// Folds the events of a chat stream into the answer that a client gets whole.
#[derive(Debug, Default)]
pub struct Fold {
    events: Events,
    head: Option<Map<String, Value>>,
    choices: Vec<Choice>,
    usage: Option<Value>,
    error: bool,
    held: usize,
}

#[derive(Debug, Default)]
struct Choice {
    message: Map<String, Value>,
    calls: Vec<Map<String, Value>>,
    finish: Value,
    logprobs: Option<Value>,
}

impl Fold {
    /// Adds what has come.
    pub fn push(&mut self, come: &[u8]) -> Result<(), NotEvents> {
        let Some(whole) = self.events.push(come)? else {
            return Ok(());
        };
        for data in data(&whole)? {
            self.chunk(serde_json::from_str(&data).map_err(|_| NotEvents)?)?;
        }
        self.held += whole.len();
        Ok(())
    }

    /// Bytes that have gone into it: more than it holds.
    pub fn held(&self) -> usize {
        self.held
    }

    fn chunk(&mut self, mut chunk: Map<String, Value>) -> Result<(), NotEvents> {
        self.error |= chunk.contains_key("error");
        if let Some(usage) = chunk.remove("usage").filter(|u| !u.is_null()) {
            self.usage = Some(usage);
        }
        let choices = chunk.remove("choices");
        self.head.get_or_insert(chunk);
        let Some(Value::Array(choices)) = choices else {
            return Ok(());
        };
        for choice in choices {
            let Value::Object(mut choice) = choice else {
                return Err(NotEvents);
            };
            let index = choice.get("index").and_then(Value::as_u64).unwrap_or(0);
            let into = slot(&mut self.choices, index)?;
            if let Some(reason) = choice.remove("finish_reason").filter(|r| !r.is_null()) {
                into.finish = reason;
            }
            if let Some(part) = choice.remove("logprobs").filter(|l| !l.is_null()) {
                merge(into.logprobs.get_or_insert(json!({})), part);
            }
            let Some(Value::Object(delta)) = choice.remove("delta") else {
                continue;
            };
            into.delta(delta)?;
        }
        Ok(())
    }

    /// The whole answer, for a request by this id; `None` unless all of it has come.
    pub fn finish(self, id: &str, model: &str) -> Option<Bytes> {
        let ended = !self.choices.is_empty() && self.choices.iter().all(|c| !c.finish.is_null());
        if self.error || !(self.events.is_done() || ended) {
            return None;
        }
        let mut answer = self.head?;
        answer.entry("id").or_insert_with(|| json!(id));
        answer.entry("created").or_insert_with(|| json!(0));
        answer.insert("model".to_owned(), json!(model));
        answer.insert("object".to_owned(), json!("chat.completion"));
        let choices = self
            .choices
            .into_iter()
            .enumerate()
            .map(|(index, c)| c.finish(index));
        answer.insert("choices".to_owned(), choices.collect());
        if let Some(usage) = self.usage {
            answer.insert("usage".to_owned(), usage);
        }
        Some(Value::Object(answer).to_string().into())
    }
}

/// The place for this index, bounded.
fn slot<T: Default>(list: &mut Vec<T>, index: u64) -> Result<&mut T, NotEvents> {
    let index = usize::try_from(index)
        .ok()
        .filter(|i| *i < CHOICES_MOST)
        .ok_or(NotEvents)?;
    if list.len() <= index {
        list.resize_with(index + 1, T::default);
    }
    Ok(&mut list[index])
}

impl Choice {
    fn delta(&mut self, delta: Map<String, Value>) -> Result<(), NotEvents> {
        for (name, value) in delta {
            match (name.as_str(), value) {
                (_, Value::Null) => {}
                ("role", role) => drop(self.message.insert(name, role)),
                ("tool_calls", Value::Array(calls)) => {
                    for call in calls {
                        let Value::Object(mut call) = call else {
                            return Err(NotEvents);
                        };
                        let index = call.remove("index").and_then(|i| i.as_u64()).unwrap_or(0);
                        let into = slot(&mut self.calls, index)?;
                        call.into_iter()
                            .for_each(|(name, part)| grow(into, name, part));
                    }
                }
                (_, value) => grow(&mut self.message, name, value),
            }
        }
        Ok(())
    }

    fn finish(mut self, index: usize) -> Value {
        self.message
            .entry("role")
            .or_insert_with(|| json!("assistant"));
        self.message.entry("content").or_insert(Value::Null);
        if !self.calls.is_empty() {
            self.message.insert(
                "tool_calls".to_owned(),
                self.calls.into_iter().map(Value::Object).collect(),
            );
        }
        let logprobs = self.logprobs.unwrap_or(Value::Null);
        json!({"index": index, "message": self.message, "finish_reason": self.finish, "logprobs": logprobs})
    }
}

/// Adds a part to a field. Of a call, what names it stands once; texts grow.
fn grow(into: &mut Map<String, Value>, name: String, part: Value) {
    match into.get_mut(&name) {
        Some(_) if matches!(name.as_str(), "id" | "type") => {}
        Some(have) => merge(have, part),
        None => drop(into.insert(name, part)),
    }
}

/// Texts and lists are joined, objects field by field; of all else the newest stays.
fn merge(into: &mut Value, part: Value) {
    match (into, part) {
        (Value::String(have), Value::String(more)) => have.push_str(&more),
        (Value::Array(have), Value::Array(more)) => have.extend(more),
        (Value::Object(have), Value::Object(more)) => {
            more.into_iter()
                .for_each(|(name, part)| grow(have, name, part));
        }
        (_, Value::Null) => {}
        (have, part) => *have = part,
    }
}

#[cfg(test)]
mod tests;
