//! Where the server side and the client side meet. A front opens an exchange for a request and waits for its
//! [`Answer`]; the core holds the other half and gives that answer. An answer that streams is a pair too: the
//! upstream pushes parts into a [`Sink`], the front reads them from [`Parts`]. Neither side knows the other.

use std::fmt;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use tokio::sync::{mpsc, oneshot};

/// Parts that may wait between the two sides: a client that reads slowly slows its server.
const PARTS_WAITING: usize = 32;

/// What a server is to be sent, as it came in.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Message {
    /// The target of the request: its path and query.
    pub target: String,
    /// The media type of the body.
    pub media_type: String,
    /// Further headers that are the server's to read, as the client sent them.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The one final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// Served: the parts of one server's answer.
    Served {
        /// The media type that the server gave.
        media_type: String,
        /// What it says, as it comes.
        parts: Parts,
    },
    /// Refused: trying again is harmless, best after this pause.
    Refused(Duration),
    /// Failed: it may have run.
    Failed,
    /// Not taken: another request with its id is open.
    DuplicateId,
}

impl Answer {
    /// A word for it, for the log.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Served { .. } => "served",
            Answer::Refused(_) => "refused",
            Answer::Failed => "failed",
            Answer::DuplicateId => "duplicate id",
        }
    }
}

/// The answer broke off: what has come is not whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub struct Broken;

enum Part {
    Data(Bytes),
    End,
}

/// The front's half of an exchange. Dropping it before the answer has ended says that the client is gone.
pub struct Caller {
    answer: oneshot::Receiver<Answer>,
    gone: CancelGuard,
}

/// The core's half of an exchange.
pub struct Carrier(oneshot::Sender<Answer>);

/// Runs its action when dropped: the one place where a client's leaving is reported.
pub struct CancelGuard(Option<Box<dyn FnOnce()>>);

/// Opens an exchange; `gone` runs when the front's half ends.
pub fn open(gone: impl FnOnce() + 'static) -> (Caller, Carrier) {
    let (tx, answer) = oneshot::channel();
    (
        Caller {
            answer,
            gone: CancelGuard(Some(Box::new(gone))),
        },
        Carrier(tx),
    )
}

impl Caller {
    /// Waits for the answer. The guard must live as long as the client is being answered. A core that has
    /// failed drops its half, which counts as a failure: the request may have run.
    pub async fn answer(self) -> (Answer, CancelGuard) {
        (self.answer.await.unwrap_or(Answer::Failed), self.gone)
    }
}

impl Carrier {
    /// Gives the final answer. Consumes the half, so there is no second one.
    pub fn answer(self, answer: Answer) {
        // A front that has left wants no answer; its guard has told the core.
        let _ = self.0.send(answer);
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(tell) = self.0.take() {
            tell();
        }
    }
}

impl fmt::Debug for CancelGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CancelGuard")
    }
}

/// Where an upstream puts the parts of an answer.
pub struct Sink(mpsc::Sender<Part>);

/// The parts of an answer, in order.
#[derive(Debug)]
pub struct Parts {
    waiting: mpsc::Receiver<Part>,
    ended: bool,
}

impl fmt::Debug for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Part::Data(data) => write!(f, "{} bytes", data.len()),
            Part::End => f.write_str("end"),
        }
    }
}

/// Opens a stream of parts.
pub fn stream() -> (Sink, Parts) {
    let (tx, waiting) = mpsc::channel(PARTS_WAITING);
    (
        Sink(tx),
        Parts {
            waiting,
            ended: false,
        },
    )
}

impl Sink {
    /// Passes a part on; an error says that nobody reads any more.
    pub async fn push(&self, data: Bytes) -> Result<(), Broken> {
        self.0.send(Part::Data(data)).await.map_err(|_| Broken)
    }

    /// Says that the answer is whole. A sink dropped without this leaves a broken one.
    pub async fn end(self) -> Result<(), Broken> {
        self.0.send(Part::End).await.map_err(|_| Broken)
    }

    /// Waits until nobody reads any more.
    pub async fn unread(&self) {
        self.0.closed().await;
    }
}

impl Parts {
    /// The next part, `None` at the end of a whole answer, an error where it broke off.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        self.waiting.poll_recv(cx).map(|part| match part {
            Some(Part::Data(data)) => Some(Ok(data)),
            Some(Part::End) => {
                self.ended = true;
                None
            }
            None => {
                self.ended = true;
                Some(Err(Broken))
            }
        })
    }
}

#[cfg(test)]
mod tests;
