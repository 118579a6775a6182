//! A fake discovery server.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, AbortHandle};

use crate::response::{complete, FakeResponse};

/// Maximum time that a watch call waits for a later version of the list.
const WATCH_TIMEOUT: Duration = Duration::from_millis(500);

/// A version of the endpoint list.
#[derive(Clone)]
struct EndpointList {
    version: u64,
    entries: Vec<Value>,
}

/// A fake discovery server whose endpoint list a test can change.
pub struct FakeDiscovery {
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// Whether watch calls never get a response.
    pub ignores_watches: Cell<bool>,
    /// Whether all calls are rejected with status 503.
    pub overloaded: Cell<bool>,
    /// The query strings of all calls, in the order of their arrival.
    pub queries: RefCell<Vec<String>>,
    list: watch::Sender<EndpointList>,
    snapshot_called: Notify,
    connections: RefCell<Vec<AbortHandle>>,
}

impl FakeDiscovery {
    /// Starts a server on a free port with `entries` as its endpoint list.
    pub async fn start(entries: Vec<Value>) -> Rc<FakeDiscovery> {
        FakeDiscovery::start_at("127.0.0.1:0", entries).await
    }

    /// Starts a server at `address` with `entries` as its endpoint list.
    pub async fn start_at(address: &str, entries: Vec<Value>) -> Rc<FakeDiscovery> {
        let listener = TcpListener::bind(address).await.unwrap();
        let (list, _) = watch::channel(EndpointList {
            version: 1,
            entries,
        });
        let discovery = Rc::new(FakeDiscovery {
            address: listener.local_addr().unwrap(),
            ignores_watches: Cell::default(),
            overloaded: Cell::default(),
            queries: RefCell::default(),
            list,
            snapshot_called: Notify::new(),
            connections: RefCell::default(),
        });
        spawn_local(discovery.clone().accept_connections(listener));
        discovery
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
        let service = service_fn(|request| self.clone().serve(request));
        // An error here means that the client closed the connection.
        let _ = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Result<FakeResponse, Infallible> {
        let query = request.uri().query().unwrap_or_default().to_owned();
        let from_version = watched_version(&query);
        self.queries.borrow_mut().push(query);
        if self.overloaded.get() {
            return Ok(complete(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()));
        }
        match from_version {
            Some(version) => self.wait_for_change(version).await,
            None => self.snapshot_called.notify_one(),
        }
        let list = self.list.borrow().clone();
        let changed = from_version.is_none_or(|version| list.version > version);
        let entries = if changed { list.entries } else { Vec::new() };
        let body = json!({"index": list.version, "snapshot": changed, "endpoints": entries});
        Ok(complete(StatusCode::OK, body.to_string().into()))
    }

    async fn wait_for_change(&self, version: u64) {
        let mut list = self.list.subscribe();
        let later = list.wait_for(|list| list.version > version);
        let _ = tokio::time::timeout(WATCH_TIMEOUT, later).await;
        if self.ignores_watches.get() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits for a call for the complete list. A call that was received since the previous wait
    /// counts.
    pub async fn wait_for_snapshot_call(&self) {
        self.snapshot_called.notified().await;
    }

    /// Closes all connections at once.
    pub fn close_connections(&self) {
        for connection in self.connections.borrow_mut().drain(..) {
            connection.abort();
        }
    }

    /// Publishes a new version of the endpoint list.
    pub fn publish(&self, entries: Vec<Value>) {
        self.list.send_modify(|list| {
            list.version += 1;
            list.entries = entries;
        });
    }
}

/// Returns the list version that the caller of a watch has, or `None` for a call for the complete
/// list.
fn watched_version(query: &str) -> Option<u64> {
    query.strip_prefix("from=")?.split('&').next()?.parse().ok()
}
