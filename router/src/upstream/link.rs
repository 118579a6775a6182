//! Connections to workers. A [`Link`] owns one connection: its descriptor's place among the limit, the task
//! that drives it, and the count of what was written. Dropping it closes the connection.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use cranetack::HostId;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

use crate::core::Host;
use crate::framing::Framing;

/// Looks at the bytes that pass. Among those written it finds the last one of each request: whether it is out
/// settles if the request may have run, which guards against calling a lost connection harmless, or a harmless
/// one lost. Among those read it follows the answers, to their ends.
pub struct Meter {
    state: Cell<Written>,
    wake: Notify,
    answers: RefCell<Framing>,
    /// Since when a head that comes has not ended, or a part has not gone on.
    partial: Cell<Option<Instant>>,
}

impl Default for Meter {
    fn default() -> Meter {
        Meter {
            state: Cell::default(),
            wake: Notify::new(),
            answers: RefCell::new(Framing::of_answers()),
            partial: Cell::default(),
        }
    }
}

#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
enum Written {
    /// No request is under way, or none of it is out.
    #[default]
    Nothing,
    /// Part of the head: so many bytes of the blank line that ends it came last, and the body's length.
    Head { ending: usize, body: usize, begun: bool },
    /// All of the head; so many bytes of the body are to come.
    Body(usize),
    /// The last byte.
    All,
}

impl Meter {
    /// A request with a body of this length begins.
    fn begin(&self, body: usize) {
        self.state.set(Written::Head { ending: 0, body, begun: false });
    }

    fn count(&self, bytes: &[u8]) {
        const BLANK: &[u8] = b"\r\n\r\n";
        let mut state = self.state.get();
        let mut rest = bytes;
        while let Written::Head { ending, body, .. } = state {
            let Some((byte, more)) = rest.split_first() else { break };
            rest = more;
            let ending = match (*byte, ending) {
                (b, n) if b == BLANK[n] => n + 1,
                (b'\r', _) => 1,
                _ => 0,
            };
            state = match ending {
                4 => Written::Body(body),
                _ => Written::Head { ending, body, begun: true },
            };
        }
        if let Written::Body(left) = state {
            let left = left.saturating_sub(rest.len());
            state = if left == 0 { Written::All } else { Written::Body(left) };
        }
        self.state.set(state);
        if state == Written::All {
            self.wake.notify_waiters();
        }
    }

    /// Takes what a worker has said; an error where nobody can have asked for it, or it cannot be right. Guards
    /// against an answer to a request that was never sent, which the next one would be given.
    fn hear(&self, bytes: &[u8]) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let mut answers = self.answers.borrow_mut();
        let unasked = answers.is_between() && self.untouched();
        answers.take(bytes);
        self.partial.set(match self.partial.get() {
            since @ Some(_) if answers.is_in_head() => since,
            _ if answers.is_in_head() || answers.is_in_part() => Some(Instant::now()),
            _ => None,
        });
        if unasked || answers.is_spoilt() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    /// Waits until an answer that has begun does not go on: it is spoilt.
    pub async fn stalled(&self) {
        loop {
            let now = Instant::now();
            match self.partial.get() {
                Some(since) if now >= since + STALL => return,
                Some(since) => sleep_until(since + STALL).await,
                None => sleep_until(now + STALL).await,
            }
        }
    }

    /// Whether the request's last byte has been written.
    pub fn all_out(&self) -> bool {
        self.state.get() == Written::All
    }

    /// Whether nothing of the request has been written.
    pub fn untouched(&self) -> bool {
        matches!(self.state.get(), Written::Nothing | Written::Head { begun: false, .. })
    }

    /// Waits until the request's last byte has been written.
    pub async fn wait_all_out(&self) {
        loop {
            let woken = self.wake.notified();
            if self.all_out() {
                return;
            }
            woken.await;
        }
    }
}

