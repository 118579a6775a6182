//! The second front: embeddings, rerank and models beside chat, as public inference interfaces have them. It is
//! off unless an operator's file sets it up. It hands requests to the same core; what it decides itself, the
//! slices of batches, is the [`queue`]'s engine's.

mod held;
mod queue;
mod setup;
mod stream;

use std::cell::{Cell, RefCell};
use std::collections::hash_map::DefaultHasher;
use std::collections::HashSet;
use std::future::poll_fn;
use std::hash::{Hash, Hasher};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cranetack_batch_scheduler::{BatchOutcome, BatchSpec, Flow, SliceDispatch, SliceFailure};
use cranetack_inference_api::{
    join, ApiError, Batch, Catalogue, Chat, Endpoint, Fold, Form, Kind, Part, Resolved,
};
use cranetack_routing_policy::{ClassId, Idempotency, Settings};
use cranetack_settings::SiteSettings;
use http::header::{HeaderName, ALLOW, CONNECTION, CONTENT_TYPE};
use http::request::Parts as Head;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use tokio::sync::watch;
use tokio::time::Instant;

use super::byte_budget::{ByteBudget, ByteReservation};
use super::request_id::is_valid_request_id;
use super::response::{set_retry_after, streaming_response};
use super::{BodyError, ClientLimits, Frontend, RequestBody, ResponseBody};
use crate::core::{Handle, IncomingRequest};
use crate::exchange::{BodyStream, FinalResponse, IncompleteBody, Message};
use crate::shutdown::Phase;
use crate::tenants::{Bearer, Tenants};
use held::Held;
use queue::{Queue, Turn};
use stream::EventStream;

pub use setup::{Batches, Limits, Named, Served, Setup};

/// By which a server discards repeats of a request.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const CHAT: &str = "/v1/chat/completions";
const EMBEDDINGS: &str = "/v1/embeddings";
const RERANK: &str = "/v1/rerank";
const RERANK_2: &str = "/v2/rerank";
const MODELS: &str = "/v1/models";
const EVENTS: &str = "text/event-stream";
/// The longest that a client may ask to wait.
const PATIENCE_MOST: Duration = Duration::from_secs(600);
/// The longest pause that a client is told where the settings are silent.
const COME_BACK_MOST: Duration = Duration::from_secs(10);
/// What a stream's parts count for while they wait for its client.
const STREAM_HELD: usize = 64 * 1024;
/// After how long a client may come back where all bytes are in use.
const ROOM_AGAIN: Duration = Duration::from_millis(500);

/// Why a request has no answer of a server's.
#[derive(Debug)]
enum Failure {
    Api(ApiError),
    Body(BodyError),
    Method(&'static str),
    Refused(Duration),
    Deadline,
    Failed,
    Taken,
}

impl From<ApiError> for Failure {
    fn from(error: ApiError) -> Failure {
        Failure::Api(error)
    }
}

impl Failure {
    fn error(&self) -> ApiError {
        match self {
            Failure::Api(error) => error.clone(),
            Failure::Body(BodyError::BudgetExhausted) => {
                ApiError::server(503, "overloaded", BodyError::BudgetExhausted.to_string())
            }
            Failure::Body(error) => ApiError::invalid(
                error.status().as_u16(),
                "invalid_body",
                None,
                error.to_string(),
            ),
            Failure::Method(allowed) => ApiError::invalid(
                405,
                "method_not_supported",
                None,
                format!("this path takes {allowed}"),
            ),
            Failure::Refused(_) => ApiError::server(
                503,
                "overloaded",
                "there is no room now; trying again is harmless",
            ),
            Failure::Deadline => ApiError::server(
                504,
                "deadline_exceeded",
                "no answer had begun by the deadline",
            ),
            Failure::Failed => ApiError::server(
                502,
                "upstream_failed",
                "the request failed; it may have run",
            ),
            Failure::Taken => {
                let message = "another request with this id is open";
                ApiError::invalid(409, "id_in_use", Some("X-Request-Id"), message)
            }
        }
    }

