//! The frontend of the inference API: paths, authentication and error responses.

use std::rc::Rc;
use std::time::Duration;

use cranetack_inference_api::{
    ApiEndpoint, ApiError, BatchForm, BatchRequest, ErrorKind, ModelCatalog, PerApiEndpoint,
    ResolvedModel,
};
use cranetack_routing_policy::{ClassId, Settings};
use cranetack_settings::SiteSettings;
use http::header::HeaderName;
use http::request::Parts as RequestHead;
use http::{HeaderValue, Method, Request, Response};
use tokio::sync::watch;
use tokio::time::Instant;

use super::batch_queue::BatchQueue;
use super::decoding::BodyDecoder;
use super::error::{json_response, RequestError};
use super::request::{
    client_request_id, header, OpenRequestIds, RequestContext, RequestIdGenerator, ServedModel,
    IDEMPOTENCY_KEY,
};
use super::setup::{ApiEndpointSetup, Setup};
use crate::core::Handle;
use crate::frontend::byte_budget::ByteBudget;
use crate::frontend::response::set_retry_after;
use crate::frontend::{
    BodyError, ClientLimits, Frontend, FrontendContext, RequestBody, ResponseBody,
};
use crate::shutdown::Phase;
use crate::tenants::{KeyOwner, Tenants};

pub(super) const CHAT_PATH: &str = "/v1/chat/completions";
const EMBEDDINGS_PATH: &str = "/v1/embeddings";
const RERANK_V1_PATH: &str = "/v1/rerank";
const RERANK_V2_PATH: &str = "/v2/rerank";
const MODELS_PATH: &str = "/v1/models";

const DEADLINE_HEADER: &str = "X-Deadline-Ms";
const SESSION_HEADER: &str = "X-Key";
const AUTHORIZATION_HEADER: &str = "authorization";
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Maximum time to first byte. A client that asks for a longer one gets this one.
const MAX_TIME_TO_FIRST_BYTE: Duration = Duration::from_secs(600);
/// Maximum retry delay that the batch scheduler advises if the settings set no maximum.
const DEFAULT_MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// The frontend of the inference API. Cheap to clone.
#[derive(Clone)]
pub struct Inference(Rc<Service>);

/// The state that all requests share.
pub(super) struct Service {
    pub(super) handle: Handle,
    pub(super) setup: Setup,
    pub(super) settings: Settings,
    /// The classes of requests whose model has no class in the catalog.
    default_classes: PerApiEndpoint<ClassId>,
    catalog: ModelCatalog,
    tenants: Option<Tenants>,
    pub(super) budget: ByteBudget,
    pub(super) decoder: BodyDecoder,
    pub(super) queue: BatchQueue,
    pub(super) phase: watch::Receiver<Phase>,
    open_ids: OpenRequestIds,
    id_generator: RequestIdGenerator,
}

/// The kind of request that a path serves.
enum Route {
    Chat,
    Batch(ApiEndpoint, BatchForm),
}

impl Route {
    fn from_path(path: &str) -> Option<Route> {
        match path {
            CHAT_PATH => Some(Route::Chat),
            EMBEDDINGS_PATH => Some(Route::Batch(ApiEndpoint::Embeddings, BatchForm::Embeddings)),
            RERANK_V1_PATH => Some(Route::Batch(ApiEndpoint::Rerank, BatchForm::RerankV1)),
            RERANK_V2_PATH => Some(Route::Batch(ApiEndpoint::Rerank, BatchForm::RerankV2)),
            _ => None,
        }
    }

    fn endpoint(&self) -> ApiEndpoint {
        match self {
            Route::Chat => ApiEndpoint::Chat,
            Route::Batch(endpoint, _) => *endpoint,
        }
    }
}