/// The connection with its meter.
struct Metered {
    stream: TcpStream,
    meter: Rc<Meter>,
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        Poll::Ready(read.and_then(|()| self.meter.hear(&buf.filled()[before..])))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = &written {
            self.meter.count(&buf[..*n]);
        }
        written
    }

    // Vectored writing is left off: hyper then joins head and body, and one count serves both.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// One connection to a worker, used by one request at a time.
pub struct Link {
    host: HostId,
    sender: SendRequest<Full<Bytes>>,
    meter: Rc<Meter>,
    driver: JoinHandle<()>,
    /// For how long it had been kept when it was taken, if it has been used before.
    idle: Option<Duration>,
    _place: OwnedSemaphorePermit,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Link {
    /// Sends a request and waits for the head of its answer.
    pub async fn send(&mut self, request: Request<Bytes>) -> hyper::Result<Response<Incoming>> {
        self.meter.begin(request.body().len());
        self.sender.send_request(request.map(Full::new)).await
    }

    /// What has been written of the current request.
    pub fn meter(&self) -> &Rc<Meter> {
        &self.meter
    }

    /// For how long it had been kept, if it has been used before.
    pub fn idle(&self) -> Option<Duration> {
        self.idle
    }

    /// Whether it had been kept and has broken without a word: its worker had dropped it unseen, which says
    /// nothing of the worker.
    pub fn was_dropped(&self) -> bool {
        self.idle.is_some() && self.meter.answers.borrow().is_between()
    }

    /// A kept connection may turn out to be closed before anything is written: then another one may be tried.
    pub fn was_stale(&self) -> bool {
        self.idle.is_some() && self.meter.untouched()
    }

    /// Closes the connection and waits until it is closed, so that what is sent next is no second copy.
    pub async fn close(mut self) {
        self.driver.abort();
        let _ = (&mut self.driver).await;
    }
}

struct Idle {
    link: Link,
    since: Instant,
}

/// The connections to all workers.
pub struct Links {
    idle: RefCell<HashMap<HostId, Vec<Idle>>>,
    places: std::sync::Arc<Semaphore>,
    connect_timeout: Duration,
    keep: Duration,
}

/// No connection could be had in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no connection")]
pub struct NoLink;

/// How long a worker may take to go on with the head or the part of an answer that it has begun.
const STALL: Duration = Duration::from_millis(1_000);
/// The most that is read ahead on a connection, and so the longest head of an answer.
const BUFFER_MOST: usize = 16 * 1024;
/// Connections that are kept to a worker: each holds a descriptor and buffers.
const KEPT_MOST: usize = 4;
/// How long a connection may take to finish a message that has been answered before it is kept.
const SETTLE: Duration = Duration::from_millis(50);

impl Links {
    /// At most `most` connections; a kept one is closed after a part of the span for which workers keep it.
    pub fn new(most: usize, connect_timeout: Duration, idle_close: Duration) -> Links {
        Links {
            idle: RefCell::default(),
            places: std::sync::Arc::new(Semaphore::new(most)),
            connect_timeout,
            keep: idle_close / 2,
        }
    }

    /// A connection to the host that is ready for a request, by this instant: a kept one if there is one.
    pub async fn take(&self, host: &Host, until: Instant) -> Result<Link, NoLink> {
        match self.kept(host.id) {
            Some(link) => Ok(link),
            None => self.open(host, until).await,
        }
    }

