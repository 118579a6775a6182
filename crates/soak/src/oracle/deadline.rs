//! The rule that an attempt does not state more time until the deadline than is left for its
//! client.

use std::time::Duration;

use super::limits::OBSERVATION_SLACK;
use super::request::{ReceivedAttempt, RequestRecord};
use super::violation::{Rule, Violation};

/// Tolerance for the time between a router's reading of its clock and its writing of the attempt.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(150);

/// Returns a violation if the time left that the router stated exceeds the time that is left.
pub(super) fn check(
    attempt: &ReceivedAttempt<'_>,
    request: &RequestRecord,
    at: Duration,
) -> Option<Violation> {
    let left = request.deadline.saturating_sub(at);
    if attempt.stated_time_left <= left + DEADLINE_TOLERANCE + OBSERVATION_SLACK {
        return None;
    }
    Some(Violation {
        rule: Rule::Deadline,
        at,
        detail: format!(
            "an attempt of request {} states {} ms until the deadline, but {} ms are left",
            attempt.request_id,
            attempt.stated_time_left.as_millis(),
            left.as_millis()
        ),
    })
}
