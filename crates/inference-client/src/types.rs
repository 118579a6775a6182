//! The requests and responses of calls. Fields that are not listed here can be set, and are found,
//! in `extra`.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// A message of a chat.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Its author: `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// The content.
    #[serde(default)]
    pub content: Option<String>,
    /// The tool calls.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tool_calls: Vec<Value>,
    /// Further fields.
    #[serde(flatten)]
    pub extra: Map<String, Value>,
}

impl Message {
    /// A user's message.
    pub fn user(content: impl Into<String>) -> Message {
        Message {
            role: "user".to_owned(),
            content: Some(content.into()),
            ..Message::default()
        }
    }

    /// A system's message.
    pub fn system(content: impl Into<String>) -> Message {
        Message {
            role: "system".to_owned(),
            ..Message::user(content)
        }
    }
}

/// A chat request.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ChatRequest {
    /// The model.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<Message>,
    /// The most tokens of the response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_completion_tokens: Option<u64>,
    /// Further fields: `temperature`, `tools` and so on.
    #[serde(flatten)]
    pub extra: Map<String, Value>,
}

impl ChatRequest {
    /// A request.
    pub fn new(model: impl Into<String>, messages: Vec<Message>) -> ChatRequest {
        ChatRequest {
            model: model.into(),
            messages,
            ..ChatRequest::default()
        }
    }
}

/// A complete chat response.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ChatResponse {
    /// Its id.
    #[serde(default)]
    pub id: String,
    /// The choices.
    pub choices: Vec<Choice>,
    /// The tokens used.
    #[serde(default)]
    pub usage: Option<Usage>,
    /// Further fields.
    #[serde(flatten)]
    pub extra: Map<String, Value>,
}

/// One choice of a response.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Choice {
    /// Its index.
    #[serde(default)]
    pub index: u64,
    /// The message.
    pub message: Message,
    /// Why it ended, as the API has it.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// One event of a chat stream.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ChatChunk {
    /// What it adds to the choices.
    #[serde(default)]
    pub choices: Vec<Value>,
    /// The tokens used, in the last event if they were requested.
    #[serde(default)]
    pub usage: Option<Usage>,
}

impl ChatChunk {
    /// The text that it adds to the first choice.
    pub fn text(&self) -> &str {
        let first = self
            .choices
            .iter()
            .find(|c| c["index"].as_u64().unwrap_or(0) == 0);
        first
            .and_then(|c| c["delta"]["content"].as_str())
            .unwrap_or("")
    }
}

/// The tokens used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Usage {
    /// Of the prompt, inputs or documents.
    pub prompt_tokens: u64,
    /// Of the response.
    pub completion_tokens: u64,
    /// Of both together.
    pub total_tokens: u64,
}

/// A request for vectors.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct EmbeddingsRequest {
    /// The model.
    pub model: String,
    /// The texts.
    pub input: Vec<String>,
    /// The length of vectors that is wanted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub dimensions: Option<u64>,
    /// Further fields.
    #[serde(flatten)]
    pub extra: Map<String, Value>,
}

/// The vectors, in the order of the texts.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EmbeddingsResponse {
    /// The vectors.
    pub data: Vec<Embedding>,
    /// The tokens used.
    #[serde(default)]
    pub usage: Usage,
}

/// A vector.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Embedding {
    /// The index of its text.
    pub index: usize,
    /// The vector.
    pub embedding: Vec<f32>,
}

/// A request for scores.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RerankRequest {
    /// The model.
    pub model: String,
    /// The query.
    pub query: String,
    /// The documents.
    pub documents: Vec<String>,
    /// How many results are wanted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub top_n: Option<usize>,
    /// Further fields.
    #[serde(flatten)]
    pub extra: Map<String, Value>,
}

/// The scores, highest first.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct RerankResponse {
    /// The results.
    pub results: Vec<RerankResult>,
    /// The tokens used.
    #[serde(default)]
    pub usage: Usage,
}

/// A score.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct RerankResult {
    /// The index of its document.
    pub index: usize,
    /// The score.
    pub relevance_score: f64,
}

/// A model.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Model {
    /// Its name.
    pub id: String,
    /// Further fields.
    #[serde(flatten)]
    pub extra: Map<String, Value>,
}

/// All models.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ModelList {
    /// The models.
    pub data: Vec<Model>,
}

/// An error of the service.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct ApiErrorBody {
    /// The message for people.
    pub message: String,
    /// The code for programs.
    pub code: Option<String>,
    /// The field or header that is wrong.
    pub param: Option<String>,
    /// The kind of error.
    pub r#type: Option<String>,
}
