//! Short calls to endpoints: health checks, slot reservations and releases of KV state.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cranetack_routing_policy::{ConnectFailure, LoadReport, Outcome, RejectReason};
use http::{Method, Request, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{timeout, timeout_at, Instant};

use super::connection::PooledConnection;
use super::{load_report, Shared, BODY_BYTES_LIMIT};
use crate::core::{Endpoint, SlotReservation};
use crate::exchange::Payload;

/// Timeout of a slot reservation at a decode endpoint. After 300 ms the endpoint responds that it
/// knows of no prefill. A slot that it then holds for no request must be released within another
/// 300 ms.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a release at one endpoint.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without a response after which the release is also sent to the next endpoint.
const RELEASE_STAGGER: Duration = Duration::from_millis(40);
/// Time from the start of a release after which no more calls are started for it.
const RELEASE_RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Why a call got no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum CallError {
    /// The request was not written completely, so the endpoint cannot have executed it.
    #[error("the request was not written completely")]
    NotWritten,
    /// The request was written; whether the endpoint has executed it is unknown.
    #[error("the endpoint did not send a complete response in time")]
    NoResponse,
}

/// Reads a whole body of at most [`BODY_BYTES_LIMIT`] bytes.
pub(super) async fn collect_body<B: Body<Data = Bytes>>(
    body: B,
) -> Result<Bytes, Box<dyn std::error::Error + Send + Sync>>
where
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collected = Limited::new(body, BODY_BYTES_LIMIT).collect().await?;
    Ok(collected.to_bytes())
}

/// Builds a request without a body; `None` if the target is not valid.
pub(super) fn empty_request(method: Method, target: &str) -> Option<Request<Payload>> {
    Request::builder()
        .method(method)
        .uri(target)
        .header("host", "worker")
        .body(Payload::default())
        .ok()
}

/// Returns the target for reserving a slot for a request and for releasing its state.
fn reservation_target(request_id: &str) -> String {
    format!("/bootstrap/rooms/{request_id}")
}

impl Shared {
    /// Makes a call over a connection and returns the connection to the pool if the endpoint
    /// responds.
    async fn call(
        &self,
        mut connection: PooledConnection,
        request: Request<Payload>,
        deadline: Instant,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let exchange = async {
            let response = connection.send(request).await.ok()?;
            let status = response.status();
            let body = collect_body(response.into_body()).await.ok()?;
            Some((status, body))
        };
        if let Ok(Some(response)) = timeout_at(deadline, exchange).await {
            self.pool.release(connection).await;
            return Ok(response);
        }
        let error = if connection.progress().request_complete() {
            CallError::NoResponse
        } else {
            CallError::NotWritten
        };
        connection.close().await;
        Err(error)
    }

    /// Fetches an endpoint's load report; `None` if its response contains no load report.
    pub(super) async fn fetch_load_report(
        &self,
        endpoint: &Endpoint,
    ) -> Result<Option<LoadReport>, Outcome> {
        const UNREACHABLE: Outcome = Outcome::ConnectFailed(ConnectFailure::Unreachable);
        let deadline = Instant::now() + self.options.connect_timeout;
        let connection = self
            .pool
            .acquire(endpoint, deadline)
            .await
            .map_err(|_| UNREACHABLE)?;
        let request = empty_request(Method::GET, "/metrics/load").ok_or(Outcome::NotSent)?;
        match self.call(connection, request, deadline).await {
            Ok((StatusCode::OK, body)) => {
                let text = String::from_utf8_lossy(&body);
                Ok(load_report::parse(&text, &self.options.load_report_columns))
            }
            Ok(_) => Err(Outcome::Rejected(RejectReason::Overloaded)),
            Err(CallError::NoResponse) => Err(Outcome::TimedOut),
            Err(CallError::NotWritten) => Err(UNREACHABLE),
        }
    }

    /// Requests a slot at a decode endpoint once the prefill request has been written; `None` if no
    /// slot is needed any more, the endpoint accepts no new requests or knows of no prefill, or the
    /// reservation could not be written.
    pub(super) async fn request_reservation(
        &self,
        mut prefill_written: watch::Receiver<bool>,
        request_id: &str,
        decode: &Endpoint,
    ) -> Option<SlotReservation> {
        let connect_by = Instant::now() + self.options.connect_timeout;
        // The sender is dropped when the prefill attempt ends; a slot is not needed after that.
        let is_written = async { prefill_written.wait_for(|written| *written).await.is_ok() };
        let (is_written, connection) =
            tokio::join!(is_written, self.pool.acquire(decode, connect_by));
        let connection = connection.ok()?;
        let prefill_ended = prefill_written.has_changed().is_err();
        if !is_written || prefill_ended || !decode.is_active() {
            self.pool.release(connection).await;
            return None;
        }
        let request = empty_request(Method::POST, &reservation_target(request_id))?;
        let response_deadline = Instant::now() + RESERVATION_TIMEOUT;
        match self.call(connection, request, response_deadline).await {
            Ok((StatusCode::OK, _)) => Some(SlotReservation::Granted),
            Ok((StatusCode::CONFLICT, _)) => Some(SlotReservation::Refused),
            Ok((StatusCode::NOT_FOUND, _)) | Err(CallError::NotWritten) => None,
            Ok(_) | Err(CallError::NoResponse) => Some(SlotReservation::Unknown),
        }
    }

    /// Releases all KV state and slots held for a request at any endpoint, through the first of
    /// `endpoints` that responds. The next one is called while the previous calls are still
    /// waiting: otherwise several unresponsive endpoints together would take longer than state may
    /// be held.
    pub(super) async fn release(self: Rc<Self>, request_id: Rc<str>, endpoints: Vec<Rc<Endpoint>>) {
        let retry_until = Instant::now() + RELEASE_RETRY_WINDOW;
        let mut calls = JoinSet::new();
        for endpoint in endpoints.into_iter().cycle() {
            if Instant::now() > retry_until {
                break;
            }
            calls.spawn_local(self.clone().release_through(request_id.clone(), endpoint));
            let released = timeout(RELEASE_STAGGER, wait_for_any_success(&mut calls)).await;
            if released.is_ok() {
                return;
            }
        }
        tracing::warn!(%request_id, "KV state and slots not released: no endpoint responded");
    }

    /// Asks one endpoint to release what is held for a request at any endpoint. Returns whether the
    /// endpoint responded.
    async fn release_through(self: Rc<Self>, request_id: Rc<str>, endpoint: Rc<Endpoint>) -> bool {
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        let Some(request) = empty_request(Method::DELETE, &reservation_target(&request_id)) else {
            return false;
        };
        let Ok(connection) = self.pool.acquire(&endpoint, deadline).await else {
            return false;
        };
        let released = self.call(connection, request, deadline).await.is_ok();
        tracing::debug!(%request_id, endpoint = endpoint.name, released, "release ended");
        released
    }
}

/// Waits until one of the calls succeeds; waits for ever if all of them fail.
async fn wait_for_any_success(calls: &mut JoinSet<bool>) {
    while let Some(ended) = calls.join_next().await {
        if ended.unwrap_or(false) {
            return;
        }
    }
    std::future::pending().await
}

#[cfg(test)]
mod tests;
