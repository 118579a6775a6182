//! A fake model server.

mod answers;
mod fault;
mod observation;
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

use self::answers::answer;
use self::fault::RequestedFault;
use self::streams::{stream_endlessly, stream_events};
use crate::endpoint_entry::line_at;
use crate::response::{complete, Reply};

pub use self::fault::{Behaviour, Spoils};
pub use self::observation::Seen;
pub use self::streams::{DONE, EVENT, FINISH};

/// How long a request takes, and the pause before each event of a stream, unless a test sets it.
const DEFAULT_DELAY: Duration = Duration::from_millis(2);
/// The path of calls about decode slots, before the id of the request.
const SLOT_PATH: &str = "/bootstrap/rooms/";

/// Called with the id and the body of a request that got a slot.
type StartedHook = Box<dyn Fn(&str, &[u8])>;
/// Called with the id of a request whose slot is released.
type ReleasedHook = Box<dyn Fn(&str)>;

/// A fake model server.
pub struct Worker {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it does with requests that do not ask for something else.
    pub behaviour: Cell<Behaviour>,
    /// Whether it closes each connection on which a second request arrives, without reading it.
    pub drops: Cell<bool>,
    /// How long a request takes.
    pub takes: Cell<Duration>,
    /// How much longer it takes for each KiB of its body.
    pub takes_by_kib: Cell<Duration>,
    /// The pause before each event of a stream, so that each is received by itself.
    pub pause: Cell<Duration>,
    /// Every so many requests one fails, in turn by a closed connection and by an answer that
    /// leaves an item out; 0 for none.
    pub fails_every: Cell<usize>,
    /// Whether it records no observations, of which a long run makes too many.
    pub quiet: Cell<bool>,
    /// Called when a request gets a slot.
    pub on_began: RefCell<Option<StartedHook>>,
    /// Called when the slot of a request is released.
    pub on_freed: RefCell<Option<ReleasedHook>>,
    /// All observations, in order.
    pub seen: RefCell<Vec<Seen>>,
    /// The most attempts of one request that were here at once.
    pub most_at_once: Cell<usize>,
    /// Requests that counted towards the failure interval.
    received: Cell<usize>,
    attempts_in_flight: RefCell<HashMap<String, usize>>,
    observed: Notify,
    slots: Semaphore,
    connections: RefCell<Vec<AbortHandle>>,
}

/// The entry of a server in the endpoint list, with its type and status as they are on the wire.
pub fn line(server: &Worker, server_type: &str, status: &str) -> Value {
    line_at(server.address, server_type, status)
}

impl Worker {
    /// Starts a server that processes so many requests at once; others wait in turn.
    pub async fn start(slots: usize, behaviour: Behaviour) -> Rc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Rc::new(Worker {
            address: listener.local_addr().unwrap(),
            behaviour: Cell::new(behaviour),
            drops: Cell::default(),
            takes: Cell::new(DEFAULT_DELAY),
            takes_by_kib: Cell::default(),
            pause: Cell::new(DEFAULT_DELAY),
            fails_every: Cell::default(),
            quiet: Cell::default(),
            on_began: RefCell::default(),
            on_freed: RefCell::default(),
            seen: RefCell::default(),
            most_at_once: Cell::default(),
            received: Cell::default(),
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
            let drops = is_reused && server.drops.get();
            async move {
                if drops {
                    return Err(io::Error::other("dropped unread"));
                }
                server.serve(request).await
            }
        });
        // An error here is how a connection is closed on purpose.
        let _ = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    fn record(&self, observation: Seen) {
        if self.quiet.get() {
            return;
        }
        self.seen.borrow_mut().push(observation);
        self.observed.notify_waiters();
    }

    /// How many requests for a path got a slot.
    pub fn began(&self, path: &str) -> usize {
        self.seen
            .borrow()
            .iter()
            .filter(|seen| matches!(seen, Seen::Began(began, _) if began == path))
            .count()
    }

    fn attempts_of(&self, id: &str) -> usize {
        self.seen
            .borrow()
            .iter()
            .filter(|seen| matches!(seen, Seen::Began(_, began) if began == id))
            .count()
    }

    /// Waits until the observations fulfil a condition.
    pub async fn until(&self, is_fulfilled: impl Fn(&[Seen]) -> bool) {
        loop {
            let observed = self.observed.notified();
            if is_fulfilled(&self.seen.borrow()) {
                return;
            }
            observed.await;
        }
    }

    /// Closes all connections at once, as the death of its process would.
    pub fn cut(&self) {
        for connection in self.connections.borrow_mut().drain(..) {
            connection.abort();
        }
    }

