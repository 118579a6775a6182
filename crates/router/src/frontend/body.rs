//! Reads request bodies within limits of size, time and memory.

use std::io::Write;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use flate2::write::MultiGzDecoder;
use http::header::{HeaderName, CONTENT_ENCODING, CONTENT_TYPE};
use http::{HeaderMap, StatusCode};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::watch;
use tokio::time::{timeout, timeout_at, Instant};

use super::byte_budget::{ByteBudget, ByteReservation};
use super::connections::RequestTracker;
use crate::exchange::Payload;
use crate::shutdown::{self, Phase};

/// Number of compressed bytes that are decompressed before the byte reservation is extended. The
/// output is reserved only after it has been produced, and gzip can expand a byte to a thousand.
const COMPRESSED_CHUNK_SIZE: usize = 1_024;
/// Maximum size of a segment of a body, in bytes.
const SEGMENT_BYTES: usize = 16 * 1024;
/// Minimum size of a segment of a body, in bytes: a body may arrive in very small parts.
const MIN_SEGMENT_BYTES: usize = 512;
/// Maximum number of bytes of a rejected body that the router reads and discards.
const DRAIN_LIMIT_BYTES: usize = 64 * 1024 * 1024;
/// Maximum time for which the router reads and discards a rejected body.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// The reason why a request body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is larger than this limit, in bytes.
    #[error("the body holds more than {0} bytes")]
    TooLarge(usize),
    /// The body ended early, or could not be decompressed.
    #[error("the body could not be read")]
    Unreadable,
    /// The body did not arrive before its deadline.
    #[error("the request took too long")]
    TimedOut,
    /// The request has both `Content-Length` and `Transfer-Encoding`, so its end is ambiguous.
    #[error("the request has both a length and an encoding")]
    AmbiguousLength,
    /// The byte budget has too few free bytes for the body.
    #[error("there is no room for the body now; trying again is harmless")]
    BudgetExhausted,
    /// All connections that the router may serve are in use.
    #[error("too many connections are in use; trying again is harmless")]
    TooManyConnections,
    /// The router is shutting down, and the accept window ended before the body had arrived.
    #[error("the router is shutting down; trying again is harmless")]
    ShuttingDown,
    /// The content coding is not supported.
    #[error("Content-Encoding must be gzip or identity")]
    UnsupportedEncoding,
    /// The declared media type is not JSON.
    #[error("Content-Type must be application/json")]
    UnsupportedMediaType,
}

impl BodyError {
    /// Returns the HTTP status of the response to the request.
    pub fn status(self) -> StatusCode {
        match self {
            BodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Unreadable | BodyError::AmbiguousLength => StatusCode::BAD_REQUEST,
            BodyError::TimedOut => StatusCode::REQUEST_TIMEOUT,
            BodyError::BudgetExhausted
            | BodyError::TooManyConnections
            | BodyError::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
            BodyError::UnsupportedEncoding | BodyError::UnsupportedMediaType => {
                StatusCode::UNSUPPORTED_MEDIA_TYPE
            }
        }
    }
}

/// The content coding of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ContentCoding {
    Identity,
    Gzip,
}

/// The body of a request that has not been read yet.
pub struct RequestBody {
    pub(super) body: Incoming,
    /// The phase of the router's shutdown.
    pub(super) phase: watch::Receiver<Phase>,
    /// When the whole body must have arrived.
    pub(super) deadline: Instant,
    /// For how long the complete request has waited before it began.
    pub(super) waited: Duration,
    /// Whether the request has both `Content-Length` and `Transfer-Encoding`.
    pub(super) has_ambiguous_length: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub(super) expects_continue: bool,
    /// Why the request is rejected without its body being read, if it is.
    pub(super) rejection: Option<BodyError>,
    /// The tracker of the connection's requests.
    pub(super) request_tracker: RequestTracker,
}

impl RequestBody {
    /// Returns for how long the complete request has waited for the responses to the requests before
    /// it on the connection. Its client's deadline has been running meanwhile. A request that is
    /// still arriving has not waited, as its deadline begins with its last byte.
    pub fn waited(&self) -> Duration {
        self.waited
    }

    /// Reads and decompresses the whole body. A body that `headers` declare as anything but JSON is
    /// rejected. The caller must keep the reservation for as long as it keeps the bytes.
    pub async fn read_to_end(
        self,
        headers: &HeaderMap,
        size_limit: usize,
        budget: &ByteBudget,
    ) -> Result<(Bytes, ByteReservation), BodyError> {
        let read = async |buffer: BodyBuffer, body: &mut Incoming, head: BodyHead| match head.coding
        {
            ContentCoding::Identity => buffer.read_identity(body, head.declared_length).await,
            ContentCoding::Gzip => buffer.read_gzip(body).await,
        };
        self.read_with(Some(headers), size_limit, budget, read)
            .await
    }

