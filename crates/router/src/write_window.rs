//! A limit on the bytes that the HTTP library holds for one direction of a connection.
//!
//! The library takes the next part of a body although it has not written the last one yet, and its
//! buffer keeps the size that it once had. A body that waits for [`WriteWindow::poll_room`] before
//! each part keeps this buffer small, however slowly the other side reads.

use std::cell::Cell;
use std::task::{Context, Poll, Waker};

/// Number of bytes from which no further part of a body is passed to the library.
const UNWRITTEN_BYTES: usize = 3 * 1024;
/// Maximum size of a part of a body, in bytes. With what may be unwritten before it and a usual
/// head, it fits into the library's first buffer, of 8 KiB.
pub(crate) const MAX_PART_BYTES: usize = 4 * 1024;

/// Counts the bytes of bodies that were passed to the library and are not written yet.
#[derive(Default)]
pub(crate) struct WriteWindow {
    unwritten: Cell<usize>,
    waker: Cell<Option<Waker>>,
}

impl WriteWindow {
    /// Waits until a further part of a body may be passed to the library.
    pub(crate) fn poll_room(&self, cx: &Context<'_>) -> Poll<()> {
        if self.has_room() {
            return Poll::Ready(());
        }
        self.waker.set(Some(cx.waker().clone()));
        Poll::Pending
    }

    fn has_room(&self) -> bool {
        self.unwritten.get() < UNWRITTEN_BYTES
    }

    /// Records a part of a body that is passed to the library.
    pub(crate) fn add(&self, bytes: usize) {
        self.unwritten.set(self.unwritten.get() + bytes);
    }

    /// Records bytes that were written. Heads and the framing of chunks are among them, so that the
    /// count may fall below what is unwritten, by the size of a head.
    pub(crate) fn on_written(&self, bytes: usize) {
        self.unwritten
            .set(self.unwritten.get().saturating_sub(bytes));
        if self.has_room() {
            if let Some(waker) = self.waker.take() {
                waker.wake();
            }
        }
    }

    /// Forgets what was not written of an earlier body.
    pub(crate) fn reset(&self) {
        self.unwritten.set(0);
    }
}

#[cfg(test)]
mod tests;
