//! A fake model server.

mod fault;
mod observation;
mod responses;
mod streams;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::sleep;

use self::fault::RequestedFault;
use self::responses::build_response;
use self::streams::{stream_endlessly, stream_events};
use crate::endpoint_entry::endpoint_entry_at;
use crate::response::{complete, FakeResponse};

pub use self::fault::{Behaviour, MalformedResponse};
pub use self::observation::Observation;
pub use self::streams::{CHAT_EVENT, DONE_EVENT, FINISH_EVENT};

/// Service time of a request, and the pause before each event of a stream, unless a test sets them.
const DEFAULT_DELAY: Duration = Duration::from_millis(2);
/// Path prefix of the calls that reserve or release decode slots; the request id follows it.
const SLOT_PATH: &str = "/bootstrap/rooms/";

/// Called with the id and the body of a request that got a slot.
type StartedHook = Box<dyn Fn(&str, &[u8])>;
/// Called with the id of a request whose slot is released.
type ReleasedHook = Box<dyn Fn(&str)>;

/// A fake model server.
pub struct FakeServer {
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// What the server does with requests whose body asks for no other behaviour.
    pub behaviour: Cell<Behaviour>,
    /// Whether the server closes a connection on which a second request arrives, without processing
    /// that request.
    pub drops_reused_connections: Cell<bool>,
    /// How long the server processes a request, without the part that depends on the body.
    pub service_time: Cell<Duration>,
    /// Additional time that a request takes for each KiB of its body.
    pub service_time_per_kib: Cell<Duration>,
    /// The pause before each event of a stream, so that clients receive the events one at a time.
    pub event_interval: Cell<Duration>,
    /// One request out of this many fails; 0 for none. The failures alternate between a closed
    /// connection and a response without the last item.
    pub failure_interval: Cell<usize>,
    /// Whether the server records no observations, because a long run would collect too many.
    pub recording_disabled: Cell<bool>,
    /// Callback for a request that gets a slot.
    pub on_request_started: RefCell<Option<StartedHook>>,
    /// Callback for a request whose slot is released.
    pub on_slot_released: RefCell<Option<ReleasedHook>>,
    /// All recorded observations, in order.
    pub observations: RefCell<Vec<Observation>>,
    /// Maximum number of concurrent attempts with the same request id at this server.
    pub max_concurrent_attempts: Cell<usize>,
    /// Number of requests received while a failure interval was set.
    requests_counted: Cell<usize>,
    attempts_in_flight: RefCell<HashMap<String, usize>>,
    observed: Notify,
    slots: Semaphore,
    connections: RefCell<Vec<AbortHandle>>,
}

/// Returns the endpoint list entry of `server`. `server_type` and `status` are values of the wire
/// format, such as `mixed` and `up`.
pub fn endpoint_entry(server: &FakeServer, server_type: &str, status: &str) -> Value {
    endpoint_entry_at(server.address, server_type, status)
}

