//! The rule that a request has at most one attempt in flight.

use std::time::Duration;

use super::request::{ReceivedAttempt, RequestRecord};
use super::violation::{Rule, Violation};

/// No other attempt may be in flight when one arrives.
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
            "{} was forwarded to server {} with {others} attempts in flight",
            attempt.request_id, attempt.server
        ),
    })
}
