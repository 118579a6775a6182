//! HTTP client for endpoints: makes attempts, health checks, slot reservations and releases of KV
//! state over pooled connections.

mod attempt;
mod calls;
mod connection;
mod dial;
mod load_report;
mod observed_stream;
mod pool;
mod progress;
mod request_body;
mod response;
mod stream_tail;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use cranetack_routing_policy::{EndpointId, Outcome, RequestId, ResetCause};
use cranetack_settings::LoadReportSettings;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use crate::core::{AttemptId, AttemptSpec, CoreEvent, Endpoint, Handle, Outbound};
use crate::gossip::GossipSocket;
use crate::memory::{MemoryLedger, Reclaim};
use crate::tasks::TaskSpawner;
use attempt::{Attempt, AttemptEndGuard};
use pool::ConnectionPool;
pub(crate) use pool::CONNECTION_BYTES;

/// Maximum number of bytes buffered of a response body. Of an event stream, the first event is
/// buffered until it exceeds this limit; the rest of a stream is relayed without buffering.
const BODY_BYTES_LIMIT: usize = 64 * 1024;
/// The interval at which expired idle connections are closed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Timeouts, limits and formats for communication with endpoints.
#[derive(Clone)]
pub struct Options {
    /// Maximum number of connections to all endpoints together.
    pub connection_limit: usize,
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Idle time after which endpoints close a connection.
    pub endpoint_idle_timeout: Duration,
    /// Maximum time without data from a stream that cannot be resumed before it counts as broken.
    pub stream_idle_timeout: Duration,
    /// The same for a stream that its client can resume at another router.
    pub resumable_stream_idle_timeout: Duration,
    /// Names of the values in load reports.
    pub load_report_columns: LoadReportSettings,
    /// The memory of the router.
    pub memory: MemoryLedger,
}

/// Makes the calls to endpoints that the core requests, and sends the core's gossip to other
/// routers.
pub struct Upstream {
    shared: Rc<Shared>,
    attempts: AttemptTable,
    gossip: Option<GossipSocket>,
    tasks: TaskSpawner,
}

/// State that the tasks of the [`Upstream`] share.
struct Shared {
    handle: Handle,
    releases_in_progress: watch::Sender<usize>,
    pool: ConnectionPool,
    options: Options,
}

/// Controls of the attempts in flight, by attempt id.
type AttemptTable = Rc<RefCell<HashMap<AttemptId, AttemptControl>>>;

/// Signals that end an attempt in flight, and whether its request has been written.
struct AttemptControl {
    /// Cancels the attempt before its response begins to stream.
    cancel: Option<oneshot::Sender<()>>,
    /// Aborts the response stream.
    abort_stream: Option<oneshot::Sender<()>>,
    /// Set to true once the request's last byte has been written.
    request_written: watch::Receiver<bool>,
}

impl Reclaim for Shared {
    fn reclaim(&self) {
        self.pool.evict_longest_idle();
    }
}

impl Upstream {
    /// Creates an upstream that sends its events to `handle` and spawns its tasks with `tasks`.
    /// Must be called within a `LocalSet`.
    pub fn new(
        handle: Handle,
        options: Options,
        gossip: Option<GossipSocket>,
        tasks: TaskSpawner,
    ) -> Upstream {
        let pool = ConnectionPool::new(
            options.connection_limit,
            options.connect_timeout,
            options.endpoint_idle_timeout,
            options.memory.clone(),
        );
        let shared = Rc::new(Shared {
            handle,
            releases_in_progress: watch::Sender::new(0),
            pool,
            options,
        });
        tasks.spawn(close_expired_connections(Rc::downgrade(&shared)));
        let reclaimer = Rc::downgrade(&(shared.clone() as Rc<dyn Reclaim>));
        shared.options.memory.add_reclaimer(reclaimer);
        Upstream {
            shared,
            attempts: AttemptTable::default(),
            gossip,
            tasks,
        }
    }

