//! The form of request ids.

/// The most bytes of a request id.
const REQUEST_ID_LIMIT: usize = 128;

/// Whether a client's request id can be used. It becomes a part of the paths of the endpoints' slot
/// reservation calls, so it must consist of unreserved URI characters (RFC 3986, 2.3).
pub(super) fn is_valid_request_id(id: &str) -> bool {
    let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~');
    !id.is_empty() && id.len() <= REQUEST_ID_LIMIT && id.bytes().all(is_unreserved)
}
