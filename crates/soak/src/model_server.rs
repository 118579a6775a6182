//! Fake prefill and decode servers, which are the endpoints of the routers under test. They report
//! to the oracle which attempts arrive and which leases they hold.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::sleep;

use crate::injected_violation::InjectedViolation;
use crate::oracle::{LeasedResource, ReceivedAttempt, Role};
use crate::run_state::{AttemptInFlight, RunState};

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Number of attempts that a prefill server processes at the same time.
const PREFILL_SLOTS: usize = 4;
/// Number of attempts that a decode server processes at the same time.
const DECODE_SLOTS: usize = 24;
/// Number of attempts at a server, waiting or in progress, from which it rejects more.
const QUEUE_LIMIT: usize = 40;
/// Delay before a decode server responds to a slot reservation for a request that has no prefill in
/// progress.
const UNKNOWN_PREFILL_DELAY: Duration = Duration::from_millis(300);
/// Percentage of the slot reservations that a decode server rejects.
const RESERVATION_CONFLICT_PERCENT: u64 = 25;

/// The response to an attempt, by when the attempt ends.
enum AttemptResponse {
    /// The attempt ends when this response has been delivered.
    Complete(Response<Body>),
    /// The attempt ends when the stream of this response ends.
    Streaming(Response<Body>),
}

/// A fake server. It can be killed and started again.
pub struct ModelServer {
    /// Index of the server, which is also the index of the endpoint in the endpoint list.
    pub index: usize,
    /// Role of the server.
    pub role: Role,
    /// Whether the server hangs: it accepts connections, but processes no request and sends no
    /// response.
    pub hung: watch::Sender<bool>,
    /// Percentage of the attempts that fail after they have been executed.
    pub error_percent: Cell<u64>,
    /// Whether the server rejects new attempts.
    pub draining: Cell<bool>,
    address: Cell<SocketAddr>,
    queue_length: Cell<usize>,
    slots: Semaphore,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl ModelServer {
    /// Starts a fake server.
    pub async fn start(
        state: &Rc<RunState>,
        index: usize,
        role: Role,
    ) -> std::io::Result<Rc<ModelServer>> {
        let slots = match role {
            Role::Prefill => PREFILL_SLOTS,
            Role::Decode => DECODE_SLOTS,
        };
        let server = Rc::new(ModelServer {
            index,
            role,
            hung: watch::Sender::new(false),
            error_percent: Cell::default(),
            draining: Cell::default(),
            address: Cell::new(([127, 0, 0, 1], 1).into()),
            queue_length: Cell::default(),
            slots: Semaphore::new(slots),
            tasks: RefCell::default(),
        });
        server.listen(state).await?;
        Ok(server)
    }

    /// Returns the address on which the server listens now.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Simulates the death of the server process: closes its connections and ends its leases.
    pub fn kill(&self, state: &RunState) {
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
        state.end_leases_at(self.index);
    }

    /// Simulates the start of a new server process: listens on a new port.
    pub async fn listen(self: &Rc<Self>, state: &Rc<RunState>) -> std::io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        self.address.set(listener.local_addr()?);
        self.draining.set(false);
        let accepting = spawn_local(self.clone().accept_connections(state.clone(), listener));
        self.tasks.borrow_mut().push(accepting.abort_handle());
        Ok(())
    }

    async fn accept_connections(self: Rc<Self>, state: Rc<RunState>, listener: TcpListener) {
        while let Ok((stream, peer)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let connection =
                spawn_local(self.clone().serve_connection(state.clone(), stream, peer));
            let mut tasks = self.tasks.borrow_mut();
            tasks.retain(|task| !task.is_finished());
            tasks.push(connection.abort_handle());
        }
    }

    async fn serve_connection(
        self: Rc<Self>,
        state: Rc<RunState>,
        stream: TcpStream,
        peer: SocketAddr,
    ) {
        // Waits for the proxy to record its connection, which it does right after connecting.
        sleep(Duration::from_millis(1)).await;
        let known = state.connections.borrow_mut().remove(&peer);
        let connection = known.unwrap_or_else(|| state.next_number());
        let service = service_fn(|request| {
            let server = self.clone();
            let state = state.clone();
            async move { Ok::<_, Infallible>(server.serve(&state, connection, request).await) }
        });
        // An error here means that the proxy closed the connection.
        let _ = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
        state.attempt_ended(connection);
    }

