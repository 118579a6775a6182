//! What a fake server observes.

/// One observation.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Seen {
    /// A request got a slot: its path and id.
    Began(String, String),
    /// The slot of a request was released, by its end or by that of its connection.
    Freed(String),
    /// A call about the decode slot of a request: its method and id.
    Room(String, String),
}
