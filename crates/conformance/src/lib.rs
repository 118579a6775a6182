//! The conformance suite of the inference API: cases as data (`cases.toml`), and what runs them against a service.
//! A case is a request and what is expected of its answer. Where a case needs workers that fail, its body says so in a
//! field `toy`, which the service passes on and the stand-in workers heed.

mod check;
mod send;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

pub use check::{check, Answer};
pub use send::{send, Base};

/// The suite as it is shipped.
pub const CASES: &str = include_str!("../cases.toml");

/// A request and what is expected of its answer.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    /// Its name, the only one.
    pub name: String,
    /// The method.
    #[serde(default = "post")]
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers. `Content-Type: application/json` stands unless one is given.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// The body.
    #[serde(default)]
    pub body: String,
    /// What is put in the place of each `@` of the body.
    pub fill: Option<Fill>,
    /// Whether the body is sent compressed.
    #[serde(default)]
    pub gzip: bool,
    /// What is expected.
    pub expect: Expect,
}

fn post() -> String {
    "POST".to_owned()
}

/// A text many times over.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fill {
    /// The text.
    pub text: String,
    /// How often.
    pub times: usize,
}

/// What is expected of an answer.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// One of these.
    pub status: Vec<u16>,
    /// Headers: a value, or `*` for any.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// Places in the JSON, as pointers, and what stands there. `<text>`, `<number>`, `<list>`, `<object>` and
    /// `<absent>` stand for any such thing; a pointer that ends in `/#` is the length of the list before it.
    #[serde(default)]
    pub json: BTreeMap<String, Value>,
    /// Words that the body holds.
    #[serde(default)]
    pub holds: Vec<String>,
    /// Words that it does not hold.
    #[serde(default)]
    pub lacks: Vec<String>,
    /// Whether the answer breaks off, the connection ended.
    #[serde(default)]
    pub broken: bool,
}

/// Why a file of cases cannot be used.
#[derive(Debug, thiserror::Error)]
#[error("cases: {0}")]
pub struct Unusable(String);

/// Reads a file of cases.
pub fn cases(text: &str) -> Result<Vec<Case>, Unusable> {
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    struct File {
        case: Vec<Case>,
    }
    let line = |e: &toml::de::Error| {
        e.span()
            .map_or(0, |span| text[..span.start].lines().count())
    };
    let toml = toml::Deserializer::parse(text)
        .map_err(|e| Unusable(format!("line {}: {}", line(&e), e.message())))?;
    let file: File = serde_path_to_error::deserialize(toml)
        .map_err(|e| Unusable(format!("{}: {}", e.path(), e.inner().message())))?;
    let mut names = std::collections::HashSet::new();
    match file.case.iter().find(|c| !names.insert(&c.name)) {
        Some(twice) => Err(Unusable(format!("{:?} stands twice", twice.name))),
        None => Ok(file.case),
    }
}

/// What came of a case.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Its name.
    pub name: String,
    /// What is not as expected; nothing where it passed.
    pub problems: Vec<String>,
}

/// Runs cases one after the other and tells of each.
pub async fn run(base: &Base, cases: &[Case], mut tell: impl FnMut(&Outcome)) -> Vec<Outcome> {
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
        tell(&outcome);
        outcomes.push(outcome);
    }
    outcomes
}

#[cfg(test)]
mod tests;
