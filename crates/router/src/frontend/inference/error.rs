//! Errors of requests that get no response from an endpoint, and the responses that clients get
//! instead.

use std::time::Duration;

use cranetack_inference_api::ApiError;
use http::header::{ALLOW, CONNECTION, CONTENT_TYPE};
use http::{HeaderValue, Response, StatusCode};

use crate::frontend::{BodyError, ResponseBody};

/// Delay after which a retry is worthwhile if the byte budget is used up, the router is shutting
/// down, or the directory of tenants has not been read yet.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The `code` of the error for requests that arrive before the directory of tenants has been read.
const TENANTS_UNKNOWN: &str = "tenants_unknown";

/// The reason why a request gets no response from an endpoint.
#[derive(Debug)]
pub(super) enum RequestError {
    /// The request is invalid, or the service cannot serve it.
    Api(ApiError),
    /// The request body was not read.
    Body(BodyError),
    /// The path allows only this method.
    MethodNotAllowed(&'static str),
    /// The request was rejected and has had no effect.
    Rejected { retry_after: Duration },
    /// The response had not begun by the deadline.
    DeadlineExceeded,
    /// The request may have been executed, but there is no usable response.
    UpstreamFailed,
    /// Another request with the same id is open, or may have been executed.
    DuplicateId,
}

impl From<ApiError> for RequestError {
    fn from(error: ApiError) -> RequestError {
        RequestError::Api(error)
    }
}

impl RequestError {
    /// Returns the error for a request that arrives before the directory of tenants has been read.
    pub(super) fn tenants_unknown() -> RequestError {
        let message = "the directory of tenants has not been read yet";
        RequestError::Api(ApiError::server(503, TENANTS_UNKNOWN, message))
    }

    /// Returns the delay after which a retry is worthwhile, if it is known.
    pub(super) fn retry_after(&self) -> Option<Duration> {
        match self {
            RequestError::Rejected { retry_after } => Some(*retry_after),
            RequestError::Body(
                BodyError::BudgetExhausted
                | BodyError::TooManyConnections
                | BodyError::ShuttingDown,
            ) => Some(DEFAULT_RETRY_AFTER),
            RequestError::Api(error) if error.code == TENANTS_UNKNOWN => Some(DEFAULT_RETRY_AFTER),
            _ => None,
        }
    }

    fn to_api_error(&self) -> ApiError {
        match self {
            RequestError::Api(error) => error.clone(),
            RequestError::Body(error) => body_error(*error),
            RequestError::MethodNotAllowed(allowed) => ApiError::invalid_request(
                405,
                "method_not_supported",
                None,
                format!("this path takes {allowed}"),
            ),
            RequestError::Rejected { .. } => ApiError::server(
                503,
                "overloaded",
                "there is no room now; trying again is harmless",
            ),
            RequestError::DeadlineExceeded => ApiError::server(
                504,
                "deadline_exceeded",
                "no answer had begun by the deadline",
            ),
            RequestError::UpstreamFailed => ApiError::server(
                502,
                "upstream_failed",
                "the request failed; it may have run",
            ),
            RequestError::DuplicateId => ApiError::invalid_request(
                409,
                "id_in_use",
                Some("X-Request-Id"),
                "another request with this id is open or may have run",
            ),
        }
    }

    /// Converts the error to the response that the client gets.
    pub(super) fn to_response(&self) -> Response<ResponseBody> {
        let error = self.to_api_error();
        let mut response = json_response(ResponseBody::full(error.to_json()));
        *response.status_mut() =
            StatusCode::from_u16(error.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        match self {
            RequestError::MethodNotAllowed(allowed) => {
                headers.insert(ALLOW, HeaderValue::from_static(allowed));
            }
            // The rest of the body is not read, so the connection cannot take another request.
            RequestError::Body(_) => {
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            _ => {}
        }
        response
    }
}

fn body_error(error: BodyError) -> ApiError {
    match error {
        BodyError::BudgetExhausted | BodyError::TooManyConnections | BodyError::ShuttingDown => {
            ApiError::server(503, "overloaded", error.to_string())
        }
        error => ApiError::invalid_request(
            error.status().as_u16(),
            "invalid_body",
            None,
            error.to_string(),
        ),
    }
}

/// Returns a response with a JSON body and status 200.
pub(super) fn json_response(body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
