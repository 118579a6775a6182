//! An attempt at an endpoint, from acquiring a connection to reporting its outcome.

mod relay;
mod start;

use std::rc::Rc;

use cranetack_routing_policy::{ConnectFailure, Outcome, ResetCause};
use tokio::sync::{oneshot, watch};
use tokio::time::sleep_until;

use super::connection::PooledConnection;
use super::{AttemptTable, Shared};
use crate::core::{AttemptId, AttemptReport, AttemptSpec, CoreEvent, EndReason, Handle, WireTrace};
use crate::exchange;
use start::{start_response, ResponseStart, StreamStart};

/// Reports the end of an attempt when the guard is dropped, so that it is reported even if the
/// attempt's task panics or is aborted.
pub(super) struct AttemptEndGuard {
    pub(super) attempt: AttemptId,
    pub(super) handle: Handle,
    pub(super) attempts: AttemptTable,
    pub(super) report: AttemptReport,
}

impl Drop for AttemptEndGuard {
    fn drop(&mut self) {
        self.attempts.borrow_mut().remove(&self.attempt);
        self.handle.send(CoreEvent::AttemptEnded {
            attempt: self.attempt,
            report: self.report,
        });
    }
}

/// An attempt and the signals that control it.
pub(super) struct Attempt {
    pub(super) shared: Rc<Shared>,
    pub(super) spec: AttemptSpec,
    pub(super) request_written: watch::Sender<bool>,
    pub(super) cancelled: oneshot::Receiver<()>,
    pub(super) stream_aborted: oneshot::Receiver<()>,
}

impl Attempt {
    /// Makes the attempt and stores its report in `end_guard`.
    pub(super) async fn run(mut self, mut end_guard: AttemptEndGuard) {
        let mut held_connection = None;
        let start = self.start(&mut held_connection).await;
        // `None` if no connection was acquired, or after a complete response without a stream: then
        // the connection is back in the pool, and its trace is in the report.
        let trace_at_start = held_connection.as_ref().map(PooledConnection::trace);
        end_guard.report = match start {
            ResponseStart::Streaming(stream) => self.stream(stream, &mut held_connection).await,
            ResponseStart::Ended(report) => report,
        };
        let trace = held_connection.as_ref().map(PooledConnection::trace);
        if let Some(trace) = trace.or(trace_at_start) {
            end_guard.report.wire = WireTrace {
                reason: end_guard.report.wire.reason,
                ..trace
            };
        }
        if let Some(connection) = held_connection {
            let outcome = end_guard.report.outcome;
            end_guard.report.outcome = refine_abandoned_outcome(outcome, &connection);
            self.abandon(connection, outcome).await;
        }
    }

    /// Waits until the response begins to stream, or the attempt ends without a stream.
    async fn start(&mut self, held_connection: &mut Option<PooledConnection>) -> ResponseStart {
        tokio::select! {
            biased;
            start = start_response(
                &self.shared,
                &self.spec,
                &self.request_written,
                held_connection,
            ) => start,
            Ok(()) = &mut self.cancelled => {
                ResponseStart::ended(Outcome::Cancelled, EndReason::Cancelled)
            }
            () = sleep_until(self.spec.expires_at) => {
                ResponseStart::ended(Outcome::TimedOut, EndReason::Expired)
            }
        }
    }

    /// Relays the response stream to its end, and returns the connection to the pool if the
    /// response is complete.
    async fn stream(
        &mut self,
        stream: StreamStart,
        held_connection: &mut Option<PooledConnection>,
    ) -> AttemptReport {
        // This attempt does not send the request again, so its memory can be freed early.
        self.spec.message = Rc::default();
        let StreamStart {
            mut body,
            first_chunk,
            media_type,
        } = stream;
        let (sender, receiver) = exchange::body_channel(&self.shared.options.memory);
        self.shared.handle.send(CoreEvent::StreamStarted {
            attempt: self.spec.attempt,
            media_type,
            body: receiver,
        });
        let progress = held_connection
            .as_ref()
            .map(|connection| connection.progress().clone());
        let options = &self.shared.options;
        let idle_timeout = if self.spec.is_resumable {
            options.resumable_stream_idle_timeout
        } else {
            options.stream_idle_timeout
        };
        let relayed = tokio::select! {
            relayed = relay::relay(
                &mut body,
                first_chunk,
                sender,
                idle_timeout,
                progress.as_deref(),
            ) => relayed,
            Ok(()) = &mut self.stream_aborted => Err(Outcome::Cancelled),
        };
        match relayed {
            Ok(tail) => {
                if let Some(connection) = held_connection.take() {
                    self.shared.pool.release(connection).await;
                }
                tail.report(&options.load_report_columns)
                    .with_reason(EndReason::StreamCompleted)
            }
            Err(outcome) => AttemptReport::from(outcome).with_reason(EndReason::StreamBroken),
        }
    }

    /// Closes a connection that cannot be returned to the pool. The end of the attempt is reported
    /// only afterwards, so that the endpoint does not receive the next attempt while this one is
    /// still open there.
    async fn abandon(&self, connection: PooledConnection, outcome: Outcome) {
        tracing::debug!(
            request_id = %self.spec.request_id,
            attempt = self.spec.attempt.number,
            endpoint = self.spec.endpoint.name,
            ?outcome,
            idle_for = ?connection.idle_for(),
            request_written = connection.progress().request_complete(),
            "connection abandoned"
        );
        connection.abandon().await;
    }
}

/// Refines the outcome of an attempt by the state of its abandoned connection: a request that was
/// not written completely was not executed, and an endpoint may have dropped an idle connection
/// without the router noticing.
fn refine_abandoned_outcome(outcome: Outcome, connection: &PooledConnection) -> Outcome {
    let is_reset = matches!(outcome, Outcome::ConnectionReset(_));
    let request_complete = connection.progress().request_complete();
    if (is_reset || outcome == Outcome::TimedOut) && !request_complete {
        Outcome::ConnectFailed(ConnectFailure::Unreachable)
    } else if is_reset && connection.was_dropped_idle() {
        Outcome::ConnectionReset(ResetCause::StaleIdle)
    } else {
        outcome
    }
}
