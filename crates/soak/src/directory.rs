//! The list of servers, and an agent for each router that tells it: late, silent, busy, or broken off.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::sleep;

use crate::oracle::Role;
use crate::proxy::Proxy;
use crate::scenario::Plant;
use crate::world::World;

/// A change counts as told after this, if the agent has it and can be reached.
const TOLD_ANYWAY: Duration = Duration::from_secs(6);

/// What the list says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It takes work.
    Up,
    /// It takes nothing new.
    Draining,
    /// It is gone.
    Removed,
}

impl Status {
    fn word(self) -> &'static str {
        match self {
            Status::Up => "up",
            Status::Draining => "draining",
            Status::Removed => "removed",
        }
    }
}

/// A line of the list, and in which version it changed last.
#[derive(Debug, Clone, Copy)]
struct Entry {
    role: Role,
    status: Status,
    since_ms: u64,
    changed: u64,
}

/// The list as it is, for all agents.
pub struct Directory {
    entries: RefCell<Vec<Entry>>,
    version: watch::Sender<u64>,
}

impl Directory {
    /// All servers are up, since long ago.
    pub fn new(roles: &[Role]) -> Rc<Directory> {
        let entry = |role: &Role| Entry {
            role: *role,
            status: Status::Up,
            since_ms: 0,
            changed: 1,
        };
        Rc::new(Directory {
            entries: RefCell::new(roles.iter().map(entry).collect()),
            version: watch::Sender::new(1),
        })
    }

    /// A server's line changes; `started` is Unix time (ms) where it starts anew.
    pub fn set(&self, server: usize, status: Status, started: Option<u64>) {
        let version = *self.version.borrow() + 1;
        if let Some(entry) = self.entries.borrow_mut().get_mut(server) {
            (entry.status, entry.changed) = (status, version);
            entry.since_ms = started.unwrap_or(entry.since_ms);
        }
        self.version.send_replace(version);
    }
}

/// How an agent behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    /// It answers.
    Serves,
    /// It accepts and says nothing.
    Silent,
    /// It refuses all calls.
    Busy,
}

/// The agent on one router's machine, at two addresses of which the configuration names one.
pub struct Agent {
    /// Where it listens.
    pub addresses: [SocketAddr; 2],
    router: usize,
    directory: Rc<Directory>,
    proxies: Vec<Rc<Proxy>>,
    /// The version that it has, and since when it could be asked for it.
    version: watch::Sender<u64>,
    mood: Cell<Mood>,
    reachable_since: Cell<Duration>,
    had: RefCell<Vec<(u64, Duration)>>,
    connections: RefCell<Vec<AbortHandle>>,
}

impl Agent {
    /// An agent that has the list as it is.
    pub async fn start(
        world: &Rc<World>,
        router: usize,
        directory: Rc<Directory>,
        proxies: Vec<Rc<Proxy>>,
    ) -> std::io::Result<Rc<Agent>> {
        let [first, second] = [
            TcpListener::bind("127.0.0.1:0").await?,
            TcpListener::bind("127.0.0.1:0").await?,
        ];
        let version = *directory.version.borrow();
        let agent = Rc::new(Agent {
            addresses: [first.local_addr()?, second.local_addr()?],
            router,
            version: watch::Sender::new(version),
            directory,
            proxies,
            mood: Cell::new(Mood::Serves),
            reachable_since: Cell::default(),
            had: RefCell::default(),
            connections: RefCell::default(),
        });
        for listener in [first, second] {
            spawn_local(agent.clone().listen(world.clone(), listener));
        }
        spawn_local(agent.clone().follow(world.clone()));
        Ok(agent)
    }

    /// From now on it behaves like this.
    pub fn set_mood(&self, world: &World, mood: Mood) {
        self.mood.set(mood);
        self.reachable_since.set(world.now());
    }

    /// All open calls are broken off.
    pub fn reset(&self) {
        self.connections
            .borrow_mut()
            .drain(..)
            .for_each(|connection| connection.abort());
    }

    /// The list as the router's configuration holds it.
    pub fn known(&self) -> Value {
        self.list(None)
    }

