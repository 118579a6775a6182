//! Where one message of a connection ends and the next begins, seen among the bytes that come in. The library
//! behind both sides reads the messages; this guards against what it lets pass: a request with both a length and
//! an encoding, of which two readers may take two ends, and so one that hides another in its body; and a part of
//! an answer that is said to be larger than any can be, and keeps coming.

/// As much of a line as is kept: all that matters is shorter.
const LINE_MOST: usize = 128;
/// The most that one part of an answer may hold.
const PART_MOST: u64 = 4 * 1024 * 1024;

/// Follows heads, lengths of bodies and, of answers, sizes of parts. It reads nothing else.
pub struct Framing {
    answers: bool,
    at: At,
    /// The line that is coming, and the status of the head that is, once it has a first line.
    line: Vec<u8>,
    begun: Option<u16>,
    length: Option<u64>,
    encoded: bool,
    ambiguous: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum At {
    Head,
    /// So much of a body is to come.
    Body(u64),
    /// The line with a part's size is to come, or so much of the part, or what follows the last.
    Size,
    Part(u64),
    Trailer,
    /// The end of this message is the connection's, or not followed.
    Last,
    Spoilt,
}

impl Framing {
    /// Follows what clients send. An encoded body is not followed: its request is the connection's last.
    pub fn of_requests() -> Framing {
        Framing {
            answers: false,
            at: At::Head,
            line: Vec::new(),
            begun: None,
            length: None,
            encoded: false,
            ambiguous: false,
        }
    }

    /// Follows what workers send.
    pub fn of_answers() -> Framing {
        Framing {
            answers: true,
            ..Framing::of_requests()
        }
    }

    /// Takes what has come in.
    pub fn take(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.at {
                At::Last | At::Spoilt => return,
                At::Body(left) | At::Part(left) => {
                    let here = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
                    bytes = &bytes[here..];
                    let left = left - here as u64;
                    self.at = match self.at {
                        At::Body(_) if left == 0 => At::Head,
                        At::Body(_) => At::Body(left),
                        _ if left == 0 => At::Size,
                        _ => At::Part(left),
                    };
                }
                At::Head | At::Size | At::Trailer => {
                    let end = bytes.iter().position(|b| *b == b'\n');
                    let part = &bytes[..end.unwrap_or(bytes.len())];
                    self.line
                        .extend(part.iter().take(LINE_MOST - self.line.len()));
                    bytes = end.map_or(&[], |end| &bytes[end + 1..]);
                    if end.is_some() {
                        let line = std::mem::take(&mut self.line);
                        self.take_line(line.trim_ascii());
                    }
                }
            }
        }
    }

    fn take_line(&mut self, line: &[u8]) {
        let text = std::str::from_utf8(line).unwrap_or("");
        match self.at {
            At::Size => {
                let size = text
                    .split(';')
                    .next()
                    .map(|size| u64::from_str_radix(size.trim(), 16));
                self.at = match size {
                    Some(Ok(0)) => At::Trailer,
                    // A part ends with an end of line.
                    Some(Ok(size)) if size <= PART_MOST => At::Part(size + 2),
                    _ => At::Spoilt,
                };
            }
            At::Trailer if line.is_empty() => self.at = At::Head,
            At::Head if line.is_empty() => {
                if let Some(status) = self.begun.take() {
                    self.end_head(status);
                }
            }
            At::Head if self.begun.is_none() => {
                self.begun = Some(
                    text.split(' ')
                        .nth(1)
                        .and_then(|s| s.parse().ok())
                        .unwrap_or(0),
                );
            }
            At::Head => {
                let (name, value) = text.split_once(':').unwrap_or_default();
                if name.trim().eq_ignore_ascii_case("content-length") {
                    // What is no number is refused by whoever reads the head.
                    self.length = Some(value.trim().parse().unwrap_or(0));
                } else if name.trim().eq_ignore_ascii_case("transfer-encoding") {
                    self.encoded = true;
                }
            }
            _ => {}
        }
    }

    fn end_head(&mut self, status: u16) {
        let (length, encoded) = (self.length.take(), std::mem::take(&mut self.encoded));
        self.ambiguous |= encoded && length.is_some();
        self.at = match length {
            _ if self.answers && (status < 200 || status == 204 || status == 304) => At::Head,
            _ if self.answers && encoded => At::Size,
            _ if encoded => At::Last,
            Some(0) => At::Head,
            Some(length) => At::Body(length),
            None if self.answers => At::Last,
            None => At::Head,
        };
    }

    /// Whether no part of a message has come since the last one ended.
    pub fn is_between(&self) -> bool {
        self.at == At::Head && self.begun.is_none() && self.line.is_empty()
    }

    /// Whether part of a head is here.
    pub fn is_in_head(&self) -> bool {
        self.at == At::Head && !self.is_between()
    }

    /// Whether a part of an answer, or its size, has begun and not ended.
    pub fn is_in_part(&self) -> bool {
        matches!(self.at, At::Part(_)) || (self.at == At::Size && !self.line.is_empty())
    }

    /// Whether a message has come whose end is in doubt.
    pub fn is_ambiguous(&self) -> bool {
        self.ambiguous
    }

    /// Whether no further message can be told from this one.
    pub fn is_last(&self) -> bool {
        self.at == At::Last
    }

    /// Whether something has come that no message can hold.
    pub fn is_spoilt(&self) -> bool {
        self.at == At::Spoilt
    }
}

#[cfg(test)]
mod tests;
