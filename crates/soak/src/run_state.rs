//! The state that all components of a run share: the clock, the random number generator, the
//! oracle, the leases at the fake servers, and the connections through the fault proxies.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand_core::RngCore;
use rand_pcg::Pcg32;
use tokio::time::Instant;

use crate::injected_violation::InjectedViolation;
use crate::options::ClassDeadlines;
use crate::oracle::{LeasedResource, Oracle, Rule};

/// Percentage of the opportunities for an injected violation that are used.
const INJECTION_PERCENT: u64 = 20;
/// Stream of the random number generator, the same for all seeds.
const RNG_STREAM: u64 = 0x5eed_50a6;

/// An attempt that has arrived at a fake server and has not ended.
#[derive(Debug)]
pub struct AttemptInFlight {
    /// ID of the request.
    pub request_id: String,
    /// Number of the attempt, unique in the run.
    pub number: u64,
}

/// The shared state of a run. It is used on one thread only.
pub struct RunState {
    /// The oracle, which checks the rules.
    pub oracle: RefCell<Oracle>,
    /// Index of the fake server that holds the KV state of a request, by request ID.
    pub kv_states: RefCell<HashMap<String, usize>>,
    /// Index of the fake server at which a decode slot is reserved for a request, by request ID.
    pub decode_slots: RefCell<HashMap<String, usize>>,
    /// IDs of the requests whose prompt is being processed.
    pub prefilling: RefCell<HashSet<String>>,
    /// IDs of the requests that wait for their KV state at a decode server.
    pub fetching: RefCell<HashSet<String>>,
    /// Numbers of the proxied connections, by the local address of the proxy's connection to the
    /// fake server.
    pub connections: RefCell<HashMap<SocketAddr, u64>>,
    /// The attempts in flight, by the number of the connection.
    pub attempts: RefCell<HashMap<u64, AttemptInFlight>>,
    /// Numbers of the connections on which a fake server has sent a complete response that has not
    /// been forwarded to the router yet.
    pub undelivered_responses: RefCell<HashSet<u64>>,
    /// Deadlines of the request classes.
    pub deadlines: Cell<ClassDeadlines>,
    /// Whether the clients must stop sending requests.
    pub finished: Cell<bool>,
    /// The violation that the run causes on purpose, if any.
    pub injected_violation: Option<InjectedViolation>,
    started_at: Instant,
    next_number: Cell<u64>,
    rng: RefCell<Pcg32>,
}

impl RunState {
    /// Creates the state of a run that starts now.
    pub fn new(
        oracle: Oracle,
        seed: u64,
        injected_violation: Option<InjectedViolation>,
    ) -> Rc<RunState> {
        Rc::new(RunState {
            oracle: RefCell::new(oracle),
            kv_states: RefCell::default(),
            decode_slots: RefCell::default(),
            prefilling: RefCell::default(),
            fetching: RefCell::default(),
            connections: RefCell::default(),
            attempts: RefCell::default(),
            undelivered_responses: RefCell::default(),
            deadlines: Cell::new(ClassDeadlines::USUAL),
            finished: Cell::default(),
            injected_violation,
            started_at: Instant::now(),
            next_number: Cell::new(1),
            rng: RefCell::new(Pcg32::new(seed, RNG_STREAM)),
        })
    }

    /// Returns the time since the start of the run, rounded down to milliseconds.
    pub fn now(&self) -> Duration {
        let millis = u64::try_from(self.started_at.elapsed().as_millis());
        Duration::from_millis(millis.unwrap_or(u64::MAX))
    }

    /// Returns a number that is unique in the run.
    pub fn next_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }

    /// Returns a random number from `low` to below `high`.
    pub fn draw(&self, low: u64, high: u64) -> u64 {
        low + u64::from(self.rng.borrow_mut().next_u32()) % (high - low).max(1)
    }

    /// Returns a random number of milliseconds from `low` to below `high`.
    pub fn draw_millis(&self, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.draw(low, high))
    }

    /// Returns `true` at random, with this probability in percent.
    pub fn chance(&self, percent: u64) -> bool {
        self.draw(0, 100) < percent
    }

    /// Returns whether to cause this violation now: it must be the injected violation of the run,
    /// and a random draw must succeed.
    pub fn should_inject(&self, violation: InjectedViolation) -> bool {
        self.injected_violation == Some(violation) && self.chance(INJECTION_PERCENT)
    }

    /// Reports a violation that was found outside the oracle.
    pub fn report_violation(&self, rule: Rule, detail: String) {
        let mut oracle = self.oracle.borrow_mut();
        oracle.report_violation(rule, self.now(), detail);
    }

    /// Reports to the oracle that the attempt on a connection, if any, is no longer in flight.
    pub fn attempt_ended(&self, connection: u64) {
        self.undelivered_responses.borrow_mut().remove(&connection);
        let ended = self.attempts.borrow_mut().remove(&connection);
        if let Some(attempt) = ended {
            let mut oracle = self.oracle.borrow_mut();
            oracle.attempt_ended(&attempt.request_id, attempt.number, self.now());
        }
    }

    /// Records that bytes have been forwarded to the router. If the fake server had already sent
    /// the complete response, this ends the attempt.
    pub fn response_delivered(&self, connection: u64) {
        let was_undelivered = self.undelivered_responses.borrow_mut().remove(&connection);
        if was_undelivered {
            self.attempt_ended(connection);
        }
    }

    /// Releases the KV state and the decode slot of a request, except for KV state that an attempt
    /// is waiting for.
    pub fn release(&self, id: &str) {
        let mut oracle = self.oracle.borrow_mut();
        if !self.fetching.borrow().contains(id) {
            if let Some(server) = self.kv_states.borrow_mut().remove(id) {
                oracle.lease_ended(id, server, LeasedResource::KvState, self.now());
            }
        }
        if let Some(server) = self.decode_slots.borrow_mut().remove(id) {
            oracle.lease_ended(id, server, LeasedResource::DecodeSlot, self.now());
        }
    }

    /// Ends all leases of a fake server that has died.
    pub fn end_leases_at(&self, server: usize) {
        let leases = [
            (&self.kv_states, LeasedResource::KvState),
            (&self.decode_slots, LeasedResource::DecodeSlot),
        ];
        let mut oracle = self.oracle.borrow_mut();
        for (holders, resource) in leases {
            holders.borrow_mut().retain(|id, holder| {
                if *holder == server {
                    oracle.lease_ended(id, server, resource, self.now());
                }
                *holder != server
            });
        }
    }
}
