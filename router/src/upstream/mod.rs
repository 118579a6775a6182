//! The client side: attempts, probes, and places held at workers, over connections that it owns.

#[cfg(test)]
mod model;
mod pool;
mod progress;
mod reply;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cranetack::{HostId, Outcome, RequestId};
use cranetack_facts::Report;
use http::{Method, Request, Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

use crate::core::{AttemptId, AttemptSpec, CoreEvent, Ended, Handle, Host, Outbound, Place};
use crate::exchange::{self, Sink};
use crate::peers::Peers;
use pool::{ConnectionPool, PooledConnection};
use progress::WireProgress;
use reply::{Reply, Tail};

/// The media type of a stream of events.
const EVENTS: &str = "text/event-stream";
/// The most of an answer that is held at once; streams are not held.
const BODY_MOST: usize = 64 * 1024;
/// How long a client may read nothing of what waits for it.
const UNREAD: Duration = Duration::from_secs(30);
/// How long a writer may take to answer a request for a place. It says after 300 ms that it knows of no read; what it
/// then holds for nobody must be let go within the same span again.
const PLACE_WAIT: Duration = Duration::from_millis(500);
/// How long one server may take to let go before another is asked ...
const RELEASE_WAIT: Duration = Duration::from_millis(120);
/// ... and how long this is tried for.
const RELEASE_FOR: Duration = Duration::from_secs(10);
/// The interval between two looks for connections whose time is up.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Timings and sizes of the client side.
#[derive(Clone)]
pub struct Options {
    /// Connections to all workers together.
    pub connection_limit: usize,
    /// How long a connection may take to come up.
    pub connect_timeout: Duration,
    /// When workers close an idle connection.
    pub idle_close: Duration,
    /// How long a stream may be silent.
    pub silence: Duration,
    /// The names of the figures in load reports.
    pub report: Report,
}

/// The client side.
pub struct Upstream {
    shared: Rc<Shared>,
    running: Running,
    peers: Option<Peers>,
}

struct Shared {
    handle: Handle,
    /// How many releases have not ended.
    releases: watch::Sender<usize>,
    pool: ConnectionPool,
    options: Options,
}

/// Attempts that are out, by their ids.
type Running = Rc<RefCell<HashMap<AttemptId, Control>>>;

struct Control {
    cancel: Option<oneshot::Sender<()>>,
    break_off: Option<oneshot::Sender<()>>,
    written: watch::Receiver<bool>,
}

impl Upstream {
    /// A client side that reports to this handle. Must be called within a `LocalSet`.
    pub fn new(handle: Handle, options: Options, peers: Option<Peers>) -> Upstream {
        let pool = ConnectionPool::new(options.connection_limit, options.connect_timeout, options.idle_close);
        let shared = Rc::new(Shared { handle, releases: watch::Sender::new(0), pool, options });
        let weak = Rc::downgrade(&shared);
        tokio::task::spawn_local(async move {
            while let Some(shared) = weak.upgrade() {
                shared.pool.close_expired();
                drop(shared);
                tokio::time::sleep(EXPIRY_INTERVAL).await;
            }
        });
        Upstream { shared, running: Running::default(), peers }
    }
}

impl Upstream {
    /// How many releases have not ended.
    pub fn releases(&self) -> watch::Receiver<usize> {
        self.shared.releases.subscribe()
    }
}

impl Outbound for Upstream {
    fn send(&mut self, spec: AttemptSpec) {
        let (cancel, cancelled) = oneshot::channel();
        let (break_off, broken_off) = oneshot::channel();
        let (written_tx, written) = watch::channel(false);
        let control = Control { cancel: Some(cancel), break_off: Some(break_off), written };
        let report = Reporter {
            attempt: spec.attempt,
            handle: self.shared.handle.clone(),
            running: self.running.clone(),
            ended: Outcome::Reset.into(),
        };
        self.running.borrow_mut().insert(spec.attempt, control);
        let attempt =
            Attempt { shared: self.shared.clone(), spec, written: written_tx, cancelled, broken_off };
        tokio::task::spawn_local(attempt.run(report));
    }

    fn cancel(&mut self, attempt: AttemptId, streaming: bool) {
        if let Some(control) = self.running.borrow_mut().get_mut(&attempt) {
            let word = if streaming { &mut control.break_off } else { &mut control.cancel };
            word.take().map(|w| w.send(()));
        }
    }

    fn reserve(&mut self, reading: AttemptId, request_id: Rc<str>, writer: Rc<Host>) {
        let Some(written) = self.running.borrow().get(&reading).map(|c| c.written.clone()) else { return };
        let shared = self.shared.clone();
        tokio::task::spawn_local(async move {
            if let Some(place) = shared.request_reservation(written, &request_id, &writer).await {
                let host = writer.id;
                shared.handle.send(CoreEvent::ReservationAnswered { reading, request_id, host, place });
            }
        });
    }

    fn release(&mut self, _request: RequestId, request_id: Rc<str>, hosts: Vec<Rc<Host>>) {
        let shared = self.shared.clone();
        shared.releases.send_modify(|running| *running += 1);
        tokio::task::spawn_local(async move {
            shared.let_go(&request_id, &hosts).await;
            shared.releases.send_modify(|running| *running -= 1);
        });
    }

    fn probe(&mut self, host: Rc<Host>) {
        let shared = self.shared.clone();
        tokio::task::spawn_local(async move {
            let began = Instant::now();
            let (outcome, load) = match shared.load(&host).await {
                Ok((StatusCode::OK, text)) => (Outcome::Good, reply::load(&text, &shared.options.report)),
                Ok(_) => (Outcome::Full, None),
                Err(outcome) => (outcome, None),
            };
            shared.handle.send(CoreEvent::Probed { host: host.id, outcome, spent: began.elapsed(), load });
        });
    }

    fn close_idle(&mut self, host: HostId) {
        self.shared.pool.close_idle(host);
    }

    fn publish(&mut self, to: Option<u32>, bytes: Vec<u8>) {
        if let Some(peers) = &self.peers {
            peers.send(to, &bytes);
        }
    }
}

/// Reports the end of an attempt when dropped, so that one whose task fails is not lost.
struct Reporter {
    attempt: AttemptId,
    handle: Handle,
    running: Running,
    ended: Ended,
}

impl Drop for Reporter {
    fn drop(&mut self) {
        self.running.borrow_mut().remove(&self.attempt);
        self.handle.send(CoreEvent::AttemptEnded(self.attempt, self.ended));
    }
}

struct Attempt {
    shared: Rc<Shared>,
    spec: AttemptSpec,
    written: watch::Sender<bool>,
    cancelled: oneshot::Receiver<()>,
    broken_off: oneshot::Receiver<()>,
}

/// How an attempt stands once its answer has a beginning or it has ended without one.
enum Begun {
    Ended(Ended),
    Streams { body: Incoming, first: Bytes, media_type: String },
}

impl Attempt {
    async fn run(mut self, mut report: Reporter) {
        let mut slot = None;
        let begun = tokio::select! {
            biased;
            begun = begin(&self.shared, &self.spec, &self.written, &mut slot) => begun,
            Ok(()) = &mut self.cancelled => Begun::Ended(Outcome::Cancelled.into()),
            () = sleep_until(self.spec.expire) => Begun::Ended(Outcome::Late.into()),
        };
        report.ended = match begun {
            Begun::Streams { body, first, media_type } => {
                self.spec.message = Rc::default();
                self.stream(body, first, media_type, &mut slot).await
            }
            Begun::Ended(ended) => ended,
        };
        // Whatever has not been given back is closed before the end is told: what is sent next must find
        // this attempt gone. And what was never written whole has never run.
        if let Some(connection) = slot {
            let ended = report.ended.outcome;
            let (idle, all_written) = (connection.idle(), connection.progress().all_written());
            tracing::debug!(id = %self.spec.request_id, ?ended, ?idle, all_written, "a connection is given up");
            if matches!(ended, Outcome::Late | Outcome::Reset) && !all_written {
                report.ended = Outcome::NoConn.into();
            } else if ended == Outcome::Reset && connection.was_dropped() {
                report.ended.info = 1;
            }
            connection.close().await;
        }
    }

    async fn stream(
        &mut self, mut body: Incoming, first: Bytes, media_type: String, slot: &mut Option<PooledConnection>,
    ) -> Ended {
        let (sink, parts) = exchange::stream();
        let attempt = self.spec.attempt;
        self.shared.handle.send(CoreEvent::Established { attempt, media_type, parts });
        let progress = slot.as_ref().map(|connection| connection.progress().clone());
        let pumped = tokio::select! {
            pumped = pump(&mut body, first, sink, self.shared.options.silence, progress.as_deref()) => pumped,
            Ok(()) = &mut self.broken_off => Err(Outcome::Cancelled),
        };
        match pumped {
            Ok(tail) => {
                if let Some(connection) = slot.take() {
                    self.shared.pool.release(connection).await;
                }
                tail.ended(&self.shared.options.report)
            }
            Err(outcome) => outcome.into(),
        }
    }
}

/// Passes a stream on, unchanged and as it comes, to its end.
async fn pump(
    body: &mut Incoming, first: Bytes, sink: Sink, silence: Duration, progress: Option<&WireProgress>,
) -> Result<Tail, Outcome> {
    let mut tail = Tail::default();
    let mut data = Some(first);
    loop {
        if let Some(data) = data.take() {
            tail.push(&data);
            let pushed = timeout(UNREAD, sink.push(data)).await;
            pushed.map_err(|_| Outcome::Cancelled)?.map_err(|_| Outcome::Cancelled)?;
        }
        tokio::select! {
            frame = timeout(silence, body.frame()) => match frame {
                Ok(Some(Ok(frame))) => data = frame.into_data().ok(),
                Ok(None) => break,
                Ok(Some(Err(_))) | Err(_) => return Err(Outcome::Reset),
            },
            () = sink.unread() => return Err(Outcome::Cancelled),
            () = stalled(progress) => return Err(Outcome::Reset),
        }
    }
    // Whoever leaves at the very end has had all of it.
    let _ = timeout(UNREAD, sink.end()).await;
    Ok(tail)
}

/// Sends the request and waits for the beginning of its answer, or its end. The connection stays in `slot`
/// unless it has been given back.
async fn begin(
    shared: &Shared, spec: &AttemptSpec, written: &watch::Sender<bool>, slot: &mut Option<PooledConnection>,
) -> Begun {
    let none = || Begun::Ended(Outcome::NoConn.into());
    let answer = loop {
        // Workers drop kept connections unseen, and a request that is under way then may have run.
        let connection = match spec.non_idempotent {
            true => shared.pool.connect(&spec.host, spec.up_by).await,
            false => shared.pool.acquire(&spec.host, spec.up_by).await,
        };
        let Ok(connection) = connection else { return none() };
        // A connection may have taken its time: what drains by now is sent nothing more, nor is what is over.
        if !spec.host.is_open() || !spec.wanted.get() {
            shared.pool.release(connection).await;
            return none();
        }
        let connection = slot.insert(connection);
        let left = spec.expire.saturating_duration_since(Instant::now()).as_millis();
        let request = Request::builder()
            .method(Method::POST)
            .uri(spec.message.target.as_str())
            .header("host", "worker")
            .header("x-request-id", &*spec.request_id)
            .header("x-deadline-ms", left.to_string())
            .header("content-type", spec.message.media_type.as_str())
            .body(spec.message.body.clone());
        let Ok(mut request) = request else { return Begun::Ended(Outcome::Nop.into()) };
        request.headers_mut().extend(spec.message.headers.clone());
        let progress = connection.progress().clone();
        let told = async {
            progress.wait_all_written().await;
            written.send_replace(true);
            std::future::pending::<()>().await;
        };
        let answer = tokio::select! {
            answer = connection.send(request) => answer,
            () = stalled(Some(&*progress)) => return Begun::Ended(Outcome::Reset.into()),
            () = told => return none(),
        };
        match answer {
            Ok(answer) => break answer,
            Err(_) if slot.as_ref().is_some_and(PooledConnection::was_stale) => {
                // Closed while it was kept: nothing of the request is out, so this is no second copy.
                if let Some(connection) = slot.take() {
                    connection.close().await;
                }
            }
            Err(_) => return Begun::Ended(Outcome::Reset.into()),
        }
    };
    let progress = slot.as_ref().map(|connection| connection.progress().clone());
    tokio::select! {
        begun = answered(shared, answer, slot) => begun,
        () = stalled(progress.as_deref()) => Begun::Ended(Outcome::Reset.into()),
    }
}

/// Waits until the answer that comes over a connection does not go on, though it is waited for from now on.
async fn stalled(progress: Option<&WireProgress>) {
    match progress {
        Some(progress) => progress.stalled(Instant::now()).await,
        None => std::future::pending().await,
    }
}

async fn answered(shared: &Shared, answer: Response<Incoming>, slot: &mut Option<PooledConnection>) -> Begun {
    let (head, mut body) = answer.into_parts();
    let load = reply::load_of(&head.headers, &shared.options.report);
    let reply = Reply::decode(head.status, &head.headers);
    if reply == Reply::Stream {
        let media_type = head.headers.get("content-type").and_then(|v| v.to_str().ok());
        let media_type = media_type.unwrap_or(EVENTS).to_owned();
        return match opening(&mut body, media_type.starts_with(EVENTS)).await {
            Some(first) => Begun::Streams { body, first, media_type },
            None => Begun::Ended(Outcome::Reset.into()),
        };
    }
    let Ok(text) = collect(body).await else { return Begun::Ended(Outcome::Reset.into()) };
    if let Some(connection) = slot.take() {
        shared.pool.release(connection).await;
    }
    Begun::Ended(match reply {
        Reply::Ended(outcome, info) => Ended { outcome, info, load },
        _ => Ended { outcome: Outcome::HalfDone, info: reply::kept_tokens(&text), load },
    })
}

/// The beginning of a stream, of events the first whole one; `None` if there is none. Guards against a request
/// that is bound to a stream of which nothing of use has come.
async fn opening(body: &mut Incoming, events: bool) -> Option<Bytes> {
    let mut held = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        held.extend_from_slice(&data);
        let whole = !events || ends_an_event(&held) || held.len() > BODY_MOST;
        if whole && !held.is_empty() {
            return Some(held.freeze());
        }
    }
    Some(held.freeze()).filter(|held| !held.is_empty())
}

