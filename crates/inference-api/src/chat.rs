//! Chat completions.

use std::borrow::Cow;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::error::ApiError;
use crate::fields::{push_field, Fields, Reader};
use crate::scan::{scan, Bounds};
use crate::text_tokens;

/// A chat request, as far as it matters here.
#[derive(Debug, Clone, PartialEq)]
pub struct Chat {
    /// The model that the client names.
    pub model: String,
    /// Whether the client wants a stream.
    pub stream: bool,
    /// Tokens of its messages and tools.
    pub prompt_tokens: u64,
    /// The most that may be answered, where the client says so.
    pub max_tokens: Option<u64>,
    /// Whose request it is, as the client says.
    pub user: Option<String>,
}

const ROLES: [&str; 6] = [
    "system",
    "developer",
    "user",
    "assistant",
    "tool",
    "function",
];

#[derive(Deserialize)]
struct Message<'a> {
    role: Option<Cow<'a, str>>,
    #[serde(borrow)]
    content: Option<&'a RawValue>,
    #[serde(borrow)]
    tool_calls: Option<&'a RawValue>,
    #[serde(borrow)]
    function_call: Option<&'a RawValue>,
    tool_call_id: Option<Cow<'a, str>>,
}

#[derive(Deserialize)]
struct PartOfMessage<'a> {
    r#type: Option<Cow<'a, str>>,
    text: Option<Cow<'a, str>>,
}

#[derive(Deserialize)]
struct StreamOptions {
    include_usage: Option<bool>,
}

#[derive(Deserialize)]
struct Tool {
    r#type: String,
    function: Option<Function>,
}

#[derive(Deserialize)]
struct Function {
    name: String,
}

impl Chat {
    /// Decodes a body.
    pub fn decode(body: &[u8], bounds: &Bounds) -> Result<Chat, ApiError> {
        scan(body, bounds)?;
        let fields = Fields::decode(body)?;
        let mut reader = Reader::new(&fields);
        let model = reader.needed_text("model", "the name of a model");
        let mut prompt_tokens = messages(&mut reader, bounds);
        prompt_tokens += tools(&mut reader, bounds);
        let stream = reader.flag("stream").unwrap_or(false);
        let options = reader.optional::<StreamOptions>(
            "stream_options",
            "an object whose include_usage is true or false",
            |_| true,
        );
        if options.is_some_and(|o| o.include_usage.is_some()) && !stream {
            reader.wrong("stream_options", "is for streams only");
        }
        let user = reader.text("user");
        let max_completion = reader.count("max_completion_tokens", 1..=u64::MAX);
        let max_tokens = reader.count("max_tokens", 1..=u64::MAX);
        sampling(&mut reader);
        reader.finish()?;
        Ok(Chat {
            model,
            stream,
            prompt_tokens,
            max_tokens: max_completion.or(max_tokens),
            user,
        })
    }

