//! The endpoint list that all discovery servers of a run serve.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use crate::oracle::Role;

/// The state of an endpoint in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts work.
    Active,
    /// It accepts no new work.
    Draining,
    /// It is no longer there.
    Removed,
}

impl EndpointState {
    /// Its name on the wire.
    pub fn wire_name(self) -> &'static str {
        match self {
            EndpointState::Active => "up",
            EndpointState::Draining => "draining",
            EndpointState::Removed => "removed",
        }
    }
}

/// An entry of the list.
#[derive(Debug, Clone, Copy)]
pub struct EndpointEntry {
    /// What the endpoint does.
    pub role: Role,
    /// Its state.
    pub state: EndpointState,
    /// When its process started, as Unix time.
    pub started_at: Duration,
    /// The version of the list in which the entry last changed.
    pub changed_in: u64,
}

/// The list, with a version that grows with each change.
pub struct EndpointList {
    entries: RefCell<Vec<EndpointEntry>>,
    version: watch::Sender<u64>,
}

impl EndpointList {
    /// A list in which an endpoint of each role has been active for long.
    pub fn new(roles: &[Role]) -> Rc<EndpointList> {
        let entry = |role: &Role| EndpointEntry {
            role: *role,
            state: EndpointState::Active,
            started_at: Duration::ZERO,
            changed_in: 1,
        };
        Rc::new(EndpointList {
            entries: RefCell::new(roles.iter().map(entry).collect()),
            version: watch::Sender::new(1),
        })
    }

    /// Changes the state of an endpoint.
    pub fn set_state(&self, endpoint: usize, state: EndpointState) {
        self.update(endpoint, |entry| entry.state = state);
    }

    /// An endpoint has started anew, at this Unix time.
    pub fn restarted(&self, endpoint: usize, started_at: Duration) {
        self.update(endpoint, |entry| {
            entry.state = EndpointState::Active;
            entry.started_at = started_at;
        });
    }

    fn update(&self, endpoint: usize, change: impl FnOnce(&mut EndpointEntry)) {
        let version = self.version() + 1;
        if let Some(entry) = self.entries.borrow_mut().get_mut(endpoint) {
            change(entry);
            entry.changed_in = version;
        }
        self.version.send_replace(version);
    }

    /// All entries, also those of removed endpoints.
    pub fn entries(&self) -> Vec<EndpointEntry> {
        self.entries.borrow().clone()
    }

    /// The present version.
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// Watches the version.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }
}
