//! Stand-ins for servers that read prompts and for servers that answer, with the truth of what ran and what is held.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::sleep;

use crate::oracle::{LeasedResource, ReceivedAttempt, Role};
use crate::scenario::Plant;
use crate::world::World;

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Requests that a server works on at once, and that may wait.
const SLOTS: [usize; 2] = [4, 24];
const QUEUE_LIMIT: usize = 40;
/// How long a writer waits before it says that it knows of no read.
const UNKNOWN_READ: Duration = Duration::from_millis(300);

/// A stand-in for a server. It may die and start anew.
pub struct Server {
    /// Its place in the run.
    pub index: usize,
    /// What it does.
    pub role: Role,
    /// It works on nothing, and says nothing.
    pub hung: watch::Sender<bool>,
    /// Of 100 requests, how many end with an error after they have run.
    pub errors: Cell<u64>,
    /// It takes nothing new.
    pub draining: Cell<bool>,
    address: Cell<SocketAddr>,
    waiting: Cell<usize>,
    slots: Semaphore,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl Server {
    /// A server that runs.
    pub async fn start(world: &Rc<World>, index: usize, role: Role) -> std::io::Result<Rc<Server>> {
        let server = Rc::new(Server {
            index,
            role,
            hung: watch::Sender::new(false),
            errors: Cell::default(),
            draining: Cell::default(),
            address: Cell::new(([127, 0, 0, 1], 1).into()),
            waiting: Cell::default(),
            slots: Semaphore::new(SLOTS[usize::from(role == Role::Decode)]),
            tasks: RefCell::default(),
        });
        server.listen(world).await?;
        Ok(server)
    }

    /// Where it listens now.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// The process dies: its connections end, and what it held is lost.
    pub fn kill(&self, world: &World) {
        self.tasks
            .borrow_mut()
            .drain(..)
            .for_each(|task| task.abort());
        world.forget_server(self.index);
    }

    /// A new process, at another port.
    pub async fn listen(self: &Rc<Self>, world: &Rc<World>) -> std::io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        self.address.set(listener.local_addr()?);
        self.draining.set(false);
        let (server, world) = (self.clone(), world.clone());
        let accepting = spawn_local(async move {
            while let Ok((stream, peer)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let connection =
                    spawn_local(server.clone().serve_connection(world.clone(), stream, peer));
                let mut tasks = server.tasks.borrow_mut();
                tasks.retain(|task| !task.is_finished());
                tasks.push(connection.abort_handle());
            }
        });
        self.tasks.borrow_mut().push(accepting.abort_handle());
        Ok(())
    }

    async fn serve_connection(
        self: Rc<Self>,
        world: Rc<World>,
        stream: TcpStream,
        peer: SocketAddr,
    ) {
        // The proxy notes its connection right after it is up.
        sleep(Duration::from_millis(1)).await;
        let number = world
            .connections
            .borrow_mut()
            .remove(&peer)
            .unwrap_or_else(|| world.number());
        let service = service_fn(|request| {
            let (server, world) = (self.clone(), world.clone());
            async move { Ok::<_, Infallible>(server.serve(&world, number, request).await) }
        });
        let served = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        let _ = served.await;
        world.attempt_ends(number);
    }

    async fn serve(
        self: Rc<Self>,
        world: &Rc<World>,
        connection: u64,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let attempt = path.starts_with("/v1/");
        if !attempt {
            self.wait_while_hung().await;
        }
        if let Some(id) = path.strip_prefix("/bootstrap/rooms/") {
            return self.room(world, request.method(), id).await;
        }
        if path == "/metrics/load" {
            let load = format!("TEXT latency_ms=40, x0=0.2, x1={}", self.waiting.get());
            return whole(StatusCode::OK, load, false);
        }
        let header = |name: &str| {
            request
                .headers()
                .get(name)
                .and_then(|v| v.to_str().ok())
                .map(str::to_owned)
        };
        let Some(id) = header("x-request-id") else {
            return whole(StatusCode::NOT_FOUND, "", false);
        };
        let told = header("x-deadline-ms")
            .and_then(|ms| ms.parse().ok())
            .unwrap_or(0);
        if request.into_body().collect().await.is_err() {
            return whole(StatusCode::BAD_REQUEST, "", false);
        }
        let number = world.number();
        {
            let mut oracle = world.oracle.borrow_mut();
            let received = ReceivedAttempt {
                request_id: &id,
                number,
                server: self.index,
                role: self.role,
                stated_time_left: Duration::from_millis(told),
            };
            oracle.attempt_received(&received, world.now());
            if world.plants(Plant::SecondCopy) || world.plants(Plant::Duplicate) {
                let duplicate = ReceivedAttempt {
                    number: world.number(),
                    ..received
                };
                oracle.attempt_received(&duplicate, world.now());
            }
        }
        world
            .attempts
            .borrow_mut()
            .insert(connection, (id.clone(), number));
        self.wait_while_hung().await;
        let (response, ended) = self.attempt(world, &id, connection).await;
        if ended {
            world.answered.borrow_mut().insert(connection);
        }
        response
    }

