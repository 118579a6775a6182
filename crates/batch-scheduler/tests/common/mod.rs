//! Helpers for the tests of the scheduler.

use cranetack_batch_scheduler::{BatchScheduler, Flow, Micros, SchedulerConfig, SchedulerLoad};

/// One millisecond.
pub(crate) const MS: Micros = 1_000;

pub(crate) fn load(open_batches: usize, slices_in_flight: usize) -> SchedulerLoad {
    SchedulerLoad {
        open_batches,
        slices_in_flight,
    }
}

pub(crate) fn flow(class: u32, tenant: u64) -> Flow {
    Flow { class, tenant }
}

/// Creates a scheduler with the default settings, except for a smaller minimum slice and the
/// changes of `change`.
pub(crate) fn scheduler(change: impl FnOnce(&mut SchedulerConfig)) -> BatchScheduler {
    let mut config = SchedulerConfig {
        min_slice_tokens: 10,
        ..SchedulerConfig::default()
    };
    change(&mut config);
    BatchScheduler::new(config)
}
