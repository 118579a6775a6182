//! Stand-ins for prefill and decode servers whose pace a play sets. They have any number of slots,
//! so that a router is limited by its own resources only.
//!
//! The body of a request names the response: [`ResponsePlan::marker`].

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Time that a prefill takes.
const PREFILL_TIME: Duration = Duration::from_millis(20);
/// Receive buffer of a server that reads slowly, in bytes.
const SLOW_RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;
/// Interval between two reads of a server that reads slowly.
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(50);
/// Length of the accept queue of a server.
const ACCEPT_QUEUE: u32 = 1_024;
/// Number of bytes at the beginning of a body in which the marker is looked for.
const MARKER_SEARCH_BYTES: usize = 512;
/// The end of the head of an HTTP message.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The response that a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponsePlan {
    /// Number of events.
    pub events: usize,
    /// Size of an event, in bytes.
    pub event_bytes: usize,
    /// Pause before each event, in milliseconds.
    pub gap_ms: u64,
}

impl ResponsePlan {
    /// Returns the text in a request body that asks for this response.
    pub fn marker(&self) -> String {
        format!("play={},{},{};", self.events, self.event_bytes, self.gap_ms)
    }

    fn find(body: &[u8]) -> ResponsePlan {
        let start = &body[..body.len().min(MARKER_SEARCH_BYTES)];
        let text = String::from_utf8_lossy(start);
        let numbers: Option<Vec<u64>> = text
            .split_once("play=")
            .and_then(|(_, rest)| rest.split(';').next())
            .and_then(|list| list.split(',').map(|number| number.parse().ok()).collect());
        match numbers.as_deref() {
            Some(&[events, event_bytes, gap_ms]) => ResponsePlan {
                events: events as usize,
                event_bytes: event_bytes as usize,
                gap_ms,
            },
            _ => ResponsePlan {
                events: 1,
                event_bytes: 64,
                gap_ms: 0,
            },
        }
    }
}

/// The role of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerRole {
    /// Processes prompts.
    Prefill,
    /// Streams responses.
    Decode,
    /// Does both.
    Mixed,
}

impl ServerRole {
    fn kind(self) -> &'static str {
        match self {
            ServerRole::Prefill => "reader",
            ServerRole::Decode => "writer",
            ServerRole::Mixed => "mixed",
        }
    }
}

/// The pace of a server.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerPace {
    /// Bytes of requests that are read in a second; as many as arrive if it is 0.
    pub read_bytes_per_second: usize,
    /// Pause within each event but the first, after its first half.
    pub pause_within_event: Duration,
}

/// A server. It counts how often each request id was started.
pub struct PlayServer {
    /// The address on which the server listens.
    pub address: SocketAddr,
    role: ServerRole,
    pace: ServerPace,
    starts: Rc<std::cell::RefCell<HashMap<String, Vec<Instant>>>>,
    open_connections: Cell<usize>,
}

impl PlayServer {
    /// Starts a server. Must be called within a `LocalSet`.
    pub async fn start(role: ServerRole, pace: ServerPace) -> std::io::Result<Rc<PlayServer>> {
        let socket = TcpSocket::new_v4()?;
        if pace.read_bytes_per_second > 0 {
            socket.set_recv_buffer_size(SLOW_RECEIVE_BUFFER_BYTES)?;
        }
        socket.bind(([127, 0, 0, 1], 0).into())?;
        let listener = socket.listen(ACCEPT_QUEUE)?;
        let server = Rc::new(PlayServer {
            address: listener.local_addr()?,
            role,
            pace,
            starts: Rc::default(),
            open_connections: Cell::default(),
        });
        spawn_local(server.clone().accept(listener));
        Ok(server)
    }

    /// Returns the server's entry in the endpoint list.
    pub fn entry(&self) -> Value {
        json!({
            "name": format!("w{}", self.address.port()),
            "address": self.address.to_string(),
            "zone": "here",
            "type": self.role.kind(),
            "group": 0,
            "status": "up",
            "weight": 1.0,
            "since_ms": 0,
        })
    }

    /// Returns when the last bytes of the requests with this id were received.
    pub fn starts_of(&self, id: &str) -> Vec<Instant> {
        self.starts.borrow().get(id).cloned().unwrap_or_default()
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let server = self.clone();
            spawn_local(async move {
                let connections = &server.open_connections;
                connections.set(connections.get() + 1);
                // An error means that the router closed the connection.
                let _ = server.serve(stream).await;
                connections.set(connections.get() - 1);
            });
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut received = Vec::new();
        while let Some(request) = self.receive(&mut stream, &mut received).await? {
            self.respond(&mut stream, &request).await?;
        }
        Ok(())
    }

