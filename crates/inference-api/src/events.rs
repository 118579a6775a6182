//! Server-sent events: splits a stream into complete events and decodes their data.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Byte sequences that terminate an event.
const EVENT_TERMINATORS: [&[u8]; 3] = [b"\n\n", b"\r\n\r\n", b"\r\r"];
/// Maximum number of bytes of a terminator that may have been received before its last byte.
const MAX_PARTIAL_TERMINATOR_BYTES: usize = 3;
/// Data of the last event of a response.
const DONE: &str = "[DONE]";

/// Error for a stream that does not consist of valid events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stream does not consist of valid events")]
pub struct InvalidEventStream;

/// Splits a stream into sequences of complete events, so that no partial event is passed on if the
/// stream is interrupted.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes of the buffer that have been searched for a terminator.
    searched_bytes: usize,
    /// Whether the last event of the response has been received.
    done: bool,
}

impl EventSplitter {
    /// Adds received data. Returns the bytes of all complete events that have not been returned
    /// yet, if there are any.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<Bytes>, InvalidEventStream> {
        self.buffer.extend_from_slice(data);
        let mut complete = 0;
        let mut at = self
            .searched_bytes
            .saturating_sub(MAX_PARTIAL_TERMINATOR_BYTES);
        while at < self.buffer.len() {
            match terminator_length(&self.buffer[at..]) {
                Some(length) => {
                    at += length;
                    self.done |= is_done(&self.buffer[complete..at]);
                    complete = at;
                }
                None => at += 1,
            }
        }
        self.searched_bytes = self.buffer.len() - complete;
        if self.searched_bytes > MAX_EVENT_BYTES {
            return Err(InvalidEventStream);
        }
        if complete == 0 {
            return Ok(None);
        }
        Ok(Some(self.buffer.split_to(complete).freeze()))
    }

    /// Returns whether the last event of the response (`[DONE]`) has been received.
    pub fn is_done(&self) -> bool {
        self.done
    }
}

/// Returns the length of the terminator with which the bytes begin, if they begin with one.
fn terminator_length(bytes: &[u8]) -> Option<usize> {
    let terminator = EVENT_TERMINATORS
        .iter()
        .find(|terminator| bytes.starts_with(terminator))?;
    Some(terminator.len())
}

/// Returns the data of each event in a sequence of complete events, as [`EventSplitter::push`]
/// returns it. Excludes events without data and the last event of the response (`[DONE]`).
pub fn event_data(events: &[u8]) -> Result<Vec<String>, InvalidEventStream> {
    let text = std::str::from_utf8(events)
        .map_err(|_| InvalidEventStream)?
        .replace("\r\n", "\n")
        .replace('\r', "\n");
    let data = text.split("\n\n").filter_map(data_of_event);
    Ok(data.filter(|data| data != DONE).collect())
}

fn is_done(event: &[u8]) -> bool {
    let Ok(event) = std::str::from_utf8(event) else {
        return false;
    };
    data_of_event(event).is_some_and(|data| data == DONE)
}

/// Returns the data of an event, or `None` if the event has no data.
fn data_of_event(event: &str) -> Option<String> {
    let lines: Vec<&str> = event
        .lines()
        .filter_map(|line| line.strip_prefix("data:"))
        .map(|data| data.strip_prefix(' ').unwrap_or(data))
        .collect();
    if lines.is_empty() {
        return None;
    }
    Some(lines.join("\n"))
}

#[cfg(test)]
mod tests;