    async fn serve(
        &self,
        state: &Rc<RunState>,
        connection: u64,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if path.starts_with("/v1/") {
            return self.serve_attempt(state, connection, request).await;
        }
        self.wait_while_hung().await;
        if let Some(id) = path.strip_prefix("/bootstrap/rooms/") {
            return self
                .serve_reservation_or_release(state, request.method(), id)
                .await;
        }
        if path == "/metrics/load" {
            return complete(StatusCode::OK, self.load_report());
        }
        self.serve_attempt(state, connection, request).await
    }

    fn load_report(&self) -> String {
        format!("TEXT latency_ms=40, x0=0.2, x1={}", self.queue_length.get())
    }

    async fn serve_attempt(
        &self,
        state: &Rc<RunState>,
        connection: u64,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let Some(id) = header(&request, "x-request-id") else {
            return complete(StatusCode::NOT_FOUND, "");
        };
        let stated_time_left = header(&request, "x-deadline-ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        if request.into_body().collect().await.is_err() {
            return complete(StatusCode::BAD_REQUEST, "");
        }
        let received = ReceivedAttempt {
            request_id: &id,
            number: state.next_number(),
            endpoint: self.index,
            role: self.role,
            stated_time_left: Duration::from_millis(stated_time_left),
        };
        report_received(state, &received);
        let attempt = AttemptInFlight {
            request_id: id.clone(),
            number: received.number,
        };
        state.attempts.borrow_mut().insert(connection, attempt);
        self.wait_while_hung().await;
        match self.run_attempt(state, &id, connection).await {
            AttemptResponse::Streaming(response) => response,
            AttemptResponse::Complete(response) => {
                state.undelivered_responses.borrow_mut().insert(connection);
                response
            }
        }
    }

    async fn wait_while_hung(&self) {
        let _ = self.hung.subscribe().wait_for(|hung| !hung).await;
    }

    async fn run_attempt(
        &self,
        state: &Rc<RunState>,
        id: &str,
        connection: u64,
    ) -> AttemptResponse {
        if self.draining.get() || self.queue_length.get() >= QUEUE_LIMIT {
            return self.reject(state, id, StatusCode::SERVICE_UNAVAILABLE);
        }
        let fails = state.chance(self.error_percent.get());
        let _queued = QueueLengthGuard::new(&self.queue_length);
        match self.role {
            Role::Prefill => self.prefill(state, id, fails).await,
            Role::Decode => self.decode(state, id, fails, connection).await,
        }
    }

    async fn prefill(&self, state: &RunState, id: &str, fails: bool) -> AttemptResponse {
        let _prefilling = SetMemberGuard::new(&state.prefilling, id);
        let _slot = self.slots.acquire().await;
        sleep(state.draw_millis(20, 140)).await;
        if fails {
            return AttemptResponse::Complete(complete(StatusCode::INTERNAL_SERVER_ERROR, ""));
        }
        state
            .kv_states
            .borrow_mut()
            .insert(id.to_owned(), self.index);
        let mut oracle = state.oracle.borrow_mut();
        oracle.lease_acquired(id, self.index, LeasedResource::KvState, state.now());
        AttemptResponse::Complete(complete(StatusCode::ACCEPTED, "{\"cached_tokens\":0}"))
    }

    async fn decode(
        &self,
        state: &Rc<RunState>,
        id: &str,
        fails: bool,
        connection: u64,
    ) -> AttemptResponse {
        if !state.kv_states.borrow().contains_key(id) {
            return self.reject(state, id, StatusCode::GONE);
        }
        let fetching = SetMemberGuard::new(&state.fetching, id);
        let _slot = self.slots.acquire().await;
        sleep(state.draw_millis(2, 30)).await;
        if !state.kv_states.borrow().contains_key(id) {
            return self.reject(state, id, StatusCode::GONE);
        }
        drop(fetching);
        state.release(id);
        sleep(state.draw_millis(5, 60)).await;
        if fails {
            return AttemptResponse::Complete(complete(StatusCode::INTERNAL_SERVER_ERROR, ""));
        }
        AttemptResponse::Streaming(stream_events(state.clone(), connection))
    }

