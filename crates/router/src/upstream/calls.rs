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

/// How long a decode endpoint may take to answer a slot reservation. After 300 ms it answers that
/// it knows of no prefill; a slot that it then holds for nobody must be released within the same
/// span again.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(500);
/// How long one endpoint may take to answer a release.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(250);
/// After how long without an answer the release is sent to the next endpoint as well.
const RELEASE_STAGGER: Duration = Duration::from_millis(40);
/// For how long a release is tried.
const RELEASE_RETRY_SPAN: Duration = Duration::from_secs(10);

/// Why a short call has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum CallError {
    /// The request was not written completely, so the endpoint cannot have executed it.
    #[error("the request was not written")]
    NotWritten,
    /// The request was written; whether the endpoint has executed it is unknown.
    #[error("the request was not answered")]
    Unanswered,
}

/// Reads a body of bounded length to its end.
pub(super) async fn collect_body<B: Body<Data = Bytes>>(
    body: B,
) -> Result<Bytes, Box<dyn std::error::Error + Send + Sync>>
where
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collected = Limited::new(body, BODY_BYTES_LIMIT).collect().await?;
    Ok(collected.to_bytes())
}

/// A request without a body.
pub(super) fn empty_request(method: Method, target: &str) -> Option<Request<Bytes>> {
    Request::builder()
        .method(method)
        .uri(target)
        .header("host", "worker")
        .body(Bytes::new())
        .ok()
}

/// The target of slot reservations and releases for a request.
fn reservation_target(request_id: &str) -> String {
    format!("/bootstrap/rooms/{request_id}")
}

impl Shared {
    /// Makes a short call over a connection, which goes back to the pool if there is a response.
    async fn call(
        &self,
        mut connection: PooledConnection,
        request: Request<Bytes>,
        until: Instant,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let exchange = async {
            let response = connection.send(request).await.ok()?;
            let status = response.status();
            let body = collect_body(response.into_body()).await.ok()?;
            Some((status, body))
        };
        if let Ok(Some(response)) = timeout_at(until, exchange).await {
            self.pool.release(connection).await;
            return Ok(response);
        }
        let error = if connection.progress().request_complete() {
            CallError::Unanswered
        } else {
            CallError::NotWritten
        };
        connection.close().await;
        Err(error)
    }

    /// Asks an endpoint for its load report, which may be absent from its response.
    pub(super) async fn fetch_load_report(
        &self,
        endpoint: &Endpoint,
    ) -> Result<Option<LoadReport>, Outcome> {
        const NOT_REACHED: Outcome = Outcome::ConnectFailed(ConnectFailure::Unreachable);
        let until = Instant::now() + self.options.connect_timeout;
        let connection = self
            .pool
            .acquire(endpoint, until)
            .await
            .map_err(|_| NOT_REACHED)?;
        let request = empty_request(Method::GET, "/metrics/load").ok_or(Outcome::NotSent)?;
        match self.call(connection, request, until).await {
            Ok((StatusCode::OK, body)) => {
                let text = String::from_utf8_lossy(&body);
                Ok(load_report::parse(&text, &self.options.report))
            }
            Ok(_) => Err(Outcome::Rejected(RejectReason::Overloaded)),
            Err(CallError::Unanswered) => Err(Outcome::TimedOut),
            Err(CallError::NotWritten) => Err(NOT_REACHED),
        }
    }

    /// Asks a decode endpoint for a slot once the prefill request has been written; `None` if the
    /// endpoint reserves nothing.
    pub(super) async fn request_reservation(
        &self,
        mut prefill_written: watch::Receiver<bool>,
        request_id: &str,
        decode: &Endpoint,
    ) -> Option<SlotReservation> {
        let connect_by = Instant::now() + self.options.connect_timeout;
        // The end of the prefill attempt drops the sender: then no slot is needed.
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
        let answer_by = Instant::now() + RESERVATION_TIMEOUT;
        match self.call(connection, request, answer_by).await {
            Ok((StatusCode::OK, _)) => Some(SlotReservation::Granted),
            Ok((StatusCode::CONFLICT, _)) => Some(SlotReservation::Refused),
            Ok((StatusCode::NOT_FOUND, _)) | Err(CallError::NotWritten) => None,
            Ok(_) | Err(CallError::Unanswered) => Some(SlotReservation::Unknown),
        }
    }

    /// Releases all KV state and slots that endpoints hold for a request, through the first of
    /// these endpoints that answers. The next one is asked while those before it may still answer:
    /// several that hang would otherwise take longer together than state may be held.
    pub(super) async fn release(self: Rc<Self>, request_id: Rc<str>, endpoints: Vec<Rc<Endpoint>>) {
        let give_up = Instant::now() + RELEASE_RETRY_SPAN;
        let mut calls = JoinSet::new();
        for endpoint in endpoints.into_iter().cycle() {
            if Instant::now() > give_up {
                break;
            }
            calls.spawn_local(self.clone().release_through(request_id.clone(), endpoint));
            let released = timeout(RELEASE_STAGGER, wait_any_succeeds(&mut calls)).await;
            if released.is_ok() {
                return;
            }
        }
        tracing::warn!(%request_id, "KV state not released: no endpoint answered");
    }

    /// Asks one endpoint to release what is held for a request at any endpoint; whether it has.
    async fn release_through(self: Rc<Self>, request_id: Rc<str>, endpoint: Rc<Endpoint>) -> bool {
        let until = Instant::now() + RELEASE_TIMEOUT;
        let Some(request) = empty_request(Method::DELETE, &reservation_target(&request_id)) else {
            return false;
        };
        let Ok(connection) = self.pool.acquire(&endpoint, until).await else {
            return false;
        };
        let released = self.call(connection, request, until).await.is_ok();
        tracing::debug!(%request_id, endpoint = endpoint.name, released, "release ended");
        released
    }
}

/// Waits until one of the calls has succeeded.
async fn wait_any_succeeds(calls: &mut JoinSet<bool>) {
    while let Some(ended) = calls.join_next().await {
        if ended.unwrap_or(false) {
            return;
        }
    }
    std::future::pending().await
}

#[cfg(test)]
mod tests;
