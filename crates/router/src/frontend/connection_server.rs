//! Serves HTTP on one client connection, from its first request to its close.

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

use http::header::{CONNECTION, EXPECT};
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::body::{BodyError, RequestBody};
use super::client_stream::{ReadAhead, TrackedStream};
use super::connection_state::READ_BUFFER_LIMIT;
use super::connections::{ClientConnection, RequestGuard, RequestTracker};
use super::headers::head_bytes;
use super::pipeline::Admission;
use super::response_body::{GuardedBody, ResponseBody};
use super::Frontend;
use crate::shutdown::{self, Phase};
use crate::socket::Socket;

/// Serves all requests of a connection, and closes it.
pub(super) async fn serve_connection<F: Frontend>(
    stream: TcpStream,
    connection: ClientConnection,
    frontend: F,
    phase: watch::Receiver<Phase>,
) {
    let service = ConnectionService {
        frontend,
        phase: phase.clone(),
        request_tracker: connection.request_tracker(),
        is_rejecting: connection.is_rejecting(),
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
        // Reading ahead detects a client's disconnect. The library would keep a buffer for that.
        .half_close(true)
        .max_buf_size(READ_BUFFER_LIMIT)
        .serve_connection(TokioIo::new(stream), service);
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
        // What has arrived is read first: it may complete a request. `RequestBody::read_with`
        // rejects a request that was read too late, or whose body is still incomplete.
        if is_closing || socket.borrow().has_received() {
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

/// A service that serves a frontend on one connection.
#[derive(Clone)]
struct ConnectionService<F> {
    frontend: F,
    phase: watch::Receiver<Phase>,
    request_tracker: RequestTracker,
    /// Whether all requests are rejected, as too many connections are in use.
    is_rejecting: bool,
}

impl<F: Frontend> ConnectionService<F> {
    async fn respond(
        self,
        request: Request<Incoming>,
        guard: RequestGuard,
    ) -> Response<GuardedBody> {
        let mut response = match guard.admission() {
            Admission::Served => self.serve(request, &guard).await,
            Admission::Rejected => self.reject(),
        };
        self.set_connection_header(&mut response);
        response.map(|body| GuardedBody::new(body, guard))
    }

    /// Rejects a request that was discarded. Nothing of it is left to be read, so that the
    /// connection may stay open.
    fn reject(&self) -> Response<ResponseBody> {
        let mut response = self.frontend.reject(BodyError::BudgetExhausted);
        response.headers_mut().remove(CONNECTION);
        response
    }

    async fn serve(
        &self,
        request: Request<Incoming>,
        guard: &RequestGuard,
    ) -> Response<ResponseBody> {
        let expects_continue = request.headers().contains_key(EXPECT);
        let request = request.map(|body| RequestBody {
            body,
            phase: self.phase.clone(),
            deadline: guard.body_deadline(),
            waited: guard.waited(),
            has_ambiguous_length: self.request_tracker.has_ambiguous_length(),
            expects_continue,
            rejection: self.rejection(guard),
            request_tracker: self.request_tracker.clone(),
        });
        self.frontend.clone().respond(request).await
    }

    /// Returns why the request is rejected before its body is read, if it is.
    fn rejection(&self, guard: &RequestGuard) -> Option<BodyError> {
        if self.is_rejecting {
            Some(BodyError::TooManyConnections)
        } else if !guard.has_memory() {
            Some(BodyError::BudgetExhausted)
        } else {
            None
        }
    }

    /// Sets `Connection: close` if the response is the last one on the connection. It makes the
    /// client send its next request on another connection, and this one need not be closed later.
    /// No response says so whose client is owed further responses.
    fn set_connection_header(&self, response: &mut Response<ResponseBody>) {
        let owes_responses = self.request_tracker.owes_responses();
        let is_closing = self.phase.borrow().is_shutting_down() && !owes_responses;
        if is_closing || self.is_rejecting || self.request_tracker.is_last_request() {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        } else if owes_responses {
            response.headers_mut().remove(CONNECTION);
        }
    }
}

impl<F: Frontend> Service<Request<Incoming>> for ConnectionService<F> {
    type Response = Response<GuardedBody>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response<GuardedBody>, Infallible>>>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        // The request begins here and not when the response is first polled: the HTTP library may
        // read on before that.
        let guard = self.request_tracker.begin(head_bytes(request.headers()));
        let response = self.clone().respond(request, guard);
        Box::pin(async move { Ok(response.await) })
    }
}
