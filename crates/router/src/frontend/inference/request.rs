//! The context that all parts of one request share, and the ids of open requests.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;

use bytes::Bytes;
use cranetack_inference_api::{ApiEndpoint, ApiError};
use cranetack_routing_policy::ClassId;
use http::header::HeaderName;
use http::request::Parts as RequestHead;
use http::{HeaderMap, HeaderValue};
use tokio::time::Instant;

use super::error::RequestError;
use crate::core::IncomingRequest;
use crate::exchange::ForwardedRequest;
use crate::frontend::request_id::is_valid_request_id;

const REQUEST_ID_HEADER: &str = "X-Request-Id";
/// The header with the key by which an endpoint recognises and discards a repeated request.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The ids of open requests. Cheap to clone: clones share the ids.
///
/// The core sees only the ids of a batch's slices, which are derived from the batch's id, so it
/// cannot tell whether that id is in use.
#[derive(Clone, Default)]
pub(super) struct OpenRequestIds(Rc<RefCell<HashSet<Rc<str>>>>);

impl OpenRequestIds {
    /// Marks an id as in use; returns `None` if it already is.
    pub(super) fn open(&self, id: Rc<str>) -> Option<OpenRequestId> {
        if !self.0.borrow_mut().insert(id.clone()) {
            return None;
        }
        Some(OpenRequestId {
            id,
            open: self.clone(),
        })
    }
}

/// The id of an open request. Dropping it makes the id free again.
pub(super) struct OpenRequestId {
    id: Rc<str>,
    open: OpenRequestIds,
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        self.open.0.borrow_mut().remove(&self.id);
    }
}

/// Generates ids for requests whose client gave none.
pub(super) struct RequestIdGenerator {
    /// Distinguishes this router's ids from those of other routers.
    prefix: String,
    count: Cell<u64>,
}

impl RequestIdGenerator {
    /// Creates a generator of ids that begin with `seed` in hexadecimal.
    pub(super) fn new(seed: u64) -> RequestIdGenerator {
        RequestIdGenerator {
            prefix: format!("{seed:016x}"),
            count: Cell::new(0),
        }
    }

    /// Generates a new id.
    pub(super) fn generate(&self) -> Rc<str> {
        self.count.set(self.count.get() + 1);
        Rc::from(format!("{}-{}", self.prefix, self.count.get()))
    }
}

/// Returns the value of a header, if it is present.
pub(super) fn header<'a>(
    head: &'a RequestHead,
    name: &'static str,
) -> Result<Option<&'a str>, RequestError> {
    let value = head.headers.get(name).map(HeaderValue::to_str).transpose();
    value.map_err(|_| ApiError::invalid_value(name, "cannot be read").into())
}

/// Returns the request id that the client gave, if it gave one.
pub(super) fn client_request_id(head: &RequestHead) -> Result<Option<Rc<str>>, RequestError> {
    match header(head, REQUEST_ID_HEADER)? {
        None => Ok(None),
        Some(id) if is_valid_request_id(id) => Ok(Some(id.into())),
        Some(_) => Err(ApiError::invalid_value(REQUEST_ID_HEADER, "must be a plain word").into()),
    }
}

/// How the model that a request names is served.
#[derive(Clone, Copy)]
pub(super) struct ServedModel<'a> {
    /// The name by which endpoints know the model.
    pub(super) name: &'a str,
    /// The class of the request.
    pub(super) class: ClassId,
    /// The kinds of endpoint that have the model, one bit for each; `None` for all kinds.
    pub(super) allowed_kinds: Option<u64>,
}

/// The context that all parts of a request share, such as the slices of a batch.
pub(super) struct RequestContext {
    pub(super) id: OpenRequestId,
    pub(super) endpoint: ApiEndpoint,
    pub(super) tenant: Option<Rc<str>>,
    /// The session that the client named.
    pub(super) session: Option<String>,
    /// The query of the request's target, with the question mark; empty if there is none.
    pub(super) query: String,
    /// The key by which endpoints discard repeated requests, if the client gave one.
    pub(super) idempotency_key: Option<HeaderValue>,
    /// When the response must have begun.
    pub(super) deadline: Instant,
}

impl RequestContext {
    /// Returns the request's id.
    pub(super) fn id(&self) -> &Rc<str> {
        &self.id.id
    }

    /// Returns a session's name qualified by the tenant, so that two tenants that choose the same
    /// name have different sessions.
    pub(super) fn tenant_session(&self, name: &str) -> String {
        format!("{}/{name}", self.tenant.as_deref().unwrap_or(""))
    }

    /// Builds the request that is forwarded to endpoints at `path`.
    pub(super) fn forwarded_request(&self, path: &str, body: Bytes) -> ForwardedRequest {
        ForwardedRequest {
            target: format!("{path}{}", self.query),
            media_type: "application/json".to_owned(),
            headers: HeaderMap::new(),
            body: body.into(),
        }
    }

    /// Builds the request that is submitted to the core for one part of this request. Clients
    /// of this API cannot state a shared prefix or an expected duration, and they cannot request
    /// the rest of a broken stream. `max_tokens` is 0; a chat request sets it afterwards if its
    /// client states a maximum.
    pub(super) fn incoming_request(
        &self,
        request_id: Rc<str>,
        model: ServedModel<'_>,
        prompt_tokens: u64,
        message: ForwardedRequest,
    ) -> IncomingRequest {
        let session = self.session.as_ref();
        IncomingRequest {
            request_id,
            class: model.class,
            session: session.map(|name| self.tenant_session(name)),
            shared_prefix: None,
            time_to_first_byte: self.deadline.saturating_duration_since(Instant::now()),
            expected_duration: None,
            prompt_tokens,
            shared_prefix_tokens: 0,
            max_tokens: 0,
            is_retry: false,
            is_resumed: false,
            client_can_resume: false,
            allowed_kinds: model.allowed_kinds,
            message: Rc::new(message),
        }
    }
}
