//! The rule that a non-idempotent request that may have been executed is neither executed again nor
//! rejected.

use std::time::Duration;

use super::request::{Idempotency, Outcome, ReceivedAttempt, RequestRecord, Role};
use super::violation::{Rule, Violation};

fn violation(at: Duration, detail: String) -> Violation {
    Violation {
        rule: Rule::DuplicateExecution,
        at,
        detail,
    }
}

fn may_have_been_executed(request: &RequestRecord) -> bool {
    request.idempotency == Idempotency::NonIdempotent && request.possible_executions > 0
}

/// Returns the violation for an attempt of a request that no client has sent.
pub(super) fn unknown_request(attempt: &ReceivedAttempt<'_>, at: Duration) -> Violation {
    violation(at, format!("no client sent request {}", attempt.request_id))
}

/// Returns a violation if a request that may have been executed is rejected, as its client would
/// send it again.
pub(super) fn check_outcome(
    id: &str,
    request: &RequestRecord,
    outcome: Outcome,
    at: Duration,
) -> Option<Violation> {
    if outcome != Outcome::Rejected || !may_have_been_executed(request) {
        return None;
    }
    let detail = format!("request {id} was rejected though it may have been executed");
    Some(violation(at, detail))
}

/// Returns a violation if an attempt arrives after the final response. A stream may be resumed, so
/// that attempts after the start of a stream are allowed.
pub(super) fn check_after_response(
    attempt: &ReceivedAttempt<'_>,
    request: &RequestRecord,
    at: Duration,
) -> Option<Violation> {
    let outcome = request.outcome?;
    if outcome == Outcome::Served {
        return None;
    }
    let detail = format!(
        "request {} was forwarded after its final response",
        attempt.request_id
    );
    Some(violation(at, detail))
}

/// Returns a violation if a non-idempotent request reaches a decode endpoint again after it may
/// have been executed.
pub(super) fn check_repeated(
    attempt: &ReceivedAttempt<'_>,
    request: &RequestRecord,
    at: Duration,
) -> Option<Violation> {
    if attempt.role != Role::Decode || !may_have_been_executed(request) {
        return None;
    }
    let detail = format!(
        "request {} was forwarded again though it may have been executed",
        attempt.request_id
    );
    Some(violation(at, detail))
}
