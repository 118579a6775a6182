//! The conformance suite of the inference API: cases as data (`cases.toml`), and the code that runs
//! them against a service. A case is a request with the response that is expected. A case that
//! needs failing model servers says so in the field `toy` of its request body, which the service
//! passes on and the fake servers obey.

mod case;
mod check;
mod response;
mod run;
mod send;

pub use case::{parse_cases, Case, CasesError, Expect, Fill};
pub use check::check;
pub use response::Response;
pub use run::{run, Outcome};
pub use send::{send, SendError, Service};

/// The cases that are shipped with the program.
pub const CASES: &str = include_str!("../cases.toml");

#[cfg(test)]
mod tests;