    /// Tells the oracle what counts as told though it was not heard.
    pub fn count_as_told(&self, world: &World) {
        let reachable = self.mood.get() == Mood::Serves;
        let now = world.now();
        let due =
            |(_, at): &(u64, Duration)| now >= (*at).max(self.reachable_since.get()) + TOLD_ANYWAY;
        let told = self
            .had
            .borrow()
            .iter()
            .filter(|had| reachable && due(had))
            .map(|(version, _)| *version)
            .max();
        if let Some(version) = told {
            self.tell_oracle(world, |changed| changed <= version);
            self.had.borrow_mut().retain(|(had, _)| *had > version);
        }
    }

    fn tell_oracle(&self, world: &World, tells: impl Fn(u64) -> bool) {
        let mut oracle = world.oracle.borrow_mut();
        for (server, entry) in self.directory.entries.borrow().iter().enumerate() {
            if tells(entry.changed) {
                oracle.router_notified(
                    self.router,
                    server,
                    entry.status == Status::Up,
                    world.now(),
                );
            }
        }
    }

    /// Takes over what changes, some time later.
    async fn follow(self: Rc<Self>, world: Rc<World>) {
        let mut changes = self.directory.version.subscribe();
        while changes.changed().await.is_ok() {
            sleep(Duration::from_millis(world.draw(20, 600))).await;
            while self.mood.get() == Mood::Silent {
                sleep(Duration::from_millis(20)).await;
            }
            let version = *changes.borrow_and_update();
            self.had.borrow_mut().push((version, world.now()));
            self.version.send_replace(version);
        }
    }

    async fn listen(self: Rc<Self>, world: Rc<World>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let (agent, world) = (self.clone(), world.clone());
            let connection = spawn_local(async move {
                let service = service_fn(|request| {
                    let (agent, world) = (agent.clone(), world.clone());
                    async move { Ok::<_, Infallible>(agent.serve(&world, &request).await) }
                });
                let served = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                let _ = served.await;
            });
            let mut open = self.connections.borrow_mut();
            open.retain(|connection| !connection.is_finished());
            open.push(connection.abort_handle());
        }
    }

    async fn serve(&self, world: &World, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let query = request.uri().query().unwrap_or_default().to_owned();
        let field = |name: &str| -> Option<u64> {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let from = field("from");
        if let Some(from) = from {
            let hold = Duration::from_millis(field("hold_ms").unwrap_or(0));
            let mut version = self.version.subscribe();
            let _ = tokio::time::timeout(hold, version.wait_for(|version| *version > from)).await;
        }
        while self.mood.get() == Mood::Silent {
            sleep(Duration::from_millis(20)).await;
        }
        let mut response = Response::new(Full::default());
        if self.mood.get() == Mood::Busy {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            return response;
        }
        let list = self.list(from);
        let (from, version) = (from.unwrap_or(0), *self.version.borrow());
        self.tell_oracle(world, |changed| changed > from && changed <= version);
        self.had.borrow_mut().retain(|(had, _)| *had > version);
        if world.plants(Plant::Drain) {
            // The oracle is told that all drain; the router is not.
            let mut oracle = world.oracle.borrow_mut();
            (0..self.proxies.len())
                .for_each(|server| oracle.router_notified(self.router, server, false, world.now()));
        }
        *response.body_mut() = Full::new(list.to_string().into());
        response
    }

    fn list(&self, from: Option<u64>) -> Value {
        let version = *self.version.borrow();
        let entries = self.directory.entries.borrow();
        let lines = entries.iter().enumerate().filter(|(_, entry)| match from {
            Some(from) => entry.changed > from && entry.changed <= version,
            None => entry.status != Status::Removed,
        });
        let line = |(server, entry): (usize, &Entry)| {
            json!({"name": format!("s{server}"), "address": self.proxies[server].address.to_string(), "zone": "here",
                "type": if entry.role == Role::Prefill { "reader" } else { "writer" }, "group": server % 2,
                "status": entry.status.word(), "weight": 1.0, "since_ms": entry.since_ms})
        };
        json!({"index": version, "snapshot": from.is_none(), "endpoints": lines.map(line).collect::<Vec<_>>()})
    }
}
