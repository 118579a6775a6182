//! Cases of the suite, and the decoder of a file of cases.

use std::collections::{BTreeMap, HashSet};

use serde::Deserialize;
use serde_json::Value;

/// A test case: a request and the response that is expected.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    /// Name of the case, which is unique in the file.
    pub name: String,
    /// HTTP method of the request; `POST` if the case has none.
    #[serde(default = "default_method")]
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// Headers of the request. A `POST` request without a `Content-Type` gets `application/json`.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// Body of the request.
    #[serde(default)]
    pub body: String,
    /// Repeated text that replaces each `@` in the body.
    pub fill: Option<Fill>,
    /// Whether the body is sent gzip-compressed.
    #[serde(default)]
    pub gzip: bool,
    /// The expected response.
    pub expect: Expect,
}

fn default_method() -> String {
    "POST".to_owned()
}

/// A text that is repeated to make a large body.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fill {
    /// The text to repeat.
    pub text: String,
    /// Number of repetitions.
    pub times: usize,
}

/// Conditions that the response must meet.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// Accepted status codes.
    pub status: Vec<u16>,
    /// Required headers, each with its value or `*` for any value.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// JSON pointers into the body, with the expected values. `<text>`, `<number>`, `<list>`,
    /// `<object>` and `<null>` match any value of that type, and `<absent>` requires that there is
    /// none. A pointer that ends in `/#` refers to the length of the list before it.
    #[serde(default)]
    pub json: BTreeMap<String, Value>,
    /// Texts that the body must contain.
    #[serde(default, rename = "holds")]
    pub contains: Vec<String>,
    /// Texts that the body must not contain.
    #[serde(default, rename = "lacks")]
    pub excludes: Vec<String>,
    /// Whether the connection must be closed before the body is complete.
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

/// Why a file of cases is invalid.
#[derive(Debug, thiserror::Error)]
pub enum CasesError {
    /// The file is not valid TOML.
    #[error("cases: line {line}: {message}")]
    Syntax {
        /// Line of the error.
        line: usize,
        /// Description of the error.
        message: String,
    },
    /// A case has a missing, unknown or invalid field.
    #[error("cases: {path}: {message}")]
    Form {
        /// Path of the field, such as `case[0].path`.
        path: String,
        /// Description of the error.
        message: String,
    },
    /// Two cases have the same name.
    #[error("cases: the name {0:?} is used twice")]
    DuplicateName(String),
}

/// Decodes the text of a file of cases.
pub fn parse_cases(text: &str) -> Result<Vec<Case>, CasesError> {
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
