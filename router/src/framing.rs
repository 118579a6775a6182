//! Where one request of a client ends and the next begins, seen among the bytes that come in. Guards against
//! what the library behind the fronts lets pass: a request with both a length and an encoding, of which two
//! readers may take two ends, and so one that hides another in its body.

/// As much of a line as is kept: all that matters is shorter.
const LINE_MOST: usize = 128;

/// Follows the heads and the lengths of bodies. It reads nothing else.
#[derive(Default)]
pub struct Framing {
    at: At,
    /// The line that is coming, and whether its head has had one before.
    line: Vec<u8>,
    begun: bool,
    length: Option<u64>,
    encoded: bool,
    ambiguous: bool,
}

#[derive(Clone, Copy, Default)]
enum At {
    #[default]
    Head,
    /// So much of a body is to come.
    Body(u64),
    /// An encoded body is not followed: its request is the connection's last.
    Lost,
}

impl Framing {
    /// Takes what has come in.
    pub fn take(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.at {
                At::Lost => return,
                At::Body(left) => {
                    let here = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
                    bytes = &bytes[here..];
                    let left = left - here as u64;
                    self.at = if left == 0 { At::Head } else { At::Body(left) };
                }
                At::Head => {
                    let end = bytes.iter().position(|b| *b == b'\n');
                    let part = &bytes[..end.unwrap_or(bytes.len())];
                    self.line.extend(part.iter().take(LINE_MOST - self.line.len()));
                    bytes = end.map_or(&[], |end| &bytes[end + 1..]);
                    if end.is_some() {
                        self.end_line();
                    }
                }
            }
        }
    }

    fn end_line(&mut self) {
        let line = self.line.trim_ascii();
        if line.is_empty() && self.begun {
            self.end_head();
        } else if !line.is_empty() {
            self.begun = true;
            let mut halves = line.splitn(2, |b| *b == b':');
            let (name, value) = (halves.next().unwrap_or_default(), halves.next());
            let is = |word: &str| value.is_some() && name.trim_ascii().eq_ignore_ascii_case(word.as_bytes());
            if is("content-length") {
                let digits = value.and_then(|v| std::str::from_utf8(v.trim_ascii()).ok());
                // What is no number is refused by whoever reads the head.
                self.length = digits.and_then(|d| d.parse().ok()).or(Some(0));
            } else if is("transfer-encoding") {
                self.encoded = true;
            }
        }
        self.line.clear();
    }

    fn end_head(&mut self) {
        self.begun = false;
        let (length, encoded) = (self.length.take(), std::mem::take(&mut self.encoded));
        self.ambiguous |= encoded && length.is_some();
        self.at = match length.filter(|n| *n > 0) {
            _ if encoded => At::Lost,
            Some(length) => At::Body(length),
            None => At::Head,
        };
    }

    /// Whether no part of a request has come since the last one ended.
    pub fn is_between(&self) -> bool {
        matches!(self.at, At::Head) && !self.begun && self.line.is_empty()
    }

    /// Whether a request has come whose end is in doubt.
    pub fn is_ambiguous(&self) -> bool {
        self.ambiguous
    }

    /// Whether the request after this one can still be told apart.
    pub fn is_lost(&self) -> bool {
        matches!(self.at, At::Lost)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn after(bytes: &[u8], split: usize) -> (bool, bool, bool) {
        let mut framing = Framing::default();
        framing.take(&bytes[..split]);
        framing.take(&bytes[split..]);
        (framing.is_between(), framing.is_lost(), framing.is_ambiguous())
    }

    /// Guards against a hidden request: whichever header comes first, however written, wherever reads split.
    #[test]
    fn a_length_beside_an_encoding_is_seen_and_a_body_is_not_taken_for_a_head() {
        const BOTH: &str = "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n";
        for (text, between, lost, ambiguous) in [
            (format!("POST /x HTTP/1.1\r\n{BOTH}"), false, true, true),
            ("POST /x HTTP/1.1\nTRANSFER-Encoding:chunked\nContent-LENGTH:3\n\n".into(), false, true, true),
            (
                "\r\nPOST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".into(),
                false,
                true,
                false,
            ),
            (format!("POST /x HTTP/1.1\r\nContent-Length: {}\r\n\r\n{BOTH}", BOTH.len()), true, false, false),
            ("GET /x HTTP/1.1\r\n\r\nGET /y HTTP/1.1\r\n\r\n".into(), true, false, false),
            (format!("GET /x HTTP/1.1\r\n\r\nPOST /x HTTP/1.1\r\n{BOTH}"), false, true, true),
            ("GET /x HTTP/1.1\r\nContent-Length: 5\r\n\r\n1234".into(), false, false, false),
            ("GET /x HT".into(), false, false, false),
        ] {
            for split in 0..=text.len() {
                let seen = after(text.as_bytes(), split);
                assert_eq!(seen, (between, lost, ambiguous), "{text:?} split at {split}");
            }
        }
    }
}
