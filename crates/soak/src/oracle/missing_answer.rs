//! The rule that each request gets one final answer in time.

use std::time::Duration;

use super::limits::OBSERVATION_SLACK;
use super::request::{Answer, RequestRecord};
use super::violation::{Rule, Violation};

/// A final answer still counts for this long after the deadline.
const LATE_ANSWER_TOLERANCE: Duration = Duration::from_millis(500);

fn violation(at: Duration, detail: String) -> Violation {
    Violation {
        rule: Rule::MissingAnswer,
        at,
        detail,
    }
}

fn is_late(request: &RequestRecord, at: Duration) -> bool {
    at > request.deadline + LATE_ANSWER_TOLERANCE + OBSERVATION_SLACK
}

/// The client sends the request again: no server may have seen it before.
pub(super) fn check_resent(id: &str, request: &RequestRecord, at: Duration) -> Option<Violation> {
    let forwarded = request.possible_runs > 0 || request.attempts_in_flight() > 0;
    if !forwarded || request.abandoned {
        return None;
    }
    let detail = format!("{id} was forwarded, and its connection closed without an answer");
    Some(violation(at, detail))
}

/// The answer must not be late, and must not be a closed connection.
pub(super) fn check_answered(
    id: &str,
    request: &RequestRecord,
    answer: Answer,
    at: Duration,
) -> Option<Violation> {
    if answer == Answer::ConnectionClosed {
        let detail = format!("the connection of {id} was closed without an answer");
        return Some(violation(at, detail));
    }
    if !is_late(request, at) {
        return None;
    }
    let late_ms = (at - request.deadline).as_millis();
    let detail = format!("{id} was answered ({answer:?}) {late_ms} ms late");
    Some(violation(at, detail))
}

/// The answer must not be overdue. Reports each request once.
pub(super) fn check_overdue(
    id: &str,
    request: &mut RequestRecord,
    now: Duration,
) -> Option<Violation> {
    let owed = request.answer.is_none() && request.disconnected_at.is_none() && !request.abandoned;
    if !owed || !is_late(request, now) {
        return None;
    }
    request.abandoned = true;
    let detail = format!(
        "{id}, sent at {} ms to router {}, has no answer",
        request.sent_at.as_millis(),
        request.router
    );
    Some(violation(now, detail))
}
