//! The first part of an attempt: a connection, the request, and the beginning of the response.

use std::convert::Infallible;
use std::future::pending;

use bytes::{Bytes, BytesMut};
use cranetack_routing_policy::{ConnectFailure, Outcome, ResetCause};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::core::{AttemptReport, AttemptSpec, EndReason, WireTrace};
use crate::upstream::calls::collect_body;
use crate::upstream::connection::PooledConnection;
use crate::upstream::dial::ConnectError;
use crate::upstream::load_report;
use crate::upstream::progress::wait_stalled;
use crate::upstream::response::{self, Expected, ResponseKind};
use crate::upstream::{Shared, BODY_BYTES_LIMIT};

/// The media type of a stream of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// How an attempt stands once its response has begun, or it has ended without a stream.
pub(super) enum ResponseStart {
    Streaming(StreamStart),
    Ended(AttemptReport),
}

/// A response that has begun to stream.
pub(super) struct StreamStart {
    pub(super) body: Incoming,
    /// What has been read of the body.
    pub(super) first_chunk: Bytes,
    pub(super) media_type: String,
}

impl ResponseStart {
    /// The end of an attempt without a stream.
    pub(super) fn ended(outcome: Outcome, reason: EndReason) -> ResponseStart {
        ResponseStart::Ended(AttemptReport::from(outcome).because(reason))
    }
}

/// Why no response began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum StartError {
    #[error("the endpoint accepted no connection")]
    NoConnection,
    #[error("this machine could not open a connection")]
    NoLocalConnection,
    #[error("the endpoint drains, or the client is gone")]
    NotNeeded,
    #[error("the request cannot be encoded")]
    NotEncodable,
    #[error("the connection broke")]
    ConnectionBroken,
    #[error("a response that had begun did not go on")]
    Stalled,
}

impl From<ConnectError> for StartError {
    fn from(error: ConnectError) -> StartError {
        match error {
            ConnectError::Endpoint => StartError::NoConnection,
            ConnectError::LocalResources => StartError::NoLocalConnection,
        }
    }
}

impl From<StartError> for ResponseStart {
    fn from(error: StartError) -> ResponseStart {
        let unreachable = Outcome::ConnectFailed(ConnectFailure::Unreachable);
        let local_resources = Outcome::ConnectFailed(ConnectFailure::LocalResources);
        let reset = Outcome::ConnectionReset(ResetCause::InUse);
        let (outcome, reason) = match error {
            StartError::NoConnection => (unreachable, EndReason::NoConnection),
            StartError::NoLocalConnection => (local_resources, EndReason::NoLocalConnection),
            StartError::NotNeeded => (unreachable, EndReason::NotNeeded),
            StartError::NotEncodable => (Outcome::NotSent, EndReason::NotEncodable),
            StartError::ConnectionBroken => (reset, EndReason::ConnectionBroken),
            StartError::Stalled => (reset, EndReason::Stalled),
        };
        ResponseStart::ended(outcome, reason)
    }
}

/// Sends the request and waits for the beginning of the response, or its end. The connection stays
/// in `slot` unless it has gone back to the pool.
pub(super) async fn start_response(
    shared: &Shared,
    spec: &AttemptSpec,
    request_written: &watch::Sender<bool>,
    slot: &mut Option<PooledConnection>,
) -> ResponseStart {
    let response = match send_request(shared, spec, request_written, slot).await {
        Ok(response) => response,
        Err(error) => return error.into(),
    };
    let progress = slot
        .as_ref()
        .map(|connection| connection.progress().clone());
    tokio::select! {
        start = read_response(shared, spec, response, slot) => start,
        () = wait_stalled(progress.as_deref()) => StartError::Stalled.into(),
    }
}

/// Sends the request and waits for the head of the response.
async fn send_request(
    shared: &Shared,
    spec: &AttemptSpec,
    request_written: &watch::Sender<bool>,
    slot: &mut Option<PooledConnection>,
) -> Result<Response<Incoming>, StartError> {
    loop {
        let connection = slot.insert(acquire_connection(shared, spec).await?);
        let request = encode_request(spec)?;
        match send_over(connection, request, request_written).await {
            Ok(response) => return Ok(response),
            Err(StartError::ConnectionBroken) => {}
            Err(error) => return Err(error),
        }
        // Closed while it was idle: nothing of the request has been written, so that sending it
        // over another connection does not duplicate it.
        match slot.take_if(|connection| connection.was_stale()) {
            Some(stale) => stale.close().await,
            None => return Err(StartError::ConnectionBroken),
        }
    }
}

