//! Errors in the form of the API: `{"error": {"message", "type", "param", "code"}}`.

use serde::Serialize;

/// The kind of an error: the `type` of the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum ErrorKind {
    /// The request is invalid.
    #[serde(rename = "invalid_request_error")]
    InvalidRequest,
    /// The API key is invalid.
    #[serde(rename = "authentication_error")]
    Authentication,
    /// The service failed.
    #[serde(rename = "server_error")]
    Server,
}

/// An error, and the status of its response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {message}")]
pub struct ApiError {
    /// The HTTP status.
    pub status: u16,
    /// Its `type`.
    pub kind: ErrorKind,
    /// Its `code`.
    pub code: &'static str,
    /// The field or header that is wrong.
    pub param: Option<String>,
    /// The message for people.
    pub message: String,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    r#type: ErrorKind,
    param: Option<&'a str>,
    code: &'a str,
}

impl ApiError {
    /// An invalid request.
    pub fn invalid(
        status: u16,
        code: &'static str,
        param: Option<&str>,
        message: impl Into<String>,
    ) -> Self {
        ApiError {
            status,
            kind: ErrorKind::InvalidRequest,
            code,
            param: param.map(str::to_owned),
            message: message.into(),
        }
    }

    /// An invalid value: 400 `invalid_value`.
    pub fn invalid_value(param: &str, message: impl Into<String>) -> Self {
        ApiError::invalid(400, "invalid_value", Some(param), message)
    }

    /// A failure of the service.
    pub fn server(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        ApiError {
            status,
            kind: ErrorKind::Server,
            code,
            param: None,
            message: message.into(),
        }
    }

    /// The body of the response.
    pub fn to_json(&self) -> String {
        let body = ErrorBody {
            error: ErrorDetail {
                message: &self.message,
                r#type: self.kind,
                param: self.param.as_deref(),
                code: self.code,
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// The error as the last event of a stream.
    pub fn to_event(&self) -> String {
        format!("data: {}\n\n", self.to_json())
    }
}
