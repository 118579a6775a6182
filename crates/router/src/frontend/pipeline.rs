//! The requests of one client connection in the order in which they arrived (HTTP pipelining).
//!
//! While a request is being answered, the router reads what the client sends behind it, because the
//! client's disconnect can be seen only behind these bytes. As much as fits is buffered and served.
//! The rest is discarded as it arrives: the pipeline has overflowed. Each request that was
//! discarded is owed a response all the same, so the HTTP library is given a placeholder in its
//! place, which is rejected. Once all of them have been answered, requests are served again.
//! [`Pipeline`] alone decides which requests are served, which are rejected, and whether another
//! response is owed.

use std::collections::VecDeque;

use tokio::io::ReadBuf;
use tokio::time::Instant;

use super::segments::Segments;
use crate::framing::Framing;

/// The request that the HTTP library reads in place of a discarded one.
const PLACEHOLDER: &[u8] = b"GET / HTTP/1.1\r\nhost: discarded\r\n\r\n";

/// Maximum number of arrivals that are recorded. Requests beyond count as arrived with the last one.
const MAX_ARRIVALS: usize = 64;

/// The requests that a read has completed.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    /// Number of requests of the connection that are complete.
    completed: u64,
    at: Instant,
}

/// The progress of the current request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    /// There is no current request: none has begun, or the last one has been answered.
    NotBegun,
    /// The head has arrived, and the body may still be arriving.
    ReceivingBody,
    /// The request has arrived as a whole, and its response is not complete yet.
    Answering,
}

/// The source of the next bytes for the HTTP library.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Delivery {
    /// Bytes were copied into the library's buffer.
    Copied,
    /// The library reads from the socket.
    Socket,
    /// What arrives on the socket is to be discarded until another request is complete or the
    /// stream ends.
    DiscardFromSocket,
    /// Nothing can be delivered before the current response is complete.
    AfterResponse,
    /// There are no further bytes.
    End,
}

/// How a request is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The frontend serves the request.
    Served,
    /// The request was discarded, so it is rejected.
    Rejected,
}

/// The requests that have been read from a connection, and the bytes of them that the HTTP library
/// has not read yet.
pub(super) struct Pipeline {
    /// The tracker of all bytes that were read from the socket.
    received: Framing,
    /// The tracker of the bytes that the HTTP library has read.
    delivered: Framing,
    buffer: Segments,
    /// When the requests that have not begun were complete, in order.
    arrivals: VecDeque<Arrival>,
    /// Number of requests that the HTTP library has begun.
    begun: u64,
    /// While the pipeline overflows, the number of the last request that is served.
    served_until: Option<u64>,
    /// Whether a part of the current request's body was discarded.
    is_body_incomplete: bool,
}

impl Default for Pipeline {
    fn default() -> Self {
        Pipeline {
            received: Framing::of_requests(),
            delivered: Framing::of_requests(),
            buffer: Segments::default(),
            arrivals: VecDeque::new(),
            begun: 0,
            served_until: None,
            is_body_incomplete: false,
        }
    }
}

impl Pipeline {
    /// Records bytes that the HTTP library has read from the socket.
    pub(super) fn read_directly(&mut self, bytes: &[u8], now: Instant) {
        self.receive(bytes, now);
        self.delivered.push(bytes);
    }

    /// Buffers bytes that were read ahead.
    pub(super) fn buffer(&mut self, bytes: &[u8], now: Instant) {
        self.receive(bytes, now);
        self.buffer.push(bytes);
    }

    /// Tracks bytes that were read from the socket and are not discarded.
    fn receive(&mut self, bytes: &[u8], now: Instant) {
        let completed_before = self.received.heads_at_last_end();
        self.received.push(bytes);
        let completed = self.received.heads_at_last_end();
        if completed == completed_before {
            return;
        }
        let is_full = self.arrivals.len() == MAX_ARRIVALS;
        match self.arrivals.back_mut() {
            Some(last) if is_full => last.completed = completed,
            _ => self.arrivals.push_back(Arrival { completed, at: now }),
        }
    }

    /// Returns the number of bytes that are buffered.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether everything that arrives is discarded.
    pub(super) fn has_overflowed(&self) -> bool {
        self.served_until.is_some()
    }

    /// Discards bytes that were read ahead, and counts the requests in them. With the first bytes
    /// that are discarded, the incomplete request at the end of the buffer is discarded as well,
    /// unless the HTTP library has read a part of it.
    pub(super) fn discard(&mut self, bytes: &[u8]) {
        if self.served_until.is_none() {
            let incomplete_bytes = self.received.bytes_since_last_end();
            let buffered_bytes = self.buffer.len() as u64;
            let mut served = self.received.heads_at_last_end();
            match usize::try_from(buffered_bytes.wrapping_sub(incomplete_bytes)) {
                Ok(complete_bytes) if incomplete_bytes <= buffered_bytes => {
                    self.buffer.truncate(complete_bytes);
                }
                _ => served += 1,
            }
            self.served_until = Some(served);
        }
        self.received.push(bytes);
    }

