//! The ledger of the memory that a router holds for connections, requests and responses.
//!
//! Whatever a client or an endpoint can make the router hold is reserved here before it is held, by
//! the part that holds it, and is returned when the [`MemoryReservation`] is dropped. All parts
//! share one capacity, so none of them needs a share that is fixed in advance.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

/// Eighths of the capacity that are kept for data: connections alone cannot take them.
const DATA_EIGHTHS: usize = 1;
/// Eighths of the capacity that are kept at most for connections and the fixed part of requests: data
/// cannot take them.
const FIXED_EIGHTHS: usize = 5;
/// Data counts with its size divided by this in addition: its buffers have many sizes and come and
/// go, and the allocator cannot use all of the space between them.
const ALLOCATOR_DIVISOR: usize = 1;
/// One client's data may take the memory that is free for data divided by this. While large
/// requests hold most of the memory, there is room for small ones.
const CLIENT_DATA_DIVISOR: usize = 4;

/// The memory that data may take at most, divided by this, may hold what waits for its turn. The rest
/// is kept for the bodies of requests that are served.
const BACKLOG_DIVISOR: usize = 4;

/// What memory is reserved for. It decides how much of the free memory may be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A connection, or the fixed part of a request or a response.
    Fixed,
    /// A request body that one client sends.
    ClientData,
    /// Data that waits for its turn, or for a client to read it. If none is free, its holder waits,
    /// so nothing idle is closed for it.
    Backlog,
    /// Data of which a few holders may have all, as their sum has a limit of its own.
    BulkData,
}

impl Purpose {
    /// Returns the memory that `bytes` bytes count as.
    fn weigh(self, bytes: usize) -> usize {
        match self {
            Purpose::Fixed => bytes,
            Purpose::ClientData | Purpose::Backlog | Purpose::BulkData => {
                bytes.saturating_add(bytes / ALLOCATOR_DIVISOR)
            }
        }
    }
}

/// Called when a reservation for [`Purpose::Fixed`] fails, to close what is idle.
pub trait Reclaim {
    /// Closes an idle connection, if there is one. It may be closed some time later.
    fn reclaim(&self);
}

struct Account {
    capacity: usize,
    /// What data cannot take.
    kept_for_fixed: usize,
    fixed: Cell<usize>,
    data: Cell<usize>,
    peak: Cell<usize>,
    refused: Cell<u64>,
    reclaimers: RefCell<Vec<Weak<dyn Reclaim>>>,
}

/// Returns by how much the data of a client that holds `held` bytes may grow while `free` are free.
fn share_of_client(free: usize, held: usize) -> usize {
    (free.saturating_add(held) / CLIENT_DATA_DIVISOR).saturating_sub(held)
}

/// Returns a part of the capacity.
fn eighths(capacity: usize, count: usize) -> usize {
    capacity / 8 * count
}

impl Account {
    /// Returns the count of the bytes that are reserved for this purpose and those like it.
    fn count(&self, purpose: Purpose) -> &Cell<usize> {
        match purpose {
            Purpose::Fixed => &self.fixed,
            Purpose::ClientData | Purpose::Backlog | Purpose::BulkData => &self.data,
        }
    }
}

/// A limited number of bytes that all parts of a router share. Clones share the same ledger.
#[derive(Clone)]
pub struct MemoryLedger(Rc<Account>);

impl MemoryLedger {
    /// Creates a ledger of `capacity` bytes.
    pub fn new(capacity: usize) -> MemoryLedger {
        MemoryLedger::with_fixed_need(capacity, usize::MAX)
    }

    /// Creates a ledger of `capacity` bytes, of which all connections and the fixed parts of requests
    /// together need at most `fixed_need` bytes.
    pub fn with_fixed_need(capacity: usize, fixed_need: usize) -> MemoryLedger {
        MemoryLedger(Rc::new(Account {
            capacity,
            kept_for_fixed: fixed_need.min(eighths(capacity, FIXED_EIGHTHS)),
            fixed: Cell::default(),
            data: Cell::default(),
            peak: Cell::default(),
            refused: Cell::default(),
            reclaimers: RefCell::default(),
        }))
    }

    /// Creates a ledger without a limit.
    pub fn unlimited() -> MemoryLedger {
        MemoryLedger::new(usize::MAX)
    }

    /// Adds an owner of idle connections, which closes one whenever there is no room for another.
    pub fn add_reclaimer(&self, reclaimer: Weak<dyn Reclaim>) {
        self.0.reclaimers.borrow_mut().push(reclaimer);
    }

