//! Every decision of the front: which lane reads and answers a request, when to try again, when to give up.
//!
//! The types it speaks in are in `src/interface.rs`. Lanes are scored as in `docs/design.md`.

pub(crate) use std::collections::{BTreeMap, BTreeSet};

pub(crate) use rand_core::RngCore;
use rand_pcg::Pcg32;

pub(crate) use crate::estimators::{seen, Fading};
pub(crate) use crate::idempotency::{may_have_executed, PossibleExecution, RetryRule};
pub(crate) use crate::lane_selection::lanes::{best_lane, Fleet, Half, Lane};
pub(crate) use crate::random::{mix, uniform};
use crate::start_clock::StartClock;
use crate::*;

// Weights of the lane score: S = 0.4 C + 0.1 (1-M) + 0.3 (1-Q) + 0.2 (1-L). From the paper, 3.3.
pub(crate) const STALE_AFTER: f64 = 4_000_000.0; // age at which load figures are stale (us) ...
pub(crate) const KEPT_FOR: Micros = 60_000_000; // for which shares count as kept (us): sessions think for seconds
pub(crate) const KEPT_MOST: usize = 2_000; // most kept shares remembered for a server
pub(crate) const TICK: Micros = 50_000; // span between two looks at timers, probes and waiting requests (us)
pub(crate) const PROBE_EVERY: Micros = 1_000_000; // least span between the probes of a server by turns (us)
pub(crate) const LOOK_FOR: Micros = 80_000; // span for which a request waits for a new one (us): most come by then
pub(crate) const POOL_STEP: f64 = 0.1; // by which late shares move at each answer
pub(crate) const CARRIED_FOR: Micros = 10_000_000; // span over which the picture of what servers carry fades (us) ...
pub(crate) const WORK_STEP: f64 = 0.05; // share by which means move with each request
pub(crate) const LIMIT_MOST: [f64; 2] = [8.0, 1_000.0]; // a server's limits at first and at most: weighed reads, streams
/// A limit's cut after a late answer, its step (or growth) after a quick one, how near counts, and its least.
pub(crate) const LIMIT_CUT: f64 = 0.85;
pub(crate) const LIMIT_STEP: f64 = 0.3;
pub(crate) const LIMIT_GROWTH: f64 = 0.04;
pub(crate) const LIMIT_NEAR: f64 = 0.8;
pub(crate) const LIMIT_LEAST: f64 = 1.0;
pub(crate) const LEAD_SAFETY: f64 = 1.3; // over the mean span from send to first token: two in three make it
pub(crate) const ROOM_STEP: f64 = 0.2; // share by which the span between openings moves with each
pub(crate) const AIM: Micros = 2_000_000; // here and below: where the settings are silent
pub(crate) const ATTEMPTS_MOST: u32 = 4;
pub(crate) const LEAVE_WORDS: u32 = 2; // ... and how often, as any message may be lost

pub(crate) const ANY_CLASS: ClassId = ClassId(usize::MAX);

pub(crate) struct Endpoint {
    pub(crate) spec: EndpointSpec,
    pub(crate) listed: bool,
    pub(crate) held: [f64; 2], // our unanswered reads there, each weighed, and our streams
    pub(crate) coming: f64,
    pub(crate) limits: [Limit; 2],
    pub(crate) load: Option<(Micros, LoadReport)>,
    /// Prompt tokens kept there for an opening (false, id) or a session (true, id), and when that was learnt.
    pub(crate) kept: BTreeMap<(bool, u64), (u64, Micros)>,
    /// Failures in a row and the end of its time aside, for one class or (`None`) for all.
    pub(crate) fails: BTreeMap<Option<ClassId>, (u32, Micros)>,
    /// While it is cold: since when we wait to send there, and which part of a span; for others, for homes.
    pub(crate) cold_turn: [(Micros, f64); 2],
    pub(crate) probed_at: Micros,
    pub(crate) refused_at: Micros,
    pub(crate) answered: Micros, // when the latest of ours that it has answered was sent
    pub(crate) mute: Micros, // since when a probe of it, or more, has had no answer, nor anything else
}

/// Admission, learnt from how long answers take: else a short excess becomes a queue in which all is late.
pub(crate) struct Limit {
    pub(crate) most: f64,
    pub(crate) cut_at: Micros,
}

