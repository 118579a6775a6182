//! Connections to the service, and how much of a request has gone out over one.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

const HEAD_END: &[u8; 4] = b"\r\n\r\n";
/// Connections that are kept, and for how long: the service keeps them for longer.
const KEPT_MOST: usize = 16;
const KEPT_FOR: Duration = Duration::from_secs(15);

/// Follows a request as it is written, to its last byte.
#[derive(Debug, Default)]
pub struct Meter {
    /// How much of the head's end has been seen; all of it is the head's end.
    matched: AtomicU8,
    body_left: AtomicUsize,
    begun: AtomicUsize,
}

impl Meter {
    fn begin(&self, body: usize) {
        self.matched.store(0, Ordering::Relaxed);
        self.begun.store(0, Ordering::Relaxed);
        self.body_left.store(body, Ordering::Relaxed);
    }

    fn count(&self, written: &[u8]) {
        let mut matched = usize::from(self.matched.load(Ordering::Relaxed));
        let mut at = 0;
        while at < written.len() && matched < HEAD_END.len() {
            matched = match written[at] {
                byte if byte == HEAD_END[matched] => matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            at += 1;
        }
        self.matched.store(matched as u8, Ordering::Relaxed);
        let left = self.body_left.load(Ordering::Relaxed);
        self.body_left
            .store(left.saturating_sub(written.len() - at), Ordering::Relaxed);
        self.begun.fetch_add(written.len(), Ordering::Relaxed);
    }

    /// Whether the last byte has been written: from then on the request may run.
    pub fn all_out(&self) -> bool {
        usize::from(self.matched.load(Ordering::Relaxed)) == HEAD_END.len()
            && self.body_left.load(Ordering::Relaxed) == 0
    }
}

struct Metered {
    stream: TcpStream,
    meter: Arc<Meter>,
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = written {
            self.meter.count(&buf[..count]);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A connection; closed where it is dropped.
pub struct Link {
    sender: SendRequest<Full<Bytes>>,
    meter: Arc<Meter>,
    driver: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Link {
    /// Sends a request and waits for the head of its answer. The flag says whether its last byte was written.
    pub async fn send(&mut self, request: Request<Bytes>) -> Result<Response<Incoming>, bool> {
        self.meter.begin(request.body().len());
        self.sender
            .send_request(request.map(Full::new))
            .await
            .map_err(|_| self.meter.all_out())
    }
}

/// The connections of a client.
pub struct Links {
    host: String,
    port: u16,
    idle: Mutex<Vec<(Link, Instant)>>,
}

impl Links {
    /// To this host and port.
    pub fn new(host: String, port: u16) -> Links {
        Links {
            host,
            port,
            idle: Mutex::default(),
        }
    }

    /// A connection: a kept one if there is one.
    pub async fn take(&self) -> io::Result<Link> {
        let kept = |idle: &mut Vec<(Link, Instant)>| {
            while let Some((link, since)) = idle.pop() {
                if since.elapsed() < KEPT_FOR && link.sender.is_ready() {
                    return Some(link);
                }
            }
            None
        };
        if let Some(link) = self.idle.lock().ok().and_then(|mut idle| kept(&mut idle)) {
            return Ok(link);
        }
        let stream = TcpStream::connect((self.host.as_str(), self.port)).await?;
        stream.set_nodelay(true)?;
        let meter = Arc::new(Meter::default());
        let io = TokioIo::new(Metered {
            stream,
            meter: meter.clone(),
        });
        let (sender, connection) = http1::handshake(io).await.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(Link {
            sender,
            meter,
            driver,
        })
    }

    /// Keeps a connection whose answer has been read to its end.
    pub async fn put(&self, mut link: Link) {
        if link.sender.ready().await.is_ok() {
            if let Ok(mut idle) = self.idle.lock() {
                if idle.len() == KEPT_MOST {
                    idle.remove(0);
                }
                idle.push((link, Instant::now()));
            }
        }
    }
}

#[cfg(test)]
mod tests;