    /// Reads the whole body as it arrives. The caller must keep the reservation for as long as it
    /// keeps the bytes.
    pub async fn read_segments(
        self,
        size_limit: usize,
        budget: &ByteBudget,
    ) -> Result<(Payload, ByteReservation), BodyError> {
        let read = async |buffer: BodyBuffer, body: &mut Incoming, head: BodyHead| {
            buffer.read_segments(body, head.declared_length).await
        };
        self.read_with(None, size_limit, budget, read).await
    }

    /// Reads the body with `read`. Nothing is read, and no `100 Continue` is sent, before the
    /// declared length is reserved. A body that is incomplete at the end of the accept window of a
    /// shutdown is rejected.
    async fn read_with<T>(
        self,
        headers: Option<&HeaderMap>,
        size_limit: usize,
        budget: &ByteBudget,
        read: impl AsyncFnOnce(
            BodyBuffer,
            &mut Incoming,
            BodyHead,
        ) -> Result<(T, ByteReservation), BodyError>,
    ) -> Result<(T, ByteReservation), BodyError> {
        if self.has_ambiguous_length {
            return Err(BodyError::AmbiguousLength);
        }
        let declared_length = usize::try_from(self.body.size_hint().lower()).unwrap_or(usize::MAX);
        let mut body = self.body;
        // A client that still waits for `100 Continue` sends no body. Reading the body makes hyper
        // send that response.
        let mut is_arriving = !self.expects_continue;
        let checked = match self.rejection {
            Some(rejection) => Err(rejection),
            None => check_headers_and_reserve(headers, declared_length, size_limit, budget),
        };
        let result = match checked {
            Ok((coding, reservation)) => {
                let buffer = BodyBuffer {
                    size_limit,
                    reservation,
                };
                is_arriving = true;
                let head = BodyHead {
                    coding,
                    declared_length,
                };
                // Boxed, so that the request is small once its body has been read.
                let reading = Box::pin(read(buffer, &mut body, head));
                let reading = timeout_at(self.deadline, reading);
                match shutdown::receive_in_accept_window(self.phase, reading).await {
                    Some(read) => read.unwrap_or(Err(BodyError::TimedOut)),
                    None => {
                        tracing::debug!(
                            "request rejected: its body was incomplete when the accept window ended"
                        );
                        Err(BodyError::ShuttingDown)
                    }
                }
            }
            Err(error) => Err(error),
        };
        if let Err(reason) = &result {
            tracing::debug!(%reason, declared_length, "request rejected before its body was read");
        }
        if result.is_err() && is_arriving {
            tokio::task::spawn_local(drain(body));
        }
        let (bytes, reservation) = result?;
        if self.request_tracker.finish_body() {
            Ok((bytes, reservation))
        } else {
            Err(BodyError::BudgetExhausted)
        }
    }
}

/// Checks the declared media type, content coding and length, and reserves the declared length.
fn check_headers_and_reserve(
    headers: Option<&HeaderMap>,
    declared_length: usize,
    size_limit: usize,
    budget: &ByteBudget,
) -> Result<(ContentCoding, ByteReservation), BodyError> {
    let coding = match headers {
        Some(headers) => content_coding(headers)?,
        None => ContentCoding::Identity,
    };
    if declared_length > size_limit {
        return Err(BodyError::TooLarge(size_limit));
    }
    match budget.reserve_for_request(declared_length) {
        Some(reservation) => Ok((coding, reservation)),
        None => Err(BodyError::BudgetExhausted),
    }
}

/// Reads and discards the rest of a body, up to a size and time limit. If a connection is closed
/// with unread bytes, the operating system may reset it before the client has read the response.
async fn drain(mut body: Incoming) {
    let mut remaining = DRAIN_LIMIT_BYTES;
    let draining = async {
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.into_data().map_or(0, |data| data.len());
            remaining = remaining.saturating_sub(length);
            if remaining == 0 {
                return;
            }
        }
    };
    let _ = timeout(DRAIN_TIMEOUT, draining).await;
}

/// Returns the declared content coding, or an error if the declared media type is not JSON.
fn content_coding(headers: &HeaderMap) -> Result<ContentCoding, BodyError> {
    if let Some(media_type) = lowercase_header(headers, CONTENT_TYPE) {
        if !is_json(&media_type) {
            return Err(BodyError::UnsupportedMediaType);
        }
    }
    let coding = lowercase_header(headers, CONTENT_ENCODING);
    match coding.as_deref().map(str::trim) {
        None | Some("" | "identity") => Ok(ContentCoding::Identity),
        Some("gzip" | "x-gzip") => Ok(ContentCoding::Gzip),
        Some(_) => Err(BodyError::UnsupportedEncoding),
    }
}

fn lowercase_header(headers: &HeaderMap, name: HeaderName) -> Option<String> {
    let value = headers.get(name)?;
    Some(value.to_str().unwrap_or("?").to_ascii_lowercase())
}

