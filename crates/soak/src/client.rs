//! Clients that send requests and wait for the responses, or disconnect early.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::injected_violation::InjectedViolation;
use crate::oracle::{Idempotency, Outcome};
use crate::router_process::RouterProcess;
use crate::router_settings::{class_deadline, class_name};
use crate::run_state::RunState;

/// Maximum number of times that a client sends one request, to a router drawn anew each time, if
/// connections fail or are closed without a response.
const MAX_SENDS: usize = 4;
/// Maximum time to connect to a router.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Duration after the deadline of a request for which its client still waits for a response.
const RESPONSE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Percentage of requests that are not idempotent.
const NON_IDEMPOTENT_PERCENT: u64 = 40;
/// Percentage of requests whose client disconnects early.
const DISCONNECT_PERCENT: u64 = 8;
/// The end of the head of an HTTP message.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The end of a chunked body.
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

/// A client that sends one request after another over pooled connections.
pub struct Client {
    state: Rc<RunState>,
    routers: Vec<Rc<RouterProcess>>,
    /// Idle connections, by router.
    pool: HashMap<usize, TcpStream>,
    session: u64,
}

/// A request to send.
struct ClientRequest {
    id: String,
    idempotency: Idempotency,
    deadline: Duration,
    /// Time after which the client disconnects; `None` if it waits for the response.
    disconnects_after: Option<Duration>,
    bytes: Vec<u8>,
}

/// The result of sending a request over one connection.
enum Exchange {
    /// A response was received. Contains the connection if it can be reused.
    ResponseReceived(Option<TcpStream>),
    /// The connection was closed without a response, or the wait for the response timed out.
    ConnectionClosed,
    /// The client disconnected early.
    Disconnected,
}

impl Client {
    /// Creates a client that has no connections yet.
    pub fn new(state: Rc<RunState>, routers: Vec<Rc<RouterProcess>>) -> Client {
        let session = state.next_number();
        Client {
            state,
            routers,
            pool: HashMap::new(),
            session,
        }
    }

    /// Sends requests until the run is finished. The pauses between them are random, up to twice
    /// the mean.
    pub async fn run(mut self, mean_pause_ms: u64) {
        while !self.state.finished.get() {
            sleep(self.state.draw_millis(1, 2 * mean_pause_ms)).await;
            self.send_request().await;
        }
    }

    /// Returns a router that takes new connections, or one to which the client has an open
    /// connection: clients use these for as long as they are open.
    fn pick_router(&self) -> Option<usize> {
        let is_usable = |router: &&Rc<RouterProcess>| {
            router.in_rotation.get() || self.pool.contains_key(&router.index)
        };
        let candidates: Vec<usize> = self
            .routers
            .iter()
            .filter(is_usable)
            .map(|router| router.index)
            .collect();
        let pick = self.state.draw(0, candidates.len().max(1) as u64);
        candidates.get(pick as usize).copied()
    }

    fn draw_request(&self) -> ClientRequest {
        let state = &self.state;
        let idempotency = if state.chance(NON_IDEMPOTENT_PERCENT) {
            Idempotency::NonIdempotent
        } else {
            Idempotency::Idempotent
        };
        let longest_ms = class_deadline(state.deadlines.get(), idempotency).as_millis() as u64;
        let deadline_ms = state.draw(longest_ms / 2, longest_ms + 1);
        let id = format!("q{:08x}", state.next_number());
        let tokens = state.draw(200, 6_000);
        let class = class_name(idempotency);
        let session = self.session;
        let body = "x".repeat(tokens as usize * 2);
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: app\r\nx-request-id: {id}\r\n\
             x-class: {class}\r\nx-key: k{session}\r\nx-deadline-ms: {deadline_ms}\r\n\
             x-extras: prompt_len={tokens},max_out=40\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let disconnects = state.chance(DISCONNECT_PERCENT);
        ClientRequest {
            id,
            idempotency,
            deadline: Duration::from_millis(deadline_ms),
            disconnects_after: disconnects.then(|| state.draw_millis(1, 700)),
            bytes: text.into_bytes(),
        }
    }

