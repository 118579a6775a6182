//! What calls take and give. Fields that are not listed can be set through `more` and are found there.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// A message of a chat.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Who says it: `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// What is said.
    #[serde(default)]
    pub content: Option<String>,
    /// Calls of tools.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tool_calls: Vec<Value>,
    /// Further fields.
    #[serde(flatten)]
    pub more: Map<String, Value>,
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
    /// What was said so far.
    pub messages: Vec<Message>,
    /// The most tokens of the answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_completion_tokens: Option<u64>,
    /// Further fields: `temperature`, `tools` and so on.
    #[serde(flatten)]
    pub more: Map<String, Value>,
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

/// A whole chat answer.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ChatAnswer {
    /// Its id.
    #[serde(default)]
    pub id: String,
    /// The choices.
    pub choices: Vec<Choice>,
    /// What it used.
    #[serde(default)]
    pub usage: Option<Usage>,
    /// Further fields.
    #[serde(flatten)]
    pub more: Map<String, Value>,
}

/// One choice of an answer.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Choice {
    /// Its number.
    #[serde(default)]
    pub index: u64,
    /// What was answered.
    pub message: Message,
    /// Why it ended.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// One event of a chat stream.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ChatChunk {
    /// Its parts of choices, as they come.
    #[serde(default)]
    pub choices: Vec<Value>,
    /// What the answer used, in the last event where that was asked for.
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

/// Tokens used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Usage {
    /// Of the prompt, inputs or documents.
    pub prompt_tokens: u64,
    /// Of the answer.
    pub completion_tokens: u64,
    /// Of both.
    pub total_tokens: u64,
}

/// A request for vectors.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct EmbeddingsRequest {
    /// The model.
    pub model: String,
    /// The texts.
    pub input: Vec<String>,
    /// How long vectors are wanted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub dimensions: Option<u64>,
    /// Further fields.
    #[serde(flatten)]
    pub more: Map<String, Value>,
}

/// Vectors, in the order of the texts.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EmbeddingsAnswer {
    /// The vectors.
    pub data: Vec<Embedding>,
    /// What it used.
    #[serde(default)]
    pub usage: Usage,
}

/// A vector.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Embedding {
    /// The number of its text.
    pub index: usize,
    /// The vector.
    pub embedding: Vec<f32>,
}

/// A request for scores.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RerankRequest {
    /// The model.
    pub model: String,
    /// What is looked for.
    pub query: String,
    /// Where.
    pub documents: Vec<String>,
    /// How many results are wanted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub top_n: Option<usize>,
    /// Further fields.
    #[serde(flatten)]
    pub more: Map<String, Value>,
}

/// Scores, the highest first.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct RerankAnswer {
    /// The results.
    pub results: Vec<Scored>,
    /// What it used.
    #[serde(default)]
    pub usage: Usage,
}

/// A score.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Scored {
    /// The number of its document.
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
    pub more: Map<String, Value>,
}

/// All models.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Models {
    /// The models.
    pub data: Vec<Model>,
}

/// What the service says is wrong.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct ApiErrorBody {
    /// For people.
    pub message: String,
    /// For programs.
    pub code: Option<String>,
    /// The field or header.
    pub param: Option<String>,
    /// Whose fault it is.
    pub r#type: Option<String>,
}
