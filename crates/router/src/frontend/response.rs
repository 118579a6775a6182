//! Helpers to build responses, shared by all frontends.

use std::time::Duration;

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response};

use super::response_body::ResponseBody;
use crate::exchange::{BodyStream, DisconnectGuard};

/// Returns a response that forwards an endpoint's response body to the client.
pub(super) fn streaming_response(
    media_type: &str,
    stream: BodyStream,
    disconnect_guard: DisconnectGuard,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::stream(stream, disconnect_guard));
    if let Ok(media_type) = HeaderValue::from_str(media_type) {
        response.headers_mut().insert(CONTENT_TYPE, media_type);
    }
    response
}

/// Sets the `Retry-After` header, unless the delay is zero.
pub(super) fn set_retry_after(response: &mut Response<ResponseBody>, delay: Duration) {
    if delay.is_zero() {
        return;
    }
    if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
}
