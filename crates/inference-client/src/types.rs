//! Requests and responses of the API. If a type has a field `extra`, it contains the fields, to be
//! sent or received, that the type does not list. Other types ignore such fields.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// A message of a chat.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Author of the message: `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// Text of the message.
    #[serde(default)]
    pub content: Option<String>,
    /// Tool calls of an assistant message.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tool_calls: Vec<Value>,
    /// Fields that this type does not list.
    #[serde(flatten)]
    pub extra: Map<String, Value>,
}

impl Message {
    /// Creates a message with the role `user`.
    pub fn user(content: impl Into<String>) -> Message {
        Message {
            role: "user".to_owned(),
            content: Some(content.into()),
            ..Message::default()
        }
    }

    /// Creates a message with the role `system`.
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
    /// Name of the model.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<Message>,
    /// Maximum number of tokens of the response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_completion_tokens: Option<u64>,
    /// Fields that this type does not list, such as `temperature` and `tools`.
    #[serde(flatten)]
    pub extra: Map<String, Value>,
}

impl ChatRequest {
    /// Creates a request with the fields that the API requires.
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
    /// Id of the response.
    #[serde(default)]
    pub id: String,
    /// The choices, of which each is an alternative response.
    pub choices: Vec<Choice>,
    /// Number of tokens used.
    #[serde(default)]
    pub usage: Option<Usage>,
    /// Fields that this type does not list.
    #[serde(flatten)]
    pub extra: Map<String, Value>,
}

/// One choice of a chat response.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Choice {
    /// Index of the choice.
    #[serde(default)]
    pub index: u64,
    /// The generated message.
    pub message: Message,
    /// Why the generation ended, as a value of the API such as `stop`.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// One event of a chat stream.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ChatChunk {
    /// The additions to the choices.
    #[serde(default)]
    pub choices: Vec<Value>,
    /// Number of tokens used, in the last event if the request asked for it.
    #[serde(default)]
    pub usage: Option<Usage>,
}

impl ChatChunk {
    /// Returns the text that this event adds to the first choice.
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

/// Numbers of tokens used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Usage {
    /// Tokens of the prompt, the inputs or the documents.
    pub prompt_tokens: u64,
    /// Tokens of the response.
    pub completion_tokens: u64,
    /// Tokens of the prompt and the response together.
    pub total_tokens: u64,
}

/// An embeddings request.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct EmbeddingsRequest {
    /// Name of the model.
    pub model: String,
    /// Texts to embed.
    pub input: Vec<String>,
    /// Requested length of the vectors.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub dimensions: Option<u64>,
    /// Fields that this type does not list.
    #[serde(flatten)]
    pub extra: Map<String, Value>,
}

/// An embeddings response.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EmbeddingsResponse {
    /// Embeddings in the order of the texts.
    pub data: Vec<Embedding>,
    /// Number of tokens used.
    #[serde(default)]
    pub usage: Usage,
}

/// The embedding of a text.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Embedding {
    /// Index of the text in the request.
    pub index: usize,
    /// Vector of the text.
    pub embedding: Vec<f32>,
}

/// A rerank request.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RerankRequest {
    /// Name of the model.
    pub model: String,
    /// Query that the documents are compared with.
    pub query: String,
    /// Documents to score.
    pub documents: Vec<String>,
    /// Maximum number of results.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub top_n: Option<usize>,
    /// Fields that this type does not list.
    #[serde(flatten)]
    pub extra: Map<String, Value>,
}

/// A rerank response.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct RerankResponse {
    /// Results in descending order of their scores.
    pub results: Vec<RerankResult>,
    /// Number of tokens used.
    #[serde(default)]
    pub usage: Usage,
}

/// The score of a document.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct RerankResult {
    /// Index of the document in the request.
    pub index: usize,
    /// Relevance of the document to the query.
    pub relevance_score: f64,
}

/// A model that the service offers.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Model {
    /// Name of the model.
    pub id: String,
    /// Fields that this type does not list.
    #[serde(flatten)]
    pub extra: Map<String, Value>,
}

/// The models that the service offers.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ModelList {
    /// The models.
    pub data: Vec<Model>,
}

/// An error that the service reports.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct ApiErrorBody {
    /// Human-readable description of the error.
    pub message: String,
    /// Machine-readable error code.
    pub code: Option<String>,
    /// Name of the invalid field or header.
    pub param: Option<String>,
    /// Category of the error.
    pub r#type: Option<String>,
}
