//! The progress of the current request and its response on a connection to an endpoint. It decides
//! what a lost connection means for the request.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant};

use crate::framing::Framing;

/// Maximum time until an endpoint continues a head, or a chunk, that it has begun before its response
/// is passed on.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The bytes that end a head: the end of its last line and a blank line.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Tracks the bytes written and read on a connection. In the bytes written it detects the last byte
/// of each request: a request whose last byte has not been written cannot have been executed. In
/// the bytes read it detects the ends of responses.
pub(crate) struct WireProgress {
    request: Cell<RequestProgress>,
    request_completed: Notify,
    bytes: Cell<ByteCounts>,
    responses: RefCell<Framing>,
    /// When data arrived last.
    last_read_at: Cell<Option<Instant>>,
}

/// Numbers of bytes written and read since the current request began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ByteCounts {
    /// Number of bytes written.
    pub(crate) written: u64,
    /// Number of bytes read.
    pub(crate) read: u64,
}

/// How much of the current request has been written.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
enum RequestProgress {
    /// There is no request.
    #[default]
    None,
    /// Nothing, or only a part of the head, has been written.
    Head {
        /// Number of bytes of [`HEAD_END`] that the bytes written so far end with.
        head_end_matched: usize,
        body_length: usize,
        /// Whether any byte has been written.
        begun: bool,
    },
    /// The head has been written; `bytes_left` bytes of the body have not.
    Body { bytes_left: usize },
    /// The last byte of the request has been written.
    Complete,
}

impl Default for WireProgress {
    fn default() -> WireProgress {
        WireProgress {
            request: Cell::default(),
            request_completed: Notify::new(),
            bytes: Cell::default(),
            responses: RefCell::new(Framing::of_responses()),
            last_read_at: Cell::default(),
        }
    }
}

impl WireProgress {
    /// Starts to track a request with a body of `body_length` bytes.
    pub(crate) fn begin_request(&self, body_length: usize) {
        self.request.set(RequestProgress::Head {
            head_end_matched: 0,
            body_length,
            begun: false,
        });
        self.bytes.set(ByteCounts::default());
    }

    /// Clears the state of the last request when the connection is reused.
    pub(crate) fn reset(&self) {
        self.request.set(RequestProgress::None);
    }

    /// Records bytes that have been written.
    pub(crate) fn on_written(&self, bytes: &[u8]) {
        let mut counts = self.bytes.get();
        counts.written += bytes.len() as u64;
        self.bytes.set(counts);
        let request = self.request.get().after_writing(bytes);
        self.request.set(request);
        if request == RequestProgress::Complete {
            self.request_completed.notify_waiters();
        }
    }

    /// Records bytes that the endpoint has sent. Returns an error for a response that arrives
    /// before any byte of a request has been written, which would be taken for the response to the
    /// next request, and for data that is not a valid response.
    pub(super) fn on_read(&self, bytes: &[u8]) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let mut counts = self.bytes.get();
        counts.read += bytes.len() as u64;
        self.bytes.set(counts);
        let mut responses = self.responses.borrow_mut();
        let is_unsolicited = responses.is_between_messages() && self.nothing_written();
        responses.push(bytes);
        self.last_read_at.set(Some(Instant::now()));
        if is_unsolicited || responses.is_invalid() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    /// Waits until a head or a chunk that has begun is not continued for [`STALL_TIMEOUT`]. The
    /// timeout starts at `waiting_since` at the earliest: before that the router may not have read
    /// from the connection, which is not a fault of the endpoint.
    pub(crate) async fn wait_stalled(&self, waiting_since: Instant) {
        loop {
            let stalled_at = self.last_read_after(waiting_since) + STALL_TIMEOUT;
            if Instant::now() < stalled_at {
                sleep_until(stalled_at).await;
            } else if self.has_partial_response() {
                return;
            } else {
                sleep(STALL_TIMEOUT).await;
            }
        }
    }

    /// Waits until nothing arrives for `idle_timeout`, which starts at `waiting_since` at the
    /// earliest.
    pub(crate) async fn wait_silent(&self, waiting_since: Instant, idle_timeout: Duration) {
        loop {
            let silent_at = self.last_read_after(waiting_since) + idle_timeout;
            if Instant::now() >= silent_at {
                return;
            }
            sleep_until(silent_at).await;
        }
    }

    fn last_read_after(&self, earliest: Instant) -> Instant {
        let last_read_at = self.last_read_at.get();
        last_read_at.map_or(earliest, |at| at.max(earliest))
    }

    fn has_partial_response(&self) -> bool {
        let responses = self.responses.borrow();
        responses.is_in_head() || responses.is_in_chunk()
    }

    /// Whether the bytes read so far end between two responses, not within one.
    pub(crate) fn is_between_responses(&self) -> bool {
        self.responses.borrow().is_between_messages()
    }

    /// Whether the last byte of the request has been written.
    pub(crate) fn request_complete(&self) -> bool {
        self.request.get() == RequestProgress::Complete
    }

    /// The numbers of bytes written and read since the current request began.
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

    /// Waits until the last byte of the request has been written.
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
    /// Returns the progress after `bytes` have been written too.
    fn after_writing(self, bytes: &[u8]) -> RequestProgress {
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

/// Waits until the response on a connection stalls; the timeout starts now at the earliest. Waits
/// for ever if there is no connection.
pub(crate) async fn wait_stalled(progress: Option<&WireProgress>) {
    match progress {
        Some(progress) => progress.wait_stalled(Instant::now()).await,
        None => pending().await,
    }
}

/// Waits until nothing arrives on a connection for `idle_timeout`, which starts now at the earliest.
/// Waits for ever if there is no connection.
pub(crate) async fn wait_silent(progress: Option<&WireProgress>, idle_timeout: Duration) {
    match progress {
        Some(progress) => progress.wait_silent(Instant::now(), idle_timeout).await,
        None => pending().await,
    }
}

#[cfg(test)]
mod tests;