    /// Delivers the next bytes to the HTTP library.
    pub(super) fn deliver(&mut self, buf: &mut ReadBuf<'_>, progress: Progress) -> Delivery {
        if progress == Progress::NotBegun {
            // The library has begun all requests that it has read. If it has found fewer of them
            // than were counted here, the others are none.
            self.begun = self.delivered.heads();
        }
        if !self.buffer.is_empty() {
            self.deliver_buffered(buf);
            return Delivery::Copied;
        }
        if !self.has_overflowed() {
            return Delivery::Socket;
        }
        if let Some(missing_bytes) = self.delivered.body_bytes_left() {
            self.deliver_filler(buf, missing_bytes);
            return Delivery::Copied;
        }
        let is_between_requests = self.delivered.is_between_messages();
        if is_between_requests && self.received.heads() > self.delivered.heads() {
            self.buffer.push(PLACEHOLDER);
            self.deliver_buffered(buf);
            return Delivery::Copied;
        }
        let is_caught_up = is_between_requests && !self.is_receiving() && !self.owes_responses();
        match progress {
            Progress::Answering => Delivery::AfterResponse,
            // Only of a body with a transfer encoding, more may be missing.
            Progress::ReceivingBody if !self.delivered.is_last_message() => Delivery::AfterResponse,
            Progress::NotBegun if is_between_requests && self.received.is_in_message() => {
                Delivery::DiscardFromSocket
            }
            Progress::NotBegun if is_caught_up => {
                self.served_until = None;
                Delivery::Socket
            }
            Progress::ReceivingBody | Progress::NotBegun => Delivery::End,
        }
    }

    fn deliver_buffered(&mut self, buf: &mut ReadBuf<'_>) {
        let delivered = self.buffer.move_into(buf);
        self.delivered.push(delivered);
    }

    /// Delivers zeros in place of the rest of a body that was discarded, so that the HTTP library
    /// finds the end of the request. The request is not served.
    fn deliver_filler(&mut self, buf: &mut ReadBuf<'_>, missing_bytes: u64) {
        let length = usize::try_from(missing_bytes).unwrap_or(usize::MAX);
        let filler = buf.initialize_unfilled_to(length.min(buf.remaining()));
        filler.fill(0);
        self.delivered.push(filler);
        let length = filler.len();
        buf.advance(length);
        self.is_body_incomplete = true;
    }

    /// Returns when the current request was complete; `None` if it is not complete yet.
    pub(super) fn completed_at(&self) -> Option<Instant> {
        let arrival = self.arrivals.front()?;
        (arrival.completed >= self.begun).then_some(arrival.at)
    }

    /// Records that the HTTP library has read the head of the next request.
    pub(super) fn begin_request(&mut self) -> Admission {
        self.begun += 1;
        let is_before = |arrival: &Arrival| arrival.completed < self.begun;
        while self.arrivals.front().is_some_and(is_before) {
            self.arrivals.pop_front();
        }
        self.is_body_incomplete = false;
        match self.served_until {
            Some(served) if self.begun > served => Admission::Rejected,
            _ => Admission::Served,
        }
    }

    /// Returns whether a part of the current request's body was discarded.
    pub(super) fn is_body_incomplete(&self) -> bool {
        self.is_body_incomplete
    }

    /// Returns whether requests have been read behind the current one, so that the client is owed
    /// further responses.
    pub(super) fn owes_responses(&self) -> bool {
        self.received.heads() > self.begun
    }

    /// Returns whether a part of a request has been read from the socket, but not all of it.
    pub(super) fn is_receiving(&self) -> bool {
        !self.received.is_between_messages()
    }

    /// Returns whether the HTTP library has read all bytes that were read from the socket, and they
    /// end with a request.
    pub(super) fn is_idle(&self) -> bool {
        self.buffer.is_empty() && !self.is_receiving() && !self.owes_responses()
    }

    /// Returns whether the next byte that the HTTP library reads belongs to a head.
    pub(super) fn expects_head(&self) -> bool {
        self.delivered.expects_head()
    }

    /// Returns whether a request has arrived whose end is ambiguous: it has both a content length
    /// and a transfer encoding.
    pub(super) fn has_ambiguous_length(&self) -> bool {
        self.delivered.has_ambiguous_length()
    }

    /// Returns whether the connection cannot serve another request after the current one.
    pub(super) fn is_last_request(&self) -> bool {
        self.delivered.is_last_message()
            || (self.received.is_last_message() && !self.owes_responses())
    }
}

#[cfg(test)]
mod tests;