    /// Receives the next request; `None` if the router closes the connection.
    async fn receive(
        &self,
        stream: &mut TcpStream,
        received: &mut Vec<u8>,
    ) -> std::io::Result<Option<ReceivedRequest>> {
        loop {
            if let Some((length, request)) = ReceivedRequest::parse(received) {
                received.drain(..length);
                return Ok(Some(request));
            }
            let limit = match self.pace.read_bytes_per_second {
                0 => usize::MAX,
                bytes => {
                    sleep(SLOW_READ_INTERVAL).await;
                    (bytes as f64 * SLOW_READ_INTERVAL.as_secs_f64()) as usize
                }
            };
            let read = (&mut *stream).take(limit as u64).read_buf(received).await?;
            if read == 0 {
                return Ok(None);
            }
        }
    }

    async fn respond(
        &self,
        stream: &mut TcpStream,
        request: &ReceivedRequest,
    ) -> std::io::Result<()> {
        if request.line.contains("/bootstrap/rooms/") {
            let is_reservation = request.line.starts_with("POST");
            let status = if is_reservation {
                "200 OK"
            } else {
                "204 No Content"
            };
            return stream.write_all(&whole_response(status, "")).await;
        }
        if request.line.starts_with("GET") {
            let report = "TEXT latency_ms=40, x0=0.2, x1=0";
            return stream.write_all(&whole_response("200 OK", report)).await;
        }
        if self.role == ServerRole::Prefill {
            sleep(PREFILL_TIME).await;
            let body = r#"{"cached_tokens":0}"#;
            return stream
                .write_all(&whole_response("202 Accepted", body))
                .await;
        }
        self.record_start(&request.id);
        if let Some(results) = request.batch_results() {
            return stream.write_all(&whole_response("200 OK", &results)).await;
        }
        self.stream_events(stream, request.plan).await
    }

    fn record_start(&self, id: &str) {
        let mut starts = self.starts.borrow_mut();
        starts
            .entry(id.to_owned())
            .or_default()
            .push(Instant::now());
    }

    async fn stream_events(
        &self,
        stream: &mut TcpStream,
        plan: ResponsePlan,
    ) -> std::io::Result<()> {
        const HEAD: &str =
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(HEAD.as_bytes()).await?;
        let event = event_chunk(plan.event_bytes);
        let (first_half, second_half) = event.split_at(event.len() / 2);
        for number in 0..plan.events {
            if plan.gap_ms > 0 {
                sleep(Duration::from_millis(plan.gap_ms)).await;
            }
            if number == 0 || self.pace.pause_within_event.is_zero() {
                stream.write_all(&event).await?;
                continue;
            }
            stream.write_all(first_half).await?;
            sleep(self.pace.pause_within_event).await;
            stream.write_all(second_half).await?;
        }
        let done = "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
        let end = format!("{:x}\r\n{done}\r\n0\r\n\r\n", done.len());
        stream.write_all(end.as_bytes()).await
    }
}

/// Returns a chunk with one event of about `bytes` bytes.
fn event_chunk(bytes: usize) -> Vec<u8> {
    let text = "x".repeat(bytes.saturating_sub(EVENT_OVERHEAD_BYTES).max(1));
    let event =
        format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len()).into_bytes()
}

/// Number of bytes of an event beside its text.
const EVENT_OVERHEAD_BYTES: usize = 57;

fn whole_response(status: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// A request that a server has received.
struct ReceivedRequest {
    line: String,
    id: String,
    plan: ResponsePlan,
    body: Vec<u8>,
}

impl ReceivedRequest {
    /// Returns the first request in `bytes` and its length; `None` if it is incomplete.
    fn parse(bytes: &[u8]) -> Option<(usize, ReceivedRequest)> {
        let head_length = bytes
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END)?;
        let head = String::from_utf8_lossy(&bytes[..head_length]).into_owned();
        let value = |name: &str| {
            head.lines().find_map(|line| {
                let (field, value) = line.split_once(':')?;
                field
                    .eq_ignore_ascii_case(name)
                    .then(|| value.trim().to_owned())
            })
        };
        let body_start = head_length + HEAD_END.len();
        let body_length: usize = value("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        let body = bytes.get(body_start..body_start + body_length)?;
        let request = ReceivedRequest {
            line: head.lines().next().unwrap_or_default().to_owned(),
            id: value("x-request-id").unwrap_or_default(),
            plan: ResponsePlan::find(body),
            body: body.to_vec(),
        };
        Some((body_start + body_length, request))
    }

    /// Returns the results of a slice of a batch; `None` if this is a chat request.
    fn batch_results(&self) -> Option<String> {
        if !self.line.contains("/embeddings") {
            return None;
        }
        let body: Value = serde_json::from_slice(&self.body).ok()?;
        let count = body["input"].as_array().map_or(1, Vec::len);
        let results: Vec<Value> = (0..count)
            .map(|index| json!({"index": index, "embedding": [0.5, 0.25]}))
            .collect();
        let usage = json!({"prompt_tokens": count, "total_tokens": count});
        Some(json!({"data": results, "usage": usage}).to_string())
    }
}