    fn response(&self) -> Response<ResponseBody> {
        let error = self.error();
        let mut response = json_response(ResponseBody::full(error.to_json()));
        *response.status_mut() =
            StatusCode::from_u16(error.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        match self {
            Failure::Method(allowed) => {
                drop(headers.insert(ALLOW, HeaderValue::from_static(allowed)))
            }
            // What is left of the body is not read.
            Failure::Body(_) => drop(headers.insert(CONNECTION, HeaderValue::from_static("close"))),
            _ => {}
        }
        response
    }
}

fn json_response(body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// The front as a service. Cheap to clone.
#[derive(Clone)]
pub struct Inference(Rc<Inner>);

struct Inner {
    handle: Handle,
    setup: Setup,
    settings: Settings,
    /// The class of each endpoint whose model names none.
    classes: [usize; 3],
    catalogue: Catalogue,
    tenants: Option<Tenants>,
    budget: ByteBudget,
    queue: Queue,
    phase: watch::Receiver<Phase>,
    /// Ids of requests that are open: a batch's slices go by names made of it.
    open: Rc<RefCell<HashSet<Rc<str>>>>,
    /// For ids of requests whose clients gave none: the router's own name and a count.
    own: (String, Cell<u64>),
}

/// An id that is in use until this is dropped.
struct Name {
    name: Rc<str>,
    open: Rc<RefCell<HashSet<Rc<str>>>>,
}

impl Drop for Name {
    fn drop(&mut self) {
        self.open.borrow_mut().remove(&self.name);
    }
}

/// What all slices of a request share.
struct Order {
    name: Name,
    endpoint: Endpoint,
    tenant: Option<Rc<str>>,
    session: Option<String>,
    query: String,
    /// By which servers discard repeats, where the client gave one.
    idempotency_key: Option<HeaderValue>,
    due: Instant,
}

impl Order {
    /// Sessions of two tenants are two, whatever their names.
    fn own_session(&self, name: &str) -> String {
        format!("{}/{name}", self.tenant.as_deref().unwrap_or(""))
    }
}

/// A model as it is served.
#[derive(Clone, Copy)]
struct Known<'a> {
    name: &'a str,
    class: ClassId,
    kinds: Option<u64>,
}

/// What a slice came to.
enum Sliced {
    Served(Part, ByteReservation),
    Failed(SliceFailure),
    Taken,
}

impl Inference {
    /// A front that hands its requests to `handle`. `seed` keeps the ids it gives apart from other routers'. Must
    /// be called within a `LocalSet`. The setup must have passed its check.
    pub fn new(
        handle: Handle,
        setup: Setup,
        site: &SiteSettings,
        settings: &Settings,
        tenants: Option<Tenants>,
        seed: u64,
        phase: watch::Receiver<Phase>,
    ) -> Inference {
        let class = |name: &str| {
            site.classes
                .iter()
                .position(|c| c.name == name)
                .unwrap_or(0)
        };
        let most = settings
            .max_retry_after
            .and_then(|us| u64::try_from(us).ok())
            .map(Duration::from_micros);
        Inference(Rc::new(Inner {
            handle,
            classes: Endpoint::ALL.map(|endpoint| class(&setup.served(endpoint).class)),
            catalogue: setup.catalogue(site).unwrap_or_default(),
            settings: settings.clone(),
            tenants,
            budget: ByteBudget::new(setup.limits.held_bytes),
            queue: Queue::new(setup.batches.settings(most.unwrap_or(COME_BACK_MOST))),
            setup,
            phase,
            open: Rc::default(),
            own: (format!("{seed:016x}"), Cell::new(0)),
        }))
    }
}

impl Inner {
    async fn route(
        &self,
        name: Rc<str>,
        request: Request<RequestBody>,
    ) -> Result<Response<ResponseBody>, Failure> {
        let (head, body) = request.into_parts();
        let (endpoint, form) = match head.uri.path() {
            CHAT => (Endpoint::Chat, None),
            EMBEDDINGS => (Endpoint::Embeddings, Some(Form::Embeddings)),
            RERANK => (Endpoint::Rerank, Some(Form::RerankV1)),
            RERANK_2 => (Endpoint::Rerank, Some(Form::RerankV2)),
            path => return self.models(path, &head),
        };
        if head.method != Method::POST {
            return Err(Failure::Method("POST"));
        }
        let order = self.order(name, &head, endpoint)?;
        let body = body
            .read_to_end(
                Some(&head.headers),
                self.setup.limits.body_bytes,
                &self.budget,
            )
            .await;
        let (body, reservation) = body.map_err(Failure::Body)?;
        match form {
            None => self.chat(order, body, reservation).await,
            Some(form) => {
                let batch = Batch::decode(form, body, &self.setup.limits.bounds())?;
                self.batch(order, batch, reservation).await
            }
        }
    }

