//! The client side: attempts, probes, and places held at workers, over connections that it owns.

mod attempt;
mod calls;
mod dial;
#[cfg(test)]
mod model;
mod pool;
mod progress;
mod reply;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use cranetack_routing_policy::{EndpointId, Outcome, RejectReason, RequestId, ResetCause};
use cranetack_settings::Report;
use http::StatusCode;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use crate::core::{AttemptId, AttemptSpec, CoreEvent, Endpoint, Handle, Outbound};
use crate::peers::Peers;
use attempt::{Attempt, Reporter};
use pool::ConnectionPool;

/// The most of an answer that is held at once; streams are not held.
const BODY_MOST: usize = 64 * 1024;
/// The interval between two looks for connections whose time is up.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Timings and sizes of the client side.
#[derive(Clone)]
pub struct Options {
    /// Connections to all workers together.
    pub connection_limit: usize,
    /// How long a connection may take to come up.
    pub connect_timeout: Duration,
    /// When workers close an idle connection.
    pub idle_close: Duration,
    /// How long a stream may be silent.
    pub silence: Duration,
    /// The names of the figures in load reports.
    pub report: Report,
}

/// The client side.
pub struct Upstream {
    shared: Rc<Shared>,
    running: Running,
    peers: Option<Peers>,
}

struct Shared {
    handle: Handle,
    /// How many releases have not ended.
    releases: watch::Sender<usize>,
    pool: ConnectionPool,
    options: Options,
}

/// Attempts that are out, by their ids.
type Running = Rc<RefCell<HashMap<AttemptId, Control>>>;

struct Control {
    cancel: Option<oneshot::Sender<()>>,
    break_off: Option<oneshot::Sender<()>>,
    written: watch::Receiver<bool>,
}

impl Upstream {
    /// A client side that reports to this handle. Must be called within a `LocalSet`.
    pub fn new(handle: Handle, options: Options, peers: Option<Peers>) -> Upstream {
        let pool = ConnectionPool::new(
            options.connection_limit,
            options.connect_timeout,
            options.idle_close,
        );
        let shared = Rc::new(Shared {
            handle,
            releases: watch::Sender::new(0),
            pool,
            options,
        });
        let weak = Rc::downgrade(&shared);
        tokio::task::spawn_local(async move {
            while let Some(shared) = weak.upgrade() {
                shared.pool.close_expired();
                drop(shared);
                tokio::time::sleep(EXPIRY_INTERVAL).await;
            }
        });
        Upstream {
            shared,
            running: Running::default(),
            peers,
        }
    }
}

impl Upstream {
    /// How many releases have not ended.
    pub fn releases(&self) -> watch::Receiver<usize> {
        self.shared.releases.subscribe()
    }
}

impl Outbound for Upstream {
    fn send(&mut self, spec: AttemptSpec) {
        let (cancel, cancelled) = oneshot::channel();
        let (break_off, broken_off) = oneshot::channel();
        let (written_tx, written) = watch::channel(false);
        let control = Control {
            cancel: Some(cancel),
            break_off: Some(break_off),
            written,
        };
        let report = Reporter {
            attempt: spec.attempt,
            handle: self.shared.handle.clone(),
            running: self.running.clone(),
            ended: Outcome::ConnectionReset(ResetCause::InUse).into(),
        };
        self.running.borrow_mut().insert(spec.attempt, control);
        let attempt = Attempt {
            shared: self.shared.clone(),
            spec,
            written: written_tx,
            cancelled,
            broken_off,
        };
        tokio::task::spawn_local(attempt.run(report));
    }

    fn cancel(&mut self, attempt: AttemptId, streaming: bool) {
        if let Some(control) = self.running.borrow_mut().get_mut(&attempt) {
            let word = if streaming {
                &mut control.break_off
            } else {
                &mut control.cancel
            };
            word.take().map(|w| w.send(()));
        }
    }

    fn reserve_slot(
        &mut self,
        prefill_attempt: AttemptId,
        request_id: Rc<str>,
        writer: Rc<Endpoint>,
    ) {
        let Some(written) = self
            .running
            .borrow()
            .get(&prefill_attempt)
            .map(|c| c.written.clone())
        else {
            return;
        };
        let shared = self.shared.clone();
        tokio::task::spawn_local(async move {
            if let Some(place) = shared
                .request_reservation(written, &request_id, &writer)
                .await
            {
                let endpoint = writer.id;
                shared.handle.send(CoreEvent::SlotReservationAnswered {
                    prefill_attempt,
                    request_id,
                    endpoint,
                    reservation: place,
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
        shared.releases.send_modify(|running| *running += 1);
        tokio::task::spawn_local(async move {
            shared.clone().let_go(request_id, endpoints).await;
            shared.releases.send_modify(|running| *running -= 1);
        });
    }

    fn health_check(&mut self, endpoint: Rc<Endpoint>) {
        let shared = self.shared.clone();
        tokio::task::spawn_local(async move {
            let began = Instant::now();
            let (outcome, load) = match shared.load(&endpoint).await {
                Ok((StatusCode::OK, text)) => (
                    Outcome::Completed,
                    reply::load(&text, &shared.options.report),
                ),
                Ok(_) => (Outcome::Rejected(RejectReason::Overloaded), None),
                Err(outcome) => (outcome, None),
            };
            shared.handle.send(CoreEvent::HealthChecked {
                endpoint: endpoint.id,
                outcome,
                elapsed: began.elapsed(),
                load,
            });
        });
    }

    fn close_idle(&mut self, endpoint: EndpointId) {
        self.shared.pool.close_idle(endpoint);
    }

    fn gossip(&mut self, to: Option<u32>, payload: Vec<u8>) {
        if let Some(peers) = &self.peers {
            peers.send(to, &payload);
        }
    }
}
