//! Helpers of the scheduler's tests.

use cranetack_batch_scheduler::{BatchScheduler, Flow, Load, Micros, SchedulerConfig};

/// A millisecond.
pub(crate) const MS: Micros = 1_000;

/// A load of the scheduler.
pub(crate) fn load(open_batches: usize, slices_in_flight: usize) -> Load {
    Load {
        open_batches,
        slices_in_flight,
    }
}

/// A flow.
pub(crate) fn flow(class: u32, tenant: u64) -> Flow {
    Flow { class, tenant }
}

/// A scheduler with a changed configuration.
pub(crate) fn scheduler(change: impl FnOnce(&mut SchedulerConfig)) -> BatchScheduler {
    let mut config = SchedulerConfig {
        min_slice_tokens: 10,
        ..SchedulerConfig::default()
    };
    change(&mut config);
    BatchScheduler::new(config)
}
