//! The core: it owns the decision module, the clock, the timers and the table of requests and attempts. Typed
//! events become the module's events, and its actions are carried out through [`Outbound`]. It knows no
//! wire. It is the one place that ends a request.
mod clock;
mod endpoint;
pub mod guard;
mod handle;
mod messages;
pub mod recorder;

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::Duration;

use cranetack_routing_policy::idempotency::{PossibleExecution, RetryRule};
use cranetack_routing_policy::{
    Action, EndpointId, EndpointSpec, EndpointState, EndpointStatus, EndpointUpdate, Event,
    Idempotency, Micros, Outcome, Policy, PrefixId, RequestId, RequestSpec, Role, SessionId,
    Settings, TimerKey,
};
use tokio::sync::mpsc;

use crate::exchange::{BodyStream, FinalResponse, Responder};
use clock::micros;
pub use clock::Clock;
use endpoint::stable_hash;
pub use endpoint::{Endpoint, EndpointEntry, EndpointListUpdate};
use guard::{Breach, EffectRecord};
pub use handle::Handle;
pub use messages::{
    AttemptId, AttemptReport, AttemptSpec, CoreEvent, EndReason, EndpointReport, IncomingRequest,
    Outbound, SlotReservation, UsedConnection, WireTrace, Written,
};
use recorder::{NotSent, Step, Trace};

struct Request {
    incoming: IncomingRequest,
    arrived: Micros,
    valid_until: Micros,
    /// Present until the final answer.
    responder: Option<Responder>,
    /// The refusal that is given as soon as the attempt that is out has ended.
    parting: Option<FinalResponse>,
    attempts: u32,
    in_flight: Option<InFlight>,
    /// The module has let go of what was held, and nothing has been sent since.
    released: bool,
    over: bool,
    /// Seen by the attempt that is out, which may not have been written yet.
    is_live: Rc<Cell<bool>>,
    effects: EffectRecord,
    trace: Trace,
}

struct InFlight {
    stage: Role,
    run: PossibleExecution,
    number: u32,
    sent: Micros,
    endpoint: EndpointId,
    streaming: bool,
}

/// The module and its tables. It takes one event at a time and does not wait.
pub struct Core<O> {
    settings: Settings,
    seed: u64,
    policy: Policy,
    clock: Clock,
    outbound: O,
    endpoints: HashMap<EndpointId, Rc<Endpoint>>,
    members: HashMap<EndpointId, EndpointSpec>,
    requests: HashMap<RequestId, Request>,
    timers: BinaryHeap<Reverse<(Micros, TimerKey)>>,
    /// Events that carrying out an action gave at once.
    due: VecDeque<Event>,
    turn: usize,
    breaches: u64,
}

impl<O: Outbound> Core<O> {
    /// A core that knows no servers yet.
    pub fn new(settings: Settings, seed: u64, clock: Clock, outbound: O) -> Core<O> {
        Core {
            policy: Policy::new(settings.clone(), seed, clock.now()),
            settings,
            seed,
            clock,
            outbound,
            endpoints: HashMap::new(),
            members: HashMap::new(),
            requests: HashMap::new(),
            timers: BinaryHeap::new(),
            due: VecDeque::new(),
            turn: 0,
            breaches: 0,
        }
    }

