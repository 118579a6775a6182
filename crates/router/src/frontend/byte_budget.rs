//! A limit on the total size of all request and response bodies that a frontend holds in memory.
//!
//! A [`ByteReservation`] returns its bytes to the [`ByteBudget`] when it shrinks or is dropped, and
//! only then.

use std::cell::Cell;
use std::rc::Rc;

use crate::memory::{MemoryLedger, MemoryReservation, Purpose};

struct Usage {
    capacity: usize,
    /// Number of bytes that request bodies may use.
    request_capacity: usize,
    reserved: Cell<usize>,
    peak: Cell<usize>,
    /// The memory of the router, in which each reservation is made as well.
    memory: MemoryLedger,
    purpose: Purpose,
}

/// A limited number of bytes that can be reserved. Cheap to clone: clones share the same budget.
#[derive(Clone)]
pub struct ByteBudget(Rc<Usage>);

impl ByteBudget {
    /// Creates a budget of `capacity` bytes of `memory`.
    pub fn new(capacity: usize, memory: &MemoryLedger) -> ByteBudget {
        ByteBudget(Rc::new(Usage {
            capacity,
            request_capacity: capacity - capacity / 4,
            reserved: Cell::default(),
            peak: Cell::default(),
            memory: memory.clone(),
            purpose: Purpose::BulkData,
        }))
    }

    /// Creates a budget for request bodies only, which `memory` alone limits.
    pub fn for_requests_only(memory: &MemoryLedger) -> ByteBudget {
        ByteBudget(Rc::new(Usage {
            capacity: usize::MAX,
            request_capacity: usize::MAX,
            reserved: Cell::default(),
            peak: Cell::default(),
            memory: memory.clone(),
            purpose: Purpose::ClientData,
        }))
    }

    /// Reserves `bytes`, or returns `None` if fewer are free.
    pub fn reserve(&self, bytes: usize) -> Option<ByteReservation> {
        let mut reservation = ByteReservation {
            budget: self.clone(),
            bytes: 0,
            memory: self.0.memory.empty_reservation(self.0.purpose),
        };
        reservation.try_grow_to(bytes).then_some(reservation)
    }

    /// Reserves `bytes` for a request body, or returns `None`. A quarter of the budget is not
    /// available to request bodies: if they took all of it, none of them could be forwarded, and no
    /// response could be sent.
    pub fn reserve_for_request(&self, bytes: usize) -> Option<ByteReservation> {
        if !self.can_reserve_for_request(bytes) {
            return None;
        }
        self.reserve(bytes)
    }

    /// Returns whether `additional` bytes can be reserved for request bodies.
    fn can_reserve_for_request(&self, additional: usize) -> bool {
        additional <= self.request_capacity().saturating_sub(self.reserved())
    }

    /// Returns the number of bytes that request bodies may use.
    fn request_capacity(&self) -> usize {
        self.0.request_capacity
    }

    /// Returns the number of bytes reserved now.
    pub fn reserved(&self) -> usize {
        self.0.reserved.get()
    }

    /// Returns the largest number of bytes that were ever reserved at once.
    pub fn peak(&self) -> usize {
        self.0.peak.get()
    }
}

/// Bytes that are reserved from a [`ByteBudget`] until this is dropped.
pub struct ByteReservation {
    budget: ByteBudget,
    bytes: usize,
    memory: MemoryReservation,
}

impl ByteReservation {
    /// Grows to `bytes` if that leaves the part of the budget free that request bodies must not
    /// use (see [`ByteBudget::reserve_for_request`]). Returns whether the reservation now holds at
    /// least `bytes`.
    #[must_use]
    pub fn try_grow_for_request(&mut self, bytes: usize) -> bool {
        let additional = bytes.saturating_sub(self.bytes);
        self.budget.can_reserve_for_request(additional) && self.try_grow_to(bytes)
    }

    /// Grows to `bytes` if enough bytes are free, and otherwise stays unchanged; it never shrinks.
    /// Returns whether the reservation now holds at least `bytes`.
    #[must_use]
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        let usage = &self.budget.0;
        let additional = bytes.saturating_sub(self.bytes);
        if additional > usage.capacity - usage.reserved.get() || !self.memory.try_grow_to(bytes) {
            return false;
        }
        self.bytes += additional;
        usage.reserved.set(usage.reserved.get() + additional);
        usage.peak.set(usage.peak.get().max(usage.reserved.get()));
        true
    }

    /// Returns the number of bytes that all request bodies together may use.
    pub fn request_capacity(&self) -> usize {
        self.budget.request_capacity()
    }

    /// Shrinks to `bytes`, and returns the rest to the budget. Never grows.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.bytes -= surplus;
        self.memory.shrink_to(self.bytes);
        let usage = &self.budget.0;
        usage.reserved.set(usage.reserved.get() - surplus);
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

#[cfg(test)]
mod tests;
