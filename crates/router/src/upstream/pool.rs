//! Connections to servers. A [`PooledConnection`] owns one connection: its descriptor's permit, the task that drives it,
//! and its progress. Dropping it closes the connection.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cranetack_routing_policy::EndpointId;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::{timeout, timeout_at, Instant};

use super::dial::{dial, ConnectError};
use super::progress::{ObservedStream, WireProgress};
use crate::closing::shut_down_and_drain;
use crate::core::{EndReason, Endpoint, UsedConnection, WireTrace, Written};
use crate::socket::Socket;

/// The most that is read ahead on a connection, and so the longest head of an answer.
const BUFFER_LIMIT: usize = 16 * 1024;
/// Connections that are kept to a server: each holds a descriptor and buffers.
const IDLE_LIMIT: usize = 4;
/// For how long a connection rests before it is used again: a spoilt answer may have a second one some milliseconds
/// behind it, which the next request would be given.
pub(super) const REST: Duration = Duration::from_millis(30);
/// How long a server may take to end its side once an attempt has been given up. It covers a way there and back; from a
/// server that cannot be heard nothing is learnt by waiting longer.
const END_SEEN_TIMEOUT: Duration = Duration::from_millis(25);
/// How long a connection may take to finish a message that has been answered before it is kept.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(50);

/// One connection to a server, used by one request at a time.
pub struct PooledConnection {
    /// Its number, for the log.
    number: u64,
    server: EndpointId,
    address: SocketAddr,
    stream: Rc<RefCell<Socket>>,
    sender: SendRequest<Full<Bytes>>,
    progress: Rc<WireProgress>,
    driver: JoinHandle<()>,
    /// For how long it had been kept when it was acquired, if it has been used before.
    idle: Option<Duration>,
    _permit: OwnedSemaphorePermit,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl PooledConnection {
    /// Sends a request and waits for the head of its answer.
    pub async fn send(&mut self, request: Request<Bytes>) -> hyper::Result<Response<Incoming>> {
        self.progress.begin_request(request.body().len());
        self.sender.send_request(request.map(Full::new)).await
    }

    /// What has passed over it since the current request began.
    pub fn trace(&self) -> WireTrace {
        let (written, read) = self.progress.bytes();
        WireTrace {
            connection: Some(UsedConnection {
                number: self.number,
                reused: self.idle.is_some(),
            }),
            written: Written {
                bytes: written,
                complete: self.progress.all_written(),
            },
            read,
            reason: EndReason::default(),
        }
    }

    /// How far the current request and its answer have come.
    pub fn progress(&self) -> &Rc<WireProgress> {
        &self.progress
    }

    /// For how long it had been kept, if it has been used before.
    pub fn idle(&self) -> Option<Duration> {
        self.idle
    }

    /// Whether it had been kept and has broken without a word: its server had dropped it unseen, which says
    /// nothing of the server.
    pub fn was_dropped(&self) -> bool {
        self.idle.is_some() && self.progress.is_between_answers()
    }

    /// A kept connection may turn out to be closed before anything is written: then another one may be tried.
    pub fn was_stale(&self) -> bool {
        self.idle.is_some() && self.progress.nothing_written()
    }

    /// Whether the server has said nothing since the last answer and has not closed. Guards against a request that is
    /// written to a connection whose end, or whose second answer, the system holds and the runtime has not seen yet.
    fn is_quiet(&self) -> bool {
        let stream = self.stream.borrow();
        let mut byte = [MaybeUninit::uninit()];
        let read = SockRef::from(&*stream).recv(&mut byte);
        read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Closes the connection and waits until it is closed here.
    pub async fn close(mut self) {
        self.stop_driver().await;
    }

    /// Gives up the request that is under way: ends this side, and waits until the server has ended its own, for a
    /// while. What is sent next goes over another connection and could arrive before the end: guards against an attempt
    /// that is still out at its server while the next one begins, or its request is refused.
    pub async fn give_up(mut self) {
        self.stop_driver().await;
        if !self.progress.nothing_written() {
            let _ = timeout(END_SEEN_TIMEOUT, shut_down_and_drain(&self.stream)).await;
        }
    }

    async fn stop_driver(&mut self) {
        self.driver.abort();
        let _ = (&mut self.driver).await;
    }
}

struct IdleConnection {
    connection: PooledConnection,
    since: Instant,
}

/// The connections to all servers.
pub struct ConnectionPool {
    idle: RefCell<HashMap<EndpointId, Vec<IdleConnection>>>,
    next_number: Cell<u64>,
    permits: Arc<Semaphore>,
    connect_timeout: Duration,
    idle_timeout: Duration,
}

impl ConnectionPool {
    /// At most `limit` connections; a kept one is closed after a part of the span for which servers keep it.
    pub fn new(
        limit: usize,
        connect_timeout: Duration,
        server_idle_timeout: Duration,
    ) -> ConnectionPool {
        ConnectionPool {
            idle: RefCell::default(),
            next_number: Cell::default(),
            permits: Arc::new(Semaphore::new(limit)),
            connect_timeout,
            idle_timeout: server_idle_timeout / 2,
        }
    }

    /// A connection to the server that is ready for a request, by this instant: a kept one if there is one.
    pub async fn acquire(
        &self,
        server: &Endpoint,
        until: Instant,
    ) -> Result<PooledConnection, ConnectError> {
        match self.acquire_idle(server) {
            Some(connection) => Ok(connection),
            None => self.connect(server, until).await,
        }
    }

    /// A kept connection, of those that have rested the one last used first. One to an address at which the server does
    /// not listen any more is closed: its machine may have vanished without a word.
    fn acquire_idle(&self, server: &Endpoint) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&server.id)?;
        kept.retain(|idle| idle.connection.address == server.address());
        while let Some(rested) = kept.iter().rposition(|idle| idle.since.elapsed() >= REST) {
            let IdleConnection {
                mut connection,
                since,
            } = kept.remove(rested);
            let usable = since.elapsed() < self.idle_timeout && connection.sender.is_ready();
            if usable && connection.is_quiet() {
                connection.idle = Some(since.elapsed());
                connection.progress.reset();
                return Some(connection);
            }
        }
        None
    }

