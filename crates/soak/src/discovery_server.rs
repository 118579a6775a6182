//! Fake discovery servers, one for each router, which deliver the endpoint list late or not at all.

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
use crate::router_settings::endpoint_kind;
use crate::run_state::RunState;

/// Duration after which the oracle treats a router as notified of a change that its discovery
/// server has, if the server has been serving for all of this time.
const ASSUMED_NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// Interval at which an unresponsive server checks whether its mode has changed.
const RESPONSIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How a discovery server behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// The server responds.
    Serving,
    /// The server accepts connections and does not respond.
    Unresponsive,
    /// The server rejects all requests.
    Overloaded,
}

/// A version of the list that the server has and its router may not have been notified of yet.
#[derive(Debug, Clone, Copy)]
struct PendingVersion {
    version: u64,
    received_at: Duration,
}

/// The query of a request for the list.
#[derive(Debug, Clone, Copy)]
struct ListQuery {
    /// Version that the router has; `None` if the router requests a snapshot.
    from_version: Option<u64>,
    /// Maximum time for which the server waits for a later version before it responds.
    wait_timeout: Duration,
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
            wait_timeout: Duration::from_millis(number("hold_ms").unwrap_or(0)),
        }
    }
}

/// The discovery server of one router. It listens on two addresses, one of which is in the router's
/// configuration.
pub struct DiscoveryServer {
    /// Addresses on which the server listens.
    pub addresses: [SocketAddr; 2],
    router: usize,
    endpoints: Rc<EndpointList>,
    proxies: Vec<Rc<FaultProxy>>,
    /// Version of the list that the server has.
    version: watch::Sender<u64>,
    mode: Cell<DiscoveryMode>,
    mode_changed_at: Cell<Duration>,
    pending: RefCell<Vec<PendingVersion>>,
    connections: RefCell<Vec<AbortHandle>>,
}

impl DiscoveryServer {
    /// Starts a server that has the current list.
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
        spawn_local(server.clone().apply_list_changes(state.clone()));
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

    /// Returns the complete list, in the format in which the router's configuration contains it.
    pub fn snapshot(&self) -> Value {
        self.encode_list(None)
    }

    /// Reports to the oracle that the router is notified of the versions that it has had enough
    /// time to request, though it has not requested them.
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

    /// Reports to the oracle that the router is notified of the changes after `after_version` up to
    /// and including `up_to_version`.
    fn notify_oracle(&self, state: &RunState, after_version: u64, up_to_version: u64) {
        let mut oracle = state.oracle.borrow_mut();
        for (endpoint, entry) in self.endpoints.entries().iter().enumerate() {
            if entry.changed_in_version > after_version && entry.changed_in_version <= up_to_version
            {
                let accepts_work = entry.state == EndpointState::Active;
                oracle.router_notified(self.router, endpoint, accepts_work, state.now());
            }
        }
        self.pending
            .borrow_mut()
            .retain(|pending| pending.version > up_to_version);
    }

    /// Applies changes of the endpoint list to this server, each after a random delay.
    async fn apply_list_changes(self: Rc<Self>, state: Rc<RunState>) {
        let mut changes = self.endpoints.subscribe();
        while changes.changed().await.is_ok() {
            sleep(state.draw_millis(20, 600)).await;
            self.wait_while_unresponsive().await;
            let version = *changes.borrow_and_update();
            self.pending.borrow_mut().push(PendingVersion {
                version,
                received_at: state.now(),
            });
            self.version.send_replace(version);
        }
    }

    async fn wait_while_unresponsive(&self) {
        while self.mode.get() == DiscoveryMode::Unresponsive {
            sleep(RESPONSIVENESS_CHECK_INTERVAL).await;
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
            let _ = timeout(query.wait_timeout, later).await;
        }
        self.wait_while_unresponsive().await;
        let mut response = Response::new(Full::default());
        if self.mode.get() == DiscoveryMode::Overloaded {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            return response;
        }
        let list = self.encode_list(query.from_version);
        let version = *self.version.borrow();
        self.notify_oracle(state, query.from_version.unwrap_or(0), version);
        if state.should_inject(InjectedViolation::Drain) {
            self.report_false_drain(state);
        }
        *response.body_mut() = Full::new(list.to_string().into());
        response
    }

    /// Reports to the oracle, as an injected violation, that the router is notified that all
    /// endpoints accept no work, though it is not.
    fn report_false_drain(&self, state: &RunState) {
        let mut oracle = state.oracle.borrow_mut();
        for endpoint in 0..self.proxies.len() {
            oracle.router_notified(self.router, endpoint, false, state.now());
        }
    }

    /// Returns the entries that changed after a version or, without a version, the complete list
    /// without the removed endpoints.
    fn encode_list(&self, from_version: Option<u64>) -> Value {
        let version = *self.version.borrow();
        let is_included = |entry: &EndpointEntry| match from_version {
            Some(from) => entry.changed_in_version > from && entry.changed_in_version <= version,
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
            "type": endpoint_kind(entry.role),
            "group": endpoint % 2,
            "status": entry.state.wire_name(),
            "weight": 1.0,
            "since_ms": entry.started_at.as_millis() as u64,
        })
    }
}
