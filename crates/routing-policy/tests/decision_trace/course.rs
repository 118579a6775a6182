//! A course of events: a scripted run of the policy with simulated endpoints that react to its
//! actions.

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
/// The time step at which requests arrive and the changes of the script are made.
const STEP: Micros = 10 * MILLISECOND;

/// How an endpoint responds to attempts and health checks.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Behaviour {
    Normal,
    /// Responds to everything with an error.
    Failing,
    /// Responds to nothing.
    Silent,
    /// Processes prompts at a twelfth of the usual rate.
    Slow,
    /// Rejects all attempts as overloaded.
    Full,
}

/// A change that the script of a course makes at some time.
#[derive(Clone)]
pub(crate) enum Change {
    /// Sets the mean number of requests that arrive per second.
    SetRate(f64),
    SetBehaviour(u64, Behaviour),
    Drain(u64),
    Remove(u64),
    Restart(u64),
    Add(EndpointSpec),
    Snapshot,
    Restored,
    PollFailed,
    PeerShutsDown(u32),
    Shutdown {
        from: Micros,
        by: Micros,
    },
    /// Writes the status of each endpoint to the lines.
    RecordStatuses,
}

/// The index of the kind of prefill endpoints.
const PREFILL_KIND: usize = 0;

/// A policy with simulated endpoints.
pub(crate) struct Course {
    settings: Settings,
    policy: Policy,
    rng: Pcg32,
    now: Micros,
    rate: f64,
    /// The number of requests that are due to arrive; a fraction carries over to the next step.
    arrivals: f64,
    next_request: u32,
    endpoints: BTreeMap<u64, EndpointSpec>,
    behaviours: BTreeMap<u64, Behaviour>,
    timers: BTreeSet<(Micros, TimerKey)>,
    /// The scheduled events, by time and by the order in which they were scheduled.
    pending: BTreeMap<(Micros, u64), Event>,
    sequence: u64,
    /// The number of attempts made for each request.
    attempts: BTreeMap<u32, u32>,
    /// The prefill endpoint that each request was sent to last.
    prefill_endpoints: BTreeMap<u32, u64>,
    /// The number of prompt tokens of each request.
    prompts: BTreeMap<u32, u64>,
    /// The rendered actions and statuses, each with its time.
    pub(crate) lines: Vec<String>,
}

impl Course {
    pub(crate) fn new(settings: Settings, endpoints: Vec<EndpointSpec>, seed: u64) -> Course {
        let mut course = Course {
            policy: Policy::new(settings.clone(), seed, START),
            settings,
            rng: Pcg32::new(seed, 99),
            now: START,
            rate: 10.0,
            arrivals: 0.0,
            next_request: 0,
            endpoints: endpoints.iter().map(|spec| (spec.id.0, *spec)).collect(),
            behaviours: BTreeMap::new(),
            timers: BTreeSet::new(),
            pending: BTreeMap::new(),
            sequence: 0,
            attempts: BTreeMap::new(),
            prefill_endpoints: BTreeMap::new(),
            prompts: BTreeMap::new(),
            lines: Vec::new(),
        };
        course.deliver(Event::EndpointsUpdated(EndpointUpdate::Restored(endpoints)));
        course
    }

    /// Runs the course for `duration`. The times of the changes are relative to the present time.
    pub(crate) fn play(&mut self, duration: Micros, mut script: Vec<(Micros, Change)>) {
        let (start, end) = (self.now, self.now + duration);
        script.sort_by_key(|(at, _)| *at);
        let mut script = script.into_iter().peekable();
        while self.now < end {
            self.now += STEP;
            while let Some((_, change)) = script.next_if(|(at, _)| start + at <= self.now) {
                self.change(change);
            }
            self.arrive();
            self.deliver_due();
        }
    }

