//! Stand-ins for workers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};
use tokio::task::{spawn_local, AbortHandle};

use crate::discovery::line_at;

pub type Reply = Response<UnsyncBoxBody<Bytes, std::io::Error>>;

/// What a worker does with a request that has its place.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
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
    /// Streams events without end, and has its place all the while.
    StreamOn,
    /// Turns the request away, saying that it has not run.
    Full,
    /// Answers with a failure, and may have run.
    Error,
}

/// How an answer is spoilt.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spoils {
    /// The last item has no result, or the stream no end.
    Missing,
    /// The first item has two.
    Doubled,
    /// A result of no item.
    OutOfRange,
    /// A result that is no number.
    Nan,
    /// Something else than JSON.
    NotJson,
}

/// What the body of a request asks of the worker, in a field `toy` that means nothing to a router and is passed on:
/// `{"does": "break", "on": 6, "times": 1}` breaks the connection at the slice of a batch whose id ends in `.6`, once.
#[derive(Deserialize, Default)]
#[serde(default)]
struct Toy {
    does: Option<Behaviour>,
    spoils: Option<Spoils>,
    ms: Option<u64>,
    on: Option<u64>,
    times: Option<usize>,
}

impl Toy {
    fn of(id: &str, body: &[u8]) -> Toy {
        #[derive(Deserialize, Default)]
        struct Body {
            #[serde(default)]
            toy: Toy,
        }
        let Toy {
            does,
            spoils,
            ms,
            on,
            times,
        } = serde_json::from_slice::<Body>(body).unwrap_or_default().toy;
        let number = id
            .rsplit_once('.')
            .and_then(|(_, n)| n.parse().ok())
            .unwrap_or(0);
        match on {
            Some(on) if on != number => Toy {
                ms,
                ..Toy::default()
            },
            _ => Toy {
                does,
                spoils,
                ms,
                on,
                times,
            },
        }
    }
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

type OnBegan = Box<dyn Fn(&str, &[u8])>;
type OnFreed = Box<dyn Fn(&str)>;

pub struct Worker {
    pub address: SocketAddr,
    pub behaviour: Cell<Behaviour>,
    /// Whether connections are dropped unseen once they have carried a request: the next one breaks.
    pub drops: Cell<bool>,
    /// How long a request takes, and how much longer for each KiB of its body.
    pub takes: Cell<Duration>,
    pub takes_by_kib: Cell<Duration>,
    /// Between two parts of a stream: lets what came before be seen by itself.
    pub pause: Cell<Duration>,
    /// Every so many requests one fails, in turn by a break and by an answer that leaves an item out; 0 for none.
    pub fails_every: Cell<usize>,
    served: Cell<usize>,
    /// Whether nothing is noted: what is seen grows without end.
    pub quiet: Cell<bool>,
    /// Called where a request begins, with its id and body, and where its place is freed.
    pub on_began: RefCell<Option<OnBegan>>,
    pub on_freed: RefCell<Option<OnFreed>>,
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
        let mut out = self.worker.out.borrow_mut();
        if let Some(n) = out.get_mut(&self.id) {
            *n -= 1;
            if *n == 0 {
                out.remove(&self.id);
            }
        }
        drop(out);
        self.worker.note(Seen::Freed(self.id.clone()));
        if let Some(told) = &*self.worker.on_freed.borrow() {
            told(&self.id);
        }
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
            takes_by_kib: Cell::default(),
            pause: Cell::new(Duration::from_millis(2)),
            fails_every: Cell::default(),
            served: Cell::default(),
            quiet: Cell::default(),
            on_began: RefCell::default(),
            on_freed: RefCell::default(),
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
                let _ = stream.set_nodelay(true);
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
                here.connections
                    .borrow_mut()
                    .push(connection.abort_handle());
            }
        });
        worker
    }

    fn note(&self, seen: Seen) {
        if self.quiet.get() {
            return;
        }
        self.seen.borrow_mut().push(seen);
        self.news.notify_waiters();
    }

    pub fn began(&self, path: &str) -> usize {
        self.seen
            .borrow()
            .iter()
            .filter(|s| matches!(s, Seen::Began(p, _) if p == path))
            .count()
    }

    fn count_of(&self, id: &str) -> usize {
        self.seen
            .borrow()
            .iter()
            .filter(|s| matches!(s, Seen::Began(_, i) if i == id))
            .count()
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
        self.connections
            .borrow_mut()
            .drain(..)
            .for_each(|c| c.abort());
    }

    async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Result<Reply, std::io::Error> {
        let path = request.uri().path().to_owned();
        if let Some(id) = path.strip_prefix("/bootstrap/rooms/") {
            self.note(Seen::Room(request.method().to_string(), id.to_owned()));
            let status = if request.method() == "POST" {
                StatusCode::OK
            } else {
                StatusCode::NO_CONTENT
            };
            return Ok(whole(status, Bytes::new()));
        }
        if path == "/metrics/load" {
            return Ok(whole(StatusCode::OK, "TEXT x0=0.1, x1=0.0".into()));
        }
        let id = request.headers()["x-request-id"]
            .to_str()
            .unwrap()
            .to_owned();
        let body = request
            .into_body()
            .collect()
            .await
            .map_err(std::io::Error::other)?
            .to_bytes();
        let at_once = {
            let mut out = self.out.borrow_mut();
            let n = out.entry(id.clone()).or_default();
            *n += 1;
            *n
        };
        self.most_at_once.set(self.most_at_once.get().max(at_once));
        let in_place = InPlace {
            worker: &self,
            id: id.clone(),
        };
        let _place = self.places.acquire().await;
        self.note(Seen::Began(path.clone(), id.clone()));
        let mut toy = Toy::of(&id, &body);
        if toy.times.is_some_and(|times| self.count_of(&id) > times) {
            toy = Toy {
                ms: toy.ms,
                ..Toy::default()
            };
        }
        if let Some(told) = &*self.on_began.borrow() {
            told(&id, &body);
        }
        if self.fails_every.get() > 0 {
            let served = self.served.replace(self.served.get() + 1);
            if served.is_multiple_of(self.fails_every.get()) {
                match served / self.fails_every.get() % 2 {
                    0 => toy.does = Some(Behaviour::Break),
                    _ => toy.spoils = Some(Spoils::Missing),
                }
            }
        }
        let by_size = self.takes_by_kib.get().as_secs_f64() * body.len() as f64 / 1024.0;
        let takes = toy.ms.map_or(self.takes.get(), Duration::from_millis);
        let takes = takes + Duration::from_secs_f64(by_size);
        if !takes.is_zero() {
            tokio::time::sleep(takes).await;
        }
        let pause = self.pause.get();
        let does = toy.does.unwrap_or(self.behaviour.get());
        if does == Behaviour::StreamOn {
            drop(in_place);
            return Ok(endless(InStream {
                worker: self.clone(),
                id,
            }));
        }
        let reply = match does {
            Behaviour::Answer => answer(&path, &body, toy.spoils, pause),
            Behaviour::Error => Ok(whole(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())),
            Behaviour::Read => Ok(whole(
                StatusCode::ACCEPTED,
                json!({"cached_tokens": 0}).to_string().into(),
            )),
            Behaviour::Hang | Behaviour::StreamOn => std::future::pending().await,
            Behaviour::Break => Err(std::io::Error::other("broken on purpose")),
            Behaviour::BreakStream => Ok(parts(
                pause,
                vec![Ok(EVENT.into()), Err(std::io::Error::other("broken"))],
            )),
            Behaviour::Full => {
                let mut reply = whole(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
                reply
                    .headers_mut()
                    .insert("x-not-run", "1".parse().unwrap());
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
            let _ = stream.set_nodelay(true);
            let (script, count) = (script.clone(), count.clone());
            spawn_local(async move {
                let mut request = Vec::new();
                while stream.read_buf(&mut request).await.is_ok_and(|n| n > 0) {
                    let text = String::from_utf8_lossy(&request).into_owned();
                    let Some((head, body)) = text.split_once("\r\n\r\n") else {
                        continue;
                    };
                    let length = head
                        .split_once("content-length: ")
                        .and_then(|(_, l)| l.lines().next());
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

/// The first event of a chat stream.
pub const EVENT: &str = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"}}]}\n\n";
/// The last one.
pub const DONE: &str = "data: [DONE]\n\n";

/// An answer that is whole.
pub(crate) fn whole(status: StatusCode, body: Bytes) -> Reply {
    let body = Full::new(body)
        .map_err(|e: Infallible| match e {})
        .boxed_unsync();
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(body)
        .unwrap()
}

fn parts(pause: Duration, parts: Vec<Result<Bytes, std::io::Error>>) -> Reply {
    let (tx, rx) = tokio::sync::mpsc::channel(1);
    spawn_local(async move {
        for part in parts {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            if tx.send(part.map(Frame::data)).await.is_err() {
                return;
            }
        }
    });
    let body = Stream(rx).boxed_unsync();
    Response::builder()
        .header("content-type", "text/event-stream")
        .body(body)
        .unwrap()
}

/// Tells that a place is free once its stream is dropped.
struct InStream {
    worker: Rc<Worker>,
    id: String,
}

impl Drop for InStream {
    fn drop(&mut self) {
        self.worker.note(Seen::Freed(self.id.clone()));
    }
}

/// A stream of large events that never ends.
fn endless(place: InStream) -> Reply {
    let (tx, rx) = tokio::sync::mpsc::channel(1);
    spawn_local(async move {
        let _place = place;
        let event = format!(
            "data: {{\"choices\":[{{\"delta\":{{\"content\":\"{}\"}}}}]}}\n\n",
            "x".repeat(8_000)
        );
        while tx.send(Ok(Frame::data(event.clone().into()))).await.is_ok() {}
    });
    let body = Stream(rx).boxed_unsync();
    Response::builder()
        .header("content-type", "text/event-stream")
        .body(body)
        .unwrap()
}

struct Stream(tokio::sync::mpsc::Receiver<Result<Frame<Bytes>, std::io::Error>>);

impl hyper::body::Body for Stream {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        self.0.poll_recv(cx)
    }
}

/// The event before it.
pub const FINISH: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n";

/// An embedding holds the length of its text; a document's score is the number that it begins with.
fn answer(
    path: &str,
    body: &[u8],
    spoils: Option<Spoils>,
    pause: Duration,
) -> Result<Reply, std::io::Error> {
    if spoils == Some(Spoils::NotJson) {
        return Ok(whole(StatusCode::OK, "<html>".into()));
    }
    let asked: Value = serde_json::from_slice(body).map_err(std::io::Error::other)?;
    let items = |key: &str| asked[key].as_array().cloned().unwrap_or_default();
    let text = |item: &Value| {
        item.as_str()
            .or(item["text"].as_str())
            .unwrap_or("")
            .to_owned()
    };
    let (key, mut results) = match path {
        "/v1/embeddings" => {
            let one = |item: &Value| {
                vec![text(item).len(); asked["dimensions"].as_u64().unwrap_or(1) as usize]
            };
            let input = match &asked["input"] {
                Value::Array(ids) if ids.iter().all(Value::is_u64) => vec![asked["input"].clone()],
                Value::Array(many) => many.clone(),
                one => vec![one.clone()],
            };
            (
                "data",
                input
                    .iter()
                    .map(|item| json!({"embedding": one(item)}))
                    .collect::<Vec<_>>(),
            )
        }
        "/v1/rerank" => {
            let score = |item: &Value| {
                text(item)
                    .split(' ')
                    .next()
                    .and_then(|w| w.parse::<f64>().ok())
            };
            let one = |item: &Value| json!({"relevance_score": score(item).unwrap_or(0.0)});
            ("results", items("documents").iter().map(one).collect())
        }
        _ => return Ok(chat(&asked, spoils, pause)),
    };
    results
        .iter_mut()
        .enumerate()
        .for_each(|(index, result)| result["index"] = json!(index));
    match spoils {
        Some(Spoils::Missing) => drop(results.pop()),
        Some(Spoils::Doubled) => results.push(results[0].clone()),
        Some(Spoils::OutOfRange) => results[0]["index"] = json!(results.len()),
        Some(Spoils::Nan) => {
            results[0] = json!({"index": 0, "relevance_score": null, "embedding": [null]})
        }
        _ => {}
    }
    let usage = json!({"prompt_tokens": results.len(), "total_tokens": results.len()});
    Ok(whole(
        StatusCode::OK,
        json!({key: results, "usage": usage}).to_string().into(),
    ))
}

/// A stream of one word, with its use where that is asked for.
fn chat(asked: &Value, spoils: Option<Spoils>, pause: Duration) -> Reply {
    let mut events = vec![EVENT.to_owned()];
    if spoils != Some(Spoils::Missing) {
        events.push(FINISH.to_owned());
        if asked["stream_options"]["include_usage"] == json!(true) {
            let usage = json!({"prompt_tokens": 3, "completion_tokens": 1, "total_tokens": 4});
            events.push(format!(
                "data: {}\n\n",
                json!({"choices": [], "usage": usage})
            ));
        }
        events.push(DONE.to_owned());
    }
    parts(
        pause,
        events.into_iter().map(|event| Ok(event.into())).collect(),
    )
}
