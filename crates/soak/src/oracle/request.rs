//! The record of one request, its attempts and its leases, as the oracle observed them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be repeated at any time.
    Idempotent,
    /// The request must not be repeated after it may have been executed.
    NonIdempotent,
}

/// The role of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The endpoint processes prompts.
    Prefill,
    /// The endpoint generates responses.
    Decode,
}

/// A kind of resource that an endpoint reserves for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeasedResource {
    /// The KV state of a processed prompt.
    KvState,
    /// A reserved slot of a decode endpoint.
    DecodeSlot,
}

/// A resource that one endpoint reserves for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Lease {
    endpoint: usize,
    resource: LeasedResource,
}

/// The outcome of a request, as its client saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The response has status 200; its body may break off later.
    Served,
    /// The response has status 429 or 503.
    Rejected,
    /// The response has another status.
    Failed,
    /// The connection was closed without a response.
    ConnectionClosed,
}

/// An attempt whose last byte has reached a running endpoint.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedAttempt<'a> {
    /// ID of the request.
    pub request_id: &'a str,
    /// Number of the attempt, unique in the run.
    pub number: u64,
    /// Index of the endpoint that received the attempt.
    pub endpoint: usize,
    /// Role of the endpoint.
    pub role: Role,
    /// The time left until the deadline, as the router stated it in the request.
    pub stated_time_left: Duration,
}

/// One request, as the fake clients and servers observed it.
#[derive(Debug)]
pub(super) struct RequestRecord {
    /// Index of the router to which the request was last sent.
    pub(super) router: usize,
    pub(super) idempotency: Idempotency,
    pub(super) sent_at: Duration,
    pub(super) deadline: Duration,
    pub(super) disconnected_at: Option<Duration>,
    pub(super) outcome: Option<Outcome>,
    /// The roles of the endpoints that have an attempt in flight, by the number of the attempt. An
    /// attempt is in flight from the arrival of its last byte to its end.
    in_flight: BTreeMap<u64, Role>,
    /// Number of decode attempts that have arrived and were not rejected. Each may have executed
    /// the request.
    pub(super) possible_executions: usize,
    /// The resources that endpoints reserve for the request.
    pub(super) leases: BTreeSet<Lease>,
    /// Since when the request has had leases without an attempt in flight; `None` if it has not.
    pub(super) idle_lease_since: Option<Duration>,
    /// Whether the request is no longer checked for a missing response and leaked leases, because
    /// its router was killed or its missing response has been reported.
    pub(super) exempt: bool,
    /// Whether a leaked lease of the request has been reported.
    pub(super) leak_reported: bool,
}

impl RequestRecord {
    pub(super) fn new(
        router: usize,
        idempotency: Idempotency,
        sent_at: Duration,
        timeout: Duration,
    ) -> RequestRecord {
        RequestRecord {
            router,
            idempotency,
            sent_at,
            deadline: sent_at + timeout,
            disconnected_at: None,
            outcome: None,
            in_flight: BTreeMap::new(),
            possible_executions: 0,
            leases: BTreeSet::new(),
            idle_lease_since: None,
            exempt: false,
            leak_reported: false,
        }
    }

    pub(super) fn attempts_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    pub(super) fn attempt_received(&mut self, number: u64, role: Role) {
        self.in_flight.insert(number, role);
        if role == Role::Decode {
            self.possible_executions += 1;
        }
        self.idle_lease_since = None;
    }

    pub(super) fn attempt_rejected(&mut self, role: Role) {
        if role == Role::Decode {
            self.possible_executions = self.possible_executions.saturating_sub(1);
        }
    }

    pub(super) fn attempt_ended(&mut self, number: u64, at: Duration) {
        self.in_flight.remove(&number);
        self.restart_idle_lease_timer(at);
    }

    pub(super) fn lease_acquired(
        &mut self,
        endpoint: usize,
        resource: LeasedResource,
        at: Duration,
    ) {
        self.leases.insert(Lease { endpoint, resource });
        self.restart_idle_lease_timer(at);
    }

    pub(super) fn lease_ended(&mut self, endpoint: usize, resource: LeasedResource, at: Duration) {
        self.leases.remove(&Lease { endpoint, resource });
        self.restart_idle_lease_timer(at);
    }

    /// Restarts the time for which leases have been idle if there are leases without an attempt in
    /// flight, and clears it otherwise.
    fn restart_idle_lease_timer(&mut self, at: Duration) {
        let idle = !self.leases.is_empty() && self.in_flight.is_empty();
        self.idle_lease_since = idle.then_some(at);
    }
}
