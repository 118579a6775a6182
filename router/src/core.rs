//! The core: it owns the decision module, the clock, the timers and the table of requests and attempts. Typed
//! events become the module's events, and its actions are carried out through [`Outbound`]. It knows no
//! wire. It is the one place that ends a request.

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cranetack::{
    Action, Ask, CellId, ClassId, Effect, Event, HostId, KindId, ListForm, Load, Member, Micros, Outcome,
    Policy, PrefixId, Readiness, RequestId, SessionId, Settings, Stage, Standing, ZoneId,
};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::exchange::{self, Answer, Caller, Carrier, Message, Parts};

/// The clock: microseconds of Unix time, read once from the system and then advanced monotonically, so that
/// start times in the list can be compared and a step of the system's clock moves no deadline.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    /// A clock that starts from the system's time.
    pub fn system() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: micros(unix) }
    }

    /// Now.
    pub fn now(&self) -> Micros {
        self.unix.saturating_add(micros(self.start.elapsed()))
    }

    /// The point in time of an instant.
    pub fn at(&self, instant: Instant) -> Micros {
        self.now().saturating_add(micros(instant.saturating_duration_since(Instant::now())))
    }

    /// The instant of a point in time; one that has passed is now.
    pub fn instant(&self, at: Micros) -> Instant {
        Instant::now() + Duration::from_micros(u64::try_from(at.saturating_sub(self.now())).unwrap_or(0))
    }
}

fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}

/// A number for a word that is the same at every router: FNV-1a.
fn stable(word: &str) -> u64 {
    word.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// A server as the list has it now. Shared with the upstream, which must look at the moment of writing.
#[derive(Debug)]
pub struct Host {
    /// Its number.
    pub id: HostId,
    /// Its name, the same at every router.
    pub name: String,
    address: Cell<SocketAddr>,
    open: Cell<bool>,
    /// When it last answered us.
    heard: Cell<Micros>,
}

impl Host {
    /// A server that takes work.
    pub fn new(name: &str, address: SocketAddr) -> Host {
        Host {
            id: HostId(stable(name)),
            name: name.to_owned(),
            address: Cell::new(address),
            open: Cell::new(true),
            heard: Cell::new(Micros::MIN),
        }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Whether new work may be written to it: the list says that it is up.
    pub fn is_open(&self) -> bool {
        self.open.get()
    }
}

/// A line of the list of servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes work.
    pub readiness: Readiness,
    /// Its size beside others of its stage.
    pub weight: f64,
    /// When it last started; absent for long ago.
    pub last_start: Option<Micros>,
}

/// A request as a front has decoded it.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// Its id on the wire.
    pub request_id: Rc<str>,
    /// Its class.
    pub class: ClassId,
    /// Its session.
    pub session: Option<String>,
    /// The opening that it shares with other sessions.
    pub prefix: Option<String>,
    /// How long the client waits for the first part of the answer.
    pub patience: Duration,
    /// Rough length of the answer as time.
    pub hint: Option<Duration>,
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Tokens of these that belong to the shared opening.
    pub shared_tokens: u64,
    /// Most tokens of the answer.
    pub max_tokens: u64,
    /// The client is trying again.
    pub retry: bool,
    /// The client asks for the rest of a broken stream.
    pub came_back: bool,
    /// The kinds of server that it may go to, a bit for each; any where it does not say.
    pub kinds: Option<u64>,
    /// What servers are sent.
    pub message: Rc<Message>,
}

/// What came of a request for a place at a writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// It is held.
    Held,
    /// It is not held.
    Refused,
    /// The writer may hold it, but did not say.
    Unsure,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ended {
    /// How.
    pub outcome: Outcome,
    /// Prompt tokens found kept; or 1 where no state was there to fetch, or a kept connection had been dropped.
    pub info: u64,
    /// The server's report, if one came along.
    pub load: Option<Load>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Ended {
        Ended { outcome, info: 0, load: None }
    }
}

/// An attempt at a server: the request's number, and the attempt's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt, from 0.
    pub number: u32,
}

