//! The messages of the public inference API, without I/O: chat completions, embeddings, rerank and models.
//! A body is bounded by [`scan`] before memory is spent on it, decoded once into a typed value, and encoded once.
//! What is large (documents, inputs) stays where it is in the body and is passed on byte by byte; fields that
//! this package does not know are passed on too.

pub mod batch;
pub mod chat;
pub mod error;
pub mod events;
mod fields;
pub mod models;
pub mod results;
pub mod scan;

pub use batch::{Batch, Encoding, Form};
pub use chat::Chat;
pub use error::{ApiError, Kind};
pub use events::{Events, Fold};
pub use models::{Catalogue, Endpoint, Model, Resolved};
pub use results::{join, BadAnswer, Part};
pub use scan::Bounds;

/// Tokens of a text: one token is taken to be four characters.
pub fn text_tokens(text: &str) -> u64 {
    (text.chars().count() as u64).div_ceil(4)
}
