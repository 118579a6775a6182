//! Runs cases against a service.

use serde::Serialize;

use crate::case::Case;
use crate::check::check;
use crate::send::{send, Base};

/// The outcome of a case.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// The name of the case.
    pub name: String,
    /// What is not as expected; empty where the case passed.
    pub problems: Vec<String>,
}

/// Runs cases one after another, and calls `on_outcome` after each.
pub async fn run(
    base: &Base,
    cases: &[Case],
    mut on_outcome: impl FnMut(&Outcome),
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for case in cases {
        let problems = match send(base, case).await {
            Ok(answer) => check(&case.expect, &answer),
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
