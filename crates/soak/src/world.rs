//! What all stand-ins of a run share: the clock, the oracle, what servers hold, and the numbers of connections.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand_core::RngCore;
use rand_pcg::Pcg32;
use tokio::time::Instant;

use crate::oracle::{LeasedResource, Oracle};
use crate::scenario::Plant;

/// An attempt that has arrived: its request and its number.
pub type Attempt = (String, u64);

/// The shared state of a run. All of it lives on one thread.
pub struct World {
    /// The rules.
    pub oracle: RefCell<Oracle>,
    /// Read states by request: the server that holds each.
    pub states: RefCell<HashMap<String, usize>>,
    /// Places by request.
    pub places: RefCell<HashMap<String, usize>>,
    /// Requests whose prompt is being read.
    pub reading: RefCell<HashSet<String>>,
    /// Requests that wait for their state at a writer.
    pub fetching: RefCell<HashSet<String>>,
    /// The connection of the proxy that a server sees at this address.
    pub connections: RefCell<HashMap<SocketAddr, u64>>,
    /// The attempt that is out on a connection.
    pub attempts: RefCell<HashMap<u64, Attempt>>,
    /// Connections whose attempt has been answered, with the answer on its way to the router.
    pub answered: RefCell<HashSet<u64>>,
    /// Whether the run is over.
    pub over: Cell<bool>,
    /// A fault that the stand-ins make on purpose, to see that the oracle notices it.
    pub plant: Option<Plant>,
    began: Instant,
    next: Cell<u64>,
    rng: RefCell<Pcg32>,
}

impl World {
    /// A run that begins now.
    pub fn new(oracle: Oracle, seed: u64, plant: Option<Plant>) -> Rc<World> {
        Rc::new(World {
            oracle: RefCell::new(oracle),
            states: RefCell::default(),
            places: RefCell::default(),
            reading: RefCell::default(),
            fetching: RefCell::default(),
            connections: RefCell::default(),
            attempts: RefCell::default(),
            answered: RefCell::default(),
            over: Cell::default(),
            plant,
            began: Instant::now(),
            next: Cell::new(1),
            rng: RefCell::new(Pcg32::new(seed, 0x5eed_50a6)),
        })
    }

    /// The time since the start, in whole milliseconds.
    pub fn now(&self) -> Duration {
        let millis = u64::try_from(self.began.elapsed().as_millis());
        Duration::from_millis(millis.unwrap_or(u64::MAX))
    }

    /// A number that no other call gets.
    pub fn number(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    /// A number from `low` to below `high`.
    pub fn draw(&self, low: u64, high: u64) -> u64 {
        low + u64::from(self.rng.borrow_mut().next_u32()) % (high - low).max(1)
    }

    /// True in so many of 100 cases.
    pub fn chance(&self, percent: u64) -> bool {
        self.draw(0, 100) < percent
    }

    /// Whether this fault is planted and strikes now.
    pub fn plants(&self, plant: Plant) -> bool {
        self.plant == Some(plant) && self.chance(20)
    }

    /// The attempt on a connection is out no longer.
    pub fn attempt_ends(&self, connection: u64) {
        self.answered.borrow_mut().remove(&connection);
        if let Some((id, number)) = self.attempts.borrow_mut().remove(&connection) {
            self.oracle
                .borrow_mut()
                .attempt_ended(&id, number, self.now());
        }
    }

    /// Something has been passed on to the router: an answered attempt is out until then.
    pub fn passed(&self, connection: u64) {
        if self.answered.borrow_mut().remove(&connection) {
            self.attempt_ends(connection);
        }
    }

    /// Lets go of a request's state and place, but for what an attempt waits for.
    pub fn release(&self, id: &str) {
        let mut oracle = self.oracle.borrow_mut();
        if !self.fetching.borrow().contains(id) {
            if let Some(server) = self.states.borrow_mut().remove(id) {
                oracle.lease_ended(id, server, LeasedResource::KvState, self.now());
            }
        }
        if let Some(server) = self.places.borrow_mut().remove(id) {
            oracle.lease_ended(id, server, LeasedResource::DecodeSlot, self.now());
        }
    }

    /// All that a server holds is lost with it.
    pub fn forget_server(&self, server: usize) {
        let mut oracle = self.oracle.borrow_mut();
        for (held, place) in [
            (&self.states, LeasedResource::KvState),
            (&self.places, LeasedResource::DecodeSlot),
        ] {
            held.borrow_mut().retain(|id, at| {
                if *at == server {
                    oracle.lease_ended(id, server, place, self.now());
                }
                *at != server
            });
        }
    }
}
