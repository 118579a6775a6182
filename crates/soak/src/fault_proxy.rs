//! The fault proxy, which forwards the connections from one router to one fake server and can stall
//! or reset them.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::sleep;

use crate::injected_violation::InjectedViolation;
use crate::model_server::ModelServer;
use crate::run_state::RunState;

/// First bytes of an attempt.
const ATTEMPT_PREFIX: &[u8] = b"POST /v1/";
/// First bytes of a request that releases KV state.
const RELEASE_PREFIX: &[u8] = b"DELETE /bootstrap/";
/// Response to a release that the proxy drops as an injected violation.
const RELEASE_RESPONSE: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";
/// Delay of an attempt as an injected violation.
const INJECTED_DELAY: Duration = Duration::from_millis(900);
/// Duration for which the proxy keeps a connection open after the router has closed it, in a run
/// with an injected violation, so that bytes that were delayed on purpose reach the fake server.
const INJECTED_CLOSE_DELAY: Duration = Duration::from_millis(90);
/// Maximum number of bytes that are forwarded at once.
const BUFFER_SIZE: usize = 16 * 1024;

/// A proxy between one router and one fake server.
pub struct FaultProxy {
    /// Address to which the router connects.
    pub address: SocketAddr,
    router: usize,
    server: Rc<ModelServer>,
    stalled: watch::Sender<bool>,
    connections: RefCell<Vec<AbortHandle>>,
    /// Whether the proxy has stalled since the last resume. The next resume then resets all
    /// connections, as they may have been open during the stall.
    reset_on_resume: Cell<bool>,
}

impl FaultProxy {
    /// Starts a proxy on a free port.
    pub async fn start(
        state: Rc<RunState>,
        router: usize,
        server: Rc<ModelServer>,
    ) -> io::Result<Rc<FaultProxy>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Rc::new(FaultProxy {
            address: listener.local_addr()?,
            router,
            server,
            stalled: watch::Sender::new(false),
            connections: RefCell::default(),
            reset_on_resume: Cell::default(),
        });
        spawn_local(proxy.clone().accept_connections(state, listener));
        Ok(proxy)
    }

    async fn accept_connections(self: Rc<Self>, state: Rc<RunState>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let connection = spawn_local(self.clone().forward(state.clone(), stream));
            let mut open = self.connections.borrow_mut();
            open.retain(|connection| !connection.is_finished());
            open.push(connection.abort_handle());
        }
    }

    /// Stops forwarding, and keeps all connections open.
    pub fn stall(&self) {
        self.stalled.send_replace(true);
        self.reset_on_resume.set(true);
    }

    /// Resets the connections that were open during the stall, and forwards again.
    pub fn resume(&self) {
        if self.reset_on_resume.replace(false) {
            self.reset_connections();
        }
        self.stalled.send_replace(false);
    }

    /// Resets all connections.
    pub fn reset_connections(&self) {
        for connection in self.connections.borrow_mut().drain(..) {
            connection.abort();
        }
    }

    /// Forwards the bytes of one connection until either side closes it.
    async fn forward(self: Rc<Self>, state: Rc<RunState>, router_side: TcpStream) {
        let connection = state.next_number();
        let _attempt_end = EndAttemptOnDrop {
            state: state.clone(),
            connection,
        };
        let _ = router_side.set_zero_linger();
        self.wait_while_stalled().await;
        let Ok(server_side) = TcpStream::connect(self.server.address()).await else {
            return;
        };
        let _ = server_side.set_nodelay(true);
        let _ = server_side.set_zero_linger();
        if let Ok(address) = server_side.local_addr() {
            state.connections.borrow_mut().insert(address, connection);
        }
        let (from_router, to_router) = router_side.into_split();
        let (from_server, to_server) = server_side.into_split();
        tokio::select! {
            () = self.forward_to_server(&state, from_router, to_server, &to_router) => {}
            () = self.forward_to_router(&state, from_server, &to_router, connection) => {}
        }
    }

    async fn wait_while_stalled(&self) {
        let _ = self.stalled.subscribe().wait_for(|stalled| !stalled).await;
    }

    async fn forward_to_server(
        &self,
        state: &RunState,
        mut from_router: OwnedReadHalf,
        mut to_server: OwnedWriteHalf,
        to_router: &OwnedWriteHalf,
    ) {
        let mut buffer = vec![0; BUFFER_SIZE];
        while let Ok(length) = from_router.read(&mut buffer).await {
            if length == 0 {
                let delay = if state.injected_violation.is_some() {
                    INJECTED_CLOSE_DELAY
                } else {
                    Duration::ZERO
                };
                return sleep(delay).await;
            }
            let bytes = &buffer[..length];
            if bytes.starts_with(ATTEMPT_PREFIX) {
                let mut oracle = state.oracle.borrow_mut();
                oracle.attempt_started(self.router, self.server.index, state.now());
            }
            if bytes.starts_with(RELEASE_PREFIX)
                && state.should_inject(InjectedViolation::LeakedLease)
            {
                let _ = to_router.try_write(RELEASE_RESPONSE);
                continue;
            }
            if state.should_inject(InjectedViolation::AfterDisconnect)
                || state.should_inject(InjectedViolation::Deadline)
            {
                sleep(INJECTED_DELAY).await;
            }
            self.wait_while_stalled().await;
            if to_server.write_all(bytes).await.is_err() {
                return;
            }
        }
    }

    async fn forward_to_router(
        &self,
        state: &RunState,
        mut from_server: OwnedReadHalf,
        to_router: &OwnedWriteHalf,
        connection: u64,
    ) {
        let mut buffer = vec![0; BUFFER_SIZE];
        while let Ok(length) = from_server.read(&mut buffer).await {
            self.wait_while_stalled().await;
            if length == 0 || to_router.writable().await.is_err() {
                return;
            }
            if write_all(to_router, &buffer[..length]).await.is_err() {
                return;
            }
            state.response_delivered(connection);
        }
    }
}

/// Writes all bytes. Takes a shared reference to the stream, as both directions of a connection
/// write to the router.
async fn write_all(stream: &OwnedWriteHalf, mut rest: &[u8]) -> io::Result<()> {
    while !rest.is_empty() {
        match stream.try_write(rest) {
            Ok(written) => rest = &rest[written..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => stream.writable().await?,
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Reports the end of the attempt on a connection when it is dropped, which covers each way in
/// which a connection can end.
struct EndAttemptOnDrop {
    state: Rc<RunState>,
    connection: u64,
}

impl Drop for EndAttemptOnDrop {
    fn drop(&mut self) {
        self.state.attempt_ended(self.connection);
    }
}
