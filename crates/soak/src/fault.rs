//! The faults of a run: which ones there are, how they are drawn, and what each does.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::sleep;

use crate::discovery_server::DiscoveryMode;
use crate::endpoint_list::EndpointState;
use crate::environment::TestEnvironment;
use crate::misbehaving_clients::{keep_idle_connections, send_malformed_request};
use crate::oracle::Role;
use crate::router_process::Shutdown;
use crate::run_state::RunState;

/// Connections that idle clients keep open.
const IDLE_CONNECTIONS: usize = 150;
/// Of 100 requests at a failing server, how many end with an error.
const ERROR_PERCENT: u64 = 30;

/// The kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultKind {
    RestartRouter,
    KillRouter,
    MoveDiscovery,
    PauseRouter,
    HangServers,
    ReplaceServer,
    DrainServer,
    StallConnections,
    ResetConnections,
    SilentDiscovery,
    OverloadedDiscovery,
    ResetDiscovery,
    IdleClients,
    MalformedRequest,
    ServerErrors,
}

impl FaultKind {
    fn draw(state: &RunState) -> FaultKind {
        match state.draw(0, 14) {
            0 | 1 => FaultKind::RestartRouter,
            2 => FaultKind::KillRouter,
            3 => FaultKind::MoveDiscovery,
            4 => FaultKind::PauseRouter,
            5 => FaultKind::HangServers,
            6 => FaultKind::ReplaceServer,
            7 => FaultKind::DrainServer,
            8 => FaultKind::StallConnections,
            9 => FaultKind::ResetConnections,
            10 => FaultKind::SilentDiscovery,
            11 => FaultKind::OverloadedDiscovery,
            12 => FaultKind::ResetDiscovery,
            _ if state.chance(30) => FaultKind::IdleClients,
            _ if state.chance(50) => FaultKind::MalformedRequest,
            _ => FaultKind::ServerErrors,
        }
    }
}

/// A fault, and what it strikes.
struct Fault {
    kind: FaultKind,
    router: usize,
    server: usize,
    span: Duration,
}

impl Fault {
    fn draw(environment: &TestEnvironment) -> Fault {
        let state = &environment.state;
        let router = state.draw(0, environment.routers.len() as u64) as usize;
        let server = state.draw(0, environment.servers.len() as u64) as usize;
        let span = state.draw_millis(300, 2_500);
        Fault {
            kind: FaultKind::draw(state),
            router,
            server,
            span,
        }
    }
}

/// Injects one fault, from its beginning to its end.
pub async fn inject_fault(environment: Rc<TestEnvironment>) {
    let fault = Fault::draw(&environment);
    let state = &environment.state;
    let router = &environment.routers[fault.router];
    let server = &environment.servers[fault.server];
    let span = fault.span;
    match fault.kind {
        FaultKind::RestartRouter => router.restart(state, Shutdown::Graceful, span / 4).await,
        FaultKind::KillRouter => router.restart(state, Shutdown::Kill, span / 2).await,
        FaultKind::MoveDiscovery => router.reload_with_other_discovery_address(),
        FaultKind::PauseRouter => router.pause(span / 20).await,
        FaultKind::HangServers => hang_servers(&environment, fault.server, span).await,
        FaultKind::ReplaceServer => replace_server(&environment, fault.server, span).await,
        FaultKind::DrainServer => drain_server(&environment, fault.server, span).await,
        FaultKind::StallConnections => stall_connections(&environment, &fault).await,
        FaultKind::ResetConnections => {
            environment.proxies[fault.router][fault.server].reset_connections();
        }
        FaultKind::SilentDiscovery => {
            disturb_discovery(&environment, &fault, DiscoveryMode::Silent).await;
        }
        FaultKind::OverloadedDiscovery => {
            disturb_discovery(&environment, &fault, DiscoveryMode::Overloaded).await;
        }
        FaultKind::ResetDiscovery => {
            environment.discovery_servers[fault.router].reset_connections();
        }
        FaultKind::IdleClients => keep_idle_connections(router, IDLE_CONNECTIONS, span).await,
        FaultKind::MalformedRequest => send_malformed_request(state, router).await,
        FaultKind::ServerErrors => {
            server.error_percent.set(ERROR_PERCENT);
            sleep(span).await;
            server.error_percent.set(0);
        }
    }
}

/// A server hangs, and perhaps a third of the others with it.
async fn hang_servers(environment: &TestEnvironment, server: usize, span: Duration) {
    let servers = &environment.servers;
    let others = if environment.state.chance(40) {
        servers.len() / 3
    } else {
        0
    };
    let hung: Vec<_> = servers
        .iter()
        .cycle()
        .skip(server)
        .take(1 + others)
        .collect();
    for server in &hung {
        server.hung.send_replace(true);
    }
    sleep(span).await;
    for server in &hung {
        server.hung.send_replace(false);
    }
}

/// A server's process dies and is replaced, which the endpoint list shows with its usual delay.
async fn replace_server(environment: &TestEnvironment, server: usize, span: Duration) {
    let state = &environment.state;
    let process = &environment.servers[server];
    process.kill(state);
    sleep(span).await;
    if process.listen(state).await.is_err() {
        return;
    }
    let started_at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    if process.role == Role::Prefill {
        let mut oracle = state.oracle.borrow_mut();
        oracle.endpoint_started(server, state.now());
    }
    environment.endpoints.restarted(server, started_at);
}

/// A server drains, is perhaps removed, and accepts work again.
async fn drain_server(environment: &TestEnvironment, server: usize, span: Duration) {
    let process = &environment.servers[server];
    let endpoints = &environment.endpoints;
    endpoints.set_state(server, EndpointState::Draining);
    sleep(span).await;
    process.draining.set(true);
    if environment.state.chance(50) {
        endpoints.set_state(server, EndpointState::Removed);
        sleep(span).await;
    }
    process.draining.set(false);
    endpoints.set_state(server, EndpointState::Active);
}

/// The routers that a fault strikes: one or, in half of the cases, all.
fn draw_routers(environment: &TestEnvironment, router: usize) -> Vec<usize> {
    if environment.state.chance(50) {
        (0..environment.routers.len()).collect()
    } else {
        vec![router]
    }
}

/// The connections to a server stall, from one router or from all.
async fn stall_connections(environment: &TestEnvironment, fault: &Fault) {
    let routers = draw_routers(environment, fault.router);
    for router in &routers {
        environment.proxies[*router][fault.server].stall();
    }
    sleep(fault.span).await;
    for router in &routers {
        environment.proxies[*router][fault.server].resume();
    }
}

/// The discovery servers of one router or of all do not serve the list for a while.
async fn disturb_discovery(environment: &TestEnvironment, fault: &Fault, mode: DiscoveryMode) {
    let routers = draw_routers(environment, fault.router);
    let set_mode = |mode| {
        for router in &routers {
            environment.discovery_servers[*router].set_mode(&environment.state, mode);
        }
    };
    set_mode(mode);
    sleep(fault.span * 2).await;
    set_mode(DiscoveryMode::Serving);
}
