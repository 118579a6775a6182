//! Chat completion requests.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::body_limits::BodyLimits;
use crate::bounded_list::{visit_items, ListLength};
use crate::error::ApiError;
use crate::estimate_tokens;
use crate::fields::{json_string, push_field, FieldReader, Fields, Text};

/// The fields of a chat request that the router uses.
#[derive(Debug, Clone, PartialEq)]
pub struct ChatRequest {
    /// Name of the model, as the client sent it.
    pub model: String,
    /// Whether the client requested a stream.
    pub stream: bool,
    /// Estimated number of tokens of the messages and tools.
    pub prompt_tokens: u64,
    /// Maximum number of tokens of the response, if the client limits it.
    pub max_tokens: Option<u64>,
    /// Value of `user` in the request.
    pub user: Option<String>,
}

/// Valid roles of messages.
const ROLES: [&str; 6] = [
    "system",
    "developer",
    "user",
    "assistant",
    "tool",
    "function",
];
/// Valid types of `response_format`.
const RESPONSE_FORMATS: [&str; 3] = ["text", "json_object", "json_schema"];
/// Maximum number of stop sequences in `stop`.
const MAX_STOP_SEQUENCES: usize = 4;
/// Number of bytes of JSON that are counted as one token in estimates.
const JSON_BYTES_PER_TOKEN: u64 = 4;

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    role: Option<Text<'a>>,
    #[serde(borrow)]
    content: Option<&'a RawValue>,
    #[serde(borrow)]
    tool_calls: Option<&'a RawValue>,
    #[serde(borrow)]
    function_call: Option<&'a RawValue>,
    #[serde(borrow)]
    tool_call_id: Option<Text<'a>>,
}

#[derive(Deserialize)]
struct ContentPart<'a> {
    #[serde(borrow)]
    r#type: Option<Text<'a>>,
    #[serde(borrow)]
    text: Option<Text<'a>>,
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

#[derive(Deserialize)]
struct ResponseFormat {
    r#type: String,
}

impl ChatRequest {
    /// Decodes the body of a request.
    pub fn decode(body: &[u8], limits: &BodyLimits) -> Result<ChatRequest, ApiError> {
        limits.check(body)?;
        let fields = Fields::decode(body)?;
        let mut reader = FieldReader::new(&fields);
        let model = reader.required_string("model", "the name of a model");
        let message_tokens = read_messages(&mut reader, limits);
        let tool_tokens = read_tools(&mut reader, limits);
        let stream = reader.boolean("stream").unwrap_or(false);
        check_stream_options(&mut reader, stream);
        let user = reader.string("user");
        let max_completion_tokens = reader.integer("max_completion_tokens", 1..=u64::MAX);
        let max_tokens = reader.integer("max_tokens", 1..=u64::MAX);
        check_sampling(&mut reader);
        reader.finish()?;
        Ok(ChatRequest {
            model,
            stream,
            prompt_tokens: message_tokens + tool_tokens,
            max_tokens: max_completion_tokens.or(max_tokens),
            user,
        })
    }