    /// A new connection to the server, by this instant.
    pub async fn connect(
        &self,
        server: &Endpoint,
        until: Instant,
    ) -> Result<PooledConnection, ConnectError> {
        let until = until.min(Instant::now() + self.connect_timeout);
        if self.permits.available_permits() == 0 {
            self.evict_longest_idle();
        }
        let permit = self.permits.clone().acquire_owned();
        let permit = timeout_at(until, permit)
            .await
            .ok()
            .and_then(Result::ok)
            .ok_or(ConnectError::Local)?;
        let address = server.address();
        let stream = dial(until, || TcpStream::connect(address)).await?;
        let _ = stream.set_nodelay(true);
        let stream = Rc::new(RefCell::new(Socket::from(stream)));
        let progress = Rc::new(WireProgress::default());
        let io = TokioIo::new(ObservedStream::new(stream.clone(), progress.clone()));
        let handshake = http1::Builder::new()
            .max_buf_size(BUFFER_LIMIT)
            .handshake(io);
        let (sender, connection) = handshake.await.map_err(|_| ConnectError::Server)?;
        // How it ended shows at the request that it carried.
        let driver = tokio::task::spawn_local(async move { drop(connection.await) });
        let number = self.next_number.replace(self.next_number.get() + 1);
        Ok(PooledConnection {
            number,
            server: server.id,
            address,
            stream,
            sender,
            progress,
            driver,
            idle: None,
            _permit: permit,
        })
    }

    /// Keeps a connection whose request has been answered in full, if it stays usable: guards against a second
    /// answer behind the first, which the next request would be given.
    pub async fn release(&self, mut connection: PooledConnection) {
        if !connection.progress.is_between_answers() {
            return;
        }
        if let Ok(Ok(())) = timeout(SETTLE_TIMEOUT, connection.sender.ready()).await {
            let mut idle = self.idle.borrow_mut();
            let kept = idle.entry(connection.server).or_default();
            // The one last used is taken first, so those that have waited longest are of no use.
            if kept.len() == IDLE_LIMIT {
                kept.remove(0);
            }
            kept.push(IdleConnection {
                connection,
                since: Instant::now(),
            });
        }
    }

    /// Closes the kept connections to a server.
    pub fn close_idle(&self, server: EndpointId) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes kept connections whose time is up or that have been closed by their servers.
    pub fn close_expired(&self) {
        let usable = |idle: &IdleConnection| {
            idle.since.elapsed() < self.idle_timeout && !idle.connection.sender.is_closed()
        };
        // Servers come and go: one without a connection has no entry.
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(usable);
            !kept.is_empty()
        });
    }

    /// Gives up the connection that has been idle for longest.
    fn evict_longest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .values_mut()
            .filter(|kept| !kept.is_empty())
            .min_by_key(|kept| kept[0].since);
        oldest.map(|kept| kept.remove(0));
    }

    /// Servers that have an entry.
    #[cfg(test)]
    pub fn known_servers(&self) -> usize {
        self.idle.borrow().len()
    }

    /// How many more connections there may be.
    #[cfg(test)]
    pub fn available(&self) -> usize {
        self.permits.available_permits()
    }
}

#[cfg(test)]
mod tests;
