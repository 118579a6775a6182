use std::cell::Cell;
use std::future::pending;

use super::*;
use cranetack_testkit::run_test;

/// Counts a task as running until the guard is dropped, which happens however the task ends.
struct RunningGuard(Rc<Cell<u32>>);

impl RunningGuard {
    fn new(running: &Rc<Cell<u32>>) -> RunningGuard {
        running.set(running.get() + 1);
        RunningGuard(running.clone())
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

#[test]
fn tasks_end_with_their_group() {
    run_test(async {
        let running = Rc::new(Cell::new(0));
        let group = TaskGroup::default();
        let spawner = group.spawner();
        let first = RunningGuard::new(&running);
        group.spawn(async move {
            let _guard = first;
            pending::<()>().await;
        });
        let second = RunningGuard::new(&running);
        spawner.spawn(async move {
            let _guard = second;
            pending::<()>().await;
        });
        tokio::task::yield_now().await;
        assert_eq!(running.get(), 2);
        drop(group);
        while running.get() > 0 {
            tokio::task::yield_now().await;
        }
    });
}

#[test]
fn a_spawner_starts_nothing_once_its_group_is_dropped() {
    run_test(async {
        let group = TaskGroup::default();
        let spawner = group.spawner();
        drop(group);
        let has_run = Rc::new(Cell::new(false));
        let flag = has_run.clone();
        spawner.spawn(async move { flag.set(true) });
        tokio::task::yield_now().await;
        assert!(!has_run.get());
    });
}
