//! The inference API: chat completions, embeddings, rerank and the list of models, in the form that
//! public inference services use. It is served only if the operator gives a file that sets it up.
//!
//! It submits requests to the same core as the platform API. A batch is a request with many items;
//! it is sent slice by slice, as the batch scheduler decides, which `batch_queue` runs.

mod batch_queue;
mod batches;
mod buffered_body;
mod chat;
mod collect;
mod decoding;
mod error;
mod event_stream;
mod request;
mod service;
mod setup;

pub use service::Inference;
pub use setup::{ApiEndpointSetup, BatchSetup, Limits, ModelSetup, Setup};
