//! What has been observed of one request and its attempts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated at any time.
    Idempotent,
    /// It must not be repeated once it may have run.
    NonIdempotent,
}

/// What a server is asked to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// To process the prompt.
    Prefill,
    /// To generate the answer.
    Decode,
}

/// What a server keeps for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeasedResource {
    /// KV state of a prompt that was processed.
    KvState,
    /// A reserved decode slot.
    DecodeSlot,
}

/// Something that a server keeps for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Lease {
    server: usize,
    resource: LeasedResource,
}

/// How a request ended, as its client saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// A stream has begun.
    Served,
    /// 429 or 503.
    Rejected,
    /// Any other answer.
    Failed,
    /// The connection was closed without an answer.
    ConnectionClosed,
}

/// An attempt whose last byte has reached a running server.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedAttempt<'a> {
    /// The request that it belongs to.
    pub request_id: &'a str,
    /// Its number, unique in the run.
    pub number: u64,
    /// The server that received it.
    pub server: usize,
    /// What the server is asked to do.
    pub role: Role,
    /// The time left until the deadline, as the router stated it in the request.
    pub stated_time_left: Duration,
}

/// One request as the fake clients and servers observed it.
#[derive(Debug)]
pub(super) struct RequestRecord {
    /// The router that has it.
    pub(super) router: usize,
    pub(super) idempotency: Idempotency,
    pub(super) sent_at: Duration,
    pub(super) deadline: Duration,
    pub(super) disconnected_at: Option<Duration>,
    pub(super) answer: Option<Answer>,
    /// Attempts whose last byte has arrived and whose connection is open, by number.
    in_flight: BTreeMap<u64, Role>,
    /// How many decode attempts have arrived and were not rejected: each may have run.
    pub(super) possible_runs: usize,
    /// What servers keep for it.
    pub(super) leases: BTreeSet<Lease>,
    /// Since when there have been leases without an attempt in flight.
    pub(super) idle_lease_since: Option<Duration>,
    /// It is owed no answer any more: its router was killed, or the missing answer is reported.
    pub(super) abandoned: bool,
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
            answer: None,
            in_flight: BTreeMap::new(),
            possible_runs: 0,
            leases: BTreeSet::new(),
            idle_lease_since: None,
            abandoned: false,
            leak_reported: false,
        }
    }

    pub(super) fn attempts_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    pub(super) fn attempt_received(&mut self, number: u64, role: Role) {
        self.in_flight.insert(number, role);
        if role == Role::Decode {
            self.possible_runs += 1;
        }
        self.idle_lease_since = None;
    }

    pub(super) fn attempt_rejected(&mut self, role: Role) {
        if role == Role::Decode {
            self.possible_runs = self.possible_runs.saturating_sub(1);
        }
    }

    pub(super) fn attempt_ended(&mut self, number: u64, at: Duration) {
        self.in_flight.remove(&number);
        self.restart_idle_lease(at);
    }

    pub(super) fn lease_acquired(&mut self, server: usize, resource: LeasedResource, at: Duration) {
        self.leases.insert(Lease { server, resource });
        self.restart_idle_lease(at);
    }

    pub(super) fn lease_ended(&mut self, server: usize, resource: LeasedResource, at: Duration) {
        self.leases.remove(&Lease { server, resource });
        self.restart_idle_lease(at);
    }

    /// Starts the idle span anew where there are leases without an attempt in flight, and ends it
    /// otherwise.
    fn restart_idle_lease(&mut self, at: Duration) {
        let idle = !self.leases.is_empty() && self.in_flight.is_empty();
        self.idle_lease_since = idle.then_some(at);
    }
}
