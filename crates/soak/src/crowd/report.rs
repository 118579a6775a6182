//! The report of a play.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// How a request of a usual client ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UsualOutcome {
    /// A whole response with this status arrived in time.
    Answered(u16),
    /// The first byte of the response came after the deadline and its tolerance.
    Late,
    /// The response broke off.
    Broken,
    /// The connection ended without a response.
    Closed,
    /// The router was not running or was shutting down.
    NotServing,
}

impl fmt::Display for UsualOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UsualOutcome::Answered(status) => write!(f, "{status}"),
            UsualOutcome::Late => f.write_str("late"),
            UsualOutcome::Broken => f.write_str("broken off"),
            UsualOutcome::Closed => f.write_str("closed"),
            UsualOutcome::NotServing => f.write_str("not serving"),
        }
    }
}

/// What happened in a play.
#[derive(Debug, Default)]
pub struct PlayReport {
    /// Number of requests of usual clients by outcome.
    pub outcomes: BTreeMap<UsualOutcome, usize>,
    /// Number of responses to usual clients that were no 200, by the beginning of their body.
    pub reasons: BTreeMap<String, usize>,
    /// Times to the first byte of the responses to usual clients.
    pub latencies: Vec<Duration>,
    /// The largest memory that a process of the router has held, in bytes.
    pub peak_memory_bytes: u64,
    /// The memory of the router before the crowd came, in bytes.
    pub quiet_memory_bytes: u64,
    /// The memory of the router at the end, in bytes.
    pub final_memory_bytes: u64,
    /// The largest number of file descriptors that was seen.
    pub peak_descriptors: usize,
    /// Requests that were started more than once although they have an effect.
    pub duplicates: usize,
    /// Whether a process of the router ended without being told to.
    pub has_crashed: bool,
}

impl PlayReport {
    /// Returns by how much the crowd made the memory of the router grow at most, in bytes.
    pub fn memory_growth_bytes(&self) -> u64 {
        self.peak_memory_bytes
            .saturating_sub(self.quiet_memory_bytes)
    }

    /// Returns the latency below which this share of the responses came.
    pub fn latency(&self, share: f64) -> Duration {
        let mut latencies = self.latencies.clone();
        latencies.sort_unstable();
        let index = (latencies.len() as f64 * share) as usize;
        let last = latencies.len().saturating_sub(1);
        latencies.get(index.min(last)).copied().unwrap_or_default()
    }
}

impl fmt::Display for PlayReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const BYTES_PER_MEGABYTE: f64 = 1e6;
        let megabytes = |bytes: u64| bytes as f64 / BYTES_PER_MEGABYTE;
        write!(
            f,
            "peak {:.1} MB, at the end {:.1} MB, descriptors {}, usual:",
            megabytes(self.peak_memory_bytes),
            megabytes(self.final_memory_bytes),
            self.peak_descriptors
        )?;
        for (outcome, count) in &self.outcomes {
            write!(f, " {outcome} x {count}")?;
        }
        write!(
            f,
            ", p50 {} ms, p99 {} ms",
            self.latency(0.5).as_millis(),
            self.latency(0.99).as_millis()
        )?;
        for (reason, count) in &self.reasons {
            write!(f, "; {reason:?} x {count}")?;
        }
        if self.duplicates > 0 {
            write!(f, ", DUPLICATES {}", self.duplicates)?;
        }
        if self.has_crashed {
            f.write_str(", CRASHED")?;
        }
        Ok(())
    }
}
