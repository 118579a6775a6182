//! The form of a case, and the decoder of a file of cases.

use std::collections::{BTreeMap, HashSet};

use serde::Deserialize;
use serde_json::Value;

/// A request and what is expected of its answer.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    /// Its name, unique in its file.
    pub name: String,
    /// The method.
    #[serde(default = "default_method")]
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers. `Content-Type: application/json` is added unless one is given.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// The body.
    #[serde(default)]
    pub body: String,
    /// The text that replaces each `@` of the body.
    pub fill: Option<Fill>,
    /// Whether the body is sent compressed.
    #[serde(default)]
    pub gzip: bool,
    /// What is expected.
    pub expect: Expect,
}

fn default_method() -> String {
    "POST".to_owned()
}

/// A repeated text.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fill {
    /// The text.
    pub text: String,
    /// How often it is repeated.
    pub times: usize,
}

/// What is expected of an answer.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// The accepted statuses.
    pub status: Vec<u16>,
    /// Headers: a value, or `*` for any.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// JSON pointers into the body, and the values expected there. `<text>`, `<number>`, `<list>`,
    /// `<object>`, `<null>` and `<absent>` stand for any such value; a pointer that ends in `/#` is
    /// the length of the list before it.
    #[serde(default)]
    pub json: BTreeMap<String, Value>,
    /// Texts that the body contains.
    #[serde(default, rename = "holds")]
    pub contains: Vec<String>,
    /// Texts that the body does not contain.
    #[serde(default, rename = "lacks")]
    pub excludes: Vec<String>,
    /// Whether the connection ends before the body is complete.
    #[serde(default, rename = "broken")]
    pub truncated: bool,
}

/// A file of cases.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CasesFile {
    #[serde(rename = "case")]
    cases: Vec<Case>,
}

/// Why a file of cases cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum CasesError {
    /// It is not TOML.
    #[error("cases: line {line}: {message}")]
    Syntax {
        /// The line.
        line: usize,
        /// What is wrong there.
        message: String,
    },
    /// A case does not have the form of a case.
    #[error("cases: {path}: {message}")]
    Form {
        /// Where it is, such as `case[0].path`.
        path: String,
        /// What is wrong there.
        message: String,
    },
    /// Two cases have one name.
    #[error("cases: {0:?} stands twice")]
    DuplicateName(String),
}

/// Decodes a file of cases.
pub fn cases(text: &str) -> Result<Vec<Case>, CasesError> {
    let line_of = |error: &toml::de::Error| {
        error
            .span()
            .map_or(0, |span| text[..span.start].lines().count())
    };
    let deserializer = toml::Deserializer::parse(text).map_err(|error| CasesError::Syntax {
        line: line_of(&error),
        message: error.message().to_owned(),
    })?;
    let file: CasesFile =
        serde_path_to_error::deserialize(deserializer).map_err(|error| CasesError::Form {
            path: error.path().to_string(),
            message: error.inner().message().to_owned(),
        })?;
    let mut names = HashSet::new();
    let duplicate = file.cases.iter().find(|case| !names.insert(&case.name));
    match duplicate {
        Some(case) => Err(CasesError::DuplicateName(case.name.clone())),
        None => Ok(file.cases),
    }
}
