//! The core runs the routing policy.
//!
//! It owns the policy, the clock, the timers, and the tables of requests and endpoints. It turns
//! each [`CoreEvent`] into events of the policy, and carries out the policy's actions through
//! [`Outbound`]. It does no network I/O, and it is the only part of the router that ends a request.

mod clock;
mod dispatch;
mod endpoint;
mod endpoints;
mod executed_ids;
pub mod guard;
mod handle;
mod messages;
pub mod recorder;
mod requests;
mod timers;

use std::collections::{HashMap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

use cranetack_routing_policy::{
    Action, EndpointUpdate, Event, Micros, Policy, RequestId, Settings,
};
use tokio::sync::mpsc;

use crate::exchange::FinalResponse;
pub use clock::Clock;
pub use endpoint::{Endpoint, EndpointEntry, EndpointListUpdate};
use endpoints::EndpointTable;
use executed_ids::ExecutedIds;
pub use handle::Handle;
pub use messages::{
    AttemptId, AttemptReport, AttemptSpec, CoreEvent, EndReason, EndpointReport, IncomingRequest,
    Outbound, SlotReservation, UsedConnection, WireTrace, Written,
};
use recorder::Step;
use requests::Request;
use timers::TimerQueue;

/// The maximum time in microseconds that the core sleeps before it reads the clock again.
const MAX_TIMER_WAIT: Micros = 1_000_000;

/// The policy with its timers and its tables of requests and endpoints. It handles one event at a
/// time and never blocks.
pub struct Core<O> {
    settings: Settings,
    seed: u64,
    policy: Policy,
    clock: Clock,
    outbound: O,
    endpoints: EndpointTable,
    requests: HashMap<RequestId, Request>,
    executed_ids: ExecutedIds,
    timers: TimerQueue,
    /// The event with which the policy was told of the router's shutdown, if there is one.
    shutdown: Option<Event>,
    /// Events for the policy that arose while an action was carried out.
    pending_events: VecDeque<Event>,
    violations: u64,
}

impl<O: Outbound> Core<O> {
    /// Creates a core with an empty endpoint list.
    pub fn new(settings: Settings, seed: u64, clock: Clock, outbound: O) -> Core<O> {
        Core {
            policy: Policy::new(settings.clone(), seed, clock.now()),
            settings,
            seed,
            clock,
            outbound,
            endpoints: EndpointTable::default(),
            requests: HashMap::new(),
            executed_ids: ExecutedIds::default(),
            timers: TimerQueue::default(),
            shutdown: None,
            pending_events: VecDeque::new(),
            violations: 0,
        }
    }

    /// Runs until all handles have been dropped.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<CoreEvent>) {
        // The policy returns its first timers with the actions of its first event, so it gets an
        // empty delta. The policy counts that as a received endpoint list, so that a start in a
        // list that follows within 5 s counts as recent.
        self.catching_panics(|core| {
            core.handle_policy_event(Event::EndpointsUpdated(EndpointUpdate::Delta(Vec::new())));
        });
        loop {
            let latest = self.clock.now() + MAX_TIMER_WAIT;
            let wake_at = self.timers.next().map_or(latest, |at| at.min(latest));
            let wake_at = self.clock.instant_of(wake_at);
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.catching_panics(|core| core.handle(event)),
                    None => return,
                },
                () = tokio::time::sleep_until(wake_at) =>
                    self.catching_panics(Self::fire_due_timers),
            }
        }
    }

    /// Reports all timers that are due to the policy.
    pub fn fire_due_timers(&mut self) {
        let now = self.clock.now();
        while let Some(key) = self.timers.pop_due(now) {
            self.handle_policy_event(Event::TimerFired(key));
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, event: CoreEvent) {
        match event {
            CoreEvent::RequestSubmitted {
                id,
                request,
                responder,
            } => self.request_submitted(id, request, responder),
            CoreEvent::ClientDisconnected(id) => self.client_disconnected(id),
            CoreEvent::StreamStarted {
                attempt,
                media_type,
                body,
            } => self.stream_started(attempt, media_type, body),
            CoreEvent::AttemptEnded { attempt, report } => self.attempt_ended(attempt, report),
            CoreEvent::SlotReservationCompleted {
                prefill_attempt,
                request_id,
                endpoint,
                reservation,
            } => {
                self.slot_reservation_completed(prefill_attempt, request_id, endpoint, reservation);
            }
            CoreEvent::HealthChecked {
                endpoint,
                outcome,
                elapsed,
                load,
            } => self.health_checked(endpoint, outcome, elapsed, load),
            CoreEvent::EndpointsUpdated(update) => self.endpoints_updated(update),
            CoreEvent::EndpointsDraining(names) => self.endpoints_draining(&names),
            CoreEvent::ShutdownStarted {
                migrate_from,
                respond_by,
            } => {
                let migrate_from = self.clock.time_of(migrate_from);
                let respond_by = self.clock.time_of(respond_by);
                let shutdown = Event::ShutdownStarted {
                    migrate_from,
                    respond_by,
                };
                self.shutdown = Some(shutdown.clone());
                self.handle_policy_event(shutdown);
            }
            CoreEvent::EndpointReportsRequested(reply) => {
                // The receiver may have been dropped.
                let _ = reply.send(self.endpoint_reports());
            }
            CoreEvent::GossipReceived { from, payload } => {
                self.handle_policy_event(Event::GossipReceived { from, payload });
            }
        }
    }

    /// Passes an event to the policy and carries out the resulting actions, then does the same for
    /// the events that these actions produce.
    fn handle_policy_event(&mut self, event: Event) {
        self.pending_events.push_back(event);
        while let Some(event) = self.pending_events.pop_front() {
            let request = request_maybe_done_after(&event);
            let now = self.clock.now();
            let mut actions = Vec::new();
            self.policy.handle(now, event, &mut actions);
            for action in actions {
                self.apply_action(action);
            }
            if let Some(id) = request {
                self.remove_if_done(id);
            }
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                endpoint,
                expires_at,
                write_by,
            } => self.send(id, endpoint, expires_at, write_by),
            Action::ReserveSlot { id, endpoint } => self.reserve_slot(id, endpoint),
            Action::ReleaseState(id) => self.release_state(id),
            Action::CancelAttempt { id, attempt } => self.cancel(id, attempt),
            Action::Reject { id, retry_after } => {
                let retry_after = u64::try_from(retry_after).unwrap_or(0);
                self.reject(id, Duration::from_micros(retry_after));
            }
            Action::Fail(id) => self.finish(id, Some(FinalResponse::Failed)),
            Action::Migrate(id) => self.migrate(id),
            Action::SetTimer { at, key } => self.timers.push(at, key),
            Action::HealthCheck(endpoint) => {
                if let Some(endpoint) = self.endpoints.handle(endpoint) {
                    self.outbound.health_check(endpoint.clone());
                }
            }
            Action::Gossip { to, payload } => self.outbound.gossip(to, payload),
            // The router watches the endpoint list for as long as it runs.
            Action::SubscribeEndpoints(_) => {}
        }
    }

    /// Runs a step. After a panic in the policy or in the core the policy is restarted: a panic
    /// must not end the process.
    fn catching_panics(&mut self, step: impl FnOnce(&mut Self)) {
        if catch_unwind(AssertUnwindSafe(|| step(self))).is_err() {
            self.restart_policy();
        }
    }

    /// Replaces the policy by a new one with the current endpoint list, which is told of a shutdown
    /// that has started. Requests without a response fail, as they may have been executed;
    /// responses that stream go on.
    fn restart_policy(&mut self) {
        tracing::error!(
            "a decision failed: the policy is restarted, and requests without a response fail"
        );
        let now = self.clock.now();
        self.policy = Policy::new(self.settings.clone(), self.seed ^ now as u64, now);
        self.timers.clear();
        self.pending_events.clear();
        let open: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in open {
            self.cancel_unless_streaming(id);
            self.finish(id, Some(FinalResponse::Failed));
            self.release_state(id);
            self.remove_if_done(id);
        }
        let specs = self.endpoints.specs();
        self.handle_policy_event(Event::EndpointsUpdated(EndpointUpdate::Snapshot(specs)));
        if let Some(shutdown) = self.shutdown.clone() {
            self.handle_policy_event(shutdown);
        }
    }

    /// Records a step in the trace of a request.
    fn record_step(&mut self, id: RequestId, step: Step) {
        let now = self.clock.now();
        if let Some(request) = self.requests.get_mut(&id) {
            request.trace.record(now, step);
        }
    }

    /// The number of the policy's decisions that were not carried out because they would have
    /// violated the rule on idempotency.
    pub fn violations(&self) -> u64 {
        self.violations
    }
}

/// The request whose record may no longer be needed once an event has been handled.
fn request_maybe_done_after(event: &Event) -> Option<RequestId> {
    match event {
        Event::RequestArrived(spec) => Some(spec.id),
        Event::AttemptEnded { id, .. } | Event::ClientDisconnected(id) => Some(*id),
        _ => None,
    }
}
