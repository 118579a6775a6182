//! The platform's front: chat completions, described by headers, whose bodies pass unread.

use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use cranetack_routing_policy::ClassId;
use cranetack_settings::SiteSettings;
use http::header::{CONNECTION, CONTENT_TYPE};
use http::request::Parts as Head;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};

use super::byte_budget::ByteBudget;
use super::connection_state::REQUEST_BODY_LIMIT;
use super::headers::end_to_end;
use super::request_id::is_valid_request_id;
use super::response::{set_retry_after, streaming_response};
use super::{BodyError, Frontend, Readiness, RequestBody, ResponseBody};
use crate::core::{Handle, IncomingRequest};
use crate::exchange::{FinalResponse, Message};

const CHAT: &str = "/v1/chat/completions";
const UP: &str = "/up";

/// The front as a service.
#[derive(Clone)]
pub struct Platform {
    handle: Handle,
    classes: Rc<Vec<String>>,
    readiness: Readiness,
    budget: ByteBudget,
}

impl Platform {
    /// A front that hands its requests to `handle`.
    pub fn new(handle: Handle, site: &SiteSettings, readiness: Readiness) -> Platform {
        let classes = Rc::new(site.classes.iter().map(|c| c.name.clone()).collect());
        Platform {
            handle,
            classes,
            readiness,
            budget: ByteBudget::new(usize::MAX),
        }
    }

    async fn chat(&self, request: Request<RequestBody>) -> Result<Response<ResponseBody>, Wrong> {
        let (head, body) = request.into_parts();
        // The number of connections bounds what bodies hold here.
        let (body, _reservation) = body
            .read_to_end(None, REQUEST_BODY_LIMIT, &self.budget)
            .await?;
        let caller = self.handle.submit(decode(&head, body, &self.classes)?);
        let (answer, gone) = caller.response().await;
        Ok(match answer {
            FinalResponse::Streaming { media_type, body } => {
                streaming_response(&media_type, body, gone)
            }
            FinalResponse::Rejected(pause) => {
                let mut response = text(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "refused: there is no room now\n",
                );
                set_retry_after(&mut response, pause);
                response
            }
            FinalResponse::Failed => text(StatusCode::BAD_GATEWAY, "failed: it may have run\n"),
            FinalResponse::DuplicateId => text(
                StatusCode::CONFLICT,
                "another request with this id is open\n",
            ),
        })
    }
}

impl Frontend for Platform {
    async fn respond(self, request: Request<RequestBody>) -> Response<ResponseBody> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, UP) if self.readiness.is_ready() => text(StatusCode::OK, "ready\n"),
            (&Method::GET, UP) => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            (&Method::POST, CHAT) => self.chat(request).await.unwrap_or_else(Wrong::response),
            (_, UP | CHAT) => text(
                StatusCode::METHOD_NOT_ALLOWED,
                "this method is not served here\n",
            ),
            _ => text(StatusCode::NOT_FOUND, "there is nothing at this path\n"),
        }
    }
}

fn text(status: StatusCode, text: impl Into<bytes::Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(text));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    response
}

/// What is wrong with a request.
#[derive(Debug, PartialEq, thiserror::Error)]
enum Wrong {
    #[error("the header {0} is missing")]
    Missing(&'static str),
    #[error("the header {0} cannot be read")]
    Unreadable(&'static str),
    #[error("the class {0:?} is not known")]
    Class(String),
    #[error(transparent)]
    Body(#[from] BodyError),
}

impl Wrong {
    fn response(self) -> Response<ResponseBody> {
        let status = match self {
            Wrong::Body(error) => error.status(),
            _ => StatusCode::BAD_REQUEST,
        };
        let mut response = text(status, format!("{self}\n"));
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
        response
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Wrong> {
    let value = headers.get(name).map(HeaderValue::to_str).transpose();
    value.map_err(|_| Wrong::Unreadable(name))
}

fn needed<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, Wrong> {
    header(headers, name)?
        .filter(|v| !v.is_empty())
        .ok_or(Wrong::Missing(name))
}

fn number<T: FromStr>(text: &str, name: &'static str) -> Result<T, Wrong> {
    text.trim().parse().map_err(|_| Wrong::Unreadable(name))
}

fn decode(head: &Head, body: bytes::Bytes, classes: &[String]) -> Result<IncomingRequest, Wrong> {
    let headers = &head.headers;
    let name = needed(headers, "X-Request-Id")?;
    if !is_valid_request_id(name) {
        return Err(Wrong::Unreadable("X-Request-Id"));
    }
    let class = needed(headers, "X-Class")?;
    let class = classes
        .iter()
        .position(|c| c == class)
        .ok_or_else(|| Wrong::Class(class.to_owned()))?;
    let time_to_first_byte: u32 = number(needed(headers, "X-Deadline-Ms")?, "X-Deadline-Ms")?;
    let hint = header(headers, "X-Cost-Hint")?
        .map(|v| number::<u32>(v, "X-Cost-Hint"))
        .transpose()?;
    let retry = header(headers, "X-Retry")?;
    let target = head
        .uri
        .path_and_query()
        .map_or(CHAT, |t| t.as_str())
        .to_owned();
    let media_type = header(headers, "content-type")?
        .unwrap_or("application/json")
        .to_owned();
    let mut incoming = IncomingRequest {
        request_id: name.into(),
        class: ClassId(class),
        session: header(headers, "X-Key")?.map(str::to_owned),
        shared_prefix: None,
        time_to_first_byte: Duration::from_millis(time_to_first_byte.into()),
        expected_duration: hint.map(|ms| Duration::from_millis(ms.into())),
        prompt_tokens: 0,
        shared_prefix_tokens: 0,
        max_tokens: 0,
        is_retry: retry.is_some(),
        is_resumed: retry == Some("again"),
        allowed_kinds: None,
        message: Rc::new(Message {
            target,
            media_type,
            headers: end_to_end(headers),
            body,
        }),
    };
    for pair in header(headers, "X-Extras")?.unwrap_or("").split(',') {
        let Some((key, value)) = pair.trim().split_once('=') else {
            continue;
        };
        match key {
            "prefix" => incoming.shared_prefix = Some(value.to_owned()),
            "prompt_len" => incoming.prompt_tokens = number(value, "X-Extras")?,
            "prefix_len" => incoming.shared_prefix_tokens = number(value, "X-Extras")?,
            "max_out" => incoming.max_tokens = number(value, "X-Extras")?,
            _ => {}
        }
    }
    Ok(incoming)
}

#[cfg(test)]
mod tests;