impl Inference {
    /// Creates a frontend that submits its requests to the context's core. `seed` distinguishes the
    /// request ids that it generates from those of other routers. `setup` must have passed
    /// [`Setup::check`]. Must be called within a `LocalSet`.
    pub fn new(
        context: FrontendContext,
        setup: Setup,
        site: &SiteSettings,
        settings: &Settings,
        tenants: Option<Tenants>,
        seed: u64,
    ) -> Inference {
        let class = |endpoint: &ApiEndpointSetup| {
            let index = site.classes.iter().position(|c| c.name == endpoint.class);
            ClassId(index.unwrap_or(0))
        };
        let max_retry_after = max_retry_after(settings).unwrap_or(DEFAULT_MAX_RETRY_AFTER);
        Inference(Rc::new(Service {
            handle: context.handle,
            default_classes: PerApiEndpoint {
                chat: class(&setup.chat),
                embeddings: class(&setup.embeddings),
                rerank: class(&setup.rerank),
            },
            catalog: setup.catalog(site).unwrap_or_default(),
            settings: settings.clone(),
            tenants,
            budget: ByteBudget::new(setup.limits.byte_budget, &context.memory),
            decoder: BodyDecoder::new(setup.limits.body_limits()),
            queue: BatchQueue::new(setup.batches.scheduler_config(max_retry_after)),
            setup,
            phase: context.phase,
            open_ids: OpenRequestIds::default(),
            id_generator: RequestIdGenerator::new(seed),
        }))
    }
}

impl Frontend for Inference {
    fn limits(&self) -> ClientLimits {
        let limits = &self.0.setup.limits;
        ClientLimits {
            request_timeout: limits.request_timeout(),
            unread_timeout: limits.unread_timeout(),
            max_body_bytes: limits.body_bytes,
        }
    }

    fn reject(&self, reason: BodyError) -> Response<ResponseBody> {
        self.0.error_response(&RequestError::Body(reason))
    }

    async fn respond(self, request: Request<RequestBody>) -> Response<ResponseBody> {
        let service = self.0;
        let (head, body) = request.into_parts();
        let (id, result) = match client_request_id(&head) {
            Ok(client_id) => {
                let id = client_id.unwrap_or_else(|| service.id_generator.generate());
                (id.clone(), service.handle_request(id, head, body).await)
            }
            Err(error) => (service.id_generator.generate(), Err(error)),
        };
        let mut response = result.unwrap_or_else(|error| service.error_response(&error));
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        response
    }
}

impl Service {
    async fn handle_request(
        &self,
        id: Rc<str>,
        head: RequestHead,
        body: RequestBody,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let Some(route) = Route::from_path(head.uri.path()) else {
            return self.serve_models(&head);
        };
        if head.method != Method::POST {
            return Err(RequestError::MethodNotAllowed("POST"));
        }
        let waited = body.waited();
        let context = self.open_request(id, &head, route.endpoint(), waited)?;
        if !waited.is_zero() && context.deadline <= Instant::now() {
            return Err(RequestError::DeadlineExceeded);
        }
        let (body, reservation) = body
            .read_to_end(&head.headers, self.setup.limits.body_bytes, &self.budget)
            .await
            .map_err(RequestError::Body)?;
        // What is needed of the head has been copied.
        drop(head);
        match route {
            Route::Chat => self.serve_chat(context, body, reservation).await,
            Route::Batch(_, form) => {
                let decode = move |body, limits: &_| BatchRequest::decode(form, body, limits);
                let decoded = self.decoder.decode(body, reservation, decode).await?;
                let batch = decoded.value?;
                let mut reservation = decoded.reservation;
                let held_bytes = batch.memory_bytes();
                if !reservation.try_grow_to(held_bytes) {
                    return Err(RequestError::Body(BodyError::BudgetExhausted));
                }
                reservation.shrink_to(held_bytes);
                self.serve_batch(context, batch, reservation).await
            }
        }
    }

    /// Serves `/v1/models` and `/v1/models/{id}`. Any other path gets status 404.
    fn serve_models(&self, head: &RequestHead) -> Result<Response<ResponseBody>, RequestError> {
        let rest = head.uri.path().strip_prefix(MODELS_PATH);
        let Some(rest) = rest.filter(|rest| rest.is_empty() || rest.starts_with('/')) else {
            let message = "there is nothing at this path";
            return Err(ApiError::invalid_request(404, "unknown_url", None, message).into());
        };
        if head.method != Method::GET {
            return Err(RequestError::MethodNotAllowed("GET"));
        }
        self.authenticate(head)?;
        let text = match rest.trim_start_matches('/') {
            "" => self.catalog.list(),
            id => self.catalog.show(&percent_decoded(id))?,
        };
        Ok(json_response(ResponseBody::full(text)))
    }

