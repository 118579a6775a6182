//! The server side: listening, connections, and what all fronts share. A front is a tower service over hyper
//! that decodes a request once, waits at the exchange, and encodes the answer once.

mod body;
mod byte_budget;
mod client_stream;
mod connection_state;
mod connections;
mod headers;
pub mod inference;
pub mod platform;

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::Future;
use std::io::ErrorKind;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, EXPECT, RETRY_AFTER};
use http::{HeaderValue, Request, Response};
use http_body::{Body, Frame};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tower::Service;

use crate::exchange::{BodyStream, DisconnectGuard, IncompleteBody};
use crate::shutdown::Phase;
use crate::socket::Socket;
pub use body::{Arriving, BodyError};
pub use connection_state::ClientLimits;
use connection_state::READ_BUFFER_LIMIT;
use connections::{ClientConnection, ConnectionLimiter, RequestGuard, RequestTracker};

/// The interval between two looks for connections whose time is up.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
/// After a failure to accept: descriptors may be short for a while.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The body of an answer, which holds its request open.
pub struct Answering {
    body: AnswerBody,
    _guard: RequestGuard,
}

impl Body for Answering {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

/// The body of an answer.
pub enum AnswerBody {
    /// Made here.
    Text(Full<Bytes>),
    /// A server's answer.
    Stream(Stream),
    /// A front's own way of passing an answer on.
    Other(Pin<Box<dyn Body<Data = Bytes, Error = IncompleteBody>>>),
}

/// A server's answer on its way to a client.
pub struct Stream {
    parts: BodyStream,
    /// Tells when the client is done.
    _gone: DisconnectGuard,
    /// It has broken off, and what came before has had its turn to be written.
    broken: bool,
}

impl AnswerBody {
    /// A body that is known whole.
    pub fn text(text: impl Into<Bytes>) -> AnswerBody {
        AnswerBody::Text(Full::new(text.into()))
    }

    /// A front's own.
    pub fn other(body: impl Body<Data = Bytes, Error = IncompleteBody> + 'static) -> AnswerBody {
        AnswerBody::Other(Box::pin(body))
    }

    /// The parts of a server's answer.
    pub fn stream(parts: BodyStream, gone: DisconnectGuard) -> AnswerBody {
        AnswerBody::Stream(Stream {
            parts,
            _gone: gone,
            broken: false,
        })
    }
}

impl Stream {
    /// An error makes hyper close the connection without the last chunk, and without what it has not written
    /// yet. So the error waits for one turn: guards against a client that gets nothing where events have come.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        if self.broken {
            return Poll::Ready(Some(Err(IncompleteBody)));
        }
        let next = self.parts.poll_next(cx);
        if let Poll::Ready(Some(Err(IncompleteBody))) = next {
            self.broken = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        next
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        match self.get_mut() {
            AnswerBody::Text(text) => Pin::new(text).poll_frame(cx).map_err(|e| match e {}),
            AnswerBody::Stream(stream) => stream.poll_next(cx).map_ok(Frame::data),
            AnswerBody::Other(body) => body.as_mut().poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Text(text) => text.is_end_stream(),
            AnswerBody::Stream(_) => false,
            AnswerBody::Other(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            AnswerBody::Text(text) => text.size_hint(),
            AnswerBody::Stream(_) => http_body::SizeHint::default(),
            AnswerBody::Other(body) => body.size_hint(),
        }
    }
}

/// An id goes into the path of the calls that hold and free places, so it must be a plain word.
fn is_word(id: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~');
    !id.is_empty() && id.len() <= 128 && id.bytes().all(plain)
}

/// The answer to a client that gets what a server says.
fn streamed(media_type: &str, parts: BodyStream, gone: DisconnectGuard) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::stream(parts, gone));
    if let Ok(media_type) = HeaderValue::from_str(media_type) {
        response.headers_mut().insert(CONTENT_TYPE, media_type);
    }
    response
}

/// Tells a client that is refused when to come back, where there is advice.
fn retry_after(response: &mut Response<AnswerBody>, pause: Duration) {
    if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", pause.as_secs_f64())) {
        if !pause.is_zero() {
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
    }
}

/// A front: what becomes of one request.
pub trait Front: Clone + 'static {
    /// What its clients may take.
    fn limits(&self) -> ClientLimits {
        ClientLimits::default()
    }

    /// Answers a request.
    fn answer(self, request: Request<Arriving>) -> impl Future<Output = Response<AnswerBody>>;
}

/// A front as a tower service on one connection.
#[derive(Clone)]
struct Serving<F> {
    front: F,
    phase: watch::Receiver<Phase>,
    requests: RequestTracker,
}

