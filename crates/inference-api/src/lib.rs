//! The messages of the public inference API, without I/O: chat completions, embeddings, rerank and
//! models.
//!
//! A body is checked against [`BodyLimits`] before memory is allocated for it, decoded once into a
//! typed value, and encoded once. Large values such as documents and inputs are not copied while
//! they are decoded; their bytes are passed on unchanged. Fields that this package does not know
//! are passed on too.

pub mod batch;
pub mod body_limits;
mod bounded_list;
pub mod chat;
pub mod chat_collector;
pub mod error;
pub mod events;
mod fields;
pub mod merge;
pub mod models;
pub mod slice_result;

pub use batch::{BatchForm, BatchRequest, VectorEncoding};
pub use body_limits::BodyLimits;
pub use chat::ChatRequest;
pub use chat_collector::ChatCollector;
pub use error::{ApiError, ErrorKind};
pub use events::{EventSplitter, InvalidEventStream};
pub use merge::merge_results;
pub use models::{ApiEndpoint, CatalogError, Model, ModelCatalog, PerApiEndpoint, ResolvedModel};
pub use slice_result::{ResultError, SliceResult};

/// Number of characters that are counted as one token in estimates.
const CHARS_PER_TOKEN: u64 = 4;

/// Estimates the number of tokens of a text.
pub fn estimate_tokens(text: &str) -> u64 {
    (text.chars().count() as u64).div_ceil(CHARS_PER_TOKEN)
}
