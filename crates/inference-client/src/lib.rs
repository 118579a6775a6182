//! A client of the inference API that cranetack serves: chat (complete or streamed), embeddings,
//! rerank and models.
//!
//! ```no_run
//! # async fn example() -> Result<(), cranetack_inference_client::Error> {
//! use cranetack_inference_client::{ChatRequest, Client, Message};
//!
//! let client = Client::new("http://127.0.0.1:8090")?;
//! let request = ChatRequest::new("parts-chat", vec![Message::user("Which gasket fits a 6LY3?")]);
//! let response = client.chat(&request).await?;
//! println!("{}", response.choices[0].message.content.as_deref().unwrap_or(""));
//! # Ok(())
//! # }
//! ```
//!
//! Every call has a deadline that covers all its attempts. Whether a call is retried depends on the
//! outcome of the attempt (see [`retry`]), on whether the request may be executed twice
//! ([`Idempotency`]), on the delay that the service asks for, and on a retry budget that all calls
//! of a [`Client`] share. Dropping the future of a call, or a [`ChatStream`], closes its
//! connection, which cancels the request at the service. The client opens connections as needed and
//! keeps some of them for reuse. It must run on a tokio runtime with time and I/O enabled.

mod call;
mod client;
mod connection;
mod error;
mod options;
pub mod retry;
mod stream;
mod types;
mod write_progress;

pub use client::Client;
pub use error::Error;
pub use options::Options;
pub use retry::Idempotency;
pub use stream::ChatStream;
pub use types::{
    ApiErrorBody, ChatChunk, ChatRequest, ChatResponse, Choice, Embedding, EmbeddingsRequest,
    EmbeddingsResponse, Message, Model, ModelList, RerankRequest, RerankResponse, RerankResult,
    Usage,
};
