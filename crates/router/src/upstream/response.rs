//! Interprets the head of an endpoint's response to an attempt.

use cranetack_routing_policy::{Outcome, RejectReason};
use http::{HeaderMap, StatusCode};
use serde::Deserialize;

/// Header with which an endpoint guarantees that it has not executed the request.
const NOT_EXECUTED_HEADER: &str = "x-not-run";
/// Statuses that, together with [`NOT_EXECUTED_HEADER`], mean that the endpoint has rejected the
/// request.
const REJECTION_STATUSES: [StatusCode; 2] =
    [StatusCode::SERVICE_UNAVAILABLE, StatusCode::GATEWAY_TIMEOUT];

/// The statuses that say that the request itself is invalid, whichever endpoint it is sent to.
const INVALID_REQUEST_STATUSES: [StatusCode; 4] = [
    StatusCode::BAD_REQUEST,
    StatusCode::PAYLOAD_TOO_LARGE,
    StatusCode::UNSUPPORTED_MEDIA_TYPE,
    StatusCode::UNPROCESSABLE_ENTITY,
];

/// The meaning of a response's head.
#[derive(Debug, PartialEq)]
pub(crate) enum ResponseKind {
    /// The response streams.
    Stream,
    /// The prompt has been processed; the body contains the number of cached tokens.
    Prefilled,
    /// The attempt has ended with this outcome.
    Ended(Outcome),
}

/// What a request asks an endpoint for, which decides which responses are valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Expected {
    /// The KV state of the prompt.
    KvState,
    /// The response as a stream.
    Stream,
}

impl ResponseKind {
    /// Decodes the head of a response. A status that is not valid for what was requested counts as
    /// an error, after which the request may have been executed. [`NOT_EXECUTED_HEADER`] is ignored
    /// with statuses for which the protocol does not define it.
    pub(crate) fn decode(
        expected: Expected,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseKind {
        let not_executed = headers
            .get(NOT_EXECUTED_HEADER)
            .is_some_and(|value| value.as_bytes() == b"1");
        match (expected, status) {
            (Expected::Stream, StatusCode::OK) => ResponseKind::Stream,
            (Expected::KvState, StatusCode::ACCEPTED) => ResponseKind::Prefilled,
            (_, StatusCode::GONE) if not_executed => {
                ResponseKind::Ended(Outcome::Rejected(RejectReason::NoKvState))
            }
            (_, status) if not_executed && REJECTION_STATUSES.contains(&status) => {
                ResponseKind::Ended(Outcome::Rejected(RejectReason::Overloaded))
            }
            (_, status) if INVALID_REQUEST_STATUSES.contains(&status) => {
                ResponseKind::Ended(Outcome::InvalidRequest)
            }
            _ => ResponseKind::Ended(Outcome::ServerError),
        }
    }
}

/// Decodes the number of cached prompt tokens from the body of a prefill response; 0 if the body
/// cannot be decoded.
pub(crate) fn cached_tokens(body: &[u8]) -> u64 {
    #[derive(Deserialize)]
    struct PrefillBody {
        cached_tokens: u64,
    }
    serde_json::from_slice::<PrefillBody>(body).map_or(0, |body| body.cached_tokens)
}

#[cfg(test)]
mod tests;
