//! One connection to an endpoint: the permit that bounds their number, the task that drives it, and
//! the progress of its current request.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cranetack_routing_policy::EndpointId;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::observed_stream::ObservedStream;
use super::progress::WireProgress;
use crate::closing::shut_down_and_drain;
use crate::core::{EndReason, Endpoint, UsedConnection, WireTrace, Written};
use crate::socket::Socket;

/// The most that is read ahead on a connection, and so the longest head of a response.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// How long an endpoint may take to close its side after an attempt has been abandoned. It covers
/// a round trip; waiting longer for an endpoint that cannot be reached tells nothing.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(25);
/// How long a connection may take to finish a message that has been answered before it is pooled.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(50);

/// One connection to an endpoint, used by one request at a time. Dropping it closes it.
pub(crate) struct PooledConnection {
    number: u64,
    endpoint: EndpointId,
    address: SocketAddr,
    stream: Rc<RefCell<Socket>>,
    sender: SendRequest<Full<Bytes>>,
    progress: Rc<WireProgress>,
    driver: JoinHandle<()>,
    /// For how long it was idle before it was acquired, if it has been used before.
    idle_for: Option<Duration>,
    _permit: OwnedSemaphorePermit,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl PooledConnection {
    /// Starts HTTP over a stream to the endpoint's `address`. `number` identifies the connection in
    /// the log.
    pub(super) async fn start(
        number: u64,
        endpoint: &Endpoint,
        address: SocketAddr,
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
    ) -> hyper::Result<PooledConnection> {
        let stream = Rc::new(RefCell::new(Socket::from(stream)));
        let progress = Rc::new(WireProgress::default());
        let io = TokioIo::new(ObservedStream::new(stream.clone(), progress.clone()));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(io)
            .await?;
        // How the connection ends is seen by the request that it carries.
        let driver = tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(PooledConnection {
            number,
            endpoint: endpoint.id,
            address,
            stream,
            sender,
            progress,
            driver,
            idle_for: None,
            _permit: permit,
        })
    }

    /// Sends a request and waits for the head of its response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Bytes>,
    ) -> hyper::Result<Response<Incoming>> {
        self.progress.begin_request(request.body().len());
        self.sender.send_request(request.map(Full::new)).await
    }

    /// Its endpoint.
    pub(crate) fn endpoint(&self) -> EndpointId {
        self.endpoint
    }

    /// The address that it is connected to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// What has passed over it since the current request began.
    pub(crate) fn trace(&self) -> WireTrace {
        let bytes = self.progress.bytes();
        WireTrace {
            connection: Some(UsedConnection {
                number: self.number,
                reused: self.idle_for.is_some(),
            }),
            written: Written {
                bytes: bytes.written,
                complete: self.progress.request_complete(),
            },
            read: bytes.read,
            reason: EndReason::default(),
        }
    }

    /// How far the current request and its response have come.
    pub(crate) fn progress(&self) -> &Rc<WireProgress> {
        &self.progress
    }

    /// For how long it was idle before it was acquired, if it has been used before.
    pub(crate) fn idle_for(&self) -> Option<Duration> {
        self.idle_for
    }

    /// Whether it was idle and broke without any response: its endpoint had dropped it unnoticed,
    /// which is no sign of a fault of the endpoint.
    pub(crate) fn was_dropped_idle(&self) -> bool {
        self.idle_for.is_some() && self.progress.is_between_responses()
    }

    /// Whether it was idle and nothing of the request has been written: another connection may be
    /// used in its place.
    pub(crate) fn was_stale(&self) -> bool {
        self.idle_for.is_some() && self.progress.nothing_written()
    }

    /// Whether it is closed, as far as the runtime has seen.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether it can take a request now: nothing has arrived since the last response, and it has
    /// not been closed. The system is asked too, as the runtime may not have seen yet what arrived
    /// last: the end of the connection, or a second response that the next request would be given.
    pub(super) fn is_reusable(&self) -> bool {
        self.sender.is_ready() && self.has_nothing_received()
    }

    fn has_nothing_received(&self) -> bool {
        let stream = self.stream.borrow();
        let mut byte = [MaybeUninit::uninit()];
        let received = SockRef::from(&*stream).recv(&mut byte);
        received.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Notes that it is used again, after it was idle for this long.
    pub(super) fn mark_reused(&mut self, idle_for: Duration) {
        self.idle_for = Some(idle_for);
        self.progress.reset();
    }

    /// Waits until its last message has ended on both sides; whether another request can follow.
    pub(super) async fn settle(&mut self) -> bool {
        if !self.progress.is_between_responses() {
            return false;
        }
        matches!(
            timeout(SETTLE_TIMEOUT, self.sender.ready()).await,
            Ok(Ok(()))
        )
    }

    /// Closes the connection and waits until it is closed on this side.
    pub(crate) async fn close(mut self) {
        self.stop_driver().await;
    }

    /// Abandons the request in flight: closes this side, and waits for a while until the endpoint
    /// has closed its own. What is sent next goes over another connection and could overtake the
    /// close, so that the endpoint would have two attempts of a request at once, or reject the new
    /// one.
    pub(crate) async fn abandon(mut self) {
        self.stop_driver().await;
        if !self.progress.nothing_written() {
            let _ = timeout(CLOSE_TIMEOUT, shut_down_and_drain(&self.stream)).await;
        }
    }

    async fn stop_driver(&mut self) {
        self.driver.abort();
        let _ = (&mut self.driver).await;
    }
}
