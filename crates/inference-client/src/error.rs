//! Why a call fails.

use std::time::Duration;

use serde::Deserialize;

use crate::types::ApiErrorBody;

/// Why a call has no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address of the service is invalid.
    #[error("{0:?} is not an address such as http://host:port")]
    InvalidAddress(String),
    /// No connection was established, or it ended before the whole request was written: the request
    /// has not been executed.
    #[error("the request could not be sent: {0}")]
    NotSent(String),
    /// The connection ended before the response: the request may have been executed.
    #[error("the connection ended before the answer; the request may have run")]
    ConnectionLost,
    /// The stream broke off.
    #[error("the answer broke off")]
    StreamBroken,
    /// The deadline has passed.
    #[error("the deadline has passed")]
    DeadlineExceeded,
    /// The service responded with an error. The status is 200 if the error came in a stream.
    #[error("{status}: {}", error.message)]
    Api {
        /// The HTTP status.
        status: u16,
        /// The error.
        error: ApiErrorBody,
        /// The delay before a retry that the service asks for.
        retry_after: Option<Duration>,
    },
    /// The request or response is not as the API defines it.
    #[error("the answer cannot be read: {0}")]
    Malformed(String),
}

/// Decodes the body of an error response. If it is not the API's, its text becomes the message.
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
