//! The policy of one router: its state, and the dispatch of events to the modules that handle them.

use std::collections::{BTreeMap, BTreeSet};

use rand_pcg::Pcg32;

use crate::actions::Action;
use crate::concurrency::TotalLimits;
use crate::config::{Role, Settings};
use crate::endpoints::EndpointTable;
use crate::estimators::{CompletedWork, TrafficEstimates, WorkEstimates};
use crate::events::Event;
use crate::gossip::{PeerTable, ANNOUNCEMENT_COUNT};
use crate::health_check::HealthCheckBudget;
use crate::ids::{Micros, RequestId, TimerKey};
use crate::lane_selection::affinity::{LateShares, PrefixPopularity};
use crate::parameters::{Parameters, TICK};
use crate::requests::Request;
use crate::shutdown::Shutdown;

/// The stream selector of the random number generator. It is arbitrary, but another value changes
/// the decisions for every seed.
const RNG_STREAM: u64 = 0xda3e_39cb_94b9_5bdb;

/// The policy of one router: takes events from the driver and returns actions.
pub struct Policy {
    pub(crate) parameters: Parameters,
    pub(crate) now: Micros,
    /// The actions that result from the event that is being handled.
    pub(crate) actions: Vec<Action>,
    pub(crate) rng: Pcg32,
    pub(crate) endpoints: EndpointTable,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// The requests that wait for their next attempt.
    pub(crate) queue: BTreeSet<RequestId>,
    pub(crate) total_limits: TotalLimits,
    pub(crate) health_check_budget: HealthCheckBudget,
    pub(crate) work_estimates: WorkEstimates,
    pub(crate) completed_work: CompletedWork,
    pub(crate) traffic_estimates: TrafficEstimates,
    pub(crate) late_shares: LateShares,
    pub(crate) prefix_popularity: PrefixPopularity,
    pub(crate) peers: PeerTable,
    pub(crate) shutdown: Option<Shutdown>,
}

impl Policy {
    /// Creates a policy without endpoints or requests. Policies with equal settings, seeds and
    /// events return equal actions.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let mut policy = Policy {
            parameters: Parameters::new(&settings),
            now,
            actions: Vec::new(),
            rng: Pcg32::new(seed, RNG_STREAM),
            endpoints: EndpointTable::default(),
            requests: BTreeMap::new(),
            queue: BTreeSet::new(),
            total_limits: TotalLimits::new(),
            health_check_budget: HealthCheckBudget::default(),
            work_estimates: WorkEstimates::default(),
            completed_work: CompletedWork::new(now),
            traffic_estimates: TrafficEstimates::new(now),
            late_shares: LateShares::default(),
            prefix_popularity: PrefixPopularity::default(),
            peers: PeerTable::default(),
            shutdown: None,
        };
        policy.set_timer(now + TICK, TimerKey::Tick);
        if policy.parameters.endpoints_are_polled {
            policy.poll_endpoints();
        }
        policy
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::EndpointsUpdated(update) => self.on_endpoint_update(update),
            Event::RequestArrived(spec) => self.on_request_arrived(spec),
            Event::StreamStarted {
                id,
                attempt,
                endpoint,
                ..
            } => self.on_stream_started(id, attempt, endpoint),
            Event::AttemptEnded {
                id,
                attempt,
                endpoint,
                outcome,
                client_done,
                load,
                ..
            } => {
                self.receive_load(endpoint, load);
                self.on_attempt_ended(id, attempt, outcome, client_done);
            }
            Event::SlotReservationCompleted { id, granted, .. } => {
                self.on_slot_reservation_completed(id, granted);
            }
            Event::GossipReceived { from, payload } => self.on_gossip(from, &payload),
            Event::ClientDisconnected(id) => self.on_client_disconnected(id),
            Event::ShutdownStarted {
                migrate_from,
                respond_by,
            } => {
                self.shutdown = Some(Shutdown::new(migrate_from, respond_by, ANNOUNCEMENT_COUNT));
            }
            Event::TimerFired(key) => self.on_timer(key),
            Event::HealthChecked {
                endpoint,
                outcome,
                load,
                ..
            } => self.on_health_checked(endpoint, outcome, load),
        }
        actions.append(&mut self.actions);
    }

    fn on_timer(&mut self, key: TimerKey) {
        match key {
            TimerKey::Tick => self.on_tick(),
            TimerKey::PollEndpoints => self.poll_endpoints(),
            TimerKey::Request(id) => {
                self.release_if_lease_ended(id);
                self.advance(id);
            }
        }
    }

    fn on_tick(&mut self) {
        self.set_timer(self.now + TICK, TimerKey::Tick);
        for role in [Role::Prefill, Role::Decode, Role::Mixed] {
            self.update_completion_rate(role);
        }
        self.check_overdue_attempts();
        self.advance_queue();
        self.continue_shutdown();
        self.check_next_endpoint();
    }

    pub(crate) fn set_timer(&mut self, at: Micros, key: TimerKey) {
        self.actions.push(Action::SetTimer { at, key });
    }
}