    /// `/v1/models` and `/v1/models/{id}`.
    fn models(&self, path: &str, head: &Head) -> Result<Response<ResponseBody>, Failure> {
        let rest = path
            .strip_prefix(MODELS)
            .filter(|rest| rest.is_empty() || rest.starts_with('/'));
        let Some(rest) = rest else {
            return Err(ApiError::invalid(
                404,
                "unknown_url",
                None,
                "there is nothing at this path",
            )
            .into());
        };
        if head.method != Method::GET {
            return Err(Failure::Method("GET"));
        }
        self.tenant(header(head, "authorization")?)?;
        let text = match rest.trim_start_matches('/') {
            "" => self.catalogue.list(),
            id => self.catalogue.show(&unescaped(id))?,
        };
        Ok(json_response(ResponseBody::full(text)))
    }

    fn order(&self, name: Rc<str>, head: &Head, endpoint: Endpoint) -> Result<Order, Failure> {
        let time_to_first_byte = match header(head, "X-Deadline-Ms")?.map(str::parse::<u32>) {
            None => Duration::from_millis(self.setup.served(endpoint).deadline_ms.into()),
            Some(Ok(ms)) => Duration::from_millis(ms.into()).min(PATIENCE_MOST),
            Some(Err(_)) => {
                return Err(ApiError::value("X-Deadline-Ms", "must be whole milliseconds").into())
            }
        };
        let tenant = self.tenant(header(head, "authorization")?)?;
        let session = header(head, "X-Key")?.map(str::to_owned);
        if !self.open.borrow_mut().insert(name.clone()) {
            return Err(Failure::Taken);
        }
        Ok(Order {
            name: Name {
                name,
                open: self.open.clone(),
            },
            endpoint,
            tenant,
            session,
            query: head
                .uri
                .query()
                .map_or(String::new(), |query| format!("?{query}")),
            idempotency_key: head.headers.get(IDEMPOTENCY_KEY).cloned(),
            due: Instant::now() + time_to_first_byte,
        })
    }

    /// The id of a request: its client's, or one that is made up.
    fn name(&self, head: &Head) -> Result<Rc<str>, (Rc<str>, Failure)> {
        let (own, count) = &self.own;
        let made_up = || {
            count.set(count.get() + 1);
            Rc::from(format!("{own}-{}", count.get()))
        };
        match header(head, "X-Request-Id") {
            Ok(None) => Ok(made_up()),
            Ok(Some(id)) if is_valid_request_id(id) => Ok(id.into()),
            Ok(Some(_)) => Err((
                made_up(),
                ApiError::value("X-Request-Id", "must be a plain word").into(),
            )),
            Err(failure) => Err((made_up(), failure)),
        }
    }

    /// Whose request it is, where there are tenants.
    fn tenant(&self, authorization: Option<&str>) -> Result<Option<Rc<str>>, Failure> {
        let Some(tenants) = &self.tenants else {
            return Ok(None);
        };
        let nobody = || ApiError {
            kind: Kind::Authentication,
            ..ApiError::invalid(
                401,
                "invalid_api_key",
                None,
                "the key (Authorization: Bearer KEY) is no tenant's",
            )
        };
        let key = authorization
            .and_then(|a| a.strip_prefix("Bearer "))
            .ok_or_else(nobody)?;
        match tenants.bearer(key.trim()) {
            Bearer::Tenant(name) => Ok(Some(name)),
            Bearer::Unknown => Err(nobody().into()),
            Bearer::NotYet => {
                let message = "the directory of tenants has not been read yet";
                Err(ApiError::server(503, "tenants_unknown", message).into())
            }
        }
    }

    /// The name that servers know a model by, the class that it is served as, and the kinds of server that have it.
    fn model<'a>(&'a self, name: &'a str, endpoint: Endpoint) -> Result<Known<'a>, Failure> {
        let Resolved { name, class, kinds } = self.catalogue.resolve(name, endpoint)?;
        let own = Endpoint::ALL
            .iter()
            .position(|e| *e == endpoint)
            .map_or(0, |at| self.classes[at]);
        Ok(Known {
            name,
            class: ClassId(class.unwrap_or(own)),
            kinds,
        })
    }

