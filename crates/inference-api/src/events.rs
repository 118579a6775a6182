//! Server-sent events: splitting a stream into complete events, and their data.

use bytes::{Bytes, BytesMut};

/// The most bytes of one event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// What ends an event.
const EVENT_ENDS: [&[u8]; 3] = [b"\n\n", b"\r\n\r\n", b"\r\r"];
/// The most bytes of an event's end that may have arrived before its last byte.
const MAX_PARTIAL_END: usize = 3;
/// The data of the event that ends a response.
const DONE: &str = "[DONE]";

/// The stream does not consist of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stream is not one of events")]
pub struct InvalidEventStream;

/// Splits a stream into runs of complete events, so that a stream that breaks off never leaves a
/// part of one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// How many bytes of the buffer have been searched for the end of an event.
    searched: usize,
    done: bool,
}

impl EventSplitter {
    /// Adds data that arrived; returns all complete events that have not been returned yet, if
    /// there are any.
    pub fn push(&mut self, data: &[u8]) -> Result<Option<Bytes>, InvalidEventStream> {
        self.buffer.extend_from_slice(data);
        let mut complete = 0;
        let mut at = self.searched.saturating_sub(MAX_PARTIAL_END);
        while at < self.buffer.len() {
            match event_end_length(&self.buffer[at..]) {
                Some(length) => {
                    at += length;
                    self.done |= is_done(&self.buffer[complete..at]);
                    complete = at;
                }
                None => at += 1,
            }
        }
        self.searched = self.buffer.len() - complete;
        if self.searched > MAX_EVENT_BYTES {
            return Err(InvalidEventStream);
        }
        if complete == 0 {
            return Ok(None);
        }
        Ok(Some(self.buffer.split_to(complete).freeze()))
    }

    /// Whether the event that ends a response has arrived.
    pub fn is_done(&self) -> bool {
        self.done
    }
}

/// The length of the event's end that these bytes begin with, if they do.
fn event_end_length(bytes: &[u8]) -> Option<usize> {
    let end = EVENT_ENDS.iter().find(|end| bytes.starts_with(end))?;
    Some(end.len())
}

/// The data of each of these complete events, which [`EventSplitter::push`] returned, except for
/// the one that ends a response.
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

/// The data of an event; `None` if it has none.
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