    /// Runs until all handles are gone.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<CoreEvent>) {
        // The module's first timer is among the actions of its first event.
        self.guarded(|core| {
            core.decide(Event::EndpointsUpdated(EndpointUpdate::Delta(Vec::new())));
        });
        loop {
            let wake = self.timers.peek().map_or(i64::MAX, |Reverse((at, _))| *at);
            let wake = self.clock.instant(wake.min(self.clock.now() + 1_000_000));
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.guarded(|core| core.handle(event)),
                    None => return,
                },
                () = tokio::time::sleep_until(wake) => self.guarded(Self::fire),
            }
        }
    }

    /// Delivers the timers that are due.
    pub fn fire(&mut self) {
        let now = self.clock.now();
        while let Some(Reverse((at, key))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            self.decide(Event::TimerFired(key));
        }
    }

    /// Takes one event.
    pub fn handle(&mut self, event: CoreEvent) {
        match event {
            CoreEvent::RequestSubmitted {
                id,
                request,
                responder,
            } => self.submitted(id, request, responder),
            CoreEvent::ClientDisconnected(id) => self.client_gone(id),
            CoreEvent::StreamStarted {
                attempt,
                media_type,
                body,
            } => {
                self.established(attempt, media_type, body);
            }
            CoreEvent::AttemptEnded { attempt, report } => self.attempt_ended(attempt, report),
            CoreEvent::SlotReservationAnswered {
                prefill_attempt,
                request_id,
                endpoint,
                reservation,
            } => {
                self.reservation_answered(prefill_attempt, request_id, endpoint, reservation);
            }
            CoreEvent::HealthChecked {
                endpoint,
                outcome,
                elapsed,
                load,
            } => {
                if let Some(endpoint) = self.endpoints.get(&endpoint) {
                    tracing::debug!(
                        to = endpoint.name,
                        ?outcome,
                        ?elapsed,
                        ?load,
                        "a probe has ended"
                    );
                }
                if matches!(outcome, Outcome::Completed | Outcome::Rejected(_)) {
                    self.heard(endpoint);
                }
                self.decide(Event::HealthChecked {
                    endpoint,
                    outcome,
                    elapsed: micros(elapsed),
                    load,
                });
            }
            CoreEvent::EndpointsUpdated(update) => self.endpoints_updated(update),
            CoreEvent::EndpointsDraining(names) => self.members_leaving(&names),
            CoreEvent::ShutdownStarted {
                migrate_from,
                answer_by,
            } => {
                let migrate_from = self.clock.at(migrate_from);
                let answer_by = self.clock.at(answer_by);
                self.decide(Event::ShutdownStarted {
                    migrate_from,
                    answer_by,
                });
            }
            CoreEvent::EndpointReportsRequested(asker) => {
                let _ = asker.send(self.endpoint_statuses());
            }
            CoreEvent::GossipReceived { from, payload } => {
                self.decide(Event::GossipReceived { from, payload })
            }
        }
    }

    fn endpoint_statuses(&mut self) -> Vec<EndpointReport> {
        let standings = self.policy.endpoint_statuses(self.clock.now());
        let endpoint_status = |status: EndpointStatus| {
            let address = self.endpoints.get(&status.endpoint)?.address();
            Some(EndpointReport {
                address,
                spec: *self.members.get(&status.endpoint)?,
                status,
            })
        };
        standings.into_iter().filter_map(endpoint_status).collect()
    }

    fn submitted(&mut self, id: RequestId, incoming: IncomingRequest, responder: Responder) {
        // What servers hold is held by the id on the wire, so two requests must not share one.
        if self
            .requests
            .values()
            .any(|r| r.incoming.request_id == incoming.request_id)
        {
            responder.respond(FinalResponse::DuplicateId);
            return;
        }
        let now = self.clock.now();
        let valid_until = now.saturating_add(micros(incoming.time_to_first_byte));
        let ask = RequestSpec {
            id,
            class: incoming.class,
            session: incoming
                .session
                .as_deref()
                .map(|s| SessionId(stable_hash(s))),
            shared_prefix: incoming
                .shared_prefix
                .as_deref()
                .map(|p| PrefixId(stable_hash(p))),
            deadline: valid_until,
            expected_duration: incoming.expected_duration.map(micros),
            prompt_tokens: incoming.prompt_tokens,
            shared_prefix_tokens: incoming.shared_prefix_tokens,
            max_tokens: incoming.max_tokens,
            is_retry: incoming.is_retry,
            is_resumed: incoming.is_resumed,
            allowed_kinds: incoming.allowed_kinds,
        };
        let request = Request {
            incoming,
            arrived: now,
            valid_until,
            responder: Some(responder),
            parting: None,
            attempts: 0,
            in_flight: None,
            released: false,
            over: false,
            is_live: Rc::new(Cell::new(true)),
            effects: EffectRecord::default(),
            trace: Trace::default(),
        };
        let IncomingRequest {
            request_id,
            is_retry,
            is_resumed,
            session,
            shared_prefix,
            ..
        } = &request.incoming;
        let RequestSpec {
            class,
            prompt_tokens,
            shared_prefix_tokens,
            deadline,
            ..
        } = ask;
        let (class, time_to_first_byte) = (class.0, deadline - now);
        tracing::debug!(id = %request_id, class, prompt_tokens, shared_prefix_tokens, time_to_first_byte, is_retry, is_resumed, session, shared_prefix,
            "a request has come");
        self.requests.insert(id, request);
        self.note(id, Step::Taken { time_to_first_byte });
        self.decide(Event::RequestArrived(ask));
    }

    fn client_gone(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| !r.over) {
            self.note(id, Step::ClientGone);
            self.finish(id, None);
            self.decide(Event::ClientDisconnected(id));
        }
        self.forget(id);
    }

    fn established(&mut self, attempt: AttemptId, media_type: String, body: BodyStream) {
        let now = self.clock.now();
        let id = attempt.request;
        let Some(request) = self
            .requests
            .get_mut(&id)
            .filter(|r| !r.over && r.parting.is_none())
        else {
            return;
        };
        let Some(out) = request
            .in_flight
            .as_mut()
            .filter(|o| o.number == attempt.number)
        else {
            return;
        };
        out.streaming = true;
        request.trace.note(
            now,
            Step::Established {
                number: attempt.number,
            },
        );
        // Nothing further is sent for it: its body need not be held while the answer streams.
        request.incoming.message = Rc::default();
        let (endpoint, elapsed) = (out.endpoint, now - out.sent);
        tracing::debug!(id = %request.incoming.request_id, elapsed, "an answer has begun");
        if let Some(responder) = request.responder.take() {
            responder.respond(FinalResponse::Streaming { media_type, body });
        }
        self.decide(Event::StreamStarted {
            id,
            attempt: attempt.number,
            endpoint,
            elapsed,
        });
    }

    fn attempt_ended(&mut self, attempt: AttemptId, ended: AttemptReport) {
        let id = attempt.request;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(out) = request.in_flight.take_if(|o| o.number == attempt.number) else {
            return;
        };
        let AttemptReport {
            outcome,
            cached_tokens,
            load,
            wire,
        } = ended;
        let number = attempt.number;
        request.trace.note(
            self.clock.now(),
            Step::Ended {
                number,
                outcome,
                wire,
            },
        );
        request.effects.ended(out.stage, outcome, out.run);
        if out.streaming {
            self.finish(id, None);
        } else if let Some(refusal) = request.parting.take() {
            self.finish(id, Some(refusal));
        }
        let client_done = self.requests.get(&id).is_none_or(|r| r.over);
        if matches!(
            outcome,
            Outcome::Completed
                | Outcome::Prefilled { .. }
                | Outcome::Rejected(_)
                | Outcome::ServerError
        ) {
            self.heard(out.endpoint);
        }
        let (endpoint, elapsed) = (out.endpoint, self.clock.now() - out.sent);
        if let (Some(request), Some(to)) = (self.requests.get(&id), self.endpoints.get(&endpoint)) {
            let (id, to) = (&request.incoming.request_id, &to.name);
            tracing::debug!(%id, number, to, ?outcome, cached_tokens, elapsed, "an attempt has ended");
        }
        self.decide(Event::AttemptEnded {
            id,
            attempt: number,
            endpoint,
            outcome,
            client_done,
            elapsed,
            load,
        });
    }

    /// A place that may be held for a request that no longer wants one is let go: the answer may have
    /// crossed the module's own release. So is one of which the writer is unsure while we still wait for the read: none
    /// was out where it looked, so the read may be under way on a connection that has gone silent, with nothing out at
    /// its reader, and the place would be held for nobody.
    fn reservation_answered(
        &mut self,
        reading: AttemptId,
        request_id: Rc<str>,
        endpoint: EndpointId,
        place: SlotReservation,
    ) {
        let id = reading.request;
        self.note(id, Step::PlaceAnswered { place });
        let request = self.requests.get(&id);
        let is_live = request.is_some_and(|r| !r.over && !r.released && !r.streaming());
        tracing::debug!(id = %request_id, ?place, is_live, "a place was answered for");
        if place != SlotReservation::Unknown {
            self.heard(endpoint);
        }
        let unread = request
            .and_then(|r| r.in_flight.as_ref())
            .is_some_and(|o| o.number == reading.number);
        if (!is_live && place != SlotReservation::Refused)
            || (place == SlotReservation::Unknown && unread)
        {
            let endpoints = self.reachable();
            self.outbound.release_state(id, request_id, endpoints);
        } else if is_live
            && place != SlotReservation::Unknown
            && request.is_some_and(|r| r.in_flight.is_some())
        {
            self.decide(Event::SlotReservationAnswered {
                id,
                endpoint,
                granted: place == SlotReservation::Granted,
            });
        }
    }

    fn endpoints_updated(&mut self, update: EndpointListUpdate) {
        let update = match update {
            EndpointListUpdate::Delta(entries) => {
                EndpointUpdate::Delta(self.store_entries(&entries))
            }
            EndpointListUpdate::Snapshot(entries) => {
                self.clear_entries();
                EndpointUpdate::Snapshot(self.store_entries(&entries))
            }
            EndpointListUpdate::Restored(entries) => {
                self.clear_entries();
                EndpointUpdate::Restored(self.store_entries(&entries))
            }
        };
        self.decide(Event::EndpointsUpdated(update));
    }

    fn clear_entries(&mut self) {
        for endpoint in self.endpoints.values() {
            endpoint.active.set(false);
        }
        self.members.clear();
    }

    fn store_entries(&mut self, entries: &[EndpointEntry]) -> Vec<EndpointSpec> {
        let specs = entries.iter().map(|entry| self.member(entry)).collect();
        // Machines are replaced by others for as long as the router runs: one that was removed is forgotten.
        self.members
            .retain(|_, spec| spec.state != EndpointState::Removed);
        let removed = self
            .endpoints
            .extract_if(|id, _| !self.members.contains_key(id));
        for (id, _) in removed {
            self.outbound.close_idle(id);
        }
        specs
    }

    /// Closes servers of which no more is told than that they take nothing new.
    fn members_leaving(&mut self, names: &[String]) {
        let mut members = Vec::new();
        for name in names {
            let id = EndpointId(stable_hash(name));
            let (Some(endpoint), Some(member)) =
                (self.endpoints.get(&id), self.members.get_mut(&id))
            else {
                continue;
            };
            endpoint.active.set(false);
            member.state = EndpointState::Draining;
            members.push(*member);
        }
        self.decide(Event::EndpointsUpdated(EndpointUpdate::Delta(members)));
    }

    fn member(&mut self, line: &EndpointEntry) -> EndpointSpec {
        let id = EndpointId(stable_hash(&line.name));
        let endpoint = self
            .endpoints
            .entry(id)
            .or_insert_with(|| Rc::new(Endpoint::new(&line.name, line.address)));
        // What was kept to the machine or process before is of no use, and may never say so.
        if self
            .members
            .get(&id)
            .is_some_and(|member| member.started_at != line.started_at)
        {
            self.outbound.close_idle(id);
        }
        endpoint.address.set(line.address);
        endpoint.active.set(line.state == EndpointState::Active);
        let member = EndpointSpec {
            id,
            started_at: line.started_at,
            kind: line.kind,
            state: line.state,
            cell: line.cell,
            weight: line.weight,
            zone: line.zone,
        };
        tracing::debug!(name = line.name, kind = line.kind.0, zone = line.zone.0, cell = line.cell.0,
            state = ?line.state, started = line.started_at, "a line of the list");
        let before = self.members.insert(id, member);
        if before.is_some_and(|m| (m.state, m.started_at) != (member.state, member.started_at)) {
            tracing::info!(name = line.name, kind = line.kind.0, address = %line.address,
                state = ?line.state, started = line.started_at, "a server has changed");
        }
        member
    }

    /// Hands an event to the module and carries out what it says, and what that gives at once.
    fn decide(&mut self, event: Event) {
        self.due.push_back(event);
        while let Some(event) = self.due.pop_front() {
            let touched = request_of(&event);
            let now = self.clock.now();
            let mut actions = Vec::new();
            self.policy.handle(now, event, &mut actions);
            actions
                .into_iter()
                .for_each(|action| self.carry_out(action));
            if let Some(id) = touched {
                self.forget(id);
            }
        }
    }

    /// Takes a step. A panic, in the module or beside it, must not lose the process.
    fn guarded(&mut self, step: impl FnOnce(&mut Self)) {
        if catch_unwind(AssertUnwindSafe(|| step(self))).is_err() {
            self.start_over();
        }
    }

    /// The module begins anew with the list as it is. What was open is answered as failed: it may have run.
    fn start_over(&mut self) {
        tracing::error!("a decision failed: the module starts anew");
        let now = self.clock.now();
        self.policy = Policy::new(self.settings.clone(), self.seed ^ now as u64, now);
        self.timers.clear();
        self.due.clear();
        let open: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in open {
            if let Some(out) = self
                .requests
                .get(&id)
                .and_then(|r| r.in_flight.as_ref())
                .filter(|o| !o.streaming)
            {
                self.outbound.cancel(
                    AttemptId {
                        request: id,
                        number: out.number,
                    },
                    false,
                );
            }
            self.finish(id, Some(FinalResponse::Failed));
            self.release(id);
            self.forget(id);
        }
        let members = self.members.values().copied().collect();
        self.decide(Event::EndpointsUpdated(EndpointUpdate::Snapshot(members)));
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                endpoint,
                expires_at,
                write_by,
            } => self.route(id, endpoint, expires_at, write_by),
            Action::ReserveSlot { id, endpoint } => self.earmark(id, endpoint),
            Action::ReleaseState(id) => self.release(id),
            Action::CancelAttempt { id, attempt } => {
                self.note(id, Step::Cancelled { number: attempt });
                self.outbound.cancel(
                    AttemptId {
                        request: id,
                        number: attempt,
                    },
                    false,
                );
            }
            Action::Reject { id, retry_after } => {
                let pause = Duration::from_micros(u64::try_from(retry_after).unwrap_or(0));
                self.refuse(id, FinalResponse::Rejected(pause));
            }
            Action::Fail(id) => self.finish(id, Some(FinalResponse::Failed)),
            Action::Migrate(id) => {
                let streaming = self
                    .requests
                    .get(&id)
                    .and_then(|r| r.in_flight.as_ref())
                    .filter(|o| o.streaming);
                if let Some(out) = streaming {
                    self.outbound.cancel(
                        AttemptId {
                            request: id,
                            number: out.number,
                        },
                        true,
                    );
                }
            }
            Action::SetTimer { at, key } => self.timers.push(Reverse((at, key))),
            Action::HealthCheck(endpoint) => {
                if let Some(endpoint) = self.endpoints.get(&endpoint) {
                    self.outbound.health_check(endpoint.clone());
                }
            }
            Action::CloseIdle(endpoint) => self.outbound.close_idle(endpoint),
            Action::Gossip { to, payload } => self.outbound.gossip(to, payload),
            // The list is watched from the start to the end.
            Action::SubscribeEndpoints(_) | Action::FetchEndpoints => {}
            Action::Log(line) => tracing::info!("{line}"),
        }
    }

    /// Refuses a request, once the attempt that is out has been called off, which takes no wait. Guards against a
    /// refusal that overtakes its attempt: its client may ask again while the server still works for it.
    fn refuse(&mut self, id: RequestId, refusal: FinalResponse) {
        if let Err(breach) = self.check_refusal(id) {
            self.note_breach(id, breach);
            return self.finish(id, Some(FinalResponse::Failed));
        }
        let out = self
            .requests
            .get_mut(&id)
            .filter(|r| !r.over)
            .and_then(|r| Some((r.in_flight.as_ref()?.number, r)));
        let Some((number, request)) = out else {
            return self.finish(id, Some(refusal));
        };
        request.parting = Some(refusal);
        request.is_live.set(false);
        request
            .trace
            .note(self.clock.now(), Step::Cancelled { number });
        self.outbound.cancel(
            AttemptId {
                request: id,
                number,
            },
            false,
        );
    }

    fn route(&mut self, id: RequestId, endpoint: EndpointId, expires_at: Micros, write_by: Micros) {
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let number = request.attempts;
        request.attempts += 1;
        let most = self.settings.max_attempts.unwrap_or(u32::MAX);
        let target = match self
            .endpoints
            .get(&endpoint)
            .zip(self.members.get(&endpoint))
        {
            _ if request.over => Err(NotSent::Over),
            _ if request.in_flight.is_some() => Err(NotSent::OneIsOut),
            _ if number >= most => Err(NotSent::TooMany),
            _ if now >= request.valid_until => Err(NotSent::Late),
            None => Err(NotSent::UnknownServer),
            Some(target) => Ok(target),
        };
        let target = target.inspect_err(|reason| {
            request.trace.note(
                now,
                Step::NotSent {
                    number,
                    to: endpoint,
                    reason: *reason,
                },
            );
        });
        let Ok((target, member)) = target else {
            return self.not_sent(id, number, endpoint);
        };
        tracing::debug!(id = %request.incoming.request_id, number, to = target.name, "an attempt is made");
        request.released = false;
        let class = self.settings.classes.get(request.incoming.class.0);
        let effect = class.map(|c| c.idempotency).unwrap_or_default();
        let kind = self.settings.kinds.get(member.kind.0);
        let stage = kind.and_then(|k| k.role).unwrap_or(Role::Mixed);
        let reads = stage == Role::Prefill;
        if let Err(breach) = request
            .effects
            .check_send(RetryRule::of(class), member, now)
        {
            self.note_breach(id, breach);
            return self.not_sent(id, number, endpoint);
        }
        let run = PossibleExecution::at(member, now);
        request.in_flight = Some(InFlight {
            number,
            sent: now,
            endpoint,
            stage,
            run,
            streaming: false,
        });
        request.trace.note(
            now,
            Step::Sent {
                number,
                to: target.name.as_str().into(),
                reads,
            },
        );
        if effect != Idempotency::Idempotent && !reads && request.trace.tried_before(number) {
            tracing::info!(id = %request.incoming.request_id, trace = %request.trace, "a request is sent again");
        }
        let [expires_at, write_by] = [expires_at, write_by].map(|at| {
            if at == 0 {
                request.valid_until
            } else {
                at.min(request.valid_until)
            }
        });
        self.outbound.send(AttemptSpec {
            attempt: AttemptId {
                request: id,
                number,
            },
            request_id: request.incoming.request_id.clone(),
            endpoint: target.clone(),
            expires_at: self.clock.instant(expires_at),
            write_by: self.clock.instant(write_by),
            is_live: request.is_live.clone(),
            prefill_only: reads,
            non_idempotent: effect == Idempotency::NonIdempotent && !reads,
            message: request.incoming.message.clone(),
        });
    }

    /// The module hears of an attempt that was not made.
    fn not_sent(&mut self, id: RequestId, attempt: u32, endpoint: EndpointId) {
        let client_done = self.requests.get(&id).is_none_or(|r| r.over);
        let (outcome, elapsed, load) = (Outcome::NotSent, 0, None);
        self.due.push_back(Event::AttemptEnded {
            id,
            attempt,
            endpoint,
            outcome,
            client_done,
            elapsed,
            load,
        });
    }

    fn check_refusal(&self, id: RequestId) -> Result<(), Breach> {
        let Some(request) = self.requests.get(&id).filter(|r| !r.over) else {
            return Ok(());
        };
        let rule = RetryRule::of(self.settings.classes.get(request.incoming.class.0));
        let out = request
            .in_flight
            .as_ref()
            .is_some_and(|out| out.stage != Role::Prefill);
        request.effects.check_refusal(rule, out)
    }

    fn note_breach(&mut self, id: RequestId, breach: Breach) {
        self.breaches += 1;
        if let Some(request) = self.requests.get(&id) {
            let (id, trace, count) = (&request.incoming.request_id, &request.trace, self.breaches);
            tracing::error!(%id, ?breach, %trace, count, "a rule is broken: the decision is not carried out");
        }
    }

    /// Decisions that were not carried out as they would have broken a rule.
    pub fn breaches(&self) -> u64 {
        self.breaches
    }

    fn earmark(&mut self, id: RequestId, writer: EndpointId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (Some(out), Some(writer)) = (request.in_flight.as_ref(), self.endpoints.get(&writer))
        else {
            return;
        };
        let reading = AttemptId {
            request: id,
            number: out.number,
        };
        tracing::debug!(id = %request.incoming.request_id, at = writer.name, "a place is asked for");
        let step = Step::PlaceAsked {
            at: writer.name.as_str().into(),
        };
        self.outbound
            .reserve_slot(reading, request.incoming.request_id.clone(), writer.clone());
        self.note(id, step);
    }

    fn note(&mut self, id: RequestId, step: Step) {
        let now = self.clock.now();
        if let Some(request) = self.requests.get_mut(&id) {
            request.trace.note(now, step);
        }
    }

    fn release(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.released = true;
        request.trace.note(self.clock.now(), Step::Released);
        let request_id = request.incoming.request_id.clone();
        let endpoints = self.reachable();
        self.outbound.release_state(id, request_id, endpoints);
    }

    /// The servers through which something may be let go: any of them can, so the likeliest to be reached come first,
    /// which are those that answered last. Guards against calls that are tried at one unreachable server after another.
    fn reachable(&mut self) -> Vec<Rc<Endpoint>> {
        let mut open: Vec<_> = self
            .endpoints
            .values()
            .filter(|h| h.is_active())
            .cloned()
            .collect();
        open.sort_by_key(|h| h.id);
        self.turn = self.turn.wrapping_add(1);
        let turn = self.turn % open.len().max(1);
        open.rotate_left(turn);
        open.sort_by_key(|h| Reverse(h.last_response.get()));
        open
    }

    fn heard(&self, endpoint: EndpointId) {
        if let Some(endpoint) = self.endpoints.get(&endpoint) {
            endpoint.last_response.set(self.clock.now());
        }
    }

    /// Ends a request: the only place that does. `None` where its client has all of the answer or is gone.
    fn finish(&mut self, id: RequestId, answer: Option<FinalResponse>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.over = true;
        request.is_live.set(false);
        let now = self.clock.now();
        let refused = matches!(answer, Some(FinalResponse::Rejected(_)));
        request.trace.note(
            now,
            Step::Answered {
                answer: answer.as_ref().map_or("none", FinalResponse::name),
            },
        );
        let (id, elapsed) = (&request.incoming.request_id, now - request.arrived);
        tracing::debug!(%id, ?answer, elapsed, "a request has ended");
        let class = self.settings.classes.get(request.incoming.class.0);
        let effect = class.map(|c| c.idempotency).unwrap_or_default();
        if refused && effect != Idempotency::Idempotent && request.trace.tried_before(u32::MAX) {
            tracing::info!(%id, trace = %request.trace, "a request is refused after an attempt");
        }
        if let (Some(responder), Some(answer)) = (request.responder.take(), answer) {
            responder.respond(answer);
        }
    }

    /// Drops the record of a request that is over and has nothing out.
    fn forget(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|r| r.over && r.in_flight.is_none())
        {
            self.requests.remove(&id);
        }
    }
}

impl Request {
    fn streaming(&self) -> bool {
        self.in_flight.as_ref().is_some_and(|o| o.streaming)
    }
}

fn request_of(event: &Event) -> Option<RequestId> {
    match event {
        Event::RequestArrived(ask) => Some(ask.id),
        Event::AttemptEnded { id, .. } | Event::ClientDisconnected(id) => Some(*id),
        _ => None,
    }
}
