//! Serves batches: embeddings and rerank requests, which are sent slice by slice.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::ops::Range;
use std::rc::Rc;

use cranetack_batch_scheduler::{
    BatchOutcome, BatchSpec, Flow, Rejection, SliceDispatch, SliceFailure,
};
use cranetack_inference_api::{merge_results, BatchRequest, SliceResult};
use cranetack_routing_policy::Idempotency;
use http::Response;

use super::batch_queue::{from_micros, to_micros, BatchEvent, OpenBatch};
use super::buffered_body::BufferedBody;
use super::collect::{collect_body, CollectedBody};
use super::error::{json_response, RequestError, DEFAULT_RETRY_AFTER};
use super::request::{RequestContext, ServedModel};
use super::service::Service;
use crate::exchange::{BodyStream, FinalResponse};
use crate::frontend::byte_budget::ByteReservation;
use crate::frontend::ResponseBody;

/// A batch request that is being served.
struct BatchInProgress<'a> {
    context: &'a RequestContext,
    batch: &'a BatchRequest,
    model: ServedModel<'a>,
}

/// The results of the slices that have been served so far.
struct ServedSlices {
    results: Vec<(Range<usize>, SliceResult)>,
    /// The byte reservations of the request body and of the results.
    reservations: Vec<ByteReservation>,
}

/// The result of one slice, and the reservation of its bytes.
struct ServedSlice {
    result: SliceResult,
    reservation: ByteReservation,
}

/// Why a slice has no result.
enum SliceError {
    Failed(SliceFailure),
    /// Another request with the batch's id is open.
    DuplicateId,
}

const SLICE_FAILED: SliceError = SliceError::Failed(SliceFailure::Failed);

impl From<Rejection> for RequestError {
    fn from(rejection: Rejection) -> RequestError {
        RequestError::Rejected {
            retry_after: from_micros(rejection.retry_after),
        }
    }
}

impl Service {
    /// Serves a batch slice by slice. Results of served slices are kept; a failed slice is sent
    /// again only if the scheduler decides so. The client gets one final response.
    pub(super) async fn serve_batch(
        &self,
        context: RequestContext,
        batch: BatchRequest,
        reservation: ByteReservation,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let request = BatchInProgress {
            context: &context,
            batch: &batch,
            model: self.resolve_model(&batch.model, context.endpoint)?,
        };
        let mut open_batch = self.queue.open(self.batch_spec(&request))?;
        let mut served = ServedSlices {
            results: Vec::new(),
            reservations: vec![reservation],
        };
        match self
            .serve_slices(&request, &mut open_batch, &mut served)
            .await?
        {
            BatchOutcome::Completed => {}
            BatchOutcome::Rejected(rejection) => return Err(rejection.into()),
            BatchOutcome::Failed => return Err(RequestError::UpstreamFailed),
            BatchOutcome::DeadlineExceeded => return Err(RequestError::DeadlineExceeded),
        }
        drop(open_batch);
        let data = merge_results(&batch, context.id(), served.results).map_err(|error| {
            tracing::warn!(
                request_id = %context.id(),
                %error,
                "could not merge slice results; the batch fails"
            );
            RequestError::UpstreamFailed
        })?;
        drop(batch);
        drop(served.reservations);
        let reservation = self.budget.reserve(data.len());
        let reservation = reservation.ok_or(RequestError::UpstreamFailed)?;
        let body = BufferedBody::new(CollectedBody { data, reservation });
        Ok(json_response(ResponseBody::boxed(body)))
    }

    fn batch_spec(&self, request: &BatchInProgress<'_>) -> BatchSpec {
        let BatchInProgress {
            context,
            batch,
            model,
        } = request;
        let mut tenant = DefaultHasher::new();
        context.tenant.hash(&mut tenant);
        let class = self.settings.classes.get(model.class.0);
        let idempotency = class.map(|class| class.idempotency).unwrap_or_default();
        BatchSpec {
            flow: Flow {
                class: u32::try_from(model.class.0).unwrap_or(u32::MAX),
                tenant: tenant.finish(),
            },
            item_tokens: batch.item_tokens.clone(),
            shared_tokens: batch.shared_tokens,
            initial_slice_tokens: self.setup.endpoint(context.endpoint).initial_slice_tokens,
            deadline: self.queue.time_of(context.deadline),
            is_idempotent: idempotency == Idempotency::Idempotent,
        }
    }

