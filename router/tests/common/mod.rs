//! The one helper of the network tests: stand-ins for discovery, workers and clients on loopback addresses,
//! and a router between them. A worker does what its [`Behaviour`] says and notes what it saw.
#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cranetack_router::config::{parse_toml, Config};
use cranetack_router::tenants::Tenants;
use cranetack_router::{control, Extras, Router};
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify, Semaphore};
use tokio::task::{spawn_local, AbortHandle, LocalSet};

/// No test waits longer than this for anything: a bound on hangs, not a measurement.
pub const HANG: Duration = Duration::from_secs(20);

pub type Reply = Response<UnsyncBoxBody<Bytes, std::io::Error>>;

/// Runs a test's future with the tasks that it spawns, on one thread.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { tokio::time::timeout(HANG, test).await.expect("it hangs") });
}

/// The same with a clock that only advances while nothing else is to be done.
pub fn run_paused(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// What a worker does with a request that has its place.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Behaviour {
    /// Answers by its path: vectors, scores, or a chat stream.
    Answer,
    /// Reads the prompt, as a reader does.
    Read,
    /// Begins to work and never ends.
    Hang,
    /// Breaks the connection once the request is in.
    Break,
    /// Streams one event and breaks the connection.
    BreakStream,
    /// Turns the request away, saying that it has not run.
    Full,
}

/// What a worker saw, in order.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Seen {
    /// A request began: its path and id.
    Began(String, String),
    /// A request's place was freed, by its end or its connection's.
    Freed(String),
    /// A call on the place of a request: its method and id.
    Room(String, String),
}

pub struct Worker {
    pub address: SocketAddr,
    pub behaviour: Cell<Behaviour>,
    /// Whether connections are dropped unseen once they have carried a request: the next one breaks.
    pub drops: Cell<bool>,
    /// How long a request takes.
    pub takes: Cell<Duration>,
    pub seen: RefCell<Vec<Seen>>,
    /// The most attempts of one request that were here at once.
    pub most_at_once: Cell<usize>,
    out: RefCell<HashMap<String, usize>>,
    news: Notify,
    places: Semaphore,
    connections: RefCell<Vec<AbortHandle>>,
}

/// Frees a request's place when dropped: also when its connection closes, which drops its future.
struct InPlace<'a> {
    worker: &'a Worker,
    id: String,
}

impl Drop for InPlace<'_> {
    fn drop(&mut self) {
        if let Some(n) = self.worker.out.borrow_mut().get_mut(&self.id) {
            *n -= 1;
        }
        self.worker.note(Seen::Freed(self.id.clone()));
    }
}

impl Worker {
    /// A worker that serves so many requests at once, the others in turn.
    pub async fn start(places: usize, behaviour: Behaviour) -> Rc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let worker = Rc::new(Worker {
            address: listener.local_addr().unwrap(),
            behaviour: Cell::new(behaviour),
            drops: Cell::default(),
            takes: Cell::new(Duration::from_millis(2)),
            seen: RefCell::default(),
            most_at_once: Cell::default(),
            out: RefCell::default(),
            news: Notify::new(),
            places: Semaphore::new(places),
            connections: RefCell::default(),
        });
        let here = worker.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let worker = here.clone();
                let connection = spawn_local(async move {
                    let used = Cell::new(false);
                    let service = service_fn(|request: Request<Incoming>| {
                        let room = request.uri().path().starts_with("/bootstrap/");
                        let dropped = !room && used.replace(true) && worker.drops.get();
                        let worker = worker.clone();
                        async move {
                            match dropped {
                                true => Err(std::io::Error::other("dropped unseen")),
                                false => worker.serve(request).await,
                            }
                        }
                    });
                    let served = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service);
                    // An error here is how a connection is broken on purpose.
                    let _ = served.await;
                });
                here.connections.borrow_mut().push(connection.abort_handle());
            }
        });
        worker
    }

    fn note(&self, seen: Seen) {
        self.seen.borrow_mut().push(seen);
        self.news.notify_waiters();
    }

    pub fn began(&self, path: &str) -> usize {
        self.seen.borrow().iter().filter(|s| matches!(s, Seen::Began(p, _) if p == path)).count()
    }

    /// Waits until what was seen fits.
    pub async fn until(&self, fits: impl Fn(&[Seen]) -> bool) {
        loop {
            let news = self.news.notified();
            if fits(&self.seen.borrow()) {
                return;
            }
            news.await;
        }
    }

    /// Closes all connections at once, as the death of its process would.
    pub fn cut(&self) {
        self.connections.borrow_mut().drain(..).for_each(|c| c.abort());
    }

    async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Result<Reply, std::io::Error> {
        let path = request.uri().path().to_owned();
        if let Some(id) = path.strip_prefix("/bootstrap/rooms/") {
            self.note(Seen::Room(request.method().to_string(), id.to_owned()));
            let status = if request.method() == "POST" { StatusCode::OK } else { StatusCode::NO_CONTENT };
            return Ok(whole(status, Bytes::new()));
        }
        if path == "/metrics/load" {
            return Ok(whole(StatusCode::OK, "TEXT x0=0.1, x1=0.0".into()));
        }
        let id = request.headers()["x-request-id"].to_str().unwrap().to_owned();
        let body = request.into_body().collect().await.map_err(std::io::Error::other)?.to_bytes();
        let at_once = {
            let mut out = self.out.borrow_mut();
            let n = out.entry(id.clone()).or_default();
            *n += 1;
            *n
        };
        self.most_at_once.set(self.most_at_once.get().max(at_once));
        let in_place = InPlace { worker: &self, id: id.clone() };
        let _place = self.places.acquire().await;
        self.note(Seen::Began(path.clone(), id));
        tokio::time::sleep(self.takes.get()).await;
        let reply = match self.behaviour.get() {
            Behaviour::Answer => answer(&path, &body),
            Behaviour::Read => {
                Ok(whole(StatusCode::ACCEPTED, json!({"cached_tokens": 0}).to_string().into()))
            }
            Behaviour::Hang => std::future::pending().await,
            Behaviour::Break => Err(std::io::Error::other("broken on purpose")),
            Behaviour::BreakStream => Ok(parts(vec![Ok(EVENT.into()), Err(std::io::Error::other("broken"))])),
            Behaviour::Full => {
                let mut reply = whole(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
                reply.headers_mut().insert("x-not-run", "1".parse().unwrap());
                Ok(reply)
            }
        };
        drop(in_place);
        reply
    }
}