/// A connection on which the request may be written now.
async fn acquire_connection(
    shared: &Shared,
    spec: &AttemptSpec,
) -> Result<PooledConnection, StartError> {
    // An endpoint may have dropped an idle connection unnoticed; whether a request that was written
    // to it has been executed is then unknown.
    let acquired = if spec.non_idempotent {
        shared.pool.connect(&spec.endpoint, spec.write_by).await
    } else {
        shared.pool.acquire(&spec.endpoint, spec.write_by).await
    };
    let connection = acquired?;
    // Connecting may have taken a while: the endpoint may drain by now, or the client be gone.
    if !spec.endpoint.is_active() || !spec.is_live.get() {
        shared.pool.release(connection).await;
        return Err(StartError::NotNeeded);
    }
    Ok(connection)
}

fn encode_request(spec: &AttemptSpec) -> Result<Request<Bytes>, StartError> {
    let time_left = spec.expires_at.saturating_duration_since(Instant::now());
    let request = Request::builder()
        .method(Method::POST)
        .uri(spec.message.target.as_str())
        .header("host", "worker")
        .header("x-request-id", &*spec.request_id)
        .header("x-deadline-ms", time_left.as_millis().to_string())
        .header("content-type", spec.message.media_type.as_str())
        .body(spec.message.body.clone());
    let mut request = request.map_err(|_| StartError::NotEncodable)?;
    request.headers_mut().extend(spec.message.headers.clone());
    Ok(request)
}

/// Sends the request over one connection, notifies `request_written` once its last byte is written,
/// and waits for the head of the response.
async fn send_over(
    connection: &mut PooledConnection,
    request: Request<Bytes>,
    request_written: &watch::Sender<bool>,
) -> Result<Response<Incoming>, StartError> {
    let progress = connection.progress().clone();
    let notify_written = async {
        progress.wait_request_complete().await;
        request_written.send_replace(true);
        pending::<Infallible>().await
    };
    tokio::select! {
        response = connection.send(request) => response.map_err(|_| StartError::ConnectionBroken),
        () = wait_stalled(Some(&*progress)) => Err(StartError::Stalled),
        never = notify_written => match never {},
    }
}

/// Reads a response up to the beginning of its stream, or to its end if it does not stream.
async fn read_response(
    shared: &Shared,
    spec: &AttemptSpec,
    response: Response<Incoming>,
    slot: &mut Option<PooledConnection>,
) -> ResponseStart {
    let (head, body) = response.into_parts();
    let expected = if spec.prefill_only {
        Expected::KvState
    } else {
        Expected::Stream
    };
    let outcome = match ResponseKind::decode(expected, head.status, &head.headers) {
        ResponseKind::Stream => return start_stream(&head.headers, body).await,
        ResponseKind::Prefilled => None,
        ResponseKind::Ended(outcome) => Some(outcome),
    };
    let Ok(body) = collect_body(body).await else {
        return StartError::ConnectionBroken.into();
    };
    let mut wire = WireTrace::default();
    if let Some(connection) = slot.take() {
        wire = connection.trace();
        shared.pool.release(connection).await;
    }
    wire.reason = EndReason::Responded(head.status.as_u16());
    ResponseStart::Ended(AttemptReport {
        outcome: outcome.unwrap_or_else(|| Outcome::Prefilled {
            cached_tokens: response::cached_tokens(&body),
        }),
        cached_tokens: 0,
        load: load_report::from_headers(&head.headers, &shared.options.report),
        wire,
    })
}

async fn start_stream(headers: &HeaderMap, mut body: Incoming) -> ResponseStart {
    let media_type = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or(EVENT_STREAM)
        .to_owned();
    let is_event_stream = media_type.starts_with(EVENT_STREAM);
    match read_first_chunk(&mut body, is_event_stream).await {
        Some(first_chunk) => ResponseStart::Streaming(StreamStart {
            body,
            first_chunk,
            media_type,
        }),
        None => StartError::ConnectionBroken.into(),
    }
}

/// The first data of a stream, of an event stream the first complete event; `None` if there is
/// none. A request is bound to this stream from then on, so something of use must have arrived.
async fn read_first_chunk(body: &mut Incoming, is_event_stream: bool) -> Option<Bytes> {
    let mut buffered = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        buffered.extend_from_slice(&data);
        let is_complete =
            !is_event_stream || contains_event_end(&buffered) || buffered.len() > BODY_BYTES_LIMIT;
        if is_complete && !buffered.is_empty() {
            return Some(buffered.freeze());
        }
    }
    if buffered.is_empty() {
        None
    } else {
        Some(buffered.freeze())
    }
}

/// Whether these bytes contain a blank line, in any of the forms that end an event.
fn contains_event_end(bytes: &[u8]) -> bool {
    const EVENT_ENDS: [&[u8]; 3] = [b"\n\n", b"\r\r", b"\r\n\r\n"];
    EVENT_ENDS
        .iter()
        .any(|end| bytes.windows(end.len()).any(|window| window == *end))
}