/// What has happened outside the core.
pub enum CoreEvent {
    /// A request came in.
    Submitted(RequestId, IncomingRequest, Carrier),
    /// Its client has gone, or has been answered in full.
    ClientGone(RequestId),
    /// The first part of an attempt's answer is here.
    Established {
        /// The attempt.
        attempt: AttemptId,
        /// The media type of the answer.
        media_type: String,
        /// The answer.
        parts: Parts,
    },
    /// An attempt has ended, and its connection no longer carries it.
    AttemptEnded(AttemptId, Ended),
    /// A request for a place was answered, or may have been heard.
    ReservationAnswered {
        /// The attempt whose read the place was asked for.
        reading: AttemptId,
        /// Its id on the wire.
        request_id: Rc<str>,
        /// The writer.
        host: HostId,
        /// What came of it.
        place: Place,
    },
    /// A probe has ended.
    Probed {
        /// The server.
        host: HostId,
        /// How.
        outcome: Outcome,
        /// How long it took.
        spent: Duration,
        /// The server's report.
        load: Option<Load>,
    },
    /// News of the list of servers.
    Members(ListForm, Vec<Listed>),
    /// Another router's message.
    Peer(u32, Vec<u8>),
    /// The router ends: clients are sent elsewhere from one instant on, and all must be answered by another.
    Leaving(Instant, Instant),
    /// Somebody asks how the module stands towards the servers.
    StatusRequested(oneshot::Sender<Vec<EndpointStatus>>),
}

/// A server, and how the module stands towards it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointStatus {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its line of the list.
    pub member: Member,
    /// How the module stands towards it.
    pub standing: Standing,
}

/// An attempt to be made.
#[derive(Clone)]
pub struct AttemptSpec {
    /// The attempt.
    pub attempt: AttemptId,
    /// The request's id on the wire.
    pub request_id: Rc<str>,
    /// The server.
    pub host: Rc<Host>,
    /// When to give it up, unless its answer has begun.
    pub expire: Instant,
    /// When to give it up, unless it has a connection.
    pub up_by: Instant,
    /// Whether the request still wants an answer.
    pub wanted: Rc<Cell<bool>>,
    /// It must not run twice, so it had better not go over a connection that may break under it.
    pub non_idempotent: bool,
    /// What to send.
    pub message: Rc<Message>,
}

/// What the core has done outside. None of these may wait: they start work and report as events.
pub trait Outbound {
    /// Makes an attempt.
    fn send(&mut self, order: AttemptSpec);
    /// Cancels an attempt; one that streams only if `streaming`, which breaks its answer off.
    fn cancel(&mut self, attempt: AttemptId, streaming: bool);
    /// Asks a writer for a place, once the reading request is out.
    fn reserve(&mut self, reading: AttemptId, request_id: Rc<str>, writer: Rc<Host>);
    /// Lets go of all that is held for a request, through the first of these servers that can be reached.
    fn release(&mut self, request: RequestId, request_id: Rc<str>, hosts: Vec<Rc<Host>>);
    /// Probes a server.
    fn probe(&mut self, host: Rc<Host>);
    /// Closes idle connections to a server.
    fn close_idle(&mut self, host: HostId);
    /// Sends a message to one router or to all.
    fn publish(&mut self, to: Option<u32>, bytes: Vec<u8>);
}

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
}

struct InFlight {
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
}

/// Through which the other parts tell the core what has happened. Cheap to clone.
#[derive(Clone)]
pub struct Handle {
    events: mpsc::UnboundedSender<CoreEvent>,
    next: Rc<Cell<u32>>,
}

impl Handle {
    /// A handle, and where its events come out.
    pub fn new() -> (Handle, mpsc::UnboundedReceiver<CoreEvent>) {
        let (events, rx) = mpsc::unbounded_channel();
        (Handle { events, next: Rc::new(Cell::new(0)) }, rx)
    }

    /// Sends the core an event. Once it has stopped, nobody needs to know.
    pub fn send(&self, event: CoreEvent) {
        let _ = self.events.send(event);
    }