    /// Rejects an attempt without executing it.
    fn reject(&self, state: &RunState, id: &str, status: StatusCode) -> AttemptResponse {
        state.oracle.borrow_mut().attempt_rejected(id, self.role);
        let mut response = complete(status, "");
        response
            .headers_mut()
            .insert("x-not-run", HeaderValue::from_static("1"));
        AttemptResponse::Complete(response)
    }

    /// Reserves a decode slot for a request (POST), or releases its leases (any other method).
    async fn serve_reservation_or_release(
        &self,
        state: &RunState,
        method: &Method,
        id: &str,
    ) -> Response<Body> {
        if method != Method::POST {
            state.release(id);
            return complete(StatusCode::NO_CONTENT, "");
        }
        if !state.prefilling.borrow().contains(id) {
            sleep(UNKNOWN_PREFILL_DELAY).await;
            return complete(StatusCode::NO_CONTENT, "");
        }
        if state.chance(RESERVATION_CONFLICT_PERCENT) {
            return complete(StatusCode::CONFLICT, "");
        }
        let previous = state
            .decode_slots
            .borrow_mut()
            .insert(id.to_owned(), self.index);
        let mut oracle = state.oracle.borrow_mut();
        if let Some(previous) = previous {
            oracle.lease_ended(id, previous, LeasedResource::DecodeSlot, state.now());
        }
        oracle.lease_acquired(id, self.index, LeasedResource::DecodeSlot, state.now());
        complete(StatusCode::OK, "")
    }
}

fn header(request: &Request<Incoming>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

/// Reports an attempt to the oracle, and at random a second time as an injected violation.
fn report_received(state: &RunState, received: &ReceivedAttempt<'_>) {
    let mut oracle = state.oracle.borrow_mut();
    oracle.attempt_received(received, state.now());
    if state.should_inject(InjectedViolation::ConcurrentAttempts)
        || state.should_inject(InjectedViolation::DuplicateExecution)
    {
        let duplicate = ReceivedAttempt {
            number: state.next_number(),
            ..*received
        };
        oracle.attempt_received(&duplicate, state.now());
    }
}

/// Increments a queue length until it is dropped.
struct QueueLengthGuard<'a>(&'a Cell<usize>);

impl<'a> QueueLengthGuard<'a> {
    fn new(length: &'a Cell<usize>) -> QueueLengthGuard<'a> {
        length.set(length.get() + 1);
        QueueLengthGuard(length)
    }
}

impl Drop for QueueLengthGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Keeps a request ID in a set until it is dropped.
struct SetMemberGuard<'a> {
    set: &'a RefCell<HashSet<String>>,
    id: String,
}

impl<'a> SetMemberGuard<'a> {
    fn new(set: &'a RefCell<HashSet<String>>, id: &str) -> SetMemberGuard<'a> {
        set.borrow_mut().insert(id.to_owned());
        SetMemberGuard {
            set,
            id: id.to_owned(),
        }
    }
}

impl Drop for SetMemberGuard<'_> {
    fn drop(&mut self) {
        self.set.borrow_mut().remove(&self.id);
    }
}

fn complete(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into())
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Returns a response that streams a random number of events at random intervals. The attempt ends
/// after the last event, or when the connection is closed.
fn stream_events(state: Rc<RunState>, connection: u64) -> Response<Body> {
    let (frames, receiver) = mpsc::channel(1);
    spawn_local(async move {
        for _ in 0..state.draw(3, 20) {
            let event = Bytes::from_static(cranetack_testkit::CHAT_EVENT.as_bytes());
            if frames.send(Ok(Frame::data(event))).await.is_err() {
                break;
            }
            sleep(state.draw_millis(5, 30)).await;
        }
        let done = Bytes::from_static(cranetack_testkit::DONE_EVENT.as_bytes());
        let _ = frames.send(Ok(Frame::data(done))).await;
        state.attempt_ended(connection);
    });
    let frames = tokio_stream::wrappers::ReceiverStream::new(receiver);
    Response::builder()
        .header("content-type", "text/event-stream")
        .body(StreamBody::new(frames).boxed_unsync())
        .unwrap_or_default()
}
