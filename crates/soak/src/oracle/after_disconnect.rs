//! The rule that no attempt starts after its client has disconnected.

use std::time::Duration;

use super::limits::OBSERVATION_SLACK;
use super::request::{ReceivedAttempt, RequestRecord};
use super::violation::{Rule, Violation};

/// A router may start an attempt for this long after the client has closed its connection, as the
/// close takes time to reach it.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);

/// The client must still have been connected when the attempt started.
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
            "{} was forwarded {late_ms} ms after its client disconnected",
            attempt.request_id
        ),
    })
}