    /// Sends slices as the scheduler decides, until the batch ends.
    async fn serve_slices(
        &self,
        request: &BatchInProgress<'_>,
        open_batch: &mut OpenBatch,
        served: &mut ServedSlices,
    ) -> Result<BatchOutcome, RequestError> {
        loop {
            let dispatch = match open_batch.next_event().await {
                BatchEvent::Ended(outcome) => return Ok(outcome),
                BatchEvent::Dispatch(dispatch) => dispatch,
            };
            // If the batch ends while the slice is in flight, dropping the slice's future cancels
            // its attempt.
            let result = tokio::select! {
                biased;
                event = open_batch.next_event() => return Ok(match event {
                    BatchEvent::Ended(outcome) => outcome,
                    BatchEvent::Dispatch(_) => BatchOutcome::Failed,
                }),
                result = self.serve_slice(request, &dispatch) => result,
            };
            match result {
                Ok(slice) => {
                    served.results.push((dispatch.items, slice.result));
                    served.reservations.push(slice.reservation);
                    open_batch.slice_succeeded();
                }
                Err(SliceError::DuplicateId) => return Err(RequestError::DuplicateId),
                Err(SliceError::Failed(failure)) => {
                    open_batch.slice_failed(self.failure_during_shutdown(failure));
                }
            }
        }
    }

    /// Returns the failure to report to the scheduler. During a graceful shutdown a batch does not
    /// wait for memory: it is rejected, so that its client retries at another router.
    fn failure_during_shutdown(&self, failure: SliceFailure) -> SliceFailure {
        match failure {
            SliceFailure::OutOfMemory { retry_after } if self.phase.borrow().is_shutting_down() => {
                SliceFailure::Rejected { retry_after }
            }
            failure => failure,
        }
    }

    /// Sends one slice and reads its response.
    async fn serve_slice(
        &self,
        request: &BatchInProgress<'_>,
        dispatch: &SliceDispatch,
    ) -> Result<ServedSlice, SliceError> {
        let BatchInProgress {
            context,
            batch,
            model,
        } = request;
        let encoded_bytes = batch.encoded_bytes(&dispatch.items, model.name);
        let Some(request_reservation) = self.budget.reserve(encoded_bytes) else {
            return Err(SliceError::Failed(SliceFailure::OutOfMemory {
                retry_after: to_micros(DEFAULT_RETRY_AFTER),
            }));
        };
        let body = batch.encode(&dispatch.items, model.name);
        let message = context.forwarded_request(batch.form.endpoint_path(), body);
        let id = slice_request_id(context, dispatch);
        let incoming = context.incoming_request(id, *model, dispatch.tokens, message);
        // If the client disconnects, this future is dropped; the guard is dropped with it and
        // cancels the attempt.
        let (response, _disconnect) = self.handle.submit(incoming).response().await;
        let stream = slice_stream(response, dispatch)?;
        drop(request_reservation);
        let reservation = self.budget.reserve(0).ok_or(SLICE_FAILED)?;
        let collected = collect_body(stream, reservation, self.setup.limits.body_bytes).await;
        let CollectedBody {
            data,
            mut reservation,
        } = collected.map_err(|_| SLICE_FAILED)?;
        let result = SliceResult::decode(batch, dispatch.items.len(), &data).map_err(|error| {
            tracing::warn!(
                request_id = %context.id(),
                %error,
                "invalid response to a slice; the slice fails"
            );
            SLICE_FAILED
        })?;
        if !reservation.try_grow_to(result.memory_bytes()) {
            return Err(SLICE_FAILED);
        }
        reservation.shrink_to(result.memory_bytes());
        Ok(ServedSlice {
            result,
            reservation,
        })
    }
}

/// Returns the request id of a dispatch. For the endpoints each dispatch is a separate request,
/// retries included. The first one has the batch's id; later ones add their sequence number.
fn slice_request_id(context: &RequestContext, dispatch: &SliceDispatch) -> Rc<str> {
    if dispatch.sequence == 0 {
        return context.id().clone();
    }
    format!("{}.{}", context.id(), dispatch.sequence).into()
}

/// Returns the body of the response to a slice, or the reason why there is none.
fn slice_stream(
    response: FinalResponse,
    dispatch: &SliceDispatch,
) -> Result<BodyStream, SliceError> {
    match response {
        FinalResponse::Streaming { body, .. } => Ok(body),
        FinalResponse::Rejected(retry_after) => Err(SliceError::Failed(SliceFailure::Rejected {
            retry_after: to_micros(retry_after),
        })),
        FinalResponse::DuplicateId if dispatch.sequence == 0 => Err(SliceError::DuplicateId),
        FinalResponse::Failed | FinalResponse::DuplicateId => Err(SLICE_FAILED),
    }
}
