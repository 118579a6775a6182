//! A library that is preloaded (`LD_PRELOAD`) into a router under soak. It interposes functions of
//! the C library and lets them fail as Linux documents, in short bursts, or shifts the wall clock.
//! The environment says what it does:
//!
//! | variable | meaning |
//! | --- | --- |
//! | `SOAK_CLOCK_STEP_S` | seconds by which the wall clock is ahead; the monotonic clock is not |
//! | `SOAK_FAULTS_SEED` | seed of the faults; without it no call fails |
//! | `SOAK_FAULTS` | names of the calls that fail, separated by commas |
//!
//! The names are `accept`, `connect`, `socket`, `wait`, `short` (reads and writes) and `file`.
//!
//! The one crate of the workspace with `unsafe` code: it replaces functions of the C library.

mod faults;
pub mod interposed;
mod next_function;
mod plan;
mod random;
