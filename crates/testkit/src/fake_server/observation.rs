//! What a fake server observes.

/// One observation.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Observation {
    /// A request got a slot.
    RequestStarted {
        /// Its path.
        path: String,
        /// Its id.
        id: String,
    },
    /// The slot of a request was released, by its end or by that of its connection.
    SlotReleased {
        /// The id of the request.
        id: String,
    },
    /// A call about the decode slot of a request.
    SlotCall {
        /// The method of the call.
        method: String,
        /// The id of the request.
        id: String,
    },
}

impl Observation {
    /// Whether a request for this path got a slot.
    pub(super) fn is_start_for_path(&self, expected: &str) -> bool {
        matches!(self, Observation::RequestStarted { path, .. } if path == expected)
    }

    /// Whether the request with this id got a slot.
    pub(super) fn is_start_of(&self, expected: &str) -> bool {
        matches!(self, Observation::RequestStarted { id, .. } if id == expected)
    }
}
