//! Finds where HTTP/1 messages begin and end among the bytes that arrive on a connection.
//!
//! The HTTP library decodes the messages. This module detects two kinds of message that the library
//! accepts but the router must not: a request with both a content length and a transfer encoding,
//! whose end two servers may see at different bytes (request smuggling), and a response with a
//! chunk that exceeds [`CHUNK_BYTES_LIMIT`], as no valid chunk does.

/// Maximum number of bytes of a line that are stored. The rest of a longer line is ignored, and the
/// line is parsed as if it ended there.
const LINE_BYTES_LIMIT: usize = 128;
/// Maximum size of a chunk of a response, in bytes.
const CHUNK_BYTES_LIMIT: u64 = 4 * 1024 * 1024;
/// Length of the line end after a chunk, in bytes.
const CHUNK_END_BYTES: u64 = 2;

/// Tracks the heads and bodies of the messages in one direction of a connection.
pub(crate) struct Framing {
    kind: MessageKind,
    position: Position,
    /// The part of the current line that has arrived.
    line: Vec<u8>,
    head: Head,
    ambiguous: bool,
    /// Number of heads that have arrived.
    heads: u64,
    /// Number of bytes that have arrived.
    bytes: u64,
    /// The position after the last complete message.
    last_end: MessageEnd,
}

/// A position between two messages.
#[derive(Clone, Copy, Default)]
struct MessageEnd {
    /// Number of bytes before it.
    bytes: u64,
    /// Number of heads before it.
    heads: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum MessageKind {
    Request,
    Response,
}

/// The part of a message to which the next byte belongs.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Position {
    Head,
    Body {
        bytes_left: u64,
    },
    /// The line with the size of a chunk.
    ChunkSize,
    /// A chunk and the line end after it.
    Chunk {
        bytes_left: u64,
    },
    Trailer,
    /// A message that ends when the connection is closed, or whose end is not tracked.
    LastMessage,
    /// The bytes that have arrived are not a valid message.
    Invalid,
}

/// The fields that matter here of a message head, as far as it has arrived.
#[derive(Default)]
struct Head {
    /// The status code of a response, or 0 for a request and for a status that cannot be parsed. It
    /// is absent until the first line has arrived.
    status: Option<u16>,
    content_length: Option<u64>,
    has_transfer_encoding: bool,
}

impl Framing {
    /// Creates a tracker of requests. It does not track a body with a transfer encoding: the
    /// request counts as the last one on the connection.
    pub(crate) fn of_requests() -> Framing {
        Framing::new(MessageKind::Request)
    }

    /// Creates a tracker of responses.
    pub(crate) fn of_responses() -> Framing {
        Framing::new(MessageKind::Response)
    }

    fn new(kind: MessageKind) -> Framing {
        Framing {
            kind,
            position: Position::Head,
            line: Vec::new(),
            head: Head::default(),
            ambiguous: false,
            heads: 0,
            bytes: 0,
            last_end: MessageEnd::default(),
        }
    }