/// A worker that answers each request with the same bytes, whatever they are, part after part, and leaves the
/// connection open. Calls on places are answered as they should be. Returns its line of the list, and a count of requests.
pub async fn scripted(kind: &str, script: Vec<String>) -> (Value, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let asked = Rc::new(Cell::new(0));
    let count = asked.clone();
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (script, count) = (script.clone(), count.clone());
            spawn_local(async move {
                let mut request = Vec::new();
                while stream.read_buf(&mut request).await.is_ok_and(|n| n > 0) {
                    let text = String::from_utf8_lossy(&request).into_owned();
                    let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
                    let length = head.split_once("content-length: ").and_then(|(_, l)| l.lines().next());
                    if body.len() < length.map_or(0, |l| l.parse().unwrap()) {
                        continue;
                    }
                    let room = head.contains("/bootstrap/");
                    count.set(count.get() + usize::from(!room));
                    let freed = ["HTTP/1.1 204 No Content\r\n\r\n".to_owned()];
                    for part in if room { &freed[..] } else { &script } {
                        if stream.write_all(part.as_bytes()).await.is_err() {
                            return;
                        }
                        tokio::time::sleep(Duration::from_millis(2)).await;
                    }
                    request.clear();
                }
            });
        }
    });
    (line_at(address, kind, "up"), asked)
}

pub const EVENT: &str = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"}}]}\n\n";
pub const DONE: &str = "data: [DONE]\n\n";

fn whole(status: StatusCode, body: Bytes) -> Reply {
    let body = Full::new(body).map_err(|e: Infallible| match e {}).boxed_unsync();
    Response::builder().status(status).header("content-type", "application/json").body(body).unwrap()
}

fn parts(parts: Vec<Result<Bytes, std::io::Error>>) -> Reply {
    let (tx, rx) = tokio::sync::mpsc::channel(1);
    spawn_local(async move {
        for part in parts {
            // The pause lets what came before it be seen by itself.
            tokio::time::sleep(Duration::from_millis(2)).await;
            if tx.send(part.map(Frame::data)).await.is_err() {
                return;
            }
        }
    });
    let body = Stream(rx).boxed_unsync();
    Response::builder().header("content-type", "text/event-stream").body(body).unwrap()
}

struct Stream(tokio::sync::mpsc::Receiver<Result<Frame<Bytes>, std::io::Error>>);

impl hyper::body::Body for Stream {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>, cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        self.0.poll_recv(cx)
    }
}

