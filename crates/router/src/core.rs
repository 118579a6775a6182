//! The core: it owns the decision module, the clock, the timers and the table of requests and attempts. Typed
//! events become the module's events, and its actions are carried out through [`Outbound`]. It knows no
//! wire. It is the one place that ends a request.
mod clock;
pub mod guard;
mod handle;
mod messages;
pub mod recorder;
mod server;

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::Duration;

use cranetack_routing_policy::effects::{EffectRule, PossibleRun};
use cranetack_routing_policy::{
    Action, Ask, Effect, Event, HostId, ListForm, Member, Micros, Outcome, Policy, PrefixId,
    Readiness, RequestId, SessionId, Settings, Stage, Standing,
};
use tokio::sync::mpsc;

use crate::exchange::{Answer, Carrier, Parts};
use clock::micros;
pub use clock::Clock;
use guard::{Breach, EffectRecord};
pub use handle::Handle;
pub use messages::{
    AttemptId, AttemptSpec, CoreEvent, EndReason, Ended, EndpointStatus, IncomingRequest, Outbound,
    Place, WireTrace,
};
use recorder::{NotSent, Step, Trace};
use server::stable;
pub use server::{Host, Listed};

struct Request {
    incoming: IncomingRequest,
    arrived: Micros,
    valid_until: Micros,
    /// Present until the final answer.
    carrier: Option<Carrier>,
    /// The refusal that is given as soon as the attempt that is out has ended.
    parting: Option<Answer>,
    attempts: u32,
    in_flight: Option<InFlight>,
    /// The module has let go of what was held, and nothing has been sent since.
    released: bool,
    over: bool,
    /// Seen by the attempt that is out, which may not have been written yet.
    wanted: Rc<Cell<bool>>,
    effects: EffectRecord,
    trace: Trace,
}

struct InFlight {
    stage: Stage,
    run: PossibleRun,
    number: u32,
    sent: Micros,
    host: HostId,
    streaming: bool,
}

