//! The faults of a run: their kinds, how they are drawn at random, and what each does.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::sleep;

use crate::crowd::client_kind::ALL_KINDS;
use crate::crowd::clients::Crowd;
use crate::discovery_server::DiscoveryMode;
use crate::endpoint_list::EndpointState;
use crate::environment::TestEnvironment;
use crate::misbehaving_clients::{keep_idle_connections, send_malformed_request};
use crate::oracle::Role;
use crate::router_process::{RouterProcess, Shutdown};
use crate::run_state::RunState;

/// Number of connections that idle clients keep open.
const IDLE_CONNECTIONS: usize = 150;
/// Number of misbehaving clients of a crowd. With the other clients, they hold less than a third of
/// the descriptors.
const CROWD_CLIENTS: usize = 40;
/// Number of reloads in a series of signals.
const RELOADS: u32 = 3;
/// Percentage of the attempts at a failing server that end with an error.
const ERROR_PERCENT: u64 = 30;

/// The kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultKind {
    RestartRouter,
    KillRouter,
    SwitchDiscoveryAddress,
    PauseRouter,
    HangServers,
    ReplaceServer,
    DrainServer,
    StallConnections,
    ResetConnections,
    UnresponsiveDiscovery,
    OverloadedDiscovery,
    ResetDiscovery,
    IdleClients,
    MalformedRequest,
    SignalSeries,
    Crowd,
    ServerErrors,
}

impl FaultKind {
    fn draw(state: &RunState) -> FaultKind {
        match state.draw(0, 16) {
            0 | 1 => FaultKind::RestartRouter,
            2 => FaultKind::KillRouter,
            3 => FaultKind::SwitchDiscoveryAddress,
            4 => FaultKind::PauseRouter,
            5 => FaultKind::HangServers,
            6 => FaultKind::ReplaceServer,
            7 => FaultKind::DrainServer,
            8 => FaultKind::StallConnections,
            9 => FaultKind::ResetConnections,
            10 => FaultKind::UnresponsiveDiscovery,
            11 => FaultKind::OverloadedDiscovery,
            12 => FaultKind::ResetDiscovery,
            13 => FaultKind::SignalSeries,
            14 => FaultKind::Crowd,
            _ if state.chance(30) => FaultKind::IdleClients,
            _ if state.chance(50) => FaultKind::MalformedRequest,
            _ => FaultKind::ServerErrors,
        }
    }
}

/// A fault, with the router and the fake server that it can affect. The faults that last for some
/// time derive it from `duration`; the others ignore it.
struct Fault {
    kind: FaultKind,
    router: usize,
    server: usize,
    duration: Duration,
}

impl Fault {
    fn draw(environment: &TestEnvironment) -> Fault {
        let state = &environment.state;
        let router = state.draw(0, environment.routers.len() as u64) as usize;
        let server = state.draw(0, environment.servers.len() as u64) as usize;
        let duration = state.draw_millis(300, 2_500);
        Fault {
            kind: FaultKind::draw(state),
            router,
            server,
            duration,
        }
    }
}

