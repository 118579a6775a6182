//! The parts of HTTP/1.1 that the stand-ins need.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a message: its first line and its headers, with names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding") == Some("chunked")
    }

    fn length(&self) -> Option<usize> {
        self.header("content-length")?.trim().parse().ok()
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Why a message could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Closed,
    Reset,
    TimedOut,
    Malformed,
}

/// A connection with a read buffer.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// When the first byte of the message that is being read arrived.
    pub first_byte: Instant,
    /// When data last arrived.
    pub last_byte: Instant,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffer: Vec::new(),
            first_byte: Instant::now(),
            last_byte: Instant::now(),
        }
    }

    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        Ok(Connection::new(stream))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more data into the buffer.
    fn fill(&mut self, until: Option<Instant>) -> Result<(), End> {
        let timeout = match until {
            None => None,
            Some(until) => {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(End::TimedOut);
                }
                Some(left)
            }
        };
        let _ = self.stream.set_read_timeout(timeout);
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(0) => Err(End::Closed),
            Ok(length) => {
                self.last_byte = Instant::now();
                if self.buffer.is_empty() {
                    self.first_byte = self.last_byte;
                }
                self.buffer.extend_from_slice(&chunk[..length]);
                Ok(())
            }
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock | ErrorKind::TimedOut => Err(End::TimedOut),
                ErrorKind::Interrupted => Ok(()),
                _ => Err(End::Reset),
            },
        }
    }

    fn take_line(&mut self, until: Option<Instant>) -> Result<String, End> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let text = String::from_utf8_lossy(&line);
                return Ok(text.trim_end_matches(['\r', '\n']).to_owned());
            }
            self.fill(until)?;
        }
    }

    fn take_bytes(&mut self, length: usize, until: Option<Instant>) -> Result<Vec<u8>, End> {
        while self.buffer.len() < length {
            self.fill(until)?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    pub fn read_head(&mut self, until: Option<Instant>) -> Result<Head, End> {
        if !self.buffer.is_empty() {
            self.first_byte = Instant::now();
        }
        let first_line = self.take_line(until)?;
        let mut head = Head {
            first_line,
            headers: Vec::new(),
        };
        loop {
            let line = self.take_line(until)?;
            if line.is_empty() {
                return Ok(head);
            }
            let (name, value) = line.split_once(':').ok_or(End::Malformed)?;
            let name = name.trim().to_ascii_lowercase();
            head.headers.push((name, value.trim().to_owned()));
        }
    }

    /// Reads a body to its end; `on_data` sees each part of it.
    pub fn read_body(
        &mut self,
        head: &Head,
        until: Option<Instant>,
        mut on_data: impl FnMut(&[u8]),
    ) -> Result<(), End> {
        if !head.is_chunked() {
            let body = self.take_bytes(head.length().unwrap_or(0), until)?;
            on_data(&body);
            return Ok(());
        }
        loop {
            let line = self.take_line(until)?;
            let size = line.split(';').next().unwrap_or("").trim().to_owned();
            let size = usize::from_str_radix(&size, 16).map_err(|_| End::Malformed)?;
            let data = self.take_bytes(size, until)?;
            self.take_line(until)?;
            if size == 0 {
                return Ok(());
            }
            on_data(&data);
        }
    }

    /// Whether the other side has closed the connection.
    pub fn is_closed_by_peer(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(length) => length == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }
}

/// A whole response.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// `None` if the body is complete.
    pub broken: Option<End>,
}

/// Reads a response. The body may be broken; an error means that there was no head.
pub fn read_response(connection: &mut Connection, until: Instant) -> Result<Response, End> {
    let head = connection.read_head(Some(until))?;
    let mut body = Vec::new();
    let read = connection.read_body(&head, Some(until), |data| body.extend_from_slice(data));
    Ok(Response {
        status: head.status(),
        head,
        body,
        broken: read.err(),
    })
}
