//! A client of the inference API that cranetack serves: chat, whole and streamed, embeddings, rerank, models.
//!
//! ```no_run
//! # async fn example() -> Result<(), cranetack_inference_client::Error> {
//! use cranetack_inference_client::{ChatRequest, Client, Message};
//!
//! let client = Client::new("http://127.0.0.1:8090")?;
//! let asked = ChatRequest::new("parts-chat", vec![Message::user("Which gasket fits a 6LY3?")]);
//! let answer = client.chat(&asked).await?;
//! println!("{}", answer.choices[0].message.content.as_deref().unwrap_or(""));
//! # Ok(())
//! # }
//! ```
//!
//! Every call has a deadline, over all its tries. Whether a call is tried again hangs on what came of it (see
//! [`retry`]), on whether it may run twice ([`Safety`]), on the pause that the service asks for, and on a budget that
//! all calls of a [`Client`] share. Dropping a call's future, or a [`ChatStream`], closes its connection, which takes
//! the request back at the service. The client opens connections by itself and keeps some; it must run on a tokio
//! runtime with time and I/O.

mod call;
mod link;
pub mod retry;
mod stream;
mod types;

pub use call::{Client, Error, Options};
pub use retry::Safety;
pub use stream::ChatStream;
pub use types::{
    ApiErrorBody, ChatAnswer, ChatChunk, ChatRequest, Choice, Embedding, EmbeddingsAnswer,
    EmbeddingsRequest, Message, Model, Models, RerankAnswer, RerankRequest, Scored, Usage,
};