    async fn wait_while_hung(&self) {
        let _ = self.hung.subscribe().wait_for(|hung| !hung).await;
    }

    /// The answer, and whether the attempt ends with its head.
    async fn attempt(
        self: &Rc<Self>,
        world: &Rc<World>,
        id: &str,
        connection: u64,
    ) -> (Response<Body>, bool) {
        let away = |status| {
            world.oracle.borrow_mut().attempt_rejected(id, self.role);
            (whole(status, "", true), true)
        };
        if self.draining.get() || self.waiting.get() >= QUEUE_LIMIT {
            return away(StatusCode::SERVICE_UNAVAILABLE);
        }
        let fails = world.chance(self.errors.get());
        let _waits = Waits::new(&self.waiting);
        match self.role {
            Role::Prefill => {
                let _reading = Listed::new(world, id, |world| &world.reading);
                let _slot = self.slots.acquire().await;
                sleep(Duration::from_millis(world.draw(20, 140))).await;
                if fails {
                    return (whole(StatusCode::INTERNAL_SERVER_ERROR, "", false), true);
                }
                world.states.borrow_mut().insert(id.to_owned(), self.index);
                world.oracle.borrow_mut().lease_acquired(
                    id,
                    self.index,
                    LeasedResource::KvState,
                    world.now(),
                );
                (
                    whole(StatusCode::ACCEPTED, "{\"cached_tokens\":0}", false),
                    true,
                )
            }
            Role::Decode => {
                if !world.states.borrow().contains_key(id) {
                    return away(StatusCode::GONE);
                }
                let fetching = Listed::new(world, id, |world| &world.fetching);
                let _slot = self.slots.acquire().await;
                sleep(Duration::from_millis(world.draw(2, 30))).await;
                if !world.states.borrow().contains_key(id) {
                    return away(StatusCode::GONE);
                }
                drop(fetching);
                world.release(id);
                sleep(Duration::from_millis(world.draw(5, 60))).await;
                if fails {
                    return (whole(StatusCode::INTERNAL_SERVER_ERROR, "", false), true);
                }
                (stream(world.clone(), connection), false)
            }
        }
    }

    async fn room(&self, world: &World, method: &Method, id: &str) -> Response<Body> {
        if method != Method::POST {
            world.release(id);
            return whole(StatusCode::NO_CONTENT, "", false);
        }
        if !world.reading.borrow().contains(id) {
            sleep(UNKNOWN_READ).await;
            return whole(StatusCode::NO_CONTENT, "", false);
        }
        if world.chance(25) {
            return whole(StatusCode::CONFLICT, "", false);
        }
        let before = world.places.borrow_mut().insert(id.to_owned(), self.index);
        let mut oracle = world.oracle.borrow_mut();
        if let Some(before) = before {
            oracle.lease_ended(id, before, LeasedResource::DecodeSlot, world.now());
        }
        oracle.lease_acquired(id, self.index, LeasedResource::DecodeSlot, world.now());
        whole(StatusCode::OK, "", false)
    }
}

/// A request counted as waiting for as long as it lives.
struct Waits<'a>(&'a Cell<usize>);

impl<'a> Waits<'a> {
    fn new(count: &'a Cell<usize>) -> Waits<'a> {
        count.set(count.get() + 1);
        Waits(count)
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

type Set = fn(&World) -> &RefCell<std::collections::HashSet<String>>;

/// A request in one of the world's sets for as long as it lives.
struct Listed<'a> {
    world: &'a World,
    id: String,
    set: Set,
}

impl<'a> Listed<'a> {
    fn new(world: &'a World, id: &str, set: Set) -> Listed<'a> {
        set(world).borrow_mut().insert(id.to_owned());
        Listed {
            world,
            id: id.to_owned(),
            set,
        }
    }
}

impl Drop for Listed<'_> {
    fn drop(&mut self) {
        (self.set)(self.world).borrow_mut().remove(&self.id);
    }
}

fn whole(status: StatusCode, body: impl Into<Bytes>, not_run: bool) -> Response<Body> {
    let body = Full::new(body.into())
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if not_run {
        response
            .headers_mut()
            .insert("x-not-run", http::HeaderValue::from_static("1"));
    }
    response
}

/// Some events, some milliseconds apart; the attempt ends with the last, or when nobody reads any more.
fn stream(world: Rc<World>, connection: u64) -> Response<Body> {
    let (events, parts) = mpsc::channel(1);
    spawn_local(async move {
        for _ in 0..world.draw(3, 20) {
            let event = Bytes::from_static(cranetack_testkit::EVENT.as_bytes());
            if events.send(Ok(Frame::data(event))).await.is_err() {
                break;
            }
            sleep(Duration::from_millis(world.draw(5, 30))).await;
        }
        let _ = events
            .send(Ok(Frame::data(Bytes::from_static(
                cranetack_testkit::DONE.as_bytes(),
            ))))
            .await;
        world.attempt_ends(connection);
    });
    let body = StreamBody::new(tokio_stream::wrappers::ReceiverStream::new(parts)).boxed_unsync();
    Response::builder()
        .header("content-type", "text/event-stream")
        .body(body)
        .unwrap_or_default()
}
