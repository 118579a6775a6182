//! The progress of a connection to an endpoint: how much of a request has been written, and how far
//! its response has come. Both decide what a lost connection means for the request.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

use crate::framing::Framing;

/// How long an endpoint may take to continue a head, or a chunk of a body, that it has begun.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The blank line that ends a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Observes the bytes that pass over a connection. Among those written it finds the last byte of
/// each request: a request whose last byte has not been written cannot have been executed. Among
/// those read it follows the responses to their ends.
pub(crate) struct WireProgress {
    request: Cell<RequestProgress>,
    request_completed: Notify,
    bytes: Cell<ByteCounts>,
    responses: RefCell<Framing>,
    /// Since when a head that has begun has not ended, or a chunk has not gone on.
    partial_since: Cell<Option<Instant>>,
}

/// Bytes that have passed since the current request began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ByteCounts {
    /// Bytes written.
    pub(crate) written: u64,
    /// Bytes read.
    pub(crate) read: u64,
}

/// How much of the current request has been written.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
enum RequestProgress {
    /// There is no request.
    #[default]
    None,
    /// A part of the head, or nothing yet.
    Head {
        /// How many bytes of [`HEAD_END`] were written last.
        head_end_matched: usize,
        body_length: usize,
        begun: bool,
    },
    /// All of the head; this many bytes of the body are to be written.
    Body { bytes_left: usize },
    /// The last byte.
    Complete,
}

impl Default for WireProgress {
    fn default() -> WireProgress {
        WireProgress {
            request: Cell::default(),
            request_completed: Notify::new(),
            bytes: Cell::default(),
            responses: RefCell::new(Framing::of_responses()),
            partial_since: Cell::default(),
        }
    }
}

impl WireProgress {
    /// A request with a body of this length begins.
    pub(crate) fn begin_request(&self, body_length: usize) {
        self.request.set(RequestProgress::Head {
            head_end_matched: 0,
            body_length,
            begun: false,
        });
        self.bytes.set(ByteCounts::default());
    }

    /// The connection is used again: there is no request yet.
    pub(crate) fn reset(&self) {
        self.request.set(RequestProgress::None);
    }

    /// Records what has been written.
    pub(crate) fn on_written(&self, bytes: &[u8]) {
        let mut counts = self.bytes.get();
        counts.written += bytes.len() as u64;
        self.bytes.set(counts);
        let request = self.request.get().advanced_by(bytes);
        self.request.set(request);
        if request == RequestProgress::Complete {
            self.request_completed.notify_waiters();
        }
    }

    /// Records what an endpoint has sent. The error is for what no request can have asked for, or
    /// what is no valid response: the next request would be given it.
    pub(super) fn on_read(&self, bytes: &[u8]) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let mut counts = self.bytes.get();
        counts.read += bytes.len() as u64;
        self.bytes.set(counts);
        let mut responses = self.responses.borrow_mut();
        let is_unrequested = responses.is_between() && self.nothing_written();
        responses.push(bytes);
        self.partial_since.set(match self.partial_since.get() {
            since @ Some(_) if responses.is_in_head() => since,
            _ if responses.is_in_head() || responses.is_in_chunk() => Some(Instant::now()),
            _ => None,
        });
        if is_unrequested || responses.is_invalid() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    /// Waits until a response that has begun does not go on, though it has been waited for since
    /// `waiting_since`. Nothing is read while nobody waits, which is no fault of the endpoint.
    pub(crate) async fn wait_stalled(&self, waiting_since: Instant) {
        loop {
            let now = Instant::now();
            let stalled_at = self
                .partial_since
                .get()
                .map(|since| since.max(waiting_since) + STALL_TIMEOUT);
            match stalled_at {
                Some(stalled_at) if now >= stalled_at => return,
                Some(stalled_at) => sleep_until(stalled_at).await,
                None => sleep_until(now + STALL_TIMEOUT).await,
            }
        }
    }

    /// Whether no part of an unfinished response has arrived.
    pub(crate) fn is_between_responses(&self) -> bool {
        self.responses.borrow().is_between()
    }

    /// Whether the request's last byte has been written.
    pub(crate) fn request_complete(&self) -> bool {
        self.request.get() == RequestProgress::Complete
    }

    /// Bytes written and read since the current request began.
    pub(crate) fn bytes(&self) -> ByteCounts {
        self.bytes.get()
    }

    /// Whether nothing of the request has been written.
    pub(crate) fn nothing_written(&self) -> bool {
        matches!(
            self.request.get(),
            RequestProgress::None | RequestProgress::Head { begun: false, .. }
        )
    }

    /// Waits until the request's last byte has been written.
    pub(crate) async fn wait_request_complete(&self) {
        loop {
            let completed = self.request_completed.notified();
            if self.request_complete() {
                return;
            }
            completed.await;
        }
    }
}

impl RequestProgress {
    /// The progress once these bytes have been written too.
    fn advanced_by(self, bytes: &[u8]) -> RequestProgress {
        let mut progress = self;
        let mut rest = bytes;
        while let RequestProgress::Head {
            head_end_matched,
            body_length,
            ..
        } = progress
        {
            let Some((byte, remaining)) = rest.split_first() else {
                break;
            };
            rest = remaining;
            let matched = match *byte {
                byte if byte == HEAD_END[head_end_matched] => head_end_matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            progress = if matched == HEAD_END.len() {
                RequestProgress::Body {
                    bytes_left: body_length,
                }
            } else {
                RequestProgress::Head {
                    head_end_matched: matched,
                    body_length,
                    begun: true,
                }
            };
        }
        match progress {
            RequestProgress::Body { bytes_left } if bytes_left <= rest.len() => {
                RequestProgress::Complete
            }
            RequestProgress::Body { bytes_left } => RequestProgress::Body {
                bytes_left: bytes_left - rest.len(),
            },
            unchanged => unchanged,
        }
    }
}

/// Waits until the response over a connection stalls, counted from now at the earliest; for ever
/// where there is no connection.
pub(crate) async fn wait_stalled(progress: Option<&WireProgress>) {
    match progress {
        Some(progress) => progress.wait_stalled(Instant::now()).await,
        None => pending().await,
    }
}

#[cfg(test)]
mod tests;