    /// Encodes the body of the request to an endpoint. `model` is the endpoint's name of the model.
    ///
    /// The router always requests a stream, even if the client does not, because the deadline
    /// applies to the first token, and because the router can then detect that an endpoint stops
    /// responding. If the client requested a stream and endpoints use the same name of the model,
    /// the body is passed on unchanged.
    pub fn encode(&self, body: &Bytes, model: &str) -> Result<Bytes, ApiError> {
        if self.stream && model == self.model {
            return Ok(body.clone());
        }
        let fields = Fields::decode(body)?;
        let mut excluded = vec!["model"];
        if !self.stream {
            excluded.extend(["stream", "stream_options"]);
        }
        let mut text = "{".to_owned();
        fields.encode_without(&excluded, &mut text);
        push_field(&mut text, "model", &json_string(model));
        if !self.stream {
            text.push_str(r#""stream":true,"stream_options":{"include_usage":true},"#);
        }
        text.pop();
        text.push('}');
        Ok(text.into())
    }
}

fn json_tokens(raw: &RawValue) -> u64 {
    (raw.get().len() as u64).div_ceil(JSON_BYTES_PER_TOKEN)
}

/// Checks the messages and estimates the number of their tokens.
fn read_messages(reader: &mut FieldReader, limits: &BodyLimits) -> u64 {
    reader.require("messages", "a list of messages");
    let Some(messages) = reader.list("messages", limits.items) else {
        return 0;
    };
    if messages.is_empty() {
        reader.add_error("messages", "must not be empty");
    }
    let mut tokens = 0;
    for (index, raw) in messages.into_iter().enumerate() {
        let param = format!("messages[{index}]");
        match serde_json::from_str::<Message>(raw.get()) {
            Ok(message) => tokens += read_message(reader, &param, &message, limits),
            Err(_) => reader.add_error(param, "must be an object with a role and a content"),
        }
    }
    tokens
}

/// Checks a message and estimates the number of its tokens.
fn read_message(
    reader: &mut FieldReader,
    param: &str,
    message: &Message,
    limits: &BodyLimits,
) -> u64 {
    let role = message.role.as_ref().map(|Text(role)| &**role);
    if !role.is_some_and(|role| ROLES.contains(&role)) {
        reader.add_error(
            format!("{param}.role"),
            format!("must be one of {}", ROLES.join(", ")),
        );
    }
    if role == Some("tool") && message.tool_call_id.is_none() {
        reader.add_error(
            format!("{param}.tool_call_id"),
            "is needed for a tool's message",
        );
    }
    let calls = message.tool_calls.or(message.function_call);
    let content_tokens = match message.content.map(|raw| count_content_tokens(raw, limits)) {
        Some(Ok(tokens)) => tokens,
        Some(Err(error)) => {
            reader.add_error(format!("{param}.content"), error.to_string());
            0
        }
        None => {
            if calls.is_none() {
                reader.add_error(format!("{param}.content"), "is needed");
            }
            0
        }
    };
    content_tokens + calls.map_or(0, json_tokens)
}

/// Reason why the content of a message is invalid. Its text continues the name of the field.
#[derive(Debug, thiserror::Error)]
enum ContentError {
    #[error("must be a text, or a list of parts that each have a type")]
    Invalid,
    #[error("{}", .0.error_message())]
    TooManyParts(ListLength),
}

/// Estimates the number of tokens of a message's content.
fn count_content_tokens(raw: &RawValue, limits: &BodyLimits) -> Result<u64, ContentError> {
    let text = raw.get();
    if text.starts_with('"') {
        let Text(content) = serde_json::from_str(text).map_err(|_| ContentError::Invalid)?;
        return Ok(estimate_tokens(&content));
    }
    let mut tokens = Some(0);
    let count =
        |part: ContentPart| tokens = tokens.zip(count_part_tokens(&part)).map(|(a, b)| a + b);
    let length = visit_items(raw, limits.items, count).map_err(|_| ContentError::Invalid)?;
    if length.is_exceeded() {
        return Err(ContentError::TooManyParts(length));
    }
    tokens.ok_or(ContentError::Invalid)
}

fn count_part_tokens(part: &ContentPart) -> Option<u64> {
    let Text(part_type) = part.r#type.as_ref()?;
    match (&**part_type, &part.text) {
        ("text", None) => None,
        (_, None) => Some(0),
        (_, Some(Text(text))) => Some(estimate_tokens(text)),
    }
}

/// Checks the tools and estimates the number of their tokens, which are part of the prompt.
fn read_tools(reader: &mut FieldReader, limits: &BodyLimits) -> u64 {
    let mut tokens = 0;
    let tools = reader.list("tools", limits.items).unwrap_or_default();
    for (index, raw) in tools.into_iter().enumerate() {
        tokens += json_tokens(raw);
        let is_valid = serde_json::from_str::<Tool>(raw.get()).is_ok_and(|tool| {
            let function = tool.function.as_ref();
            tool.r#type != "function" || function.is_some_and(|f| !f.name.is_empty())
        });
        if !is_valid {
            reader.add_error(
                format!("tools[{index}]"),
                "must have a type and, for a function, its name",
            );
        }
    }
    reader.optional::<&RawValue>("tool_choice", "a word or an object", |raw| {
        raw.get().starts_with(['"', '{'])
    });
    reader.boolean("parallel_tool_calls");
    tokens
}

fn check_stream_options(reader: &mut FieldReader, is_stream: bool) {
    let options = reader.optional::<StreamOptions>(
        "stream_options",
        "an object whose include_usage is true or false",
        |_| true,
    );
    if options.is_some_and(|o| o.include_usage.is_some()) && !is_stream {
        reader.add_error("stream_options", "is for streams only");
    }
}

/// Checks the fields that control the sampling and the form of the response. They are passed on
/// unchanged.
fn check_sampling(reader: &mut FieldReader) {
    reader.number("temperature", 0.0..=2.0);
    reader.number("top_p", 0.0..=1.0);
    reader.number("presence_penalty", -2.0..=2.0);
    reader.number("frequency_penalty", -2.0..=2.0);
    reader.integer("n", 1..=128);
    reader.optional::<i64>("seed", "a whole number", |_| true);
    reader.boolean("logprobs");
    reader.integer("top_logprobs", 0..=20);
    reader.optional::<&RawValue>("stop", "a text or a list of at most 4 texts", |raw| {
        raw.get().starts_with('"')
            || visit_items(raw, MAX_STOP_SEQUENCES, |_: Text| {})
                .is_ok_and(|length| !length.is_exceeded())
    });
    reader.optional(
        "response_format",
        "an object whose type is text, json_object or json_schema",
        |format: &ResponseFormat| RESPONSE_FORMATS.contains(&format.r#type.as_str()),
    );
}

#[cfg(test)]
mod tests;
