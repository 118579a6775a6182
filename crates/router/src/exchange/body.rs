//! The body of a response on its way from the upstream to a frontend: a queue whose bytes are
//! limited and reserved, so that an endpoint is slowed down by a client that reads slowly.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;

use crate::memory::{MemoryLedger, MemoryReservation, Purpose};

/// Maximum memory of the chunks that wait for the frontend, in bytes, unless a single chunk is larger.
const MAX_QUEUED_BYTES: usize = 4 * 1024;

/// Memory that a chunk takes beside its data, in bytes.
const CHUNK_OVERHEAD_BYTES: usize = 64;

/// The error for a response body that ended before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the response body is incomplete")]
pub struct IncompleteBody;

/// How the sender has ended the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SenderState {
    Open,
    Finished,
    Dropped,
}

struct Queue {
    chunks: VecDeque<Bytes>,
    /// The memory of the chunks.
    reservation: MemoryReservation,
    sender: SenderState,
    is_stream_dropped: bool,
    stream_waker: Option<Waker>,
    sender_waker: Option<Waker>,
}

impl Queue {
    /// Adds a chunk if it fits. A chunk always fits into an empty queue.
    fn try_push(&mut self, data: &Bytes) -> bool {
        let bytes = self.reservation.bytes() + data.len() + CHUNK_OVERHEAD_BYTES;
        if self.chunks.is_empty() {
            self.reservation.grow_to(bytes);
        } else if bytes > MAX_QUEUED_BYTES || !self.reservation.try_grow_to(bytes) {
            return false;
        }
        // A copy holds these bytes only, and not the whole buffer that they were read into.
        self.chunks.push_back(Bytes::copy_from_slice(data));
        wake(&mut self.stream_waker);
        true
    }

    fn pop(&mut self) -> Option<Bytes> {
        let data = self.chunks.pop_front()?;
        let bytes = self.reservation.bytes() - data.len() - CHUNK_OVERHEAD_BYTES;
        self.reservation.shrink_to(bytes);
        wake(&mut self.sender_waker);
        Some(data)
    }

    fn end_sender(&mut self, state: SenderState) {
        if self.sender == SenderState::Open {
            self.sender = state;
            wake(&mut self.stream_waker);
        }
    }
}

fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}

/// The upstream's half of a response body.
pub struct BodySender(Rc<RefCell<Queue>>);

/// The frontend's half of a response body: its data in order.
pub struct BodyStream {
    queue: Rc<RefCell<Queue>>,
    has_ended: bool,
}

/// Opens the channel for a response body, whose bytes are reserved in `memory`.
pub fn body_channel(memory: &MemoryLedger) -> (BodySender, BodyStream) {
    let queue = Rc::new(RefCell::new(Queue {
        chunks: VecDeque::new(),
        reservation: memory.empty_reservation(Purpose::Backlog),
        sender: SenderState::Open,
        is_stream_dropped: false,
        stream_waker: None,
        sender_waker: None,
    }));
    let stream = BodyStream {
        queue: queue.clone(),
        has_ended: false,
    };
    (BodySender(queue), stream)
}

impl BodySender {
    /// Sends data to the frontend, and waits until there is room for it. An error means that the
    /// [`BodyStream`] has been dropped.
    pub async fn send(&self, data: Bytes) -> Result<(), IncompleteBody> {
        poll_fn(|cx| {
            let mut queue = self.0.borrow_mut();
            if queue.is_stream_dropped {
                return Poll::Ready(Err(IncompleteBody));
            }
            if queue.try_push(&data) {
                return Poll::Ready(Ok(()));
            }
            queue.sender_waker = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Marks the body as complete. If a sender is dropped without this call, its body is
    /// incomplete.
    pub fn finish(self) {
        self.0.borrow_mut().end_sender(SenderState::Finished);
    }

    /// Waits until the [`BodyStream`] has been dropped.
    pub async fn closed(&self) {
        poll_fn(|cx| {
            let mut queue = self.0.borrow_mut();
            if queue.is_stream_dropped {
                return Poll::Ready(());
            }
            queue.sender_waker = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        self.0.borrow_mut().end_sender(SenderState::Dropped);
    }
}

impl BodyStream {
    /// Polls for the next chunk: `None` at the end of a complete body, and an error once at the end
    /// of an incomplete one.
    pub fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let mut queue = self.queue.borrow_mut();
        if let Some(data) = queue.pop() {
            return Poll::Ready(Some(Ok(data)));
        }
        let end = match queue.sender {
            SenderState::Open => {
                queue.stream_waker = Some(cx.waker().clone());
                return Poll::Pending;
            }
            SenderState::Finished => None,
            SenderState::Dropped => Some(Err(IncompleteBody)),
        };
        self.has_ended = true;
        Poll::Ready(end)
    }
}

impl Drop for BodyStream {
    fn drop(&mut self) {
        let mut queue = self.queue.borrow_mut();
        queue.is_stream_dropped = true;
        queue.chunks.clear();
        queue.reservation.shrink_to(0);
        wake(&mut queue.sender_waker);
    }
}

impl fmt::Debug for BodyStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let queue = self.queue.borrow();
        f.debug_struct("BodyStream")
            .field("queued_bytes", &queue.reservation.bytes())
            .field("sender", &queue.sender)
            .finish()
    }
}

#[cfg(test)]
mod tests;
