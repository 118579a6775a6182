//! The rule that no attempt starts after its client has disconnected.

use std::time::Duration;

use super::limits::OBSERVATION_SLACK;
use super::request::{ReceivedAttempt, RequestRecord};
use super::violation::{Rule, Violation};

/// Duration after a client has closed its connection in which a router may still start an attempt,
/// as the close takes time to reach the router.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);

/// Returns a violation if the attempt arrives too long after its client has disconnected.
pub(super) fn check(
    attempt: &ReceivedAttempt<'_>,
    request: &RequestRecord,
    at: Duration,
) -> Option<Violation> {
    let disconnected_at = request.disconnected_at?;
    if at <= disconnected_at + DISCONNECT_GRACE + OBSERVATION_SLACK {
        return None;
    }
    let late_ms = (at - disconnected_at).as_millis();
    Some(Violation {
        rule: Rule::AfterDisconnect,
        at,
        detail: format!(
            "request {} was forwarded {late_ms} ms after its client disconnected",
            attempt.request_id
        ),
    })
}
