//! Every decision of the front: which lane reads and answers a request, when to try again, when to give up.
//!
//! The types it speaks in are in `src/interface.rs`. Lanes are scored as in `docs/design.md`.

use std::collections::{BTreeMap, BTreeSet};

use rand_core::RngCore;
use rand_pcg::Pcg32;

use crate::*;
use arithmetic::{mix, seen, uniform, Fading};
use idempotency::{may_have_executed, PossibleExecution, RetryRule};
use lanes::{best_lane, Fleet, Half, Lane};
use starts::StartClock;

mod arithmetic;
mod endpoint_statuses;
pub mod idempotency;
mod lanes;
mod starts;

// Weights of the lane score: S = 0.4 C + 0.1 (1-M) + 0.3 (1-Q) + 0.2 (1-L). From the paper, 3.3.
const WEIGHTS: [f64; 4] = [0.4, 0.1, 0.3, 0.2]; // of kept, memory, queue and live
const QUEUE_MAX: f64 = 8.0; // our unanswered reads at which a reader counts as full. The design's default
const QUEUE_ALL: f64 = 24.0; // reads waiting at a reader, by its report, at which it counts as full
const STALE_AFTER: f64 = 4_000_000.0; // age at which load figures are stale (us) ...
const STALE_SPANS: f64 = 2.0; // ... or so many of our turns with a server, if that is longer
const KEPT_FOR: Micros = 60_000_000; // for which shares count as kept (us): sessions think for seconds
const SPREAD_GAIN: f64 = 3.0; // homes in all zones for each late share of ours above the others' ...
const SPREAD_MARGIN: f64 = 0.05; // ... past this: crossing has its price
const SPREAD_FADE: f64 = 0.02; // part of the late share elsewhere that fades with each read: it may be old
const HOME_KEPT: f64 = 0.9; // share of a prompt that its home is taken to keep: half are later turns
const HOME_WHOLE: f64 = 0.6; // weight as a home of a server that does both, where a writer's is 1
const HOMES: f64 = 2.0; // homes of an opening for each reader that its share of requests would fill
const SHARES_LEAST: f64 = 45.0; // requests of which that share is taken at least: one of a few tells little
const REFUSED_FOR: Micros = 1_000_000; // span for which a writer that refused a place counts as full (us)
const LOOKS_MOST: u32 = 3; // readers probed for a request in turn
const PLACES_MOST: u32 = 3; // places asked for in a read
const KEPT_MOST: usize = 2_000; // most kept shares remembered for a server
const TICK: Micros = 50_000; // span between two looks at timers, probes and waiting requests (us)
const PROBE_EVERY: Micros = 1_000_000; // least span between the probes of a server by turns (us)
const PROBES_AN_ASK: f64 = 1.5; // probes a request: health_checks all cost more than the work
const LOOK_AGE: Micros = 2_000_000; // age at which a reader is probed before a send (us): half of stale
const LOOK_FOR: Micros = 80_000; // span for which a request waits for a new one (us): most come by then
const PIN_SHARE: f64 = 0.6; // of the pin limit, after which held state is freed: timers may be late
const EJECT_FIRST: Micros = 500_000; // for which a failing server is set aside (us), doubling each time ...
const EJECT_MOST: Micros = 8_000_000; // ... up to this
const POOL_LATE: f64 = 0.3; // late share of answers above which a whole stage is overloaded
const POOL_STEP: f64 = 0.1; // by which late shares move at each answer
const POOL_LEAST: [f64; 2] = [12.0, 24.0]; // least reads and streams of all dispatchers at each server
const COLD_SHARE: f64 = 0.8; // share of a cold server's budget that dispatchers use: chance takes the rest
const CARRIED_FOR: Micros = 10_000_000; // span over which the picture of what servers carry fades (us) ...
const CARRIED_LEAST: f64 = 2_000_000.0; // ... and the least life that counts: one event is no rate
const BALANCERS: u32 = 16; // dispatchers where the settings do not tell: as many as to be careful
const WORK_STEP: f64 = 0.05; // share by which means move with each request
const READ_BASE: f64 = 0.2; // what a read of nothing new weighs beside the mean read: step and hand-over
const LATE: [f64; 3] = [0.35, 0.2, 0.35]; // of its aim: a read, a first token, a mixed server's are late then
const LIMIT_MOST: [f64; 2] = [8.0, 1_000.0]; // a server's limits at first and at most: weighed reads, streams
/// A limit's cut after a late answer, its step (or growth) after a quick one, how near counts, and its least.
const LIMIT_CUT: f64 = 0.85;
const LIMIT_STEP: f64 = 0.3;
const LIMIT_GROWTH: f64 = 0.04;
const LIMIT_NEAR: f64 = 0.8;
const LIMIT_LEAST: f64 = 1.0;
const LEAD_SAFETY: f64 = 1.3; // over the mean span from send to first token: two in three make it
const FAIR_LEAD: f64 = 0.5; // of the mean, under which no fair chance is left: few are that quick
const ROOM_STEP: f64 = 0.2; // share by which the span between openings moves with each
const AIM: Micros = 2_000_000; // here and below: where the settings are silent
const ATTEMPTS_MOST: u32 = 4;
const PIN_LIMIT: Micros = 500_000;
const FALL_MULTIPLE: f64 = 2.0;
const FALL_WINDOW: Micros = 2_000_000;
const START_CAPACITY: f64 = 0.15;
const WARM_UP: Micros = 20_000_000;
const PEER_LEAVES: u8 = 1; // what a dispatcher tells the others while it leaves ...
const AWAY_FOR: Micros = 5_500_000; // ... from its first word until clients are sent there again (us) ...
const LEAVES_TOLD: u32 = 3; // ... how many others it tells: a fleet's words must not grow with its square ...
const LEAVE_WORDS: u32 = 2; // ... and how often, as any message may be lost
const MOVED_AT_ONCE: usize = 4; // streams moved at a look: each is read anew elsewhere
const PASSED_BY: Micros = 250_000; // an attempt is lost if one sent so much later is answered (us) ...
const MUTE_FOR: Micros = 1_500_000; // ... or if its server answers neither probes nor us for so long (us)
const SUBSCRIBE_AGAIN: Micros = 500_000; // after a failed call for the list (us)

const ANY_CLASS: ClassId = ClassId(usize::MAX);

struct Endpoint {
    spec: EndpointSpec,
    listed: bool,
    held: [f64; 2], // our unanswered reads there, each weighed, and our streams
    coming: f64,
    limits: [Limit; 2],
    load: Option<(Micros, LoadReport)>,
    /// Prompt tokens kept there for an opening (false, id) or a session (true, id), and when that was learnt.
    kept: BTreeMap<(bool, u64), (u64, Micros)>,
    /// Failures in a row and the end of its time aside, for one class or (`None`) for all.
    fails: BTreeMap<Option<ClassId>, (u32, Micros)>,
    /// While it is cold: since when we wait to send there, and which part of a span; for others, for homes.
    cold_turn: [(Micros, f64); 2],
    probed_at: Micros,
    refused_at: Micros,
    answered: Micros, // when the latest of ours that it has answered was sent
    mute: Micros,     // since when a probe of it, or more, has had no answer, nor anything else
}

/// Admission, learnt from how long answers take: else a short excess becomes a queue in which all is late.
struct Limit {
    most: f64,
    cut_at: Micros,
}

#[derive(Clone, Copy)]
struct Out {
    attempt: u32,
    endpoint: EndpointId,
    stage: Role,
    sent: Micros,
    established: bool,
    weight: f64,
    toward: Option<EndpointId>,
    run: PossibleExecution, // what it is if it may have had its effect
    overdue: Option<bool>,  // that it is has been learnt from, and whether it was called off
}

