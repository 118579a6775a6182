//! Which headers of a client's request are forwarded to an endpoint.

use http::header::{
    HeaderName, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::HeaderMap;

/// Headers that concern one connection alone (RFC 9110, 7.6.1), and the framing of the body, which
/// each attempt writes anew.
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
/// Hop-by-hop headers without a constant in the library.
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];
/// Headers that each attempt sets itself.
const SET_BY_ATTEMPT: [&str; 2] = ["x-request-id", "x-deadline-ms"];

/// The headers that are forwarded unchanged: all but the hop-by-hop ones and those that an attempt
/// sets itself. They may mean something to the endpoint: an idempotency key, for one, lets it
/// discard repeated requests.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let listed = listed_in_connection(headers);
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name, &listed))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// The names that the `Connection` headers list: those headers are hop-by-hop too.
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
    // Each attempt sets the media type from the message.
    name != CONTENT_TYPE
        && !HOP_BY_HOP.contains(name)
        && !HOP_BY_HOP_NAMES.contains(&name.as_str())
        && !SET_BY_ATTEMPT.contains(&name.as_str())
        && !is_listed
}

#[cfg(test)]
mod tests;
