//! The response of the service under test.

use http::HeaderMap;

/// A response as it was received.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// The part of the body that was received.
    pub body: Vec<u8>,
    /// Whether the connection was closed before the body was complete.
    pub truncated: bool,
}