    /// Decodes and authenticates the head of a request, and marks its id as in use. `waited` is
    /// the part of its deadline that has passed already.
    fn open_request(
        &self,
        id: Rc<str>,
        head: &RequestHead,
        endpoint: ApiEndpoint,
        waited: Duration,
    ) -> Result<RequestContext, RequestError> {
        let time_to_first_byte = match header(head, DEADLINE_HEADER)?.map(str::parse::<u32>) {
            None => Duration::from_millis(self.setup.endpoint(endpoint).deadline_ms.into()),
            Some(Ok(ms)) => Duration::from_millis(ms.into()).min(MAX_TIME_TO_FIRST_BYTE),
            Some(Err(_)) => {
                return Err(
                    ApiError::invalid_value(DEADLINE_HEADER, "must be whole milliseconds").into(),
                )
            }
        };
        let tenant = self.authenticate(head)?;
        let session = header(head, SESSION_HEADER)?.map(str::to_owned);
        let id = self.open_ids.open(id).ok_or(RequestError::DuplicateId)?;
        let query = head.uri.query();
        Ok(RequestContext {
            id,
            endpoint,
            tenant,
            session,
            query: query.map_or(String::new(), |query| format!("?{query}")),
            idempotency_key: head.headers.get(IDEMPOTENCY_KEY).cloned(),
            deadline: Instant::now() + time_to_first_byte.saturating_sub(waited),
        })
    }

    /// Returns the tenant that the request's key belongs to; `None` if no tenants are configured.
    fn authenticate(&self, head: &RequestHead) -> Result<Option<Rc<str>>, RequestError> {
        let authorization = header(head, AUTHORIZATION_HEADER)?;
        let Some(tenants) = &self.tenants else {
            return Ok(None);
        };
        let Some(key) = authorization.and_then(|value| value.strip_prefix("Bearer ")) else {
            return Err(invalid_api_key());
        };
        match tenants.key_owner(key.trim()) {
            KeyOwner::Tenant(name) => Ok(Some(name)),
            KeyOwner::Unknown => Err(invalid_api_key()),
            KeyOwner::NotLoaded => Err(RequestError::tenants_unknown()),
        }
    }

    /// Finds out how the model that a request names is served at an API endpoint.
    pub(super) fn resolve_model<'a>(
        &'a self,
        name: &'a str,
        endpoint: ApiEndpoint,
    ) -> Result<ServedModel<'a>, RequestError> {
        let ResolvedModel { name, class, kinds } = self.catalog.resolve(name, endpoint)?;
        let default_class = *self.default_classes.get(endpoint);
        Ok(ServedModel {
            name,
            class: class.map_or(default_class, ClassId),
            allowed_kinds: kinds,
        })
    }

    /// Builds the response to a request that gets none from an endpoint.
    fn error_response(&self, error: &RequestError) -> Response<ResponseBody> {
        let mut response = error.to_response();
        if let Some(retry_after) = error.retry_after() {
            if self.settings.retry_after {
                let max = max_retry_after(&self.settings).unwrap_or(Duration::MAX);
                set_retry_after(&mut response, retry_after.min(max));
            }
        }
        response
    }
}

/// The maximum retry delay that clients are advised, if the settings set one.
fn max_retry_after(settings: &Settings) -> Option<Duration> {
    let micros = u64::try_from(settings.max_retry_after?).ok()?;
    Some(Duration::from_micros(micros))
}

fn invalid_api_key() -> RequestError {
    let message = "the key (Authorization: Bearer KEY) is no tenant's";
    RequestError::Api(ApiError {
        kind: ErrorKind::Authentication,
        ..ApiError::invalid_request(401, "invalid_api_key", None, message)
    })
}

/// Decodes the percent-encoding of a part of a path. Invalid UTF-8 becomes replacement characters,
/// which no model's name has.
fn percent_decoded(text: &str) -> String {
    percent_encoding::percent_decode_str(text)
        .decode_utf8_lossy()
        .into_owned()
}
