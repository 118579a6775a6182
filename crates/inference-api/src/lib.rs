//! The messages of the public inference API, without I/O: chat completions, embeddings, rerank and
//! models.
//!
//! A body is checked against [`BodyLimits`] before memory is spent on it, decoded once into a typed
//! value, and encoded once. What is large (documents, inputs) stays where it is in the body and is
//! passed on byte by byte; fields that this package does not know are passed on too.

pub mod batch;
pub mod body_limits;
pub mod chat;
pub mod chat_collector;
pub mod error;
pub mod events;
mod fields;
pub mod merge;
pub mod models;
pub mod slice_result;

pub use batch::{Batch, BatchForm, VectorEncoding};
pub use body_limits::BodyLimits;
pub use chat::ChatRequest;
pub use chat_collector::ChatCollector;
pub use error::{ApiError, ErrorKind};
pub use events::{EventSplitter, InvalidEventStream};
pub use merge::merge_results;
pub use models::{ApiEndpoint, CatalogError, Model, ModelCatalog, PerEndpoint, ResolvedModel};
pub use slice_result::{ResultError, SliceResult};

/// The characters of a text that are taken as one token.
const CHARS_PER_TOKEN: u64 = 4;

/// An estimate of the tokens of a text.
pub fn estimate_tokens(text: &str) -> u64 {
    (text.chars().count() as u64).div_ceil(CHARS_PER_TOKEN)
}
