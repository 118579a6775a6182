//! A random number generator that uses neither allocation nor locks.

use std::sync::atomic::{AtomicU64, Ordering};

static STATE: AtomicU64 = AtomicU64::new(1);

/// Restarts the sequence of random numbers from this seed.
pub(crate) fn seed(seed: u64) {
    // The state of a xorshift generator must not be zero, as it would stay zero.
    STATE.store(seed | 1, Ordering::Relaxed);
}

/// Returns the next random number below `bound`, from a xorshift generator.
pub(crate) fn draw(bound: u64) -> u64 {
    let mut state = STATE.load(Ordering::Relaxed);
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    STATE.store(state, Ordering::Relaxed);
    (state >> 11) % bound
}