    /// Reserves `bytes`; `None` if fewer may be taken for this purpose.
    pub fn reserve(&self, purpose: Purpose, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = self.empty_reservation(purpose);
        reservation.try_grow_to(bytes).then_some(reservation)
    }

    /// Returns a reservation of no bytes.
    pub fn empty_reservation(&self, purpose: Purpose) -> MemoryReservation {
        MemoryReservation {
            ledger: self.clone(),
            purpose,
            bytes: 0,
        }
    }

    /// Returns the largest number of bytes that data may take.
    pub fn data_limit(&self) -> usize {
        let limit = self.0.capacity - self.0.kept_for_fixed;
        limit - limit.div_ceil(ALLOCATOR_DIVISOR + 1)
    }

    /// Returns the memory that is reserved now, in bytes.
    pub fn reserved(&self) -> usize {
        self.0.fixed.get().saturating_add(self.0.data.get())
    }

    /// Returns the largest memory that was ever reserved at once, in bytes.
    pub fn peak(&self) -> usize {
        self.0.peak.get()
    }

    /// Returns how many reservations have failed, without those of [`Purpose::Backlog`].
    pub fn refused(&self) -> u64 {
        self.0.refused.get()
    }

    /// Returns whether a reservation of `held` bytes may grow by `additional` bytes.
    fn permits(&self, purpose: Purpose, held: usize, additional: usize) -> bool {
        let account = &self.0;
        let others = match purpose {
            Purpose::Fixed => account
                .data
                .get()
                .max(eighths(account.capacity, DATA_EIGHTHS)),
            _ => account.fixed.get().max(account.kept_for_fixed),
        };
        let used = account.count(purpose).get();
        let free = account.capacity.saturating_sub(others).saturating_sub(used);
        let limit = match purpose {
            Purpose::Fixed | Purpose::BulkData => free,
            Purpose::ClientData => share_of_client(free, held),
            Purpose::Backlog => {
                let data = account.capacity - account.kept_for_fixed;
                let kept = data - data / BACKLOG_DIVISOR;
                share_of_client(free.saturating_sub(kept), held)
            }
        };
        additional <= limit
    }

    fn take(&self, purpose: Purpose, additional: usize) {
        let count = self.0.count(purpose);
        count.set(count.get().saturating_add(additional));
        self.0.peak.set(self.0.peak.get().max(self.reserved()));
    }

    fn give_back(&self, purpose: Purpose, surplus: usize) {
        let count = self.0.count(purpose);
        count.set(count.get().saturating_sub(surplus));
    }

    fn refuse(&self, purpose: Purpose) {
        if purpose != Purpose::Backlog {
            self.0.refused.set(self.0.refused.get() + 1);
        }
        // Idle connections hold none of the memory of data.
        if purpose == Purpose::Fixed {
            let reclaimers = self.0.reclaimers.borrow();
            for reclaimer in reclaimers.iter().filter_map(Weak::upgrade) {
                reclaimer.reclaim();
            }
        }
    }
}

/// Bytes that are reserved from a [`MemoryLedger`] until this is dropped.
pub struct MemoryReservation {
    ledger: MemoryLedger,
    purpose: Purpose,
    bytes: usize,
}

impl MemoryReservation {
    /// Returns the number of bytes that are reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows to `bytes` if as many may be taken, and otherwise stays unchanged; it never shrinks.
    /// Returns whether the reservation now holds at least `bytes`.
    #[must_use]
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        let held = self.purpose.weigh(self.bytes);
        let additional = self.purpose.weigh(bytes) - held;
        if !self.ledger.permits(self.purpose, held, additional) {
            self.ledger.refuse(self.purpose);
            return false;
        }
        self.grow_to(bytes);
        true
    }

    /// Grows to `bytes` whether or not as many are free, for what is held already or cannot be
    /// refused any more. Others are refused meanwhile. It never shrinks.
    pub fn grow_to(&mut self, bytes: usize) {
        if bytes > self.bytes {
            let held = self.purpose.weigh(self.bytes);
            let additional = self.purpose.weigh(bytes) - held;
            self.ledger.take(self.purpose, additional);
            self.bytes = bytes;
        }
    }

    /// Shrinks to `bytes`, and returns the rest to the ledger. Never grows.
    pub fn shrink_to(&mut self, bytes: usize) {
        if bytes < self.bytes {
            let surplus = self.purpose.weigh(self.bytes) - self.purpose.weigh(bytes);
            self.ledger.give_back(self.purpose, surplus);
            self.bytes = bytes;
        }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

#[cfg(test)]
mod tests;
