//! An attempt at an endpoint, from its connection to the report of its end.

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

/// Reports the end of an attempt when it is dropped, so that the end of an attempt whose task
/// fails is reported too.
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

/// An attempt, with the signals that control it.
pub(super) struct Attempt {
    pub(super) shared: Rc<Shared>,
    pub(super) spec: AttemptSpec,
    pub(super) request_written: watch::Sender<bool>,
    pub(super) cancelled: oneshot::Receiver<()>,
    pub(super) stream_aborted: oneshot::Receiver<()>,
}

impl Attempt {
    /// Makes the attempt; its report goes into the guard.
    pub(super) async fn run(mut self, mut end_guard: AttemptEndGuard) {
        let mut slot = None;
        let start = self.start(&mut slot).await;
        // There is none once the connection is back in the pool; the report holds its trace then.
        let trace_at_start = slot.as_ref().map(PooledConnection::trace);
        end_guard.report = match start {
            ResponseStart::Streaming(stream) => self.stream(stream, &mut slot).await,
            ResponseStart::Ended(report) => report,
        };
        let trace = slot.as_ref().map(PooledConnection::trace);
        if let Some(trace) = trace.or(trace_at_start) {
            end_guard.report.wire = WireTrace {
                reason: end_guard.report.wire.reason,
                ..trace
            };
        }
        if let Some(connection) = slot {
            let outcome = end_guard.report.outcome;
            end_guard.report.outcome = outcome_of_abandoned(outcome, &connection);
            self.abandon(connection, outcome).await;
        }
    }

    /// Waits until the response begins, or the attempt ends without one.
    async fn start(&mut self, slot: &mut Option<PooledConnection>) -> ResponseStart {
        tokio::select! {
            biased;
            start = start_response(&self.shared, &self.spec, &self.request_written, slot) => start,
            Ok(()) = &mut self.cancelled => {
                ResponseStart::ended(Outcome::Cancelled, EndReason::Cancelled)
            }
            () = sleep_until(self.spec.expires_at) => {
                ResponseStart::ended(Outcome::TimedOut, EndReason::Expired)
            }
        }
    }

    /// Passes the response on to its end, and gives the connection back if it is complete.
    async fn stream(
        &mut self,
        stream: StreamStart,
        slot: &mut Option<PooledConnection>,
    ) -> AttemptReport {
        // The request is not sent again over this attempt: its memory is freed early.
        self.spec.message = Rc::default();
        let StreamStart {
            mut body,
            first_chunk,
            media_type,
        } = stream;
        let (sender, receiver) = exchange::body_channel();
        self.shared.handle.send(CoreEvent::StreamStarted {
            attempt: self.spec.attempt,
            media_type,
            body: receiver,
        });
        let progress = slot
            .as_ref()
            .map(|connection| connection.progress().clone());
        let options = &self.shared.options;
        let relayed = tokio::select! {
            relayed = relay::relay(
                &mut body,
                first_chunk,
                sender,
                options.stream_idle_timeout,
                progress.as_deref(),
            ) => relayed,
            Ok(()) = &mut self.stream_aborted => Err(Outcome::Cancelled),
        };
        match relayed {
            Ok(tail) => {
                if let Some(connection) = slot.take() {
                    self.shared.pool.release(connection).await;
                }
                tail.report(&options.report)
                    .because(EndReason::StreamCompleted)
            }
            Err(outcome) => AttemptReport::from(outcome).because(EndReason::StreamBroken),
        }
    }

    /// Ends a connection that cannot go back to the pool. This comes before the report of the end:
    /// the endpoint must not see the next attempt while it still has this one.
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

/// What the outcome of an attempt means with its connection in view: a request that was never
/// written completely was not executed, and an idle connection may have been dropped unnoticed.
fn outcome_of_abandoned(outcome: Outcome, connection: &PooledConnection) -> Outcome {
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
