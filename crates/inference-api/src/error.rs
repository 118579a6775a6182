//! Errors as the API encodes them: `{"error": {"message", "type", "param", "code"}}`.

use serde::Serialize;

/// Maximum length in bytes of a message. A message may quote what a client has sent.
const MAX_MESSAGE_BYTES: usize = 2_048;

/// Kind of an error, which the API encodes as its `type`.
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

/// An error of the API, with the status of its response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {message}")]
pub struct ApiError {
    /// HTTP status of the response.
    pub status: u16,
    /// Kind of the error, the `type` of the response.
    pub kind: ErrorKind,
    /// Machine-readable code, the `code` of the response.
    pub code: &'static str,
    /// Name of the invalid field or header.
    pub param: Option<String>,
    /// Message for human readers.
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
    /// Creates an error for an invalid request.
    pub fn invalid_request(
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
            message: truncated(message.into()),
        }
    }

    /// Creates an error for an invalid value, with status 400 and the code `invalid_value`.
    pub fn invalid_value(param: &str, message: impl Into<String>) -> Self {
        ApiError::invalid_request(400, "invalid_value", Some(param), message)
    }

    /// Creates an error for a failure of the service.
    pub fn server(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        ApiError {
            status,
            kind: ErrorKind::Server,
            code,
            param: None,
            message: message.into(),
        }
    }

    /// Encodes the error as the body of a response.
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

    /// Encodes the error as the last event of a stream.
    pub fn to_event(&self) -> String {
        format!("data: {}\n\n", self.to_json())
    }
}

/// Returns a message, cut off at [`MAX_MESSAGE_BYTES`].
fn truncated(mut message: String) -> String {
    if message.len() > MAX_MESSAGE_BYTES {
        message.truncate(message.floor_char_boundary(MAX_MESSAGE_BYTES));
        message.shrink_to_fit();
        message.push_str("...");
    }
    message
}
