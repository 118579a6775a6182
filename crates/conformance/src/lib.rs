//! The conformance suite of the inference API: cases as data (`cases.toml`), and what runs them
//! against a service. A case is a request and what is expected of its answer. Where a case needs
//! servers that fail, its body says so in a field `toy`, which the service passes on and the fake
//! servers obey.

mod answer;
mod case;
mod check;
mod run;
mod send;

pub use answer::Answer;
pub use case::{cases, Case, CasesError, Expect, Fill};
pub use check::check;
pub use run::{run, Outcome};
pub use send::{send, Base, SendError};

/// The suite as it is shipped.
pub const CASES: &str = include_str!("../cases.toml");

#[cfg(test)]
mod tests;
