//! The rule that a request has at most one attempt in flight.

use std::time::Duration;

use super::request::{ReceivedAttempt, RequestRecord};
use super::violation::{Rule, Violation};

/// Returns a violation if other attempts of the request are in flight when this one arrives.
pub(super) fn check(
    attempt: &ReceivedAttempt<'_>,
    request: &RequestRecord,
    at: Duration,
) -> Option<Violation> {
    let others = request.attempts_in_flight();
    if others == 0 {
        return None;
    }
    Some(Violation {
        rule: Rule::ConcurrentAttempts,
        at,
        detail: format!(
            "request {} was forwarded to endpoint {} with {others} other attempts in flight",
            attempt.request_id, attempt.endpoint
        ),
    })
}
