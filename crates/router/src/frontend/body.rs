//! The body of a request on its way: read within limits of size, time and memory.

use std::io::Write;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use flate2::write::MultiGzDecoder;
use http::header::{CONTENT_ENCODING, CONTENT_TYPE};
use http::{HeaderMap, StatusCode};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{timeout, timeout_at, Instant};

use super::byte_budget::{ByteBudget, ByteReservation};

/// Compressed bytes that are taken at once: each may become a thousand, and must be counted first.
const PIECE: usize = 1_024;

/// How much, and for how long, is read of a body that nobody wants.
const DRAIN_MOST: usize = 64 * 1024 * 1024;
const DRAIN_FOR: Duration = Duration::from_secs(2);

/// Why the body of a request was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is too long.
    #[error("the body holds more than {0} bytes")]
    TooLong(usize),
    /// It broke off, or cannot be decoded.
    #[error("the body could not be read")]
    Unreadable,
    /// It took too long.
    #[error("the request took too long")]
    Slow,
    /// Where it ends is in doubt.
    #[error("the request has both a length and an encoding")]
    Ambiguous,
    /// All bytes for bodies and answers are in use.
    #[error("there is no room for the body now; trying again is harmless")]
    NoRoom,
    /// It is encoded in a way that is not known here.
    #[error("Content-Encoding must be gzip or identity")]
    Encoding,
    /// It is not JSON by its own word.
    #[error("Content-Type must be application/json")]
    MediaType,
}

impl BodyError {
    /// The status of its answer.
    pub fn status(self) -> StatusCode {
        match self {
            BodyError::TooLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Unreadable | BodyError::Ambiguous => StatusCode::BAD_REQUEST,
            BodyError::Slow => StatusCode::REQUEST_TIMEOUT,
            BodyError::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
            BodyError::Encoding | BodyError::MediaType => StatusCode::UNSUPPORTED_MEDIA_TYPE,
        }
    }
}

/// How a body is encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Coding {
    Plain,
    Gzip,
}

/// The body of a request on its way.
pub struct Arriving {
    pub(super) body: Incoming,
    pub(super) due: Instant,
    pub(super) ambiguous: bool,
    /// Its client waits for the word to go on.
    pub(super) waits: bool,
}

impl Arriving {
    /// The whole body. What it reservations is for the caller to hold for as long as the bytes. Nothing is read, and no
    /// client that waits for a word is told to go on, before there is room. The head, where it is given, must say
    /// that it is JSON, or nothing.
    pub async fn whole(
        self,
        headers: Option<&HeaderMap>,
        most: usize,
        budget: &ByteBudget,
    ) -> Result<(Bytes, ByteReservation), BodyError> {
        if self.ambiguous {
            return Err(BodyError::Ambiguous);
        }
        let declared = usize::try_from(self.body.size_hint().lower()).unwrap_or(usize::MAX);
        let admitted = headers
            .map_or(Ok(Coding::Plain), coding)
            .and_then(|coding| match budget.reserve_for_request(declared) {
                _ if declared > most => Err(BodyError::TooLong(most)),
                Some(reservation) => Ok((coding, reservation)),
                None => Err(BodyError::NoRoom),
            });
        let mut body = self.body;
        let read = match admitted {
            Ok((coding, reservation)) => {
                let reading = read(&mut body, coding, declared, most, reservation);
                timeout_at(self.due, reading)
                    .await
                    .unwrap_or(Err(BodyError::Slow))
            }
            Err(error) => Err(error),
        };
        if read.is_err() && !self.waits {
            tokio::task::spawn_local(drain(body));
        }
        read
    }
}

/// Reads on and keeps nothing, for a while: a connection that is closed with something unread may take the answer
/// with it before its client has seen it. A client that waits for the word to go on sends nothing.
async fn drain(mut body: Incoming) {
    let mut left = DRAIN_MOST;
    let draining = async {
        while let Some(Ok(frame)) = body.frame().await {
            left = left.saturating_sub(frame.into_data().map_or(0, |data| data.len()));
            if left == 0 {
                return;
            }
        }
    };
    let _ = timeout(DRAIN_FOR, draining).await;
}

/// Checks what the head says of the body: JSON, in a coding that is known here.
fn coding(headers: &HeaderMap) -> Result<Coding, BodyError> {
    let word = |name| {
        headers
            .get(name)
            .map(|v| v.to_str().unwrap_or("?").to_ascii_lowercase())
    };
    if let Some(media) = word(CONTENT_TYPE) {
        let (kind, rest) = media.split_once(';').unwrap_or((&media, ""));
        let charset = rest
            .split(';')
            .filter_map(|p| p.trim().strip_prefix("charset=").map(str::to_owned))
            .next();
        let utf8 =
            charset.is_none_or(|c| matches!(c.trim_matches('"'), "utf-8" | "utf8" | "us-ascii"));
        if kind.trim() != "application/json" || !utf8 {
            return Err(BodyError::MediaType);
        }
    }
    match word(CONTENT_ENCODING).as_deref().map(str::trim) {
        None | Some("" | "identity") => Ok(Coding::Plain),
        Some("gzip" | "x-gzip") => Ok(Coding::Gzip),
        Some(_) => Err(BodyError::Encoding),
    }
}

async fn read(
    body: &mut Incoming,
    coding: Coding,
    declared: usize,
    most: usize,
    mut reservation: ByteReservation,
) -> Result<(Bytes, ByteReservation), BodyError> {
    let mut decoder = MultiGzDecoder::new(Vec::new());
    let mut plain = BytesMut::with_capacity(if coding == Coding::Plain { declared } else { 0 });
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Unreadable)?.into_data() else {
            continue;
        };
        if coding == Coding::Plain {
            let length = plain.len() + data.len();
            check(length, length.max(plain.capacity()), most, &mut reservation)?;
            plain.extend_from_slice(&data);
            continue;
        }
        for piece in data.chunks(PIECE) {
            decoder
                .write_all(piece)
                .map_err(|_| BodyError::Unreadable)?;
            let held = decoder.get_ref();
            check(held.len(), held.capacity(), most, &mut reservation)?;
        }
    }
    if coding == Coding::Plain {
        reservation.shrink_to(plain.capacity());
        return Ok((plain.freeze(), reservation));
    }
    let whole = decoder.finish().map_err(|_| BodyError::Unreadable)?;
    check(whole.len(), whole.capacity(), most, &mut reservation)?;
    reservation.shrink_to(whole.capacity());
    Ok((whole.into(), reservation))
}

fn check(
    length: usize,
    held: usize,
    most: usize,
    reservation: &mut ByteReservation,
) -> Result<(), BodyError> {
    if length > most {
        return Err(BodyError::TooLong(most));
    }
    if reservation.try_grow_for_request(held) {
        Ok(())
    } else {
        Err(BodyError::NoRoom)
    }
}

#[cfg(test)]
mod tests;
