//! What all parts of a run share: its clock and random numbers, the oracle, the leases at the fake
//! servers, and the connections through the fault proxies.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand_core::RngCore;
use rand_pcg::Pcg32;
use tokio::time::Instant;

use crate::injected_violation::InjectedViolation;
use crate::oracle::{LeasedResource, Oracle, Rule};

/// Of 100 occasions for an injected violation, how many are used.
const INJECTION_PERCENT: u64 = 20;
/// The stream of the random number generator, the same for all seeds.
const RNG_STREAM: u64 = 0x5eed_50a6;

/// An attempt that has arrived at a server.
#[derive(Debug)]
pub struct AttemptInFlight {
    /// The request that it belongs to.
    pub request_id: String,
    /// Its number, unique in the run.
    pub number: u64,
}

/// The shared state of a run. All of it lives on one thread.
pub struct RunState {
    /// The rules.
    pub oracle: RefCell<Oracle>,
    /// By request: the server that keeps its KV state.
    pub kv_states: RefCell<HashMap<String, usize>>,
    /// By request: the server at which a decode slot is reserved for it.
    pub decode_slots: RefCell<HashMap<String, usize>>,
    /// Requests whose prompt is being processed.
    pub prefilling: RefCell<HashSet<String>>,
    /// Requests that wait for their KV state at a decode server.
    pub fetching: RefCell<HashSet<String>>,
    /// The number of the proxied connection that a server sees from this address.
    pub connections: RefCell<HashMap<SocketAddr, u64>>,
    /// The attempt in flight on a connection.
    pub attempts: RefCell<HashMap<u64, AttemptInFlight>>,
    /// Connections whose attempt was answered, with the answer still on its way to the router.
    pub answered: RefCell<HashSet<u64>>,
    /// Whether the clients send no more requests.
    pub finished: Cell<bool>,
    /// A violation to cause on purpose.
    pub injected_violation: Option<InjectedViolation>,
    started_at: Instant,
    next_number: Cell<u64>,
    rng: RefCell<Pcg32>,
}

impl RunState {
    /// The state of a run that starts now.
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
            answered: RefCell::default(),
            finished: Cell::default(),
            injected_violation,
            started_at: Instant::now(),
            next_number: Cell::new(1),
            rng: RefCell::new(Pcg32::new(seed, RNG_STREAM)),
        })
    }

    /// The time since the start, in whole milliseconds.
    pub fn now(&self) -> Duration {
        let millis = u64::try_from(self.started_at.elapsed().as_millis());
        Duration::from_millis(millis.unwrap_or(u64::MAX))
    }

    /// A number that no other call gets.
    pub fn next_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }

    /// A random number from `low` to below `high`.
    pub fn draw(&self, low: u64, high: u64) -> u64 {
        low + u64::from(self.rng.borrow_mut().next_u32()) % (high - low).max(1)
    }

    /// A random number of milliseconds from `low` to below `high`.
    pub fn draw_millis(&self, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.draw(low, high))
    }

    /// True in so many of 100 cases.
    pub fn chance(&self, percent: u64) -> bool {
        self.draw(0, 100) < percent
    }

    /// Whether to cause this violation now: it is asked for, and chance wants it.
    pub fn injects(&self, violation: InjectedViolation) -> bool {
        self.injected_violation == Some(violation) && self.chance(INJECTION_PERCENT)
    }

    /// Reports a violation that was found outside the oracle.
    pub fn report_violation(&self, rule: Rule, detail: String) {
        let mut oracle = self.oracle.borrow_mut();
        oracle.report_violation(rule, self.now(), detail);
    }

    /// The attempt on a connection is no longer in flight.
    pub fn attempt_ended(&self, connection: u64) {
        self.answered.borrow_mut().remove(&connection);
        let ended = self.attempts.borrow_mut().remove(&connection);
        if let Some(attempt) = ended {
            let mut oracle = self.oracle.borrow_mut();
            oracle.attempt_ended(&attempt.request_id, attempt.number, self.now());
        }
    }

    /// Bytes have been passed on to the router: an attempt that was answered has ended now.
    pub fn answer_delivered(&self, connection: u64) {
        let answered = self.answered.borrow_mut().remove(&connection);
        if answered {
            self.attempt_ended(connection);
        }
    }

    /// Releases a request's KV state and decode slot, but not the state that an attempt waits for.
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

    /// A server has died: its leases are lost.
    pub fn server_lost(&self, server: usize) {
        let leases = [
            (&self.kv_states, LeasedResource::KvState),
            (&self.decode_slots, LeasedResource::DecodeSlot),
        ];
        let mut oracle = self.oracle.borrow_mut();
        for (servers, resource) in leases {
            servers.borrow_mut().retain(|id, holder| {
                if *holder == server {
                    oracle.lease_ended(id, server, resource, self.now());
                }
                *holder != server
            });
        }
    }
}
