//! Which headers of a client's request a server is sent.

use http::header::{
    HeaderName, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HOST, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::HeaderMap;

/// Headers that concern one connection alone (RFC 9110, 7.6.1), and the framing of the body, which is sent anew.
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

/// The headers that pass on unchanged: all but those of the connection and those that an attempt sets itself. What a
/// server needs of them is the server's affair: an idempotency key, for one, by which it discards repeats.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok());
    let named: Vec<&str> = named
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect();
    let stays = |name: &HeaderName| {
        name == CONTENT_TYPE
            || HOP_BY_HOP.contains(name)
            || HOP_BY_HOP_NAMES.contains(&name.as_str())
            || SET_BY_ATTEMPT.contains(&name.as_str())
            || named
                .iter()
                .any(|other| name.as_str().eq_ignore_ascii_case(other))
    };
    let passed = headers.iter().filter(|(name, _)| !stays(name));
    passed
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

#[cfg(test)]
mod tests;
