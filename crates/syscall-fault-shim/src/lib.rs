//! A library that is preloaded (`LD_PRELOAD`) into a router during a soak. It interposes functions
//! of the C library to make them fail in short bursts, with errors that Linux documents for them,
//! to make reads and writes short, and to shift the wall clock. Environment variables configure it:
//!
//! | variable | meaning |
//! | --- | --- |
//! | `SOAK_CLOCK_STEP_S` | seconds added to the wall clock, not the monotonic; may be negative |
//! | `SOAK_FAULTS_SEED` | seed of the random faults; without it no call fails |
//! | `SOAK_FAULTS` | names of the faults to inject, separated by commas |
//!
//! The faults are:
//!
//! - `accept`, `connect`, `socket`: these calls fail.
//! - `wait`: `epoll_wait` is interrupted.
//! - `short`: reads and writes transfer fewer bytes than requested.
//! - `file`: the configuration file fails to open.
//!
//! This is the only crate of the workspace with `unsafe` code, which it needs to replace functions
//! of the C library.

mod faults;
pub mod interposed;
mod next_function;
mod plan;
mod random;
