//! The first part of an attempt: acquires a connection, sends the request and reads the beginning
//! of the response.

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
use crate::exchange::Payload;
use crate::upstream::calls::collect_body;
use crate::upstream::connection::PooledConnection;
use crate::upstream::dial::ConnectError;
use crate::upstream::load_report;
use crate::upstream::progress::wait_stalled;
use crate::upstream::response::{self, Expected, ResponseKind};
use crate::upstream::{Shared, BODY_BYTES_LIMIT};

/// The media type of a stream of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Result of the first part of an attempt.
pub(super) enum ResponseStart {
    /// The response has begun to stream.
    Streaming(StreamStart),
    /// The attempt has ended without a stream.
    Ended(AttemptReport),
}

/// A response that has begun to stream.
pub(super) struct StreamStart {
    pub(super) body: Incoming,
    /// Data already read from the body.
    pub(super) first_chunk: Bytes,
    pub(super) media_type: String,
}

impl ResponseStart {
    /// Creates the result of an attempt that has ended without a stream.
    pub(super) fn ended(outcome: Outcome, reason: EndReason) -> ResponseStart {
        ResponseStart::Ended(AttemptReport::from(outcome).with_reason(reason))
    }
}

/// Why an attempt ended without a usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum StartError {
    #[error("the endpoint refused the connection or did not accept it in time")]
    NoConnection,
    #[error("this machine could not open a connection in time")]
    NoLocalConnection,
    #[error("the endpoint takes no new requests, or the request needs no response")]
    NotNeeded,
    #[error("the request cannot be encoded as an HTTP request")]
    NotEncodable,
    #[error("the connection broke before the response was read")]
    ConnectionBroken,
    #[error("the response stalled after it had begun")]
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

/// Sends the request and waits for the beginning of the response stream, or for the end of a
/// response without a stream. The connection is in `held_connection` until it is returned to the
/// pool.
pub(super) async fn start_response(
    shared: &Shared,
    spec: &AttemptSpec,
    request_written: &watch::Sender<bool>,
    held_connection: &mut Option<PooledConnection>,
) -> ResponseStart {
    let response = match send_request(shared, spec, request_written, held_connection).await {
        Ok(response) => response,
        Err(error) => return error.into(),
    };
    let progress = held_connection
        .as_ref()
        .map(|connection| connection.progress().clone());
    tokio::select! {
        start = read_response(shared, spec, response, held_connection) => start,
        () = wait_stalled(progress.as_deref()) => StartError::Stalled.into(),
    }
}

/// Sends the request, over another connection if an idle one turns out to be closed, and waits for
/// the head of the response.
async fn send_request(
    shared: &Shared,
    spec: &AttemptSpec,
    request_written: &watch::Sender<bool>,
    held_connection: &mut Option<PooledConnection>,
) -> Result<Response<Incoming>, StartError> {
    loop {
        let connection = held_connection.insert(acquire_connection(shared, spec).await?);
        let request = encode_request(spec)?;
        match send_over(connection, request, request_written).await {
            Ok(response) => return Ok(response),
            Err(StartError::ConnectionBroken) => {}
            Err(error) => return Err(error),
        }
        // If the connection was closed while it was idle, nothing of the request has been written,
        // and sending the request over another connection does not duplicate it.
        match held_connection.take_if(|connection| connection.allows_resend()) {
            Some(stale) => stale.close().await,
            None => return Err(StartError::ConnectionBroken),
        }
    }
}

/// Acquires a connection, and checks that the endpoint is still active and the request still needs
/// a response.
async fn acquire_connection(
    shared: &Shared,
    spec: &AttemptSpec,
) -> Result<PooledConnection, StartError> {
    // A non-idempotent request needs a new connection: an endpoint may have dropped an idle one
    // without the router noticing, and whether a request written to it was executed would be
    // unknown.
    let acquired = if spec.non_idempotent {
        shared.pool.connect(&spec.endpoint, spec.write_by).await
    } else {
        shared.pool.acquire(&spec.endpoint, spec.write_by).await
    };
    let connection = acquired?;
    // While the connection was established, the endpoint may have begun to drain, or the client may
    // have disconnected.
    if !spec.endpoint.is_active() || !spec.needs_response.get() {
        shared.pool.release(connection).await;
        return Err(StartError::NotNeeded);
    }
    Ok(connection)
}

fn encode_request(spec: &AttemptSpec) -> Result<Request<Payload>, StartError> {
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

/// Sends the request over one connection, sets `request_written` once the last byte is written, and
/// waits for the head of the response.
async fn send_over(
    connection: &mut PooledConnection,
    request: Request<Payload>,
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

/// Reads a response up to the first data of its stream, or to its end if it is not a stream.
async fn read_response(
    shared: &Shared,
    spec: &AttemptSpec,
    response: Response<Incoming>,
    held_connection: &mut Option<PooledConnection>,
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
    if let Some(connection) = held_connection.take() {
        wire = connection.trace();
        shared.pool.release(connection).await;
    }
    wire.reason = EndReason::Responded(head.status.as_u16());
    ResponseStart::Ended(AttemptReport {
        outcome: outcome.unwrap_or_else(|| Outcome::Prefilled {
            cached_tokens: response::cached_tokens(&body),
        }),
        cached_tokens: 0,
        load: load_report::from_headers(&head.headers, &shared.options.load_report_columns),
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

/// Reads the first data of a stream. Of an event stream, reads up to the end of the first event, to
/// the end of the stream, or until the data exceeds [`BODY_BYTES_LIMIT`]. Returns `None` if the
/// stream breaks before that or has no data. From then on the request can only be served by this
/// stream, so the endpoint must have sent usable data first.
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

/// Whether the bytes contain a blank line, which ends an event, with any of the allowed line ends.
fn contains_event_end(bytes: &[u8]) -> bool {
    const EVENT_ENDS: [&[u8]; 3] = [b"\n\n", b"\r\r", b"\r\n\r\n"];
    EVENT_ENDS
        .iter()
        .any(|end| bytes.windows(end.len()).any(|window| window == *end))
}