/// Whether a blank line is among these bytes, in any of the forms in which events may end.
fn ends_an_event(bytes: &[u8]) -> bool {
    let ends: [&[u8]; 3] = [b"\n\n", b"\r\r", b"\r\n\r\n"];
    ends.iter().any(|end| bytes.windows(end.len()).any(|part| part == *end))
}

async fn collect<B: Body<Data = Bytes>>(body: B) -> Result<Bytes, Box<dyn std::error::Error + Send + Sync>>
where
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    Ok(Limited::new(body, BODY_MOST).collect().await?.to_bytes())
}

/// A call without a body.
fn call(method: Method, target: &str) -> Option<Request<Bytes>> {
    Request::builder().method(method).uri(target).header("host", "worker").body(Bytes::new()).ok()
}

impl Shared {
    /// Makes a short call and gives its connection back. `Err` says whether the call may have been heard.
    async fn call(
        &self, connection: PooledConnection, request: Request<Bytes>, until: Instant,
    ) -> Result<(StatusCode, Bytes), bool> {
        let mut connection = connection;
        let answer = timeout_at(until, async {
            let answer = connection.send(request).await.ok()?;
            let status = answer.status();
            Some((status, collect(answer.into_body()).await.ok()?))
        });
        match answer.await.ok().flatten() {
            Some(answer) => {
                self.pool.release(connection).await;
                Ok(answer)
            }
            None => {
                let heard = connection.progress().all_written();
                connection.close().await;
                Err(heard)
            }
        }
    }

