//! Connections to the service, and a pool of idle ones.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::write_progress::{RecordedStream, WriteProgress};

/// Maximum number of idle connections that a client keeps.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Idle time after which a connection is not used again. The service keeps idle connections for
/// longer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Why no response head was received for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendError {
    /// The connection was closed before the last byte of the request was written.
    NotSent,
    /// The connection was closed after the last byte of the request was written.
    ConnectionLost,
}

/// A connection to the service. Dropping it closes the connection.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    progress: Arc<WriteProgress>,
    /// The task that drives the connection.
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    async fn open(host: &str, port: u16) -> io::Result<Connection> {
        let stream = TcpStream::connect((host, port)).await?;
        stream.set_nodelay(true)?;
        let progress = Arc::new(WriteProgress::default());
        let stream = RecordedStream::new(stream, progress.clone());
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(Connection {
            sender,
            progress,
            driver,
        })
    }

    /// Sends a request and waits for the head of its response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Bytes>,
    ) -> Result<Response<Incoming>, SendError> {
        self.progress.begin(request.body().len());
        let response = self.sender.send_request(request.map(Full::new)).await;
        response.map_err(|_| {
            if self.progress.is_complete() {
                SendError::ConnectionLost
            } else {
                SendError::NotSent
            }
        })
    }
}

/// A connection that is not in use.
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

/// The idle connections of a client.
pub(crate) struct ConnectionPool {
    host: String,
    port: u16,
    idle: Mutex<Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Creates an empty pool of connections to a host and port.
    pub(crate) fn new(host: String, port: u16) -> ConnectionPool {
        ConnectionPool {
            host,
            port,
            idle: Mutex::default(),
        }
    }

    /// Takes an idle connection from the pool, or opens a new one.
    pub(crate) async fn take(&self) -> io::Result<Connection> {
        match self.take_idle() {
            Some(connection) => Ok(connection),
            None => Connection::open(&self.host, self.port).await,
        }
    }

    /// Takes the usable connection that has been idle for the shortest time. Connections that are
    /// unusable or idle for too long are closed on the way.
    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().ok()?;
        while let Some(IdleConnection {
            connection,
            idle_since,
        }) = idle.pop()
        {
            if idle_since.elapsed() < IDLE_TIMEOUT && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool, once its response has been read to the end.
    pub(crate) async fn put(&self, mut connection: Connection) {
        if connection.sender.ready().await.is_err() {
            return;
        }
        if let Ok(mut idle) = self.idle.lock() {
            if idle.len() == MAX_IDLE_CONNECTIONS {
                idle.remove(0);
            }
            idle.push(IdleConnection {
                connection,
                idle_since: Instant::now(),
            });
        }
    }
}
