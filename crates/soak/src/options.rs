//! The options of a run, and its report.

use std::path::PathBuf;
use std::time::Duration;

use crate::injected_violation::InjectedViolation;
use crate::oracle::Violation;

/// The options of a run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Path of the router program.
    pub program: PathBuf,
    /// Path of the library that is preloaded into routers to shift the wall clock and make system
    /// calls fail; `None` to run without it.
    pub shim: Option<PathBuf>,
    /// Names of the faults that the library injects, separated by commas.
    pub syscall_faults: String,
    /// Folder for the configuration files and logs of the routers.
    pub folder: PathBuf,
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of routers.
    pub routers: usize,
    /// Number of fake prefill servers.
    pub prefill_servers: usize,
    /// Number of fake decode servers.
    pub decode_servers: usize,
    /// Duration in which faults are started. A fault may end later.
    pub fault_injection_duration: Duration,
    /// Violation to cause on purpose, if any.
    pub injected_violation: Option<InjectedViolation>,
}

/// The report of a run.
#[derive(Debug)]
pub struct RunReport {
    /// Number of requests that were served.
    pub served: usize,
    /// Number of requests that were rejected.
    pub rejected: usize,
    /// Number of requests that got another response.
    pub failed: usize,
    /// Number of faults that were injected.
    pub faults: usize,
    /// Violations that the oracle found.
    pub violations: Vec<Violation>,
}
