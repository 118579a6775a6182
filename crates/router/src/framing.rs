//! Finds where HTTP/1 messages begin and end among the bytes that arrive on a connection. The HTTP
//! library decodes the messages; this detects what it accepts and this router must not: a request
//! with both a length and a transfer encoding, which two servers may end at different bytes
//! (request smuggling), and a response with a chunk larger than any can be.

/// How much of a line is stored: everything of interest is shorter.
const LINE_BYTES_LIMIT: usize = 128;
/// The most bytes of one chunk of a response.
const CHUNK_BYTES_LIMIT: u64 = 4 * 1024 * 1024;
/// The length of the line end after a chunk.
const CHUNK_END_BYTES: u64 = 2;

/// Follows the heads and bodies of the messages of one direction of a connection.
pub(crate) struct Framing {
    kind: MessageKind,
    position: Position,
    /// The line that is arriving.
    line: Vec<u8>,
    head: Head,
    ambiguous: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum MessageKind {
    Request,
    Response,
}

/// Where in a message the next byte belongs.
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
    /// A message that ends with the connection, or whose end is not followed.
    LastMessage,
    /// What arrived is no valid message.
    Invalid,
}

/// What is known of the head that is arriving.
#[derive(Default)]
struct Head {
    /// The status of a response, 0 for a request or an unreadable one; absent before the first
    /// line.
    status: Option<u16>,
    content_length: Option<u64>,
    has_transfer_encoding: bool,
}

impl Framing {
    /// Follows requests. A body with a transfer encoding is not followed: its request counts as the
    /// connection's last.
    pub(crate) fn of_requests() -> Framing {
        Framing::new(MessageKind::Request)
    }

    /// Follows responses.
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
        }
    }

    /// Follows the bytes that have arrived.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        let mut rest = bytes;
        while !rest.is_empty() {
            rest = match self.position {
                Position::LastMessage | Position::Invalid => return,
                Position::Body { bytes_left } => self.push_body(bytes_left, rest),
                Position::Chunk { bytes_left } => self.push_chunk(bytes_left, rest),
                Position::Head | Position::ChunkSize | Position::Trailer => self.push_line(rest),
            };
        }
    }

    /// Skips what belongs to a body; the rest follows it.
    fn push_body<'a>(&mut self, bytes_left: u64, bytes: &'a [u8]) -> &'a [u8] {
        let (bytes_left, rest) = skip(bytes_left, bytes);
        self.position = if bytes_left == 0 {
            Position::Head
        } else {
            Position::Body { bytes_left }
        };
        rest
    }

    /// Skips what belongs to a chunk; the rest follows it.
    fn push_chunk<'a>(&mut self, bytes_left: u64, bytes: &'a [u8]) -> &'a [u8] {
        let (bytes_left, rest) = skip(bytes_left, bytes);
        self.position = if bytes_left == 0 {
            Position::ChunkSize
        } else {
            Position::Chunk { bytes_left }
        };
        rest
    }

    /// Takes bytes of a line, and follows it once it is complete; the rest follows the line.
    fn push_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let line_end = bytes.iter().position(|byte| *byte == b'\n');
        let part = &bytes[..line_end.unwrap_or(bytes.len())];
        let room = LINE_BYTES_LIMIT - self.line.len();
        self.line.extend(part.iter().take(room));
        let Some(line_end) = line_end else {
            return &[];
        };
        let line = std::mem::take(&mut self.line);
        let line = line.trim_ascii();
        let text = std::str::from_utf8(line).unwrap_or("");
        match self.position {
            Position::ChunkSize => self.end_chunk_size(text),
            Position::Trailer if line.is_empty() => self.position = Position::Head,
            Position::Head if line.is_empty() => self.end_head(),
            Position::Head => self.head.push_line(text),
            _ => {}
        }
        &bytes[line_end + 1..]
    }

    fn end_chunk_size(&mut self, line: &str) {
        let size = line.split(';').next().unwrap_or("");
        self.position = match u64::from_str_radix(size.trim(), 16) {
            Ok(0) => Position::Trailer,
            Ok(size) if size <= CHUNK_BYTES_LIMIT => Position::Chunk {
                bytes_left: size + CHUNK_END_BYTES,
            },
            _ => Position::Invalid,
        };
    }

    /// Follows the blank line after a head; one before a head means nothing.
    fn end_head(&mut self) {
        let Some(status) = self.head.status else {
            return;
        };
        let head = std::mem::take(&mut self.head);
        self.ambiguous |= head.has_transfer_encoding && head.content_length.is_some();
        self.position = match self.kind {
            MessageKind::Request => head.position_after_request(),
            MessageKind::Response => head.position_after_response(status),
        };
    }

    /// Whether no part of a message has arrived since the last one ended.
    pub(crate) fn is_between(&self) -> bool {
        self.position == Position::Head && self.head.status.is_none() && self.line.is_empty()
    }

    /// Whether a part of a head has arrived.
    pub(crate) fn is_in_head(&self) -> bool {
        self.position == Position::Head && !self.is_between()
    }

    /// Whether a chunk of a response, or its size, has begun and not ended.
    pub(crate) fn is_in_chunk(&self) -> bool {
        match self.position {
            Position::Chunk { .. } => true,
            Position::ChunkSize => !self.line.is_empty(),
            _ => false,
        }
    }

    /// Whether a message has arrived whose end is ambiguous.
    pub(crate) fn is_ambiguous(&self) -> bool {
        self.ambiguous
    }

    /// Whether the end of this message is that of the connection, or is not followed.
    pub(crate) fn is_last(&self) -> bool {
        self.position == Position::LastMessage
    }

    /// Whether something has arrived that no valid message contains.
    pub(crate) fn is_invalid(&self) -> bool {
        self.position == Position::Invalid
    }
}

impl Head {
    fn push_line(&mut self, line: &str) {
        if self.status.is_none() {
            let status = line
                .split(' ')
                .nth(1)
                .and_then(|status| status.parse().ok());
            self.status = Some(status.unwrap_or(0));
            return;
        }
        let (name, value) = line.split_once(':').unwrap_or_default();
        if name.trim().eq_ignore_ascii_case("content-length") {
            // The HTTP library rejects a length that is no number.
            self.content_length = Some(value.trim().parse().unwrap_or(0));
        } else if name.trim().eq_ignore_ascii_case("transfer-encoding") {
            self.has_transfer_encoding = true;
        }
    }

    fn position_after_request(&self) -> Position {
        match self.content_length {
            _ if self.has_transfer_encoding => Position::LastMessage,
            None | Some(0) => Position::Head,
            Some(bytes_left) => Position::Body { bytes_left },
        }
    }

    fn position_after_response(&self, status: u16) -> Position {
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

/// Skips up to `bytes_left` bytes: how many are left then, and what follows the skipped ones.
fn skip(bytes_left: u64, bytes: &[u8]) -> (u64, &[u8]) {
    let skipped = usize::try_from(bytes_left)
        .unwrap_or(usize::MAX)
        .min(bytes.len());
    (bytes_left - skipped as u64, &bytes[skipped..])
}

#[cfg(test)]
mod tests;
