//! Runs cases against a service.

use serde::Serialize;

use crate::case::Case;
use crate::check::check;
use crate::send::{send, Service};

/// The result of running a case.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Name of the case.
    pub name: String,
    /// Differences from the expected response; empty if the case passed.
    pub problems: Vec<String>,
}

/// Runs cases one after another and calls `on_outcome` after each of them.
pub async fn run(
    service: &Service,
    cases: &[Case],
    mut on_outcome: impl FnMut(&Outcome),
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for case in cases {
        let problems = match send(service, case).await {
            Ok(response) => check(&case.expect, &response),
            Err(error) => vec![error.to_string()],
        };
        let outcome = Outcome {
            name: case.name.clone(),
            problems,
        };
        on_outcome(&outcome);
        outcomes.push(outcome);
    }
    outcomes
}
