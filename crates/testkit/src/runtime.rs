//! Single-threaded runtimes for tests.

use std::future::Future;
use std::time::Duration;

use tokio::task::LocalSet;

/// Maximum duration of a test. It only bounds tests that hang.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the future of a test and the tasks that it spawns. Panics after [`TEST_TIMEOUT`].
pub fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("the test did not finish within 20 s (TEST_TIMEOUT)")
    });
}

/// Runs the future of a test with a paused clock, which advances only while all tasks are idle.
pub fn run_test_with_paused_clock(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}