#[derive(Default)]
struct Request {
    ask: RequestSpec,
    arrived: Micros,
    first_sent: Option<Micros>,
    attempts: u32,
    out: Option<Out>,
    state: Option<(EndpointId, Micros)>, // where the read state waits, and since when nothing is done with it
    look: Option<(EndpointId, Micros)>, // the reader probed for it, and until when it waits for the report
    place: Option<EndpointId>,
    places: u32,
    looks: u32,
    holds: bool,
    let_go_unfetched: bool, // also while its send to a writer is out
    ended: bool,
    ran: Option<PossibleExecution>, // the first attempt that may have had its effect
}

/// What this dispatcher learns of its own traffic. Spans are in us.
#[derive(Default)]
struct Pace {
    probes: f64,         // that we may send
    late: [[f64; 2]; 2], // late shares of our reads in our zone and elsewhere; at readers and mixed servers
    ask_span: f64,       // mean span between requests that come in (us), and when the last did
    asked_at: Micros,
    room_span: f64, // span between openings for those that wait here (us), and since when we wait for one
    room_at: Micros,
    lead: f64, // from the first send to the first token, smoothed (us)
}

/// The decision module of one dispatcher.
pub struct Policy {
    settings: Settings,
    now: Micros,
    out: Vec<Action>,
    rng: Pcg32,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    requests: BTreeMap<RequestId, Request>,
    waiting: BTreeSet<RequestId>,
    /// Mean work of a request of each class at each stage: uncached tokens read, or time streamed (us).
    work: BTreeMap<(Role, ClassId), f64>,
    openings: BTreeMap<Option<PrefixId>, Fading>, // requests of each, and of all (`None`), lately
    carried: [Fading; 3], // our work that each stage's warm servers finished lately ...
    rates: [f64; 3],      // ... and what each of them carries of it a us, at the latest look
    began: Micros,
    starts: StartClock,
    /// Limits on all our reads and streams, and their late share. Guards against many dispatchers' one each.
    pools: [(Limit, f64); 2],
    pace: Pace,
    leaving: Option<(Micros, Micros, u32)>, // when streams may move, when all is answered, words to say
    away: BTreeMap<u32, Micros>,            // dispatchers that leave, and until when they are away
}

