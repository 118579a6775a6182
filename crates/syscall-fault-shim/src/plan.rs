//! What the environment asks for.

use std::env;
use std::sync::OnceLock;

use crate::random;

/// Which faults are injected.
pub(crate) struct FaultPlan {
    /// Seconds by which the wall clock is ahead.
    pub(crate) clock_step_s: i64,
    /// Whether `accept4` fails.
    pub(crate) accept: bool,
    /// Whether `connect` fails.
    pub(crate) connect: bool,
    /// Whether `socket` fails.
    pub(crate) socket: bool,
    /// Whether `epoll_wait` fails.
    pub(crate) wait: bool,
    /// Whether `recv` and `send` are short.
    pub(crate) short: bool,
    /// Whether reads of the configuration fail.
    pub(crate) file: bool,
}

/// The plan of this process, read from the environment once. Reading it also seeds the random
/// numbers.
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