    /// Returns a watch of the number of releases of KV state in progress.
    pub fn releases_in_progress(&self) -> watch::Receiver<usize> {
        self.shared.releases_in_progress.subscribe()
    }
}

/// Closes expired idle connections periodically until the upstream is dropped.
async fn close_expired_connections(shared: Weak<Shared>) {
    while let Some(shared) = shared.upgrade() {
        shared.pool.close_expired();
        drop(shared);
        tokio::time::sleep(EXPIRY_INTERVAL).await;
    }
}

impl Outbound for Upstream {
    fn send(&mut self, spec: AttemptSpec) {
        let (cancel, cancelled) = oneshot::channel();
        let (abort_stream, stream_aborted) = oneshot::channel();
        let (written_sender, request_written) = watch::channel(false);
        let control = AttemptControl {
            cancel: Some(cancel),
            abort_stream: Some(abort_stream),
            request_written,
        };
        self.attempts.borrow_mut().insert(spec.attempt, control);
        let end_guard = AttemptEndGuard {
            attempt: spec.attempt,
            handle: self.shared.handle.clone(),
            attempts: self.attempts.clone(),
            // Reported if the task panics or is aborted: the request may have been executed.
            report: Outcome::ConnectionReset(ResetCause::InUse).into(),
        };
        let attempt = Attempt {
            shared: self.shared.clone(),
            spec,
            request_written: written_sender,
            cancelled,
            stream_aborted,
        };
        self.tasks.spawn(attempt.run(end_guard));
    }

    fn cancel(&mut self, attempt: AttemptId, streaming: bool) {
        let mut attempts = self.attempts.borrow_mut();
        let Some(control) = attempts.get_mut(&attempt) else {
            return;
        };
        let signal = if streaming {
            control.abort_stream.take()
        } else {
            control.cancel.take()
        };
        if let Some(signal) = signal {
            // The receiver has been dropped if the attempt has just ended.
            let _ = signal.send(());
        }
    }

    fn reserve_slot(
        &mut self,
        prefill_attempt: AttemptId,
        request_id: Rc<str>,
        decode: Rc<Endpoint>,
    ) {
        let attempts = self.attempts.borrow();
        let Some(control) = attempts.get(&prefill_attempt) else {
            return;
        };
        let prefill_written = control.request_written.clone();
        let shared = self.shared.clone();
        self.tasks.spawn(async move {
            let reservation = shared
                .request_reservation(prefill_written, &request_id, &decode)
                .await;
            if let Some(reservation) = reservation {
                shared.handle.send(CoreEvent::SlotReservationCompleted {
                    prefill_attempt,
                    request_id,
                    endpoint: decode.id,
                    reservation,
                });
            }
        });
    }

    fn release_state(
        &mut self,
        _request: RequestId,
        request_id: Rc<str>,
        endpoints: Vec<Rc<Endpoint>>,
    ) {
        let shared = self.shared.clone();
        shared.releases_in_progress.send_modify(|count| *count += 1);
        self.tasks.spawn(async move {
            shared.clone().release(request_id, endpoints).await;
            shared.releases_in_progress.send_modify(|count| *count -= 1);
        });
    }

    fn health_check(&mut self, endpoint: Rc<Endpoint>) {
        let shared = self.shared.clone();
        self.tasks.spawn(async move {
            let started = Instant::now();
            let (outcome, load) = match shared.fetch_load_report(&endpoint).await {
                Ok(load) => (Outcome::Completed, load),
                Err(outcome) => (outcome, None),
            };
            shared.handle.send(CoreEvent::HealthChecked {
                endpoint: endpoint.id,
                outcome,
                elapsed: started.elapsed(),
                load,
            });
        });
    }

    fn close_idle(&mut self, endpoint: EndpointId) {
        self.shared.pool.close_idle(endpoint);
    }

    fn gossip(&mut self, to: Option<u32>, payload: Vec<u8>) {
        if let Some(gossip) = &self.gossip {
            gossip.send(to, &payload);
        }
    }
}

#[cfg(test)]
mod tests;
