//! A byte queue in segments of limited size. Its memory follows the bytes that it holds: one buffer
//! would keep the size that it once had, and would be copied as it grows.

use std::collections::VecDeque;

use bytes::{Buf, Bytes};
use tokio::io::ReadBuf;

/// Size in bytes up to which what arrives is joined with the segment before it, so that bytes that
/// arrive one by one do not need a segment each.
const JOINED_BYTES: usize = 2 * 1024;

/// Bytes in the order in which they arrived.
#[derive(Default)]
pub(super) struct Segments {
    segments: VecDeque<Bytes>,
    bytes: usize,
}

impl Segments {
    /// Returns the number of bytes.
    pub(super) fn len(&self) -> usize {
        self.bytes
    }

    /// Returns whether there are no bytes.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Adds bytes at the end.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.bytes += bytes.len();
        match self.segments.back_mut() {
            Some(last) if last.len() + bytes.len() <= JOINED_BYTES => {
                *last = [last, bytes].concat().into();
            }
            _ if bytes.is_empty() => {}
            _ => self.segments.push_back(Bytes::copy_from_slice(bytes)),
        }
    }

    /// Moves bytes of the first segment into `buf`, and returns them as they are in `buf`.
    pub(super) fn move_into<'a>(&mut self, buf: &'a mut ReadBuf<'_>) -> &'a [u8] {
        let before = buf.filled().len();
        if let Some(first) = self.segments.front_mut() {
            let length = first.len().min(buf.remaining());
            buf.put_slice(&first[..length]);
            first.advance(length);
            self.bytes -= length;
            if first.is_empty() {
                self.segments.pop_front();
            }
        }
        if self.segments.is_empty() {
            // Frees the queue, so that an idle connection holds none.
            self.segments = VecDeque::new();
        }
        &buf.filled()[before..]
    }

    /// Removes bytes from the end until `length` are left.
    pub(super) fn truncate(&mut self, length: usize) {
        while self.bytes > length {
            let surplus = self.bytes - length;
            let Some(mut last) = self.segments.pop_back() else {
                return;
            };
            self.bytes -= last.len();
            if last.len() > surplus {
                last.truncate(last.len() - surplus);
                self.bytes += last.len();
                self.segments.push_back(last);
            }
        }
    }
}

#[cfg(test)]
mod tests;