    /// Asks how the module stands towards the servers; `None` once the core has stopped.
    pub async fn endpoint_statuses(&self) -> Option<Vec<EndpointStatus>> {
        let (tx, rx) = oneshot::channel();
        self.send(CoreEvent::StatusRequested(tx));
        rx.await.ok()
    }

    /// Hands a request in.
    pub fn submit(&self, incoming: IncomingRequest) -> Caller {
        let id = RequestId(self.next.get());
        self.next.set(id.0.wrapping_add(1));
        let handle = self.clone();
        let (caller, carrier) = exchange::open(move || handle.send(CoreEvent::ClientGone(id)));
        self.send(CoreEvent::Submitted(id, incoming, carrier));
        caller
    }
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
        }
    }

    /// Runs until all handles are gone.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<CoreEvent>) {
        // The module's first timer is among the actions of its first event.
        self.guarded(|core| core.decide(Event::Members { form: ListForm::Patch, members: Vec::new() }));
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
            CoreEvent::Established { attempt, media_type, parts } => {
                self.established(attempt, media_type, parts);
            }
            CoreEvent::AttemptEnded(attempt, ended) => self.attempt_ended(attempt, ended),
            CoreEvent::ReservationAnswered { reading, request_id, host, place } => {
                self.reservation_answered(reading, request_id, host, place);
            }
            CoreEvent::Probed { host, outcome, spent, load } => {
                if let Some(host) = self.hosts.get(&host) {
                    tracing::debug!(to = host.name, ?outcome, ?spent, ?load, "a probe has ended");
                }
                if matches!(outcome, Outcome::Good | Outcome::Full) {
                    self.heard(host);
                }
                self.decide(Event::Probed { host, outcome, spent: micros(spent), load });
            }
            CoreEvent::Members(form, listed) => self.members(form, listed),
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
            Some(EndpointStatus { address, member: *self.members.get(&standing.host)?, standing })
        };
        standings.into_iter().filter_map(endpoint_status).collect()
    }

    fn submitted(&mut self, id: RequestId, incoming: IncomingRequest, carrier: Carrier) {
        // What servers hold is held by the id on the wire, so two requests must not share one.
        if self.requests.values().any(|r| r.incoming.request_id == incoming.request_id) {
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
        };
        let IncomingRequest { request_id, retry, came_back, session, prefix, .. } = &request.incoming;
        let Ask { class, prompt_tokens, shared_tokens, valid_until, .. } = ask;
        let (class, patience) = (class.0, valid_until - now);
        tracing::debug!(id = %request_id, class, prompt_tokens, shared_tokens, patience, retry, came_back, session, prefix,
            "a request has come");
        self.requests.insert(id, request);
        self.decide(Event::Ask(ask));
    }

    fn client_gone(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| !r.over) {
            self.finish(id, None);
            self.decide(Event::ClientGone(id));
        }
        self.forget(id);
    }

    fn established(&mut self, attempt: AttemptId, media_type: String, parts: Parts) {
        let now = self.clock.now();
        let id = attempt.request;
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.over && r.parting.is_none()) else {
            return;
        };
        let Some(out) = request.in_flight.as_mut().filter(|o| o.number == attempt.number) else { return };
        out.streaming = true;
        // Nothing further is sent for it: its body need not be held while the answer streams.
        request.incoming.message = Rc::default();
        let (host, spent) = (out.host, now - out.sent);
        tracing::debug!(id = %request.incoming.request_id, spent, "an answer has begun");
        if let Some(carrier) = request.carrier.take() {
            carrier.answer(Answer::Served { media_type, parts });
        }
        self.decide(Event::Established { id, attempt: attempt.number, host, spent });
    }

    fn attempt_ended(&mut self, attempt: AttemptId, ended: Ended) {
        let id = attempt.request;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(out) = request.in_flight.take_if(|o| o.number == attempt.number) else { return };
        if out.streaming {
            self.finish(id, None);
        } else if let Some(refusal) = request.parting.take() {
            self.finish(id, Some(refusal));
        }
        let no_more = self.requests.get(&id).is_none_or(|r| r.over);
        let Ended { outcome, info, load } = ended;
        if matches!(outcome, Outcome::Good | Outcome::HalfDone | Outcome::Full | Outcome::Bad) {
            self.heard(out.host);
        }
        let (host, spent) = (out.host, self.clock.now() - out.sent);
        let number = attempt.number;
        if let (Some(request), Some(to)) = (self.requests.get(&id), self.hosts.get(&host)) {
            let (id, to) = (&request.incoming.request_id, &to.name);
            tracing::debug!(%id, number, to, ?outcome, info, spent, "an attempt has ended");
        }
        self.decide(Event::Result { id, attempt: number, host, outcome, info, no_more, spent, load });
    }

    /// A place that may be held for a request that no longer wants one is let go: the answer may have
    /// crossed the module's own release. So is one of which the writer is unsure while we still wait for the read: none
    /// was out where it looked, so the read may be under way on a connection that has gone silent, with nothing out at
    /// its reader, and the place would be held for nobody.
    fn reservation_answered(&mut self, reading: AttemptId, request_id: Rc<str>, host: HostId, place: Place) {
        let id = reading.request;
        let request = self.requests.get(&id);
        let wanted = request.is_some_and(|r| !r.over && !r.released && !r.streaming());
        tracing::debug!(id = %request_id, ?place, wanted, "a place was answered for");
        if place != Place::Unsure {
            self.heard(host);
        }
        let unread = request.and_then(|r| r.in_flight.as_ref()).is_some_and(|o| o.number == reading.number);
        if (!wanted && place != Place::Refused) || (place == Place::Unsure && unread) {
            let hosts = self.reachable();
            self.outbound.release(id, request_id, hosts);
        } else if wanted && place != Place::Unsure && request.is_some_and(|r| r.in_flight.is_some()) {
            self.decide(Event::Earmarked { id, host, held: place == Place::Held });
        }
    }

    fn members(&mut self, form: ListForm, listed: Vec<Listed>) {
        if matches!(form, ListForm::Whole | ListForm::Stale) {
            self.hosts.values().for_each(|h| h.open.set(false));
            self.members.clear();
        }
        let members: Vec<Member> = listed.iter().map(|line| self.member(line)).collect();
        // Machines are replaced by others for as long as the router runs: one that is gone is forgotten here.
        self.members.retain(|_, member| member.readiness != Readiness::Gone);
        for (id, _) in self.hosts.extract_if(|id, _| !self.members.contains_key(id)) {
            self.outbound.close_idle(id);
        }
        self.decide(Event::Members { form, members });
    }

    fn member(&mut self, line: &Listed) -> Member {
        let id = HostId(stable(&line.name));
        let host = self.hosts.entry(id).or_insert_with(|| Rc::new(Host::new(&line.name, line.address)));
        // What was kept to the machine or process before is of no use, and may never say so.
        if self.members.get(&id).is_some_and(|member| member.last_start != line.last_start) {
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
        self.members.insert(id, member);
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
            actions.into_iter().for_each(|action| self.carry_out(action));
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
            if let Some(out) =
                self.requests.get(&id).and_then(|r| r.in_flight.as_ref()).filter(|o| !o.streaming)
            {
                self.outbound.cancel(AttemptId { request: id, number: out.number }, false);
            }
            self.finish(id, Some(Answer::Failed));
            self.release(id);
            self.forget(id);
        }
        let members = self.members.values().copied().collect();
        self.decide(Event::Members { form: ListForm::Whole, members });
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Route { id, host, expire, up_by } => self.route(id, host, expire, up_by),
            Action::Earmark { id, host } => self.earmark(id, host),
            Action::FreeState(id) => self.release(id),
            Action::Abort { id, attempt } => {
                self.outbound.cancel(AttemptId { request: id, number: attempt }, false);
            }
            Action::Shed { id, pause } => {
                let pause = Duration::from_micros(u64::try_from(pause).unwrap_or(0));
                self.refuse(id, Answer::Refused(pause));
            }
            Action::Lose(id) => self.finish(id, Some(Answer::Failed)),
            Action::Bounce(id) => {
                let streaming =
                    self.requests.get(&id).and_then(|r| r.in_flight.as_ref()).filter(|o| o.streaming);
                if let Some(out) = streaming {
                    self.outbound.cancel(AttemptId { request: id, number: out.number }, true);
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
        let out = self
            .requests
            .get_mut(&id)
            .filter(|r| !r.over)
            .and_then(|r| Some((r.in_flight.as_ref()?.number, r)));
        let Some((number, request)) = out else { return self.finish(id, Some(refusal)) };
        request.parting = Some(refusal);
        request.wanted.set(false);
        self.outbound.cancel(AttemptId { request: id, number }, false);
    }

    fn route(&mut self, id: RequestId, host: HostId, expire: Micros, up_by: Micros) {
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(&id) else { return };
        let number = request.attempts;
        request.attempts += 1;
        let most = self.settings.max_attempts.unwrap_or(u32::MAX);
        let target = self.hosts.get(&host).filter(|_| {
            !request.over && request.in_flight.is_none() && number < most && now < request.valid_until
        });
        let Some(target) = target else {
            let (no_more, spent, load, info) = (request.over, 0, None, 0);
            let outcome = Outcome::Nop;
            self.due.push_back(Event::Result {
                id,
                attempt: number,
                host,
                outcome,
                info,
                no_more,
                spent,
                load,
            });
            return;
        };
        request.in_flight = Some(InFlight { number, sent: now, host, streaming: false });
        tracing::debug!(id = %request.incoming.request_id, number, to = target.name, "an attempt is made");
        request.released = false;
        let effect =
            self.settings.classes.get(request.incoming.class.0).map(|c| c.effect).unwrap_or_default();
        let kind = self.members.get(&host).and_then(|m| self.settings.kinds.get(m.kind.0));
        let reads = kind.is_some_and(|k| k.stage == Some(Stage::Read));
        let [expire, up_by] =
            [expire, up_by].map(|at| if at == 0 { request.valid_until } else { at.min(request.valid_until) });
        self.outbound.send(AttemptSpec {
            attempt: AttemptId { request: id, number },
            request_id: request.incoming.request_id.clone(),
            host: target.clone(),
            expire: self.clock.instant(expire),
            up_by: self.clock.instant(up_by),
            wanted: request.wanted.clone(),
            non_idempotent: effect == Effect::Unsafe && !reads,
            message: request.incoming.message.clone(),
        });
    }

    fn earmark(&mut self, id: RequestId, writer: HostId) {
        let Some(request) = self.requests.get(&id) else { return };
        let (Some(out), Some(writer)) = (request.in_flight.as_ref(), self.hosts.get(&writer)) else { return };
        let reading = AttemptId { request: id, number: out.number };
        tracing::debug!(id = %request.incoming.request_id, at = writer.name, "a place is asked for");
        self.outbound.reserve(reading, request.incoming.request_id.clone(), writer.clone());
    }

    fn release(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.released = true;
        let request_id = request.incoming.request_id.clone();
        let hosts = self.reachable();
        self.outbound.release(id, request_id, hosts);
    }

    /// The servers through which something may be let go: any of them can, so the likeliest to be reached come first,
    /// which are those that answered last. Guards against calls that are tried at one unreachable server after another.
    fn reachable(&mut self) -> Vec<Rc<Host>> {
        let mut open: Vec<_> = self.hosts.values().filter(|h| h.is_open()).cloned().collect();
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
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.over = true;
        request.wanted.set(false);
        let (id, spent) = (&request.incoming.request_id, self.clock.now() - request.arrived);
        tracing::debug!(%id, ?answer, spent, "a request has ended");
        if let (Some(carrier), Some(answer)) = (request.carrier.take(), answer) {
            carrier.answer(answer);
        }
    }

    /// Drops the record of a request that is over and has nothing out.
    fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| r.over && r.in_flight.is_none()) {
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
