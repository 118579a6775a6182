//! Validation of request ids.

/// Maximum length of a request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Returns whether a client's request id is valid. It becomes a part of the paths of slot
/// reservation calls to endpoints, so it must consist of unreserved URI characters (RFC 3986, 2.3).
pub(super) fn is_valid_request_id(id: &str) -> bool {
    let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~');
    !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES && id.bytes().all(is_unreserved)
}
