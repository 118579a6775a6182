//! The table of endpoints and the updates of the endpoint list.

use std::collections::BTreeMap;

use rand_core::RngCore;

use crate::actions::Action;
use crate::concurrency::{ConcurrencyLimit, Resource};
use crate::config::Role;
use crate::events::{EndpointSpec, EndpointState, EndpointUpdate, LoadReport};
use crate::ids::{EndpointId, Micros, TimerKey};
use crate::lane_selection::prefix_cache::PrefixCache;
use crate::outlier::Ejections;
use crate::policy::Policy;
use crate::random::uniform;
use crate::slow_start::SendTurns;
use crate::start_clock::StartClock;

/// The span after a failed poll of the endpoint list until the next one (us).
const POLL_RETRY_INTERVAL: Micros = 500_000;
/// What is in flight at an endpoint if it is any: sums of floats may leave a remainder.
const MIN_IN_FLIGHT: f64 = 0.01;
/// A point in time long before any clock starts, from which spans can still be subtracted.
const LONG_AGO: Micros = Micros::MIN / 2;

/// What this router has in flight at an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct InFlight {
    /// Prefills without a response, each weighted by its work.
    pub(crate) prefill_weight: f64,
    /// Streams, and attempts that are to become streams.
    pub(crate) streams: f64,
    /// Prefills elsewhere whose KV state is to come here.
    pub(crate) expected_decodes: f64,
}

impl InFlight {
    /// Streams there and those to come.
    pub(crate) fn all_streams(&self) -> f64 {
        self.streams + self.expected_decodes
    }
}

/// The limits on what this router has in flight at an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointLimits {
    pub(crate) prefill: ConcurrencyLimit,
    pub(crate) streams: ConcurrencyLimit,
}

impl EndpointLimits {
    fn new() -> EndpointLimits {
        EndpointLimits {
            prefill: ConcurrencyLimit::at_most(Resource::Prefill.max_endpoint_limit()),
            streams: ConcurrencyLimit::at_most(Resource::Streams.max_endpoint_limit()),
        }
    }
}

/// A load report, and when it was received.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReceivedLoad {
    pub(crate) at: Micros,
    pub(crate) report: LoadReport,
}

/// An endpoint with all that is known of it.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) spec: EndpointSpec,
    pub(crate) is_listed: bool,
    pub(crate) in_flight: InFlight,
    pub(crate) limits: EndpointLimits,
    pub(crate) load: Option<ReceivedLoad>,
    pub(crate) prefix_cache: PrefixCache,
    pub(crate) ejections: Ejections,
    pub(crate) send_turns: SendTurns,
    pub(crate) last_health_check: Micros,
    pub(crate) slot_refused_at: Micros,
    /// When the latest attempt that it has responded to was sent.
    pub(crate) last_answered_send: Micros,
    /// Since when a health check has had no response, nor anything else; `Micros::MAX` if none
    /// waits.
    pub(crate) unresponsive_since: Micros,
}

impl Endpoint {
    fn new(spec: EndpointSpec) -> Endpoint {
        Endpoint {
            spec,
            is_listed: false,
            in_flight: InFlight::default(),
            limits: EndpointLimits::new(),
            load: None,
            prefix_cache: PrefixCache::default(),
            ejections: Ejections::default(),
            send_turns: SendTurns::default(),
            last_health_check: LONG_AGO,
            slot_refused_at: LONG_AGO,
            last_answered_send: Micros::MIN,
            unresponsive_since: Micros::MAX,
        }
    }

    /// It has responded to an attempt that was sent then.
    pub(crate) fn responded(&mut self, sent_at: Micros) {
        self.last_answered_send = self.last_answered_send.max(sent_at);
        self.unresponsive_since = Micros::MAX;
    }

    /// What belonged to the process before its restart is of no use.
    fn restarted(&mut self, now: Micros, first_turn: f64) {
        self.prefix_cache = PrefixCache::default();
        self.load = None;
        self.ejections = Ejections::default();
        self.send_turns = SendTurns::after_start(now, first_turn);
    }

    fn is_in_use(&self) -> bool {
        let in_flight = &self.in_flight;
        in_flight.prefill_weight + in_flight.streams + in_flight.expected_decodes > MIN_IN_FLIGHT
    }
}

