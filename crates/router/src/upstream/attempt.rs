//! One attempt at a server: written, awaited, and its answer passed on.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cranetack_routing_policy::{ConnectFailure, Outcome, ResetCause};
use http::{Method, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep_until, timeout, Instant};

use super::calls::collect;
use super::dial::ConnectError;
use super::pool::PooledConnection;
use super::progress::WireProgress;
use super::reply::{self, Expected, Reply, Tail};
use super::{Running, Shared, BODY_MOST};
use crate::core::{AttemptId, AttemptReport, AttemptSpec, CoreEvent, EndReason, Handle, WireTrace};
use crate::exchange::{self, BodySender};

/// The media type of a stream of events.
const EVENTS: &str = "text/event-stream";
/// How long a client may read nothing of what waits for it.
const UNREAD: Duration = Duration::from_secs(30);

/// Reports the end of an attempt when dropped, so that one whose task fails is not lost.
pub(super) struct Reporter {
    pub(super) attempt: AttemptId,
    pub(super) handle: Handle,
    pub(super) running: Running,
    pub(super) ended: AttemptReport,
}

impl Drop for Reporter {
    fn drop(&mut self) {
        self.running.borrow_mut().remove(&self.attempt);
        self.handle.send(CoreEvent::AttemptEnded {
            attempt: self.attempt,
            report: self.ended,
        });
    }
}

/// An attempt with what steers it from outside.
pub(super) struct Attempt {
    pub(super) shared: Rc<Shared>,
    pub(super) spec: AttemptSpec,
    pub(super) written: watch::Sender<bool>,
    pub(super) cancelled: oneshot::Receiver<()>,
    pub(super) broken_off: oneshot::Receiver<()>,
}

/// How an attempt stands once its answer has a beginning or it has ended without one.
enum Begun {
    Ended(AttemptReport),
    Streams {
        body: Incoming,
        first: Bytes,
        media_type: String,
    },
}

impl Attempt {
    pub(super) async fn run(mut self, mut report: Reporter) {
        let mut slot = None;
        let begun = tokio::select! {
            biased;
            begun = begin(&self.shared, &self.spec, &self.written, &mut slot) => begun,
            Ok(()) = &mut self.cancelled => Begun::Ended(ended(Outcome::Cancelled, EndReason::Cancelled)),
            () = sleep_until(self.spec.expires_at) => Begun::Ended(ended(Outcome::TimedOut, EndReason::Expired)),
        };
        // Absent once the connection has been given back, with the answer's status known by then.
        let seen = slot.as_ref().map(PooledConnection::trace);
        report.ended = match begun {
            Begun::Streams {
                body,
                first,
                media_type,
            } => {
                self.spec.message = Rc::default();
                let ended = self.stream(body, first, media_type, &mut slot).await;
                let whole = ended.outcome == Outcome::Completed;
                ended.because(if whole {
                    EndReason::StreamCompleted
                } else {
                    EndReason::StreamBroken
                })
            }
            Begun::Ended(ended) => ended,
        };
        if let Some(seen) = slot.as_ref().map(PooledConnection::trace).or(seen) {
            report.ended.wire = WireTrace {
                reason: report.ended.wire.reason,
                ..seen
            };
        }
        // Whatever has not been given back is ended before the end is told: what is sent next must find
        // this attempt gone. And what was never written whole has never run.
        if let Some(connection) = slot {
            let ended = report.ended.outcome;
            let (idle, all_written) = (connection.idle(), connection.progress().all_written());
            tracing::debug!(id = %self.spec.request_id, ?ended, ?idle, all_written, "a connection is given up");
            let is_reset = matches!(ended, Outcome::ConnectionReset(_));
            if (is_reset || ended == Outcome::TimedOut) && !all_written {
                report.ended.outcome = Outcome::ConnectFailed(ConnectFailure::Unreachable);
            } else if is_reset && connection.was_dropped() {
                report.ended.outcome = Outcome::ConnectionReset(ResetCause::StaleIdle);
            }
            connection.give_up().await;
        }
    }