    /// A kept connection, the one last used first.
    fn kept(&self, host: HostId) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&host)?;
        while let Some(Idle { mut link, since }) = links.pop() {
            if since.elapsed() < self.keep && link.sender.is_ready() {
                link.idle = Some(since.elapsed());
                link.meter.state.set(Written::Nothing);
                return Some(link);
            }
        }
        None
    }

    /// A new connection to the host, by this instant.
    pub async fn open(&self, host: &Host, until: Instant) -> Result<Link, NoLink> {
        let until = until.min(Instant::now() + self.connect_timeout);
        if self.places.available_permits() == 0 {
            self.evict();
        }
        let place = self.places.clone().acquire_owned();
        let place = timeout_at(until, place).await.map_err(|_| NoLink)?.map_err(|_| NoLink)?;
        let connect = TcpStream::connect(host.address());
        let stream = timeout_at(until, connect).await.map_err(|_| NoLink)?.map_err(|_| NoLink)?;
        let _ = stream.set_nodelay(true);
        let meter = Rc::new(Meter::default());
        let io = TokioIo::new(Metered { stream, meter: meter.clone() });
        let (sender, connection) =
            http1::Builder::new().max_buf_size(BUFFER_MOST).handshake(io).await.map_err(|_| NoLink)?;
        // How it ended shows at the request that it carried.
        let driver = tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(Link { host: host.id, sender, meter, driver, idle: None, _place: place })
    }

    /// Keeps a connection whose request has been answered in full, if it stays usable: guards against a second
    /// answer behind the first, which the next request would be given.
    pub async fn put(&self, mut link: Link) {
        if !link.meter.answers.borrow().is_between() {
            return;
        }
        if let Ok(Ok(())) = timeout(SETTLE, link.sender.ready()).await {
            let mut idle = self.idle.borrow_mut();
            let kept = idle.entry(link.host).or_default();
            // The one last used is taken first, so those that have waited longest are of no use.
            if kept.len() == KEPT_MOST {
                kept.remove(0);
            }
            kept.push(Idle { link, since: Instant::now() });
        }
    }

    /// Closes the kept connections to a worker.
    pub fn close_idle(&self, host: HostId) {
        self.idle.borrow_mut().remove(&host);
    }

    /// Closes kept connections that are due or have been closed by their workers.
    pub fn retire(&self) {
        let keep = |i: &Idle| i.since.elapsed() < self.keep && !i.link.sender.is_closed();
        // Workers come and go: one without a connection has no entry.
        self.idle.borrow_mut().retain(|_, links| {
            links.retain(keep);
            !links.is_empty()
        });
    }

    /// Workers that have an entry.
    #[cfg(test)]
    pub fn known(&self) -> usize {
        self.idle.borrow().len()
    }

    /// How many more connections there may be.
    #[cfg(test)]
    pub fn free(&self) -> usize {
        self.places.available_permits()
    }

    /// Gives up the connection that has been idle for longest.
    fn evict(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|l| !l.is_empty()).min_by_key(|l| l[0].since);
        oldest.map(|links| links.remove(0));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use cranetack_standins::{run, Behaviour, Worker};

    /// Guards against an `unsafe` request that is sent twice: its last byte must be seen wherever writes split.
    #[test]
    fn the_last_byte_is_found_wherever_the_writes_are_split() {
        let head = b"POST /x HTTP/1.1\r\nhost: a\r\n\r\r\n\r\n".as_slice();
        for body in [b"".as_slice(), b"\r\n\r\n12345"] {
            let all = [head, body].concat();
            for split in 0..=all.len() {
                let meter = Meter::default();
                meter.begin(body.len());
                assert!(meter.untouched());
                meter.count(&all[..split]);
                assert_eq!(meter.untouched(), split == 0);
                assert_eq!(meter.all_out(), split == all.len(), "split at {split}");
                meter.count(&all[split..]);
                assert!(meter.all_out());
            }
        }
    }

    /// Guards against descriptors and buffers held for connections that a burst has left behind.
    #[test]
    fn few_connections_are_kept_to_a_worker() {
        run(async {
            let worker = Worker::start(1, Behaviour::Answer).await;
            let host = Host::new("a", worker.address);
            let links = Links::new(9, Duration::from_secs(1), Duration::from_secs(60));
            let until = Instant::now() + Duration::from_secs(9);
            let mut taken = Vec::new();
            for _ in 0..2 * KEPT_MOST {
                taken.push(links.take(&host, until).await.unwrap());
            }
            for link in taken {
                links.put(link).await;
            }
            assert_eq!(links.free(), 9 - KEPT_MOST);
        });
    }
}
