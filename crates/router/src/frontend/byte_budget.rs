//! One budget of bytes for all request and response bodies that a frontend holds in flight.
//!
//! A [`ByteReservation`] returns its bytes to the [`ByteBudget`] when it shrinks or is dropped, and
//! nowhere else.

use std::cell::Cell;
use std::rc::Rc;

struct Usage {
    capacity: usize,
    reserved: Cell<usize>,
    peak: Cell<usize>,
}

/// The budget. Cheap to clone: clones share the same bytes.
#[derive(Clone)]
pub struct ByteBudget(Rc<Usage>);

impl ByteBudget {
    /// A budget of `capacity` bytes.
    pub fn new(capacity: usize) -> ByteBudget {
        ByteBudget(Rc::new(Usage {
            capacity,
            reserved: Cell::default(),
            peak: Cell::default(),
        }))
    }

    /// Reserves `bytes`, if so many are free.
    pub fn reserve(&self, bytes: usize) -> Option<ByteReservation> {
        let mut reservation = ByteReservation {
            budget: self.clone(),
            bytes: 0,
        };
        reservation.try_grow_to(bytes).then_some(reservation)
    }

    /// Reserves `bytes` for a request body. A quarter of the budget is out of reach of request
    /// bodies: if they took all of it, none of them could be forwarded or answered.
    pub fn reserve_for_request(&self, bytes: usize) -> Option<ByteReservation> {
        if !self.fits_request(bytes) {
            return None;
        }
        self.reserve(bytes)
    }

    /// Whether request bodies may hold `additional` bytes more.
    fn fits_request(&self, additional: usize) -> bool {
        let request_capacity = self.0.capacity - self.0.capacity / 4;
        additional <= request_capacity.saturating_sub(self.reserved())
    }

    /// The bytes that are reserved now.
    pub fn reserved(&self) -> usize {
        self.0.reserved.get()
    }

    /// The most bytes that were ever reserved at once.
    pub fn peak(&self) -> usize {
        self.0.peak.get()
    }
}

/// Bytes reserved from a [`ByteBudget`] for as long as this lives.
pub struct ByteReservation {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteReservation {
    /// Grows to `bytes` within the share of request bodies: see
    /// [`ByteBudget::reserve_for_request`]. Returns whether it could.
    #[must_use]
    pub fn try_grow_for_request(&mut self, bytes: usize) -> bool {
        let additional = bytes.saturating_sub(self.bytes);
        self.budget.fits_request(additional) && self.try_grow_to(bytes)
    }

    /// Grows to `bytes` if so many are free, and otherwise stays as it is. It never shrinks here.
    /// Returns whether it now holds at least `bytes`.
    #[must_use]
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        let usage = &self.budget.0;
        let additional = bytes.saturating_sub(self.bytes);
        if additional > usage.capacity - usage.reserved.get() {
            return false;
        }
        self.bytes += additional;
        usage.reserved.set(usage.reserved.get() + additional);
        usage.peak.set(usage.peak.get().max(usage.reserved.get()));
        true
    }

    /// Returns all but `bytes` to the budget.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.bytes -= surplus;
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
