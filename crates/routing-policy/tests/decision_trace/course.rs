//! A course of events: a policy with endpoints that react to what it does.

use std::collections::{BTreeMap, BTreeSet};

use cranetack_routing_policy::*;
use rand_core::RngCore;
use rand_pcg::Pcg32;

use crate::attempt_key::AttemptKey;
use crate::common::{with_detail, CONNECTION_RESET, OVERLOADED, PREFILLED, UNREACHABLE};
use crate::rendering::render;

pub(crate) const MILLISECOND: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;
const START: Micros = 3_000 * SECOND;
/// The span between two looks at what arrives and what is scripted.
const STEP: Micros = 10 * MILLISECOND;

/// What a server does with what it is sent.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Behaviour {
    Normal,
    Failing,
    Silent,
    Slow,
    Full,
}

/// What the script of a course changes at a time.
#[derive(Clone)]
pub(crate) enum Change {
    Rate(f64),
    Behave(u64, Behaviour),
    Drain(u64),
    Remove(u64),
    Restart(u64),
    Add(EndpointSpec),
    Snapshot,
    Restored,
    PollFailed,
    PeerLeaves(u32),
    Shutdown { from: Micros, by: Micros },
    Statuses,
}

/// The kind of prefill endpoints.
const PREFILL_KIND: usize = 0;

/// A policy with simulated endpoints.
pub(crate) struct Course {
    settings: Settings,
    policy: Policy,
    rng: Pcg32,
    now: Micros,
    rate: f64,
    arrivals: f64,
    next_request: u32,
    servers: BTreeMap<u64, EndpointSpec>,
    behaviours: BTreeMap<u64, Behaviour>,
    timers: BTreeSet<(Micros, TimerKey)>,
    pending: BTreeMap<(Micros, u64), Event>,
    sequence: u64,
    attempts: BTreeMap<u32, u32>,
    prefill_endpoints: BTreeMap<u32, u64>,
    prompts: BTreeMap<u32, u64>,
    pub(crate) lines: Vec<String>,
}

impl Course {
    pub(crate) fn new(settings: Settings, servers: Vec<EndpointSpec>, seed: u64) -> Course {
        let mut course = Course {
            policy: Policy::new(settings.clone(), seed, START),
            settings,
            rng: Pcg32::new(seed, 99),
            now: START,
            rate: 10.0,
            arrivals: 0.0,
            next_request: 0,
            servers: servers
                .iter()
                .map(|member| (member.id.0, *member))
                .collect(),
            behaviours: BTreeMap::new(),
            timers: BTreeSet::new(),
            pending: BTreeMap::new(),
            sequence: 0,
            attempts: BTreeMap::new(),
            prefill_endpoints: BTreeMap::new(),
            prompts: BTreeMap::new(),
            lines: Vec::new(),
        };
        course.deliver(Event::EndpointsUpdated(EndpointUpdate::Restored(servers)));
        course
    }

    /// Plays for a span; the changes come at their times from now on.
    pub(crate) fn play(&mut self, span: Micros, mut script: Vec<(Micros, Change)>) {
        let (began, end) = (self.now, self.now + span);
        script.sort_by_key(|(at, _)| *at);
        let mut script = script.into_iter().peekable();
        while self.now < end {
            self.now += STEP;
            while let Some((_, change)) = script.next_if(|(at, _)| began + at <= self.now) {
                self.change(change);
            }
            self.arrive();
            self.pass();
        }
    }

    /// Delivers what is due, in the order of time.
    fn pass(&mut self) {
        loop {
            let timer = self
                .timers
                .first()
                .copied()
                .filter(|(at, _)| *at <= self.now);
            let event = self
                .pending
                .keys()
                .next()
                .copied()
                .filter(|(at, _)| *at <= self.now);
            match (timer, event) {
                (Some(timer), event) if event.is_none_or(|event| timer.0 <= event.0) => {
                    self.timers.remove(&timer);
                    self.deliver(Event::TimerFired(timer.1));
                }
                (_, Some(key)) => {
                    let event = self.pending.remove(&key).expect("it has just been seen");
                    self.deliver(event);
                }
                _ => return,
            }
        }
    }

