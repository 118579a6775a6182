//! The rule that a request which may have run is neither run again nor rejected.

use std::time::Duration;

use super::request::{Answer, Idempotency, ReceivedAttempt, RequestRecord, Role};
use super::violation::{Rule, Violation};

fn violation(at: Duration, detail: String) -> Violation {
    Violation {
        rule: Rule::DuplicateExecution,
        at,
        detail,
    }
}

fn may_have_run(request: &RequestRecord) -> bool {
    request.idempotency == Idempotency::NonIdempotent && request.possible_runs > 0
}

/// An attempt for a request that no client has sent.
pub(super) fn unknown_request(attempt: &ReceivedAttempt<'_>, at: Duration) -> Violation {
    violation(at, format!("no client sent {}", attempt.request_id))
}

/// A request that may have run must not be rejected, as its client would send it again.
pub(super) fn check_answered(
    id: &str,
    request: &RequestRecord,
    answer: Answer,
    at: Duration,
) -> Option<Violation> {
    if answer != Answer::Rejected || !may_have_run(request) {
        return None;
    }
    let detail = format!("{id} was rejected after an attempt that may have run");
    Some(violation(at, detail))
}

/// No attempt is made after a final answer other than a stream, which may be resumed.
pub(super) fn check_after_answer(
    attempt: &ReceivedAttempt<'_>,
    request: &RequestRecord,
    at: Duration,
) -> Option<Violation> {
    let answer = request.answer?;
    if answer == Answer::Served {
        return None;
    }
    let detail = format!(
        "{} was forwarded after its final answer",
        attempt.request_id
    );
    Some(violation(at, detail))
}

/// A request that is not idempotent must not reach a decode server again once it may have run.
pub(super) fn check_repeated(
    attempt: &ReceivedAttempt<'_>,
    request: &RequestRecord,
    at: Duration,
) -> Option<Violation> {
    if attempt.role != Role::Decode || !may_have_run(request) {
        return None;
    }
    let detail = format!(
        "{} was forwarded again though it may have run",
        attempt.request_id
    );
    Some(violation(at, detail))
}
