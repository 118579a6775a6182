//! Decisions on batches: requests that carry many items and are served slice by slice. How large a slice is, whose
//! turn it is, whether a slice that failed is asked for again, and when a batch has no hope left. No I/O: time is
//! passed in, and what is to be done comes out. Which server takes a slice is not decided here.
//!
//! [`Engine`] puts the parts together: [`Pace`] learns how long tokens take, [`Turns`] gives turns by deficit round
//! robin, [`Window`] bounds the slices that are out at once, [`Budget`] the repeats.

mod budget;
mod engine;
mod pace;
mod turns;
mod window;

pub use budget::Budget;
pub use engine::{BatchId, Engine, Failure, Opening, Order, Refusal, Settings, Verdict};
pub use pace::Pace;
pub use turns::{Flow, Turns};
pub use window::Window;

/// A point in time or a span, in microseconds, on a clock that only advances.
pub type Micros = i64;
