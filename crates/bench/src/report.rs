//! The figures of a run, printed as one line. The keys must not change, so that runs of different
//! versions can be compared.

use std::fmt;

use crate::scenarios::cancellation::Cancellation;
use crate::scenarios::chat_latency::ChatLatency;
use crate::scenarios::large_bodies::LargeBodies;
use crate::scenarios::rerank_interference::Interference;

/// All figures. Fields that end in `_before` are of the baseline, the others of the current
/// version.
pub(crate) struct Report {
    pub(crate) interference_before: Interference,
    pub(crate) interference: Interference,
    pub(crate) cancellation: Cancellation,
    /// Share of batches that the baseline served completely while servers failed.
    pub(crate) served_share_before: f64,
    /// Share of batches that the current version served completely while servers failed.
    pub(crate) served_share: f64,
    /// Number of documents that were sent more than once, plus servers with concurrent attempts.
    pub(crate) duplicates: usize,
    pub(crate) large_bodies: LargeBodies,
    /// Chat latency without the router.
    pub(crate) direct: ChatLatency,
    /// Chat latency through the router.
    pub(crate) routed: ChatLatency,
    /// Chats served per second of processor time by the baseline.
    pub(crate) throughput_before: f64,
    /// Chats served per second of processor time by the current version.
    pub(crate) throughput: f64,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "front: chat_p99_ratio_before={:.2} chat_p99_ratio={:.2} reranks_before={} reranks={}",
            self.interference_before.chat_p99_ratio,
            self.interference.chat_p99_ratio,
            self.interference_before.reranks_served,
            self.interference.reranks_served,
        )?;
        write!(
            f,
            " cancel_free_p99_ms={:.1} cancels={}",
            self.cancellation.release_p99_ms, self.cancellation.cancelled,
        )?;
        write!(
            f,
            " batch_ok_before={:.3} batch_ok={:.3} duplicates={}",
            self.served_share_before, self.served_share, self.duplicates,
        )?;
        write!(
            f,
            " peak_mb={:.0} large_served={} large_refused={}",
            self.large_bodies.peak_memory_mb, self.large_bodies.served, self.large_bodies.rejected,
        )?;
        write!(
            f,
            " added_p50_ms={:.3} added_p99_ms={:.3} rps_core_before={:.0} rps_core={:.0}",
            self.routed.p50_ms - self.direct.p50_ms,
            self.routed.p99_ms - self.direct.p99_ms,
            self.throughput_before,
            self.throughput,
        )
    }
}

#[cfg(test)]
mod tests;