impl Policy {
    /// A module that knows nothing but its settings. Equal seeds and events give equal actions.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let mut policy = Policy {
            settings,
            now,
            out: vec![Action::SetTimer {
                at: now + TICK,
                key: TimerKey::Tick,
            }],
            rng: Pcg32::new(seed, 0xda3e_39cb_94b9_5bdb),
            endpoints: BTreeMap::new(),
            requests: BTreeMap::new(),
            waiting: BTreeSet::new(),
            work: BTreeMap::new(),
            openings: BTreeMap::new(),
            carried: Default::default(),
            rates: [0.0; 3],
            began: now,
            starts: StartClock::default(),
            pools: [0.0; 2].map(|late| {
                (
                    Limit {
                        most: f64::MAX,
                        cut_at: Micros::MIN,
                    },
                    late,
                )
            }),
            pace: Pace {
                asked_at: now,
                room_at: now,
                ..Pace::default()
            },
            leaving: None,
            away: BTreeMap::new(),
        };
        if policy.settings.endpoints_are_polled {
            policy.subscribe();
        }
        policy
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::EndpointsUpdated(update) => self.on_endpoint_update(update),
            Event::RequestArrived(ask) => self.on_ask(ask),
            Event::StreamStarted {
                id,
                attempt,
                endpoint,
                ..
            } => self.on_established(id, attempt, endpoint),
            Event::AttemptEnded {
                id,
                attempt,
                endpoint,
                outcome,
                client_done,
                load,
                ..
            } => {
                self.hear(endpoint, load);
                self.on_result(id, attempt, outcome, client_done);
            }
            Event::SlotReservationAnswered { id, granted, .. } => self.on_earmarked(id, granted),
            Event::GossipReceived { from, payload } => self.on_peer(from, &payload),
            Event::ClientDisconnected(id) => self.leave(id),
            Event::ShutdownStarted {
                migrate_from,
                answer_by,
            } => {
                self.leaving = Some((migrate_from, answer_by, LEAVE_WORDS));
            }
            Event::TimerFired(TimerKey::Tick) => self.on_tick(),
            Event::TimerFired(TimerKey::PollEndpoints) => self.subscribe(),
            Event::TimerFired(TimerKey::Request(id)) => self.on_timer(id),
            Event::HealthChecked {
                endpoint,
                outcome,
                load,
                ..
            } => {
                self.hear(endpoint, load);
                self.judge(endpoint, None, outcome);
                self.requests
                    .values_mut()
                    .for_each(|r| r.look = r.look.filter(|(at, _)| *at != endpoint));
                self.advance_waiting();
            }
        }
        out.append(&mut self.out);
    }

    fn class(&self, ask: &RequestSpec) -> Option<&Class> {
        self.settings.classes.get(ask.class.0)
    }

    fn subscribe(&mut self) {
        self.out.push(Action::SubscribeEndpoints(true));
        let wake = |within: Micros| Action::SetTimer {
            at: self.now + within.max(TICK),
            key: TimerKey::PollEndpoints,
        };
        self.out.extend(self.settings.poll_interval.map(wake));
    }

    fn on_endpoint_update(&mut self, update: EndpointUpdate) {
        match update {
            EndpointUpdate::Delta(entries) => {
                self.observe_starts(&entries);
                self.starts.confirm(self.now);
                self.store_entries(entries);
            }
            EndpointUpdate::Snapshot(entries) => {
                self.remove_all_entries();
                self.observe_starts(&entries);
                self.starts.confirm(self.now);
                self.store_entries(entries);
            }
            EndpointUpdate::Restored(entries) => {
                self.remove_all_entries();
                self.observe_starts(&entries);
                self.store_entries(entries);
            }
            EndpointUpdate::PollFailed if self.settings.endpoints_are_polled => {
                self.out.push(Action::SetTimer {
                    at: self.now + SUBSCRIBE_AGAIN,
                    key: TimerKey::PollEndpoints,
                });
            }
            EndpointUpdate::PollFailed => {}
        }
        // Machines are replaced by others for as long as this lives: one that is gone is kept while in use.
        let in_use = |h: &Endpoint| h.held[0] + h.held[1] + h.coming > 0.01;
        self.endpoints
            .retain(|_, h| h.spec.state != EndpointState::Removed || in_use(h));
        self.advance_waiting();
    }

    fn remove_all_entries(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.listed = false;
            endpoint.spec.state = EndpointState::Removed;
        }
    }

    fn observe_starts(&mut self, entries: &[EndpointSpec]) {
        for entry in entries {
            let known = self
                .endpoints
                .get(&entry.id)
                .is_some_and(|known| known.spec.started_at == entry.started_at);
            if let Some(started_at) = entry.started_at.filter(|at| !known && *at > 0) {
                self.starts.observe(started_at, self.now);
            }
        }
    }

    fn store_entries(&mut self, entries: Vec<EndpointSpec>) {
        for entry in entries {
            let known_start = self
                .endpoints
                .get(&entry.id)
                .map(|known| known.spec.started_at);
            let endpoint = self
                .endpoints
                .entry(entry.id)
                .or_insert_with(|| Endpoint::new(entry));
            endpoint.spec = entry;
            endpoint.listed = entry.state == EndpointState::Active;
            if known_start != Some(entry.started_at) {
                endpoint.kept = BTreeMap::new();
                endpoint.load = None;
                endpoint.fails = BTreeMap::new();
                endpoint.cold_turn = [(self.now, uniform(self.rng.next_u64())), (self.now, 0.0)];
            }
        }
    }

    fn on_ask(&mut self, ask: RequestSpec) {
        if self.requests.contains_key(&ask.id) {
            return;
        }
        if self.waiting.is_empty() {
            self.pace.room_at = self.now;
        }
        self.requests.insert(
            ask.id,
            Request {
                ask,
                arrived: self.now,
                ..Request::default()
            },
        );
        self.waiting.insert(ask.id);
        self.pace.ask_span +=
            ((self.now - self.pace.asked_at) as f64 - self.pace.ask_span) * WORK_STEP;
        self.pace.asked_at = self.now;
        if self.openings.len() > KEPT_MOST {
            self.openings.clear();
        }
        for key in [Some(None), ask.shared_prefix.map(Some)]
            .into_iter()
            .flatten()
        {
            self.openings
                .entry(key)
                .or_default()
                .add(1.0, self.now, KEPT_FOR);
        }
        self.pace.probes = (self.pace.probes + PROBES_AN_ASK).min(4.0 * PROBES_AN_ASK);
        self.out.push(Action::SetTimer {
            at: self.last_call(&ask),
            key: TimerKey::Request(ask.id),
        });
        self.advance_waiting();
    }

    /// Probes the reader that a request would go to and waits for its report: it may have jammed unseen.
    fn look(&mut self, id: RequestId, reader: EndpointId) -> bool {
        let old = self.endpoints[&reader]
            .load
            .is_none_or(|(at, _)| self.now >= at + LOOK_AGE);
        let looks = old && self.requests[&id].looks < LOOKS_MOST && self.probe(reader);
        if let Some(request) = self.requests.get_mut(&id).filter(|_| looks) {
            (request.look, request.looks) =
                (Some((reader, self.now + LOOK_FOR)), request.looks + 1);
            self.out.push(Action::SetTimer {
                at: self.now + LOOK_FOR,
                key: TimerKey::Request(id),
            });
        }
        looks
    }

    fn aim_span(&self, ask: &RequestSpec) -> Micros {
        let class = self.class(ask);
        let per_1000 = class
            .and_then(|c| c.latency_objective_per_1000_tokens)
            .unwrap_or(0.0);
        class.and_then(|c| c.latency_objective).unwrap_or(AIM)
            + (per_1000 * ask.prompt_tokens as f64 / 1000.0) as Micros
    }

    fn last_call(&self, ask: &RequestSpec) -> Micros {
        let period = self.settings.event_interval.unwrap_or(TICK);
        let slack = self.settings.response_slack.unwrap_or(0);
        ask.deadline - if slack > 2 * period { 0 } else { 2 * period }
    }

    fn on_established(&mut self, id: RequestId, attempt: u32, endpoint: EndpointId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let sent = request
            .out
            .as_mut()
            .filter(|o| o.attempt == attempt && !o.established);
        let Some(sent) = sent else { return };
        sent.established = true;
        let sent = *sent;
        let lead = (self.now - request.first_sent.unwrap_or(self.now)) as f64 * LEAD_SAFETY;
        self.pace.lead += (lead - self.pace.lead) * WORK_STEP;
        (request.state, request.holds) = (None, false);
        if let Some(h) = self
            .endpoints
            .get_mut(&endpoint)
            .filter(|_| sent.stage == Role::Mixed)
        {
            h.held[0] = (h.held[0] - sent.weight).max(0.0);
        }
        let class = request.ask.class;
        self.judge(endpoint, Some(class), Outcome::Completed);
        self.endpoints
            .entry(endpoint)
            .and_modify(|h| h.answer(sent.sent));
        self.learn_limit(id, sent, false);
    }

    fn on_result(&mut self, id: RequestId, attempt: u32, outcome: Outcome, client_done: bool) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(sent) = request.out.filter(|o| o.attempt == attempt) else {
            return;
        };
        let class = request.ask.class;
        // Only readers leave a state: from another server it proves nothing.
        let half_done = matches!(outcome, Outcome::Prefilled { .. }) && sent.stage != Role::Prefill;
        let outcome = if half_done {
            Outcome::ServerError
        } else {
            outcome
        };
        request.out = None;
        request.ended |= client_done || outcome == Outcome::Completed;
        self.uncount(sent);
        let no_state = outcome == Outcome::Rejected(RejectReason::NoKvState);
        let not_the_servers = matches!(
            outcome,
            Outcome::ConnectionReset(ResetCause::StaleIdle)
                | Outcome::ConnectFailed(ConnectFailure::LocalResources)
        );
        if !no_state && !not_the_servers {
            self.judge(sent.endpoint, Some(class), outcome);
        }
        if matches!(
            outcome,
            Outcome::Prefilled { .. } | Outcome::Rejected(_) | Outcome::ServerError
        ) {
            self.endpoints
                .entry(sent.endpoint)
                .and_modify(|h| h.answer(sent.sent));
        }
        match outcome {
            Outcome::Prefilled { .. } => self.learn_limit(id, sent, false),
            Outcome::Rejected(RejectReason::Overloaded) => self.learn_limit(id, sent, true),
            _ => {}
        }
        self.learn_work(id, sent, outcome);
        self.learn_kept(id, sent, outcome);
        let pin = self.pin();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        match outcome {
            Outcome::Prefilled { .. } => request.state = Some((sent.endpoint, self.now)),
            _ if sent.stage != Role::Decode || no_state => request.state = None,
            // Without a connection the KV state has waited all the while.
            Outcome::Completed | Outcome::ConnectFailed(_) => {}
            _ => request.state = request.state.map(|(endpoint, _)| (endpoint, self.now)),
        }
        if may_have_executed(sent.stage, outcome) && request.ran.is_none() {
            request.ran = Some(sent.run);
        }
        let (ended, until) = (request.ended, request.state.map(|(_, since)| since + pin));
        let until = until.filter(|until| self.now < *until);
        if until.is_none() {
            self.let_go(id);
        }
        if ended {
            self.end(id);
        } else {
            self.waiting.insert(id);
            self.out.extend(until.map(|at| Action::SetTimer {
                at,
                key: TimerKey::Request(id),
            }));
            self.advance(id);
        }
    }

    /// A writer without room for a place counts as full; another is asked while the prompt is read.
    fn on_earmarked(&mut self, id: RequestId, held: bool) {
        let Some(request) = self.requests.get_mut(&id).filter(|_| !held) else {
            return;
        };
        let (place, out) = (request.place.take(), request.out);
        place
            .and_then(|w| self.endpoints.get_mut(&w))
            .into_iter()
            .for_each(|w| w.refused_at = self.now);
        let more = out
            .filter(|o| o.stage == Role::Prefill && !request.ended && request.places < PLACES_MOST);
        if let Some(writer) = more.and_then(|o| self.choose_writer(id, o.endpoint)) {
            self.earmark(id, writer);
        }
    }

    fn on_timer(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let held = |since: Micros| self.now >= since + self.pin();
        match (request.state, request.out) {
            (Some((_, since)), None) if held(since) => self.let_go(id),
            (Some(_), Some(out)) if out.stage == Role::Decode && held(out.sent) => {
                self.let_go_unfetched(id)
            }
            _ => {}
        }
        self.advance(id);
    }

    fn pin(&self) -> Micros {
        (self.settings.kv_lease_timeout.unwrap_or(PIN_LIMIT) as f64 * PIN_SHARE) as Micros
    }

    fn let_go(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id).filter(|r| r.holds) {
            (request.holds, request.state, request.place) = (false, None, None);
            self.out.push(Action::ReleaseState(id));
        }
    }

    /// A send to the writer may not have arrived, as open connections can fall silent: then nothing waits
    /// for what is held. One that has arrived comes before this and loses nothing, as servers let go only of
    /// what no attempt waits for.
    fn let_go_unfetched(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id).filter(|r| !r.let_go_unfetched) {
            request.let_go_unfetched = true;
            self.out.push(Action::ReleaseState(id));
        }
    }

    fn on_tick(&mut self) {
        self.out.push(Action::SetTimer {
            at: self.now + TICK,
            key: TimerKey::Tick,
        });
        [Role::Prefill, Role::Decode, Role::Mixed]
            .into_iter()
            .for_each(|stage| self.learn_rate(stage));
        self.watch();
        self.advance_waiting();
        self.on_leaving();
        let longest = self
            .endpoints
            .iter()
            .filter(|(_, h)| h.listed)
            .min_by_key(|(_, h)| h.probed_at);
        if let Some((id, _)) = longest.filter(|(_, h)| self.now >= h.probed_at + PROBE_EVERY) {
            self.probe(*id);
        }
    }

    /// Sends a probe where they bear reports, as far as our requests allow.
    fn probe(&mut self, id: EndpointId) -> bool {
        let told = self.settings.health_checks
            && self.settings.load_reporting == LoadReporting::OnHealthCheck;
        let may = told && self.pace.probes >= 1.0;
        let Some(endpoint) = self.endpoints.get_mut(&id).filter(|_| may) else {
            return false;
        };
        (endpoint.probed_at, endpoint.mute) = (self.now, endpoint.mute.min(self.now));
        self.pace.probes -= 1.0;
        self.out.push(Action::HealthCheck(id));
        true
    }

    /// First those with a state, then the worthiest and oldest that can be in time, then new late ones.
    fn advance_waiting(&mut self) {
        let rank = |id: &RequestId| {
            let request = &self.requests[id];
            let worth = self
                .class(&request.ask)
                .and_then(|c| c.priority_weight)
                .unwrap_or(1.0);
            let late = self.now + self.pace.lead as Micros
                > request
                    .ask
                    .deadline
                    .min(request.arrived + self.aim_span(&request.ask));
            let turn = if late {
                -i64::from(id.0)
            } else {
                i64::from(id.0)
            };
            (
                request.state.is_none(),
                late,
                -(worth * 1000.0) as i64,
                turn,
                *id,
            )
        };
        let mut order: Vec<_> = self.waiting.iter().map(rank).collect();
        order.sort_unstable();
        let (mut blocked, mut ahead) = (BTreeSet::new(), 0);
        for (fresh, .., id) in order {
            let Some(ask) = self.requests.get(&id).map(|r| r.ask) else {
                continue;
            };
            if !fresh || !blocked.contains(&ask.class) {
                self.advance(id);
            }
            if fresh && self.waiting.contains(&id) {
                blocked.insert(ask.class);
                ahead += 1;
                if !self.has_chance(&ask, ahead) {
                    self.give_up(id);
                }
            }
        }
    }

    /// Whether the `turn`-th that waits may still be answered in time: else its client could ask elsewhere.
    fn has_chance(&self, ask: &RequestSpec, turn: usize) -> bool {
        let wait = self.room_wait(turn) as f64 + self.pace.lead / LEAD_SAFETY * FAIR_LEAD;
        self.now as f64 + wait < self.last_call(ask) as f64
    }

    /// How long until room has opened here for so many.
    fn room_wait(&self, turns: usize) -> Micros {
        let since = (self.now - self.pace.room_at) as f64;
        ((self.pace.room_span + (since - self.pace.room_span).max(0.0) * ROOM_STEP) * turns as f64)
            as Micros
    }

    fn advance(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let due = self.now >= self.last_call(&request.ask);
        let looking = request.look.is_some_and(|(_, until)| self.now < until); // its class waits with it
        if request.ended || (looking && !due) || request.out.is_some_and(|o| o.established || !due)
        {
            return;
        }
        // Without a state it takes a read and an answer, unless one server does both.
        let most = self.settings.max_attempts.unwrap_or(ATTEMPTS_MOST);
        let whole = |h: &Endpoint| {
            h.listed && (self.settings.decode_can_prefill || self.stage(h) == Role::Mixed)
        };
        let last_read = request.state.is_none() && request.attempts + 1 == most;
        let elapsed =
            request.attempts >= most || (last_read && !self.endpoints.values().any(whole));
        if due || elapsed || self.retry_deadline(request, None).is_none() {
            self.give_up(id);
            return;
        }
        if let Some((reader, _)) = request.state {
            if let Some(writer) = self.choose_writer(id, reader) {
                self.send(id, writer, Role::Decode, None);
            }
        } else if let Some((reader, writer)) = self.choose_lane(id) {
            let looks = self.look(id, reader);
            if !looks && reader == writer {
                self.send(id, reader, Role::Mixed, None);
            } else if !looks && self.send(id, reader, Role::Prefill, Some(writer)) {
                self.earmark(id, writer);
            }
        }
    }

    fn send(
        &mut self,
        id: RequestId,
        to: EndpointId,
        stage: Role,
        toward: Option<EndpointId>,
    ) -> bool {
        let until = |r: &Request| {
            Some((
                r.ask,
                self.retry_deadline(r, Some(self.endpoints.get(&to)?))?,
            ))
        };
        let Some((ask, retry_deadline)) = self.requests.get(&id).and_then(until) else {
            return false;
        };
        let weight = if stage == Role::Decode {
            0.0
        } else {
            self.read_weight(&ask, to)
        };
        let part = self.class_work(stage, ask.class, 1.0) / self.class_work(stage, ANY_CLASS, 1.0);
        let Some(endpoint) = self.endpoints.get_mut(&to) else {
            return false;
        };
        let run = PossibleExecution::at(&endpoint.spec, self.now);
        endpoint.cold_turn = [(self.now, part); 2];
        endpoint.held[0] += weight;
        endpoint.held[1] += f64::from(u8::from(stage != Role::Prefill));
        let pin = self.pin();
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        // Half of what is left, so that another server can be tried.
        let half_left = |since: Micros| self.now + (since + pin - self.now) / 2;
        let write_by = request.state.map_or(retry_deadline, |(_, since)| {
            retry_deadline.min(half_left(since))
        });
        let (attempt, sent, established, overdue) = (request.attempts, self.now, false, None);
        request.out = Some(Out {
            attempt,
            endpoint: to,
            stage,
            sent,
            established,
            weight,
            toward,
            run,
            overdue,
        });
        request.attempts += 1;
        request.first_sent.get_or_insert(self.now);
        (request.holds, request.let_go_unfetched) = (true, false);
        request.place = toward.or(request.place); // its lane's writer, also where no place can be asked for
        toward
            .and_then(|w| self.endpoints.get_mut(&w))
            .into_iter()
            .for_each(|w| w.coming += 1.0);
        self.waiting.remove(&id);
        if stage == Role::Decode {
            self.out.push(Action::SetTimer {
                at: self.now + pin,
                key: TimerKey::Request(id),
            });
        } else {
            self.pace.room_span +=
                ((self.now - self.pace.room_at) as f64 - self.pace.room_span) * ROOM_STEP;
            self.pace.room_at = self.now;
        }
        self.out.push(Action::Send {
            id,
            endpoint: to,
            expires_at: ask.deadline,
            write_by,
        });
        true
    }

    fn earmark(&mut self, id: RequestId, writer: EndpointId) {
        let may = self.settings.slot_reservations && self.open(writer, false);
        let Some(request) = self.requests.get_mut(&id).filter(|_| may) else {
            return;
        };
        (request.place, request.places, request.holds) = (Some(writer), request.places + 1, true);
        self.out.push(Action::ReserveSlot {
            id,
            endpoint: writer,
        });
    }

    /// Whether it takes work, and our turn has come if it is cold. Homes need not wait for a first turn: a
    /// server draws as many as the part of its capacity that it has (see `home`).
    fn open(&self, id: EndpointId, home: bool) -> bool {
        let turn = |h: &Endpoint| h.cold_turn[usize::from(home)];
        let due = |h: &Endpoint| self.now >= turn(h).0 + (self.cold_span(h) * turn(h).1) as Micros;
        self.endpoints
            .get(&id)
            .is_some_and(|h| h.listed && (self.warmth(h) >= 1.0 || due(h)))
    }

    /// Whether it is open, of a kind that the request may go to, not set aside, and in reach of a repeat.
    fn takes(&self, id: EndpointId, request: &Request, home: bool) -> bool {
        // One that was chosen before may have left the list since.
        let Some(endpoint) = self.endpoints.get(&id) else {
            return false;
        };
        let aside = |key| {
            endpoint
                .fails
                .get(key)
                .is_some_and(|(_, until)| self.now < *until)
        };
        let fits = request.ask.allows(endpoint.spec.kind);
        let may_repeat = self.retry_deadline(request, Some(endpoint)).is_some();
        fits && may_repeat
            && self.open(id, home)
            && ![None, Some(request.ask.class)].iter().any(aside)
    }

    /// By when another attempt (at `to`, a reader too) must be written so that it cannot repeat an effect.
    fn retry_deadline(&self, request: &Request, to: Option<&Endpoint>) -> Option<Micros> {
        let until = RetryRule::of(self.class(&request.ask))
            .retry_deadline(request.ran, to.map(|h| &h.spec));
        until.filter(|until| self.now < *until)
    }

    /// The final answer of this dispatcher: a refusal where it is true that trying again is harmless.
    fn give_up(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let out_there =
            request.ran.is_some() || request.out.is_some_and(|o| o.stage != Role::Prefill);
        let harmless = RetryRule::of(self.class(&request.ask)).may_reject(out_there);
        let most = self
            .settings
            .max_retry_after
            .filter(|_| self.settings.retry_after)
            .unwrap_or(0)
            .max(0);
        let retry_after = self
            .room_wait(self.waiting.len().max(1))
            .clamp(TICK.min(most), most);
        self.out.push(if harmless {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail(id)
        });
        self.end(id);
    }

    /// While the endpoint leaves: tells the others and moves streams, the newest first, unless all that would
    /// tell us are away themselves. At the end all are moved, and what has no answer gets its final one.
    fn on_leaving(&mut self) {
        let Some((from, by, words)) = self.leaving else {
            return;
        };
        let others = self.settings.router_count.unwrap_or(0).saturating_sub(1);
        let (told, me) = (
            others.min(LEAVES_TOLD),
            self.settings.router_index.unwrap_or(0),
        );
        if self.settings.gossip && words > 0 {
            self.leaving = Some((from, by, words - 1));
            let to =
                |i| (u64::from(me) + 1 + u64::from(i * (others / told))) % (u64::from(others) + 1);
            let tell = |i| Action::Gossip {
                to: Some(to(i) as u32),
                payload: vec![PEER_LEAVES],
            };
            self.out.extend((0..told).map(tell));
        }
        let away = self
            .away
            .values()
            .filter(|until| self.now < **until)
            .count();
        let end = self.now >= by;
        let may =
            self.settings.resumable_streams && (end || (self.now >= from && away < told as usize));
        let mut left = if end {
            usize::MAX
        } else {
            MOVED_AT_ONCE * usize::from(may)
        };
        let open = self
            .requests
            .iter()
            .rev()
            .filter(|(_, r)| !r.ended)
            .map(|(id, r)| (*id, r.out));
        for (id, out) in open.collect::<Vec<_>>() {
            if out.is_some_and(|o| o.established) {
                self.out
                    .extend((may && left > 0).then_some(Action::Migrate(id)));
                left = left.saturating_sub(1);
            } else if end {
                let out = out.filter(|_| self.settings.cancellation);
                self.out.extend(out.map(|out| Action::CancelAttempt {
                    id,
                    attempt: out.attempt,
                }));
                self.give_up(id);
            }
        }
    }

    fn on_peer(&mut self, from: u32, bytes: &[u8]) {
        let until = self.away.entry(from).or_insert(self.now);
        if bytes == [PEER_LEAVES] && self.settings.router_index != Some(from) && self.now >= *until
        {
            *until = self.now + AWAY_FOR;
        }
    }

    /// Nobody waits for the answer: what is out is called off and its state let go when its result comes.
    fn leave(&mut self, id: RequestId) {
        let out = self.requests.get(&id).and_then(|r| r.out);
        let out = out.filter(|o| !o.established && self.settings.cancellation);
        self.out.extend(out.map(|out| Action::CancelAttempt {
            id,
            attempt: out.attempt,
        }));
        self.end(id);
    }

    fn end(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.ended = true;
        self.waiting.remove(&id);
        if request.out.is_none() {
            self.let_go(id);
            self.requests.remove(&id);
        }
    }

    /// The part of its capacity that a server has at least, as the rules tell it.
    fn warmth(&self, endpoint: &Endpoint) -> f64 {
        let warm_up = self.settings.warm_up.unwrap_or(WARM_UP).max(1) as f64;
        let start = self
            .settings
            .cold_capacity
            .unwrap_or(START_CAPACITY)
            .clamp(0.01, 1.0);
        let started = endpoint.spec.started_at.filter(|at| *at > 0);
        let age = |at| self.starts.age(at, self.now) as f64;
        started
            .map_or(1.0, |at| start + (1.0 - start) * age(at) / warm_up)
            .min(1.0)
    }

    /// The span between our sends to a cold server, the first drawn. Guards against many pushing it over.
    fn cold_span(&self, endpoint: &Endpoint) -> f64 {
        let (stage, multiple) = (
            self.stage(endpoint),
            self.settings.overload_multiple.unwrap_or(FALL_MULTIPLE),
        );
        let rate = multiple * self.warmth(endpoint) * COLD_SHARE * self.rates[stage as usize];
        let most =
            self.settings.overload_window.unwrap_or(FALL_WINDOW) as f64 * self.router_count();
        (self.class_work(stage, ANY_CLASS, 1.0) / rate).min(most)
    }

    /// What each warm server of a stage carries of ours. A short life counts for what it is: guards against a
    /// fleet that restarts and takes its servers for idle until the whole span has passed.
    fn learn_rate(&mut self, stage: Role) {
        let is_warm = |h: &&Endpoint| h.listed && self.stage(h) == stage && self.warmth(h) >= 1.0;
        let warm = self.endpoints.values().filter(is_warm).count().max(1) as f64;
        let seen = seen(self.now - self.began, CARRIED_FOR).max(CARRIED_LEAST);
        self.rates[stage as usize] =
            self.carried[stage as usize].at(self.now, CARRIED_FOR) / seen / warm;
    }

    fn router_count(&self) -> f64 {
        f64::from(
            self.settings
                .router_count
                .filter(|b| *b > 0)
                .unwrap_or(BALANCERS),
        )
    }

    fn class_work(&self, stage: Role, class: ClassId, unknown: f64) -> f64 {
        let mean = |class| self.work.get(&(stage, class)).copied();
        mean(class).or(mean(ANY_CLASS)).unwrap_or(unknown)
    }

    /// A late or full server is given less, a quick one at its limit more; so is a stage with a late part.
    fn learn_limit(&mut self, id: RequestId, sent: Out, full: bool) {
        let late = full || self.overdue(id, sent);
        let (ours, router_count) = (self.ours(), self.router_count());
        // What has not begun at a writer waits for a slot; at a mixed server it is being read.
        let queued = |o: &&Out| {
            late && sent.stage == Role::Decode && o.endpoint == sent.endpoint && !o.established
        };
        let queue = self
            .requests
            .values()
            .filter_map(|r| r.out.as_ref())
            .filter(queued)
            .count() as f64;
        if sent.stage != Role::Decode && sent.overdue.is_none() {
            self.learn_spread(sent.endpoint, late);
        }
        for (part, other) in [(0, Role::Decode), (1, Role::Prefill)] {
            let servers = self
                .endpoints
                .values()
                .filter(|h| h.listed && self.stage(h) != other)
                .count() as f64;
            let Some(endpoint) = self
                .endpoints
                .get_mut(&sent.endpoint)
                .filter(|_| sent.stage != other)
            else {
                continue;
            };
            let held = [
                endpoint.held[0] + sent.weight,
                (endpoint.held[1] - queue).max(0.0),
            ][part];
            endpoint.limits[part].learn(self.now, sent.sent, held, late, LIMIT_MOST[part]);
            let (limit, share) = &mut self.pools[part];
            *share += if sent.overdue.is_some() {
                0.0
            } else {
                (f64::from(u8::from(late)) - *share) * POOL_STEP
            };
            if sent.overdue.is_none() && (!late || *share > POOL_LATE) {
                limit.learn(self.now, sent.sent, ours[part], late, f64::MAX);
                limit.most = limit.most.max(POOL_LEAST[part] * servers / router_count);
            }
        }
    }

    /// Homes go where fewer reads are late than in our zone or at one kind (see `home`): a zone may be given
    /// more than it bears, which none of many dispatchers sees in its few reads. Huge prompts can mislead it.
    fn learn_spread(&mut self, endpoint: EndpointId, late: bool) {
        let Some(endpoint) = self.endpoints.get(&endpoint) else {
            return;
        };
        let far = self.settings.zone != Some(endpoint.spec.zone);
        let own = [far, self.stage(endpoint) != Role::Prefill].map(usize::from);
        for (shares, own) in self.pace.late.iter_mut().zip(own) {
            shares[own] += (f64::from(u8::from(late)) - shares[own]) * POOL_STEP;
            shares[1 - own] *= 1.0 - SPREAD_FADE;
        }
    }

    fn ours(&self) -> [f64; 2] {
        self.endpoints.values().fold([0.0; 2], |sum, h| {
            [sum[0] + h.held[0], sum[1] + h.held[1] + h.coming]
        })
    }

    /// Attempts that are overdue tell of a server's limit before they end: a silent server's falls too.
    fn watch(&mut self) {
        let waits = |r: &Request| r.out.filter(|o| !o.established && o.overdue != Some(true));
        let out = self
            .requests
            .iter()
            .filter_map(|(id, r)| Some((*id, waits(r)?)));
        for (id, sent) in out
            .filter(|(id, sent)| self.overdue(*id, *sent))
            .collect::<Vec<_>>()
        {
            if sent.overdue.is_none() {
                self.learn_limit(id, sent, true);
            }
            let lost = self.is_lost(id, sent);
            self.out.extend(lost.then_some(Action::CancelAttempt {
                id,
                attempt: sent.attempt,
            }));
            self.requests.entry(id).and_modify(|r| {
                r.out = Some(Out {
                    overdue: Some(lost),
                    ..sent
                })
            });
        }
    }

    /// Whether one that may be repeated waits in vain: its server answered what was sent well after it, or
    /// nothing for long. Guards against silent connections. It could hurt where answers come out of turn.
    fn is_lost(&self, id: RequestId, sent: Out) -> bool {
        let (request, endpoint) = (&self.requests[&id], self.endpoints.get(&sent.endpoint));
        let effect = self
            .class(&request.ask)
            .map(|c| c.idempotency)
            .unwrap_or_default();
        let repeats = sent.stage == Role::Prefill || effect == Idempotency::Idempotent;
        let more = request.attempts + 1 < self.settings.max_attempts.unwrap_or(ATTEMPTS_MOST);
        let lost =
            |h: &Endpoint| h.answered > sent.sent + PASSED_BY || self.now - MUTE_FOR > h.mute;
        self.settings.cancellation && repeats && more && endpoint.is_some_and(lost)
    }

    fn overdue(&self, id: RequestId, sent: Out) -> bool {
        let span = self
            .requests
            .get(&id)
            .map_or(AIM, |r| self.aim_span(&r.ask));
        (self.now - sent.sent) as f64 > span as f64 * LATE[sent.stage as usize]
    }

    fn learn_work(&mut self, id: RequestId, sent: Out, outcome: Outcome) {
        let Some(ask) = self.requests.get(&id).map(|r| r.ask) else {
            return;
        };
        let work = match outcome {
            Outcome::Prefilled { cached_tokens } => {
                ask.prompt_tokens.saturating_sub(cached_tokens) as f64 + 1.0
            }
            Outcome::Completed => (self.now - sent.sent).max(1) as f64,
            _ => return,
        };
        let stage = self
            .endpoints
            .get(&sent.endpoint)
            .map_or(sent.stage, |h| self.stage(h));
        for class in [ANY_CLASS, ask.class] {
            let mean = self.work.entry((stage, class)).or_insert(work);
            *mean += (work - *mean) * WORK_STEP;
        }
        let work = self.class_work(stage, ask.class, work);
        if self
            .endpoints
            .get(&sent.endpoint)
            .is_some_and(|h| self.warmth(h) >= 1.0)
        {
            self.carried[stage as usize].add(work, self.now, CARRIED_FOR);
        }
    }

    fn stage(&self, endpoint: &Endpoint) -> Role {
        self.settings
            .kinds
            .get(endpoint.spec.kind.0)
            .and_then(|k| k.role)
            .unwrap_or(Role::Mixed)
    }

    fn hear(&mut self, id: EndpointId, load: Option<LoadReport>) {
        if let (Some(endpoint), Some(load)) =
            (self.endpoints.get_mut(&id).filter(|h| h.listed), load)
        {
            endpoint.load = Some((self.now, load));
        }
    }

    /// Failures set a server aside: errors and silence for their class alone, lost connections and fullness
    /// for all. The fewer our requests, the longer, else it would be over before the next one.
    fn judge(&mut self, id: EndpointId, class: Option<ClassId>, outcome: Outcome) {
        let turn = self.pace.ask_span as Micros * self.endpoints.len() as Micros;
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        let (key, least) = match outcome {
            // One success is no recovery: a server that errs at once looks idle and draws all that waits.
            Outcome::Completed | Outcome::Prefilled { .. } => {
                endpoint.mute = Micros::MAX;
                endpoint.fails.remove(&None);
                endpoint
                    .fails
                    .entry(class)
                    .and_modify(|(fails, _)| *fails /= 2);
                return;
            }
            Outcome::ServerError | Outcome::TimedOut => (class, turn),
            Outcome::ConnectFailed(_) | Outcome::ConnectionReset(_) => (None, turn),
            Outcome::Rejected(_) => (None, 0),
            Outcome::Cancelled | Outcome::NotSent => return,
        };
        let (fails, until) = endpoint.fails.entry(key).or_insert((0, 0));
        *until = self.now + (EJECT_FIRST << (*fails).min(8)).max(least).min(EJECT_MOST);
        *fails += 1;
    }

    /// What a reader has read it keeps: the opening for others, the whole prompt for the session's next.
    fn learn_kept(&mut self, id: RequestId, sent: Out, outcome: Outcome) {
        let read = matches!(outcome, Outcome::Prefilled { .. })
            || (outcome == Outcome::Completed && sent.stage == Role::Mixed);
        let Some(ask) = self.requests.get(&id).filter(|_| read).map(|r| r.ask) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&sent.endpoint) else {
            return;
        };
        if endpoint.kept.len() >= KEPT_MOST {
            endpoint.kept.clear();
        }
        let opening = ask
            .shared_prefix
            .map(|p| ((false, p.0), ask.shared_prefix_tokens));
        let whole = ask.session.map(|s| ((true, s.0), ask.prompt_tokens));
        endpoint.kept.extend(
            opening
                .into_iter()
                .chain(whole)
                .map(|(key, n)| (key, (n, self.now))),
        );
    }

    fn uncount(&mut self, sent: Out) {
        sent.toward
            .and_then(|w| self.endpoints.get_mut(&w))
            .into_iter()
            .for_each(|w| w.coming -= 1.0);
        if let Some(endpoint) = self.endpoints.get_mut(&sent.endpoint) {
            endpoint.held[0] =
                (endpoint.held[0] - if sent.established { 0.0 } else { sent.weight }).max(0.0);
            endpoint.held[1] -= f64::from(u8::from(sent.stage != Role::Prefill));
        }
    }

    /// The best lane by score; if all are set aside, the fewest reads and then the fewest streams.
    fn choose_lane(&mut self, id: RequestId) -> Option<Lane> {
        let (ask, ours) = (self.requests.get(&id)?.ask, self.ours());
        if (0..2).any(|part| ours[part] >= self.pools[part].0.most) {
            return None;
        }
        let fleet = self.fleet();
        let home = self.home(&ask, &fleet);
        let (readers, writers) = self.halves(id, home, &fleet);
        best_lane(&readers, &writers, 0)
    }

    fn halves(
        &mut self,
        id: RequestId,
        home: Option<EndpointId>,
        fleet: &Fleet,
    ) -> (Vec<Half>, Vec<Half>) {
        let (mut readers, mut writers) = (Vec::new(), Vec::new());
        let (salt, request) = (self.rng.next_u64(), &self.requests[&id]);
        let ask = &request.ask;
        for (id, endpoint) in &self.endpoints {
            let room = endpoint.held[0] < endpoint.limits[0].most
                && endpoint.held[1] + endpoint.coming < endpoint.limits[1].most;
            if !room || !self.takes(*id, request, home == Some(*id)) {
                continue;
            }
            let (dice, stage) = (mix(salt ^ id.0) as u32, self.stage(endpoint));
            // In skewed cells the rest pair across cells, else few partners fill up and others stand idle.
            let unpaired = stage != Role::Mixed
                && uniform(salt ^ !id.0) >= fleet.paired(&endpoint.spec, stage as usize);
            let group = if unpaired {
                (1, endpoint.spec.zone.0 as i64)
            } else {
                (0, endpoint.spec.cell.0)
            };
            let reader = || Half {
                group,
                ..self.reader_half(ask, *id, home, dice, fleet)
            };
            readers.extend((stage != Role::Decode).then(reader));
            let writer = || Half {
                group,
                ..self.writer_half(*id, fleet, dice)
            };
            writers.extend((stage != Role::Prefill).then(writer));
        }
        // No reader is left: writers that read for themselves take requests whole.
        if readers.is_empty() && self.settings.decode_can_prefill {
            writers.iter_mut().for_each(|w| w.whole = true);
            let whole = |w: &Half| Half {
                whole: true,
                ..self.reader_half(ask, w.endpoint, home, w.dice, fleet)
            };
            readers = writers.iter().map(whole).collect();
        }
        (readers, writers)
    }

    /// The writer for a state that waits at `reader`: the held place, else the best by the lane score.
    fn choose_writer(&mut self, id: RequestId, reader: EndpointId) -> Option<EndpointId> {
        let salt = self.rng.next_u64();
        let (request, endpoint) = (self.requests.get(&id)?, self.endpoints.get(&reader)?);
        if let Some(place) = request.place.filter(|w| self.takes(*w, request, false)) {
            return Some(place);
        }
        let fleet = self.fleet();
        let half = Half {
            fresh: true,
            whole: false,
            ..self.half(reader, endpoint, 0.0, 0.0, 0.0, 0)
        };
        let endpoints = self
            .endpoints
            .iter()
            .filter(|(_, h)| self.stage(h) != Role::Prefill)
            .map(|(id, _)| *id);
        let of = |id| Half {
            whole: false,
            ..self.writer_half(id, &fleet, mix(salt ^ id.0) as u32)
        };
        let writers: Vec<_> = endpoints
            .filter(|id| self.takes(*id, request, false))
            .map(of)
            .collect();
        best_lane(&[half], &writers, 1).map(|(_, writer)| writer)
    }

    /// A read against the mean one, by uncached tokens. Guards against huge prompts that look light.
    fn read_weight(&self, ask: &RequestSpec, reader: EndpointId) -> f64 {
        let uncached = ask.prompt_tokens as f64 * (1.0 - self.kept(ask, reader, None));
        READ_BASE
            + (1.0 - READ_BASE) * uncached
                / self.class_work(Role::Prefill, ANY_CLASS, uncached).max(1.0)
    }

    /// The reader's part of S, 0.4 C + 0.3 (1-Q), and of the bound, 2 Q: what the mean says sets none aside.
    fn reader_half(
        &self,
        ask: &RequestSpec,
        id: EndpointId,
        home: Option<EndpointId>,
        dice: u32,
        fleet: &Fleet,
    ) -> Half {
        let endpoint = &self.endpoints[&id];
        let (ours, mean) = (
            endpoint.held[0] / QUEUE_MAX,
            fleet.means[2][self.stage(endpoint) as usize],
        );
        let [queue, bound] =
            [mean, Some(0.0)].map(|mean| self.told(endpoint, 2, mean).unwrap_or(0.0).max(ours));
        let worth = WEIGHTS[0] * self.kept(ask, id, home) + WEIGHTS[2] * (1.0 - queue.min(1.0));
        self.half(
            id,
            endpoint,
            worth,
            2.0 * bound,
            endpoint.held[0] * 1e6,
            dice,
        )
    }

    /// The writer's part, 0.1 (1-M) + 0.2 (1-L) and M/100: reported shares, else our streams over our most.
    fn writer_half(&self, id: EndpointId, fleet: &Fleet, dice: u32) -> Half {
        let endpoint = &self.endpoints[&id];
        let ours = endpoint.held[1] / fleet.most_streams;
        let told =
            |of: usize| self.told(endpoint, of, fleet.means[of][self.stage(endpoint) as usize]);
        let [memory, live] = [0, 1].map(|of| told(of).unwrap_or(ours));
        let worth = WEIGHTS[1] * (1.0 - memory) + WEIGHTS[3] * (1.0 - live);
        let full = if self.now < endpoint.refused_at + REFUSED_FOR {
            1.0
        } else {
            0.0
        };
        self.half(
            id,
            endpoint,
            worth,
            memory / 100.0 + full,
            endpoint.held[1],
            dice,
        )
    }

    /// A reported figure. With age it says little of one server and fades to the mean.
    fn told(&self, endpoint: &Endpoint, of: usize, mean: Option<f64>) -> Option<f64> {
        let fade = endpoint.load.map_or(1.0, |(at, _)| {
            ((self.now - at) as f64 / STALE_AFTER).min(1.0)
        });
        self.figures(endpoint)[of]
            .zip(mean)
            .map(|(own, mean)| own + (mean - own) * fade)
            .or(mean)
    }

    /// The shares of its memory, of its slots and of a full queue that a server reports.
    fn figures(&self, endpoint: &Endpoint) -> [Option<f64>; 3] {
        let full = self.class_work(Role::Prefill, ANY_CLASS, 1000.0) / 1000.0 * QUEUE_ALL;
        let sane = |v: Option<f64>, most| v.filter(|v| v.is_finite()).map(|v| v.clamp(0.0, most));
        let queue = |l: LoadReport| sane(l.pending_kilotokens, f64::MAX).map(|p| p / full);
        endpoint.load.map_or([None; 3], |(_, l)| {
            [
                sane(l.memory_utilization, 1.0),
                sane(l.slot_utilization, 1.0),
                queue(l),
            ]
        })
    }

    fn half(
        &self,
        id: EndpointId,
        endpoint: &Endpoint,
        worth: f64,
        load: f64,
        count: f64,
        dice: u32,
    ) -> Half {
        let stale_after =
            STALE_AFTER.max(STALE_SPANS * self.pace.ask_span * self.endpoints.len() as f64);
        let fresh = self.now - LOOK_FOR < endpoint.mute
            && endpoint
                .load
                .is_none_or(|(at, _)| ((self.now - at) as f64) < stale_after);
        let (cell, whole) = (endpoint.spec.cell.0, self.stage(endpoint) == Role::Mixed);
        Half {
            endpoint: id,
            whole,
            group: (0, cell),
            cell,
            worth,
            load,
            fewest: -count,
            fresh,
            dice,
        }
    }

    /// The fleet at large, for one decision. The means stand in for figures that a server has not reported.
    fn fleet(&self) -> Fleet {
        let mut fleet = Fleet {
            most_streams: 1.0,
            ..Fleet::default()
        };
        let mut sums = [[(0.0, 0.0); 3]; 3];
        for (id, endpoint) in &self.endpoints {
            fleet.most_streams = fleet.most_streams.max(endpoint.held[1]);
            let (stage, member) = (self.stage(endpoint) as usize, &endpoint.spec);
            for (sum, figure) in sums
                .iter_mut()
                .zip(self.figures(endpoint))
                .filter(|_| endpoint.listed)
            {
                sum[stage] = figure.map_or(sum[stage], |value| {
                    (sum[stage].0 + value, sum[stage].1 + 1.0)
                });
            }
            if stage < 2 && self.open(*id, false) {
                for group in [(0, member.cell.0), (1, member.zone.0 as i64), (2, 0)] {
                    fleet.groups.entry(group).or_default()[stage] += 1.0;
                }
            }
        }
        fleet.means =
            sums.map(|s| s.map(|(sum, count): (f64, f64)| (count > 0.0).then(|| sum / count)));
        fleet
    }

    /// C: the share of the prompt that the reader is known to keep, or taken to keep as the session's home.
    fn kept(&self, ask: &RequestSpec, reader: EndpointId, home: Option<EndpointId>) -> f64 {
        let kept = &self.endpoints[&reader].kept;
        let tokens = |key| {
            kept.get(&key)
                .filter(|k| self.now < k.1 + KEPT_FOR)
                .map_or(0, |k| k.0)
        };
        let opening = ask.shared_prefix.map_or(0, |p| tokens((false, p.0)));
        let session = ask.session.map_or(0, |s| tokens((true, s.0)));
        let known =
            opening.max(session).min(ask.prompt_tokens) as f64 / ask.prompt_tokens.max(1) as f64;
        known.max(if home == Some(reader) { HOME_KEPT } else { 0.0 })
    }

    /// The home of a session unknown here, on which a zone's dispatchers agree: rendezvous hashing. Openings
    /// have few homes, more the more they are asked for: guards against reads of them at each reader.
    fn home(&self, ask: &RequestSpec, fleet: &Fleet) -> Option<EndpointId> {
        let session = ask.session?;
        let [[late, elsewhere], kinds] = self.pace.late;
        let near = |h: &Endpoint| self.settings.zone == Some(h.spec.zone);
        let warmth = |all: bool| {
            let of = |h: &&Endpoint| h.listed && self.stage(h) != Role::Decode && (all || near(h));
            let of = self.endpoints.values().filter(of).map(|h| self.warmth(h));
            of.clone().sum::<f64>() / of.count().max(1) as f64
        };
        let (late, cold) = (
            late - elsewhere - SPREAD_MARGIN,
            1.0 - warmth(false) / warmth(true),
        );
        let away = uniform(!mix(session.0)) < cold.max(late * SPREAD_GAIN);
        let known = |h: &Endpoint| {
            h.kept
                .get(&(true, session.0))
                .is_some_and(|k| self.now < k.1 + KEPT_FOR)
        };
        let [readers, writers] = fleet
            .groups
            .get(&(2, 0))
            .map_or([1.0; 2], |n| n.map(|n| n.max(1.0)));
        let draw = |(id, h): (&EndpointId, &Endpoint)| {
            let whole = self.stage(h) != Role::Prefill;
            let weight = if whole { HOME_WHOLE } else { writers / readers }
                * (1.0 - kinds[usize::from(whole)]);
            let drawn = |key: u64| uniform(key ^ mix(id.0)).ln() / (weight * self.warmth(h));
            (
                away || near(h),
                drawn(ask.shared_prefix.map_or(0, |p| mix(p.0))),
                drawn(session.0),
                *id,
            )
        };
        let open = self
            .endpoints
            .iter()
            .filter(|(id, h)| self.open(**id, true) && self.stage(h) != Role::Decode);
        if open.clone().any(|(_, h)| known(h)) {
            return None;
        }
        let mut drawn: Vec<_> = open.map(draw).collect();
        drawn.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)));
        let near = drawn.iter().filter(|d| d.0 == drawn[0].0).count();
        let asked = |key| {
            self.openings
                .get(&key)
                .map_or(0.0, |o| o.at(self.now, KEPT_FOR) - 1.0)
        }; // others
        let share = ask.shared_prefix.map_or(1.0, |p| {
            asked(Some(p)).max(0.0) / asked(None).max(SHARES_LEAST)
        });
        let homes = ((HOMES * share * near as f64).round() as usize).clamp(1, near.max(1));
        drawn
            .iter()
            .take(homes)
            .max_by(|a, b| a.2.total_cmp(&b.2))
            .map(|home| home.3)
    }
}

