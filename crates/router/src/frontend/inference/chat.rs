//! Serves chat completions.

use bytes::Bytes;
use cranetack_inference_api::{ApiEndpoint, BodyLimits, ChatRequest};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response};
use serde::de::IgnoredAny;
use tokio::time::Instant;

use super::buffered_body::BufferedBody;
use super::collect::{collect_body, collect_chat_events, CollectedBody};
use super::decoding::Decoded;
use super::error::{json_response, RequestError};
use super::event_stream::EventStreamBody;
use super::request::{RequestContext, ServedModel, IDEMPOTENCY_KEY};
use super::service::{Service, CHAT_PATH};
use crate::core::IncomingRequest;
use crate::exchange::{BodyStream, FinalResponse};
use crate::frontend::byte_budget::ByteReservation;
use crate::frontend::response::streaming_response;
use crate::frontend::{BodyError, ResponseBody};

const EVENT_STREAM: &str = "text/event-stream";
/// Bytes reserved for the chunks of a stream that its client has not read yet.
const STREAM_RESERVATION: usize = 64 * 1024;

impl Service {
    /// Serves a chat request.
    pub(super) async fn serve_chat(
        &self,
        context: RequestContext,
        body: Bytes,
        reservation: ByteReservation,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let decode = |body: Bytes, limits: &BodyLimits| ChatRequest::decode(&body, limits);
        let decoded = self.decoder.decode(body.clone(), reservation, decode);
        let Decoded { value, reservation } = decoded.await?;
        let chat = value?;
        let model = self.resolve_model(&chat.model, ApiEndpoint::Chat)?;
        let (request, model_name) = (chat.clone(), model.name.to_owned());
        let encode = move |body: Bytes, _: &BodyLimits| request.encode(&body, &model_name);
        let encoded = self.decoder.decode(body, reservation, encode).await?;
        let forwarded = encoded.value?;
        let mut reservation = encoded.reservation;
        // Before the request is sent, memory is reserved for the forwarded body, and at least as
        // much as the chunks of a stream need. An unstreamed response reserves more as it arrives.
        let held_bytes = forwarded.len().max(STREAM_RESERVATION);
        if !reservation.try_grow_to(held_bytes) {
            return Err(RequestError::Body(BodyError::BudgetExhausted));
        }
        reservation.shrink_to(held_bytes);
        let incoming = chat_request(&context, &chat, model, forwarded);
        let (response, disconnect) = self.handle.submit(incoming).response().await;
        let EndpointResponse { media_type, stream } =
            EndpointResponse::from_final(response, context.deadline)?;
        // The response has begun, so no further attempt is made and the request body is no longer
        // held.
        reservation.shrink_to(STREAM_RESERVATION);
        let is_event_stream = media_type.starts_with(EVENT_STREAM);
        if chat.stream && is_event_stream {
            let body = EventStreamBody::new(stream, disconnect, reservation);
            return Ok(event_stream_response(body));
        }
        if chat.stream {
            return Ok(streaming_response(&media_type, stream, disconnect));
        }
        let size_limit = self.setup.limits.body_bytes;
        let body = if is_event_stream {
            let id = context.id();
            collect_chat_events(stream, reservation, size_limit, id, &chat.model).await?
        } else {
            let body = collect_body(stream, reservation, size_limit).await?;
            check_is_json_object(&body)?;
            body
        };
        Ok(json_response(ResponseBody::boxed(BufferedBody::new(body))))
    }
}

fn chat_request(
    context: &RequestContext,
    chat: &ChatRequest,
    model: ServedModel<'_>,
    body: Bytes,
) -> IncomingRequest {
    let mut message = context.forwarded_request(CHAT_PATH, body);
    if let Some(key) = &context.idempotency_key {
        message.headers.insert(IDEMPOTENCY_KEY, key.clone());
    }
    let mut incoming =
        context.incoming_request(context.id().clone(), model, chat.prompt_tokens, message);
    incoming.max_tokens = chat.max_tokens.unwrap_or(0);
    if incoming.session.is_none() {
        let user = chat.user.as_ref();
        incoming.session = user.map(|user| context.tenant_session(user));
    }
    incoming
}

/// An endpoint's response, whose body is still arriving.
struct EndpointResponse {
    media_type: String,
    stream: BodyStream,
}

impl EndpointResponse {
    /// Returns the endpoint's response, or the error to respond with. Once the deadline has passed,
    /// a rejection or a failure counts as an exceeded deadline.
    fn from_final(
        response: FinalResponse,
        deadline: Instant,
    ) -> Result<EndpointResponse, RequestError> {
        match response {
            FinalResponse::Streaming { media_type, body } => Ok(EndpointResponse {
                media_type,
                stream: body,
            }),
            FinalResponse::Rejected(_) | FinalResponse::Failed if Instant::now() >= deadline => {
                Err(RequestError::DeadlineExceeded)
            }
            FinalResponse::Rejected(retry_after) => Err(RequestError::Rejected { retry_after }),
            FinalResponse::Failed => Err(RequestError::UpstreamFailed),
            FinalResponse::DuplicateId => Err(RequestError::DuplicateId),
        }
    }
}

fn event_stream_response(body: EventStreamBody) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::boxed(body));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(EVENT_STREAM));
    response
}

fn check_is_json_object(body: &CollectedBody) -> Result<(), RequestError> {
    let is_object = body.data.trim_ascii_start().starts_with(b"{");
    match serde_json::from_slice::<IgnoredAny>(&body.data) {
        Ok(_) if is_object => Ok(()),
        Ok(_) | Err(_) => Err(RequestError::UpstreamFailed),
    }
}
