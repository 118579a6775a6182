//! A server whose connections a test controls step by step, so that a rare order of events can be
//! reproduced in each run.

use std::net::SocketAddr;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use crate::endpoint_entry::endpoint_entry_at;

/// The bytes that end the head of an HTTP message.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The head of a response that streams events.
pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
/// The end of a chunked body.
pub const LAST_CHUNK: &str = "0\r\n\r\n";
/// The response of a prefill endpoint that has processed the prompt.
pub const PREFILL_RESPONSE: &str =
    "HTTP/1.1 202 Accepted\r\ncontent-length: 19\r\n\r\n{\"cached_tokens\":0}";

/// Encodes `data` as one chunk of a chunked body.
pub fn encode_chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// A server that accepts connections and responds only when the test calls for it.
pub struct ManualServer {
    /// The address on which the server listens.
    pub address: SocketAddr,
    listener: TcpListener,
}

impl ManualServer {
    /// Starts a server on a free port.
    pub async fn start() -> ManualServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        ManualServer {
            address: listener.local_addr().unwrap(),
            listener,
        }
    }

    /// Returns the endpoint list entry of this server. `server_type` and `status` are values of the
    /// wire format, such as `mixed` and `up`.
    pub fn endpoint_entry(&self, server_type: &str, status: &str) -> Value {
        endpoint_entry_at(self.address, server_type, status)
    }

    /// Accepts the next connection.
    pub async fn accept(&self) -> ManualConnection {
        let (stream, _) = self.listener.accept().await.unwrap();
        ManualConnection::new(stream)
    }

    /// Accepts the next connection and receives the first request on it.
    pub async fn accept_request(&self) -> (ManualConnection, String) {
        let mut connection = self.accept().await;
        let request = connection.receive_request().await;
        (connection, request)
    }
}

/// How the peer ended a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The peer closed the connection in order, after the last byte that it had sent.
    Closed,
    /// The connection was reset.
    Reset,
}

/// A connection that a test reads and writes step by step.
pub struct ManualConnection {
    reader: OwnedReadHalf,
    /// The sending side; `None` after `sender` has taken it.
    writer: Option<OwnedWriteHalf>,
    /// Bytes that were received but not yet returned.
    received: Vec<u8>,
}

/// The sending side of a connection.
pub struct ManualSender(OwnedWriteHalf);

impl ManualSender {
    /// Sends a text. An error, such as a connection that the peer has closed, is ignored.
    pub async fn send_until_closed(&mut self, text: &str) {
        let _ = self.0.write_all(text.as_bytes()).await;
    }
}

impl ManualConnection {
    /// Connects to a router.
    pub async fn connect(address: SocketAddr) -> ManualConnection {
        ManualConnection::new(TcpStream::connect(address).await.unwrap())
    }

    fn new(stream: TcpStream) -> ManualConnection {
        stream.set_nodelay(true).unwrap();
        let (reader, writer) = stream.into_split();
        ManualConnection {
            reader,
            writer: Some(writer),
            received: Vec::new(),
        }
    }

    /// Takes the sending side so that another task can use it. Dropping the sender closes it.
    pub fn sender(&mut self) -> ManualSender {
        ManualSender(
            self.writer
                .take()
                .expect("the sending side was already taken by `sender`"),
        )
    }

    /// Receives the next request and returns its head and its body.
    pub async fn receive_request(&mut self) -> String {
        loop {
            if let Some(length) = message_length(&self.received) {
                let request: Vec<u8> = self.received.drain(..length).collect();
                return String::from_utf8(request).unwrap();
            }
            let read = self.reader.read_buf(&mut self.received).await.unwrap();
            assert!(
                read > 0,
                "the connection was closed before a complete request was received"
            );
        }
    }

    /// Sends a text.
    pub async fn send(&mut self, text: &str) {
        self.writer
            .as_mut()
            .expect("the sending side was already taken by `sender`")
            .write_all(text.as_bytes())
            .await
            .unwrap();
    }

    /// Reads until `text` is received, and returns all data up to the end of `text`.
    pub async fn read_until(&mut self, text: &str) -> String {
        let pattern = text.as_bytes();
        let mut searched = 0;
        loop {
            let found = self.received[searched..]
                .windows(pattern.len())
                .position(|window| window == pattern);
            if let Some(at) = found {
                let received: Vec<u8> = self
                    .received
                    .drain(..searched + at + pattern.len())
                    .collect();
                return String::from_utf8_lossy(&received).into_owned();
            }
            searched = self.received.len().saturating_sub(pattern.len());
            let read = self.reader.read_buf(&mut self.received).await.unwrap();
            assert!(
                read > 0,
                "the connection was closed before {text:?} was received; received: {:?}",
                self.take_received()
            );
        }
    }

    /// Returns without waiting whether there is received data that the test has not read yet.
    pub fn has_received(&mut self) -> bool {
        let mut buffer = [0; 1024];
        if let Ok(length) = self.reader.try_read(&mut buffer) {
            self.received.extend_from_slice(&buffer[..length]);
        }
        !self.received.is_empty()
    }

    /// Reads until the connection ends, and returns the remaining data and how it ended.
    pub async fn read_to_end(&mut self) -> (String, ConnectionEnd) {
        loop {
            match self.reader.read_buf(&mut self.received).await {
                Ok(0) => return (self.take_received(), ConnectionEnd::Closed),
                Ok(_) => {}
                Err(_) => return (self.take_received(), ConnectionEnd::Reset),
            }
        }
    }

    fn take_received(&mut self) -> String {
        String::from_utf8_lossy(&std::mem::take(&mut self.received)).into_owned()
    }

    /// Resets the connection.
    pub fn reset(self) {
        self.reader.as_ref().set_zero_linger().unwrap();
    }
}

/// Returns the length of the first message in `bytes`, or `None` if it is incomplete.
fn message_length(bytes: &[u8]) -> Option<usize> {
    let body_start = bytes
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)?
        + HEAD_END.len();
    let text = String::from_utf8_lossy(&bytes[..body_start]).to_ascii_lowercase();
    let body = text
        .split("content-length: ")
        .nth(1)
        .and_then(|rest| rest.lines().next());
    let length = body_start + body.map_or(0, |length| length.parse().unwrap());
    (bytes.len() >= length).then_some(length)
}
