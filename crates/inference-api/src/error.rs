//! Errors in the API's form: `{"error": {"message", "type", "param", "code"}}`.

use serde::Serialize;

/// Whose fault it is: the API's `type`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Kind {
    /// The request cannot be served as it is.
    #[serde(rename = "invalid_request_error")]
    Invalid,
    /// The key is nobody's.
    #[serde(rename = "authentication_error")]
    Authentication,
    /// The service could not.
    #[serde(rename = "server_error")]
    Server,
}

/// An error, with the status that it is answered with.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {message}")]
pub struct ApiError {
    /// The HTTP status.
    pub status: u16,
    /// Its `type`.
    pub kind: Kind,
    /// Its `code`.
    pub code: &'static str,
    /// The field or header that is wrong.
    pub param: Option<String>,
    /// What to tell people.
    pub message: String,
}

#[derive(Serialize)]
struct Whole<'a> {
    error: Shown<'a>,
}

#[derive(Serialize)]
struct Shown<'a> {
    message: &'a str,
    r#type: Kind,
    param: Option<&'a str>,
    code: &'a str,
}

impl ApiError {
    /// A request that is wrong.
    pub fn invalid(
        status: u16,
        code: &'static str,
        param: Option<&str>,
        message: impl Into<String>,
    ) -> Self {
        ApiError {
            status,
            kind: Kind::Invalid,
            code,
            param: param.map(str::to_owned),
            message: message.into(),
        }
    }

    /// A value that is wrong: 400 `invalid_value`.
    pub fn value(param: &str, message: impl Into<String>) -> Self {
        ApiError::invalid(400, "invalid_value", Some(param), message)
    }

    /// A failure of the service.
    pub fn server(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        ApiError {
            status,
            kind: Kind::Server,
            code,
            param: None,
            message: message.into(),
        }
    }

    /// The body of the answer.
    pub fn to_json(&self) -> String {
        let Self {
            kind,
            code,
            param,
            message,
            ..
        } = self;
        let error = Shown {
            message,
            r#type: *kind,
            param: param.as_deref(),
            code,
        };
        serde_json::to_string(&Whole { error }).unwrap_or_default()
    }

    /// The error as an event of a stream, which ends it.
    pub fn to_event(&self) -> String {
        format!("data: {}\n\n", self.to_json())
    }
}