    /// What is submitted to the core for a part of a request.
    fn incoming(
        &self,
        order: &Order,
        name: Rc<str>,
        model: Known,
        prompt_tokens: u64,
        message: Message,
    ) -> IncomingRequest {
        IncomingRequest {
            request_id: name,
            class: model.class,
            session: order.session.as_ref().map(|s| order.own_session(s)),
            shared_prefix: None,
            time_to_first_byte: order.due.saturating_duration_since(Instant::now()),
            expected_duration: None,
            prompt_tokens,
            shared_prefix_tokens: 0,
            max_tokens: 0,
            is_retry: false,
            is_resumed: false,
            allowed_kinds: model.kinds,
            message: Rc::new(message),
        }
    }

    async fn chat(
        &self,
        order: Order,
        body: Bytes,
        mut reservation: ByteReservation,
    ) -> Result<Response<ResponseBody>, Failure> {
        let chat = Chat::decode(&body, &self.setup.limits.bounds())?;
        let model = self.model(&chat.model, Endpoint::Chat)?;
        let sent = chat.encode(&body, model.name)?;
        drop(body);
        // What the answer will hold is claimed before anything is sent for it.
        if !reservation.try_grow_to(sent.len().max(STREAM_HELD)) {
            return Err(Failure::Body(BodyError::BudgetExhausted));
        }
        let name = order.name.name.clone();
        let mut message = message(CHAT, &order.query, sent);
        message.headers.extend(
            order
                .idempotency_key
                .clone()
                .map(|key| (IDEMPOTENCY_KEY, key)),
        );
        let mut incoming = self.incoming(&order, name.clone(), model, chat.prompt_tokens, message);
        incoming.max_tokens = chat.max_tokens.unwrap_or(0);
        incoming.session = incoming
            .session
            .or(chat.user.as_ref().map(|user| order.own_session(user)));
        let (answer, gone) = self.handle.submit(incoming).response().await;
        let (media_type, parts) = served(answer, order.due)?;
        // Nothing further is sent for it: the body is let go.
        reservation.shrink_to(STREAM_HELD);
        let events = media_type.starts_with(EVENTS);
        if chat.stream && events {
            let mut response = Response::new(ResponseBody::boxed(EventStream::new(
                parts,
                gone,
                reservation,
            )));
            response
                .headers_mut()
                .insert(CONTENT_TYPE, HeaderValue::from_static(EVENTS));
            return Ok(response);
        }
        if chat.stream {
            return Ok(streaming_response(&media_type, parts, gone));
        }
        if !events {
            let (whole, reservation) = self.whole(parts, reservation).await?;
            serde_json::from_slice::<serde_json::Map<String, serde_json::Value>>(&whole)
                .map_err(|_| Failure::Failed)?;
            return Ok(json_response(ResponseBody::boxed(Held::new(
                whole,
                reservation,
            ))));
        }
        let (whole, reservation) = self.folded(parts, reservation, &name, &chat.model).await?;
        Ok(json_response(ResponseBody::boxed(Held::new(
            whole,
            reservation,
        ))))
    }

    /// The answer that a stream's events make together.
    async fn folded(
        &self,
        mut parts: BodyStream,
        mut reservation: ByteReservation,
        name: &str,
        model: &str,
    ) -> Result<(Bytes, ByteReservation), Failure> {
        let mut fold = Fold::default();
        while let Some(part) = poll_fn(|cx| parts.poll_next(cx)).await {
            match part {
                Ok(part) => fold.push(&part).map_err(|_| Failure::Failed)?,
                // All may have come before it broke off: the fold knows.
                Err(IncompleteBody) => break,
            }
            if fold.held() > self.setup.limits.body_bytes || !reservation.try_grow_to(fold.held()) {
                return Err(Failure::Failed);
            }
        }
        let whole = fold.finish(name, model).ok_or(Failure::Failed)?;
        if !reservation.try_grow_to(whole.len()) {
            return Err(Failure::Failed);
        }
        Ok((whole, reservation))
    }

    /// All parts of an answer.
    async fn whole(
        &self,
        mut parts: BodyStream,
        mut reservation: ByteReservation,
    ) -> Result<(Bytes, ByteReservation), Failure> {
        let mut whole = BytesMut::new();
        while let Some(part) = poll_fn(|cx| parts.poll_next(cx)).await {
            let part = part.map_err(|IncompleteBody| Failure::Failed)?;
            let length = whole.len() + part.len();
            if length > self.setup.limits.body_bytes || !reservation.try_grow_to(length) {
                return Err(Failure::Failed);
            }
            whole.extend_from_slice(&part);
        }
        Ok((whole.freeze(), reservation))
    }

