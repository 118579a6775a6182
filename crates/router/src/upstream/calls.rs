//! Short calls of servers: probes, reservations and releases.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cranetack_routing_policy::{ConnectFailure, Outcome};
use http::{Method, Request, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{timeout, timeout_at, Instant};

use super::pool::PooledConnection;
use super::{Shared, BODY_MOST};
use crate::core::{Endpoint, SlotReservation};

/// How long a writer may take to answer a request for a place. It says after 300 ms that it knows of no read; what it
/// then holds for nobody must be let go within the same span again.
const PLACE_WAIT: Duration = Duration::from_millis(500);
/// How long one server may take to let go ...
const RELEASE_WAIT: Duration = Duration::from_millis(250);
/// ... after which span another one is asked as well ...
const RELEASE_STAGGER: Duration = Duration::from_millis(40);
/// ... and how long this is tried for.
const RELEASE_FOR: Duration = Duration::from_secs(10);

pub(super) async fn collect<B: Body<Data = Bytes>>(
    body: B,
) -> Result<Bytes, Box<dyn std::error::Error + Send + Sync>>
where
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    Ok(Limited::new(body, BODY_MOST).collect().await?.to_bytes())
}

/// A call without a body.
pub(super) fn call(method: Method, target: &str) -> Option<Request<Bytes>> {
    Request::builder()
        .method(method)
        .uri(target)
        .header("host", "worker")
        .body(Bytes::new())
        .ok()
}

impl Shared {
    /// Makes a short call and gives its connection back. `Err` says whether the call may have been heard.
    async fn call(
        &self,
        connection: PooledConnection,
        request: Request<Bytes>,
        until: Instant,
    ) -> Result<(StatusCode, Bytes), bool> {
        let mut connection = connection;
        let answer = timeout_at(until, async {
            let answer = connection.send(request).await.ok()?;
            let status = answer.status();
            Some((status, collect(answer.into_body()).await.ok()?))
        });
        match answer.await.ok().flatten() {
            Some(answer) => {
                self.pool.release(connection).await;
                Ok(answer)
            }
            None => {
                let heard = connection.progress().all_written();
                connection.close().await;
                Err(heard)
            }
        }
    }

    pub(super) async fn load(&self, endpoint: &Endpoint) -> Result<(StatusCode, String), Outcome> {
        let until = Instant::now() + self.options.connect_timeout;
        let connection = self
            .pool
            .acquire(endpoint, until)
            .await
            .map_err(|_| Outcome::ConnectFailed(ConnectFailure::Unreachable))?;
        let request = call(Method::GET, "/metrics/load").ok_or(Outcome::NotSent)?;
        match self.call(connection, request, until).await {
            Ok((status, body)) => Ok((status, String::from_utf8_lossy(&body).into_owned())),
            Err(true) => Err(Outcome::TimedOut),
            Err(false) => Err(Outcome::ConnectFailed(ConnectFailure::Unreachable)),
        }
    }

    /// Asks for a place once the reading request's last byte is out; `None` if nothing was asked.
    pub(super) async fn request_reservation(
        &self,
        mut written: watch::Receiver<bool>,
        request_id: &str,
        writer: &Endpoint,
    ) -> Option<SlotReservation> {
        let until = Instant::now() + self.options.connect_timeout;
        // The reading attempt's end drops the sender: then there is no read to hold a place for.
        let out = async { written.wait_for(|w| *w).await.is_ok() };
        let (out, connection) = tokio::join!(out, self.pool.acquire(writer, until));
        let connection = connection.ok()?;
        if !out || written.has_changed().is_err() || !writer.is_active() {
            self.pool.release(connection).await;
            return None;
        }
        let request = call(Method::POST, &format!("/bootstrap/rooms/{request_id}"))?;
        match self
            .call(connection, request, Instant::now() + PLACE_WAIT)
            .await
        {
            Ok((StatusCode::OK, _)) => Some(SlotReservation::Granted),
            Ok((StatusCode::CONFLICT, _)) => Some(SlotReservation::Refused),
            Ok((StatusCode::NOT_FOUND, _)) | Err(false) => None,
            Ok(_) | Err(true) => Some(SlotReservation::Unknown),
        }
    }

    /// Lets go of all that is held for a request, through the first of the servers that answers. The next one is asked
    /// while those before it may still answer: guards against several in a row that hang, or are cut off, and together
    /// take longer than anything may be held.
    pub(super) async fn let_go(self: Rc<Self>, request_id: Rc<str>, endpoints: Vec<Rc<Endpoint>>) {
        let give_up = Instant::now() + RELEASE_FOR;
        let mut calls = JoinSet::new();
        for endpoint in endpoints.into_iter().cycle() {
            if Instant::now() > give_up {
                break;
            }
            calls.spawn_local(self.clone().release_through(request_id.clone(), endpoint));
            if timeout(RELEASE_STAGGER, any_succeeds(&mut calls))
                .await
                .is_ok()
            {
                return;
            }
        }
        tracing::warn!(request = &*request_id, "nobody could be told to let go");
    }

    /// Whether this server has let go of all that is held for a request, at any of them.
    async fn release_through(self: Rc<Self>, request_id: Rc<str>, endpoint: Rc<Endpoint>) -> bool {
        let until = Instant::now() + RELEASE_WAIT;
        let Some(request) = call(Method::DELETE, &format!("/bootstrap/rooms/{request_id}")) else {
            return false;
        };
        let Ok(connection) = self.pool.acquire(&endpoint, until).await else {
            return false;
        };
        let released = self.call(connection, request, until).await.is_ok();
        tracing::debug!(id = %request_id, at = endpoint.name, released, "a release has ended");
        released
    }
}

/// Waits until one of the calls has succeeded.
async fn any_succeeds(calls: &mut JoinSet<bool>) {
    while let Some(ended) = calls.join_next().await {
        if ended.unwrap_or(false) {
            return;
        }
    }
    std::future::pending().await
}

#[cfg(test)]
mod tests;
