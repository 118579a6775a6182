//! Events that a fake server records for tests.

/// An event that a fake server recorded.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Observation {
    /// A request got a slot.
    RequestStarted {
        /// The path of the request.
        path: String,
        /// The id of the request.
        id: String,
    },
    /// The slot of a request was released because the request ended or its connection was closed.
    SlotReleased {
        /// The id of the request.
        id: String,
    },
    /// A call that reserves or releases the decode slot of a request.
    SlotCall {
        /// The method of the call.
        method: String,
        /// The id of the request.
        id: String,
    },
}

impl Observation {
    /// Returns whether this is the start of a request for a path.
    pub(super) fn is_start_for_path(&self, expected: &str) -> bool {
        matches!(self, Observation::RequestStarted { path, .. } if path == expected)
    }

    /// Returns whether this is the start of the request with an id.
    pub(super) fn is_start_of(&self, expected: &str) -> bool {
        matches!(self, Observation::RequestStarted { id, .. } if id == expected)
    }
}