    fn change(&mut self, change: Change) {
        let patch = |course: &mut Course, server: u64, edit: &dyn Fn(&mut EndpointSpec)| {
            let member = course
                .servers
                .get_mut(&server)
                .expect("a server of the course");
            edit(member);
            let specs = vec![*member];
            course.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(specs)));
        };
        let now = self.now;
        let all = self.servers.values().copied().collect();
        match change {
            Change::Rate(rate) => self.rate = rate,
            Change::Behave(server, behaviour) => {
                self.behaviours.insert(server, behaviour);
            }
            Change::Drain(server) => patch(self, server, &|m| m.state = EndpointState::Draining),
            Change::Remove(server) => {
                patch(self, server, &|m| m.state = EndpointState::Removed);
                self.servers.remove(&server);
            }
            Change::Restart(server) => patch(self, server, &|m| {
                m.state = EndpointState::Active;
                m.started_at = Some(now - 300 * MILLISECOND);
            }),
            Change::Add(member) => {
                self.servers.insert(member.id.0, member);
                patch(self, member.id.0, &|m| {
                    m.started_at = Some(now - 100 * MILLISECOND)
                });
            }
            Change::Snapshot => {
                self.deliver(Event::EndpointsUpdated(EndpointUpdate::Snapshot(all)))
            }
            Change::Restored => {
                self.deliver(Event::EndpointsUpdated(EndpointUpdate::Restored(all)))
            }
            Change::PollFailed => {
                self.deliver(Event::EndpointsUpdated(EndpointUpdate::PollFailed));
            }
            Change::PeerLeaves(from) => self.deliver(Event::GossipReceived {
                from,
                payload: vec![1],
            }),
            Change::Shutdown { from, by } => {
                self.deliver(Event::ShutdownStarted {
                    migrate_from: now + from,
                    answer_by: now + by,
                });
            }
            Change::Statuses => self.statuses(),
        }
    }

    fn statuses(&mut self) {
        for status in self.policy.endpoint_statuses(self.now) {
            let line = format!(
                "status server={} takes={} score={:.6}",
                status.endpoint.0, status.accepts_work, status.score
            );
            self.note(line);
        }
    }

    fn note(&mut self, line: String) {
        self.lines.push(format!("{} {line}", self.now - START));
    }

    fn arrive(&mut self) {
        self.arrivals += self.rate * STEP as f64 / SECOND as f64 * 2.0 * self.share();
        while self.arrivals >= 1.0 {
            self.arrivals -= 1.0;
            let request = self.request();
            if self.below(25) == 0 {
                let after = Micros::from(self.below(2_000)) * MILLISECOND;
                self.schedule(after, Event::ClientDisconnected(request.id));
            }
            self.deliver(Event::RequestArrived(request));
        }
    }

    fn request(&mut self) -> RequestSpec {
        let id = self.next_request;
        self.next_request += 1;
        let prompt_tokens = 200 + u64::from(self.below(90)).pow(2);
        self.prompts.insert(id, prompt_tokens);
        let with_prefix = self.below(3) == 0;
        let shared_prefix_tokens = if with_prefix { prompt_tokens / 2 } else { 0 };
        RequestSpec {
            id: RequestId(id),
            class: ClassId(self.below(self.settings.classes.len() as u32) as usize),
            session: (self.below(5) != 0).then(|| SessionId(u64::from(self.below(40)))),
            shared_prefix: with_prefix.then(|| PrefixId(u64::from(self.below(3)))),
            deadline: self.now + SECOND + Micros::from(self.below(5_000)) * MILLISECOND,
            expected_duration: Some(Micros::from(self.below(900)) * MILLISECOND),
            prompt_tokens,
            shared_prefix_tokens,
            max_tokens: 300,
            is_retry: self.below(10) == 0,
            is_resumed: self.below(30) == 0,
            allowed_kinds: (self.below(30) == 0).then_some(0b11),
        }
    }

    fn deliver(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in actions {
            self.record(&action);
            self.react(action);
        }
    }

    fn record(&mut self, action: &Action) {
        let line = render(action, START);
        self.note(line);
    }

    /// What the driver and the servers make of an action.
    fn react(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                endpoint,
                expires_at,
                ..
            } => self.serve(id, endpoint, expires_at),
            Action::ReserveSlot { id, endpoint: _ } => {
                let held = self.below(4) != 0;
                let endpoint = EndpointId(self.prefill_endpoints.get(&id.0).copied().unwrap_or(0));
                let after = self.millis(2, 12);
                self.schedule(
                    after,
                    Event::SlotReservationAnswered {
                        id,
                        endpoint,
                        granted: held,
                    },
                );
            }
            Action::CancelAttempt { id, attempt } => self.cancel(id, Some(attempt)),
            Action::Migrate(id) => self.cancel(id, None),
            Action::SetTimer { at, key } => {
                self.timers.insert((at, key));
            }
            Action::HealthCheck(endpoint) => self.check_health(endpoint),
            Action::SubscribeEndpoints(_) => {
                let after = self.millis(5, 40);
                let update = if self.below(5) == 0 {
                    EndpointUpdate::PollFailed
                } else {
                    EndpointUpdate::Delta(Vec::new())
                };
                self.schedule(after, Event::EndpointsUpdated(update));
            }
            Action::Reject { .. }
            | Action::Fail(_)
            | Action::ReleaseState(_)
            | Action::Gossip { .. } => {}
        }
    }

    fn check_health(&mut self, endpoint: EndpointId) {
        let (outcome, after) = match self.behaviour(endpoint) {
            Behaviour::Silent => (Outcome::TimedOut, SECOND),
            Behaviour::Failing => (Outcome::ServerError, 3 * MILLISECOND),
            _ => (Outcome::Completed, self.millis(2, 20)),
        };
        let load = (outcome == Outcome::Completed).then(|| self.load());
        self.schedule(
            after,
            Event::HealthChecked {
                endpoint,
                outcome,
                elapsed: after,
                load,
            },
        );
    }

    fn behaviour(&self, endpoint: EndpointId) -> Behaviour {
        self.behaviours
            .get(&endpoint.0)
            .copied()
            .unwrap_or(Behaviour::Normal)
    }

    fn serve(&mut self, id: RequestId, endpoint: EndpointId, expires_at: Micros) {
        let made = self.attempts.entry(id.0).or_insert(0);
        let number = *made;
        *made += 1;
        let attempt = AttemptKey {
            id,
            number,
            endpoint,
        };
        let kind = self.servers.get(&endpoint.0).map_or(0, |spec| spec.kind.0);
        if kind == PREFILL_KIND {
            self.prefill_endpoints.insert(id.0, endpoint.0);
        }
        let tokens = self.prompts.get(&id.0).copied().unwrap_or(0) as Micros;
        let behaviour = self.behaviour(endpoint);
        let pace = if behaviour == Behaviour::Slow { 12 } else { 1 };
        let prefill_time = (tokens * 25 + self.millis(1, 30)) * pace;
        let expires_after = (expires_at - self.now).max(MILLISECOND);
        match behaviour {
            Behaviour::Silent => self.fail(attempt, expires_after, Outcome::TimedOut),
            Behaviour::Failing => self.fail(attempt, 2 * MILLISECOND, Outcome::ServerError),
            Behaviour::Full => self.fail(attempt, 2 * MILLISECOND, OVERLOADED),
            Behaviour::Normal | Behaviour::Slow => {
                self.respond(attempt, kind, tokens, prefill_time, expires_after);
            }
        }
    }

    /// Most attempts are served; some fail in each way that there is.
    fn respond(
        &mut self,
        attempt: AttemptKey,
        kind: usize,
        tokens: Micros,
        prefill_time: Micros,
        expires_after: Micros,
    ) {
        let early = self.millis(1, 60);
        let (after, outcome) = match self.below(100) {
            0..=2 => (early, OVERLOADED),
            3..=4 => (early, with_detail(OVERLOADED, 1)),
            5..=6 => (early, Outcome::ServerError),
            7 => (early, UNREACHABLE),
            8 => (early, with_detail(UNREACHABLE, 1)),
            9..=10 => (early, CONNECTION_RESET),
            11 => (early, with_detail(CONNECTION_RESET, 1)),
            12 => (expires_after, Outcome::TimedOut),
            13 => (early, Outcome::NotSent),
            14 => (early, PREFILLED),
            _ if kind == PREFILL_KIND => {
                let cached_tokens = u64::from(self.below(tokens.max(1) as u32));
                (prefill_time, Outcome::Prefilled { cached_tokens })
            }
            _ => return self.stream(attempt, prefill_time),
        };
        self.fail(attempt, after.min(expires_after), outcome);
    }

    /// A stream that begins and ends, some of them before their time.
    fn stream(&mut self, attempt: AttemptKey, prefill_time: Micros) {
        let begins = prefill_time / 4 + self.millis(5, 120);
        let started = Event::StreamStarted {
            id: attempt.id,
            attempt: attempt.number,
            endpoint: attempt.endpoint,
            elapsed: begins,
        };
        self.schedule(begins, started);
        let lasts = self.millis(100, 1_500);
        let breaks = self.below(12) == 0;
        let outcome = if breaks {
            CONNECTION_RESET
        } else {
            Outcome::Completed
        };
        // A few of the connections that break had been idle before.
        let detail = u64::from(self.below(400));
        self.end(attempt, begins + lasts, with_detail(outcome, detail), true);
    }

    /// An end without a stream.
    fn fail(&mut self, attempt: AttemptKey, after: Micros, outcome: Outcome) {
        self.end(attempt, after, outcome, false);
    }

    fn end(&mut self, attempt: AttemptKey, after: Micros, outcome: Outcome, client_done: bool) {
        let reports = self.settings.load_reporting == LoadReporting::WithOutcomes
            && matches!(
                outcome,
                Outcome::Completed | Outcome::Prefilled { .. } | Outcome::Rejected(_)
            );
        let load = reports.then(|| self.load());
        let ended = Event::AttemptEnded {
            id: attempt.id,
            attempt: attempt.number,
            endpoint: attempt.endpoint,
            outcome,
            client_done,
            elapsed: after,
            load,
        };
        self.schedule(after, ended);
    }

    fn load(&mut self) -> LoadReport {
        LoadReport {
            in_flight: Some(f64::from(self.below(20))),
            queued: Some(f64::from(self.below(6))),
            slot_utilization: Some(self.share()),
            memory_utilization: (self.below(8) != 0)
                .then(|| f64::from(self.below(1_000)) / 1_000.0),
            pending_kilotokens: (self.below(8) != 0).then(|| f64::from(self.below(40))),
        }
    }

    /// The pending events of an attempt, or of the request's stream, give way to its end.
    fn cancel(&mut self, id: RequestId, number: Option<u32>) {
        let is_meant = |attempt: &AttemptKey| {
            attempt.id == id && number.is_none_or(|number| number == attempt.number)
        };
        let mut attempts = self.pending.values().filter_map(AttemptKey::of);
        let Some(attempt) = attempts.find(is_meant) else {
            return;
        };
        self.pending.retain(|_, event| {
            AttemptKey::of(event)
                .is_none_or(|other| (other.id, other.number) != (id, attempt.number))
        });
        self.end(attempt, MILLISECOND, Outcome::Cancelled, number.is_none());
    }

    fn schedule(&mut self, after: Micros, event: Event) {
        self.sequence += 1;
        self.pending
            .insert((self.now + after, self.sequence), event);
    }

    fn below(&mut self, bound: u32) -> u32 {
        self.rng.next_u32() % bound
    }

    fn share(&mut self) -> f64 {
        f64::from(self.below(10_000)) / 10_000.0
    }

    fn millis(&mut self, least: u32, most: u32) -> Micros {
        Micros::from(least + self.below(most - least)) * MILLISECOND
    }
}
