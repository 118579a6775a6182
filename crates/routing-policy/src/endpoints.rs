//! The table of endpoints, and its updates from the endpoint list and from load reports.

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

/// The delay from a failed poll of the endpoint list to the next one, in microseconds.
const POLL_RETRY_INTERVAL: Micros = 500_000;
/// The sum of weights above which an endpoint has anything in flight: adding and subtracting
/// floating-point weights may leave a remainder.
const MIN_IN_FLIGHT: f64 = 0.01;
/// A point in time before any on the driver's clock, from which a duration can still be subtracted
/// without overflow.
const LONG_AGO: Micros = Micros::MIN / 2;

/// The work that this router has in flight at an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct InFlight {
    /// The sum of the weights of prefills without a response; a prefill is weighted by its work.
    pub(crate) prefill_weight: f64,
    /// The number of streams, and of attempts whose response is to be streamed but has not begun.
    pub(crate) streams: f64,
    /// The number of prefills in flight at other endpoints whose lane has this decode endpoint.
    pub(crate) expected_decodes: f64,
}

impl InFlight {
    /// The number of streams at the endpoint, including those that are expected from prefills.
    pub(crate) fn current_and_expected_streams(&self) -> f64 {
        self.streams + self.expected_decodes
    }
}

/// The concurrency limits of this router at an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointLimits {
    pub(crate) prefill: ConcurrencyLimit,
    pub(crate) streams: ConcurrencyLimit,
}

impl EndpointLimits {
    fn new() -> EndpointLimits {
        EndpointLimits {
            prefill: ConcurrencyLimit::starting_at(Resource::Prefill.max_endpoint_limit()),
            streams: ConcurrencyLimit::starting_at(Resource::Streams.max_endpoint_limit()),
        }
    }
}

/// A load report and the time at which it was received.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReceivedLoad {
    pub(crate) at: Micros,
    pub(crate) report: LoadReport,
}

/// An endpoint and what this router knows of it.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) spec: EndpointSpec,
    /// Whether the endpoint is on the endpoint list and takes requests.
    pub(crate) is_active: bool,
    pub(crate) in_flight: InFlight,
    pub(crate) limits: EndpointLimits,
    pub(crate) load: Option<ReceivedLoad>,
    pub(crate) prefix_cache: PrefixCache,
    pub(crate) ejections: Ejections,
    pub(crate) send_turns: SendTurns,
    pub(crate) last_health_check: Micros,
    pub(crate) slot_refused_at: Micros,
    /// The latest send time among the attempts that the endpoint has responded to.
    pub(crate) latest_responded_send: Micros,
    /// The send time of the first health check since a health check last succeeded or the endpoint
    /// last responded to an attempt; `Micros::MAX` if none was sent since.
    pub(crate) unresponsive_since: Micros,
}

impl Endpoint {
    fn new(spec: EndpointSpec) -> Endpoint {
        Endpoint {
            spec,
            is_active: false,
            in_flight: InFlight::default(),
            limits: EndpointLimits::new(),
            load: None,
            prefix_cache: PrefixCache::default(),
            ejections: Ejections::default(),
            send_turns: SendTurns::default(),
            last_health_check: LONG_AGO,
            slot_refused_at: LONG_AGO,
            latest_responded_send: Micros::MIN,
            unresponsive_since: Micros::MAX,
        }
    }

    /// Records that the endpoint has responded to an attempt that was sent at `sent_at`.
    pub(crate) fn mark_responsive(&mut self, sent_at: Micros) {
        self.latest_responded_send = self.latest_responded_send.max(sent_at);
        self.unresponsive_since = Micros::MAX;
    }

    /// Discards what was known of an earlier process of the endpoint. If the endpoint is in slow
    /// start, the first send to it waits for the fraction `first_wait` of a send interval, unless
    /// it is of [`crate::slow_start::SendKind::Affinity`].
    fn reset_after_start(&mut self, now: Micros, first_wait: f64) {
        self.prefix_cache = PrefixCache::default();
        self.load = None;
        self.ejections = Ejections::default();
        self.send_turns = SendTurns::after_start(now, first_wait);
    }

    fn has_work_in_flight(&self) -> bool {
        let in_flight = &self.in_flight;
        in_flight.prefill_weight + in_flight.streams + in_flight.expected_decodes > MIN_IN_FLIGHT
    }
}

/// All known endpoints by their ids, including removed ones with work in flight.
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

    /// The work in flight at all endpoints together; `streams` includes expected decodes.
    pub(crate) fn total_in_flight(&self) -> InFlight {
        let mut total = InFlight::default();
        for endpoint in self.entries.values() {
            total.prefill_weight += endpoint.in_flight.prefill_weight;
            total.streams += endpoint.in_flight.streams;
            total.streams += endpoint.in_flight.expected_decodes;
        }
        total
    }

    fn mark_all_removed(&mut self) {
        for endpoint in self.entries.values_mut() {
            endpoint.is_active = false;
            endpoint.spec.state = EndpointState::Removed;
        }
    }

    /// Passes the start times that were not known yet to the start clock.
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

    fn store_entries(&mut self, specs: Vec<EndpointSpec>, now: Micros, rng: &mut impl RngCore) {
        for spec in specs {
            let known_start = self.get(spec.id).map(|known| known.spec.started_at);
            let endpoint = self
                .entries
                .entry(spec.id)
                .or_insert_with(|| Endpoint::new(spec));
            endpoint.spec = spec;
            endpoint.is_active = spec.state == EndpointState::Active;
            if known_start != Some(spec.started_at) {
                endpoint.reset_after_start(now, uniform(rng.next_u64()));
            }
        }
    }

    /// Drops removed endpoints that have nothing in flight. Endpoints are replaced by others for as
    /// long as the router runs, so the table would otherwise grow without bound.
    fn drop_removed_endpoints(&mut self) {
        self.entries.retain(|_, endpoint| {
            endpoint.spec.state != EndpointState::Removed || endpoint.has_work_in_flight()
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
                self.endpoints.store_entries(specs, now, &mut self.rng);
            }
            EndpointUpdate::Snapshot(specs) => {
                self.endpoints.mark_all_removed();
                self.endpoints.observe_starts(&specs, now);
                self.endpoints.start_clock.list_received(now);
                self.endpoints.store_entries(specs, now, &mut self.rng);
            }
            EndpointUpdate::Restored(specs) => {
                self.endpoints.mark_all_removed();
                self.endpoints.observe_starts(&specs, now);
                self.endpoints.store_entries(specs, now, &mut self.rng);
            }
            EndpointUpdate::PollFailed => {
                if self.parameters.endpoints_are_polled {
                    self.set_timer(now + POLL_RETRY_INTERVAL, TimerKey::PollEndpoints);
                }
            }
        }
        self.endpoints.drop_removed_endpoints();
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

    /// Stores the load report that came with a response, if any, for an active endpoint.
    pub(crate) fn receive_load(&mut self, id: EndpointId, load: Option<LoadReport>) {
        let now = self.now;
        let (Some(endpoint), Some(report)) = (self.endpoints.get_mut(id), load) else {
            return;
        };
        if endpoint.is_active {
            endpoint.load = Some(ReceivedLoad { at: now, report });
        }
    }
}
