//! A proxy that subscribes to the control service: gRPC over HTTP/2, as far as the aggregated
//! discovery service needs it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const PATH: &str =
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
const ENDPOINTS: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RESET: u8 = 3;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const GO_AWAY: u8 = 7;
const ACK: u8 = 1;
const END_HEADERS: u8 = 4;
const STREAM: u32 = 1;

/// The health of an endpoint as xDS numbers it.
pub const HEALTHY: u64 = 1;

/// One endpoint of a view: its address, and its health.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    pub address: String,
    pub health: u64,
}

/// An open subscription to the endpoints of clusters.
pub struct Proxy {
    stream: TcpStream,
    frames: Vec<u8>,
    messages: Vec<u8>,
    clusters: Vec<String>,
}

fn varint(mut value: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    while value >= 0x80 {
        bytes.push(value as u8 | 0x80);
        value >>= 7;
    }
    bytes.push(value as u8);
    bytes
}

fn text_field(number: u64, text: &str) -> Vec<u8> {
    let mut bytes = varint(number << 3 | 2);
    bytes.extend(varint(text.len() as u64));
    bytes.extend(text.as_bytes());
    bytes
}

/// A field of a protobuf message: a number, or bytes.
enum Field<'a> {
    Number(u64),
    Bytes(&'a [u8]),
}

/// The fields of a protobuf message, with their numbers.
fn fields(mut rest: &[u8]) -> Vec<(u64, Field<'_>)> {
    fn take_varint(rest: &mut &[u8]) -> Option<u64> {
        let mut value = 0;
        for shift in (0..64).step_by(7) {
            let (byte, left) = rest.split_first()?;
            *rest = left;
            value |= u64::from(byte & 0x7f) << shift;
            if byte & 0x80 == 0 {
                return Some(value);
            }
        }
        None
    }
    let mut found = Vec::new();
    while let Some(key) = take_varint(&mut rest) {
        let field = match key & 7 {
            0 => take_varint(&mut rest).map(Field::Number),
            2 => take_varint(&mut rest).and_then(|length| {
                let (bytes, left) = rest.split_at_checked(length as usize)?;
                rest = left;
                Some(Field::Bytes(bytes))
            }),
            1 | 5 => {
                let length = if key & 7 == 1 { 8 } else { 4 };
                rest.split_at_checked(length).map(|(bytes, left)| {
                    rest = left;
                    Field::Bytes(bytes)
                })
            }
            _ => None,
        };
        match field {
            Some(field) => found.push((key >> 3, field)),
            None => break,
        }
    }
    found
}

fn parts(message: &[u8], number: u64) -> Vec<&[u8]> {
    let parts = fields(message)
        .into_iter()
        .filter_map(|(n, field)| match field {
            Field::Bytes(bytes) if n == number => Some(bytes),
            _ => None,
        });
    parts.collect()
}

fn number(message: &[u8], number: u64) -> u64 {
    let found = fields(message)
        .into_iter()
        .find_map(|(n, field)| match field {
            Field::Number(value) if n == number => Some(value),
            _ => None,
        });
    found.unwrap_or(0)
}

fn text(message: &[u8], number: u64) -> String {
    let part = parts(message, number).first().copied().unwrap_or(&[]);
    String::from_utf8_lossy(part).into_owned()
}

/// The endpoints of a `ClusterLoadAssignment`.
fn listed(assignment: &[u8]) -> Vec<Listed> {
    let mut found = Vec::new();
    for locality in parts(assignment, 2) {
        for endpoint in parts(locality, 2) {
            let address = parts(endpoint, 1);
            let address = address.first().map_or(vec![], |e| parts(e, 1));
            let address = address.first().map_or(vec![], |a| parts(a, 1));
            if let Some(socket) = address.first() {
                found.push(Listed {
                    address: format!("{}:{}", text(socket, 2), number(socket, 3)),
                    health: number(endpoint, 2),
                });
            }
        }
    }
    found
}