/// An embedding holds the length of its text; a document's score is the number that it begins with.
fn answer(path: &str, body: &[u8]) -> Result<Reply, std::io::Error> {
    let asked: Value = serde_json::from_slice(body).map_err(std::io::Error::other)?;
    let items = |key: &str| asked[key].as_array().cloned().unwrap_or_default().into_iter().enumerate();
    let text = |item: &Value| item.as_str().unwrap_or("").to_owned();
    let answer = match path {
        "/v1/embeddings" => {
            let one = |(i, item): (usize, Value)| json!({"index": i, "embedding": [text(&item).len()]});
            json!({"object": "list", "data": items("input").map(one).collect::<Vec<_>>()})
        }
        "/v1/rerank" => {
            let score = |item: &Value| text(item).split(' ').next().and_then(|w| w.parse::<f64>().ok());
            let one = |(i, item): (usize, Value)| json!({"index": i, "relevance_score": score(&item)});
            json!({"results": items("documents").map(one).collect::<Vec<_>>(), "usage": {"total_tokens": 1}})
        }
        _ => return Ok(parts(vec![Ok(EVENT.into()), Ok(DONE.into())])),
    };
    Ok(whole(StatusCode::OK, answer.to_string().into()))
}

/// A stand-in for discovery, whose list a test may change.
pub struct Discovery {
    pub address: SocketAddr,
    /// Watches are not answered any more.
    pub silent: Cell<bool>,
    list: watch::Sender<(u64, Vec<Value>)>,
    whole_asked: Notify,
    connections: RefCell<Vec<AbortHandle>>,
}

/// A line of the list.
pub fn line(worker: &Worker, kind: &str, status: &str) -> Value {
    line_at(worker.address, kind, status)
}

fn line_at(address: SocketAddr, kind: &str, status: &str) -> Value {
    json!({"name": format!("w{}", address.port()), "address": address.to_string(), "zone": "here", "type": kind,
        "group": 0, "status": status, "weight": 1.0, "since_ms": 0})
}

impl Discovery {
    pub async fn start(lines: Vec<Value>) -> Rc<Discovery> {
        Discovery::start_at("127.0.0.1:0", lines).await
    }

    pub async fn start_at(address: &str, lines: Vec<Value>) -> Rc<Discovery> {
        let listener = TcpListener::bind(address).await.unwrap();
        let (list, _) = watch::channel((1, lines));
        let discovery = Rc::new(Discovery {
            address: listener.local_addr().unwrap(),
            silent: Cell::default(),
            list,
            whole_asked: Notify::new(),
            connections: RefCell::default(),
        });
        let here = discovery.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let discovery = here.clone();
                let connection = spawn_local(async move {
                    let service = service_fn(|request| discovery.clone().serve(request));
                    let io = TokioIo::new(stream);
                    let _ = hyper::server::conn::http1::Builder::new().serve_connection(io, service).await;
                });
                here.connections.borrow_mut().push(connection.abort_handle());
            }
        });
        discovery
    }

    async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Result<Reply, Infallible> {
        let from =
            request.uri().query().and_then(|q| q.strip_prefix("from=")?.split('&').next()?.parse().ok());
        if let Some(from) = from {
            let mut list = self.list.subscribe();
            let newer = list.wait_for(|(index, _): &(u64, _)| *index > from);
            let _ = tokio::time::timeout(Duration::from_millis(500), newer).await;
            if self.silent.get() {
                std::future::pending::<()>().await;
            }
        } else {
            self.whole_asked.notify_one();
        }
        let (index, lines) = self.list.borrow().clone();
        let news = from.is_none_or(|from| index > from);
        let lines = if news { lines } else { Vec::new() };
        let list = json!({"index": index, "snapshot": news, "endpoints": lines});
        Ok(whole(StatusCode::OK, list.to_string().into()))
    }

    /// Waits until the whole list has been asked for since the last such wait.
    pub async fn asked(&self) {
        self.whole_asked.notified().await;
    }

    /// Closes all connections at once.
    pub fn cut(&self) {
        self.connections.borrow_mut().drain(..).for_each(|c| c.abort());
    }

    /// Publishes a new list.
    pub fn publish(&self, lines: Vec<Value>) {
        self.list.send_modify(|(index, list)| (*index, *list) = (*index + 1, lines));
    }
}

/// A router under test.
pub struct Bed {
    pub discovery: Rc<Discovery>,
    /// Tells the router that discovery has moved.
    pub moves: watch::Sender<SocketAddr>,
    pub platform: SocketAddr,
    pub inference: SocketAddr,
    pub control: SocketAddr,
    pub stop: Option<oneshot::Sender<()>>,
    pub stopped: tokio::task::JoinHandle<()>,
}

/// The settings of the tests, as a configuration file holds them.
pub fn settings() -> Value {
    let class = |name: &str, effect: &str, worth: f64| {
        json!({"name": name, "idempotency": effect, "goal_time_us": 1_000_000, "deadline_us": 5_000_000,
            "points": worth, "stream": true})
    };
    json!({
        "az": "here", "period_us": 4_000, "zones": ["here"], "kinds": ["reader", "writer", "mixed"], "balancers": 1, "me": 0,
        "classes": [class("chat", "safe", 4.0), class("embeddings", "safe", 1.0), class("rerank", "safe", 1.0),
            class("order", "unsafe", 4.0)],
        "allowed": {"cancelling": true, "probing": false, "retry_after": true, "max_retry_after_us": 1_000_000,
            "max_attempts": 4, "connect_timeout_us": 250_000, "idle_close_us": 15_000_000},
        "domain": {"ahead": true, "pin_limit_us": 300_000, "stage_of_kind": ["read", "write", "both"]},
        "rules": {"answer_slack_us": 16_000}, "report": {"how": "silent", "columns": []}})
}