impl FakeServer {
    /// Starts a server that processes at most `slots` requests at once; further ones wait in order
    /// of arrival.
    pub async fn start(slots: usize, behaviour: Behaviour) -> Rc<FakeServer> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Rc::new(FakeServer {
            address: listener.local_addr().unwrap(),
            behaviour: Cell::new(behaviour),
            drops_reused_connections: Cell::default(),
            service_time: Cell::new(DEFAULT_DELAY),
            service_time_per_kib: Cell::default(),
            event_interval: Cell::new(DEFAULT_DELAY),
            failure_interval: Cell::default(),
            recording_disabled: Cell::default(),
            on_request_started: RefCell::default(),
            on_slot_released: RefCell::default(),
            observations: RefCell::default(),
            max_concurrent_attempts: Cell::default(),
            requests_counted: Cell::default(),
            attempts_in_flight: RefCell::default(),
            observed: Notify::new(),
            slots: Semaphore::new(slots),
            connections: RefCell::default(),
        });
        spawn_local(server.clone().accept_connections(listener));
        server
    }

    async fn accept_connections(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let connection = spawn_local(self.clone().serve_connection(stream));
            self.connections
                .borrow_mut()
                .push(connection.abort_handle());
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let is_used = Cell::new(false);
        let service = service_fn(|request: Request<Incoming>| {
            let is_slot_call = request.uri().path().starts_with("/bootstrap/");
            let is_reused = !is_slot_call && is_used.replace(true);
            let server = self.clone();
            let drops = is_reused && server.drops_reused_connections.get();
            async move {
                if drops {
                    return Err(io::Error::other(
                        "the connection is closed because it was reused",
                    ));
                }
                server.serve(request).await
            }
        });
        // The service returns an error to close the connection on purpose, so errors are expected.
        let _ = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    fn record(&self, observation: Observation) {
        if self.recording_disabled.get() {
            return;
        }
        self.observations.borrow_mut().push(observation);
        self.observed.notify_waiters();
    }

    /// Returns how many requests for a path got a slot.
    pub fn count_started(&self, path: &str) -> usize {
        self.observations
            .borrow()
            .iter()
            .filter(|observation| observation.is_start_for_path(path))
            .count()
    }

    fn count_attempts(&self, id: &str) -> usize {
        self.observations
            .borrow()
            .iter()
            .filter(|observation| observation.is_start_of(id))
            .count()
    }

    /// Waits until the observations meet a condition.
    pub async fn wait_until(&self, condition: impl Fn(&[Observation]) -> bool) {
        loop {
            let observed = self.observed.notified();
            if condition(&self.observations.borrow()) {
                return;
            }
            observed.await;
        }
    }

    /// Closes all connections at once, as a crash of the server process would.
    pub fn close_connections(&self) {
        for connection in self.connections.borrow_mut().drain(..) {
            connection.abort();
        }
    }

    async fn serve(self: Rc<Self>, request: Request<Incoming>) -> io::Result<FakeResponse> {
        let path = request.uri().path().to_owned();
        if let Some(id) = path.strip_prefix(SLOT_PATH) {
            return Ok(self.serve_slot_call(request.method(), id));
        }
        if path == "/metrics/load" {
            return Ok(complete(StatusCode::OK, "TEXT x0=0.1, x1=0.0".into()));
        }
        let id = request.headers()["x-request-id"]
            .to_str()
            .unwrap()
            .to_owned();
        let body = request.into_body().collect().await;
        let body = body.map_err(io::Error::other)?.to_bytes();
        self.serve_attempt(&path, id, &body).await
    }

    /// Reserves or releases a decode slot.
    fn serve_slot_call(&self, method: &Method, id: &str) -> FakeResponse {
        self.record(Observation::SlotCall {
            method: method.to_string(),
            id: id.to_owned(),
        });
        let status = if method == Method::POST {
            StatusCode::OK
        } else {
            StatusCode::NO_CONTENT
        };
        complete(status, Bytes::new())
    }

    async fn serve_attempt(
        self: &Rc<Self>,
        path: &str,
        id: String,
        body: &[u8],
    ) -> io::Result<FakeResponse> {
        let in_flight = AttemptInFlight::new(self, &id);
        let _slot = self.slots.acquire().await;
        self.record(Observation::RequestStarted {
            path: path.to_owned(),
            id: id.clone(),
        });
        let requested = self.requested_fault(&id, body);
        sleep_unless_zero(self.service_time(&requested, body)).await;
        let event_interval = self.event_interval.get();
        let behaviour = requested.behaviour.unwrap_or(self.behaviour.get());
        let response = match behaviour {
            Behaviour::Answer => build_response(path, body, requested.malformed, event_interval),
            Behaviour::Error => Ok(complete(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())),
            Behaviour::Prefill => Ok(prefill_response()),
            Behaviour::Hang => std::future::pending().await,
            Behaviour::CloseConnection => Err(io::Error::other(
                "the connection is closed as the test asked",
            )),
            Behaviour::TruncateStream => Ok(truncated_stream(event_interval)),
            Behaviour::Reject => Ok(rejection_response()),
            Behaviour::StreamEndlessly => {
                drop(in_flight);
                let guard = RecordReleaseOnDrop {
                    server: self.clone(),
                    id,
                };
                return Ok(stream_endlessly(guard));
            }
        };
        drop(in_flight);
        response
    }

    /// Returns the fault that a request with a slot asks for, or the one that the failure interval
    /// brings about.
    fn requested_fault(&self, id: &str, body: &[u8]) -> RequestedFault {
        let mut requested = RequestedFault::decode(id, body);
        let is_exhausted = requested
            .repetitions
            .is_some_and(|repetitions| self.count_attempts(id) > repetitions);
        if is_exhausted {
            requested = requested.without_fault();
        }
        if let Some(on_request_started) = &*self.on_request_started.borrow() {
            on_request_started(id, body);
        }
        self.apply_failure_interval(&mut requested);
        requested
    }

    fn apply_failure_interval(&self, requested: &mut RequestedFault) {
        let interval = self.failure_interval.get();
        if interval == 0 {
            return;
        }
        let requests_counted = self
            .requests_counted
            .replace(self.requests_counted.get() + 1);
        if !requests_counted.is_multiple_of(interval) {
            return;
        }
        if (requests_counted / interval).is_multiple_of(2) {
            requested.behaviour = Some(Behaviour::CloseConnection);
        } else {
            requested.malformed = Some(MalformedResponse::MissingItem);
        }
    }

    fn service_time(&self, requested: &RequestedFault, body: &[u8]) -> Duration {
        let fixed = requested.service_time().unwrap_or(self.service_time.get());
        let by_size = self.service_time_per_kib.get().as_secs_f64() * body.len() as f64 / 1024.0;
        fixed + Duration::from_secs_f64(by_size)
    }
}

