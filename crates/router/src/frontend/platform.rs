//! The platform API: chat completions that are described by request headers. Request bodies are
//! forwarded without being decoded.

use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use cranetack_routing_policy::ClassId;
use cranetack_settings::SiteSettings;
use http::header::{CONNECTION, CONTENT_TYPE};
use http::request::Parts as RequestHead;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};

use super::byte_budget::ByteBudget;
use super::connection_state::REQUEST_BODY_LIMIT;
use super::headers::end_to_end_headers;
use super::request_id::is_valid_request_id;
use super::response::{set_retry_after, streaming_response};
use super::{BodyError, Frontend, FrontendContext, Readiness, RequestBody, ResponseBody};
use crate::core::{Handle, IncomingRequest};
use crate::exchange::{FinalResponse, ForwardedRequest, Payload};

const CHAT_PATH: &str = "/v1/chat/completions";
const READINESS_PATH: &str = "/up";

const REQUEST_ID: &str = "X-Request-Id";
const CLASS: &str = "X-Class";
const DEADLINE_MS: &str = "X-Deadline-Ms";
const COST_HINT: &str = "X-Cost-Hint";
const SESSION: &str = "X-Key";
const RETRY: &str = "X-Retry";
const EXTRAS: &str = "X-Extras";

/// The value of the [`RETRY`] header with which a client resumes a broken stream.
const RETRY_RESUMED: &str = "again";

/// The platform API as a frontend. Cheap to clone.
#[derive(Clone)]
pub struct Platform {
    handle: Handle,
    class_names: Rc<Vec<String>>,
    readiness: Readiness,
    budget: ByteBudget,
}

impl Platform {
    /// Creates a frontend that submits its requests to the context's core, and holds their bodies
    /// within its memory.
    pub fn new(context: FrontendContext, site: &SiteSettings, readiness: Readiness) -> Platform {
        let class_names = site.classes.iter().map(|c| c.name.clone()).collect();
        Platform {
            handle: context.handle,
            class_names: Rc::new(class_names),
            readiness,
            budget: ByteBudget::for_requests_only(&context.memory),
        }
    }

    fn readiness_response(&self) -> Response<ResponseBody> {
        if self.readiness.is_ready() {
            text_response(StatusCode::OK, "ready\n")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    async fn chat(
        &self,
        request: Request<RequestBody>,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let (head, body) = request.into_parts();
        let waited = body.waited();
        let (body, reservation) = body.read_segments(REQUEST_BODY_LIMIT, &self.budget).await?;
        let mut incoming = decode(&head, body, &self.class_names)?;
        // What is forwarded has been copied out of the head.
        drop(head);
        if !waited.is_zero() && waited >= incoming.time_to_first_byte {
            return Err(RequestError::DeadlinePassed);
        }
        incoming.time_to_first_byte -= waited;
        let (response, disconnect_guard) = self.handle.submit(incoming).response().await;
        // The request is not sent again, so its body is no longer held.
        drop(reservation);
        Ok(match response {
            FinalResponse::Streaming { media_type, body } => {
                streaming_response(&media_type, body, disconnect_guard)
            }
            FinalResponse::Rejected(retry_after) => {
                let mut response = text_response(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "refused: there is no room now\n",
                );
                set_retry_after(&mut response, retry_after);
                response
            }
            FinalResponse::Failed => {
                text_response(StatusCode::BAD_GATEWAY, "failed: it may have run\n")
            }
            FinalResponse::DuplicateId => text_response(
                StatusCode::CONFLICT,
                "another request with this id is open or may have run\n",
            ),
        })
    }
}

impl Frontend for Platform {
    fn reject(&self, reason: BodyError) -> Response<ResponseBody> {
        RequestError::Body(reason).into_response()
    }

    async fn respond(self, request: Request<RequestBody>) -> Response<ResponseBody> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, READINESS_PATH) => self.readiness_response(),
            (&Method::POST, CHAT_PATH) => self
                .chat(request)
                .await
                .unwrap_or_else(RequestError::into_response),
            (_, READINESS_PATH | CHAT_PATH) => text_response(
                StatusCode::METHOD_NOT_ALLOWED,
                "this method is not served here\n",
            ),
            _ => text_response(StatusCode::NOT_FOUND, "there is nothing at this path\n"),
        }
    }
}

fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(text));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    response
}

