//! Fake discovery servers, one for each router. They deliver the endpoint list late, or not at all.

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
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout};

use crate::endpoint_list::{EndpointEntry, EndpointList, EndpointState};
use crate::fault_proxy::FaultProxy;
use crate::injected_violation::InjectedViolation;
use crate::router_settings::server_type;
use crate::run_state::RunState;

/// A router counts as notified of a change this long after its discovery server has it, if the
/// server has been reachable meanwhile.
const ASSUMED_NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// How often a silent server looks whether it answers again.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How a discovery server behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// It answers.
    Serving,
    /// It accepts connections and does not answer.
    Silent,
    /// It rejects all calls.
    Overloaded,
}

/// A version of the list that the server has, and of which its router may not be notified yet.
#[derive(Debug, Clone, Copy)]
struct PendingVersion {
    version: u64,
    received_at: Duration,
}

/// The query of a call for the list.
#[derive(Debug, Clone, Copy)]
struct ListQuery {
    /// The version that the router has; without one it asks for a snapshot.
    from_version: Option<u64>,
    /// How long the call waits for a later version.
    hold: Duration,
}

impl ListQuery {
    fn parse(query: &str) -> ListQuery {
        let number = |name: &str| -> Option<u64> {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        ListQuery {
            from_version: number("from"),
            hold: Duration::from_millis(number("hold_ms").unwrap_or(0)),
        }
    }
}

/// The discovery server of one router, at two addresses of which the router's configuration names
/// one.
pub struct DiscoveryServer {
    /// Where it listens.
    pub addresses: [SocketAddr; 2],
    router: usize,
    endpoints: Rc<EndpointList>,
    proxies: Vec<Rc<FaultProxy>>,
    /// The version of the list that it has.
    version: watch::Sender<u64>,
    mode: Cell<DiscoveryMode>,
    mode_changed_at: Cell<Duration>,
    pending: RefCell<Vec<PendingVersion>>,
    connections: RefCell<Vec<AbortHandle>>,
}

impl DiscoveryServer {
    /// Starts a server that has the present list.
    pub async fn start(
        state: &Rc<RunState>,
        router: usize,
        endpoints: Rc<EndpointList>,
        proxies: Vec<Rc<FaultProxy>>,
    ) -> std::io::Result<Rc<DiscoveryServer>> {
        let first = TcpListener::bind("127.0.0.1:0").await?;
        let second = TcpListener::bind("127.0.0.1:0").await?;
        let server = Rc::new(DiscoveryServer {
            addresses: [first.local_addr()?, second.local_addr()?],
            router,
            version: watch::Sender::new(endpoints.version()),
            endpoints,
            proxies,
            mode: Cell::new(DiscoveryMode::Serving),
            mode_changed_at: Cell::default(),
            pending: RefCell::default(),
            connections: RefCell::default(),
        });
        for listener in [first, second] {
            spawn_local(server.clone().accept_connections(state.clone(), listener));
        }
        spawn_local(server.clone().follow_list(state.clone()));
        Ok(server)
    }

    /// Changes how the server behaves.
    pub fn set_mode(&self, state: &RunState, mode: DiscoveryMode) {
        self.mode.set(mode);
        self.mode_changed_at.set(state.now());
    }

    /// Closes all connections.
    pub fn reset_connections(&self) {
        for connection in self.connections.borrow_mut().drain(..) {
            connection.abort();
        }
    }

    /// The complete list, as the router's configuration holds it.
    pub fn snapshot(&self) -> Value {
        self.encode_list(None)
    }

    /// Reports to the oracle the versions of which the router counts as notified though it has not
    /// asked for them.
    pub fn assume_notified(&self, state: &RunState) {
        if self.mode.get() != DiscoveryMode::Serving {
            return;
        }
        let now = state.now();
        let reachable_since = self.mode_changed_at.get();
        let assumed = self
            .pending
            .borrow()
            .iter()
            .filter(|pending| {
                now >= pending.received_at.max(reachable_since) + ASSUMED_NOTIFIED_AFTER
            })
            .map(|pending| pending.version)
            .max();
        if let Some(version) = assumed {
            self.notify_oracle(state, 0, version);
        }
    }

