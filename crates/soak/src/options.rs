//! The options of a run, and its report.

use std::path::PathBuf;
use std::time::Duration;

use crate::injected_violation::InjectedViolation;
use crate::oracle::Violation;

/// Maximum deadlines of the request classes of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassDeadlines {
    /// Of the class whose requests may be executed more than once.
    pub idempotent: Duration,
    /// Of the class whose requests may not.
    pub non_idempotent: Duration,
}

impl ClassDeadlines {
    /// Usual deadlines.
    pub const USUAL: ClassDeadlines = ClassDeadlines {
        idempotent: Duration::from_millis(2_500),
        non_idempotent: Duration::from_millis(4_000),
    };
    /// Deadlines after which SIGKILL follows soon after SIGTERM.
    pub const SHORT: ClassDeadlines = ClassDeadlines {
        idempotent: Duration::from_millis(900),
        non_idempotent: Duration::from_millis(1_300),
    };
    /// The deadline that counts at most for the time of SIGKILL.
    const LONGEST_COUNTED: Duration = Duration::from_millis(3_000);
    /// Time of SIGKILL after SIGTERM beyond the longest deadline.
    const KILL_MARGIN: Duration = Duration::from_millis(700);

    /// Returns the longest deadline.
    pub fn longest(&self) -> Duration {
        self.idempotent.max(self.non_idempotent)
    }

    /// Returns the earliest time of SIGKILL after SIGTERM.
    pub fn kill_delay(&self) -> Duration {
        self.longest().min(ClassDeadlines::LONGEST_COUNTED) + ClassDeadlines::KILL_MARGIN
    }
}

/// The resources of each router of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterLimits {
    /// Maximum memory in megabytes.
    pub memory_mb: u64,
    /// Maximum number of file descriptors.
    pub sockets: usize,
}

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
    /// Deadlines of the request classes.
    pub deadlines: ClassDeadlines,
    /// Resources of each router.
    pub limits: RouterLimits,
    /// Whether the faults include crowds of misbehaving clients.
    pub has_crowds: bool,
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