/// All endpoints, by their ids.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    pub(crate) entries: BTreeMap<EndpointId, Endpoint>,
    pub(crate) start_clock: StartClock,
}

impl EndpointTable {
    pub(crate) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.entries.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.entries.get_mut(&id)
    }

    /// What is in flight at all endpoints together.
    pub(crate) fn total_in_flight(&self) -> InFlight {
        let mut total = InFlight::default();
        for endpoint in self.entries.values() {
            total.prefill_weight += endpoint.in_flight.prefill_weight;
            total.streams += endpoint.in_flight.streams;
            total.streams += endpoint.in_flight.expected_decodes;
        }
        total
    }

    fn remove_all_entries(&mut self) {
        for endpoint in self.entries.values_mut() {
            endpoint.is_listed = false;
            endpoint.spec.state = EndpointState::Removed;
        }
    }

    /// Learns from the starts that were not known.
    fn observe_starts(&mut self, specs: &[EndpointSpec], now: Micros) {
        for spec in specs {
            let is_known = self
                .get(spec.id)
                .is_some_and(|known| known.spec.started_at == spec.started_at);
            if let Some(started_at) = spec.started_at.filter(|at| !is_known && *at > 0) {
                self.start_clock.observe(started_at, now);
            }
        }
    }

    fn store(&mut self, specs: Vec<EndpointSpec>, now: Micros, rng: &mut impl RngCore) {
        for spec in specs {
            let known_start = self.get(spec.id).map(|known| known.spec.started_at);
            let endpoint = self
                .entries
                .entry(spec.id)
                .or_insert_with(|| Endpoint::new(spec));
            endpoint.spec = spec;
            endpoint.is_listed = spec.state == EndpointState::Active;
            if known_start != Some(spec.started_at) {
                endpoint.restarted(now, uniform(rng.next_u64()));
            }
        }
    }

    /// Machines are replaced by others for as long as the router runs: an endpoint that was removed
    /// remains only while it is in use.
    fn forget_removed(&mut self) {
        self.entries.retain(|_, endpoint| {
            endpoint.spec.state != EndpointState::Removed || endpoint.is_in_use()
        });
    }
}

impl Policy {
    pub(crate) fn on_endpoint_update(&mut self, update: EndpointUpdate) {
        let now = self.now;
        match update {
            EndpointUpdate::Delta(specs) => {
                self.endpoints.observe_starts(&specs, now);
                self.endpoints.start_clock.list_received(now);
                self.endpoints.store(specs, now, &mut self.rng);
            }
            EndpointUpdate::Snapshot(specs) => {
                self.endpoints.remove_all_entries();
                self.endpoints.observe_starts(&specs, now);
                self.endpoints.start_clock.list_received(now);
                self.endpoints.store(specs, now, &mut self.rng);
            }
            EndpointUpdate::Restored(specs) => {
                self.endpoints.remove_all_entries();
                self.endpoints.observe_starts(&specs, now);
                self.endpoints.store(specs, now, &mut self.rng);
            }
            EndpointUpdate::PollFailed => {
                if self.parameters.endpoints_are_polled {
                    self.set_timer(now + POLL_RETRY_INTERVAL, TimerKey::PollEndpoints);
                }
            }
        }
        self.endpoints.forget_removed();
        self.advance_queue();
    }

    pub(crate) fn poll_endpoints(&mut self) {
        self.actions.push(Action::SubscribeEndpoints(true));
        if let Some(interval) = self.parameters.poll_interval {
            let at = self.now + interval.max(crate::parameters::TICK);
            self.set_timer(at, TimerKey::PollEndpoints);
        }
    }

    pub(crate) fn role_of(&self, endpoint: &Endpoint) -> Role {
        self.parameters.role(endpoint.spec.kind)
    }

    /// A load report has come with a response.
    pub(crate) fn receive_load(&mut self, id: EndpointId, load: Option<LoadReport>) {
        let now = self.now;
        let (Some(endpoint), Some(report)) = (self.endpoints.get_mut(id), load) else {
            return;
        };
        if endpoint.is_listed {
            endpoint.load = Some(ReceivedLoad { at: now, report });
        }
    }
}