    /// Reports to the oracle that the router is notified of the changes after one version, up to
    /// another.
    fn notify_oracle(&self, state: &RunState, after_version: u64, up_to_version: u64) {
        let mut oracle = state.oracle.borrow_mut();
        for (endpoint, entry) in self.endpoints.entries().iter().enumerate() {
            if entry.changed_in > after_version && entry.changed_in <= up_to_version {
                let accepts_work = entry.state == EndpointState::Active;
                oracle.router_notified(self.router, endpoint, accepts_work, state.now());
            }
        }
        self.pending
            .borrow_mut()
            .retain(|pending| pending.version > up_to_version);
    }

    /// Takes over changes of the list, some time after they are made.
    async fn follow_list(self: Rc<Self>, state: Rc<RunState>) {
        let mut changes = self.endpoints.subscribe();
        while changes.changed().await.is_ok() {
            sleep(state.draw_millis(20, 600)).await;
            self.wait_while_silent().await;
            let version = *changes.borrow_and_update();
            self.pending.borrow_mut().push(PendingVersion {
                version,
                received_at: state.now(),
            });
            self.version.send_replace(version);
        }
    }

    async fn wait_while_silent(&self) {
        while self.mode.get() == DiscoveryMode::Silent {
            sleep(SILENCE_CHECK_INTERVAL).await;
        }
    }

    async fn accept_connections(self: Rc<Self>, state: Rc<RunState>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let connection = spawn_local(self.clone().serve_connection(state.clone(), stream));
            let mut open = self.connections.borrow_mut();
            open.retain(|connection| !connection.is_finished());
            open.push(connection.abort_handle());
        }
    }

    async fn serve_connection(self: Rc<Self>, state: Rc<RunState>, stream: TcpStream) {
        let service = service_fn(|request| {
            let server = self.clone();
            let state = state.clone();
            async move { Ok::<_, Infallible>(server.serve(&state, &request).await) }
        });
        // An error here means that the router closed the connection.
        let _ = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn serve(&self, state: &RunState, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let query = ListQuery::parse(request.uri().query().unwrap_or_default());
        if let Some(from_version) = query.from_version {
            let mut version = self.version.subscribe();
            let later = version.wait_for(|version| *version > from_version);
            let _ = timeout(query.hold, later).await;
        }
        self.wait_while_silent().await;
        let mut response = Response::new(Full::default());
        if self.mode.get() == DiscoveryMode::Overloaded {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            return response;
        }
        let list = self.encode_list(query.from_version);
        let version = *self.version.borrow();
        self.notify_oracle(state, query.from_version.unwrap_or(0), version);
        if state.injects(InjectedViolation::Drain) {
            self.report_false_drain(state);
        }
        *response.body_mut() = Full::new(list.to_string().into());
        response
    }

    /// Reports to the oracle that all endpoints drain, of which the router is not notified.
    fn report_false_drain(&self, state: &RunState) {
        let mut oracle = state.oracle.borrow_mut();
        for endpoint in 0..self.proxies.len() {
            oracle.router_notified(self.router, endpoint, false, state.now());
        }
    }

    /// The changes after a version, or the complete list without the removed endpoints.
    fn encode_list(&self, from_version: Option<u64>) -> Value {
        let version = *self.version.borrow();
        let is_included = |entry: &EndpointEntry| match from_version {
            Some(from) => entry.changed_in > from && entry.changed_in <= version,
            None => entry.state != EndpointState::Removed,
        };
        let endpoints: Vec<Value> = self
            .endpoints
            .entries()
            .iter()
            .enumerate()
            .filter(|(_, entry)| is_included(entry))
            .map(|(endpoint, entry)| self.encode_entry(endpoint, entry))
            .collect();
        json!({
            "index": version,
            "snapshot": from_version.is_none(),
            "endpoints": endpoints,
        })
    }

    fn encode_entry(&self, endpoint: usize, entry: &EndpointEntry) -> Value {
        json!({
            "name": format!("s{endpoint}"),
            "address": self.proxies[endpoint].address.to_string(),
            "zone": "here",
            "type": server_type(entry.role),
            "group": endpoint % 2,
            "status": entry.state.wire_name(),
            "weight": 1.0,
            "since_ms": entry.started_at.as_millis() as u64,
        })
    }
}
