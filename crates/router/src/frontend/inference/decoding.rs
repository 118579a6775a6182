//! Decoding of request bodies: within the byte budget, large bodies one at a time and not on the
//! thread that serves the connections.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use cranetack_inference_api::BodyLimits;
use tokio::sync::Semaphore;

use super::error::RequestError;
use crate::frontend::byte_budget::ByteReservation;
use crate::frontend::BodyError;

/// Maximum size of a body that is decoded on the thread that serves the connections. It takes well
/// under a millisecond, less than handing the body over is worth.
const INLINE_BODY_BYTES: usize = 32 * 1024;

/// Bytes of the budget that decoding leaves to small requests.
const SMALL_REQUESTS_BYTES: usize = 64 * 1024;

/// A decoder of request bodies. Cheap to clone: clones decode one large body at a time together.
#[derive(Clone)]
pub(super) struct BodyDecoder {
    permit: Arc<Semaphore>,
    limits: Rc<BodyLimits>,
}

/// A decoded body, and the reservation of the body's bytes.
pub(super) struct Decoded<T> {
    pub(super) value: T,
    pub(super) reservation: ByteReservation,
}

impl BodyDecoder {
    /// Creates a decoder of bodies within these limits.
    pub(super) fn new(limits: BodyLimits) -> BodyDecoder {
        BodyDecoder {
            permit: Arc::new(Semaphore::new(1)),
            limits: Rc::new(limits),
        }
    }

    /// Returns the number of bytes that are reserved at most to decode a body. If the budget is
    /// smaller than what decoding may need, large bodies are decoded only while little else is held.
    fn reservation_limit(reservation: &ByteReservation) -> usize {
        reservation
            .request_capacity()
            .saturating_sub(SMALL_REQUESTS_BYTES)
    }

    /// Calls `decode` with the body and the limits. `reservation` grows before that to what the body
    /// and its decoding hold at most, and shrinks to the size of the body after it.
    pub(super) async fn decode<T: Send + 'static>(
        &self,
        body: Bytes,
        mut reservation: ByteReservation,
        decode: impl FnOnce(Bytes, &BodyLimits) -> T + Send + 'static,
    ) -> Result<Decoded<T>, RequestError> {
        let body_bytes = body.len();
        // Small bodies do not wait for large ones.
        let permit = if body_bytes > INLINE_BODY_BYTES {
            Some(self.permit.clone().acquire_owned().await)
        } else {
            None
        };
        let needed_bytes = body_bytes + self.limits.decoding_bytes(body_bytes);
        if !reservation.try_grow_to(needed_bytes.min(Self::reservation_limit(&reservation))) {
            return Err(RequestError::Body(BodyError::BudgetExhausted));
        }
        let limits = *self.limits;
        if body_bytes <= INLINE_BODY_BYTES {
            let value = decode(body, &limits);
            reservation.shrink_to(body_bytes);
            return Ok(Decoded { value, reservation });
        }
        let decoding = tokio::task::spawn_blocking(move || decode(body, &limits));
        // If the client disconnects, the thread goes on, so the reservation and the permit are kept
        // until it has ended.
        let ended = tokio::task::spawn_local(async move {
            let value = decoding.await;
            reservation.shrink_to(body_bytes);
            drop(permit);
            value.map(|value| Decoded { value, reservation })
        });
        match ended.await {
            Ok(Ok(decoded)) => Ok(decoded),
            Ok(Err(error)) | Err(error) => {
                tracing::error!(%error, "decoding a request body failed");
                Err(RequestError::UpstreamFailed)
            }
        }
    }
}

#[cfg(test)]
mod tests;
