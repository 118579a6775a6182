//! Errors of calls.

use std::time::Duration;

use serde::Deserialize;

use crate::types::ApiErrorBody;

/// Why a call has failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address of the service is invalid.
    #[error("invalid service address {0:?}: expected http://host:port")]
    InvalidAddress(String),
    /// No connection was established, or it was closed before the complete request was written. The
    /// request has not been executed.
    #[error("the request could not be sent: {0}")]
    NotSent(String),
    /// The connection was closed before the response was received. The request may have been
    /// executed.
    #[error("the connection was closed before the response; the request may have been executed")]
    ConnectionLost,
    /// The connection was closed before the end of the stream, or the stream paused for longer than
    /// the idle timeout.
    #[error("the response stream was interrupted before its end")]
    StreamBroken,
    /// The deadline of the call has passed.
    #[error("the deadline of the call has passed")]
    DeadlineExceeded,
    /// The service responded with an error. The status is 200 if the error was an event of a
    /// stream.
    #[error("{status}: {}", error.message)]
    Api {
        /// The HTTP status code.
        status: u16,
        /// The error in the response body.
        error: ApiErrorBody,
        /// The delay that the service asks for before a retry.
        retry_after: Option<Duration>,
    },
    /// The request cannot be encoded, or the response cannot be decoded.
    #[error("the request cannot be encoded or the response cannot be decoded: {0}")]
    Malformed(String),
}

/// Decodes the body of an error response. If it does not have the form of an API error, its text
/// becomes the message.
pub(crate) fn decode_api_error(body: &[u8]) -> ApiErrorBody {
    #[derive(Deserialize)]
    struct ErrorResponse {
        error: ApiErrorBody,
    }
    match serde_json::from_slice::<ErrorResponse>(body) {
        Ok(response) => response.error,
        Err(_) => ApiErrorBody {
            message: String::from_utf8_lossy(body).into_owned(),
            ..ApiErrorBody::default()
        },
    }
}
