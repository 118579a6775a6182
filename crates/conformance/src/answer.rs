//! What a service answers.

use http::HeaderMap;

/// An answer as it was received.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body, as far as it was received.
    pub body: Vec<u8>,
    /// Whether the connection ended before the body was complete.
    pub truncated: bool,
}
