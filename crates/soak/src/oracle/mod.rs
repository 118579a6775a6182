//! The oracle: the rules of the protocol as invariants over what clients, servers and the network
//! observed. It takes observations in the order of their times and does no I/O. All observations
//! come from the fake clients and servers, never from the routers.

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

use std::collections::HashMap;
use std::time::Duration;

use drain::DrainNotifications;
use request::RequestRecord;
use slow_start::SlowStartWindows;

pub use limits::Limits;
pub use request::{Answer, Idempotency, LeasedResource, ReceivedAttempt, Role};
pub use violation::{Rule, Violation};

/// Checks the rules and collects the violations. All times count from the start of the run.
#[derive(Debug)]
pub struct Oracle {
    limits: Limits,
    requests: HashMap<String, RequestRecord>,
    drains: DrainNotifications,
    slow_starts: SlowStartWindows,
    violations: Vec<Violation>,
}

impl Oracle {
    /// An oracle that has observed nothing.
    pub fn new(limits: Limits) -> Oracle {
        Oracle {
            limits,
            requests: HashMap::new(),
            drains: DrainNotifications::default(),
            slow_starts: SlowStartWindows::default(),
            violations: Vec::new(),
        }
    }

    /// All violations so far, in the order in which they were found.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// How many requests got this answer.
    pub fn count_answers(&self, answer: Answer) -> usize {
        self.requests
            .values()
            .filter(|request| request.answer == Some(answer))
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

    /// A client has written the last byte of a request to a router.
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

    /// The client's pooled connection was closed under the request, and it sends the request to
    /// another router.
    pub fn request_resent(&mut self, id: &str, router: usize, at: Duration) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.router = router;
        let violation = missing_answer::check_resent(id, request, at);
        self.report(violation);
    }

    /// The client closed its connection before it had an answer.
    pub fn client_disconnected(&mut self, id: &str, at: Duration) {
        if let Some(request) = self.requests.get_mut(id) {
            request.disconnected_at = Some(at);
        }
    }

    /// The client has its answer.
    pub fn request_answered(&mut self, id: &str, answer: Answer, at: Duration) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if request.disconnected_at.is_some() || request.abandoned {
            return;
        }
        request.answer = Some(answer);
        let unanswered = missing_answer::check_answered(id, request, answer, at);
        let duplicate = duplicate_execution::check_answered(id, request, answer, at);
        self.report(unanswered);
        self.report(duplicate);
    }

    /// The first byte of an attempt has left a router.
    pub fn attempt_started(&mut self, router: usize, server: usize, at: Duration) {
        let violation = self.drains.check(&self.limits, router, server, at);
        self.report(violation);
    }

    /// The last byte of an attempt has reached a running server.
    pub fn attempt_received(&mut self, attempt: &ReceivedAttempt<'_>, at: Duration) {
        let over_budget = self
            .slow_starts
            .count_attempt(&self.limits, attempt.server, at);
        self.report(over_budget);
        let Some(request) = self.requests.get_mut(attempt.request_id) else {
            self.violations
                .push(duplicate_execution::unknown_request(attempt, at));
            return;
        };
        let found = [
            after_disconnect::check(attempt, request, at),
            duplicate_execution::check_after_answer(attempt, request, at),
            concurrent_attempts::check(attempt, request, at),
            duplicate_execution::check_repeated(attempt, request, at),
            deadline::check(attempt, request, at),
        ];
        request.attempt_received(attempt.number, attempt.role);
        self.violations.extend(found.into_iter().flatten());
    }

    /// A server has rejected an attempt before it ran.
    pub fn attempt_rejected(&mut self, id: &str, role: Role) {
        if let Some(request) = self.requests.get_mut(id) {
            request.attempt_rejected(role);
        }
    }

    /// An attempt is no longer in flight: it was answered, or its router or server closed the
    /// connection.
    pub fn attempt_ended(&mut self, id: &str, number: u64, at: Duration) {
        if let Some(request) = self.requests.get_mut(id) {
            request.attempt_ended(number, at);
        }
    }

    /// A server keeps KV state or a decode slot for a request.
    pub fn lease_acquired(
        &mut self,
        id: &str,
        server: usize,
        resource: LeasedResource,
        at: Duration,
    ) {
        if let Some(request) = self.requests.get_mut(id) {
            request.lease_acquired(server, resource, at);
        }
    }

    /// A server no longer keeps it: it was used, released, or lost with the server.
    pub fn lease_ended(&mut self, id: &str, server: usize, resource: LeasedResource, at: Duration) {
        if let Some(request) = self.requests.get_mut(id) {
            request.lease_ended(server, resource, at);
        }
    }

    /// A router has been notified whether a server accepts work.
    pub fn router_notified(
        &mut self,
        router: usize,
        server: usize,
        accepts_work: bool,
        at: Duration,
    ) {
        self.drains.notify(router, server, accepts_work, at);
    }

    /// A router process has started: it has not been notified of anything.
    pub fn router_started(&mut self, router: usize) {
        self.drains.forget_router(router);
    }

    /// A router process was killed: nobody answers the requests that it had taken.
    pub fn router_killed(&mut self, router: usize) {
        for request in self.requests.values_mut() {
            if request.router == router {
                request.abandoned = true;
            }
        }
    }

    /// A server has started: its slow start begins.
    pub fn server_started(&mut self, server: usize, at: Duration) {
        self.slow_starts.server_started(server, at);
    }

    /// Looks for leases and answers that are overdue by now.
    pub fn check_overdue(&mut self, now: Duration) {
        for (id, request) in &mut self.requests {
            let leaked = leaked_lease::check(id, request, &self.limits, now);
            self.violations.extend(leaked);
            let unanswered = missing_answer::check_overdue(id, request, now);
            self.violations.extend(unanswered);
        }
    }
}
