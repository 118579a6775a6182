//! Accepts the connections of a listener and serves a [`Frontend`] on each of them.

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::{poll_fn, ready, Future};
use std::io::ErrorKind;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use http::header::{CONNECTION, EXPECT};
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tower::Service;

use super::body::RequestBody;
use super::client_stream::{ReadAhead, TrackedStream};
use super::connection_state::READ_BUFFER_LIMIT;
use super::connections::{ClientConnection, ConnectionLimiter, RequestTracker};
use super::response_body::GuardedBody;
use super::Frontend;
use crate::shutdown::{self, Phase};
use crate::socket::Socket;

/// Interval between two checks for connections that have exceeded a timeout.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before the next attempt to accept a connection after a failure, such as a temporary lack
/// of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of connections without a permit that are served at once after the accept window.
/// Each uses one of the file descriptors that are reserved for other purposes.
const MAX_CONNECTIONS_WITHOUT_PERMIT: usize = 4;
/// Maximum time for which connections are taken from the accept queue after the accept window.
const ACCEPT_QUEUE_TIMEOUT: Duration = Duration::from_millis(500);

/// Accepts connections until `phase` is [`Phase::Finishing`], and returns when all requests that
/// arrived on them have been answered.
pub async fn serve<F: Frontend>(
    listener: TcpListener,
    frontend: F,
    connection_limit: usize,
    phase: watch::Receiver<Phase>,
) {
    let limiter = ConnectionLimiter::new(connection_limit, frontend.limits());
    tokio::select! {
        () = accept_until_finishing(listener, frontend, &limiter, phase) => {}
        () = close_expired_connections(&limiter) => {}
    }
}

async fn accept_until_finishing<F: Frontend>(
    listener: TcpListener,
    frontend: F,
    limiter: &Rc<ConnectionLimiter>,
    phase: watch::Receiver<Phase>,
) {
    let mut connections = JoinSet::new();
    loop {
        let (stream, connection) = tokio::select! {
            biased;
            () = shutdown::accept_window_ended(phase.clone()) => break,
            accepted = accept(&listener, limiter) => accepted,
        };
        while connections.try_join_next().is_some() {}
        connections.spawn_local(serve_connection(
            stream,
            connection,
            frontend.clone(),
            phase.clone(),
        ));
    }
    reject_queued(listener, frontend, limiter, phase).await;
    while connections.join_next().await.is_some() {}
}

/// Serves the connections that are in the operating system's accept queue at the end of the accept
/// window, and closes the listener. If the listener were closed before, they would be reset,
/// although requests may have arrived on them. They have no permits: those of a router whose
/// connections are all in use become free too late.
async fn reject_queued<F: Frontend>(
    listener: TcpListener,
    frontend: F,
    limiter: &Rc<ConnectionLimiter>,
    phase: watch::Receiver<Phase>,
) {
    let mut connections = JoinSet::new();
    let accepting = async {
        while let Some(stream) = accept_queued(&listener).await {
            if connections.len() >= MAX_CONNECTIONS_WITHOUT_PERMIT {
                connections.join_next().await;
            }
            connections.spawn_local(serve_connection(
                stream,
                limiter.register(None),
                frontend.clone(),
                phase.clone(),
            ));
        }
    };
    // New connections that arrive all the time must not keep the listener open.
    let _ = timeout(ACCEPT_QUEUE_TIMEOUT, accepting).await;
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Accepts the next connection in the operating system's accept queue, if there is one.
async fn accept_queued(listener: &TcpListener) -> Option<TcpStream> {
    tokio::select! {
        biased;
        accepted = listener.accept() => accepted.ok().map(|(stream, _)| stream),
        () = ready(()) => None,
    }
}

async fn close_expired_connections(limiter: &ConnectionLimiter) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        limiter.close_expired();
    }
}