    /// Serves a batch slice by slice. Finished slices are kept; one that fails is asked for again as the engine
    /// decides. The batch has one answer.
    async fn batch(
        &self,
        order: Order,
        batch: Batch,
        reservation: ByteReservation,
    ) -> Result<Response<ResponseBody>, Failure> {
        let model = self.model(&batch.model, order.endpoint)?;
        let mut hasher = DefaultHasher::new();
        order.tenant.hash(&mut hasher);
        let effect = self
            .settings
            .classes
            .get(model.class.0)
            .map(|c| c.idempotency)
            .unwrap_or_default();
        let opening = BatchSpec {
            flow: Flow {
                class: u32::try_from(model.class.0).unwrap_or(u32::MAX),
                tenant: hasher.finish(),
            },
            item_tokens: batch.tokens.clone(),
            shared_tokens: batch.common_tokens,
            initial_slice_tokens: self.setup.served(order.endpoint).slice_tokens,
            deadline: 0,
            is_idempotent: effect == Idempotency::Idempotent,
        };
        let refused =
            |pause: i64| Failure::Refused(Duration::from_micros(u64::try_from(pause).unwrap_or(0)));
        let opened = self.queue.open(order.due, opening);
        let mut ticket = opened.map_err(|refusal| refused(refusal.retry_after))?;
        let mut parts: Vec<(Range<usize>, Part)> = Vec::new();
        let mut reservations = vec![reservation];
        let verdict = loop {
            let slice = match ticket.turn().await {
                Turn::Ended(verdict) => break verdict,
                Turn::Send(slice) => slice,
            };
            // Whatever ends first: dropping the slice takes back the attempt that is out.
            let sliced = tokio::select! {
                biased;
                turn = ticket.turn() => match turn {
                    Turn::Ended(verdict) => break verdict,
                    Turn::Send(_) => break BatchOutcome::Failed,
                },
                sliced = self.slice(&order, &batch, model, &slice) => sliced,
            };
            match sliced {
                Sliced::Served(part, reservation) => {
                    parts.push((slice.items, part));
                    reservations.push(reservation);
                    ticket.served();
                }
                Sliced::Taken => return Err(Failure::Taken),
                // A router that leaves waits for nothing: its clients ask another one.
                Sliced::Failed(SliceFailure::OutOfMemory { retry_after: pause })
                    if *self.phase.borrow() >= Phase::Leaving =>
                {
                    ticket.failed(SliceFailure::Rejected { retry_after: pause });
                }
                Sliced::Failed(failure) => ticket.failed(failure),
            }
        };
        match verdict {
            BatchOutcome::Completed => {}
            BatchOutcome::Rejected(refusal) => return Err(refused(refusal.retry_after)),
            BatchOutcome::Failed => return Err(Failure::Failed),
            BatchOutcome::DeadlineExceeded => return Err(Failure::Deadline),
        }
        drop(ticket);
        let whole = join(&batch, &order.name.name, parts).map_err(|error| {
            tracing::warn!(id = %order.name.name, %error, "slices that do not fit together");
            Failure::Failed
        })?;
        drop(batch);
        reservations.clear();
        let reservation = self.budget.reserve(whole.len()).ok_or(Failure::Failed)?;
        Ok(json_response(ResponseBody::boxed(Held::new(
            whole,
            reservation,
        ))))
    }