    /// Sends one request, and sends it again to a router drawn anew while connections fail or are
    /// closed without a response.
    async fn send_request(&mut self) {
        let state = self.state.clone();
        let request = self.draw_request();
        let mut sent = false;
        for _ in 0..MAX_SENDS {
            let Some(router) = self.pick_router() else {
                return;
            };
            let Some(stream) = self.connect(router).await else {
                continue;
            };
            self.report_sent(&request, router, sent);
            sent = true;
            let kills_before = self.routers[router].kill_count.get();
            match self.exchange(stream, &request).await {
                Exchange::ResponseReceived(stream) => {
                    if let Some(stream) = stream {
                        self.pool.insert(router, stream);
                    }
                    return;
                }
                Exchange::Disconnected => {
                    let mut oracle = state.oracle.borrow_mut();
                    return oracle.client_disconnected(&request.id, state.now());
                }
                Exchange::ConnectionClosed => {
                    if self.routers[router].kill_count.get() != kills_before {
                        break;
                    }
                }
            }
        }
        if sent {
            // The client gives up, which the oracle treats as a disconnection. If the client sent
            // the request again after it had been forwarded, the oracle has already reported that.
            let mut oracle = state.oracle.borrow_mut();
            oracle.client_disconnected(&request.id, state.now());
        }
    }

    /// Returns a pooled connection to a router, or a new one.
    async fn connect(&mut self, router: usize) -> Option<TcpStream> {
        if let Some(stream) = self.pool.remove(&router) {
            return Some(stream);
        }
        let connecting = TcpStream::connect(self.routers[router].address);
        let stream = timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(stream)
    }

    fn report_sent(&self, request: &ClientRequest, router: usize, sent_before: bool) {
        let now = self.state.now();
        let mut oracle = self.state.oracle.borrow_mut();
        if sent_before {
            oracle.request_resent(&request.id, router, now);
        } else {
            oracle.request_sent(
                &request.id,
                router,
                request.idempotency,
                now,
                request.deadline,
            );
        }
    }

    /// Sends a request over a connection and waits for the response, or disconnects early.
    async fn exchange(&self, stream: TcpStream, request: &ClientRequest) -> Exchange {
        let state = &self.state;
        let report_outcome = |outcome| {
            if !state.should_inject(InjectedViolation::MissingAnswer) {
                let mut oracle = state.oracle.borrow_mut();
                oracle.request_finished(&request.id, outcome, state.now());
            }
        };
        let exchange = send_and_receive(stream, &request.bytes, report_outcome);
        match request.disconnects_after {
            Some(delay) => timeout(delay, exchange)
                .await
                .unwrap_or(Exchange::Disconnected),
            None => timeout(request.deadline + RESPONSE_TIMEOUT_MARGIN, exchange)
                .await
                .unwrap_or(Exchange::ConnectionClosed),
        }
    }
}

/// Sends a request and reads the response to its end. Calls `report_outcome` as soon as the head
/// has arrived: a stream that breaks off later counts as served, as a client would send a new
/// request for the rest.
async fn send_and_receive(
    mut stream: TcpStream,
    request: &[u8],
    report_outcome: impl Fn(Outcome),
) -> Exchange {
    if stream.write_all(request).await.is_err() {
        return Exchange::ConnectionClosed;
    }
    let mut received = Vec::new();
    let mut reported = false;
    loop {
        match stream.read_buf(&mut received).await {
            Ok(0) | Err(_) if !reported => return Exchange::ConnectionClosed,
            Ok(0) | Err(_) => return Exchange::ResponseReceived(None),
            Ok(_) => {}
        }
        let Some(head) = parse_head(&received) else {
            continue;
        };
        if !reported {
            report_outcome(parse_outcome(&received));
            reported = true;
        }
        if is_complete(&received, &head) {
            let reusable = !head.text.contains("connection: close");
            return Exchange::ResponseReceived(reusable.then_some(stream));
        }
    }
}

/// The head of an HTTP message.
struct Head {
    /// Text of the head in lower case, without the empty line at its end.
    text: String,
    /// Offset of the body in the message.
    body_start: usize,
}

/// Returns the head if all of it has arrived.
fn parse_head(received: &[u8]) -> Option<Head> {
    let length = received
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)?;
    Some(Head {
        text: String::from_utf8_lossy(&received[..length]).to_ascii_lowercase(),
        body_start: length + HEAD_END.len(),
    })
}

/// Returns whether the whole body has arrived.
fn is_complete(received: &[u8], head: &Head) -> bool {
    let content_length: Option<usize> = head
        .text
        .split("content-length: ")
        .nth(1)
        .and_then(|rest| rest.lines().next()?.parse().ok());
    match content_length {
        Some(length) => received.len() >= head.body_start + length,
        None => received.ends_with(LAST_CHUNK),
    }
}

fn parse_outcome(received: &[u8]) -> Outcome {
    match received.get(9..12) {
        Some(b"200") => Outcome::Served,
        Some(b"503" | b"429") => Outcome::Rejected,
        _ => Outcome::Failed,
    }
}
