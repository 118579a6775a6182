//! The rule that the time left that a server is given is no longer than the client will wait.

use std::time::Duration;

use super::limits::OBSERVATION_SLACK;
use super::request::{ReceivedAttempt, RequestRecord};
use super::violation::{Rule, Violation};

/// A router may be held up for this long between reading its clock and writing the deadline.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(150);

/// The time left that the router stated must not exceed the time that is left.
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
            "{} states that {} ms are left, with {} ms left",
            attempt.request_id,
            attempt.stated_time_left.as_millis(),
            left.as_millis()
        ),
    })
}