    async fn serve(self: Rc<Self>, request: Request<Incoming>) -> io::Result<Reply> {
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
    fn serve_slot_call(&self, method: &Method, id: &str) -> Reply {
        self.record(Seen::Room(method.to_string(), id.to_owned()));
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
    ) -> io::Result<Reply> {
        let in_flight = AttemptInFlight::new(self, &id);
        let _slot = self.slots.acquire().await;
        self.record(Seen::Began(path.to_owned(), id.clone()));
        let requested = self.requested_fault(&id, body);
        sleep_unless_zero(self.service_time(&requested, body)).await;
        let pause = self.pause.get();
        let behaviour = requested.behaviour.unwrap_or(self.behaviour.get());
        let reply = match behaviour {
            Behaviour::Answer => answer(path, body, requested.malformed, pause),
            Behaviour::Error => Ok(complete(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())),
            Behaviour::Read => Ok(prefilled()),
            Behaviour::Hang => std::future::pending().await,
            Behaviour::Break => Err(io::Error::other("closed on purpose")),
            Behaviour::BreakStream => Ok(broken_stream(pause)),
            Behaviour::Full => Ok(rejection()),
            Behaviour::StreamOn => {
                drop(in_flight);
                let guard = RecordReleaseOnDrop {
                    server: self.clone(),
                    id,
                };
                return Ok(stream_endlessly(guard));
            }
        };
        drop(in_flight);
        reply
    }

    /// The fault of a request that got a slot: what it asks for, or that of the failure interval.
    fn requested_fault(&self, id: &str, body: &[u8]) -> RequestedFault {
        let mut requested = RequestedFault::decode(id, body);
        let is_used_up = requested
            .repetitions
            .is_some_and(|repetitions| self.attempts_of(id) > repetitions);
        if is_used_up {
            requested = requested.without_fault();
        }
        if let Some(on_began) = &*self.on_began.borrow() {
            on_began(id, body);
        }
        self.apply_failure_interval(&mut requested);
        requested
    }

    fn apply_failure_interval(&self, requested: &mut RequestedFault) {
        let interval = self.fails_every.get();
        if interval == 0 {
            return;
        }
        let received = self.received.replace(self.received.get() + 1);
        if !received.is_multiple_of(interval) {
            return;
        }
        if (received / interval).is_multiple_of(2) {
            requested.behaviour = Some(Behaviour::Break);
        } else {
            requested.malformed = Some(Spoils::Missing);
        }
    }

    fn service_time(&self, requested: &RequestedFault, body: &[u8]) -> Duration {
        let fixed = requested.service_time().unwrap_or(self.takes.get());
        let by_size = self.takes_by_kib.get().as_secs_f64() * body.len() as f64 / 1024.0;
        fixed + Duration::from_secs_f64(by_size)
    }
}

async fn sleep_unless_zero(span: Duration) {
    if !span.is_zero() {
        sleep(span).await;
    }
}

/// The answer of a prefill server.
fn prefilled() -> Reply {
    let body = json!({"cached_tokens": 0});
    complete(StatusCode::ACCEPTED, body.to_string().into())
}

/// One event, and the end of the connection.
fn broken_stream(pause: Duration) -> Reply {
    let error = io::Error::other("closed on purpose");
    stream_events(pause, vec![Ok(EVENT.into()), Err(error)])
}

/// A rejection before the request has run.
fn rejection() -> Reply {
    let mut reply = complete(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    reply
        .headers_mut()
        .insert("x-not-run", HeaderValue::from_static("1"));
    reply
}

/// An attempt at a server. Dropping it releases the slot, also when the connection closes, which
/// drops the future of the request.
struct AttemptInFlight<'a> {
    server: &'a Worker,
    id: String,
}

impl<'a> AttemptInFlight<'a> {
    fn new(server: &'a Worker, id: &str) -> AttemptInFlight<'a> {
        let mut in_flight = server.attempts_in_flight.borrow_mut();
        let attempts = in_flight.entry(id.to_owned()).or_default();
        *attempts += 1;
        let most = server.most_at_once.get().max(*attempts);
        server.most_at_once.set(most);
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
        self.server.record(Seen::Freed(self.id.clone()));
        if let Some(on_freed) = &*self.server.on_freed.borrow() {
            on_freed(&self.id);
        }
    }
}

/// Records the release of a slot when an endless stream is dropped.
struct RecordReleaseOnDrop {
    server: Rc<Worker>,
    id: String,
}

impl Drop for RecordReleaseOnDrop {
    fn drop(&mut self) {
        self.server.record(Seen::Freed(self.id.clone()));
    }
}