/// Draws a fault at random, injects it, and returns when it has ended.
pub async fn inject_fault(environment: Rc<TestEnvironment>) {
    let fault = Fault::draw(&environment);
    let state = &environment.state;
    let router = &environment.routers[fault.router];
    let server = &environment.servers[fault.server];
    let time = fault.duration;
    match fault.kind {
        FaultKind::RestartRouter => router.restart(state, Shutdown::Graceful, time / 4).await,
        FaultKind::KillRouter => router.restart(state, Shutdown::Kill, time / 2).await,
        FaultKind::SwitchDiscoveryAddress => router.reload_with_other_discovery_address(),
        FaultKind::PauseRouter => router.pause(time / 20).await,
        FaultKind::HangServers => hang_servers(&environment, fault.server, time).await,
        FaultKind::ReplaceServer => replace_server(&environment, fault.server, time).await,
        FaultKind::DrainServer => drain_server(&environment, fault.server, time).await,
        FaultKind::StallConnections => stall_connections(&environment, &fault).await,
        FaultKind::ResetConnections => {
            environment.proxies[fault.router][fault.server].reset_connections();
        }
        FaultKind::UnresponsiveDiscovery => {
            disrupt_discovery(&environment, &fault, DiscoveryMode::Unresponsive).await;
        }
        FaultKind::OverloadedDiscovery => {
            disrupt_discovery(&environment, &fault, DiscoveryMode::Overloaded).await;
        }
        FaultKind::ResetDiscovery => {
            environment.discovery_servers[fault.router].reset_connections();
        }
        FaultKind::IdleClients => keep_idle_connections(router, IDLE_CONNECTIONS, time).await,
        FaultKind::MalformedRequest => send_malformed_request(state, router).await,
        FaultKind::SignalSeries => {
            router.reload_repeatedly(RELOADS, time / 20).await;
            router.restart(state, Shutdown::Graceful, time / 4).await;
        }
        FaultKind::Crowd => let_crowd_in(&environment, router, time * 2).await,
        FaultKind::ServerErrors => {
            server.error_percent.set(ERROR_PERCENT);
            sleep(time).await;
            server.error_percent.set(0);
        }
    }
}

/// Lets a crowd of misbehaving clients in at a router for a duration, if the run has crowds.
async fn let_crowd_in(environment: &TestEnvironment, router: &RouterProcess, duration: Duration) {
    if !environment.has_crowds {
        return;
    }
    let members = (0..CROWD_CLIENTS)
        .map(|index| (ALL_KINDS[index % ALL_KINDS.len()], router.address))
        .collect();
    let _crowd = Crowd::start(members);
    sleep(duration).await;
}

/// Makes a fake server hang for a duration, in 40 % of cases together with a third of all servers.
async fn hang_servers(environment: &TestEnvironment, server: usize, duration: Duration) {
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
    sleep(duration).await;
    for server in &hung {
        server.hung.send_replace(false);
    }
}

/// Kills a fake server and starts it again after a duration. The discovery servers deliver the new
/// endpoint entry with their usual delay.
async fn replace_server(environment: &TestEnvironment, server: usize, duration: Duration) {
    let state = &environment.state;
    let process = &environment.servers[server];
    process.kill(state);
    sleep(duration).await;
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
    environment.endpoints.set_restarted(server, started_at);
}

/// Marks an endpoint as draining, in half of the cases as removed after that, and then as active
/// again.
async fn drain_server(environment: &TestEnvironment, server: usize, duration: Duration) {
    let process = &environment.servers[server];
    let endpoints = &environment.endpoints;
    endpoints.set_state(server, EndpointState::Draining);
    sleep(duration).await;
    process.draining.set(true);
    if environment.state.chance(50) {
        endpoints.set_state(server, EndpointState::Removed);
        sleep(duration).await;
    }
    process.draining.set(false);
    endpoints.set_state(server, EndpointState::Active);
}

/// Returns the routers that a fault affects: the given one or, in half of the cases, all.
fn draw_routers(environment: &TestEnvironment, router: usize) -> Vec<usize> {
    if environment.state.chance(50) {
        (0..environment.routers.len()).collect()
    } else {
        vec![router]
    }
}

/// Stalls the connections to a fake server, from one router or from all.
async fn stall_connections(environment: &TestEnvironment, fault: &Fault) {
    let routers = draw_routers(environment, fault.router);
    for router in &routers {
        environment.proxies[*router][fault.server].stall();
    }
    sleep(fault.duration).await;
    for router in &routers {
        environment.proxies[*router][fault.server].resume();
    }
}

/// Stops the discovery servers of one router or of all from serving the list, for twice the
/// duration of the fault.
async fn disrupt_discovery(environment: &TestEnvironment, fault: &Fault, mode: DiscoveryMode) {
    let routers = draw_routers(environment, fault.router);
    let set_mode = |mode| {
        for router in &routers {
            environment.discovery_servers[*router].set_mode(&environment.state, mode);
        }
    };
    set_mode(mode);
    sleep(fault.duration * 2).await;
    set_mode(DiscoveryMode::Serving);
}