impl Proxy {
    /// Connects and subscribes to the endpoints of clusters.
    pub fn subscribe(address: SocketAddr, clusters: &[&str]) -> io::Result<Proxy> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let mut proxy = Proxy {
            stream,
            frames: Vec::new(),
            messages: Vec::new(),
            clusters: clusters.iter().map(|name| (*name).to_owned()).collect(),
        };
        proxy.stream.write_all(PREFACE)?;
        proxy.send_frame(SETTINGS, 0, 0, &[])?;
        let mut headers = Vec::new();
        for (name, value) in [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", PATH),
            (":authority", "control"),
            ("content-type", "application/grpc"),
            ("te", "trailers"),
        ] {
            // A literal without indexing, with a new name. All lengths are under 127.
            headers.push(0);
            headers.push(name.len() as u8);
            headers.extend(name.as_bytes());
            headers.push(value.len() as u8);
            headers.extend(value.as_bytes());
        }
        proxy.send_frame(HEADERS, END_HEADERS, STREAM, &headers)?;
        proxy.request("", "")?;
        Ok(proxy)
    }

    fn send_frame(&mut self, kind: u8, flags: u8, stream: u32, payload: &[u8]) -> io::Result<()> {
        let length = (payload.len() as u32).to_be_bytes();
        let mut frame = length[1..].to_vec();
        frame.extend([kind, flags]);
        frame.extend(stream.to_be_bytes());
        frame.extend(payload);
        self.stream.write_all(&frame)
    }

    /// Sends a discovery request: the first one, or an acknowledgement.
    fn request(&mut self, version: &str, nonce: &str) -> io::Result<()> {
        let node = text_field(1, "proxy");
        let mut message = text_field(1, version);
        message.extend(varint(2 << 3 | 2));
        message.extend(varint(node.len() as u64));
        message.extend(node);
        for cluster in &self.clusters {
            message.extend(text_field(3, cluster));
        }
        message.extend(text_field(4, ENDPOINTS));
        if !nonce.is_empty() {
            message.extend(text_field(5, nonce));
        }
        let mut data = vec![0];
        data.extend((message.len() as u32).to_be_bytes());
        data.extend(message);
        self.send_frame(DATA, 0, STREAM, &data)
    }

    /// Waits for the next view of the endpoints; `None` if none comes until then.
    pub fn next_view(&mut self, until: Instant) -> io::Result<Option<Vec<Listed>>> {
        loop {
            if let Some(response) = self.take_message() {
                let (version, nonce) = (text(&response, 1), text(&response, 5));
                self.request(&version, &nonce)?;
                let mut view = Vec::new();
                for resource in parts(&response, 2) {
                    for assignment in parts(resource, 2) {
                        view.extend(listed(assignment));
                    }
                }
                return Ok(Some(view));
            }
            if !self.read_frame(until)? {
                return Ok(None);
            }
        }
    }

    /// Takes a whole gRPC message out of the data that has arrived.
    fn take_message(&mut self) -> Option<Vec<u8>> {
        let length = self.messages.get(1..5)?;
        let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
        if self.messages.len() < 5 + length {
            return None;
        }
        let message: Vec<u8> = self.messages.drain(..5 + length).collect();
        Some(message[5..].to_vec())
    }

    /// Reads a frame. Returns false if none comes until then.
    fn read_frame(&mut self, until: Instant) -> io::Result<bool> {
        loop {
            if let Some(frame) = self.take_frame() {
                let (kind, flags, payload) = frame;
                match kind {
                    DATA => self.messages.extend(payload),
                    SETTINGS if flags & ACK == 0 => self.send_frame(SETTINGS, ACK, 0, &[])?,
                    PING if flags & ACK == 0 => self.send_frame(PING, ACK, 0, &payload)?,
                    RESET | GO_AWAY => return Err(io::Error::other("the control service ended")),
                    _ => {}
                }
                return Ok(true);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(false);
            }
            self.stream.set_read_timeout(Some(left))?;
            let mut chunk = [0; 16 * 1024];
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(io::Error::other("the control service closed")),
                Ok(length) => self.frames.extend(&chunk[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) => return Err(error),
            }
        }
    }

    fn take_frame(&mut self) -> Option<(u8, u8, Vec<u8>)> {
        let head = self.frames.get(..9)?;
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
        let (kind, flags) = (head[3], head[4]);
        if self.frames.len() < 9 + length {
            return None;
        }
        let frame: Vec<u8> = self.frames.drain(..9 + length).collect();
        Some((kind, flags, frame[9..].to_vec()))
    }
}
