//! One connection to an endpoint, with a permit that counts towards the connection limit, the task
//! that drives the connection, and the progress of the current request.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cranetack_routing_policy::EndpointId;
use http::{Request, Response};
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
use super::request_body::RequestBody;
use crate::closing::shut_down_and_discard;
use crate::core::{EndReason, Endpoint, UsedConnection, WireTrace, Written};
use crate::exchange::Payload;
use crate::memory::MemoryReservation;
use crate::socket::Socket;
use crate::write_window::WriteWindow;

/// Maximum size of a connection's read buffer, which also limits the head of a response.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Maximum time to wait for an endpoint to close its side after an attempt has been abandoned. It
/// covers a round trip; waiting longer for an endpoint that cannot be reached is of no use.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(25);
/// Maximum time for a connection to become ready for another request after a response, before it is
/// returned to the pool.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// A connection to an endpoint, used by one request at a time. It is closed when it is dropped.
pub(crate) struct PooledConnection {
    number: u64,
    endpoint: EndpointId,
    address: SocketAddr,
    stream: Rc<RefCell<Socket>>,
    sender: SendRequest<RequestBody>,
    progress: Rc<WireProgress>,
    window: Rc<WriteWindow>,
    driver: JoinHandle<()>,
    /// How long the connection was idle before it was acquired; `None` if it is new.
    idle_for: Option<Duration>,
    _resources: ConnectionResources,
}

/// What a connection holds until it is closed: a permit that counts towards the connection limit,
/// and the memory of its buffers and tasks.
pub(super) struct ConnectionResources {
    _permit: OwnedSemaphorePermit,
    _memory: MemoryReservation,
}

impl ConnectionResources {
    /// Combines what a connection needs.
    pub(super) fn new(
        permit: OwnedSemaphorePermit,
        memory: MemoryReservation,
    ) -> ConnectionResources {
        ConnectionResources {
            _permit: permit,
            _memory: memory,
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl PooledConnection {
    /// Starts HTTP/1 over a stream to the endpoint's `address`. `number` identifies the connection
    /// in the log.
    pub(super) async fn start(
        number: u64,
        endpoint: &Endpoint,
        address: SocketAddr,
        stream: TcpStream,
        resources: ConnectionResources,
    ) -> hyper::Result<PooledConnection> {
        let stream = Rc::new(RefCell::new(Socket::from(stream)));
        let progress = Rc::new(WireProgress::default());
        let window = Rc::new(WriteWindow::default());
        let observed = ObservedStream::new(stream.clone(), progress.clone(), window.clone());
        let io = TokioIo::new(observed);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(io)
            .await?;
        // The result of the connection is dropped: the request in flight receives its error.
        let driver = tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(PooledConnection {
            number,
            endpoint: endpoint.id,
            address,
            stream,
            sender,
            progress,
            window,
            driver,
            idle_for: None,
            _resources: resources,
        })
    }

    /// Sends a request and waits for the head of its response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Payload>,
    ) -> hyper::Result<Response<Incoming>> {
        self.progress.begin_request(request.body().len());
        self.window.reset();
        let window = self.window.clone();
        let request = request.map(|payload| RequestBody::new(payload, window));
        self.sender.send_request(request).await
    }

    /// The endpoint to which the connection leads.
    pub(crate) fn endpoint(&self) -> EndpointId {
        self.endpoint
    }

    /// The remote address of the connection.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// What has been written and read since the current request began, for the attempt's report.
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

    /// The progress of the current request and its response.
    pub(crate) fn progress(&self) -> &Rc<WireProgress> {
        &self.progress
    }

    /// How long the connection was idle before it was acquired; `None` if it is new.
    pub(crate) fn idle_for(&self) -> Option<Duration> {
        self.idle_for
    }

    /// Whether the connection was idle and then broke without any part of a response. The endpoint
    /// had dropped it without the router noticing, which does not indicate a fault of the endpoint.
    pub(crate) fn was_dropped_idle(&self) -> bool {
        self.idle_for.is_some() && self.progress.is_between_responses()
    }

    /// Whether the connection was idle and nothing of the request has been written, so that the
    /// request may be sent over another connection.
    pub(crate) fn allows_resend(&self) -> bool {
        self.idle_for.is_some() && self.progress.nothing_written()
    }

    /// Whether hyper has noticed that the connection is closed. It may notice late, so
    /// [`PooledConnection::is_reusable`] checks the socket too.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether the connection can take a request now: no data has arrived since the last response,
    /// and it has not been closed. The socket is checked too, as hyper may not have processed the
    /// latest input yet. Such input can be the end of the connection, or a second response that
    /// would be taken for the response to the next request.
    pub(super) fn is_reusable(&self) -> bool {
        self.sender.is_ready() && self.has_no_pending_input()
    }

    fn has_no_pending_input(&self) -> bool {
        let stream = self.stream.borrow();
        let mut byte = [MaybeUninit::uninit()];
        let received = SockRef::from(&*stream).recv(&mut byte);
        received.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Records that the connection is used again after it was idle for `idle_for`.
    pub(super) fn mark_reused(&mut self, idle_for: Duration) {
        self.idle_for = Some(idle_for);
        self.progress.reset();
    }

    /// Waits until the last request and its response have ended. Returns whether the connection can
    /// take another request.
    pub(super) async fn wait_ready(&mut self) -> bool {
        if !self.progress.is_between_responses() {
            return false;
        }
        matches!(
            timeout(READY_TIMEOUT, self.sender.ready()).await,
            Ok(Ok(()))
        )
    }

    /// Closes the connection and waits until this side is closed.
    pub(crate) async fn close(mut self) {
        self.stop_driver().await;
    }

    /// Abandons the request in flight: closes this side, and waits up to [`CLOSE_TIMEOUT`] for the
    /// endpoint to close its side. The next attempt uses another connection and could overtake the
    /// close; the endpoint would then have two attempts of a request at once, or reject the new
    /// one. If the endpoint does not close its side, the connection is reset: what the system has
    /// not sent yet of the request must not arrive after it has been given up.
    pub(crate) async fn abandon(mut self) {
        self.stop_driver().await;
        if self.progress.nothing_written() {
            return;
        }
        let closing = shut_down_and_discard(&self.stream);
        if timeout(CLOSE_TIMEOUT, closing).await.is_err() {
            self.stream.borrow().reset_on_close();
        }
    }

    async fn stop_driver(&mut self) {
        self.driver.abort();
        let _ = (&mut self.driver).await;
    }
}
