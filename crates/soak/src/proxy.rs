//! The fault proxy: it stands between one router and one server, and can fall silent or reset what passes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, AbortHandle};

use crate::scenario::Plant;
use crate::server::Server;
use crate::world::World;

/// How an attempt begins on the wire.
const ATTEMPT: &[u8] = b"POST /v1/";
/// How the call that lets go begins.
const RELEASE: &[u8] = b"DELETE /bootstrap/";

/// For how long a planted fault holds an attempt up.
const HOLD_UP: Duration = Duration::from_millis(900);

/// A proxy on the way from one router to one server.
pub struct Proxy {
    /// Where the router connects.
    pub address: SocketAddr,
    router: usize,
    server: Rc<Server>,
    silent: watch::Sender<bool>,
    connections: RefCell<Vec<AbortHandle>>,
    /// Connections that were open while it was silent: they are reset when it ends.
    stale: Cell<bool>,
}

impl Proxy {
    /// Listens on a free port.
    pub async fn start(
        world: Rc<World>,
        router: usize,
        server: Rc<Server>,
    ) -> std::io::Result<Rc<Proxy>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Rc::new(Proxy {
            address: listener.local_addr()?,
            router,
            server,
            silent: watch::Sender::new(false),
            connections: RefCell::default(),
            stale: Cell::default(),
        });
        let here = proxy.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let passing = spawn_local(here.clone().pass(world.clone(), stream));
                let mut open = here.connections.borrow_mut();
                open.retain(|connection| !connection.is_finished());
                open.push(passing.abort_handle());
            }
        });
        Ok(proxy)
    }

    /// Nothing passes any more, and nobody is told.
    pub fn cut(&self) {
        self.silent.send_replace(true);
        self.stale.set(true);
    }

    /// All is as before; what was open meanwhile is reset.
    pub fn heal(&self) {
        if self.stale.replace(false) {
            self.reset();
        }
        self.silent.send_replace(false);
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.connections
            .borrow_mut()
            .drain(..)
            .for_each(|connection| connection.abort());
    }

    async fn pass(self: Rc<Self>, world: Rc<World>, router_side: TcpStream) {
        let number = world.number();
        let _ending = EndsAttempt {
            world: world.clone(),
            number,
        };
        let _ = router_side.set_zero_linger();
        let mut silent = self.silent.subscribe();
        let _ = silent.wait_for(|silent| !silent).await;
        let Ok(server_side) = TcpStream::connect(self.server.address()).await else {
            return;
        };
        let _ = (server_side.set_nodelay(true), server_side.set_zero_linger());
        if let Ok(address) = server_side.local_addr() {
            world.connections.borrow_mut().insert(address, number);
        }
        let (mut from_router, to_router) = router_side.into_split();
        let (mut from_server, mut to_server) = server_side.into_split();
        let mut forth = self.silent.subscribe();
        let up = async {
            let mut buffer = vec![0; 16 * 1024];
            while let Ok(length) = from_router.read(&mut buffer).await {
                if length == 0 {
                    // What was held up on purpose must have arrived before the connection goes.
                    let delay = if world.plant.is_some() {
                        HOLD_UP / 10
                    } else {
                        Duration::ZERO
                    };
                    return tokio::time::sleep(delay).await;
                }
                if buffer[..length].starts_with(ATTEMPT) {
                    let mut oracle = world.oracle.borrow_mut();
                    oracle.attempt_started(self.router, self.server.index, world.now());
                }
                if buffer[..length].starts_with(RELEASE) && world.plants(Plant::Held) {
                    let _ = to_router.try_write(b"HTTP/1.1 204 No Content\r\n\r\n");
                    continue;
                }
                if world.plants(Plant::AfterClientLeft) || world.plants(Plant::Deadline) {
                    tokio::time::sleep(HOLD_UP).await;
                }
                let _ = forth.wait_for(|silent| !silent).await;
                if to_server.write_all(&buffer[..length]).await.is_err() {
                    return;
                }
            }
        };
        let down = async {
            let mut buffer = vec![0; 16 * 1024];
            while let Ok(length) = from_server.read(&mut buffer).await {
                let _ = silent.wait_for(|silent| !silent).await;
                if length == 0 || to_router.writable().await.is_err() {
                    return;
                }
                let mut rest = &buffer[..length];
                while !rest.is_empty() {
                    match to_router.try_write(rest) {
                        Ok(written) => rest = &rest[written..],
                        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                            if to_router.writable().await.is_err() {
                                return;
                            }
                        }
                        Err(_) => return,
                    }
                }
                world.passed(number);
            }
        };
        tokio::select! {
            () = up => {}
            () = down => {}
        }
    }
}

/// Tells that the attempt on a connection is out no longer, however it ends.
struct EndsAttempt {
    world: Rc<World>,
    number: u64,
}

impl Drop for EndsAttempt {
    fn drop(&mut self) {
        self.world.attempt_ends(self.number);
    }
}
