//! Helpers of the scheduler's tests.

use cranetack_batch_scheduler::{BatchScheduler, Flow, Load, Micros, SchedulerConfig};

/// A millisecond.
pub const MS: Micros = 1_000;

/// A load of the scheduler.
pub fn load(open_batches: usize, slices_in_flight: usize) -> Load {
    Load {
        open_batches,
        slices_in_flight,
    }
}

/// A flow.
pub fn flow(class: u32, tenant: u64) -> Flow {
    Flow { class, tenant }
}

/// A scheduler with a changed configuration.
pub fn scheduler(change: impl FnOnce(&mut SchedulerConfig)) -> BatchScheduler {
    let mut config = SchedulerConfig {
        min_slice_tokens: 10,
        ..SchedulerConfig::default()
    };
    change(&mut config);
    BatchScheduler::new(config)
}
