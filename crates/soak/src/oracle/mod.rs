//! The oracle: it checks the rules of the protocol as invariants over the events of a run. The fake
//! clients, fake servers and fault proxies report the events, in the order of their times; the
//! routers under test report none. The oracle does no I/O.

mod after_disconnect;
mod concurrent_attempts;
mod deadline;
mod drain;
mod duplicate_execution;
mod leaked_lease;
mod limits;
mod missing_answer;
mod request;
mod slow_start;
mod violation;

use crate::crowd::clients::CROWD_ID_PREFIX;
use std::collections::HashMap;
use std::time::Duration;

use drain::DrainNotifications;
use request::RequestRecord;
use slow_start::SlowStartWindows;

pub use limits::Limits;
pub use request::{Idempotency, LeasedResource, Outcome, ReceivedAttempt, Role};
pub use violation::{Rule, Violation};

/// Checks the rules and collects the violations. All times are measured from the start of the run.
#[derive(Debug)]
pub struct Oracle {
    limits: Limits,
    requests: HashMap<String, RequestRecord>,
    drains: DrainNotifications,
    slow_starts: SlowStartWindows,
    violations: Vec<Violation>,
}

impl Oracle {
    /// Creates an oracle to which no event has been reported.
    pub fn new(limits: Limits) -> Oracle {
        Oracle {
            limits,
            requests: HashMap::new(),
            drains: DrainNotifications::default(),
            slow_starts: SlowStartWindows::default(),
            violations: Vec::new(),
        }
    }

    /// Returns all violations so far, in the order in which they were found.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the number of requests with this outcome.
    pub fn count_outcomes(&self, outcome: Outcome) -> usize {
        self.requests
            .values()
            .filter(|request| request.outcome == Some(outcome))
            .count()
    }

    /// Adds a violation that was found outside the oracle.
    pub fn report_violation(&mut self, rule: Rule, at: Duration, detail: String) {
        self.violations.push(Violation { rule, at, detail });
    }

    fn report(&mut self, violation: Option<Violation>) {
        if let Some(violation) = violation {
            self.violations.push(violation);
        }
    }

    /// Records that a client sends a request to a router.
    pub fn request_sent(
        &mut self,
        id: &str,
        router: usize,
        idempotency: Idempotency,
        at: Duration,
        timeout: Duration,
    ) {
        let request = RequestRecord::new(router, idempotency, at, timeout);
        self.requests.insert(id.to_owned(), request);
    }

    /// Records that a client sends a request again to a router, because its previous connection was
    /// closed without a response.
    pub fn request_resent(&mut self, id: &str, router: usize, at: Duration) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.router = router;
        let violation = missing_answer::check_resent(id, request, at);
        self.report(violation);
    }

    /// Records that the client disconnected before it had a response, or gave up sending the
    /// request. From then on no response is expected, and no new attempt is allowed.
    pub fn client_disconnected(&mut self, id: &str, at: Duration) {
        if let Some(request) = self.requests.get_mut(id) {
            request.disconnected_at = Some(at);
        }
    }

    /// Records the outcome of a request. It is ignored if the client has disconnected or the
    /// request is exempt from checks.
    pub fn request_finished(&mut self, id: &str, outcome: Outcome, at: Duration) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if request.disconnected_at.is_some() || request.exempt {
            return;
        }
        request.outcome = Some(outcome);
        let missing = missing_answer::check_outcome(id, request, outcome, at);
        let duplicate = duplicate_execution::check_outcome(id, request, outcome, at);
        self.report(missing);
        self.report(duplicate);
    }

    /// Records that the first byte of an attempt has left a router.
    pub fn attempt_started(&mut self, router: usize, endpoint: usize, at: Duration) {
        let violation = self.drains.check(&self.limits, router, endpoint, at);
        self.report(violation);
    }

    /// Records that the last byte of an attempt has reached a running endpoint.
    pub fn attempt_received(&mut self, attempt: &ReceivedAttempt<'_>, at: Duration) {
        let over_budget = self
            .slow_starts
            .count_attempt(&self.limits, attempt.endpoint, at);
        self.report(over_budget);
        if attempt.request_id.starts_with(CROWD_ID_PREFIX) {
            return;
        }
        let Some(request) = self.requests.get_mut(attempt.request_id) else {
            self.violations
                .push(duplicate_execution::unknown_request(attempt, at));
            return;
        };
        let found = [
            after_disconnect::check(attempt, request, at),
            duplicate_execution::check_after_response(attempt, request, at),
            concurrent_attempts::check(attempt, request, at),
            duplicate_execution::check_repeated(attempt, request, at),
            deadline::check(attempt, request, at),
        ];
        request.attempt_received(attempt.number, attempt.role);
        self.violations.extend(found.into_iter().flatten());
    }

    /// Records that an endpoint has rejected an attempt without executing it.
    pub fn attempt_rejected(&mut self, id: &str, role: Role) {
        if let Some(request) = self.requests.get_mut(id) {
            request.attempt_rejected(role);
        }
    }

    /// Records that an attempt is no longer in flight: its response is complete, or the router or
    /// the endpoint has closed the connection.
    pub fn attempt_ended(&mut self, id: &str, number: u64, at: Duration) {
        if let Some(request) = self.requests.get_mut(id) {
            request.attempt_ended(number, at);
        }
    }

    /// Records that an endpoint reserves KV state or a decode slot for a request.
    pub fn lease_acquired(
        &mut self,
        id: &str,
        endpoint: usize,
        resource: LeasedResource,
        at: Duration,
    ) {
        if let Some(request) = self.requests.get_mut(id) {
            request.lease_acquired(endpoint, resource, at);
        }
    }

    /// Records that an endpoint no longer reserves the resource for the request: it was used or
    /// released, or the endpoint process has died.
    pub fn lease_ended(
        &mut self,
        id: &str,
        endpoint: usize,
        resource: LeasedResource,
        at: Duration,
    ) {
        if let Some(request) = self.requests.get_mut(id) {
            request.lease_ended(endpoint, resource, at);
        }
    }

    /// Records that a router has been notified whether an endpoint accepts work.
    pub fn router_notified(
        &mut self,
        router: usize,
        endpoint: usize,
        accepts_work: bool,
        at: Duration,
    ) {
        self.drains.notify(router, endpoint, accepts_work, at);
    }

    /// Records that a router process has started. It has no notifications yet.
    pub fn router_started(&mut self, router: usize) {
        self.drains.remove_router(router);
    }

    /// Records that a router process was killed. The requests that were sent to it are exempt from
    /// the checks for missing responses and leaked leases.
    pub fn router_killed(&mut self, router: usize) {
        for request in self.requests.values_mut() {
            if request.router == router {
                request.exempt = true;
            }
        }
    }

    /// Records that an endpoint has started, which begins its slow start.
    pub fn endpoint_started(&mut self, endpoint: usize, at: Duration) {
        self.slow_starts.endpoint_started(endpoint, at);
    }

    /// Checks all requests for leaked leases and overdue responses.
    pub fn check_overdue(&mut self, now: Duration) {
        for (id, request) in &mut self.requests {
            let leaked = leaked_lease::check(id, request, &self.limits, now);
            self.violations.extend(leaked);
            let missing = missing_answer::check_overdue(id, request, now);
            self.violations.extend(missing);
        }
    }
}