    /// Delivers the timers and events that are due, in the order of their times.
    fn deliver_due(&mut self) {
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
                    let event = self.pending.remove(&key).expect("the key is pending");
                    self.deliver(event);
                }
                _ => return,
            }
        }
    }

    fn change(&mut self, change: Change) {
        let patch = |course: &mut Course, id: u64, edit: &dyn Fn(&mut EndpointSpec)| {
            let spec = course.endpoints.get_mut(&id).expect("the endpoint exists");
            edit(spec);
            let specs = vec![*spec];
            course.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(specs)));
        };
        let now = self.now;
        let all = self.endpoints.values().copied().collect();
        match change {
            Change::SetRate(rate) => self.rate = rate,
            Change::SetBehaviour(id, behaviour) => {
                self.behaviours.insert(id, behaviour);
            }
            Change::Drain(id) => patch(self, id, &|s| s.state = EndpointState::Draining),
            Change::Remove(id) => {
                patch(self, id, &|s| s.state = EndpointState::Removed);
                self.endpoints.remove(&id);
            }
            Change::Restart(id) => patch(self, id, &|s| {
                s.state = EndpointState::Active;
                s.started_at = Some(now - 300 * MILLISECOND);
            }),
            Change::Add(spec) => {
                self.endpoints.insert(spec.id.0, spec);
                patch(self, spec.id.0, &|s| {
                    s.started_at = Some(now - 100 * MILLISECOND)
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
            Change::PeerShutsDown(from) => self.deliver(Event::GossipReceived {
                from,
                payload: vec![1],
            }),
            Change::Shutdown { from, by } => {
                self.deliver(Event::ShutdownStarted {
                    migrate_from: now + from,
                    respond_by: now + by,
                });
            }
            Change::RecordStatuses => self.record_statuses(),
        }
    }

    fn record_statuses(&mut self) {
        for status in self.policy.endpoint_statuses(self.now) {
            let line = format!(
                "status server={} takes={} score={:.6}",
                status.endpoint.0, status.accepts_work, status.score
            );
            self.record_line(line);
        }
    }

    fn record_line(&mut self, line: String) {
        self.lines.push(format!("{} {line}", self.now - START));
    }

    fn arrive(&mut self) {
        self.arrivals += self.rate * STEP as f64 / SECOND as f64 * 2.0 * self.random_share();
        while self.arrivals >= 1.0 {
            self.arrivals -= 1.0;
            let request = self.request();
            if self.random_below(25) == 0 {
                let after = Micros::from(self.random_below(2_000)) * MILLISECOND;
                self.schedule(after, Event::ClientDisconnected(request.id));
            }
            self.deliver(Event::RequestArrived(request));
        }
    }

    /// Draws a request at random.
    fn request(&mut self) -> RequestSpec {
        let id = self.next_request;
        self.next_request += 1;
        let prompt_tokens = 200 + u64::from(self.random_below(90)).pow(2);
        self.prompts.insert(id, prompt_tokens);
        let with_prefix = self.random_below(3) == 0;
        let shared_prefix_tokens = if with_prefix { prompt_tokens / 2 } else { 0 };
        RequestSpec {
            id: RequestId(id),
            class: ClassId(self.random_below(self.settings.classes.len() as u32) as usize),
            session: (self.random_below(5) != 0)
                .then(|| SessionId(u64::from(self.random_below(40)))),
            shared_prefix: with_prefix.then(|| PrefixId(u64::from(self.random_below(3)))),
            deadline: self.now + SECOND + Micros::from(self.random_below(5_000)) * MILLISECOND,
            expected_duration: Some(Micros::from(self.random_below(900)) * MILLISECOND),
            prompt_tokens,
            shared_prefix_tokens,
            max_tokens: 300,
            is_retry: self.random_below(10) == 0,
            is_resumed: self.random_below(30) == 0,
            client_can_resume: true,
            allowed_kinds: (self.random_below(30) == 0).then_some(0b11),
        }
    }

    fn deliver(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in actions {
            self.record_action(&action);
            self.react(action);
        }
    }

    fn record_action(&mut self, action: &Action) {
        let line = render(action, START);
        self.record_line(line);
    }

    /// Carries out an action as the driver would, and schedules what the endpoints respond.
    fn react(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                endpoint,
                expires_at,
                ..
            } => self.serve(id, endpoint, expires_at),
            Action::ReserveSlot { id, endpoint: _ } => {
                let is_granted = self.random_below(4) != 0;
                let endpoint = EndpointId(self.prefill_endpoints.get(&id.0).copied().unwrap_or(0));
                let after = self.random_millis(2, 12);
                self.schedule(
                    after,
                    Event::SlotReservationCompleted {
                        id,
                        endpoint,
                        granted: is_granted,
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
                let after = self.random_millis(5, 40);
                let update = if self.random_below(5) == 0 {
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
            _ => (Outcome::Completed, self.random_millis(2, 20)),
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
        let attempts_made = self.attempts.entry(id.0).or_insert(0);
        let number = *attempts_made;
        *attempts_made += 1;
        let attempt = AttemptKey {
            id,
            number,
            endpoint,
        };
        let kind = self.endpoints.get(&endpoint.0).map_or(0, |s| s.kind.0);
        if kind == PREFILL_KIND {
            self.prefill_endpoints.insert(id.0, endpoint.0);
        }
        let tokens = self.prompts.get(&id.0).copied().unwrap_or(0) as Micros;
        let behaviour = self.behaviour(endpoint);
        let slowdown = if behaviour == Behaviour::Slow { 12 } else { 1 };
        let prefill_time = (tokens * 25 + self.random_millis(1, 30)) * slowdown;
        let expires_after = (expires_at - self.now).max(MILLISECOND);
        match behaviour {
            Behaviour::Silent => self.end_directly(attempt, expires_after, Outcome::TimedOut),
            Behaviour::Failing => self.end_directly(attempt, 2 * MILLISECOND, Outcome::ServerError),
            Behaviour::Full => self.end_directly(attempt, 2 * MILLISECOND, OVERLOADED),
            Behaviour::Normal | Behaviour::Slow => {
                self.respond(attempt, kind, tokens, prefill_time, expires_after);
            }
        }
    }

    /// Serves most attempts; a few fail in each of the possible ways.
    fn respond(
        &mut self,
        attempt: AttemptKey,
        kind: usize,
        tokens: Micros,
        prefill_time: Micros,
        expires_after: Micros,
    ) {
        let soon = self.random_millis(1, 60);
        let (after, outcome) = match self.random_below(100) {
            0..=2 => (soon, OVERLOADED),
            3..=4 => (soon, with_detail(OVERLOADED, 1)),
            5..=6 => (soon, Outcome::ServerError),
            7 => (soon, UNREACHABLE),
            8 => (soon, with_detail(UNREACHABLE, 1)),
            9..=10 => (soon, CONNECTION_RESET),
            11 => (soon, with_detail(CONNECTION_RESET, 1)),
            12 => (expires_after, Outcome::TimedOut),
            13 => (soon, Outcome::NotSent),
            14 => (soon, PREFILLED),
            _ if kind == PREFILL_KIND => {
                let cached_tokens = u64::from(self.random_below(tokens.max(1) as u32));
                (prefill_time, Outcome::Prefilled { cached_tokens })
            }
            _ => return self.stream(attempt, prefill_time),
        };
        self.end_directly(attempt, after.min(expires_after), outcome);
    }

    /// Schedules the start and the end of a stream. One stream in twelve breaks.
    fn stream(&mut self, attempt: AttemptKey, prefill_time: Micros) {
        let starts_after = prefill_time / 4 + self.random_millis(5, 120);
        let started = Event::StreamStarted {
            id: attempt.id,
            attempt: attempt.number,
            endpoint: attempt.endpoint,
            elapsed: starts_after,
        };
        self.schedule(starts_after, started);
        let stream_duration = self.random_millis(100, 1_500);
        let is_broken = self.random_below(12) == 0;
        let outcome = if is_broken {
            CONNECTION_RESET
        } else {
            Outcome::Completed
        };
        // One of 400 resets is that of a connection that had been idle.
        let detail = u64::from(self.random_below(400));
        self.end(
            attempt,
            starts_after + stream_duration,
            with_detail(outcome, detail),
            true,
        );
    }

    /// Schedules the end of an attempt that has no stream.
    fn end_directly(&mut self, attempt: AttemptKey, after: Micros, outcome: Outcome) {
        self.end(attempt, after, outcome, false);
    }

    /// Schedules the end of an attempt.
    fn end(&mut self, attempt: AttemptKey, after: Micros, outcome: Outcome, client_done: bool) {
        let has_load_report = self.settings.load_reporting == LoadReporting::WithOutcomes
            && matches!(
                outcome,
                Outcome::Completed | Outcome::Prefilled { .. } | Outcome::Rejected(_)
            );
        let load = has_load_report.then(|| self.load());
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

    /// Draws a load report at random.
    fn load(&mut self) -> LoadReport {
        LoadReport {
            in_flight: Some(f64::from(self.random_below(20))),
            queued: Some(f64::from(self.random_below(6))),
            slot_utilization: Some(self.random_share()),
            memory_utilization: (self.random_below(8) != 0)
                .then(|| f64::from(self.random_below(1_000)) / 1_000.0),
            pending_kilotokens: (self.random_below(8) != 0)
                .then(|| f64::from(self.random_below(40))),
        }
    }

    /// Replaces the pending events of an attempt by its cancellation. If `number` is `None`, the
    /// request's stream is migrated: its attempt is the one with the next pending event.
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

    /// Draws an integer below `bound`.
    fn random_below(&mut self, bound: u32) -> u32 {
        self.rng.next_u32() % bound
    }

    /// Draws a number from 0 to 1, without 1.
    fn random_share(&mut self) -> f64 {
        f64::from(self.random_below(10_000)) / 10_000.0
    }

    /// Draws a duration of whole milliseconds, from `least` up to but without `most`.
    fn random_millis(&mut self, least: u32, most: u32) -> Micros {
        Micros::from(least + self.random_below(most - least)) * MILLISECOND
    }
}