impl Bed {
    /// A router on both fronts, ready for requests.
    pub async fn start(lines: Vec<Value>) -> Bed {
        Bed::start_with(lines, None).await
    }

    pub async fn start_with(lines: Vec<Value>, tenants: Option<Tenants>) -> Bed {
        Bed::start_set(lines, tenants, settings()).await
    }

    pub async fn start_set(lines: Vec<Value>, tenants: Option<Tenants>, settings: Value) -> Bed {
        let discovery = Discovery::start(lines).await;
        let config = json!({"name": "r0", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
            "seed": "7", "limits": {"sockets": 64}, "settings": settings});
        let config = Config::parse(config.to_string().as_bytes()).unwrap();
        let file = include_str!("../../../deploy/inference.toml");
        let file = file
            .replace("127.0.0.1:8090", "127.0.0.1:0")
            .replace("slice_tokens = 2048", "slice_tokens = 256");
        let listen = "127.0.0.1:0".parse().unwrap();
        let control = control::Setup { listen, period_ms: 5, weight_steps: 20 };
        let (moves, moved) = watch::channel(discovery.address);
        let inference = Some(parse_toml(&file).unwrap());
        let extras = Extras { inference, tenants, control: Some(control), discovery: Some(moved) };
        let router = Router::bind(config, extras).await.unwrap();
        let control = router.control_address().unwrap().unwrap();
        let platform = router.address().unwrap();
        let inference = router.inference_address().unwrap().unwrap();
        let (stop, stopping) = oneshot::channel::<()>();
        let stopped = spawn_local(router.serve(async { drop(stopping.await) }));
        while Client::connect(platform).await.get("/up").await.0 != 200 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        Bed { discovery, moves, platform, inference, control, stop: Some(stop), stopped }
    }
}

/// A client's connection; dropping it closes it.
pub struct Client {
    sender: hyper::client::conn::http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Client {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).await.unwrap();
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.unwrap();
        let driver = spawn_local(async move { drop(connection.await) }).abort_handle();
        Client { sender, driver }
    }

    pub async fn get(&mut self, path: &str) -> (u16, Bytes) {
        let request = Request::get(path).header("host", "app").body(Full::default()).unwrap();
        let (status, _, body) = self.send(request).await;
        (status, body.unwrap())
    }

    /// Sends a request; the body is `None` where it broke off.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> (u16, http::HeaderMap, Option<Bytes>) {
        self.sender.ready().await.unwrap();
        let answer = self.sender.send_request(request).await.unwrap();
        let (status, headers) = (answer.status().as_u16(), answer.headers().clone());
        (status, headers, answer.into_body().collect().await.ok().map(|b| b.to_bytes()))
    }

    /// Posts JSON on the second front.
    pub async fn post(&mut self, path: &str, body: Value) -> (u16, Value) {
        let body = Full::from(body.to_string());
        let request = Request::post(path).header("host", "app").body(body).unwrap();
        let (status, _, body) = self.send(request).await;
        let body = body.expect("whole");
        (status, serde_json::from_slice(&body).unwrap_or_else(|_| String::from_utf8_lossy(&body).into()))
    }

    /// Asks on the platform's front.
    pub async fn ask(
        &mut self, id: &str, class: &str, deadline_ms: u32,
    ) -> (u16, http::HeaderMap, Option<Bytes>) {
        let request = Request::post("/v1/chat/completions")
            .header("host", "app")
            .header("x-request-id", id)
            .header("x-class", class)
            .header("x-key", "s1")
            .header("x-deadline-ms", deadline_ms.to_string())
            .header("x-extras", "prompt_len=100,max_out=20")
            .body(Full::from("{\"messages\":[]}"));
        self.send(request.unwrap()).await
    }
}

/// A client that sends what it likes.
pub struct Raw(TcpStream);

impl Raw {
    pub async fn connect(address: SocketAddr) -> Raw {
        Raw(TcpStream::connect(address).await.unwrap())
    }

    pub async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.unwrap();
    }

    /// All that is said until the router closes the connection.
    pub async fn until_closed(&mut self) -> String {
        let mut said = Vec::new();
        // A close with something unread on the other side comes as an error.
        let _ = self.0.read_to_end(&mut said).await;
        String::from_utf8_lossy(&said).into_owned()
    }
}
