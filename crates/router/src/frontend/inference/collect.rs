//! Collects the whole body of an endpoint's response, within the size limit and the byte budget.

use std::future::poll_fn;

use bytes::{Bytes, BytesMut};
use cranetack_inference_api::ChatCollector;

use super::error::RequestError;
use crate::exchange::{BodyStream, IncompleteBody};
use crate::frontend::byte_budget::ByteReservation;

/// A whole response body, and the reservation of its bytes.
pub(super) struct CollectedBody {
    pub(super) data: Bytes,
    pub(super) reservation: ByteReservation,
}

/// Collects a body unchanged.
pub(super) async fn collect_body(
    mut stream: BodyStream,
    mut reservation: ByteReservation,
    size_limit: usize,
) -> Result<CollectedBody, RequestError> {
    let mut data = BytesMut::new();
    while let Some(chunk) = poll_fn(|cx| stream.poll_next(cx)).await {
        let chunk = chunk.map_err(|IncompleteBody| RequestError::UpstreamFailed)?;
        let length = data.len() + chunk.len();
        if length > size_limit || !reservation.try_grow_to(length) {
            return Err(RequestError::UpstreamFailed);
        }
        data.extend_from_slice(&chunk);
    }
    Ok(CollectedBody {
        data: data.freeze(),
        reservation,
    })
}

/// Collects the events of a chat stream into one response, for a client that did not ask for a
/// stream.
pub(super) async fn collect_chat_events(
    mut stream: BodyStream,
    mut reservation: ByteReservation,
    size_limit: usize,
    request_id: &str,
    model: &str,
) -> Result<CollectedBody, RequestError> {
    let mut collector = ChatCollector::default();
    while let Some(chunk) = poll_fn(|cx| stream.poll_next(cx)).await {
        match chunk {
            Ok(chunk) => {
                let pushed = collector.push(&chunk);
                pushed.map_err(|_| RequestError::UpstreamFailed)?;
            }
            // If the events so far make a complete response, it does not matter that the body
            // broke off.
            Err(IncompleteBody) => break,
        }
        let held = collector.collected_bytes();
        if held > size_limit || !reservation.try_grow_to(held) {
            return Err(RequestError::UpstreamFailed);
        }
    }
    let data = collector
        .finish(request_id, model)
        .ok_or(RequestError::UpstreamFailed)?;
    if !reservation.try_grow_to(data.len()) {
        return Err(RequestError::UpstreamFailed);
    }
    Ok(CollectedBody { data, reservation })
}
