//! The rule that each request gets one final response in time.

use std::time::Duration;

use super::limits::OBSERVATION_SLACK;
use super::request::{Outcome, RequestRecord};
use super::violation::{Rule, Violation};

/// Duration after the deadline in which a final response still counts as in time.
const LATE_RESPONSE_TOLERANCE: Duration = Duration::from_millis(500);

fn violation(at: Duration, detail: String) -> Violation {
    Violation {
        rule: Rule::MissingAnswer,
        at,
        detail,
    }
}

fn is_late(request: &RequestRecord, at: Duration) -> bool {
    at > request.deadline + LATE_RESPONSE_TOLERANCE + OBSERVATION_SLACK
}

/// Returns a violation if a client sends a request again, because its connection was closed without
/// a response, after the request has been forwarded to an endpoint.
pub(super) fn check_resent(id: &str, request: &RequestRecord, at: Duration) -> Option<Violation> {
    let forwarded = request.possible_executions > 0 || request.attempts_in_flight() > 0;
    if !forwarded || request.exempt {
        return None;
    }
    let detail =
        format!("request {id} was forwarded, and its connection closed without a response");
    Some(violation(at, detail))
}

/// Returns a violation if the response is late or the connection was closed without a response.
pub(super) fn check_outcome(
    id: &str,
    request: &RequestRecord,
    outcome: Outcome,
    at: Duration,
) -> Option<Violation> {
    if outcome == Outcome::ConnectionClosed {
        let detail = format!("the connection of request {id} was closed without a response");
        return Some(violation(at, detail));
    }
    if !is_late(request, at) {
        return None;
    }
    let late_ms = (at - request.deadline).as_millis();
    let detail = format!(
        "the response to request {id} ({outcome:?}) arrived {late_ms} ms after its deadline"
    );
    Some(violation(at, detail))
}

/// Returns a violation if the response is overdue. Each request is reported at most once.
pub(super) fn check_overdue(
    id: &str,
    request: &mut RequestRecord,
    now: Duration,
) -> Option<Violation> {
    let awaits_response =
        request.outcome.is_none() && request.disconnected_at.is_none() && !request.exempt;
    if !awaits_response || !is_late(request, now) {
        return None;
    }
    request.exempt = true;
    let detail = format!(
        "request {id}, sent at {} ms to router {}, has no response",
        request.sent_at.as_millis(),
        request.router
    );
    Some(violation(now, detail))
}
