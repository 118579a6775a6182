//! One account of bytes for all bodies and answers that a front holds in flight. A [`Claim`] is given back where
//! it is dropped, and nowhere else.

use std::cell::Cell;
use std::rc::Rc;

struct Held {
    most: usize,
    now: Cell<usize>,
    peak: Cell<usize>,
}

/// The account. Cheap to clone.
#[derive(Clone)]
pub struct Account(Rc<Held>);

impl Account {
    /// So many bytes.
    pub fn new(most: usize) -> Account {
        Account(Rc::new(Held {
            most,
            now: Cell::default(),
            peak: Cell::default(),
        }))
    }

    /// Claims bytes, if there are so many.
    pub fn claim(&self, bytes: usize) -> Option<Claim> {
        let mut claim = Claim {
            account: self.clone(),
            bytes: 0,
        };
        claim.grow_to(bytes).then_some(claim)
    }

    /// Claims bytes for a body. Guards against bodies that take all there is, so that nothing could be sent for any of
    /// them: a quarter is left for slices and answers.
    pub fn claim_body(&self, bytes: usize) -> Option<Claim> {
        self.has_room_for_bodies(bytes)
            .then(|| self.claim(bytes))
            .flatten()
    }

    /// Whether bodies may hold so many bytes more.
    pub fn has_room_for_bodies(&self, more: usize) -> bool {
        more <= (self.0.most - self.0.most / 4).saturating_sub(self.0.now.get())
    }

    /// Bytes that are claimed, and the most that ever were.
    pub fn held(&self) -> (usize, usize) {
        (self.0.now.get(), self.0.peak.get())
    }
}

/// Bytes that are claimed.
pub struct Claim {
    account: Account,
    bytes: usize,
}

impl Claim {
    /// Grows as a body does: see [`Account::claim_body`].
    #[must_use]
    pub fn grow_body_to(&mut self, bytes: usize) -> bool {
        self.account
            .has_room_for_bodies(bytes.saturating_sub(self.bytes))
            && self.grow_to(bytes)
    }

    /// Grows to so many bytes, if there are; otherwise it stays. It never shrinks so.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let held = &self.account.0;
        let more = bytes.saturating_sub(self.bytes);
        if more > held.most - held.now.get() {
            return false;
        }
        self.bytes += more;
        held.now.set(held.now.get() + more);
        held.peak.set(held.peak.get().max(held.now.get()));
        true
    }

    /// Gives back all but so many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        self.bytes -= less;
        self.account.0.now.set(self.account.0.now.get() - less);
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

#[cfg(test)]
mod tests;
