//! Scenarios of the measurement, one in each module.

pub(crate) mod cancellation;
pub(crate) mod chat_latency;
pub(crate) mod chat_throughput;
pub(crate) mod duplicate_execution;
pub(crate) mod failing_servers;
pub(crate) mod large_bodies;
pub(crate) mod rerank_interference;
