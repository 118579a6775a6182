//! A stand-in for discovery.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, AbortHandle};

use crate::worker::{whole, Reply, Worker};

/// A stand-in for discovery, whose list a test may change.
pub struct Discovery {
    pub address: SocketAddr,
    /// Watches are not answered any more.
    pub silent: Cell<bool>,
    /// All calls are refused.
    pub busy: Cell<bool>,
    /// The queries of all calls, in order.
    pub calls: RefCell<Vec<String>>,
    list: watch::Sender<(u64, Vec<Value>)>,
    whole_asked: Notify,
    connections: RefCell<Vec<AbortHandle>>,
}

/// A line of the list.
pub fn line(worker: &Worker, kind: &str, status: &str) -> Value {
    line_at(worker.address, kind, status)
}

/// A line for a worker at an address.
pub fn line_at(address: SocketAddr, kind: &str, status: &str) -> Value {
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
            busy: Cell::default(),
            calls: RefCell::default(),
            list,
            whole_asked: Notify::new(),
            connections: RefCell::default(),
        });
        let here = discovery.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let discovery = here.clone();
                let connection = spawn_local(async move {
                    let service = service_fn(|request| discovery.clone().serve(request));
                    let io = TokioIo::new(stream);
                    let _ = hyper::server::conn::http1::Builder::new()
                        .serve_connection(io, service)
                        .await;
                });
                here.connections
                    .borrow_mut()
                    .push(connection.abort_handle());
            }
        });
        discovery
    }

    async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Result<Reply, Infallible> {
        self.calls
            .borrow_mut()
            .push(request.uri().query().unwrap_or_default().to_owned());
        if self.busy.get() {
            return Ok(whole(StatusCode::SERVICE_UNAVAILABLE, bytes::Bytes::new()));
        }
        let from = request
            .uri()
            .query()
            .and_then(|q| q.strip_prefix("from=")?.split('&').next()?.parse().ok());
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
        self.connections
            .borrow_mut()
            .drain(..)
            .for_each(|c| c.abort());
    }

    /// Publishes a new list.
    pub fn publish(&self, lines: Vec<Value>) {
        self.list
            .send_modify(|(index, list)| (*index, *list) = (*index + 1, lines));
    }
}