/// The module and its tables. It takes one event at a time and does not wait.
pub struct Core<O> {
    settings: Settings,
    seed: u64,
    policy: Policy,
    clock: Clock,
    outbound: O,
    hosts: HashMap<HostId, Rc<Host>>,
    members: HashMap<HostId, Member>,
    requests: HashMap<RequestId, Request>,
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
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
            hosts: HashMap::new(),
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
            core.decide(Event::Members {
                form: ListForm::Patch,
                members: Vec::new(),
            })
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
            self.decide(Event::Timer(key));
        }
    }

    /// Takes one event.
    pub fn handle(&mut self, event: CoreEvent) {
        match event {
            CoreEvent::Submitted(id, incoming, carrier) => self.submitted(id, incoming, carrier),
            CoreEvent::ClientGone(id) => self.client_gone(id),
            CoreEvent::Established {
                attempt,
                media_type,
                parts,
            } => {
                self.established(attempt, media_type, parts);
            }
            CoreEvent::AttemptEnded(attempt, ended) => self.attempt_ended(attempt, ended),
            CoreEvent::ReservationAnswered {
                reading,
                request_id,
                host,
                place,
            } => {
                self.reservation_answered(reading, request_id, host, place);
            }
            CoreEvent::Probed {
                host,
                outcome,
                spent,
                load,
            } => {
                if let Some(host) = self.hosts.get(&host) {
                    tracing::debug!(to = host.name, ?outcome, ?spent, ?load, "a probe has ended");
                }
                if matches!(outcome, Outcome::Good | Outcome::Full) {
                    self.heard(host);
                }
                self.decide(Event::Probed {
                    host,
                    outcome,
                    spent: micros(spent),
                    load,
                });
            }
            CoreEvent::Members(form, listed) => self.members(form, listed),
            CoreEvent::MembersLeaving(names) => self.members_leaving(&names),
            CoreEvent::Leaving(from, by) => {
                let [from, by] = [from, by].map(|at| self.clock.at(at));
                self.decide(Event::Leaving { from, by });
            }
            CoreEvent::StatusRequested(asker) => {
                let _ = asker.send(self.endpoint_statuses());
            }
            CoreEvent::Peer(from, bytes) => self.decide(Event::Peer { from, bytes }),
        }
    }

    fn endpoint_statuses(&mut self) -> Vec<EndpointStatus> {
        let standings = self.policy.standings(self.clock.now());
        let endpoint_status = |standing: Standing| {
            let address = self.hosts.get(&standing.host)?.address();
            Some(EndpointStatus {
                address,
                member: *self.members.get(&standing.host)?,
                standing,
            })
        };
        standings.into_iter().filter_map(endpoint_status).collect()
    }

    fn submitted(&mut self, id: RequestId, incoming: IncomingRequest, carrier: Carrier) {
        // What servers hold is held by the id on the wire, so two requests must not share one.
        if self
            .requests
            .values()
            .any(|r| r.incoming.request_id == incoming.request_id)
        {
            carrier.answer(Answer::DuplicateId);
            return;
        }
        let now = self.clock.now();
        let valid_until = now.saturating_add(micros(incoming.patience));
        let ask = Ask {
            id,
            class: incoming.class,
            session: incoming.session.as_deref().map(|s| SessionId(stable(s))),
            prefix: incoming.prefix.as_deref().map(|p| PrefixId(stable(p))),
            valid_until,
            hint: incoming.hint.map(micros),
            prompt_tokens: incoming.prompt_tokens,
            shared_tokens: incoming.shared_tokens,
            max_tokens: incoming.max_tokens,
            retry: incoming.retry,
            came_back: incoming.came_back,
            kinds: incoming.kinds,
        };
        let request = Request {
            incoming,
            arrived: now,
            valid_until,
            carrier: Some(carrier),
            parting: None,
            attempts: 0,
            in_flight: None,
            released: false,
            over: false,
            wanted: Rc::new(Cell::new(true)),
            effects: EffectRecord::default(),
            trace: Trace::default(),
        };
        let IncomingRequest {
            request_id,
            retry,
            came_back,
            session,
            prefix,
            ..
        } = &request.incoming;
        let Ask {
            class,
            prompt_tokens,
            shared_tokens,
            valid_until,
            ..
        } = ask;
        let (class, patience) = (class.0, valid_until - now);
        tracing::debug!(id = %request_id, class, prompt_tokens, shared_tokens, patience, retry, came_back, session, prefix,
            "a request has come");
        self.requests.insert(id, request);
        self.note(id, Step::Taken { patience });
        self.decide(Event::Ask(ask));
    }

    fn client_gone(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| !r.over) {
            self.note(id, Step::ClientGone);
            self.finish(id, None);
            self.decide(Event::ClientGone(id));
        }
        self.forget(id);
    }

    fn established(&mut self, attempt: AttemptId, media_type: String, parts: Parts) {
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
        let (host, spent) = (out.host, now - out.sent);
        tracing::debug!(id = %request.incoming.request_id, spent, "an answer has begun");
        if let Some(carrier) = request.carrier.take() {
            carrier.answer(Answer::Served { media_type, parts });
        }
        self.decide(Event::Established {
            id,
            attempt: attempt.number,
            host,
            spent,
        });
    }

    fn attempt_ended(&mut self, attempt: AttemptId, ended: Ended) {
        let id = attempt.request;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(out) = request.in_flight.take_if(|o| o.number == attempt.number) else {
            return;
        };
        let Ended {
            outcome,
            info,
            load,
            wire,
        } = ended;
        let number = attempt.number;
        request.trace.note(
            self.clock.now(),
            Step::Ended {
                number,
                outcome,
                info,
                wire,
            },
        );
        request.effects.ended(out.stage, outcome, out.run);
        if out.streaming {
            self.finish(id, None);
        } else if let Some(refusal) = request.parting.take() {
            self.finish(id, Some(refusal));
        }
        let no_more = self.requests.get(&id).is_none_or(|r| r.over);
        if matches!(
            outcome,
            Outcome::Good | Outcome::HalfDone | Outcome::Full | Outcome::Bad
        ) {
            self.heard(out.host);
        }
        let (host, spent) = (out.host, self.clock.now() - out.sent);
        if let (Some(request), Some(to)) = (self.requests.get(&id), self.hosts.get(&host)) {
            let (id, to) = (&request.incoming.request_id, &to.name);
            tracing::debug!(%id, number, to, ?outcome, info, spent, "an attempt has ended");
        }
        self.decide(Event::Result {
            id,
            attempt: number,
            host,
            outcome,
            info,
            no_more,
            spent,
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
        host: HostId,
        place: Place,
    ) {
        let id = reading.request;
        self.note(id, Step::PlaceAnswered { place });
        let request = self.requests.get(&id);
        let wanted = request.is_some_and(|r| !r.over && !r.released && !r.streaming());
        tracing::debug!(id = %request_id, ?place, wanted, "a place was answered for");
        if place != Place::Unsure {
            self.heard(host);
        }
        let unread = request
            .and_then(|r| r.in_flight.as_ref())
            .is_some_and(|o| o.number == reading.number);
        if (!wanted && place != Place::Refused) || (place == Place::Unsure && unread) {
            let hosts = self.reachable();
            self.outbound.release(id, request_id, hosts);
        } else if wanted && place != Place::Unsure && request.is_some_and(|r| r.in_flight.is_some())
        {
            self.decide(Event::Earmarked {
                id,
                host,
                held: place == Place::Held,
            });
        }
    }

    fn members(&mut self, form: ListForm, listed: Vec<Listed>) {
        if matches!(form, ListForm::Whole | ListForm::Stale) {
            self.hosts.values().for_each(|h| h.open.set(false));
            self.members.clear();
        }
        let members: Vec<Member> = listed.iter().map(|line| self.member(line)).collect();
        // Machines are replaced by others for as long as the router runs: one that is gone is forgotten here.
        self.members
            .retain(|_, member| member.readiness != Readiness::Gone);
        for (id, _) in self
            .hosts
            .extract_if(|id, _| !self.members.contains_key(id))
        {
            self.outbound.close_idle(id);
        }
        self.decide(Event::Members { form, members });
    }

    /// Closes servers of which no more is told than that they take nothing new.
    fn members_leaving(&mut self, names: &[String]) {
        let mut members = Vec::new();
        for name in names {
            let id = HostId(stable(name));
            let (Some(host), Some(member)) = (self.hosts.get(&id), self.members.get_mut(&id))
            else {
                continue;
            };
            host.open.set(false);
            member.readiness = Readiness::Draining;
            members.push(*member);
        }
        self.decide(Event::Members {
            form: ListForm::Patch,
            members,
        });
    }

    fn member(&mut self, line: &Listed) -> Member {
        let id = HostId(stable(&line.name));
        let host = self
            .hosts
            .entry(id)
            .or_insert_with(|| Rc::new(Host::new(&line.name, line.address)));
        // What was kept to the machine or process before is of no use, and may never say so.
        if self
            .members
            .get(&id)
            .is_some_and(|member| member.last_start != line.last_start)
        {
            self.outbound.close_idle(id);
        }
        host.address.set(line.address);
        host.open.set(line.readiness == Readiness::Up);
        let member = Member {
            host: id,
            last_start: line.last_start,
            kind: line.kind,
            readiness: line.readiness,
            cell: line.cell,
            weight: line.weight,
            zone: line.zone,
        };
        tracing::debug!(name = line.name, kind = line.kind.0, zone = line.zone.0, cell = line.cell.0,
            readiness = ?line.readiness, started = line.last_start, "a line of the list");
        let before = self.members.insert(id, member);
        if before
            .is_some_and(|m| (m.readiness, m.last_start) != (member.readiness, member.last_start))
        {
            tracing::info!(name = line.name, kind = line.kind.0, address = %line.address,
                readiness = ?line.readiness, started = line.last_start, "a server has changed");
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
            self.finish(id, Some(Answer::Failed));
            self.release(id);
            self.forget(id);
        }
        let members = self.members.values().copied().collect();
        self.decide(Event::Members {
            form: ListForm::Whole,
            members,
        });
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Route {
                id,
                host,
                expire,
                up_by,
            } => self.route(id, host, expire, up_by),
            Action::Earmark { id, host } => self.earmark(id, host),
            Action::FreeState(id) => self.release(id),
            Action::Abort { id, attempt } => {
                self.note(id, Step::Cancelled { number: attempt });
                self.outbound.cancel(
                    AttemptId {
                        request: id,
                        number: attempt,
                    },
                    false,
                );
            }
            Action::Shed { id, pause } => {
                let pause = Duration::from_micros(u64::try_from(pause).unwrap_or(0));
                self.refuse(id, Answer::Refused(pause));
            }
            Action::Lose(id) => self.finish(id, Some(Answer::Failed)),
            Action::Bounce(id) => {
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
            Action::Sleep { at, key } => self.timers.push(Reverse((at, key))),
            Action::Touch(host) => {
                if let Some(host) = self.hosts.get(&host) {
                    self.outbound.probe(host.clone());
                }
            }
            Action::FreeLinks(host) => self.outbound.close_idle(host),
            Action::Publish { to, bytes } => self.outbound.publish(to, bytes),
            // The list is watched from the start to the end.
            Action::Subscribe(_) | Action::Fetch => {}
            Action::Log(line) => tracing::info!("{line}"),
        }
    }

    /// Refuses a request, once the attempt that is out has been called off, which takes no wait. Guards against a
    /// refusal that overtakes its attempt: its client may ask again while the server still works for it.
    fn refuse(&mut self, id: RequestId, refusal: Answer) {
        if let Err(breach) = self.check_refusal(id) {
            self.note_breach(id, breach);
            return self.finish(id, Some(Answer::Failed));
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
        request.wanted.set(false);
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

    fn route(&mut self, id: RequestId, host: HostId, expire: Micros, up_by: Micros) {
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let number = request.attempts;
        request.attempts += 1;
        let most = self.settings.max_attempts.unwrap_or(u32::MAX);
        let target = match self.hosts.get(&host).zip(self.members.get(&host)) {
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
                    to: host,
                    reason: *reason,
                },
            );
        });
        let Ok((target, member)) = target else {
            return self.not_sent(id, number, host);
        };
        tracing::debug!(id = %request.incoming.request_id, number, to = target.name, "an attempt is made");
        request.released = false;
        let class = self.settings.classes.get(request.incoming.class.0);
        let effect = class.map(|c| c.effect).unwrap_or_default();
        let kind = self.settings.kinds.get(member.kind.0);
        let stage = kind.and_then(|k| k.stage).unwrap_or(Stage::Both);
        let reads = stage == Stage::Read;
        if let Err(breach) = request
            .effects
            .check_send(EffectRule::of(class), member, now)
        {
            self.note_breach(id, breach);
            return self.not_sent(id, number, host);
        }
        let run = PossibleRun::at(member, now);
        request.in_flight = Some(InFlight {
            number,
            sent: now,
            host,
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
        if effect != Effect::Safe && !reads && request.trace.tried_before(number) {
            tracing::info!(id = %request.incoming.request_id, trace = %request.trace, "a request is sent again");
        }
        let [expire, up_by] = [expire, up_by].map(|at| {
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
            host: target.clone(),
            expire: self.clock.instant(expire),
            up_by: self.clock.instant(up_by),
            wanted: request.wanted.clone(),
            reads,
            non_idempotent: effect == Effect::Unsafe && !reads,
            message: request.incoming.message.clone(),
        });
    }

    /// The module hears of an attempt that was not made.
    fn not_sent(&mut self, id: RequestId, attempt: u32, host: HostId) {
        let no_more = self.requests.get(&id).is_none_or(|r| r.over);
        let (outcome, info, spent, load) = (Outcome::Nop, 0, 0, None);
        self.due.push_back(Event::Result {
            id,
            attempt,
            host,
            outcome,
            info,
            no_more,
            spent,
            load,
        });
    }

    fn check_refusal(&self, id: RequestId) -> Result<(), Breach> {
        let Some(request) = self.requests.get(&id).filter(|r| !r.over) else {
            return Ok(());
        };
        let rule = EffectRule::of(self.settings.classes.get(request.incoming.class.0));
        let out = request
            .in_flight
            .as_ref()
            .is_some_and(|out| out.stage != Stage::Read);
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

    fn earmark(&mut self, id: RequestId, writer: HostId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (Some(out), Some(writer)) = (request.in_flight.as_ref(), self.hosts.get(&writer))
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
            .reserve(reading, request.incoming.request_id.clone(), writer.clone());
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
        let hosts = self.reachable();
        self.outbound.release(id, request_id, hosts);
    }

    /// The servers through which something may be let go: any of them can, so the likeliest to be reached come first,
    /// which are those that answered last. Guards against calls that are tried at one unreachable server after another.
    fn reachable(&mut self) -> Vec<Rc<Host>> {
        let mut open: Vec<_> = self
            .hosts
            .values()
            .filter(|h| h.is_open())
            .cloned()
            .collect();
        open.sort_by_key(|h| h.id);
        self.turn = self.turn.wrapping_add(1);
        let turn = self.turn % open.len().max(1);
        open.rotate_left(turn);
        open.sort_by_key(|h| Reverse(h.heard.get()));
        open
    }

    fn heard(&self, host: HostId) {
        if let Some(host) = self.hosts.get(&host) {
            host.heard.set(self.clock.now());
        }
    }

    /// Ends a request: the only place that does. `None` where its client has all of the answer or is gone.
    fn finish(&mut self, id: RequestId, answer: Option<Answer>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.over = true;
        request.wanted.set(false);
        let now = self.clock.now();
        let refused = matches!(answer, Some(Answer::Refused(_)));
        request.trace.note(
            now,
            Step::Answered {
                answer: answer.as_ref().map_or("none", Answer::name),
            },
        );
        let (id, spent) = (&request.incoming.request_id, now - request.arrived);
        tracing::debug!(%id, ?answer, spent, "a request has ended");
        let class = self.settings.classes.get(request.incoming.class.0);
        let effect = class.map(|c| c.effect).unwrap_or_default();
        if refused && effect != Effect::Safe && request.trace.tried_before(u32::MAX) {
            tracing::info!(%id, trace = %request.trace, "a request is refused after an attempt");
        }
        if let (Some(carrier), Some(answer)) = (request.carrier.take(), answer) {
            carrier.answer(answer);
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
        Event::Ask(ask) => Some(ask.id),
        Event::Result { id, .. } | Event::ClientGone(id) => Some(*id),
        _ => None,
    }
}
