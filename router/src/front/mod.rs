//! The server side: listening, connections, and what all fronts share. A front is a tower service over hyper
//! that decodes a request once, waits at the exchange, and encodes the answer once.

pub mod inference;
pub mod platform;

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body::{Body, Frame};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::time::timeout;
use tower::Service;

use crate::exchange::{Broken, Gone, Parts};
use crate::shutdown::Phase;

/// The most that a request's body may hold.
const BODY_MOST: usize = 256 * 1024;
/// The most that is read ahead on a connection, and so the longest head of a request.
const BUFFER_MOST: usize = 64 * 1024;
/// How long a client may take over the head of a request, its time between requests included ...
const HEAD_WAIT: Duration = Duration::from_secs(60);
/// ... and over the body.
const BODY_WAIT: Duration = Duration::from_secs(10);
/// After a failure to accept: descriptors may be short for a while.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// The body of an answer.
pub enum AnswerBody {
    /// Made here.
    Text(Full<Bytes>),
    /// A server's answer.
    Stream(Stream),
}

/// A server's answer on its way to a client.
pub struct Stream {
    parts: Parts,
    /// Tells when the client is done.
    _gone: Gone,
    /// It has broken off, and what came before has had its turn to be written.
    broken: bool,
}

impl AnswerBody {
    /// A body that is known whole.
    pub fn text(text: impl Into<Bytes>) -> AnswerBody {
        AnswerBody::Text(Full::new(text.into()))
    }

    /// The parts of a server's answer.
    pub fn stream(parts: Parts, gone: Gone) -> AnswerBody {
        AnswerBody::Stream(Stream { parts, _gone: gone, broken: false })
    }
}

impl Stream {
    /// An error makes hyper close the connection without the last chunk, and without what it has not written
    /// yet. So the error waits for one turn: guards against a client that gets nothing where events have come.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        if self.broken {
            return Poll::Ready(Some(Err(Broken)));
        }
        let next = self.parts.poll_next(cx);
        if let Poll::Ready(Some(Err(Broken))) = next {
            self.broken = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        next
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            AnswerBody::Text(text) => Pin::new(text).poll_frame(cx).map_err(|e| match e {}),
            AnswerBody::Stream(stream) => stream.poll_next(cx).map_ok(Frame::data),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Text(text) if text.is_end_stream())
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            AnswerBody::Text(text) => text.size_hint(),
            AnswerBody::Stream(_) => http_body::SizeHint::default(),
        }
    }
}

/// Why the body of a request was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum BodyError {
    #[error("the body holds more than {BODY_MOST} bytes")]
    TooLong,
    #[error("the body could not be read")]
    Unreadable,
    #[error("the body took too long")]
    Slow,
}

impl BodyError {
    fn status(self) -> StatusCode {
        match self {
            BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Unreadable => StatusCode::BAD_REQUEST,
            BodyError::Slow => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

/// The whole body of a request, within the limits of size and time.
async fn read_body(body: Incoming) -> Result<Bytes, BodyError> {
    match timeout(BODY_WAIT, Limited::new(body, BODY_MOST).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLong),
        Ok(Err(_)) => Err(BodyError::Unreadable),
        Err(_) => Err(BodyError::Slow),
    }
}

/// An id goes into the path of the calls that hold and free places, so it must be a plain word.
fn is_word(id: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~');
    !id.is_empty() && id.len() <= 128 && id.bytes().all(plain)
}

/// The answer to a client that gets what a server says.
fn streamed(media_type: &str, parts: Parts, gone: Gone) -> Response<AnswerBody> {
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
    /// Answers a request.
    fn answer(self, request: Request<Incoming>) -> impl Future<Output = Response<AnswerBody>>;
}

/// A front as a tower service.
#[derive(Clone)]
struct Serving<F> {
    front: F,
    phase: watch::Receiver<Phase>,
}

impl<F: Front> Service<Request<Incoming>> for Serving<F> {
    type Response = Response<AnswerBody>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response<AnswerBody>, Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let Serving { front, phase } = self.clone();
        Box::pin(async move {
            let mut response = front.answer(request).await;
            // A client that is told now asks elsewhere next, and its connection needs no closing later.
            if *phase.borrow() >= Phase::Leaving {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(response)
        })
    }
}

/// Listens, and serves each connection until `phase` says that the end has come and all is answered.
pub async fn serve<F: Front>(
    listener: TcpListener, front: F, most: usize, mut phase: watch::Receiver<Phase>,
) {
    let service = Serving { front, phase: phase.clone() };
    let places = std::sync::Arc::new(Semaphore::new(most));
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            biased;
            _ = phase.wait_for(|p| *p >= Phase::Finishing) => break,
            accepted = accept(&listener, &places) => accepted,
        };
        while connections.try_join_next().is_some() {}
        let (stream, place) = accepted;
        let (service, phase) = (service.clone(), phase.clone());
        connections.spawn_local(async move {
            connection(stream, service, phase).await;
            drop(place);
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// The next connection, once there is a place for it: the rest wait in the system's queue. A failure, such
/// as descriptors running out, must not end the listening.
async fn accept(
    listener: &TcpListener, places: &std::sync::Arc<Semaphore>,
) -> (TcpStream, Option<tokio::sync::OwnedSemaphorePermit>) {
    let place = places.clone().acquire_owned().await.ok();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return (stream, place),
            Err(error) => {
                tracing::warn!(%error, "a connection could not be accepted");
                tokio::time::sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

async fn connection<F: Front>(stream: TcpStream, service: Serving<F>, mut phase: watch::Receiver<Phase>) {
    let _ = stream.set_nodelay(true);
    let service = TowerToHyperService::new(service);
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_WAIT)
        .max_buf_size(BUFFER_MOST)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let ended = tokio::select! {
        ended = &mut served => ended,
        _ = phase.wait_for(|p| *p >= Phase::Finishing) => {
            served.as_mut().graceful_shutdown();
            served.await
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