impl Limit {
    /// Less after a late answer to something sent since the last cut; more after a quick one near the limit.
    fn learn(&mut self, now: Micros, sent: Micros, held: f64, late: bool, most: f64) {
        if !late && held + 1.0 >= self.most * LIMIT_NEAR {
            self.most = (self.most + LIMIT_STEP.max(self.most * LIMIT_GROWTH)).min(most);
        } else if late && sent > self.cut_at {
            self.most = (self.most.min(held) * LIMIT_CUT).max(LIMIT_LEAST);
            self.cut_at = now;
        }
    }
}

impl Endpoint {
    fn new(member: EndpointSpec) -> Self {
        Endpoint {
            spec: member,
            listed: false,
            held: [0.0; 2],
            coming: 0.0,
            limits: LIMIT_MOST.map(|most| Limit {
                most,
                cut_at: Micros::MIN,
            }),
            load: None,
            kept: BTreeMap::new(),
            fails: BTreeMap::new(),
            cold_turn: [(0, 0.0); 2],
            probed_at: Micros::MIN / 2,
            refused_at: Micros::MIN / 2,
            answered: Micros::MIN,
            mute: Micros::MAX,
        }
    }

    fn answer(&mut self, sent: Micros) {
        (self.answered, self.mute) = (self.answered.max(sent), Micros::MAX);
    }
}
