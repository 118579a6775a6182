//! Accepts the connections of a listener and serves a [`Frontend`] on each.

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::Future;
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
use tower::Service;

use super::body::RequestBody;
use super::client_stream::{ReadAhead, TrackedStream};
use super::connection_state::READ_BUFFER_LIMIT;
use super::connections::{ClientConnection, ConnectionLimiter, RequestTracker};
use super::response_body::GuardedBody;
use super::Frontend;
use crate::shutdown::Phase;
use crate::socket::Socket;

/// The interval between two checks for connections that have exceeded a timeout.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
/// The delay after a failure to accept: file descriptors may be short for a while.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections until `phase` is [`Phase::Finishing`], and returns when all requests on them
/// have been answered.
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
    mut phase: watch::Receiver<Phase>,
) {
    let mut connections = JoinSet::new();
    loop {
        let (stream, connection) = tokio::select! {
            biased;
            _ = phase.wait_for(|p| *p >= Phase::Finishing) => break,
            accepted = accept(&listener, limiter) => accepted,
        };
        while connections.try_join_next().is_some() {}
        let service = ConnectionService {
            frontend: frontend.clone(),
            phase: phase.clone(),
            requests: connection.requests(),
        };
        connections.spawn_local(serve_connection(stream, connection, service, phase.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn close_expired_connections(limiter: &ConnectionLimiter) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        limiter.close_expired();
    }
}

/// Accepts the next connection, once there is a permit for it: until then clients wait in the
/// system's queue. No failure, such as a lack of file descriptors, ends the listening.
async fn accept(
    listener: &TcpListener,
    limiter: &Rc<ConnectionLimiter>,
) -> (TcpStream, ClientConnection) {
    let permit = limiter.acquire().await;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return (stream, limiter.register(permit)),
            // The client has closed it already, and the next may be waiting.
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                ) =>
            {
                tracing::debug!(%error, "client connection closed before it was accepted");
            }
            Err(error) => {
                tracing::warn!(%error, "could not accept a client connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves a connection to its end, and closes it.
async fn serve_connection<F: Frontend>(
    stream: TcpStream,
    connection: ClientConnection,
    service: ConnectionService<F>,
    phase: watch::Receiver<Phase>,
) {
    let _ = stream.set_nodelay(true);
    let stream = Rc::new(RefCell::new(Socket::from(stream)));
    serve_requests(stream.clone(), &connection, service, phase).await;
    connection.close_gracefully(stream).await;
}

/// Serves the requests of a connection until it ends, its client disconnects, or it is to be
/// closed.
async fn serve_requests<F: Frontend>(
    stream: Rc<RefCell<Socket>>,
    connection: &ClientConnection,
    service: ConnectionService<F>,
    phase: watch::Receiver<Phase>,
) {
    let (tracked, read_ahead) = connection.track(stream.clone());
    let served = serve_http(tracked, connection, service, phase);
    tokio::pin!(served);
    let result = loop {
        tokio::select! {
            biased;
            () = connection.close_requested() => {
                // The request was not known when the connection was chosen for closing.
                if !connection.has_unread_request(&stream) {
                    return;
                }
            }
            result = &mut served => break result,
            () = disconnect_logged(&read_ahead) => return,
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "client connection failed");
    }
}

async fn disconnect_logged(read_ahead: &ReadAhead) {
    read_ahead.client_disconnected().await;
    tracing::debug!("client disconnected before its response was complete");
}

/// Runs HTTP on a connection until it ends, which a graceful shutdown makes it do after the current
/// request.
async fn serve_http<F: Frontend>(
    stream: TrackedStream,
    connection: &ClientConnection,
    service: ConnectionService<F>,
    mut phase: watch::Receiver<Phase>,
) -> hyper::Result<()> {
    // The limiter enforces the timeouts of clients.
    let served = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(READ_BUFFER_LIMIT)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service));
    tokio::pin!(served);
    tokio::select! {
        biased;
        result = &mut served => return result,
        _ = phase.wait_for(|p| *p >= Phase::Finishing) => {}
    }
    // A request head that is not complete by now might be complete too late to be answered: its
    // client sends it to another router.
    if connection.is_receiving() {
        return Ok(());
    }
    served.as_mut().graceful_shutdown();
    served.await
}

/// A frontend as a tower service on one connection.
#[derive(Clone)]
struct ConnectionService<F> {
    frontend: F,
    phase: watch::Receiver<Phase>,
    requests: RequestTracker,
}

impl<F: Frontend> ConnectionService<F> {
    async fn respond(self, request: Request<Incoming>) -> Response<GuardedBody> {
        let guard = self.requests.begin();
        let expects_continue = request.headers().contains_key(EXPECT);
        let request = request.map(|body| RequestBody {
            body,
            deadline: guard.body_deadline(),
            is_ambiguous: self.requests.is_ambiguous(),
            expects_continue,
        });
        let mut response = self.frontend.respond(request).await;
        // A client that learns it now sends its next request elsewhere, and its connection need not
        // be closed later.
        if *self.phase.borrow() >= Phase::Draining || self.requests.is_last() {
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