impl<F: Front> Service<Request<Incoming>> for Serving<F> {
    type Response = Response<Answering>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Answering>, Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let Serving {
            front,
            phase,
            requests,
        } = self.clone();
        Box::pin(async move {
            let guard = requests.begin();
            let (due, ambiguous) = (guard.body_deadline(), requests.is_ambiguous());
            let waits = request.headers().contains_key(EXPECT);
            let arriving = |body| Arriving {
                body,
                due,
                ambiguous,
                waits,
            };
            let mut response = front.answer(request.map(arriving)).await;
            // A client that is told now asks elsewhere next, and its connection needs no closing later.
            if *phase.borrow() >= Phase::Leaving || requests.is_last() {
                response
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(response.map(|body| Answering {
                body,
                _guard: guard,
            }))
        })
    }
}

/// Listens, and serves each connection until `phase` says that the end has come and all is answered.
pub async fn serve<F: Front>(
    listener: TcpListener,
    front: F,
    most: usize,
    mut phase: watch::Receiver<Phase>,
) {
    let limiter = ConnectionLimiter::new(most, front.limits());
    let mut connections = tokio::task::JoinSet::new();
    let accepting = async {
        loop {
            let stream = tokio::select! {
                biased;
                _ = phase.wait_for(|p| *p >= Phase::Finishing) => break,
                accepted = accept(&listener, &limiter) => accepted,
            };
            while connections.try_join_next().is_some() {}
            let (stream, connection) = stream;
            let requests = connection.requests();
            let service = Serving {
                front: front.clone(),
                phase: phase.clone(),
                requests,
            };
            connections.spawn_local(serve_connection(stream, connection, service, phase.clone()));
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    };
    let sweeping = async {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            limiter.close_expired();
        }
    };
    tokio::select! {
        () = accepting => {}
        () = sweeping => {}
    }
}

/// The next connection, once there is a permit for it: the rest wait in the system's queue. A failure, such
/// as descriptors running out, must not end the listening.
async fn accept(
    listener: &TcpListener,
    limiter: &Rc<ConnectionLimiter>,
) -> (TcpStream, ClientConnection) {
    let permit = limiter.acquire().await;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return (stream, limiter.register(permit)),
            // The one that waited has gone: the next may be there already.
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                ) =>
            {
                tracing::debug!(%error, "a connection was gone before it was accepted");
            }
            Err(error) => {
                tracing::warn!(%error, "a connection could not be accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves a connection to its end, and ends it.
async fn serve_connection<F: Front>(
    stream: TcpStream,
    connection: ClientConnection,
    service: Serving<F>,
    phase: watch::Receiver<Phase>,
) {
    let _ = stream.set_nodelay(true);
    let stream = Rc::new(RefCell::new(Socket::from(stream)));
    serve_requests(stream.clone(), &connection, service, phase).await;
    connection.close_gracefully(stream).await;
}

async fn serve_requests<F: Front>(
    stream: Rc<RefCell<Socket>>,
    connection: &ClientConnection,
    service: Serving<F>,
    mut phase: watch::Receiver<Phase>,
) {
    let socket = stream.clone();
    let (stream, read_ahead) = connection.track(stream);
    // How long a client may take is the limiter's affair.
    let served = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(READ_BUFFER_LIMIT)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service));
    tokio::pin!(served);
    let ended = async {
        tokio::select! {
            biased;
            ended = &mut served => return ended,
            _ = phase.wait_for(|p| *p >= Phase::Finishing) => {}
        }
        // A head that has not come whole by now could be taken too late to be answered: its client sends it elsewhere.
        if connection.is_receiving() {
            return Ok(());
        }
        served.as_mut().graceful_shutdown();
        served.await
    };
    tokio::pin!(ended);
    let ended = loop {
        tokio::select! {
            biased;
            // A request that has arrived in this moment is served: nobody knew of it when the connection was chosen.
            () = connection.close_requested() => match connection.has_unread_request(&socket) {
                true => continue,
                false => return,
            },
            ended = &mut ended => break ended,
            () = read_ahead.client_disconnected() => {
                return tracing::debug!("a client has left before its answer was out");
            }
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "a client's connection ended");
    }
}

/// Whether the router should be sent clients: the list of workers has come, and the end has not.
#[derive(Clone)]
pub struct Readiness {
    fresh: watch::Receiver<bool>,
    phase: watch::Receiver<Phase>,
}

impl Readiness {
    /// Ready once `fresh` says so, until the phase changes.
    pub fn new(fresh: watch::Receiver<bool>, phase: watch::Receiver<Phase>) -> Readiness {
        Readiness { fresh, phase }
    }

    /// Whether it is.
    pub fn is_ready(&self) -> bool {
        *self.fresh.borrow() && *self.phase.borrow() == Phase::Serving
    }
}
