//! The usual clients of a play: they send one request at a time, read their responses at once, and
//! keep their connections.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{interval, timeout, timeout_at, Instant, MissedTickBehavior};

use super::clients::{chat_body, RequestNumbers};
use super::report::{PlayReport, UsualOutcome};
use super::servers::ResponsePlan;

/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(125);
/// The deadline of a request.
const DEADLINE: Duration = Duration::from_secs(3);
/// Time after the deadline within which a final response still counts.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(500);
/// Longest time for the rest of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of connections that are kept.
const MAX_KEPT_CONNECTIONS: usize = 16;
/// The status of a request that was served.
const OK: u16 = 200;
/// One request of this many is not idempotent.
const ORDER_INTERVAL: u64 = 4;

/// The usual clients of one frontend.
pub struct UsualClients {
    /// The address of the frontend.
    pub address: SocketAddr,
    /// Whether the frontend is the platform API, whose requests are described by headers.
    pub is_platform: bool,
    /// The response that a request asks for.
    pub plan: ResponsePlan,
    /// Size of a request body, in bytes.
    pub body_bytes: usize,
    /// The source of request ids.
    pub numbers: RequestNumbers,
    /// Whether requests are sent.
    pub is_serving: Rc<Cell<bool>>,
    /// The report to which outcomes are added.
    pub report: Rc<RefCell<PlayReport>>,
    /// The ids of the requests that are not idempotent.
    pub orders: Rc<RefCell<Vec<String>>>,
    /// The connections that are kept.
    pub kept: RefCell<Vec<TcpStream>>,
}

/// The result of sending a request over one connection.
enum Exchange {
    Ended(UsualOutcome, Option<TcpStream>),
    /// The connection ended before any byte of a response.
    ClosedUnread,
}

impl UsualClients {
    /// Sends requests for a duration, and returns once all of them have ended.
    pub async fn run(self: Rc<Self>, duration: Duration) {
        let end = Instant::now() + duration;
        let mut ticks = interval(REQUEST_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut requests = Vec::new();
        while Instant::now() < end {
            ticks.tick().await;
            requests.push(spawn_local(self.clone().send_request()));
        }
        for request in requests {
            let _ = request.await;
        }
    }

    async fn send_request(self: Rc<Self>) {
        let number = self.numbers.next();
        let id = format!("u{number:08x}");
        let is_order = self.is_platform && number.is_multiple_of(ORDER_INTERVAL);
        if is_order {
            self.orders.borrow_mut().push(id.clone());
        }
        let request = self.request(&id, if is_order { "order" } else { "chat" });
        let kept = self.kept.borrow_mut().pop();
        let started = Instant::now();
        let deadline = started + DEADLINE + DEADLINE_TOLERANCE;
        let mut exchange = Exchange::ClosedUnread;
        if let Some(stream) = kept {
            exchange = self.exchange(stream, &request, started, deadline).await;
        }
        // A close that crosses the request of a client makes it send the request once more.
        if matches!(exchange, Exchange::ClosedUnread) && self.is_serving.get() {
            if let Ok(Ok(stream)) = timeout_at(deadline, TcpStream::connect(self.address)).await {
                let _ = stream.set_nodelay(true);
                exchange = self.exchange(stream, &request, started, deadline).await;
            }
        }
        let outcome = match exchange {
            Exchange::Ended(outcome, kept) => {
                let mut connections = self.kept.borrow_mut();
                if connections.len() < MAX_KEPT_CONNECTIONS {
                    connections.extend(kept);
                }
                outcome
            }
            Exchange::ClosedUnread if !self.is_serving.get() => UsualOutcome::NotServing,
            Exchange::ClosedUnread if Instant::now() >= deadline => UsualOutcome::Late,
            Exchange::ClosedUnread => UsualOutcome::Closed,
        };
        let mut report = self.report.borrow_mut();
        *report.outcomes.entry(outcome).or_default() += 1;
    }

    fn request(&self, id: &str, class: &str) -> Vec<u8> {
        let body = chat_body(self.plan, self.body_bytes, true);
        let deadline_ms = DEADLINE.as_millis();
        let fields = if self.is_platform {
            format!("x-class: {class}\r\nx-key: s{id}\r\nx-extras: prompt_len=500,max_out=40\r\n")
        } else {
            String::new()
        };
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: app\r\nx-request-id: {id}\r\n{fields}\
             x-deadline-ms: {deadline_ms}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }

    async fn exchange(
        &self,
        mut stream: TcpStream,
        request: &[u8],
        started: Instant,
        deadline: Instant,
    ) -> Exchange {
        if stream.write_all(request).await.is_err() {
            return Exchange::ClosedUnread;
        }
        let mut received = Vec::new();
        match timeout_at(deadline, stream.read_buf(&mut received)).await {
            Err(_) => return Exchange::Ended(UsualOutcome::Late, None),
            Ok(Ok(0) | Err(_)) => return Exchange::ClosedUnread,
            Ok(Ok(_)) => {}
        }
        self.report.borrow_mut().latencies.push(started.elapsed());
        let reading = read_response(&mut stream, &mut received);
        let is_whole = matches!(timeout(RESPONSE_TIMEOUT, reading).await, Ok(true));
        if !is_whole {
            return Exchange::Ended(UsualOutcome::Broken, None);
        }
        let text = String::from_utf8_lossy(&received[..received.len().min(400)]).to_lowercase();
        let status = text.get(9..12).and_then(|status| status.parse().ok());
        let is_kept = !text.contains("connection: close");
        let status = status.unwrap_or(0);
        if status != OK {
            let (_, body) = text.split_once("\r\n\r\n").unwrap_or_default();
            let reason = body.lines().next().unwrap_or_default().to_owned();
            let mut report = self.report.borrow_mut();
            *report.reasons.entry(reason).or_default() += 1;
        }
        Exchange::Ended(UsualOutcome::Answered(status), is_kept.then_some(stream))
    }
}

/// Reads the rest of a response. Returns whether it is whole.
async fn read_response(stream: &mut TcpStream, received: &mut Vec<u8>) -> bool {
    loop {
        if is_whole(received) {
            return true;
        }
        match stream.read_buf(received).await {
            Ok(length) if length > 0 => {}
            Ok(_) | Err(_) => return false,
        }
    }
}

fn is_whole(received: &[u8]) -> bool {
    const HEAD_END: &[u8] = b"\r\n\r\n";
    const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";
    let head_length = received
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END);
    let Some(head_length) = head_length else {
        return false;
    };
    let head = String::from_utf8_lossy(&received[..head_length]).to_lowercase();
    let length = head
        .split("content-length: ")
        .nth(1)
        .and_then(|rest| rest.lines().next()?.parse::<usize>().ok());
    match length {
        Some(length) => received.len() >= head_length + HEAD_END.len() + length,
        None => received.ends_with(LAST_CHUNK),
    }
}