    async fn stream(
        &mut self,
        mut incoming: Incoming,
        first: Bytes,
        media_type: String,
        slot: &mut Option<PooledConnection>,
    ) -> AttemptReport {
        let (sink, body) = exchange::body_channel();
        let attempt = self.spec.attempt;
        self.shared.handle.send(CoreEvent::StreamStarted {
            attempt,
            media_type,
            body,
        });
        let progress = slot
            .as_ref()
            .map(|connection| connection.progress().clone());
        let pumped = tokio::select! {
            pumped = pump(&mut incoming, first, sink, self.shared.options.silence, progress.as_deref()) => pumped,
            Ok(()) = &mut self.broken_off => Err(Outcome::Cancelled),
        };
        match pumped {
            Ok(tail) => {
                if let Some(connection) = slot.take() {
                    self.shared.pool.release(connection).await;
                }
                tail.ended(&self.shared.options.report)
            }
            Err(outcome) => outcome.into(),
        }
    }
}

/// Passes a stream on, unchanged and as it comes, to its end.
async fn pump(
    body: &mut Incoming,
    first: Bytes,
    sink: BodySender,
    silence: Duration,
    progress: Option<&WireProgress>,
) -> Result<Tail, Outcome> {
    let mut tail = Tail::default();
    let mut data = Some(first);
    loop {
        if let Some(data) = data.take() {
            tail.push(&data);
            let pushed = timeout(UNREAD, sink.send(data)).await;
            pushed
                .map_err(|_| Outcome::Cancelled)?
                .map_err(|_| Outcome::Cancelled)?;
        }
        tokio::select! {
            frame = timeout(silence, body.frame()) => match frame {
                Ok(Some(Ok(frame))) => data = frame.into_data().ok(),
                Ok(None) => break,
                Ok(Some(Err(_))) | Err(_) => return Err(Outcome::ConnectionReset(ResetCause::InUse)),
            },
            () = sink.closed() => return Err(Outcome::Cancelled),
            () = stalled(progress) => return Err(Outcome::ConnectionReset(ResetCause::InUse)),
        }
    }
    // Whoever leaves at the very end has had all of it.
    let _ = timeout(UNREAD, sink.finish()).await;
    Ok(tail)
}

fn ended(outcome: Outcome, reason: EndReason) -> AttemptReport {
    AttemptReport::from(outcome).because(reason)
}

/// Sends the request and waits for the beginning of its answer, or its end. The connection stays in `slot`
/// unless it has been given back.
async fn begin(
    shared: &Shared,
    spec: &AttemptSpec,
    written: &watch::Sender<bool>,
    slot: &mut Option<PooledConnection>,
) -> Begun {
    let none = |reason| {
        Begun::Ended(ended(
            Outcome::ConnectFailed(ConnectFailure::Unreachable),
            reason,
        ))
    };
    let reset = |reason| Begun::Ended(ended(Outcome::ConnectionReset(ResetCause::InUse), reason));
    let answer = loop {
        // Workers drop kept connections unseen, and a request that is under way then may have run.
        let connection = match spec.non_idempotent {
            true => shared.pool.connect(&spec.endpoint, spec.write_by).await,
            false => shared.pool.acquire(&spec.endpoint, spec.write_by).await,
        };
        let connection = match connection {
            Ok(connection) => connection,
            Err(ConnectError::Server) => return none(EndReason::NoConnection),
            Err(ConnectError::Local) => {
                let outcome = Outcome::ConnectFailed(ConnectFailure::LocalResources);
                return Begun::Ended(ended(outcome, EndReason::NoLocalConnection));
            }
        };
        // A connection may have taken its time: what drains by now is sent nothing more, nor is what is over.
        if !spec.endpoint.is_active() || !spec.is_live.get() {
            shared.pool.release(connection).await;
            return none(EndReason::NotNeeded);
        }
        let connection = slot.insert(connection);
        let left = spec
            .expires_at
            .saturating_duration_since(Instant::now())
            .as_millis();
        let request = Request::builder()
            .method(Method::POST)
            .uri(spec.message.target.as_str())
            .header("host", "worker")
            .header("x-request-id", &*spec.request_id)
            .header("x-deadline-ms", left.to_string())
            .header("content-type", spec.message.media_type.as_str())
            .body(spec.message.body.clone());
        let Ok(mut request) = request else {
            return Begun::Ended(ended(Outcome::NotSent, EndReason::NotEncodable));
        };
        request.headers_mut().extend(spec.message.headers.clone());
        let progress = connection.progress().clone();
        let told = async {
            progress.wait_all_written().await;
            written.send_replace(true);
            std::future::pending::<()>().await;
        };
        let answer = tokio::select! {
            answer = connection.send(request) => answer,
            () = stalled(Some(&*progress)) => return reset(EndReason::Stalled),
            () = told => return none(EndReason::TaskFailed),
        };
        match answer {
            Ok(answer) => break answer,
            Err(_) if slot.as_ref().is_some_and(PooledConnection::was_stale) => {
                // Closed while it was kept: nothing of the request is out, so this is no second copy.
                if let Some(connection) = slot.take() {
                    connection.close().await;
                }
            }
            Err(_) => return reset(EndReason::ConnectionBroken),
        }
    };
    let progress = slot
        .as_ref()
        .map(|connection| connection.progress().clone());
    tokio::select! {
        begun = answered(shared, spec, answer, slot) => begun,
        () = stalled(progress.as_deref()) => reset(EndReason::Stalled),
    }
}

