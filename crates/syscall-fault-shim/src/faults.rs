//! When calls fail, and how.

use libc::{c_int, size_t, timespec};

use crate::next_function::next_function;
use crate::plan::fault_plan;
use crate::random::draw;

/// The time from the beginning of a burst of failures to that of the next.
const BURST_INTERVAL_MS: u64 = 1_500;
/// How long a burst lasts.
const BURST_LENGTH_MS: u64 = 120;
/// Of 100 calls in a burst, how many fail.
const FAILURE_PERCENT: u64 = 60;
/// Of 100 reads and writes at any time, how many are short.
const SHORT_PERCENT: u64 = 10;

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

/// Whether a call fails now.
pub(crate) fn should_fail() -> bool {
    monotonic_ms() % BURST_INTERVAL_MS < BURST_LENGTH_MS && draw(100) < FAILURE_PERCENT
}

/// Sets one of these error numbers for the calling thread, and returns the result of a failed call.
pub(crate) fn fail_with(errors: &[c_int]) -> c_int {
    let error = errors[draw(errors.len() as u64) as usize];
    // SAFETY: the address of this thread's error number is always valid.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// The length to read or write: now and then less than was asked for.
pub(crate) fn shorten(length: size_t) -> size_t {
    if fault_plan().short && length > 1 && draw(100) < SHORT_PERCENT {
        1 + draw(length as u64 - 1) as size_t
    } else {
        length
    }
}