    /// The body that a server is sent. Servers always stream: the deadline is the first token's, whatever the
    /// client wants, and a server that falls silent is found out. The body of a client that streams passes as it
    /// is, unless its model bears another name among the servers.
    pub fn encode(&self, body: &Bytes, model: &str) -> Result<Bytes, ApiError> {
        if self.stream && model == self.model {
            return Ok(body.clone());
        }
        let fields = Fields::decode(body)?;
        let mut left_out = vec!["model"];
        if !self.stream {
            left_out.extend(["stream", "stream_options"]);
        }
        let mut text = fields.encode_without(&left_out);
        push_field(
            &mut text,
            "model",
            &serde_json::to_string(model).unwrap_or_default(),
        );
        if !self.stream {
            text.push_str(r#""stream":true,"stream_options":{"include_usage":true},"#);
        }
        text.pop();
        Ok(format!("{{{text}}}").into())
    }
}

/// Checks the messages and counts their tokens.
fn messages(reader: &mut Reader, bounds: &Bounds) -> u64 {
    reader.need("messages", "a list of messages");
    let Some(items) = reader.items("messages", bounds.items) else {
        return 0;
    };
    if items.is_empty() {
        reader.wrong("messages", "must not be empty");
    }
    let mut tokens = 0;
    for (at, raw) in items.into_iter().enumerate() {
        let Ok(message) = serde_json::from_str::<Message>(raw.get()) else {
            reader.wrong(
                format!("messages[{at}]"),
                "must be an object with a role and a content",
            );
            continue;
        };
        if !message
            .role
            .as_deref()
            .is_some_and(|role| ROLES.contains(&role))
        {
            reader.wrong(
                format!("messages[{at}].role"),
                format!("must be one of {}", ROLES.join(", ")),
            );
        }
        if message.role.as_deref() == Some("tool") && message.tool_call_id.is_none() {
            reader.wrong(
                format!("messages[{at}].tool_call_id"),
                "is needed for a tool's message",
            );
        }
        let calls = message.tool_calls.or(message.function_call);
        match message.content.map(content_tokens) {
            Some(Some(count)) => tokens += count,
            Some(None) => {
                let what = "must be a text, or a list of parts that each have a type";
                reader.wrong(format!("messages[{at}].content"), what);
            }
            None if calls.is_some() => {}
            None => reader.wrong(format!("messages[{at}].content"), "is needed"),
        }
        tokens += calls.map_or(0, |calls| (calls.get().len() as u64).div_ceil(4));
    }
    tokens
}

/// The tokens of a content; `None` where it is none.
fn content_tokens(raw: &RawValue) -> Option<u64> {
    let text = raw.get();
    if text.starts_with('"') {
        return serde_json::from_str::<Cow<str>>(text)
            .ok()
            .map(|t| text_tokens(&t));
    }
    let parts: Vec<PartOfMessage> = serde_json::from_str(text).ok()?;
    let one = |part: &PartOfMessage| match (part.r#type.as_deref()?, &part.text) {
        ("text", None) => None,
        (_, text) => Some(text.as_deref().map_or(0, text_tokens)),
    };
    parts.iter().map(one).sum()
}

/// Checks the tools, which count as part of the prompt.
fn tools(reader: &mut Reader, bounds: &Bounds) -> u64 {
    let mut tokens = 0;
    for (at, raw) in reader
        .items("tools", bounds.items)
        .unwrap_or_default()
        .into_iter()
        .enumerate()
    {
        tokens += (raw.get().len() as u64).div_ceil(4);
        let named = |t: &Tool| {
            t.r#type != "function" || t.function.as_ref().is_some_and(|f| !f.name.is_empty())
        };
        if !serde_json::from_str::<Tool>(raw.get()).is_ok_and(|t| named(&t)) {
            reader.wrong(
                format!("tools[{at}]"),
                "must have a type and, for a function, its name",
            );
        }
    }
    let choice = |raw: &&RawValue| raw.get().starts_with(['"', '{']);
    reader.optional::<&RawValue>("tool_choice", "a word or an object", choice);
    reader.flag("parallel_tool_calls");
    tokens
}

/// Checks what says how answers are made: it is passed on.
fn sampling(reader: &mut Reader) {
    reader.number("temperature", 0.0..=2.0);
    reader.number("top_p", 0.0..=1.0);
    reader.number("presence_penalty", -2.0..=2.0);
    reader.number("frequency_penalty", -2.0..=2.0);
    reader.count("n", 1..=128);
    reader.optional::<i64>("seed", "a whole number", |_| true);
    reader.flag("logprobs");
    reader.count("top_logprobs", 0..=20);
    let stops = |raw: &&RawValue| {
        let list = serde_json::from_str::<Vec<Cow<str>>>(raw.get());
        raw.get().starts_with('"') || list.is_ok_and(|l| l.len() <= 4)
    };
    reader.optional::<&RawValue>("stop", "a text or a list of at most 4 texts", stops);
    #[derive(Deserialize)]
    struct Format {
        r#type: String,
    }
    let known = |f: &Format| ["text", "json_object", "json_schema"].contains(&f.r#type.as_str());
    reader.optional(
        "response_format",
        "an object whose type is text, json_object or json_schema",
        known,
    );
}

#[cfg(test)]
mod tests;
