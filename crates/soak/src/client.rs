//! Clients that send requests and wait for the answers, or disconnect early.

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

/// Routers that a client tries for one request, as long as connections are closed without an
/// answer.
const MAX_SENDS: usize = 4;
/// How long a connection to a router may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How much longer than its deadline a client waits for an answer.
const ANSWER_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Of 100 requests, how many are not idempotent.
const NON_IDEMPOTENT_PERCENT: u64 = 40;
/// Of 100 requests, how many are abandoned by a client that disconnects early.
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

/// A request as the client will send it.
struct ClientRequest {
    id: String,
    idempotency: Idempotency,
    deadline: Duration,
    /// When the client disconnects, where it does not wait for the answer.
    disconnects_after: Option<Duration>,
    bytes: Vec<u8>,
}

/// What came of a request on one connection.
enum Exchange {
    /// It was answered. The connection, if it can be used again.
    Answered(Option<TcpStream>),
    /// The connection was closed without an answer.
    ConnectionClosed,
    /// The client disconnected.
    Disconnected,
}

impl Client {
    /// A client without connections.
    pub fn new(state: Rc<RunState>, routers: Vec<Rc<RouterProcess>>) -> Client {
        let session = state.next_number();
        Client {
            state,
            routers,
            pool: HashMap::new(),
            session,
        }
    }

    /// Sends requests until the run is finished, with up to twice this pause between them.
    pub async fn run(mut self, mean_pause_ms: u64) {
        while !self.state.finished.get() {
            sleep(self.state.draw_millis(1, 2 * mean_pause_ms)).await;
            self.send_request().await;
        }
    }

    fn pick_router(&self) -> Option<usize> {
        let candidates: Vec<usize> = self
            .routers
            .iter()
            .filter(|router| router.in_rotation.get())
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
        let longest_ms = class_deadline(idempotency).as_millis() as u64;
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

    /// Sends one request, to another router each time that the connection is closed without an
    /// answer.
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
                Exchange::Answered(stream) => {
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
            // No router has taken the request, or the oracle has seen that one did.
            let mut oracle = state.oracle.borrow_mut();
            oracle.client_disconnected(&request.id, state.now());
        }
    }

    /// A pooled connection to a router, or a new one.
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

    /// Sends a request over a connection and waits for the answer, or disconnects early.
    async fn exchange(&self, stream: TcpStream, request: &ClientRequest) -> Exchange {
        let state = &self.state;
        let report_answer = |answer| {
            if !state.injects(InjectedViolation::MissingAnswer) {
                let mut oracle = state.oracle.borrow_mut();
                oracle.request_finished(&request.id, answer, state.now());
            }
        };
        let exchange = send_and_receive(stream, &request.bytes, report_answer);
        match request.disconnects_after {
            Some(span) => timeout(span, exchange)
                .await
                .unwrap_or(Exchange::Disconnected),
            None => timeout(request.deadline + ANSWER_TIMEOUT_MARGIN, exchange)
                .await
                .unwrap_or(Exchange::ConnectionClosed),
        }
    }
}

/// Sends a request and reads the answer to its end. `report_answer` is called once the head has
/// arrived: a stream that breaks off later was served all the same, as a client would ask for the
/// rest with a new request.
async fn send_and_receive(
    mut stream: TcpStream,
    request: &[u8],
    report_answer: impl Fn(Outcome),
) -> Exchange {
    if stream.write_all(request).await.is_err() {
        return Exchange::ConnectionClosed;
    }
    let mut received = Vec::new();
    let mut reported = false;
    loop {
        match stream.read_buf(&mut received).await {
            Ok(0) | Err(_) if !reported => return Exchange::ConnectionClosed,
            Ok(0) | Err(_) => return Exchange::Answered(None),
            Ok(_) => {}
        }
        let Some(head) = head_of(&received) else {
            continue;
        };
        if !reported {
            report_answer(answer_of(&received));
            reported = true;
        }
        if is_complete(&received, &head) {
            let reusable = !head.text.contains("connection: close");
            return Exchange::Answered(reusable.then_some(stream));
        }
    }
}

/// The head of an HTTP message.
struct Head {
    /// Its text in lower case, without the empty line at its end.
    text: String,
    /// Where the body begins.
    body_start: usize,
}

/// The head, once all of it has arrived.
fn head_of(received: &[u8]) -> Option<Head> {
    let length = received
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)?;
    Some(Head {
        text: String::from_utf8_lossy(&received[..length]).to_ascii_lowercase(),
        body_start: length + HEAD_END.len(),
    })
}

/// Whether the body has arrived to its end.
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

fn answer_of(received: &[u8]) -> Outcome {
    match received.get(9..12) {
        Some(b"200") => Outcome::Served,
        Some(b"503" | b"429") => Outcome::Rejected,
        _ => Outcome::Failed,
    }
}