/// Returns whether a media type in lower case is JSON in UTF-8.
fn is_json(media_type: &str) -> bool {
    let (essence, parameters) = media_type.split_once(';').unwrap_or((media_type, ""));
    let charset = parameters
        .split(';')
        .find_map(|parameter| parameter.trim().strip_prefix("charset="));
    let is_utf8 =
        charset.is_none_or(|c| matches!(c.trim_matches('"'), "utf-8" | "utf8" | "us-ascii"));
    essence.trim() == "application/json" && is_utf8
}

/// What the head of a request says about its body.
#[derive(Clone, Copy)]
struct BodyHead {
    coding: ContentCoding,
    declared_length: usize,
}

/// A reader that keeps a body within its size limit and the byte budget.
struct BodyBuffer {
    size_limit: usize,
    reservation: ByteReservation,
}

impl BodyBuffer {
    async fn read_identity(
        mut self,
        body: &mut Incoming,
        declared_length: usize,
    ) -> Result<(Bytes, ByteReservation), BodyError> {
        let mut plain = BytesMut::with_capacity(declared_length);
        self.reserve(declared_length, plain.capacity())?;
        while let Some(data) = next_data(body).await? {
            let length = plain.len() + data.len();
            if length > plain.capacity() {
                // The buffer may double its size as it grows.
                self.reserve(length, length.max(2 * plain.capacity()))?;
            }
            plain.extend_from_slice(&data);
        }
        self.reservation.shrink_to(plain.capacity());
        Ok((plain.freeze(), self.reservation))
    }

    /// Reads a body into segments of limited size.
    async fn read_segments(
        mut self,
        body: &mut Incoming,
        declared_length: usize,
    ) -> Result<(Payload, ByteReservation), BodyError> {
        let mut segments = SegmentBuilder::new(declared_length);
        while let Some(data) = next_data(body).await? {
            let length = segments.len() + data.len();
            self.reserve(length, length + SEGMENT_BYTES)?;
            segments.push(&data);
        }
        let length = segments.len();
        self.reservation.shrink_to(length);
        Ok((segments.finish(), self.reservation))
    }

    async fn read_gzip(
        mut self,
        body: &mut Incoming,
    ) -> Result<(Bytes, ByteReservation), BodyError> {
        let mut decoder = MultiGzDecoder::new(Vec::new());
        while let Some(data) = next_data(body).await? {
            for chunk in data.chunks(COMPRESSED_CHUNK_SIZE) {
                let written = decoder.write_all(chunk);
                written.map_err(|_| BodyError::Unreadable)?;
                let plain = decoder.get_ref();
                self.reserve(plain.len(), plain.capacity())?;
            }
        }
        let plain = decoder.finish().map_err(|_| BodyError::Unreadable)?;
        self.reserve(plain.len(), plain.capacity())?;
        self.reservation.shrink_to(plain.capacity());
        Ok((plain.into(), self.reservation))
    }

    /// Checks `length` against the size limit, and grows the reservation to `capacity`.
    fn reserve(&mut self, length: usize, capacity: usize) -> Result<(), BodyError> {
        if length > self.size_limit {
            return Err(BodyError::TooLarge(self.size_limit));
        }
        if !self.reservation.try_grow_for_request(capacity) {
            return Err(BodyError::BudgetExhausted);
        }
        Ok(())
    }
}

/// Collects data in segments.
struct SegmentBuilder {
    full: Vec<Bytes>,
    last: BytesMut,
    length: usize,
    declared_length: usize,
}

impl SegmentBuilder {
    fn new(declared_length: usize) -> SegmentBuilder {
        SegmentBuilder {
            full: Vec::new(),
            last: BytesMut::new(),
            length: 0,
            declared_length,
        }
    }

    fn len(&self) -> usize {
        self.length
    }

    fn push(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            let room = self.last.capacity() - self.last.len();
            if room == 0 {
                self.begin_segment(data.len());
                continue;
            }
            let (part, rest) = data.split_at(room.min(data.len()));
            self.last.extend_from_slice(part);
            self.length += part.len();
            data = rest;
        }
    }

    /// Begins a segment that has room for what is still to come, as far as that is known.
    fn begin_segment(&mut self, data_bytes: usize) {
        let expected = self.declared_length.saturating_sub(self.length);
        let capacity = expected
            .max(data_bytes)
            .clamp(MIN_SEGMENT_BYTES, SEGMENT_BYTES);
        let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(capacity));
        if !full.is_empty() {
            self.full.push(full.freeze());
        }
    }

    fn finish(mut self) -> Payload {
        if !self.last.is_empty() {
            self.full.push(self.last.freeze());
        }
        Payload::from_segments(self.full)
    }
}

/// Returns the data of the next data frame, or `None` at the end of the body.
async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Unreadable)?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

#[cfg(test)]
mod tests;
