//! What a run is asked to do, and what it reports.

use std::path::PathBuf;
use std::time::Duration;

use crate::injected_violation::InjectedViolation;
use crate::oracle::Violation;

/// What a run is asked to do.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// The router's program.
    pub program: PathBuf,
    /// The library that is preloaded into routers; without one, clock and system calls are the
    /// system's own.
    pub shim: Option<PathBuf>,
    /// Which system calls fail, by the library's names for them, separated by commas.
    pub syscall_faults: String,
    /// Where configuration files and logs go.
    pub folder: PathBuf,
    /// The seed.
    pub seed: u64,
    /// The number of routers.
    pub routers: usize,
    /// The number of prefill servers.
    pub prefill_servers: usize,
    /// The number of decode servers.
    pub decode_servers: usize,
    /// For how long new faults begin.
    pub fault_span: Duration,
    /// A violation to cause on purpose.
    pub injected_violation: Option<InjectedViolation>,
}

/// What a run reports.
#[derive(Debug)]
pub struct RunReport {
    /// Requests that were served.
    pub served: usize,
    /// Requests that were rejected.
    pub rejected: usize,
    /// Requests that got another answer.
    pub failed: usize,
    /// Faults that were injected.
    pub faults: usize,
    /// The violations that the oracle found.
    pub violations: Vec<Violation>,
}
