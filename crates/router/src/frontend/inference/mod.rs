//! The inference API: chat completions, embeddings, rerank and models in the form of public
//! inference services. It is off unless an operator's file sets it up.
//!
//! It submits requests to the same core as the platform API. A batch, which is a request with many
//! items, is sent slice by slice; the scheduler behind the `batch_queue` decides on the slices.

mod batch_queue;
mod batches;
mod buffered_body;
mod chat;
mod collect;
mod error;
mod event_stream;
mod request;
mod service;
mod setup;

pub use service::Inference;
pub use setup::{BatchSetup, EndpointSetup, Limits, ModelSetup, Setup};
