//! Detection of whether a request has been written to its connection completely.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

const HEAD_END: &[u8; 4] = b"\r\n\r\n";

/// Progress of writing a request, from its first byte to its last.
#[derive(Debug, Default)]
pub(crate) struct WriteProgress {
    /// Number of bytes of `HEAD_END` that the last written bytes match; all of them once the head
    /// has been written.
    matched: AtomicU8,
    /// Number of bytes of the body that have not been written yet.
    body_remaining: AtomicUsize,
}

impl WriteProgress {
    /// Begins a request whose body has `body_length` bytes.
    pub(crate) fn begin(&self, body_length: usize) {
        self.matched.store(0, Ordering::Relaxed);
        self.body_remaining.store(body_length, Ordering::Relaxed);
    }

    /// Records bytes that were written.
    fn record(&self, written: &[u8]) {
        let mut matched = usize::from(self.matched.load(Ordering::Relaxed));
        let mut position = 0;
        while position < written.len() && matched < HEAD_END.len() {
            matched = match written[position] {
                byte if byte == HEAD_END[matched] => matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            position += 1;
        }
        self.matched.store(matched as u8, Ordering::Relaxed);
        let remaining = self.body_remaining.load(Ordering::Relaxed);
        let remaining = remaining.saturating_sub(written.len() - position);
        self.body_remaining.store(remaining, Ordering::Relaxed);
    }

    /// Returns whether the last byte has been written. From then on the request may be executed.
    pub(crate) fn is_complete(&self) -> bool {
        usize::from(self.matched.load(Ordering::Relaxed)) == HEAD_END.len()
            && self.body_remaining.load(Ordering::Relaxed) == 0
    }
}

/// A TCP stream that records the progress of writing to it.
pub(crate) struct RecordedStream {
    stream: TcpStream,
    progress: Arc<WriteProgress>,
}

impl RecordedStream {
    /// Wraps `stream` and records in `progress` what is written to it.
    pub(crate) fn new(stream: TcpStream, progress: Arc<WriteProgress>) -> RecordedStream {
        RecordedStream { stream, progress }
    }
}

impl AsyncRead for RecordedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for RecordedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = written {
            self.progress.record(&buf[..count]);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