    /// Processes bytes that have arrived.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        let mut rest = bytes;
        while !rest.is_empty() {
            rest = match self.position {
                Position::LastMessage | Position::Invalid => break,
                Position::Body { bytes_left } => self.push_body(bytes_left, rest),
                Position::Chunk { bytes_left } => self.push_chunk(bytes_left, rest),
                Position::Head | Position::ChunkSize | Position::Trailer => self.push_line(rest),
            };
            if self.is_between_messages() {
                self.last_end = MessageEnd {
                    bytes: self.bytes + (bytes.len() - rest.len()) as u64,
                    heads: self.heads,
                };
            }
        }
        self.bytes += bytes.len() as u64;
    }

    /// Skips the bytes that belong to the body, and returns the bytes after it.
    fn push_body<'a>(&mut self, bytes_left: u64, bytes: &'a [u8]) -> &'a [u8] {
        let (bytes_left, rest) = skip(bytes_left, bytes);
        self.position = if bytes_left == 0 {
            Position::Head
        } else {
            Position::Body { bytes_left }
        };
        rest
    }

    /// Skips the bytes that belong to the chunk, and returns the bytes after it.
    fn push_chunk<'a>(&mut self, bytes_left: u64, bytes: &'a [u8]) -> &'a [u8] {
        let (bytes_left, rest) = skip(bytes_left, bytes);
        self.position = if bytes_left == 0 {
            Position::ChunkSize
        } else {
            Position::Chunk { bytes_left }
        };
        rest
    }

    /// Adds bytes to the current line, and processes the line once it is complete. Returns the
    /// bytes after the line.
    fn push_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let line_end = bytes.iter().position(|byte| *byte == b'\n');
        let line_part = &bytes[..line_end.unwrap_or(bytes.len())];
        let Some(line_end) = line_end else {
            self.store_line_part(line_part);
            return &[];
        };
        if self.line.is_empty() {
            let length = line_part.len().min(LINE_BYTES_LIMIT);
            self.finish_line(&line_part[..length]);
        } else {
            self.store_line_part(line_part);
            let line = std::mem::take(&mut self.line);
            self.finish_line(&line);
        }
        &bytes[line_end + 1..]
    }

    fn store_line_part(&mut self, line_part: &[u8]) {
        let room = LINE_BYTES_LIMIT - self.line.len();
        self.line
            .extend_from_slice(&line_part[..line_part.len().min(room)]);
    }

    /// Processes a complete line.
    fn finish_line(&mut self, line: &[u8]) {
        let line = line.trim_ascii();
        match self.position {
            Position::ChunkSize => self.parse_chunk_size(text_of(line)),
            Position::Trailer if line.is_empty() => self.position = Position::Head,
            Position::Head if line.is_empty() => self.finish_head(),
            Position::Head => self.head.parse_line(line),
            _ => {}
        }
    }

    fn parse_chunk_size(&mut self, line: &str) {
        let size = line.split(';').next().unwrap_or("");
        self.position = match u64::from_str_radix(size.trim(), 16) {
            Ok(0) => Position::Trailer,
            Ok(size) if size <= CHUNK_BYTES_LIMIT => Position::Chunk {
                bytes_left: size + CHUNK_END_BYTES,
            },
            _ => Position::Invalid,
        };
    }

    /// Processes the blank line that ends a head. A blank line before a head is ignored.
    fn finish_head(&mut self) {
        let Some(status) = self.head.status else {
            return;
        };
        let head = std::mem::take(&mut self.head);
        self.heads += 1;
        self.ambiguous |= head.has_transfer_encoding && head.content_length.is_some();
        self.position = match self.kind {
            MessageKind::Request => head.position_after_request_head(),
            MessageKind::Response => head.position_after_response_head(status),
        };
    }

    /// Returns whether no part of a message has arrived since the previous message ended.
    pub(crate) fn is_between_messages(&self) -> bool {
        self.position == Position::Head && self.head.status.is_none() && self.line.is_empty()
    }

    /// Returns the number of heads that have arrived.
    pub(crate) fn heads(&self) -> u64 {
        self.heads
    }

    /// Returns the number of heads before the end of the last complete message.
    pub(crate) fn heads_at_last_end(&self) -> u64 {
        self.last_end.heads
    }

    /// Returns the number of bytes that have arrived since the end of the last complete message.
    pub(crate) fn bytes_since_last_end(&self) -> u64 {
        self.bytes - self.last_end.bytes
    }

    /// Returns the number of bytes of the current body that have not arrived yet; `None` if no body
    /// with a content length is arriving.
    pub(crate) fn body_bytes_left(&self) -> Option<u64> {
        match self.position {
            Position::Body { bytes_left } => Some(bytes_left),
            _ => None,
        }
    }

    /// Returns whether a part of a message has arrived whose end is tracked, but not all of it.
    pub(crate) fn is_in_message(&self) -> bool {
        !self.is_between_messages() && !self.is_last_message() && !self.is_invalid()
    }

    /// Returns whether the next byte belongs to a head.
    pub(crate) fn expects_head(&self) -> bool {
        self.position == Position::Head
    }

    /// Returns whether a part of a head, but not all of it, has arrived.
    pub(crate) fn is_in_head(&self) -> bool {
        self.expects_head() && !self.is_between_messages()
    }

    /// Returns whether a part of a response's chunk, or of the line with its size, has arrived, but
    /// not all of it.
    pub(crate) fn is_in_chunk(&self) -> bool {
        match self.position {
            Position::Chunk { .. } => true,
            Position::ChunkSize => !self.line.is_empty(),
            _ => false,
        }
    }

    /// Returns whether a message has arrived whose end is ambiguous: it has both a content length
    /// and a transfer encoding.
    pub(crate) fn has_ambiguous_length(&self) -> bool {
        self.ambiguous
    }

    /// Returns whether the current message ends when the connection is closed, or its end is not
    /// tracked.
    pub(crate) fn is_last_message(&self) -> bool {
        self.position == Position::LastMessage
    }

    /// Returns whether bytes have arrived that are not part of a valid message.
    pub(crate) fn is_invalid(&self) -> bool {
        self.position == Position::Invalid
    }
}

impl Head {
    fn parse_line(&mut self, line: &[u8]) {
        if self.status.is_none() {
            let status = text_of(line)
                .split(' ')
                .nth(1)
                .and_then(|status| status.parse().ok());
            self.status = Some(status.unwrap_or(0));
            return;
        }
        // Most lines are other fields, so their first letter is compared before they are split.
        if !matches!(line.first(), Some(b'c' | b'C' | b't' | b'T')) {
            return;
        }
        let (name, value) = text_of(line).split_once(':').unwrap_or_default();
        if name.trim().eq_ignore_ascii_case("content-length") {
            // The HTTP library rejects a message whose length is not a number.
            self.content_length = Some(value.trim().parse().unwrap_or(0));
        } else if name.trim().eq_ignore_ascii_case("transfer-encoding") {
            self.has_transfer_encoding = true;
        }
    }

    fn position_after_request_head(&self) -> Position {
        match self.content_length {
            _ if self.has_transfer_encoding => Position::LastMessage,
            None | Some(0) => Position::Head,
            Some(bytes_left) => Position::Body { bytes_left },
        }
    }

    fn position_after_response_head(&self, status: u16) -> Position {
        let has_no_body = status < 200 || status == 204 || status == 304;
        match self.content_length {
            _ if has_no_body => Position::Head,
            _ if self.has_transfer_encoding => Position::ChunkSize,
            Some(0) => Position::Head,
            Some(bytes_left) => Position::Body { bytes_left },
            None => Position::LastMessage,
        }
    }
}

/// Returns a line as text, which is empty if the line is not UTF-8.
fn text_of(line: &[u8]) -> &str {
    std::str::from_utf8(line).unwrap_or("")
}

/// Skips up to `bytes_left` bytes. Returns how many are left to skip, and the bytes after the
/// skipped ones.
fn skip(bytes_left: u64, bytes: &[u8]) -> (u64, &[u8]) {
    let skipped = usize::try_from(bytes_left)
        .unwrap_or(usize::MAX)
        .min(bytes.len());
    (bytes_left - skipped as u64, &bytes[skipped..])
}

#[cfg(test)]
mod tests;
