//! Ownership of spawned tasks: a task ends at the latest when its group is dropped.

use std::cell::RefCell;
use std::future::Future;
use std::rc::{Rc, Weak};

use tokio::task::JoinSet;

/// Owns tasks of the router's thread. Dropping the group aborts the tasks that still run.
#[derive(Default)]
pub struct TaskGroup {
    tasks: Rc<RefCell<JoinSet<()>>>,
}

/// Spawns tasks into a [`TaskGroup`] without keeping the group alive. Cheap to clone.
#[derive(Clone)]
pub struct TaskSpawner {
    tasks: Weak<RefCell<JoinSet<()>>>,
}

impl TaskGroup {
    /// Returns a spawner for this group.
    pub fn spawner(&self) -> TaskSpawner {
        TaskSpawner {
            tasks: Rc::downgrade(&self.tasks),
        }
    }

    /// Spawns a task. Must be called within a `LocalSet`.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut tasks = self.tasks.borrow_mut();
        // The results of tasks that have ended would accumulate otherwise.
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(task);
    }
}

impl TaskSpawner {
    /// Spawns a task, unless the group has been dropped. Must be called within a `LocalSet`.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(tasks) = self.tasks.upgrade() {
            TaskGroup { tasks }.spawn(task);
        }
    }
}

#[cfg(test)]
mod tests;
