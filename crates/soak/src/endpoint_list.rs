//! The endpoint list that all discovery servers of a run serve.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use crate::oracle::Role;

/// The state of an endpoint in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts work.
    Active,
    /// The endpoint accepts no new work.
    Draining,
    /// The endpoint no longer exists.
    Removed,
}

impl EndpointState {
    /// Returns the name of the state in the endpoint list.
    pub fn wire_name(self) -> &'static str {
        match self {
            EndpointState::Active => "up",
            EndpointState::Draining => "draining",
            EndpointState::Removed => "removed",
        }
    }
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, Copy)]
pub struct EndpointEntry {
    /// Role of the endpoint.
    pub role: Role,
    /// State of the endpoint.
    pub state: EndpointState,
    /// When the endpoint process started, as Unix time.
    pub started_at: Duration,
    /// Version of the list in which the entry last changed.
    pub changed_in_version: u64,
}

/// The endpoint list, with a version that is incremented by each change.
pub struct EndpointList {
    entries: RefCell<Vec<EndpointEntry>>,
    version: watch::Sender<u64>,
}

impl EndpointList {
    /// Creates a list with one active endpoint for each element of `roles`. They have been active
    /// since the Unix epoch, so that none is in slow start.
    pub fn new(roles: &[Role]) -> Rc<EndpointList> {
        let entry = |role: &Role| EndpointEntry {
            role: *role,
            state: EndpointState::Active,
            started_at: Duration::ZERO,
            changed_in_version: 1,
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

    /// Records that an endpoint was restarted at this Unix time and is active.
    pub fn set_restarted(&self, endpoint: usize, started_at: Duration) {
        self.update(endpoint, |entry| {
            entry.state = EndpointState::Active;
            entry.started_at = started_at;
        });
    }

    fn update(&self, endpoint: usize, change: impl FnOnce(&mut EndpointEntry)) {
        let version = self.version() + 1;
        if let Some(entry) = self.entries.borrow_mut().get_mut(endpoint) {
            change(entry);
            entry.changed_in_version = version;
        }
        self.version.send_replace(version);
    }

    /// Returns all entries, including those of removed endpoints.
    pub fn entries(&self) -> Vec<EndpointEntry> {
        self.entries.borrow().clone()
    }

    /// Returns the current version.
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// Returns a receiver that watches the version.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }
}
