//! Random numbers that need neither allocation nor locks.

use std::sync::atomic::{AtomicU64, Ordering};

static STATE: AtomicU64 = AtomicU64::new(1);

/// Starts the sequence anew.
pub(crate) fn seed(seed: u64) {
    // Xorshift never leaves zero.
    STATE.store(seed | 1, Ordering::Relaxed);
}

/// The next number below `bound`, by xorshift.
pub(crate) fn draw(bound: u64) -> u64 {
    let mut state = STATE.load(Ordering::Relaxed);
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    STATE.store(state, Ordering::Relaxed);
    (state >> 11) % bound
}
