//! Decides which calls fail, and with which error.

use libc::{c_int, size_t, timespec};

use crate::next_function::next_function;
use crate::plan::fault_plan;
use crate::random::draw;

/// Time from the start of a burst of failures to the start of the next one.
const BURST_INTERVAL_MS: u64 = 1_500;
/// Duration of a burst.
const BURST_DURATION_MS: u64 = 120;
/// Percentage of the calls within a burst that fail.
const FAILURE_PERCENT: u64 = 60;
/// Percentage of reads and writes that are short, within a burst or not.
const SHORT_TRANSFER_PERCENT: u64 = 10;

pub(crate) type ClockGettime = unsafe extern "C" fn(c_int, *mut timespec) -> c_int;

fn monotonic_ms() -> u64 {
    let mut now = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let clock_gettime = next_function!(c"clock_gettime", ClockGettime);
    // SAFETY: `now` is a valid `timespec`.
    unsafe { clock_gettime(libc::CLOCK_MONOTONIC, &mut now) };
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

/// Decides at random whether a call fails. Calls fail only within a burst.
pub(crate) fn should_fail() -> bool {
    monotonic_ms() % BURST_INTERVAL_MS < BURST_DURATION_MS && draw(100) < FAILURE_PERCENT
}

/// Sets `errno` of the calling thread to one of `errors`, drawn at random, and returns -1, the
/// result of a failed call.
pub(crate) fn fail_with(errors: &[c_int]) -> c_int {
    let error = errors[draw(errors.len() as u64) as usize];
    // SAFETY: `__errno_location` always returns a valid pointer to the `errno` of this thread.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Returns the length to read or write, which is at random shorter than the requested `length`.
pub(crate) fn shorten(length: size_t) -> size_t {
    if fault_plan().short && length > 1 && draw(100) < SHORT_TRANSFER_PERCENT {
        1 + draw(length as u64 - 1) as size_t
    } else {
        length
    }
}
