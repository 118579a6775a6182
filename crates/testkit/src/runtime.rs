//! Runs tests on one thread.

use std::future::Future;
use std::time::Duration;

use tokio::task::LocalSet;

/// No test waits longer than this for anything: a bound on hangs, not a measurement.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test's future and the tasks that it spawns.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("it hangs")
    });
}

/// The same with a paused clock, which only advances while all tasks are idle.
pub fn run_paused(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}