    /// Sends one slice and reads its answer.
    async fn slice(
        &self,
        order: &Order,
        batch: &Batch,
        model: Known<'_>,
        slice: &SliceDispatch,
    ) -> Sliced {
        let failed = Sliced::Failed(SliceFailure::Failed);
        // Each slice, and each repeat of one, is a request of its own to the servers.
        let base = &order.name.name;
        let name = if slice.sequence == 0 {
            base.clone()
        } else {
            format!("{base}.{}", slice.sequence).into()
        };
        let body = batch.encode(&slice.items, model.name);
        let pause = i64::try_from(ROOM_AGAIN.as_micros()).unwrap_or(0);
        let Some(sending) = self.budget.reserve(body.len()) else {
            return Sliced::Failed(SliceFailure::OutOfMemory { retry_after: pause });
        };
        let message = message(batch.form.target(), &order.query, body);
        // The guard ends with the slice: a client that leaves takes back the attempt that is out.
        let incoming = self.incoming(order, name, model, slice.tokens, message);
        let (answer, _gone) = self.handle.submit(incoming).response().await;
        let parts = match answer {
            FinalResponse::Streaming { body, .. } => body,
            FinalResponse::Rejected(pause) => {
                let pause = i64::try_from(pause.as_micros()).unwrap_or(i64::MAX);
                return Sliced::Failed(SliceFailure::Rejected { retry_after: pause });
            }
            FinalResponse::Failed => return failed,
            FinalResponse::DuplicateId if slice.sequence == 0 => return Sliced::Taken,
            FinalResponse::DuplicateId => return failed,
        };
        drop(sending);
        let Some(reservation) = self.budget.reserve(0) else {
            return failed;
        };
        let Ok((whole, mut reservation)) = self.whole(parts, reservation).await else {
            return failed;
        };
        match Part::decode(batch, slice.items.len(), &whole) {
            Ok(part) if reservation.try_grow_to(part.held()) => {
                reservation.shrink_to(part.held());
                Sliced::Served(part, reservation)
            }
            Ok(_) => failed,
            Err(error) => {
                tracing::warn!(id = %order.name.name, %error, "a slice's answer is of no use");
                failed
            }
        }
    }

    /// When a client may come back, where the settings allow that it is told.
    fn come_back(&self, failure: &Failure) -> Option<Duration> {
        let pause = match failure {
            Failure::Refused(pause) => *pause,
            Failure::Body(BodyError::BudgetExhausted) => ROOM_AGAIN,
            Failure::Api(error) if error.code == "tenants_unknown" => ROOM_AGAIN,
            _ => return None,
        };
        let most = self
            .settings
            .max_retry_after
            .and_then(|us| u64::try_from(us).ok());
        let pause = most.map_or(pause, |us| pause.min(Duration::from_micros(us)));
        self.settings.retry_after.then_some(pause)
    }
}

fn message(target: &str, query: &str, body: Bytes) -> Message {
    let media_type = "application/json".to_owned();
    Message {
        target: format!("{target}{query}"),
        media_type,
        headers: HeaderMap::new(),
        body,
    }
}

fn header<'a>(head: &'a Head, name: &'static str) -> Result<Option<&'a str>, Failure> {
    let value = head.headers.get(name).map(HeaderValue::to_str).transpose();
    value.map_err(|_| ApiError::value(name, "cannot be read").into())
}

/// The answer of a server, or why there is none.
fn served(answer: FinalResponse, due: Instant) -> Result<(String, BodyStream), Failure> {
    match answer {
        FinalResponse::Streaming { media_type, body } => Ok((media_type, body)),
        FinalResponse::Rejected(_) | FinalResponse::Failed if Instant::now() >= due => {
            Err(Failure::Deadline)
        }
        FinalResponse::Rejected(pause) => Err(Failure::Refused(pause)),
        FinalResponse::Failed => Err(Failure::Failed),
        FinalResponse::DuplicateId => Err(Failure::Taken),
    }
}

/// A part of a path with its escapes undone; one that cannot be is no model's name.
fn unescaped(text: &str) -> String {
    percent_encoding::percent_decode_str(text)
        .decode_utf8_lossy()
        .into_owned()
}

impl Frontend for Inference {
    fn limits(&self) -> ClientLimits {
        let limits = &self.0.setup.limits;
        ClientLimits {
            request_timeout: limits.body_wait(),
            unread_timeout: limits.read_wait(),
            body_bytes: limits.body_bytes,
        }
    }

    async fn respond(self, request: Request<RequestBody>) -> Response<ResponseBody> {
        let inner = self.0;
        let head = request.into_parts();
        let (name, routed) = match inner.name(&head.0) {
            Ok(name) => {
                let request = Request::from_parts(head.0, head.1);
                (name.clone(), inner.route(name, request).await)
            }
            Err((name, failure)) => (name, Err(failure)),
        };
        let mut response = routed.unwrap_or_else(|failure| {
            let mut response = failure.response();
            if let Some(pause) = inner.come_back(&failure) {
                set_retry_after(&mut response, pause);
            }
            response
        });
        if let Ok(name) = HeaderValue::from_str(&name) {
            response.headers_mut().insert("x-request-id", name);
        }
        response
    }
}
