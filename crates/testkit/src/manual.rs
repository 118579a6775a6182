//! A server whose connections a test drives by hand: each step happens when the test says so, so that a rare order
//! of events happens every time.

use std::net::SocketAddr;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use crate::discovery::line_at;

/// The head of an answer that streams events.
pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
/// The end of a chunked body.
pub const LAST_CHUNK: &str = "0\r\n\r\n";
/// A reader's answer: the prompt has been read.
pub const READ: &str = "HTTP/1.1 202 Accepted\r\ncontent-length: 19\r\n\r\n{\"cached_tokens\":0}";

/// A chunk of a chunked body.
pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// A server that does nothing by itself.
pub struct ManualServer {
    pub address: SocketAddr,
    listener: TcpListener,
}

impl ManualServer {
    pub async fn start() -> ManualServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        ManualServer {
            address: listener.local_addr().unwrap(),
            listener,
        }
    }

    /// Its line of the list.
    pub fn line(&self, kind: &str, status: &str) -> Value {
        line_at(self.address, kind, status)
    }

    /// The next connection.
    pub async fn accept(&self) -> ManualConnection {
        let (stream, _) = self.listener.accept().await.unwrap();
        ManualConnection::new(stream)
    }

    /// The next connection and the first request on it.
    pub async fn accept_request(&self) -> (ManualConnection, String) {
        let mut connection = self.accept().await;
        let request = connection.request().await;
        (connection, request)
    }
}

/// How the other side ended a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// In order, after all that it sent.
    Closed,
    /// By a reset.
    Reset,
}

/// One connection.
pub struct ManualConnection {
    reads: OwnedReadHalf,
    writes: Option<OwnedWriteHalf>,
    received: Vec<u8>,
}

/// The sending side of a connection.
pub struct ManualSender(OwnedWriteHalf);

impl ManualSender {
    /// Sends as much as the other side lets it.
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
        let (reads, writes) = stream.into_split();
        ManualConnection {
            reads,
            writes: Some(writes),
            received: Vec::new(),
        }
    }

    /// The sending side, which may go on in a task of its own. Dropping it ends what is sent.
    pub fn sender(&mut self) -> ManualSender {
        ManualSender(self.writes.take().expect("the sending side has been taken"))
    }

    /// The next whole request, its head and its body.
    pub async fn request(&mut self) -> String {
        loop {
            if let Some(length) = message_length(&self.received) {
                let request: Vec<u8> = self.received.drain(..length).collect();
                return String::from_utf8(request).unwrap();
            }
            let read = self.reads.read_buf(&mut self.received).await.unwrap();
            assert!(read > 0, "the connection ended before a whole request");
        }
    }

    pub async fn send(&mut self, text: &str) {
        self.writes
            .as_mut()
            .expect("the sending side has been taken")
            .write_all(text.as_bytes())
            .await
            .unwrap();
    }

    /// Reads until `text` has come; returns what came up to its end.
    pub async fn until(&mut self, text: &str) -> String {
        let wanted = text.as_bytes();
        let mut searched = 0;
        loop {
            let found = self.received[searched..]
                .windows(wanted.len())
                .position(|part| part == wanted);
            if let Some(at) = found {
                let said: Vec<u8> = self
                    .received
                    .drain(..searched + at + wanted.len())
                    .collect();
                return String::from_utf8_lossy(&said).into_owned();
            }
            searched = self.received.len().saturating_sub(wanted.len());
            let read = self.reads.read_buf(&mut self.received).await.unwrap();
            assert!(
                read > 0,
                "the connection ended before {text:?}: {:?}",
                self.take_received()
            );
        }
    }

    /// Whether anything has come that was not read yet. Does not wait.
    pub fn has_received(&mut self) -> bool {
        let mut buffer = [0; 1024];
        if let Ok(length) = self.reads.try_read(&mut buffer) {
            self.received.extend_from_slice(&buffer[..length]);
        }
        !self.received.is_empty()
    }

    /// Reads to the end: what was still said, and how the connection ended.
    pub async fn end(&mut self) -> (String, End) {
        loop {
            match self.reads.read_buf(&mut self.received).await {
                Ok(0) => return (self.take_received(), End::Closed),
                Ok(_) => {}
                Err(_) => return (self.take_received(), End::Reset),
            }
        }
    }

    fn take_received(&mut self) -> String {
        String::from_utf8_lossy(&std::mem::take(&mut self.received)).into_owned()
    }

    /// Ends the connection by a reset.
    pub fn reset(self) {
        self.reads.as_ref().set_zero_linger().unwrap();
    }
}

/// How long the first message is, once all of it is here.
fn message_length(bytes: &[u8]) -> Option<usize> {
    let head = bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase();
    let body = text
        .split("content-length: ")
        .nth(1)
        .and_then(|rest| rest.lines().next());
    let length = head + body.map_or(0, |length| length.parse().unwrap());
    (bytes.len() >= length).then_some(length)
}
