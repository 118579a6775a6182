//! Selection of the headers of a client's request that are forwarded to an endpoint.

use http::header::{
    HeaderName, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue};

/// Headers that apply to a single connection (RFC 9110, 7.6.1), and those that frame the body,
/// which each attempt writes itself.
const HOP_BY_HOP: [HeaderName; 10] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// Hop-by-hop headers for which the `http` crate has no constant.
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];
/// Headers that each attempt sets itself.
const SET_BY_ATTEMPT: [&str; 2] = ["x-request-id", "x-deadline-ms"];

/// Memory that a header field takes beside its text, in bytes: an entry in the header map of the
/// client's request, and one in that of the forwarded request.
const FIELD_BYTES: usize = 224;

/// Returns the memory that the headers of a request take while the request is served, in bytes.
pub(crate) fn head_bytes(headers: &HeaderMap) -> usize {
    let text_bytes = |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len();
    let texts: usize = headers.iter().map(text_bytes).sum();
    texts + headers.len() * FIELD_BYTES
}

/// Returns the headers that are forwarded unchanged: all except the hop-by-hop headers and those
/// that an attempt sets itself. Endpoints may use them: an idempotency key, for example, lets an
/// endpoint discard repeated requests.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let listed_names = listed_in_connection(headers);
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name, &listed_names))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Returns the header names that the `Connection` headers list. They are hop-by-hop as well.
fn listed_in_connection(headers: &HeaderMap) -> Vec<&str> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect()
}

fn is_forwarded(name: &HeaderName, listed_in_connection: &[&str]) -> bool {
    let is_listed = listed_in_connection
        .iter()
        .any(|listed| name.as_str().eq_ignore_ascii_case(listed));
    // Each attempt sets `Content-Type` from the media type of the message.
    name != CONTENT_TYPE
        && !HOP_BY_HOP.contains(name)
        && !HOP_BY_HOP_NAMES.contains(&name.as_str())
        && !SET_BY_ATTEMPT.contains(&name.as_str())
        && !is_listed
}

#[cfg(test)]
mod tests;
