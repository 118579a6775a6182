//! The faults to inject, as configured by environment variables.

use std::env;
use std::sync::OnceLock;

use crate::random;

/// The faults to inject into this process.
pub(crate) struct FaultPlan {
    /// Seconds added to the wall clock; may be negative.
    pub(crate) clock_step_s: i64,
    /// Whether `accept4` can fail.
    pub(crate) accept: bool,
    /// Whether `connect` can fail.
    pub(crate) connect: bool,
    /// Whether `socket` can fail.
    pub(crate) socket: bool,
    /// Whether `epoll_wait` can fail.
    pub(crate) wait: bool,
    /// Whether `recv` and `send` can transfer fewer bytes than requested.
    pub(crate) short: bool,
    /// Whether opening the configuration file can fail.
    pub(crate) file: bool,
}

/// Returns the fault plan of this process. The first call reads it from the environment and seeds
/// the random number generator.
pub(crate) fn fault_plan() -> &'static FaultPlan {
    static PLAN: OnceLock<FaultPlan> = OnceLock::new();
    PLAN.get_or_init(read_environment)
}

fn read_environment() -> FaultPlan {
    let faults = match env::var("SOAK_FAULTS_SEED") {
        Ok(seed) => {
            random::seed(seed.parse().unwrap_or(1));
            env::var("SOAK_FAULTS").unwrap_or_default()
        }
        Err(_) => String::new(),
    };
    let clock_step_s = env::var("SOAK_CLOCK_STEP_S")
        .ok()
        .and_then(|step| step.parse().ok())
        .unwrap_or(0);
    let is_named = |name: &str| faults.split(',').any(|fault| fault == name);
    FaultPlan {
        clock_step_s,
        accept: is_named("accept"),
        connect: is_named("connect"),
        socket: is_named("socket"),
        wait: is_named("wait"),
        short: is_named("short"),
        file: is_named("file"),
    }
}