/// Waits for a permit and accepts the next connection. Until there is a permit, clients wait in the
/// operating system's accept queue. No failure stops the listener, not even a lack of file
/// descriptors.
async fn accept(
    listener: &TcpListener,
    limiter: &Rc<ConnectionLimiter>,
) -> (TcpStream, ClientConnection) {
    let permit = limiter.acquire().await;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return (stream, limiter.register(permit)),
            // The client has already closed this connection. The next one may be waiting, so it is
            // accepted without a delay.
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                ) =>
            {
                tracing::debug!(%error, "client connection closed before it was accepted");
            }
            Err(error) => {
                tracing::warn!(%error, "could not accept a client connection, will retry");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves all requests of a connection, and closes it.
async fn serve_connection<F: Frontend>(
    stream: TcpStream,
    connection: ClientConnection,
    frontend: F,
    phase: watch::Receiver<Phase>,
) {
    let service = ConnectionService {
        frontend,
        phase: phase.clone(),
        request_tracker: connection.request_tracker(),
    };
    let _ = stream.set_nodelay(true);
    let stream = Rc::new(RefCell::new(Socket::from(stream)));
    serve_requests(stream.clone(), &connection, service, phase).await;
    connection.close_gracefully(stream).await;
}

/// Serves the requests of a connection until it ends, its client disconnects, or the connection
/// limiter requests its close.
async fn serve_requests<F: Frontend>(
    stream: Rc<RefCell<Socket>>,
    connection: &ClientConnection,
    service: ConnectionService<F>,
    phase: watch::Receiver<Phase>,
) {
    let (tracked, read_ahead) = connection.track(stream.clone());
    let serving = serve_http(tracked, &stream, connection, service, phase);
    tokio::pin!(serving);
    let result = loop {
        tokio::select! {
            biased;
            () = connection.close_requested() => {
                // A request that arrived after the connection was chosen for closing is served.
                if !connection.has_unread_request(&stream) {
                    return;
                }
            }
            result = &mut serving => break result,
            () = wait_for_disconnect(&read_ahead) => return,
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "client connection failed");
    }
}

/// Waits until the client disconnects while one of its requests is being answered, and logs that.
async fn wait_for_disconnect(read_ahead: &ReadAhead) {
    read_ahead.client_disconnected().await;
    tracing::debug!("client disconnected before its response was complete");
}

/// Serves HTTP on a connection until it ends. After the accept window of a graceful shutdown, the
/// connection is closed as soon as no request is being answered and none has arrived unread.
async fn serve_http<F: Frontend>(
    stream: TrackedStream,
    socket: &RefCell<Socket>,
    connection: &ClientConnection,
    service: ConnectionService<F>,
    phase: watch::Receiver<Phase>,
) -> hyper::Result<()> {
    // hyper's own timeout is disabled: the connection limiter enforces the timeouts of clients.
    let serving = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(READ_BUFFER_LIMIT)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service));
    tokio::pin!(serving);
    tokio::select! {
        biased;
        result = &mut serving => return result,
        () = shutdown::accept_window_ended(phase) => {}
    }
    let mut is_closing = false;
    poll_fn(|cx| loop {
        if let Poll::Ready(result) = serving.as_mut().poll(cx) {
            return Poll::Ready(result);
        }
        // A request that has arrived but was read too late, or whose body is still incomplete, is
        // rejected by `RequestBody::read_to_end`.
        if is_closing || connection.has_unread_request(socket) {
            return Poll::Pending;
        }
        // A request whose head is still incomplete is not accepted. The connection is closed, and
        // the client sends the request to another router.
        if connection.is_receiving_head() {
            return Poll::Ready(Ok(()));
        }
        // hyper would close a connection at once on which the body of a rejected request is still
        // arriving, so it is asked to close idle connections only.
        if !connection.is_idle() {
            return Poll::Pending;
        }
        is_closing = true;
        serving.as_mut().graceful_shutdown();
    })
    .await
}

/// A tower service that serves a frontend on one connection.
#[derive(Clone)]
struct ConnectionService<F> {
    frontend: F,
    phase: watch::Receiver<Phase>,
    request_tracker: RequestTracker,
}

impl<F: Frontend> ConnectionService<F> {
    async fn respond(self, request: Request<Incoming>) -> Response<GuardedBody> {
        let guard = self.request_tracker.begin();
        let expects_continue = request.headers().contains_key(EXPECT);
        let request = request.map(|body| RequestBody {
            body,
            phase: self.phase.clone(),
            deadline: guard.body_deadline(),
            has_ambiguous_length: self.request_tracker.has_ambiguous_length(),
            expects_continue,
        });
        let mut response = self.frontend.respond(request).await;
        // `Connection: close` makes the client send its next request on another connection, and
        // this one need not be closed later.
        if self.phase.borrow().is_shutting_down() || self.request_tracker.is_last_request() {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response.map(|body| GuardedBody::new(body, guard))
    }
}

impl<F: Frontend> Service<Request<Incoming>> for ConnectionService<F> {
    type Response = Response<GuardedBody>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response<GuardedBody>, Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let response = self.clone().respond(request);
        Box::pin(async move { Ok(response.await) })
    }
}
