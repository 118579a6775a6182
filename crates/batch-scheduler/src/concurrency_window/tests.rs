//! Tests of the concurrency window.

use super::*;

#[test]
fn the_window_decreases_once_per_overload_and_grows_back() {
    let mut window = ConcurrencyWindow::new(10);
    for now in 0..20 {
        window.record_rejection(now);
    }
    assert_eq!(window.size(), 7);
    for n in 1..40 {
        window.record_rejection(n * MIN_DECREASE_INTERVAL);
    }
    assert_eq!(window.size(), 1);
    let served = (0..1_000).take_while(|_| {
        window.record_success();
        window.size() < 10
    });
    assert!((30..60).contains(&served.count()));
    for _ in 0..99 {
        window.record_success();
    }
    assert_eq!(window.size(), 10);
}