/// Waits until the answer that comes over a connection does not go on, though it is waited for from now on.
async fn stalled(progress: Option<&WireProgress>) {
    match progress {
        Some(progress) => progress.stalled(Instant::now()).await,
        None => std::future::pending().await,
    }
}

async fn answered(
    shared: &Shared,
    spec: &AttemptSpec,
    answer: Response<Incoming>,
    slot: &mut Option<PooledConnection>,
) -> Begun {
    let (head, mut body) = answer.into_parts();
    let load = reply::load_of(&head.headers, &shared.options.report);
    let expected = if spec.prefill_only {
        Expected::State
    } else {
        Expected::Answer
    };
    let reply = Reply::decode(expected, head.status, &head.headers);
    if reply == Reply::Stream {
        let media_type = head
            .headers
            .get("content-type")
            .and_then(|v| v.to_str().ok());
        let media_type = media_type.unwrap_or(EVENTS).to_owned();
        return match opening(&mut body, media_type.starts_with(EVENTS)).await {
            Some(first) => Begun::Streams {
                body,
                first,
                media_type,
            },
            None => Begun::Ended(ended(
                Outcome::ConnectionReset(ResetCause::InUse),
                EndReason::ConnectionBroken,
            )),
        };
    }
    let Ok(text) = collect(body).await else {
        return Begun::Ended(ended(
            Outcome::ConnectionReset(ResetCause::InUse),
            EndReason::ConnectionBroken,
        ));
    };
    let mut wire = WireTrace::default();
    if let Some(connection) = slot.take() {
        wire = connection.trace();
        shared.pool.release(connection).await;
    }
    wire.reason = EndReason::Responded(head.status.as_u16());
    Begun::Ended(match reply {
        Reply::Ended(outcome) => AttemptReport {
            outcome,
            cached_tokens: 0,
            load,
            wire,
        },
        _ => AttemptReport {
            outcome: Outcome::Prefilled {
                cached_tokens: reply::kept_tokens(&text),
            },
            cached_tokens: 0,
            load,
            wire,
        },
    })
}

/// The beginning of a stream, of events the first whole one; `None` if there is none. Guards against a request
/// that is bound to a stream of which nothing of use has come.
async fn opening(body: &mut Incoming, events: bool) -> Option<Bytes> {
    let mut held = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        held.extend_from_slice(&data);
        let whole = !events || ends_an_event(&held) || held.len() > BODY_MOST;
        if whole && !held.is_empty() {
            return Some(held.freeze());
        }
    }
    Some(held.freeze()).filter(|held| !held.is_empty())
}

/// Whether a blank line is among these bytes, in any of the forms in which events may end.
fn ends_an_event(bytes: &[u8]) -> bool {
    let ends: [&[u8]; 3] = [b"\n\n", b"\r\r", b"\r\n\r\n"];
    ends.iter()
        .any(|end| bytes.windows(end.len()).any(|part| part == *end))
}