async fn sleep_unless_zero(duration: Duration) {
    if !duration.is_zero() {
        sleep(duration).await;
    }
}

/// Builds the response of a prefill endpoint.
fn prefill_response() -> FakeResponse {
    let body = json!({"cached_tokens": 0});
    complete(StatusCode::ACCEPTED, body.to_string().into())
}

/// Builds a stream of one event, after which the connection is closed.
fn truncated_stream(event_interval: Duration) -> FakeResponse {
    let error = io::Error::other("the connection is closed as the test asked");
    stream_events(event_interval, vec![Ok(CHAT_EVENT.into()), Err(error)])
}

/// Builds a rejection that says that the request was not executed.
fn rejection_response() -> FakeResponse {
    let mut response = complete(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    response
        .headers_mut()
        .insert("x-not-run", HeaderValue::from_static("1"));
    response
}

/// An attempt that waits for a slot or has one. Dropping it records a release of the slot, even if
/// the attempt has not got one. If the connection is closed, the future of the request is dropped
/// and this value with it.
struct AttemptInFlight<'a> {
    server: &'a FakeServer,
    id: String,
}

impl<'a> AttemptInFlight<'a> {
    fn new(server: &'a FakeServer, id: &str) -> AttemptInFlight<'a> {
        let mut in_flight = server.attempts_in_flight.borrow_mut();
        let attempts = in_flight.entry(id.to_owned()).or_default();
        *attempts += 1;
        let maximum = server.max_concurrent_attempts.get().max(*attempts);
        server.max_concurrent_attempts.set(maximum);
        AttemptInFlight {
            server,
            id: id.to_owned(),
        }
    }
}

impl Drop for AttemptInFlight<'_> {
    fn drop(&mut self) {
        let mut in_flight = self.server.attempts_in_flight.borrow_mut();
        if let Some(attempts) = in_flight.get_mut(&self.id) {
            *attempts -= 1;
            if *attempts == 0 {
                in_flight.remove(&self.id);
            }
        }
        drop(in_flight);
        self.server.record(Observation::SlotReleased {
            id: self.id.clone(),
        });
        if let Some(on_slot_released) = &*self.server.on_slot_released.borrow() {
            on_slot_released(&self.id);
        }
    }
}

/// Records the release of a slot when an endless stream is dropped.
struct RecordReleaseOnDrop {
    server: Rc<FakeServer>,
    id: String,
}

impl Drop for RecordReleaseOnDrop {
    fn drop(&mut self) {
        self.server.record(Observation::SlotReleased {
            id: self.id.clone(),
        });
    }
}