    async fn load(&self, host: &Host) -> Result<(StatusCode, String), Outcome> {
        let until = Instant::now() + self.options.connect_timeout;
        let connection = self.pool.acquire(host, until).await.map_err(|_| Outcome::NoConn)?;
        let request = call(Method::GET, "/metrics/load").ok_or(Outcome::Nop)?;
        match self.call(connection, request, until).await {
            Ok((status, body)) => Ok((status, String::from_utf8_lossy(&body).into_owned())),
            Err(true) => Err(Outcome::Late),
            Err(false) => Err(Outcome::NoConn),
        }
    }

    /// Asks for a place once the reading request's last byte is out; `None` if nothing was asked.
    async fn request_reservation(
        &self, mut written: watch::Receiver<bool>, request_id: &str, writer: &Host,
    ) -> Option<Place> {
        let until = Instant::now() + self.options.connect_timeout;
        // The reading attempt's end drops the sender: then there is no read to hold a place for.
        let out = async { written.wait_for(|w| *w).await.is_ok() };
        let (out, connection) = tokio::join!(out, self.pool.acquire(writer, until));
        let connection = connection.ok()?;
        if !out || written.has_changed().is_err() || !writer.is_open() {
            self.pool.release(connection).await;
            return None;
        }
        let request = call(Method::POST, &format!("/bootstrap/rooms/{request_id}"))?;
        match self.call(connection, request, Instant::now() + PLACE_WAIT).await {
            Ok((StatusCode::OK, _)) => Some(Place::Held),
            Ok((StatusCode::CONFLICT, _)) => Some(Place::Refused),
            Ok((StatusCode::NOT_FOUND, _)) | Err(false) => None,
            Ok(_) | Err(true) => Some(Place::Unsure),
        }
    }

    /// Lets go of all that is held for a request, through the first of the servers that answers.
    async fn let_go(&self, request_id: &str, hosts: &[Rc<Host>]) {
        let give_up = Instant::now() + RELEASE_FOR;
        for host in hosts.iter().cycle() {
            let until = Instant::now() + RELEASE_WAIT;
            if until > give_up {
                break;
            }
            let Ok(connection) = self.pool.acquire(host, until).await else {
                // Refused at once, perhaps by all: the next try waits a little.
                tokio::time::sleep(Duration::from_millis(5)).await;
                continue;
            };
            let Some(request) = call(Method::DELETE, &format!("/bootstrap/rooms/{request_id}")) else {
                return;
            };
            if self.call(connection, request, until).await.is_ok() {
                return;
            }
        }
        tracing::warn!(request = request_id, "nobody could be told to let go");
    }
}