/// The reason why a request cannot be read or decoded.
#[derive(Debug, PartialEq, thiserror::Error)]
enum RequestError {
    #[error("the header {0} is missing")]
    MissingHeader(&'static str),
    #[error("the header {0} cannot be read")]
    InvalidHeader(&'static str),
    #[error("the class {0:?} is not known")]
    UnknownClass(String),
    #[error("refused: the deadline has passed")]
    DeadlinePassed,
    #[error(transparent)]
    Body(#[from] BodyError),
}

impl RequestError {
    fn into_response(self) -> Response<ResponseBody> {
        let status = match self {
            RequestError::Body(error) => error.status(),
            RequestError::DeadlinePassed => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::MissingHeader(_)
            | RequestError::InvalidHeader(_)
            | RequestError::UnknownClass(_) => StatusCode::BAD_REQUEST,
        };
        let mut response = text_response(status, format!("{self}\n"));
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
        response
    }
}

fn optional_header<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, RequestError> {
    let value = headers.get(name).map(HeaderValue::to_str).transpose();
    value.map_err(|_| RequestError::InvalidHeader(name))
}

/// Returns the value of a header that must be present and not empty.
fn required_header<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<&'a str, RequestError> {
    match optional_header(headers, name)? {
        Some(value) if !value.is_empty() => Ok(value),
        _ => Err(RequestError::MissingHeader(name)),
    }
}

fn parse_number<T: FromStr>(text: &str, header: &'static str) -> Result<T, RequestError> {
    let number = text.trim().parse();
    number.map_err(|_| RequestError::InvalidHeader(header))
}

fn decode(
    head: &RequestHead,
    body: Payload,
    class_names: &[String],
) -> Result<IncomingRequest, RequestError> {
    let headers = &head.headers;
    let request_id = required_header(headers, REQUEST_ID)?;
    if !is_valid_request_id(request_id) {
        return Err(RequestError::InvalidHeader(REQUEST_ID));
    }
    let class = decode_class(headers, class_names)?;
    let time_to_first_byte: u32 =
        parse_number(required_header(headers, DEADLINE_MS)?, DEADLINE_MS)?;
    let expected_duration: Option<u32> = match optional_header(headers, COST_HINT)? {
        Some(milliseconds) => Some(parse_number(milliseconds, COST_HINT)?),
        None => None,
    };
    let retry = optional_header(headers, RETRY)?;
    let message = forwarded_request(head, body)?;
    let session = optional_header(headers, SESSION)?;
    let extras = Extras::decode(optional_header(headers, EXTRAS)?.unwrap_or(""))?;
    Ok(IncomingRequest {
        request_id: request_id.into(),
        class,
        session: session.map(str::to_owned),
        shared_prefix: extras.shared_prefix,
        time_to_first_byte: Duration::from_millis(time_to_first_byte.into()),
        expected_duration: expected_duration.map(|ms| Duration::from_millis(ms.into())),
        prompt_tokens: extras.prompt_tokens,
        shared_prefix_tokens: extras.shared_prefix_tokens,
        max_tokens: extras.max_tokens,
        is_retry: retry.is_some(),
        is_resumed: retry == Some(RETRY_RESUMED),
        client_can_resume: true,
        allowed_kinds: None,
        message: Rc::new(message),
    })
}

fn decode_class(headers: &HeaderMap, class_names: &[String]) -> Result<ClassId, RequestError> {
    let name = required_header(headers, CLASS)?;
    match class_names.iter().position(|known| known == name) {
        Some(index) => Ok(ClassId(index)),
        None => Err(RequestError::UnknownClass(name.to_owned())),
    }
}

/// Builds the request that is forwarded to an endpoint.
fn forwarded_request(head: &RequestHead, body: Payload) -> Result<ForwardedRequest, RequestError> {
    let target = match head.uri.path_and_query() {
        Some(target) => target.as_str(),
        None => CHAT_PATH,
    };
    let media_type = optional_header(&head.headers, "content-type")?.unwrap_or("application/json");
    Ok(ForwardedRequest {
        target: target.to_owned(),
        media_type: media_type.to_owned(),
        headers: end_to_end_headers(&head.headers),
        body,
    })
}

/// The key-value pairs of the [`EXTRAS`] header that the router uses; others are ignored.
#[derive(Default)]
struct Extras {
    shared_prefix: Option<String>,
    prompt_tokens: u64,
    shared_prefix_tokens: u64,
    max_tokens: u64,
}

impl Extras {
    fn decode(text: &str) -> Result<Extras, RequestError> {
        let mut extras = Extras::default();
        for pair in text.split(',') {
            let Some((key, value)) = pair.trim().split_once('=') else {
                continue;
            };
            match key {
                "prefix" => extras.shared_prefix = Some(value.to_owned()),
                "prompt_len" => extras.prompt_tokens = parse_number(value, EXTRAS)?,
                "prefix_len" => extras.shared_prefix_tokens = parse_number(value, EXTRAS)?,
                "max_out" => extras.max_tokens = parse_number(value, EXTRAS)?,
                _ => {}
            }
        }
        Ok(extras)
    }
}

#[cfg(test)]
mod tests;
