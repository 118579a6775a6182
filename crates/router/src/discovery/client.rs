//! HTTP client for the discovery service: a connection, and single calls over it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{timeout, Instant};

use super::list::EndpointList;
use super::schedule::{CONNECT_TIMEOUT, RESPONSE_TIMEOUT, WATCH_GRACE};
use crate::socket::Socket;

/// Maximum size of an endpoint list, in bytes.
const LIST_BYTES_LIMIT: usize = 4 * 1024 * 1024;

/// Why a call to discovery failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum CallError {
    /// No response arrived in time: the connection is broken, or discovery is down.
    #[error("discovery did not respond in time")]
    TimedOut,
    /// The service responded with another status than 200, as it does when it is overloaded.
    #[error("discovery responded with another status than 200")]
    Rejected,
    /// The connection failed, or the response is not an endpoint list.
    #[error("discovery cannot be reached, or its response is not an endpoint list")]
    Unreachable,
}

/// A request for the endpoint list or its changes.
#[derive(Debug, Clone, Copy)]
pub(super) struct ListRequest {
    /// The version whose later changes are requested; `None` requests the complete list.
    pub(super) since_version: Option<u64>,
    /// How long the service may hold back its response while there is no change (long poll).
    pub(super) hold: Duration,
}

/// A connection to the discovery service. It is closed when it is dropped.
pub(super) struct DiscoveryConnection {
    sender: SendRequest<Empty<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for DiscoveryConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl DiscoveryConnection {
    /// Opens a connection to the discovery service at `address`.
    pub(super) async fn connect(address: SocketAddr) -> std::io::Result<DiscoveryConnection> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        DiscoveryConnection::start(Socket::from(stream)).await
    }

    /// Starts an HTTP/1 connection over an open stream.
    pub(super) async fn start(
        stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    ) -> std::io::Result<DiscoveryConnection> {
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        // The result of the connection is dropped: the call in flight receives its error.
        let driver = tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(DiscoveryConnection { sender, driver })
    }

    /// Fetches the endpoint list or its changes. A connection cannot be used again after a failure.
    pub(super) async fn fetch(&mut self, request: ListRequest) -> Result<EndpointList, CallError> {
        let started = Instant::now();
        let response = timeout(request.timeout(), self.exchange(request)).await;
        let status = match &response {
            Ok(Ok((status, _))) => Some(*status),
            _ => None,
        };
        tracing::debug!(
            since_version = request.since_version,
            elapsed = ?started.elapsed(),
            timed_out = response.is_err(),
            ?status,
            "discovery call ended"
        );
        let (status, body) = response.map_err(|_| CallError::TimedOut)??;
        if status != StatusCode::OK {
            return Err(CallError::Rejected);
        }
        serde_json::from_slice(&body).map_err(|error| {
            tracing::warn!(%error, "response of discovery is not a valid endpoint list");
            CallError::Unreachable
        })
    }

    async fn exchange(&mut self, request: ListRequest) -> Result<(StatusCode, Bytes), CallError> {
        let request = Request::get(request.target())
            .header("host", "discovery")
            .body(Empty::new())
            .map_err(|_| CallError::Unreachable)?;
        let unreachable = |_| CallError::Unreachable;
        self.sender.ready().await.map_err(unreachable)?;
        let response = self.sender.send_request(request).await;
        let response = response.map_err(unreachable)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), LIST_BYTES_LIMIT);
        let body = body.collect().await.map_err(|_| CallError::Unreachable)?;
        Ok((status, body.to_bytes()))
    }
}

impl ListRequest {
    fn target(&self) -> String {
        match self.since_version {
            Some(version) => {
                let hold_ms = self.hold.as_millis();
                format!("/discovery/hosts?from={version}&hold_ms={hold_ms}")
            }
            None => "/discovery/hosts".to_owned(),
        }
    }

    fn timeout(&self) -> Duration {
        if self.hold.is_zero() {
            RESPONSE_TIMEOUT
        } else {
            self.hold + WATCH_GRACE
        }
    }
}