#[derive(Clone, Copy)]
pub(crate) struct Out {
    pub(crate) attempt: u32,
    pub(crate) endpoint: EndpointId,
    pub(crate) stage: Role,
    pub(crate) sent: Micros,
    pub(crate) established: bool,
    pub(crate) weight: f64,
    pub(crate) toward: Option<EndpointId>,
    pub(crate) run: PossibleExecution, // what it is if it may have had its effect
    pub(crate) overdue: Option<bool>, // that it is has been learnt from, and whether it was called off
}

#[derive(Default)]
pub(crate) struct Request {
    pub(crate) ask: RequestSpec,
    pub(crate) arrived: Micros,
    pub(crate) first_sent: Option<Micros>,
    pub(crate) attempts: u32,
    pub(crate) out: Option<Out>,
    pub(crate) state: Option<(EndpointId, Micros)>, // where the read state waits, and since when nothing is done with it
    pub(crate) look: Option<(EndpointId, Micros)>, // the reader probed for it, and until when it waits for the report
    pub(crate) place: Option<EndpointId>,
    pub(crate) places: u32,
    pub(crate) looks: u32,
    pub(crate) holds: bool,
    pub(crate) let_go_unfetched: bool, // also while its send to a writer is out
    pub(crate) ended: bool,
    pub(crate) ran: Option<PossibleExecution>, // the first attempt that may have had its effect
}

/// What this dispatcher learns of its own traffic. Spans are in us.
#[derive(Default)]
pub(crate) struct Pace {
    pub(crate) probes: f64,         // that we may send
    pub(crate) late: [[f64; 2]; 2], // late shares of our reads in our zone and elsewhere; at readers and mixed servers
    pub(crate) ask_span: f64, // mean span between requests that come in (us), and when the last did
    pub(crate) asked_at: Micros,
    pub(crate) room_span: f64, // span between openings for those that wait here (us), and since when we wait for one
    pub(crate) room_at: Micros,
    pub(crate) lead: f64, // from the first send to the first token, smoothed (us)
}

/// The decision module of one dispatcher.
pub struct Policy {
    pub(crate) settings: Settings,
    pub(crate) now: Micros,
    pub(crate) out: Vec<Action>,
    pub(crate) rng: Pcg32,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) waiting: BTreeSet<RequestId>,
    /// Mean work of a request of each class at each stage: uncached tokens read, or time streamed (us).
    pub(crate) work: BTreeMap<(Role, ClassId), f64>,
    pub(crate) openings: BTreeMap<Option<PrefixId>, Fading>, // requests of each, and of all (`None`), lately
    pub(crate) carried: [Fading; 3], // our work that each stage's warm servers finished lately ...
    pub(crate) rates: [f64; 3], // ... and what each of them carries of it a us, at the latest look
    pub(crate) began: Micros,
    pub(crate) starts: StartClock,
    /// Limits on all our reads and streams, and their late share. Guards against many dispatchers' one each.
    pub(crate) pools: [(Limit, f64); 2],
    pub(crate) pace: Pace,
    pub(crate) leaving: Option<(Micros, Micros, u32)>, // when streams may move, when all is answered, words to say
    pub(crate) away: BTreeMap<u32, Micros>, // dispatchers that leave, and until when they are away
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

    pub(crate) fn subscribe(&mut self) {
        self.out.push(Action::SubscribeEndpoints(true));
        let wake = |within: Micros| Action::SetTimer {
            at: self.now + within.max(TICK),
            key: TimerKey::PollEndpoints,
        };
        self.out.extend(self.settings.poll_interval.map(wake));
    }

    pub(crate) fn on_tick(&mut self) {
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
}

impl Limit {
    /// Less after a late answer to something sent since the last cut; more after a quick one near the limit.
    pub(crate) fn learn(&mut self, now: Micros, sent: Micros, held: f64, late: bool, most: f64) {
        if !late && held + 1.0 >= self.most * LIMIT_NEAR {
            self.most = (self.most + LIMIT_STEP.max(self.most * LIMIT_GROWTH)).min(most);
        } else if late && sent > self.cut_at {
            self.most = (self.most.min(held) * LIMIT_CUT).max(LIMIT_LEAST);
            self.cut_at = now;
        }
    }
}

impl Endpoint {
    pub(crate) fn new(member: EndpointSpec) -> Self {
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

    pub(crate) fn answer(&mut self, sent: Micros) {
        (self.answered, self.mute) = (self.answered.max(sent), Micros::MAX);
    }
}
